/// @file
/// The actions that ElectionStateMachine requests: store calls, requests to peers and timers. Each of its inputs
/// returns a list of actions; LeaderElection performs them in order and passes the results back as further inputs.
/// Durations are seconds.
#pragma once

#include "leadership/leader_records.hpp"
#include "leadership/peer_messages.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace heronshift::leadership {

/// Reads the leader record. The result goes to ElectionStateMachine::leader_read.
struct ReadLeader {
    double timeout_s = 0;
};
/// Waits for a change of the leader record. The result goes to ElectionStateMachine::leader_changed.
struct FollowLeader {
    std::uint64_t revision = 0; ///< Only changes after this revision are reported.
    double block_s = 0;         ///< How long the call may wait for a change.
};
/// Starts a timer, after which the leader record is read again. Its expiry goes to
/// ElectionStateMachine::leader_read_due.
struct ReadLeaderAfter {
    double delay_s = 0;
};
/// Revokes the store lease that an earlier process of this node left behind. The result goes to
/// ElectionStateMachine::previous_lease_revoked.
struct RevokePreviousLease {
    std::uint64_t store_lease = 0;
    double timeout_s = 0;
};
/// First step of acquiring the leadership: creates a store lease. The result goes to
/// ElectionStateMachine::store_lease_created.
struct CreateStoreLease {
    double ttl_s = 0;
    double timeout_s = 0;
};
/// Second step of acquiring the leadership: reads the term counter. The result goes to
/// ElectionStateMachine::term_counter_read.
struct ReadTermCounter {
    double timeout_s = 0;
};
/// Third step of acquiring the leadership: writes the leader record and the term counter in one transaction, provided
/// that there is no leader record and the term counter still has the given revision (invariant 1 of docs/safety.md).
/// The result goes to ElectionStateMachine::claim_answered.
struct ClaimLeadership {
    LeaderRecord record;
    std::uint64_t term_counter_revision = 0; ///< 0: the term counter does not exist yet.
    double timeout_s = 0;
};
/// Begins a term: transactions of the term may be sent from now on, and the stored cluster state is read. When it has
/// been read, ElectionStateMachine::state_loaded is called.
struct BeginTerm {
    std::uint64_t term = 0;
    std::uint64_t revision = 0; ///< The store's revision of the claim's transaction.
};
/// Ends the term: nothing more is read, sent or decided for it.
struct EndTerm {};
/// Revokes a store lease. Its result is ignored.
struct RevokeStoreLease {
    std::uint64_t store_lease = 0;
    double timeout_s = 0;
};
/// Renews the leader's store lease. The result goes to ElectionStateMachine::store_lease_renewed.
struct RenewStoreLease {
    std::uint64_t store_lease = 0;
    double sent_at = 0; ///< Passed back with the result: the renewed validity counts from this time.
    double timeout_s = 0;
};
/// Requests an extension vote from every peer. Each answer goes to ElectionStateMachine::extension_vote_received.
struct RequestExtensionVotes {
    ExtensionVoteRequest request;
    double sent_at = 0; ///< Passed back with each answer: the extension counts from this time.
    double timeout_s = 0;
};
/// Starts a timer, after which the leader considers handing over to a peer that the store serves. Its expiry goes to
/// ElectionStateMachine::served_peers_due.
struct CheckServedPeersAfter {
    double delay_s = 0;
};
/// Asks the successors to take over, one after the other, until one accepts.
struct OfferTakeover {
    TakeoverRequest request;
    std::vector<std::string> successors;
    double timeout_s = 0;
};

/// One requested action.
struct ElectionAction {
    /// Passed back with the result. Results of actions from an earlier epoch are ignored.
    std::uint64_t epoch = 0;
    std::variant<ReadLeader, FollowLeader, ReadLeaderAfter, RevokePreviousLease, CreateStoreLease, ReadTermCounter,
                 ClaimLeadership, BeginTerm, EndTerm, RevokeStoreLease, RenewStoreLease, RequestExtensionVotes,
                 CheckServedPeersAfter, OfferTakeover>
        operation;
};
using ElectionActions = std::vector<ElectionAction>;

} // namespace heronshift::leadership
