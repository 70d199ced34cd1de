// The scheduler inside a program: the daemon's own controller without the daemon. A submission takes
// the same way as one over the network, so it is checked, refused and placed the same.
//
// Nothing here ends the process, sets signal handlers or keeps global state; log lines go to spdlog's
// default logger, which the program may replace. Errors are values (Reply); constructors throw
// SettingsError, store::StoreError, replay::LogError or std::system_error (cannot listen).
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

// What came of a call. Statuses are the protocol's: 201 accepted, 200 known already or the answer,
// 400 malformed and 422 can never run (error says why; not to be tried again), 404 never accepted,
// 429, 503 and 504 not now: try again after retry_after_s. 0: the scheduler was stopped before it answered.
struct Reply {
    int status = 0;
    int retry_after_s = 0;
    std::string id, state; // pending, running, done or withdrawn
    std::uint64_t done = 0, running = 0;
    std::string error;
    [[nodiscard]] bool ok() const {
        return status == 200 || status == 201;
    }
};

// A job has come to its end, whoever saw to it. Where gap is set some may have been missed: ask for
// those that matter.
struct Change {
    std::string id, state;
    bool gap = false;
};

struct SchedulerOptions {
    Settings settings;
    std::string state_file; // a durable file of this machine; empty: the state service of the settings
    // Another store, made on the scheduler's loop; if set, the two above do not count.
    std::function<std::unique_ptr<store::StateStore>(uv_loop_t*)> state;
    // What runs tasks, made on the scheduler's loop; if not set: the platform's agents and cloud. With one
    // that reports by itself no port is needed: leave the hosts to listen at empty.
    std::function<std::unique_ptr<Executor>(uv_loop_t*)> executor;
    std::shared_ptr<const Clock> clock; // none: the system's
    std::string command_log;            // a file that records what is decided, for `heronshift replay`; empty: none
};

class Scheduler {
public:
    using Done = std::function<void(const Reply&)>;
    using Watch = std::function<void(const Change&)>;

    // On the program's loop, which must go on running: while it stands still for longer than the hold
    // (settings' report_s) another copy takes over. Calls from the loop's thread only. After the
    // destructor the loop has to run once more for handles to close.
    Scheduler(uv_loop_t* loop, SchedulerOptions options);
    // On a thread that it starts. Calls from any thread; callbacks come on that thread.
    explicit Scheduler(SchedulerOptions options);
    // Gives the office up. No callback starts after it, but one that runs is waited for, unless it is
    // the one that destroys the scheduler.
    ~Scheduler();
    Scheduler(const Scheduler&) = delete;
    Scheduler& operator=(const Scheduler&) = delete;

    // Each is answered once, never before the call returns.
    void submit(const JobSpec& job, Done done);
    void submit(std::string json, Done done); // as POST /v2/runs takes it
    void get(const std::string& id, Done done);
    void cancel(const std::string& id, Done done);
    // From now on, until the scheduler ends.
    void subscribe(Watch watch);
    // Gives the office up and answers nothing more; open calls get status 0. May be called twice.
    void stop();

    // For a clock whose time the program moves: does what has become due. On the loop's thread only.
    void turn();

    // Whether this copy may act at this moment; another may share its store. False too while its loop has
    // stood still for so long that it no longer may.
    [[nodiscard]] bool acts() const;
    [[nodiscard]] int port() const; // for workers' reports; 0: it does not listen

private:
    class Inner;
    std::shared_ptr<Inner> inner_;
};

} // namespace heronshift
