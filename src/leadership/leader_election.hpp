/// @file
/// Leadership of the cluster. One key of the store names the leader and is attached to the leader's store lease, so it
/// is deleted when the lease ends. A second key counts terms and transactions and outlives the store lease (invariants
/// 1 to 3 of docs/safety.md).
///
/// ElectionStateMachine makes the decisions; LeaderElection performs the actions that it requests: store calls,
/// requests to peers and timers. LeaderElection also owns the term's transactions and the loading of the stored state,
/// and reports to its Host. It makes no decisions about jobs, users or machines.
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

/// All functions must be called on the event loop's thread. Failures of the store or of peers throw no exceptions.
class LeaderElection {
public:
    /// The component that acts on changes of leadership. Its functions are called on the event loop's thread.
    class Host {
    public:
        virtual ~Host() = default;
        /// This node has become the leader, and the stored cluster state has been read completely.
        virtual void leadership_acquired(std::uint64_t term, Snapshot&& stored) = 0;
        /// This node is no longer the leader: all work in progress for the term must be discarded, and outcomes of its
        /// pending transactions will not be reported.
        virtual void leadership_lost() = 0;
        /// Other nodes have accepted these jobs since the stored state was read or since the previous call.
        virtual void jobs_stored_by_others(std::vector<codec::StoredJob>&& jobs) = 0;
        /// The outcome of the pending transaction is known.
        virtual void committed(TxnOutcome outcome) = 0;
        /// How many machines are expected to send heartbeats.
        virtual std::size_t machines_up() const = 0;
    };

    /// Keeps all references.
    LeaderElection(const Settings& settings, TimerQueue& timers, store::StateStore& store, Peers& peers,
                   const membership::Membership& membership, metrics::Timings& timings, Host& host);

    void start();
    /// Must be called often, at least about sixty times per heartbeat interval.
    void tick();
    /// Steps down on shutdown, so that another node can take over at once.
    void stop();
    /// Sends a transaction of this term; its outcome is reported through Host::committed.
    void commit(Commit commit) {
        transactions_.send(std::move(commit));
    }
    /// Steps down because a worker has seen a fencing token higher than those of this term. `why` is written to the
    /// log.
    void resign(const std::string& why);

    /// Whether this node may act as leader at this moment.
    [[nodiscard]] bool valid() const {
        return state_machine_.valid(timers_.now());
    }
    /// Whether this node is the leader. Whether it may act is a separate question, answered by valid().
    [[nodiscard]] bool is_leader() const {
        return state_machine_.is_leader();
    }
    /// Whether this node is acquiring the leadership or loading the stored state: soon it or another node will be the
    /// active leader.
    [[nodiscard]] bool is_acquiring() const {
        return state_machine_.role() == ElectionStateMachine::Role::acquiring ||
               state_machine_.role() == ElectionStateMachine::Role::loading;
    }
    /// Until when, on the monotonic clock, this node may act as leader unless its validity is extended further; 0 or a
    /// time in the past: it may not act.
    [[nodiscard]] double active_until() const {
        return state_machine_.active_until();
    }
    /// The name of the leader as far as this node knows; empty: unknown.
    [[nodiscard]] const std::string& leader() const {
        return state_machine_.leader();
    }
    /// The term of the last leader that this node has learned of.
    [[nodiscard]] std::uint64_t leader_term() const {
        return state_machine_.leader_term();
    }
    /// Whether this node recently learned from the store itself, not from a peer, who the leader is.
    [[nodiscard]] bool sees_leader() const {
        return state_machine_.sees_leader(timers_.now());
    }
    /// When this node's newest term began, on the monotonic clock.
    [[nodiscard]] double acquired_at() const {
        return state_machine_.acquired_at();
    }
    [[nodiscard]] std::vector<metrics::Value> metrics() const;

    /// Handles POST /peer/promise. Before it votes, this node reads the leader record, which shows whether the store is
    /// down or only the requesting peer is cut off from it.
    void handle_extension_vote_request(const HttpRequest& request, const Responder& res);
    /// Handles POST /peer/take. The request may arrive minutes late or twice. Therefore the store lease that it names
    /// is revoked only if the leader record still has the node, the store lease and the term of the request. That is
    /// safe because a store lease that has ended is never valid again.
    void handle_takeover_request(const HttpRequest& request, const Responder& res);

private:
    // Takes the hints from Membership and the host.
    class Hints final : public LinkHints {
    public:
        Hints(const membership::Membership& membership, const Host& host) : membership_(membership), host_(host) {}
        [[nodiscard]] bool store_reachable() const override;
        [[nodiscard]] bool all_zones_lost() const override;
        [[nodiscard]] double last_worker_contact_at() const override;
        [[nodiscard]] std::size_t machines_up() const override;
        [[nodiscard]] double candidacy_delay_s() const override;
        [[nodiscard]] std::optional<std::string> better_candidate() const override;
        [[nodiscard]] bool no_better_candidate() const override;
        [[nodiscard]] std::optional<std::string> peer_served_by_store() const override;
        [[nodiscard]] std::optional<membership::Membership::ReportedLeader> reported_leader() const override;
        [[nodiscard]] membership::Eligibility own_eligibility() const override;
        [[nodiscard]] membership::Eligibility eligibility(const std::string& peer) const override;

    private:
        const membership::Membership& membership_;
        const Host& host_;
    };

    void perform(ElectionActions actions);
    void perform(std::uint64_t epoch, const ReadLeader& action);
    void perform(std::uint64_t epoch, const FollowLeader& action);
    void perform(std::uint64_t epoch, const ReadLeaderAfter& action);
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
    ElectionStateMachine state_machine_;
    StateLoader state_loader_;
    TransactionQueue transactions_;
};

} // namespace heronshift::leadership
