// The commands that the core takes and the effects that it returns: everything that passes between the state of the
// cluster and the outside. Plain values; see core/core.hpp for the state machine that consumes and produces them.
#pragma once

#include "heronshift/codec.hpp"
#include "heronshift/types.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace heronshift {

// Commands.

// A job has been written to the store.
struct JobStored {
    JobSpec spec;
    double age_s = 0;        // time since the submission
    double ready_age_s = -1; // time since the dependencies were done; below zero: the same as age_s
    bool waits = false;      // the stored record says that the job waits for its dependencies
};
// What the store knows about a job that another job depends on. `no_answer`: the store did not answer; `never`: the job
// was never accepted; `open`: it has not ended.
enum class Known : std::uint8_t { no_answer, never, open, done, cancelled };
// The answer to FindJob.
struct JobFound {
    std::string id;
    Known state = Known::no_answer;
    std::optional<JobStored> job; // the job's record, if there is one
};
// A user has requested the cancellation of a job. The answer is AnswerCancellation with the same handle.
struct CancellationRequested {
    std::string id;
    std::uint64_t handle = 0;
};
// A machine has sent a heartbeat. The answer is AnswerHeartbeat with the same handle.
struct HeartbeatReceived {
    Heartbeat heartbeat;
    std::uint64_t handle = 0;
    bool relayed = false; // another controller has passed the heartbeat on
};
// The answer to SendOrders with the same machine and batch.
struct OrdersAnswered {
    std::string machine;
    std::uint64_t batch = 0;
    int status = 0;                     // as for Executor::command()
    bool sent = true;                   // false: no part of the request has left this node
    std::optional<Heartbeat> heartbeat; // the heartbeat that came with the answer
};
enum class TxnOutcome : std::uint8_t { applied, refused, too_large, leadership_lost };
// The answer to Commit.
struct Committed {
    TxnOutcome outcome = TxnOutcome::applied;
};
enum class RentOutcome : std::uint8_t { rented, no_capacity, failed, unknown };
// The answer to Rent with the same claim.
struct Rented {
    std::string claim;
    RentOutcome outcome = RentOutcome::unknown;
    std::vector<std::string> machines; // ids of the machines rented
};
// The answer to Release.
struct Released {
    std::vector<std::string> machines;
    bool ok = false; // false: the machines may or may not have been released
};
// The cloud's complete list of rented machines.
struct MachinesListed {
    std::vector<ListedMachine> machines;
    double asked_at = 0; // when the list was requested, seconds of the steady clock
};
// The cloud's list of machine types.
struct MachineTypesKnown {
    std::vector<MachineType> types;
};
using Command = std::variant<JobStored, JobFound, CancellationRequested, HeartbeatReceived, OrdersAnswered, Committed,
                             Rented, Released, MachinesListed, MachineTypesKnown>;

// Effects.

// Apply these writes to the store in one transaction.
struct Commit {
    std::vector<codec::Write> writes;
};
// Send orders to a machine, in one request.
struct SendOrders {
    std::string machine, addr;
    std::uint64_t batch = 0, fencing_token = 0, agent_epoch = 0;
    std::vector<Order> orders;
    bool prefer_relay = false; // send through another controller if possible: a direct request failed recently
};
// Answer the heartbeat that came with this handle.
struct AnswerHeartbeat {
    std::uint64_t handle = 0;
    int status = 200;
    std::uint64_t fencing_token = 0;
    std::vector<Order> orders;
};
// Answer the cancellation request that came with this handle.
struct AnswerCancellation {
    std::uint64_t handle = 0;
    std::string status; // the job's status; empty: the core does not know the job
};
// Rent machines. `claim` is the idempotency key of the request.
struct Rent {
    std::string claim, type, zone;
    bool spot = false;
    int count = 0;
};
// Release rented machines.
struct Release {
    std::vector<std::string> machines;
};
// Look up a job in the store. The answer is JobFound.
struct FindJob {
    std::string id;
};
// Give up the leadership.
struct Resign {
    std::string why;
};
/// Write one line to the log.
struct LogLine {
    /// Recorded command logs contain the numeric values, so these must not change.
    enum class Level : std::uint8_t { debug = 0, info = 1, warning = 2 };
    Level level = Level::debug;
    std::string text;
};
using Effect =
    std::variant<Commit, SendOrders, AnswerHeartbeat, AnswerCancellation, Rent, Release, FindJob, Resign, LogLine>;

// Converts a job's record to a command. Ages are computed with `wall`, the wall clock in seconds since 1970.
JobStored job_stored(codec::StoredJob&& stored_job, double wall);

// Maximum numbers of machines in one request of the cloud, for renting and for releasing.
inline constexpr int max_rented = 50;
inline constexpr std::size_t max_returned = 100;

} // namespace heronshift
