// Stand-ins of the cloud and of its machines: the cloud rents and takes back, each machine is a worker
// that reports to the controllers and pretends to run tasks. On loopback they speak the protocol, each
// worker with an address of its own; to a scheduler in the same process they are an executor.
#pragma once

#include "heronshift/clock.hpp"
#include "heronshift/executor/executor.hpp"
#include "http.hpp"
#include "local/history.hpp"
#include "loop_timer.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>

namespace heronshift::local {

struct WorkerSettings {
    double report_s = 1, lease_s = 6, gang_wait_s = 10, gang_peer_s = 2;
    std::vector<std::pair<std::string, std::string>> nodes; // names and addresses of the controllers
};

struct PlatformPlan {
    WorkerSettings workers;
    std::vector<MachineType> types;
    int capacity = 12;    // machines of a type, zone and kind at once
    double run_share = 1; // of expectedS that a task takes, give or take a third
    unsigned seed = 1;
    // Lockstep: time is the clock's, nothing happens but in turn(), and nothing on the way to a controller
    // is left to chance, so that two runs can be compared.
    std::shared_ptr<const Clock> clock; // none: the system's
    bool lockstep = false;
};

class Platform;

// A machine and its worker.
class EmulatedWorker {
public:
    EmulatedWorker(Platform& p, std::string id, const MachineType& type, std::string zone, bool spot, double up_at);
    int start();
    void tick(double now);
    void lose_all(); // the machine is gone
    // Status 200 or 409 with a heartbeat; 0: silence, the caller gives up.
    std::pair<int, std::optional<Heartbeat>> obey(std::uint64_t fencing_token, std::uint64_t agent_epoch,
                                                  const std::vector<Order>& list);

    [[nodiscard]] ListedMachine listed(double now) const;
    [[nodiscard]] bool up(double now) const {
        return now >= up_at_;
    }
    double hung_until = -1, cut_until = -1; // a cut machine goes on running, a hanging one does not
    bool sick = false;                      // fails every task
    // Until then all that passes is held up, and arrives in order when nobody waits for it any more.
    double late_until = -1;

private:
    friend class Platform;
    struct Run {
        ReportedTask t;
        double until = 0;      // its image is there, or it is through
        bool counted = false;  // told to the history as on the machine
        double mate_lost = -1; // since when
    };
    void handle(HttpRequest&& request, const Responder& res);
    void execute(const std::vector<Order>& list, double now);
    void launch(const Order& order, double now);
    void end(Run& r, ExitCause cause, bool saved = false);
    void heartbeat(double now);
    void answered(const HeartbeatResponse& a, double sent, std::uint64_t agent_epoch);
    void next_node(double now);
    Heartbeat heartbeat();

    Platform& platform_;
    std::string id_, zone_, addr_;
    const MachineType& type_;
    bool spot_;
    double rented_at_, up_at_, lease_from_, next_heartbeat_ = 0, speed_ = 1;
    std::uint64_t agent_epoch_ = 1, counter_ = 0, fencing_token_ = 0;
    std::size_t node_ = 0;
    bool in_flight_ = false, changed_ = false;
    double last_heartbeat_at_ = -1;
    std::set<std::string> images_;
    std::vector<Run> runs_;
    std::vector<std::function<void()>> held_;
    HttpServer server_;
};

class Platform {
public:
    Platform(uv_loop_t* loop, PlatformPlan plan, History& history);
    Platform(const Platform&) = delete;
    Platform& operator=(const Platform&) = delete;
    int start(const Endpoint& cloud_at); // 0 or a libuv error
    // Instead of start(): for one scheduler in this process. Lives as long as the platform does.
    std::unique_ptr<Executor> executor();
    void turn(); // what is due; start() sees to it, but in lockstep
    [[nodiscard]] int port() const {
        return server_.port();
    }
    void heartbeat_to(std::vector<std::pair<std::string, std::string>> nodes) {
        plan_.workers.nodes = std::move(nodes);
    }
    void know(const JobSpec& spec) { // its user has uploaded it
        jobs_[spec.id] = spec;
    }
    // For jobs of users from outside: their description, if there is one.
    std::function<std::optional<JobSpec>(const std::string& id)> ask;
    bool out = false; // an outage of the cloud
    // A random machine that is up, or none.
    EmulatedWorker* any();
    void kill(EmulatedWorker& w); // stops with all that is on it

    struct Sum {
        std::size_t machines = 0, up = 0, running = 0;
        std::uint64_t rented = 0, returned = 0, fencing_token = 0; // the highest any machine has seen
    };
    [[nodiscard]] Sum sum() const;
    [[nodiscard]] double now() const {
        return plan_.clock->now();
    }
    // Of what has passed between machines, cloud and controllers; stands still when all is quiet.
    [[nodiscard]] std::uint64_t messages() const {
        return messages_;
    }
    // A launch as it reached its machine.
    std::function<void(const Order&, const MachineType&, const std::string& zone, bool spot)> on_launch;

private:
    friend class EmulatedWorker;
    class Direct;
    void handle(HttpRequest&& request, const Responder& res);
    Rented rent(const Rent& ask);
    void release(const std::vector<std::string>& machines);
    codec::MachinePage page(const std::string& since);
    void send(EmulatedWorker& w, Heartbeat heartbeat, std::function<void(const HeartbeatResponse&)> done);
    double between(double a, double b) {
        return std::uniform_real_distribution<double>(a, b)(rng_);
    }
    // Drawn from what the attempt is called, so that it does not hang on the order of other draws.
    [[nodiscard]] double run_s(const JobSpec& spec, const ReportedTask& task) const;
    // The tasks of one attempt of a gang that are on machines.
    struct Mate {
        EmulatedWorker* on;
        EmulatedWorker::Run* run;
    };
    std::vector<Mate> mates(const std::string& job, std::uint64_t attempt);

    uv_loop_t* loop_;
    PlatformPlan plan_;
    History& history_;
    std::mt19937 rng_;
    HttpServer server_;
    HttpClient client_;
    std::map<std::string, std::unique_ptr<EmulatedWorker>> machines_;
    std::vector<std::unique_ptr<EmulatedWorker>> gone_; // their servers close after the callbacks at hand
    std::map<std::string, std::vector<std::string>> claims_;
    std::map<std::string, JobSpec> jobs_;
    std::uint64_t ticks_ = 0, named_ = 0, returned_ = 0, messages_ = 0;
    Executor::Heartbeats reports_; // of a scheduler in this process
    bool direct_ = false;
    LoopTimer timer_;
};

} // namespace heronshift::local
