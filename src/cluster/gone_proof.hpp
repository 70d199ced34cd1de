// What proves that a task is not on a machine, or that a launch can no longer be executed. All conclusions of that
// kind are drawn here, and only from what the arguments say: silence proves nothing, and whatever is not proven
// counts as running (docs/safety.md). Each function names its point there and the tests that fail without it.
//
// Two more proofs need no condition: the cloud lists the machine as failed, or has answered a release of it
// (safety.md 7; `Core.AReleasedMachineStaysGoneWhateverALateListSays`). When a whole machine is lost, by these or by
// its lease, an entry in Phase::storing stays until its transaction has an outcome (`ClusterState::lose_entries`).
#pragma once

#include "cluster/entry.hpp"
#include "cluster/machine.hpp"
#include "heronshift/config.hpp"
#include "heronshift/messages.hpp"

#include <cstdint>

namespace heronshift::cluster {

/// The agent that sent this heartbeat has seen a fencing token of the term, so no launch of an earlier leader that is
/// still on its way can be executed there any more (safety.md 5;
/// `Core.AMachineIsUsedOnceItHasShownThisTermsFencingToken`, `GoneProof.OnlyATokenOfTheTermShowsThatTheTermWasSeen`).
[[nodiscard]] bool has_seen_term(const Heartbeat& heartbeat, std::uint64_t term);

/// The heartbeat shows a later state of the machine than any before. An older one says nothing about what is there
/// now (safety.md 6; `Core.ACopyOfAHeartbeatIsNoHeartbeat`,
/// `GoneProof.HeartbeatsAreOrderedByEpochAndThenByCounter`).
[[nodiscard]] bool is_newest(const Heartbeat& heartbeat, const Machine& machine);

/// A newer agent epoch has begun on the machine since the task was placed. It began with no tasks, and launches for
/// an earlier one are refused (safety.md 6; `GoneProof.ANewerEpochEndsATaskOfAnEarlierOne`. Without it
/// `Core.ANewAgentEpochMeansThatAllTasksAreGone` still passes, since a task that was seen is gone by `proves_gone`.)
[[nodiscard]] bool ended_by_epoch(const Entry& entry, const Heartbeat& heartbeat);

/// The machine's newest heartbeat, which does not list the task, proves that it is not there and will not be: it had
/// been there before, or the agent has seen a higher fencing token than that of the launch and will refuse it
/// (safety.md 4 and 5; `Core.AnIncrementedTokenSeenInAHeartbeatSettlesALostLaunch` without the token,
/// `Core.AfterAFailoverOnlyAHeartbeatThatHasSeenOurTermClearsAnIntent` and `Core.AnOldHeartbeatProvesNothing` if any
/// token will do).
[[nodiscard]] bool proves_gone(const Entry& unlisted, const Heartbeat& newest);

/// The launch was never sent, so the task is not there (safety.md 5;
/// `GoneProof.AHeartbeatSaysNothingAboutALaunchThatIsStillToBeSent`).
[[nodiscard]] bool never_sent(const Entry& entry);

/// The launch was sent and its outcome is not known: the machine may still execute it. A cancellation is stored only
/// once no such launch of the job is left (safety.md 27; `LateCommands`, `GoneProof.ALaunchIsOpenUntilItWasSeen`).
[[nodiscard]] bool launch_open(const Entry& entry);

/// The answer proves that none of the orders was executed or will be: they were never sent, or the agent refused them
/// for their fencing token or epoch (safety.md 4;
/// `GoneProof.OnlyARefusalOrOrdersThatWereNeverSentAreSurelyNotExecuted`).
[[nodiscard]] bool proves_not_executed(const OrdersAnswered& answer);

/// Seconds after which a lease that was granted or renewed now has surely expired on the machine, which counts it by
/// its own clock.
[[nodiscard]] double lease_surely_expires_after_s(const Settings& settings);

/// The agent has ended all tasks by itself, as nobody has renewed its lease (safety.md 7;
/// `Core.ASilentMachineIsOccupiedUntilItsLeaseHasSurelyExpired`).
[[nodiscard]] bool lease_surely_expired(const Machine& machine, double now, const Settings& settings);

} // namespace heronshift::cluster
