// Simulated machines that follow the worker protocol: leases, agent epochs, fencing tokens, orders, gangs. Each start
// of a task is checked against all rules about where and when tasks may run.
#pragma once

#include "heronshift/codec.hpp"
#include "heronshift/config.hpp"
#include "protocol_limits.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace heronshift::testing {

inline Settings small_settings() {
    Settings s;
    s.name = "berth-0";
    s.zones = {"a", "b"};
    s.teams = {{"red", 20, 40, 0, 0}, {"blue", 20, 60, 0, 0}};
    s.report_s = 2;
    s.lease_s = 10;
    s.cancel_s = 40;
    s.state_rps = 200;
    s.state_write_rps = 80;
    s.txn_ops = 24;
    return s;
}

inline std::vector<MachineType> small_types() {
    return {{"m8", {8, 0, 32}, 50, 1, 2, 1, 5, {"a", "b"}}};
}

inline JobSpec job(int n, Shape shape, std::uint32_t tasks, double cpus, const std::string& team = "red") {
    JobSpec s;
    s.id = fmt::format("wk-{:06}", n);
    s.job_class = "c";
    s.team = team;
    s.shape = shape;
    s.priority = shape == Shape::service ? Priority::critical : Priority::normal;
    s.tasks = tasks;
    s.each = {cpus, 0, 1};
    s.image = "img";
    s.image_gb = 0.5;
    s.spot = shape == Shape::array;
    s.estimate_s = shape == Shape::service ? 0 : 7;
    return s;
}

struct Machines {
    struct Worker {
        std::string id, zone, addr;
        bool spot = false, cut = false, dead = false, sick = false, hung = false;
        std::uint64_t agent_epoch = 1, counter = 0, fencing_token = 0;
        double lease_from = 0, next_heartbeat = 0, rented_at = 0;
        std::size_t node = 0; // the controller it reports to
        bool in_flight = false;
        double healthy_since = -1; // since when it is not cut off, hanging or dead
        struct Run {
            std::string job;
            std::uint32_t index = 0;
            std::uint64_t attempt = 0;
            TaskState state = TaskState::fetching;
            ExitCause cause = ExitCause::none;
            double until = 0; // when the present state ends: the fetch, the wait for the gang or the run
            double incomplete_since = -1;
        };
        std::vector<Run> tasks;
        std::set<std::tuple<std::string, std::uint32_t, std::uint64_t>> reaped; // attempts, by job and index
    };

    explicit Machines(unsigned seed) : rng(seed) {}
    Machines(const Machines&) = delete;
    Machines& operator=(const Machines&) = delete;
    virtual ~Machines() = default;

    Settings settings = small_settings();
    std::mt19937 rng;
    double now = 0;
    std::map<std::string, Worker> workers;
    std::map<std::string, JobSpec> jobs;
    std::map<std::string, double> cancelled; // when the user was told, by job
    std::set<std::string> done_tasks;
    std::set<std::string> faulty_tasks; // tasks that fail on every machine, as JOB/INDEX
    int starts_at_limit = 0;            // starts after which the team's limit leaves no room for another such task
    int started = 0,
        cancelled_launches = 0; // `cancelled_launches`: launches after the user was told of the cancellation
    std::vector<std::string> violations;
    std::size_t longest_heartbeat = 0;                  // in bytes, of the machines with hundreds of tasks
    std::function<double(std::uint32_t)> task_duration; // how long a task runs, by its index

    double chance() {
        return std::uniform_real_distribution<double>(0, 1)(rng);
    }
    double between(double a, double b) {
        return std::uniform_real_distribution<double>(a, b)(rng);
    }
    virtual std::optional<codec::Json> stored(const std::string& key) = 0; // the store's present value of the key
    virtual void heartbeat_if_due(Worker& w) = 0;
    virtual void expired(Worker& /*w*/) {}
    virtual void on_task_running(const Worker::Run& /*t*/) {} // the task makes progress

