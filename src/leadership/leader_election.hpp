/// @file
/// Leadership of the cluster: one key of the store, held under a store lease, names the leader; a second one counts
/// terms and transactions and outlives the store lease (invariants 1 to 3 of docs/safety.md).
///
/// ElectionStateMachine decides; LeaderElection performs what it asks for: calls of the store, requests to peers,
/// timers. It holds the transactions of the term and the reading of the stored state, and reports to its Host. It takes
/// no decisions about jobs, users or machines.
#pragma once

#include "heronshift/config.hpp"
#include "heronshift/messages.hpp"
#include "heronshift/store/store.hpp"
#include "http.hpp"
#include "leadership/election_state_machine.hpp"
#include "leadership/state_loader.hpp"
#include "leadership/transaction_queue.hpp"
#include "membership/membership.hpp"
#include "metrics/metrics.hpp"
#include "peers/peers.hpp"
#include "timer_queue.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace heronshift::leadership {

/// All functions are called on the loop's thread. Nothing throws on a failure of the store or of peers.
class LeaderElection {
public:
    /// Whom the leadership serves. Called on the loop's thread.
    class Host {
    public:
        virtual ~Host() = default;
        /// This node is the leader and all that the store holds has been read.
        virtual void leadership_acquired(std::uint64_t term, Snapshot&& stored) = 0;
        /// This node is not the leader any more: all that was under way is void.
        virtual void leadership_lost() = 0;
        /// Other nodes have accepted these jobs since.
        virtual void jobs_stored_by_others(std::vector<codec::StoredJob>&& jobs) = 0;
        /// The oldest transaction that was sent has this outcome.
        virtual void committed(TxnOutcome outcome) = 0;
        /// How many machines should send heartbeats.
        virtual std::size_t machines_up() const = 0;
    };

    /// Keeps the references.
    LeaderElection(const Settings& settings, TimerQueue& timers, store::StateStore& store, Peers& peers,
                   const membership::Membership& members, metrics::Timings& timings, Host& host);

    void start();
    /// To be called often, some sixty times a heartbeat interval or more.
    void tick();
    /// Steps down, so that another node can take over at once.
    void stop();
    /// Sends a transaction of this term; its outcome comes by Host::committed.
    void commit(Commit commit) {
        transactions_.send(std::move(commit));
    }
    /// Steps down since a worker has seen a fencing token above those of this term; `why` is for the log.
    void resign(const std::string& why);

    /// This node may act as leader at this moment.
    [[nodiscard]] bool valid() const {
        return machine_.valid(timers_.now());
    }
    /// This node is the leader; whether it may act is what valid() says.
    [[nodiscard]] bool is_leader() const {
        return machine_.is_leader();
    }
    /// The leadership is being taken: soon this node acts, or another does.
    [[nodiscard]] bool is_acquiring() const {
        return machine_.role() == ElectionStateMachine::Role::acquiring ||
               machine_.role() == ElectionStateMachine::Role::loading;
    }
    /// Until when, by the monotonic clock, this node may act if it hears nothing more; 0: it may not.
    [[nodiscard]] double active_until() const {
        return machine_.active_until();
    }
    /// The leader as far as this node knows; may be empty.
    [[nodiscard]] const std::string& leader() const {
        return machine_.leader();
    }
    [[nodiscard]] std::uint64_t leader_term() const {
        return machine_.leader_term();
    }
    /// The store told this node a short while ago who the leader is.
    [[nodiscard]] bool sees_leader() const {
        return machine_.sees_leader(timers_.now());
    }
    /// When this node's newest term began, by the monotonic clock.
    [[nodiscard]] double acquired_at() const {
        return machine_.acquired_at();
    }
    [[nodiscard]] std::vector<metrics::Value> metrics() const;

    /// POST /peer/promise. This node reads the leader's record first: that tells whether the store is down or only the
    /// peer is cut off from it.
    void handle_extension_vote_request(const HttpRequest& request, const Responder& res);
    /// POST /peer/take. Such a request may come minutes late or twice: the store lease that it names is ended only if
    /// the leader's record still names all of the request, and a lease that has ended never comes back.
    void handle_takeover_request(const HttpRequest& request, const Responder& res);

private:
    // The hints come from membership and the host.
    class Hints final : public LinkHints {
    public:
        Hints(const membership::Membership& members, const Host& host) : members_(members), host_(host) {}
        [[nodiscard]] bool store_reachable() const override;
        [[nodiscard]] bool all_zones_lost() const override;
        [[nodiscard]] double last_worker_heartbeat_at() const override;
        [[nodiscard]] std::size_t machines_up() const override;
        [[nodiscard]] double candidacy_delay_s() const override;
        [[nodiscard]] std::optional<std::string> better_candidate() const override;
        [[nodiscard]] bool no_better_candidate() const override;
        [[nodiscard]] std::optional<std::string> served_instead() const override;
        [[nodiscard]] std::optional<membership::Membership::ReportedLeader> reported_leader() const override;
        [[nodiscard]] membership::Eligibility own_eligibility() const override;
        [[nodiscard]] membership::Eligibility eligibility(const std::string& peer) const override;

    private:
        const membership::Membership& members_;
        const Host& host_;
    };

    void perform(ElectionActions actions);
    void perform(std::uint64_t epoch, const ReadLeader& action);
    void perform(std::uint64_t epoch, const FollowLeader& action);
    void perform(std::uint64_t epoch, const WatchLeaderAfter& action);
    void perform(std::uint64_t epoch, const RevokePreviousLease& action);
    void perform(std::uint64_t epoch, const CreateStoreLease& action);
    void perform(std::uint64_t epoch, const ReadTermCounter& action);
    void perform(std::uint64_t epoch, const ClaimLeadership& action);
    void perform(std::uint64_t epoch, const BeginTerm& action);
    void perform(std::uint64_t epoch, const EndTerm& action);
    void perform(std::uint64_t epoch, const RevokeStoreLease& action);
    void perform(std::uint64_t epoch, const RenewStoreLease& action);
    void perform(std::uint64_t epoch, const RequestExtensionVotes& action);
    void perform(std::uint64_t epoch, const CheckServedPeersAfter& action);
    void perform(std::uint64_t epoch, const OfferTakeover& action);
    void offer_takeover(const std::string& body, std::vector<std::string> successors, double timeout_s);
    void answer_takeover(const TakeoverRequest& request, const store::Answer& answer, const Responder& res);
    void accept_takeover(const Responder& res);

    const Settings& settings_;
    TimerQueue& timers_;
    store::StateStore& store_;
    Peers& peers_;
    Host& host_;
    Hints hints_;
    ElectionStateMachine machine_;
    StateLoader state_loader_;
    TransactionQueue transactions_;
};

} // namespace heronshift::leadership
