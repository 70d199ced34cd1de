/// @file
/// The scheduler as a library: the controller that the daemon runs, for use within a program. Submissions take the same
/// path as those over the network, so they are validated, refused and placed in the same way.
///
/// Nothing here ends the process, sets signal handlers or keeps global state. Log lines go to spdlog's default logger,
/// which the program may replace. Calls report errors as values (Reply). Constructors throw SettingsError,
/// store::StoreError, replay::LogError, or std::system_error if the scheduler cannot listen.
#pragma once

#include "heronshift/clock.hpp"
#include "heronshift/config.hpp"
#include "heronshift/executor/executor.hpp"
#include "heronshift/store/store.hpp"
#include "heronshift/types.hpp"

#include <functional>
#include <memory>
#include <string>
#include <uv.h>

namespace heronshift {

/// The result of a call.
struct Reply {
    /// Status code of the protocol: 201 the job was accepted; 200 the job was accepted before, or the call succeeded;
    /// 400 the request is malformed; 422 the job can never run; 404 the job was never accepted; 429, 503 and 504 the
    /// call cannot be served now and should be tried again later. After 400 and 422 there is no use in trying again.
    /// 0: the scheduler was stopped before it answered.
    int status = 0;
    /// Time after which to try again, in seconds; 0: not specified.
    int retry_after_s = 0;
    /// The job's id.
    std::string id;
    /// The job's state: pending, running, done or withdrawn.
    std::string state;
    /// The number of the job's tasks that are done.
    std::uint64_t done = 0;
    /// The number of the job's tasks that are running.
    std::uint64_t running = 0;
    /// Why the call was refused; empty if it was not.
    std::string error;
    /// Whether the call succeeded.
    [[nodiscard]] bool ok() const {
        return status == 200 || status == 201;
    }
};

/// Notification that a job has ended, whichever controller of the cluster recorded that.
struct Change {
    /// The job's id; empty where gap is set.
    std::string id;
    /// Its final state: done or withdrawn; empty where gap is set.
    std::string state;
    /// Some notifications may have been missed: query the jobs that matter.
    bool gap = false;
};

/// The configuration of a scheduler. Only the settings are required.
struct SchedulerOptions {
    /// The platform's and the operators' settings.
    Settings settings;
    /// A durable file on this machine that holds the state; empty: the state service that the settings name.
    std::string state_file;
    /// Creates a store to use instead of `state_file` and the state service. Called on the thread of the scheduler's
    /// loop. It must not return null.
    std::function<std::unique_ptr<store::StateStore>(uv_loop_t*)> state;
    /// Creates the executor that runs the tasks; if not set, the platform's agents and cloud run them. Called on the
    /// thread of the scheduler's loop. An executor that passes heartbeats on by itself needs no port: leave the hosts
    /// of `Settings::listen` and `Settings::peer_listen` empty.
    std::function<std::unique_ptr<Executor>(uv_loop_t*)> executor;
    /// The source of time; null: the system's clocks.
    std::shared_ptr<const Clock> clock;
    /// A file in which commands and digests of the decisions are recorded, for `heronshift replay`; empty: none.
    std::string command_log;
};

/// A controller of the cluster. Controllers that use the same store elect one of them as the leader, and only the
/// leader schedules.
class Scheduler {
public:
    /// Receives the result of a call, on the thread of the scheduler's loop. It must not throw.
    using Done = std::function<void(const Reply&)>;
    /// Receives the notifications of a subscription, on the thread of the scheduler's loop. It must not throw.
    using Watch = std::function<void(const Change&)>;

    /// Runs the scheduler on the program's loop. All functions must be called on the loop's thread, except where they
    /// say otherwise. The program must keep the loop running: if the loop stalls for longer than the leadership's lease
    /// (report_s of the settings, in seconds), another controller takes over. After the destructor the loop has to run
    /// once more so that handles are closed. Throws the exceptions listed at the head of this file.
    Scheduler(uv_loop_t* loop, SchedulerOptions options);
    /// Runs the scheduler on a thread that it starts. Functions may be called on any thread; callbacks are called on
    /// the thread that it starts. Throws the exceptions listed at the head of this file.
    explicit Scheduler(SchedulerOptions options);
    /// Gives up the leadership. No callback starts after the destructor has returned. The destructor waits for a
    /// callback that is running, unless it is called within that callback.
    ~Scheduler();
    Scheduler(const Scheduler&) = delete;
    Scheduler& operator=(const Scheduler&) = delete;

    /// Submits a job. `done` is called exactly once, never before submit() returns: with 201 once the job is stored,
    /// 200 and its state if it had been accepted before, or 400 or 422 and the reason.
    void submit(const JobSpec& job, Done done);
    /// Submits a job given as a JSON text, in the form of the body of POST /v2/runs. Otherwise like the other submit().
    void submit(std::string json, Done done);
    /// Queries a job's state. `done` is called exactly once, never before get() returns: with 200, or 404 if the job
    /// was never accepted.
    void get(const std::string& id, Done done);
    /// Cancels a job and all jobs that depend on it. `done` is called exactly once, never before cancel() returns: with
    /// 200 and the job's final state, which is "done" if the job was done before the cancellation, or 404 if the job
    /// was never accepted.
    void cancel(const std::string& id, Done done);
    /// Calls `watch` for each job that ends, from now on until the scheduler ends.
    void subscribe(Watch watch);
    /// Gives up the leadership and stops serving calls. Calls that have no result yet get status 0. May be called more
    /// than once.
    void stop();

    /// Does all work that has become due. For programs that supply a clock and move its time themselves. To be called
    /// on the loop's thread only.
    void turn();

    /// Whether this controller is the leader and may act at this moment. Also false if its loop has stalled for so long
    /// that its leadership has expired. May be called on any thread.
    [[nodiscard]] bool is_active_leader() const;
    /// The former name of is_active_leader().
    [[deprecated("use is_active_leader()")]] [[nodiscard]] bool acts() const {
        return is_active_leader();
    }
    /// The TCP port that receives the machines' heartbeats; 0: the scheduler does not listen.
    [[nodiscard]] int port() const;

private:
    class Inner;
    std::shared_ptr<Inner> inner_;
};

} // namespace heronshift