    Heartbeat heartbeat(Worker& w) {
        Heartbeat r{w.id, w.addr, "m8", w.zone, w.spot, w.agent_epoch, ++w.counter, w.fencing_token, -1, {}};
        for (const auto& t : w.tasks)
            r.tasks.push_back({t.job, t.index, t.attempt, t.state, t.cause, false});
        return r;
    }
    // Whether a request may carry the heartbeat. A worker with too many tasks cannot report until its lease ends.
    bool can_send(const Heartbeat& heartbeat) {
        constexpr std::size_t min_task_bytes = 40;
        if (heartbeat.tasks.size() < max_request_body_bytes / min_task_bytes / 4)
            return true; // without encoding it: short by any measure
        const auto bytes = codec::to_body(heartbeat).size();
        longest_heartbeat = std::max(longest_heartbeat, bytes);
        return bytes <= max_request_body_bytes;
    }
    // Orders are not encoded here: each is assumed to be as long as it can be, and one more stands for the other
    // fields.
    void check_length(const std::vector<Order>& orders, std::size_t limit) {
        if ((orders.size() + 1) * codec::max_order_bytes > limit)
            violations.push_back(fmt::format("{} orders in a message", orders.size()));
    }

    // Counts launches sent after the user was told of the cancellation; `execute` counts those that arrive after it.
    void sent(const std::vector<Order>& orders) {
        for (const auto& o : orders)
            cancelled_launches += o.verb == Verb::launch && cancelled.contains(o.job);
    }
    void execute(Worker& w, const std::vector<Order>& orders) {
        for (const auto& o : orders) {
            auto it = std::find_if(w.tasks.begin(), w.tasks.end(), [&](const auto& t) {
                return t.job == o.job && t.index == o.index && t.attempt == o.attempt;
            });
            if (o.verb == Verb::launch) {
                if (it != w.tasks.end())
                    continue;
                cancelled_launches += cancelled.contains(o.job);
                if (w.reaped.contains({o.job, o.index, o.attempt}))
                    violations.push_back(fmt::format("started_again {}/{} on {}", o.job, o.index, w.id));
                Worker::Run t{o.job, o.index, o.attempt, TaskState::fetching, ExitCause::none, now + between(0.1, 2)};
                Resources used = jobs[o.job].each;
                for (const auto& x : w.tasks)
                    if (x.state != TaskState::ended)
                        used += jobs[x.job].each;
                if (!used.fits(small_types()[0].room)) {
                    t.state = TaskState::ended;
                    t.cause = ExitCause::no_room;
                }
                w.tasks.push_back(t);
            } else if (o.verb == Verb::stop) {
                if (it == w.tasks.end() || it->state == TaskState::ended)
                    continue;
                it->state = TaskState::ended;
                it->cause = ExitCause::stopped;
            } else if (it != w.tasks.end() && it->state == TaskState::ended) {
                w.reaped.emplace(o.job, o.index, o.attempt);
                w.tasks.erase(it);
            }
        }
    }

    virtual void check_task_start(Worker& w, Worker::Run& t) {
        const auto name = fmt::format("{}/{}", t.job, t.index);
        const auto& spec = jobs[t.job];
        ++started;
        for (const auto& id : spec.dependencies)
            if (const auto f = stored("f/" + id); !f || (*f)["s"] != codec::status_done)
                violations.push_back("too_early " + name + " needs " + id);
        int here = 0, in_zone = 0;
        Resources used;
        for (const auto& [id, x] : workers) {
            if (x.dead)
                continue;
            for (const auto& r : x.tasks) {
                if (r.state != TaskState::running && r.state != TaskState::waiting)
                    continue;
                if (r.job == t.job && r.index == t.index)
                    ++here;
                if (r.job == t.job && x.zone == w.zone)
                    ++in_zone;
                if (r.job == t.job && spec.one_zone && x.zone != w.zone)
                    violations.push_back("wrong_place " + name);
                if (jobs[r.job].team == spec.team)
                    used += jobs[r.job].each;
            }
        }
        if (here > 1)
            violations.push_back("ran_twice " + name);
        if (spec.spread && in_zone > static_cast<int>((spec.tasks + 1) / 2))
            violations.push_back("wrong_place " + name);
        if (w.spot && !spec.spot)
            violations.push_back("wrong_place " + name);
        for (const auto& l : settings.teams) {
            if (l.name != spec.team)
                continue;
            if (used.cpus > l.cpus_max + 1e-6)
                violations.push_back(fmt::format("quota {}", name));
            starts_at_limit += used.cpus + spec.each.cpus > l.cpus_max;
        }
        if (cancelled.contains(t.job) && now > cancelled[t.job] + settings.cancel_s)
            violations.push_back("ran_cancelled " + name);
    }

