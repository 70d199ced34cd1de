// Leadership: one key of the store, held under a store lease, names the leader; a second key, the round,
// counts terms and transactions and outlives the store lease. See docs/safety.md.
//
// Owns: who is thought to be the leader, this controller's hold and leader lease, the term, the round's
// count and the transactions on the way. May call the store, the peers, membership (for who is a better candidate: a
// hint) and what follows the records; never a user, a machine or the core: what it has to say goes to its
// Host. Knows nothing of what users
// ask and nothing of what a transaction is about.
#pragma once

#include "heronshift/config.hpp"
#include "heronshift/leadership/leader_lease.hpp"
#include "heronshift/leadership/state_loader.hpp"
#include "heronshift/leadership/transaction_queue.hpp"
#include "heronshift/membership/membership.hpp"
#include "heronshift/messages.hpp"
#include "heronshift/peers/peers.hpp"
#include "heronshift/store/store.hpp"
#include "heronshift/timer_queue.hpp"
#include "heronshift/token_bucket.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace heronshift::leadership {

class LeaderElection {
public:
    class Host {
    public:
        virtual ~Host() = default;
        // This node is the leader and all that the store holds has been read.
        virtual void leadership_acquired(std::uint64_t term, Snapshot&& stored) = 0;
        virtual void leadership_lost() = 0; // it is not ours any more: all that was under way is void
        virtual void jobs_stored_by_others(std::vector<codec::StoredJob>&& jobs) = 0; // stored by others, meanwhile
        virtual void committed(TxnOutcome outcome) = 0;
        virtual std::size_t machines_up() const = 0; // that should be heard from
    };
    LeaderElection(const Settings& settings, TimerQueue& timers, store::StateStore& store, Peers& peers,
                   const membership::Membership& members, metrics::Timings& became_leader, Host& host);

    void start();
    void tick();
    void stop();
    void commit(Commit effect) {
        transactions_.send(std::move(effect));
    }
    void resign(const std::string& why) {
        resign(why, {});
    }

    // This node may act as leader at this moment.
    [[nodiscard]] bool valid() const {
        return role_ == Role::is_leader && leader_lease_.valid(timers_.now());
    }
    [[nodiscard]] bool is_leader() const {
        return role_ == Role::is_leader;
    }
    [[nodiscard]] bool is_acquiring() const { // it is being taken: soon this node acts, or another does
        return role_ == Role::acquiring || role_ == Role::loading;
    }
    // Until when, by the clock, it may if it hears nothing more; 0: it may not.
    [[nodiscard]] double active_until() const {
        return is_leader() ? leader_lease_.until() : 0;
    }
    [[nodiscard]] const std::string& leader() const { // as far as this node knows; may be empty
        return leader_;
    }
    [[nodiscard]] std::uint64_t leader_term() const {
        return leader_term_;
    }
    [[nodiscard]] bool sees_leader() const { // the store told it to this node, a short while ago
        return valid() ||
               (role_ == Role::follower && seen_at_ >= 0 && timers_.now() - seen_at_ < 2 * settings_.report_s &&
                members_.store() != membership::Reachability::unreachable);
    }
    [[nodiscard]] double acquired_at() const {
        return acquired_at_;
    }
    [[nodiscard]] std::vector<metrics::Value> metrics() const;

    // What peers ask.
    void handle_extension_vote_request(const HttpRequest& request, const Responder& res);
    void handle_takeover_request(const HttpRequest& request, const Responder& res);

private:
    enum class Role : std::uint8_t { follower, acquiring, loading, is_leader };
    void watch_leader_key();
    void watch_leader_key_after(double delay_s);
    void handle_leader_read(const store::Answer& answer);
    void learn_leader_from_peers();
    void acquire();
    void acquire_failed();
    void claim(std::uint64_t term, std::uint64_t term_counter_revision);
    void became_leader();
    void renew();
    void extension_vote_refused(const std::string& peer, double sent, const std::string& answer);
    void resign_to_served_peer();
    void consider_better_candidates();
    void resign_if_store_unavailable();
    [[nodiscard]] bool hears_no_worker(double t) const;
    void resign(const std::string& why, const std::vector<std::string>& successors);
    void offer_leadership(const std::string& body, std::vector<std::string> to);

    const Settings& settings_;
    TimerQueue& timers_;
    store::StateStore& store_;
    Peers& peers_;
    const membership::Membership& members_;
    Host& host_;
    LeaderLease leader_lease_;
    StateLoader state_loader_;
    TransactionQueue transactions_;
    Role role_ = Role::follower;
    std::string leader_;
    std::uint64_t leader_term_ = 0, store_lease_ = 0, term_ = 0;
    std::uint64_t generation_ = 0; // of what this node is to the leadership: late answers of an earlier one are dropped
    double store_lease_requested_at_ = 0, next_renew_ = 0, acquired_at_ = 0, next_look_ = 0;
    double seen_at_ = -1, known_at_ = -1, free_since_ = -1, better_candidate_since_ = -1; // below zero: not so
    double failed_renewal_sent_ = -1;            // the newest renewal that was refused, or not answered in time
    std::map<std::string, double> served_peers_; // by the store, as they said themselves: when they were asked
    bool extended_by_votes_ = false;             // by extension votes, said once a term
    std::uint64_t acquisitions_ = 0, handovers_ = 0, resignations_without_workers_ = 0;
};

} // namespace heronshift::leadership
