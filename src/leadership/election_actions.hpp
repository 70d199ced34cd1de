/// @file
/// What the election asks its surroundings to do. ElectionStateMachine returns lists of these; LeaderElection performs
/// them in order and hands answers back. Durations are seconds.
#pragma once

#include "leadership/leader_records.hpp"
#include "leadership/peer_messages.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace heronshift::leadership {

/// Reads the leader's record; answered by ElectionStateMachine::leader_read.
struct ReadLeader {
    double timeout_s = 0;
};
/// Waits for a change of the leader's record; answered by leader_changed.
struct FollowLeader {
    std::uint64_t revision = 0; ///< Changes after this one count.
    double block_s = 0;
};
/// A timer; answered by leader_watch_due.
struct WatchLeaderAfter {
    double delay_s = 0;
};
/// Ends the store lease that an earlier process of this node has left; answered by previous_lease_revoked.
struct RevokePreviousLease {
    std::uint64_t store_lease = 0;
    double timeout_s = 0;
};
/// The first step of an acquisition; answered by store_lease_created.
struct CreateStoreLease {
    double ttl_s = 0;
    double timeout_s = 0;
};
/// The second step; answered by term_counter_read.
struct ReadTermCounter {
    double timeout_s = 0;
};
/// The third step: writes both records if there is no leader and the term counter has this revision (invariant 1 of
/// docs/safety.md). Answered by claim_answered.
struct ClaimLeadership {
    LeaderRecord record;
    std::uint64_t term_counter_revision = 0; ///< 0: there is none yet.
    double timeout_s = 0;
};
/// Begins a term: its transactions may be sent, and what the store holds is read. Answered by state_loaded.
struct BeginTerm {
    std::uint64_t term = 0;
    std::uint64_t revision = 0; ///< Of the claim.
};
/// Ends the term: nothing more is read, sent or decided for it.
struct EndTerm {};
/// Ends a store lease; the answer does not matter.
struct RevokeStoreLease {
    std::uint64_t store_lease = 0;
    double timeout_s = 0;
};
/// Answered by store_lease_renewed.
struct RenewStoreLease {
    std::uint64_t store_lease = 0;
    double sent_at = 0; ///< To be handed back: validity counts from then.
    double timeout_s = 0;
};
/// Asks all peers; each is answered by extension_vote_received.
struct RequestExtensionVotes {
    ExtensionVoteRequest request;
    double sent_at = 0; ///< To be handed back: votes count from then.
    double timeout_s = 0;
};
/// A timer; answered by served_peers_due.
struct CheckServedPeersAfter {
    double delay_s = 0;
};
/// Asks these peers in turn to take over, until one accepts.
struct OfferTakeover {
    TakeoverRequest request;
    std::vector<std::string> successors;
    double timeout_s = 0;
};

/// One thing to do.
struct ElectionAction {
    /// To be handed back with the answer: one to an action of an earlier epoch is dropped.
    std::uint64_t epoch = 0;
    std::variant<ReadLeader, FollowLeader, WatchLeaderAfter, RevokePreviousLease, CreateStoreLease, ReadTermCounter,
                 ClaimLeadership, BeginTerm, EndTerm, RevokeStoreLease, RenewStoreLease, RequestExtensionVotes,
                 CheckServedPeersAfter, OfferTakeover>
        what;
};
using ElectionActions = std::vector<ElectionAction>;

} // namespace heronshift::leadership
