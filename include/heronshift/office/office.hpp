// Leadership: one key of the store, held under a hold, names the holder; a second key, the round,
// counts terms and transactions and outlives the hold. See docs/safety.md.
//
// Owns: who is thought to hold the office, this controller's hold and tenancy, the term, the round's
// count and the transactions on the way. May call the store, the peers, membership (for who is fitter: a
// hint) and what follows the records; never a user, a machine or the core: what it has to say goes to its
// Host. Knows nothing of what users
// ask and nothing of what a transaction is about.
#pragma once

#include "heronshift/budget.hpp"
#include "heronshift/config.hpp"
#include "heronshift/later.hpp"
#include "heronshift/membership/membership.hpp"
#include "heronshift/messages.hpp"
#include "heronshift/office/commits.hpp"
#include "heronshift/office/reader.hpp"
#include "heronshift/office/tenancy.hpp"
#include "heronshift/peers/peers.hpp"
#include "heronshift/store/store.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace heronshift::office {

class Office {
public:
    class Host {
    public:
        virtual ~Host() = default;
        // The office is ours and all that the store holds has been read.
        virtual void entered(std::uint64_t term, Snapshot&& stored) = 0;
        virtual void left() = 0; // it is not ours any more: all that was under way is void
        virtual void jobs_seen(std::vector<codec::StoredJob>&& jobs) = 0; // stored by others, meanwhile
        virtual void committed(TxnOutcome outcome) = 0;
        virtual std::size_t machines_up() const = 0; // that should be heard from
    };
    Office(const Settings& s, Later& later, store::StateStore& store, Peers& peers,
           const membership::Membership& members, metrics::Timings& took, Host& host);

    void start();
    void tick();
    void stop();
    void commit(Commit c) {
        commits_.send(std::move(c));
    }
    void step_down(const std::string& why) {
        end_term(why, {});
    }

    // This node may act as holder at this moment.
    [[nodiscard]] bool valid() const {
        return state_ == State::held && tenancy_.valid(later_.now());
    }
    [[nodiscard]] bool held() const {
        return state_ == State::held;
    }
    [[nodiscard]] bool taking() const { // it is being taken: soon this node acts, or another does
        return state_ == State::acquiring || state_ == State::loading;
    }
    // Until when, by the clock, it may if it hears nothing more; 0: it may not.
    [[nodiscard]] double acts_until() const {
        return held() ? tenancy_.until() : 0;
    }
    [[nodiscard]] const std::string& holder() const { // as far as this node knows; may be empty
        return holder_;
    }
    [[nodiscard]] std::uint64_t holder_term() const {
        return holder_term_;
    }
    [[nodiscard]] bool sees_office() const { // the store told it to this node, a short while ago
        return valid() || (state_ == State::standby && seen_at_ >= 0 && later_.now() - seen_at_ < 2 * s_.report_s &&
                           members_.store() != membership::Reach::lost);
    }
    [[nodiscard]] double taken_at() const {
        return taken_at_;
    }
    [[nodiscard]] std::vector<metrics::Value> metrics() const;

    // What peers ask.
    void asked_to_promise(const HttpRequest& r, const Responder& res);
    void asked_to_take(const HttpRequest& r, const Responder& res);

private:
    enum class State : std::uint8_t { standby, acquiring, loading, held };
    void watch();
    void watch_again(double delay_s);
    void seen(const store::Answer& r);
    void hear_of_holder();
    void acquire();
    void acquire_failed();
    void claim(std::uint64_t term, std::uint64_t round_stamp);
    void took();
    void renew();
    void refused_promise(const std::string& peer, double sent, const std::string& answer);
    void yield_to_served();
    void consider_others();
    void give_up_if_unserved();
    [[nodiscard]] bool is_deaf(double t) const;
    void end_term(const std::string& why, const std::vector<std::string>& successors);
    void offer(const std::string& body, std::vector<std::string> to);

    const Settings& s_;
    Later& later_;
    store::StateStore& store_;
    Peers& peers_;
    const membership::Membership& members_;
    Host& host_;
    Tenancy tenancy_;
    Reader reader_;
    Commits commits_;
    State state_ = State::standby;
    std::string holder_;
    std::uint64_t holder_term_ = 0, hold_ = 0, term_ = 0;
    std::uint64_t generation_ = 0; // of what this node is to the office: late answers of an earlier one are dropped
    double hold_sent_ = 0, next_renew_ = 0, taken_at_ = 0, next_look_ = 0;
    double seen_at_ = -1, known_at_ = -1, free_since_ = -1, fitter_since_ = -1; // below zero: not so
    double failed_renewal_sent_ = -1;      // the newest renewal that was refused, or not answered in time
    std::map<std::string, double> served_; // by the store, as they said themselves: when they were asked
    bool carried_ = false;                 // by promises, said once a term
    std::uint64_t takes_ = 0, handovers_ = 0, deaf_ends_ = 0;
};

} // namespace heronshift::office
