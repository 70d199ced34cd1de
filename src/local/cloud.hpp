/// @file
/// Emulators of the cloud and of its machines. The cloud rents out machines and takes them back. On each machine a
/// worker sends heartbeats to the controllers and simulates the execution of tasks. Controllers reach them over HTTP on
/// loopback, each worker at an address of its own; a scheduler in the same process uses them through an Executor.
#pragma once

#include "heronshift/clock.hpp"
#include "heronshift/executor/executor.hpp"
#include "http.hpp"
#include "local/history.hpp"
#include "local/late_copies.hpp"
#include "loop_timer.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>

namespace heronshift::local {

/// The time limits that workers apply, and the controllers that they send heartbeats to.
struct WorkerSettings {
    double report_s = 1, lease_s = 6, gang_wait_s = 10, gang_peer_s = 2;
    std::vector<std::pair<std::string, std::string>> nodes; ///< Names and addresses of the controllers.
};

/// What the emulated platform consists of.
struct PlatformPlan {
    WorkerSettings workers;
    std::vector<MachineType> types;
    /// The maximum number of machines rented at once for each machine type and zone, for spot and on-demand machines
    /// each.
    int capacity = 12;
    /// The mean run time of tasks as a share of the job's `expectedS`. Run times deviate from the mean by up to a
    /// third.
    double run_share = 1;
    unsigned seed = 1;
    /// Where time comes from; null: the system's clock.
    std::shared_ptr<const Clock> clock;
    /// Makes two runs comparable: the emulators act only when `turn` is called, and neither the time of a heartbeat nor
    /// the controller that it goes to is random.
    bool lockstep = false;
};

class Platform;

/// An emulated machine and the worker that runs on it.
class EmulatedWorker {
public:
    EmulatedWorker(Platform& p, std::string id, const MachineType& type, std::string zone, bool spot, double up_at);
    /// Starts to listen, unless the scheduler is in this process. Returns 0 or a libuv error.
    int start();
    /// Advances the tasks to the time `now` and sends a heartbeat if one is due.
    void tick(double now);
    /// Drops all tasks, because the machine is gone or its lease has expired.
    void drop_all_tasks();
    /// Executes orders. Returns status 200, or 409 if the fencing token is outdated or the agent epoch is not the
    /// current one, each with a heartbeat; 0 without a heartbeat if the machine does not answer.
    std::pair<int, std::optional<Heartbeat>> take_orders(std::uint64_t fencing_token, std::uint64_t agent_epoch,
                                                         const std::vector<Order>& list);

    [[nodiscard]] ListedMachine list_entry(double now) const;
    [[nodiscard]] bool up(double now) const {
        return now >= up_at_;
    }
    /// Faults. Until `hung_until` the machine does nothing; until `cut_off_until` it is cut off from the network, but
    /// its tasks continue to run.
    double hung_until = -1, cut_off_until = -1;
    bool fails_all_tasks = false; ///< A fault: every task fails once it has its image.
    /// Until then messages in both directions are delayed. They arrive in order afterwards, when their senders have
    /// given up waiting for an answer.
    double delayed_until = -1;

private:
    friend class Platform;
    struct Run {
        ReportedTask t;
        // When the current state ends: fetching the image, waiting for the rest of the gang, running, or saving.
        double until = 0;
        bool recorded = false;          // The history has recorded the task as being on this machine.
        double peer_missing_since = -1; // Since when a task of the same gang is missing; -1: none is.
    };
    void handle(HttpRequest&& request, const Responder& res);
    [[nodiscard]] std::function<void()> copy_of(const codec::Orders& orders);
    void execute(const std::vector<Order>& list, double now);
    void launch(const Order& order, double now);
    void end(Run& r, ExitCause cause, bool saved = false);
    void heartbeat(double now);
    void handle_response(const HeartbeatResponse& a, double sent, std::uint64_t agent_epoch);
    void next_node(double now);
    Heartbeat heartbeat();