    void run_worker(Worker& w) {
        if (w.dead)
            return;
        if (now > w.lease_from + settings.lease_s) {
            expired(w);
            w.tasks.clear();
            ++w.agent_epoch;
            w.lease_from = now;
        }
        if (w.hung)
            return;
        for (auto& t : w.tasks) {
            if (t.state == TaskState::fetching && now >= t.until) {
                if (w.sick || (!faulty_tasks.empty() && faulty_tasks.contains(fmt::format("{}/{}", t.job, t.index)))) {
                    t.state = TaskState::ended;
                    t.cause = ExitCause::error;
                    continue;
                }
                const bool gang = jobs[t.job].shape == Shape::gang;
                t.state = gang ? TaskState::waiting : TaskState::running;
                t.until = now + (gang ? settings.gang_wait_s : run_s(t.index));
                check_task_start(w, t);
                if (!gang)
                    on_task_running(t);
            } else if (t.state == TaskState::waiting && now >= t.until) {
                t.state = TaskState::ended;
                t.cause = ExitCause::alone;
            } else if (t.state == TaskState::running && now >= t.until && jobs[t.job].shape != Shape::service) {
                t.state = TaskState::ended;
                t.cause = ExitCause::done;
                if (jobs[t.job].shape == Shape::gang)
                    for (std::uint32_t i = 0; i < jobs[t.job].tasks; ++i)
                        done_tasks.insert(fmt::format("{}/{}", t.job, i));
                done_tasks.insert(fmt::format("{}/{}", t.job, t.index));
            }
        }
        heartbeat_if_due(w);
    }
    double run_s(std::uint32_t index) {
        return task_duration ? task_duration(index) : between(2, 12);
    }

    // The tasks of one attempt of a gang start together, and end when one of them has been gone for `gang_peer_s`.
    void run_gangs() {
        std::map<std::pair<std::string, std::uint64_t>, std::vector<Worker::Run*>> gangs;
        for (auto& [id, w] : workers)
            for (auto& t : w.tasks)
                if (!w.dead && !w.hung && jobs[t.job].shape == Shape::gang &&
                    (t.state == TaskState::waiting || t.state == TaskState::running))
                    gangs[{t.job, t.attempt}].push_back(&t);
        for (auto& [name, list] : gangs) {
            const bool whole = list.size() == jobs[name.first].tasks;
            const double until = now + run_s(0);
            const bool all_wait = whole && std::all_of(list.begin(), list.end(),
                                                       [](const auto* t) { return t->state == TaskState::waiting; });
            for (auto* t : list) {
                if (all_wait) {
                    t->state = TaskState::running;
                    t->until = until;
                    on_task_running(*t);
                }
                if (t->state != TaskState::running)
                    continue;
                if (whole)
                    t->incomplete_since = -1;
                else if (t->incomplete_since < 0)
                    t->incomplete_since = now;
                else if (now - t->incomplete_since > settings.gang_peer_s) {
                    t->state = TaskState::ended;
                    t->cause = ExitCause::peers;
                }
            }
        }
    }
    void run_machines() {
        for (auto& [id, w] : workers)
            run_worker(w);
        if (std::any_of(jobs.begin(), jobs.end(), [](const auto& j) { return j.second.shape == Shape::gang; }))
            run_gangs();
    }
};

} // namespace heronshift::testing
