/// @file
/// The scheduler inside a program: the daemon's own controller without the daemon. A submission takes
/// the same way as one over the network, so it is checked, refused and placed the same.
///
/// Nothing here ends the process, sets signal handlers or keeps global state; log lines go to spdlog's
/// default logger, which the program may replace. Errors are values (Reply); constructors throw
/// SettingsError, store::StoreError, replay::LogError or std::system_error (cannot listen).
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

/// What came of a call.
struct Reply {
    /// The protocol's: 201 accepted, 200 known already or the answer, 400 malformed and 422 can never run (not to be
    /// tried again), 404 never accepted, 429, 503 and 504 not now: try again later. 0: the scheduler was stopped
    /// before it answered.
    int status = 0;
    /// When to try again, in seconds; 0: not said.
    int retry_after_s = 0;
    /// The job's id.
    std::string id;
    /// The job's state: pending, running, done or withdrawn.
    std::string state;
    /// The number of its tasks that are done.
    std::uint64_t done = 0;
    /// The number of its tasks that run.
    std::uint64_t running = 0;
    /// Why it was refused; empty if it was not.
    std::string error;
    /// The call did what it was asked for.
    [[nodiscard]] bool ok() const {
        return status == 200 || status == 201;
    }
};

/// A job has come to its end, whoever saw to it.
struct Change {
    /// The job's id; empty where gap is set.
    std::string id;
    /// Its final state: done or withdrawn; empty where gap is set.
    std::string state;
    /// Some changes may have been missed: ask for the jobs that matter.
    bool gap = false;
};

/// What a scheduler is made of. Only the settings are needed.
struct SchedulerOptions {
    /// The platform's and the operators' settings.
    Settings settings;
    /// A durable file of this machine that holds the state; empty: the state service of the settings.
    std::string state_file;
    /// Makes another store, on the thread of the scheduler's loop; if set, state_file and the state service do not
    /// count. It must not return null.
    std::function<std::unique_ptr<store::StateStore>(uv_loop_t*)> state;
    /// Makes what runs tasks, on the thread of the scheduler's loop; if not set: the platform's agents and cloud. With
    /// one that reports by itself no port is needed: leave the hosts to listen at empty.
    std::function<std::unique_ptr<Executor>(uv_loop_t*)> executor;
    /// Where time comes from; null: the system's clocks.
    std::shared_ptr<const Clock> clock;
    /// A file that records what is decided, for `heronshift replay`; empty: none.
    std::string command_log;
};

/// A controller of the cluster. It acts while it holds the leadership, which copies of it on the same store share.
class Scheduler {
public:
    /// Takes the answer to a call, on the thread of the scheduler's loop. It must not throw.
    using Done = std::function<void(const Reply&)>;
    /// Takes what is told to subscribers, on the thread of the scheduler's loop. It must not throw.
    using Watch = std::function<void(const Change&)>;

    /// Runs on the program's loop, which must go on running: while it stands still for longer than the leadership's
    /// lease (settings' report_s, in seconds) another copy takes over. Calls from the loop's thread only. After the
    /// destructor the loop has to run once more for handles to close. Throws as the head of this file says.
    Scheduler(uv_loop_t* loop, SchedulerOptions options);
    /// Runs on a thread that it starts. Calls from any thread; callbacks come on that thread. Throws as the head of
    /// this file says.
    explicit Scheduler(SchedulerOptions options);
    /// Gives the leadership up. No callback starts after it, but one that runs is waited for, unless it is
    /// the one that destroys the scheduler.
    ~Scheduler();
    Scheduler(const Scheduler&) = delete;
    Scheduler& operator=(const Scheduler&) = delete;

    /// Submits a job. Answered once, never before the call returns: 201 once it is stored, 200 with its state if it
    /// was before, 400 or 422 with the reason.
    void submit(const JobSpec& job, Done done);
    /// Submits a job as POST /v2/runs takes it, a JSON text; otherwise the same.
    void submit(std::string json, Done done);
    /// Asks for a job's state. Answered once, never before the call returns: 200, or 404 if it was never accepted.
    void get(const std::string& id, Done done);
    /// Cancels a job and all that need it. Answered once, never before the call returns: 200 with its final state,
    /// which is done if it came first, or 404 if it was never accepted.
    void cancel(const std::string& id, Done done);
    /// Tells of each job that comes to its end, from now on until the scheduler ends.
    void subscribe(Watch watch);
    /// Gives the leadership up and answers nothing more; open calls get status 0. May be called twice.
    void stop();

    /// For a clock whose time the program moves: does what has become due. On the loop's thread only.
    void turn();

    /// Whether this copy may act at this moment; another may share its store. False too while its loop has
    /// stood still for so long that it no longer may. On any thread.
    [[nodiscard]] bool is_active_leader() const;
    /// The former name of is_active_leader().
    [[deprecated("use is_active_leader()")]] [[nodiscard]] bool acts() const {
        return is_active_leader();
    }
    /// The TCP port for machines' reports; 0: it does not listen.
    [[nodiscard]] int port() const;

private:
    class Inner;
    std::shared_ptr<Inner> inner_;
};

} // namespace heronshift