    Platform& platform_;
    std::string id_, zone_, addr_;
    const MachineType& type_;
    bool spot_;
    double rented_at_, up_at_, lease_start_, next_heartbeat_ = 0, speed_ = 1;
    std::uint64_t agent_epoch_ = 1, counter_ = 0, fencing_token_ = 0;
    std::size_t node_ = 0;
    bool in_flight_ = false, changed_ = false;
    double last_heartbeat_at_ = -1;
    std::set<std::string> images_;
    std::vector<Run> runs_;
    std::vector<std::function<void()>> delayed_messages_; // Messages that are delayed until `delayed_until`.
    HttpServer server_;
};

/// The emulated cloud with all its machines.
class Platform {
public:
    Platform(uv_loop_t* loop, PlatformPlan plan, History& history);
    Platform(const Platform&) = delete;
    Platform& operator=(const Platform&) = delete;
    /// Serves the cloud's interface at `cloud_at` and runs the machines. Returns 0 or a libuv error.
    int start(const Endpoint& cloud_at);
    /// For one scheduler in this process, to be called instead of `start`. The executor must not outlive the platform.
    std::unique_ptr<Executor> executor();
    /// Does what is due. Called by a timer, except in lockstep mode.
    void turn();
    [[nodiscard]] int port() const {
        return server_.port();
    }
    void heartbeat_to(std::vector<std::pair<std::string, std::string>> nodes) {
        plan_.workers.nodes = std::move(nodes);
    }
    /// Tells the machines the description of a job, without which they cannot run its tasks.
    void register_job(const JobSpec& spec) {
        jobs_[spec.id] = spec;
    }
    /// Called for a job that is not known yet, because it was submitted by another program. Returns its description, if
    /// there is one.
    std::function<std::optional<JobSpec>(const std::string& id)> ask;
    bool out = false; ///< A fault: the cloud refuses all requests.
    /// A fault: late copies of orders, heartbeats and requests to the cloud. Delivered in `turn`.
    [[nodiscard]] LateCopies& late_copies() {
        return *late_copies_;
    }
    /// Returns a random machine that is up, or null if there is none.
    EmulatedWorker* random_worker();
    /// Removes a machine together with its tasks.
    void kill(EmulatedWorker& w);

    struct Totals {
        std::size_t machines = 0, up = 0, running = 0; ///< Machines, machines that are up, and running tasks.
        /// Machines rented and returned so far, and the highest fencing token that a machine has seen.
        std::uint64_t rented = 0, returned = 0, fencing_token = 0;
    };
    [[nodiscard]] Totals totals() const;
    [[nodiscard]] double now() const {
        return plan_.clock->now();
    }
    /// The number of messages between machines, cloud and controllers so far. It does not change while there is no
    /// traffic.
    [[nodiscard]] std::uint64_t messages() const {
        return message_count_;
    }
    /// Called when a machine receives a launch order.
    std::function<void(const Order&, const MachineType&, const std::string& zone, bool spot)> on_launch;

private:
    friend class EmulatedWorker;
    class InProcessExecutor;
    void handle(HttpRequest&& request, const Responder& res);
    Rented rent(const Rent& ask);
    void release(const std::vector<std::string>& machines);
    codec::MachinePage page(const std::string& since);
    void send(EmulatedWorker& w, Heartbeat heartbeat, std::function<void(const HeartbeatResponse&)> done);
    double random_between(double a, double b) {
        return std::uniform_real_distribution<double>(a, b)(rng_);
    }
    // How long a task runs, in seconds. It is drawn from a generator seeded with the names of the job, the task and the
    // attempt, so that it does not depend on how many random numbers were drawn before.
    [[nodiscard]] double run_s(const JobSpec& spec, const ReportedTask& task) const;
    // A task of a gang, on its machine.
    struct GangTask {
        EmulatedWorker* worker;
        EmulatedWorker::Run* run;
    };
    // The tasks of one attempt of a gang that are on machines, without those that ended before they were done.
    std::vector<GangTask> gang_tasks(const std::string& job, std::uint64_t attempt);

    uv_loop_t* loop_;
    PlatformPlan plan_;
    History& history_;
    std::mt19937 rng_;
    std::unique_ptr<LateCopies> late_copies_;
    HttpServer server_;
    HttpClient client_;
    std::map<std::string, std::unique_ptr<EmulatedWorker>> machines_;
    // Removed machines. They are destroyed in the next `turn`, since one of their callbacks may be running now.
    std::vector<std::unique_ptr<EmulatedWorker>> removed_machines_;
    std::map<std::string, std::vector<std::string>> claims_;
    std::map<std::string, JobSpec> jobs_;
    std::uint64_t ticks_ = 0, rented_count_ = 0, returned_count_ = 0, message_count_ = 0;
    Executor::Heartbeats heartbeat_handler_; // Takes heartbeats, if the scheduler is in this process.
    bool in_process_ = false;
    LoopTimer timer_;
};

} // namespace heronshift::local
