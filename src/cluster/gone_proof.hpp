// The conditions that prove that a task is not on a machine, or that a launch can no longer be executed. All such
// conclusions are drawn in this file, from the arguments alone: the absence of messages proves nothing, and a task
// counts as running until the opposite is proven (docs/safety.md). Each function refers to its point in that document
// and to the tests that fail without it.
//
// Two more proofs need no condition: the cloud lists the machine as failed, or has confirmed its release (safety.md 7;
// `Core.AReleasedMachineStaysGoneWhateverALateListSays`). When a whole machine is lost, by one of these two or because
// its lease expired, an entry in Phase::storing is kept until the outcome of its transaction is known
// (`ClusterState::remove_lost_entries`).
#pragma once

#include "cluster/entry.hpp"
#include "cluster/machine.hpp"
#include "heronshift/config.hpp"
#include "heronshift/messages.hpp"

#include <cstdint>

namespace heronshift::cluster {

/// The agent that sent this heartbeat has seen a fencing token of this term, so it will refuse every launch of an
/// earlier leader that is still in transit (safety.md 5;
/// `Core.AMachineIsUsedOnceItHasShownThisTermsFencingToken`, `GoneProof.OnlyATokenOfTheTermShowsThatTheTermWasSeen`).
[[nodiscard]] bool has_seen_term(const Heartbeat& heartbeat, std::uint64_t term);

/// The heartbeat shows a later state of the machine than every heartbeat received before. An older one proves nothing
/// about the tasks that are on the machine now (safety.md 6; `Core.ACopyOfAHeartbeatIsNoHeartbeat`,
/// `GoneProof.HeartbeatsAreOrderedByEpochAndThenByCounter`).
[[nodiscard]] bool is_newest(const Heartbeat& heartbeat, const Machine& machine);

/// A newer agent epoch has begun on the machine since the task was placed. An epoch begins with no tasks, and the agent
/// refuses launches for an earlier epoch (safety.md 6; `GoneProof.ANewerEpochEndsATaskOfAnEarlierOne`. Without this
/// check `Core.ANewAgentEpochMeansThatAllTasksAreGone` still passes, since `proves_gone` covers a task that was seen
/// before.)
[[nodiscard]] bool ended_by_epoch(const Entry& entry, const Heartbeat& heartbeat);

/// The machine's newest heartbeat does not list the task, and proves that the task is not there and will not start
/// there: an earlier heartbeat listed it, or the agent has seen a higher fencing token than that of the launch and will
/// refuse the launch (safety.md 4 and 5; `Core.AnIncrementedTokenSeenInAHeartbeatSettlesALostLaunch` fails if the token
/// is not considered, `Core.AfterAFailoverOnlyAHeartbeatThatHasSeenOurTermClearsAnIntent` and
/// `Core.AnOldHeartbeatProvesNothing` fail if any token is accepted).
[[nodiscard]] bool proves_gone(const Entry& unlisted, const Heartbeat& newest);

/// The launch was never sent, so the task is not on the machine (safety.md 5;
/// `GoneProof.AHeartbeatSaysNothingAboutALaunchThatIsStillToBeSent`).
[[nodiscard]] bool never_sent(const Entry& entry);

/// The launch was sent and its outcome is unknown: the machine may still execute it. The cancellation of a job is
/// stored only once the job has no such launch (safety.md 27; `LateCommands`, `GoneProof.ALaunchIsOpenUntilItWasSeen`).
[[nodiscard]] bool launch_open(const Entry& entry);

/// The answer proves that none of the orders was executed or will be: they were never sent, or the agent refused them
/// because of their fencing token or agent epoch (safety.md 4;
/// `GoneProof.OnlyARefusalOrOrdersThatWereNeverSentAreSurelyNotExecuted`).
[[nodiscard]] bool proves_not_executed(const OrdersAnswered& answer);

/// Orders with the machine's present fencing token make the agent refuse every launch that was sent to it so far. A
/// reap must not be sent without that: the agent forgets the attempt, so a late copy of its launch would start it again
/// (safety.md 31; `LateLaunchCopies`, `Core.AReapRulesOutLateCopiesOfTheLaunch`).
[[nodiscard]] bool rules_out_earlier_launches(const Machine& machine);

/// Seconds after which a lease that is granted or renewed now has certainly expired on the machine, which measures it
/// with its own clock.
[[nodiscard]] double lease_surely_expires_after_s(const Settings& settings);

/// The machine's lease has certainly expired without a renewal, so its agent has ended all tasks (safety.md 7;
/// `Core.ASilentMachineIsOccupiedUntilItsLeaseHasSurelyExpired`).
[[nodiscard]] bool lease_surely_expired(const Machine& machine, double now, const Settings& settings);

} // namespace heronshift::cluster
