// Stand-ins for the cloud and for the workers on its machines.
#pragma once

#include "net.hpp"
#include "record.hpp"

#include <algorithm>
#include <cstdio>

#include <set>

namespace review {

struct Job {
    std::string id, shape = "array", bundle = "img-1", owner, rank = "normal";
    bool together = false;
    double cpus = 1, gpus = 0, memory_gb = 1, image_gb = 0.5, run_s = 5, save_s = 0, checkpoint_s = 0;
    std::uint32_t shards = 1;
    int fails = -1; // submitted with a mistake: this task fails on every machine; -1: none
    [[nodiscard]] Json submission() const {
        return {{"id", id},
                {"jobclass", "case"},
                {"owner", owner},
                {"shape", shape},
                {"rank", rank},
                {"shards", shards},
                {"cpus", cpus},
                {"accelerators", gpus},
                {"memGb", memory_gb},
                {"bundle", bundle},
                {"imageGb", image_gb},
                {"flavors", nullptr},
                {"yard", nullptr},
                {"together", together},
                {"scatter", false},
                {"standby", false},
                {"expectedS", shape == "daemon" ? 0.0 : run_s},
                {"snapshotEveryS", checkpoint_s},
                {"snapshotS", save_s},
                {"dueS", nullptr}};
    }
};

struct PlatformSettings {
    double report_s = 2, lease_s = 10, gang_wait_s = 20, gang_peer_s = 4, cancel_s = 40, list_lag_s = 3;
    std::vector<std::string> zones{"a"};
    std::vector<std::pair<std::string, Address>> controllers;
    std::string type = "server-mare";
    double cpus = 64, gpus = 0, memory_gb = 256, boot_s = 2, fetch_gb_per_s = 1;
    std::map<std::string, std::size_t> capacity{{"a", 20}}; // machines in each zone
};

class Platform;

// One machine with its worker.
class Machine {
public:
    Machine(Platform& platform, std::string id, std::string zone, bool spot);
    void run();
    [[nodiscard]] Json listed() const;
    // Whether a task of the job is known here that has not ended.
    [[nodiscard]] bool has_any_task_of(const std::string& job) const {
        return std::any_of(tasks_.begin(), tasks_.end(), [&](const Task& task) {
            return task.state != "ended" && task.shard.substr(0, task.shard.rfind('/')) == job;
        });
    }

    const std::string id, zone;
    const bool spot;
    const double rented_at = now();
    double up_at = 0;
    // Faults. The network of the machine: what is lost on its way.
    std::atomic<bool> reports_lost{false}, answers_lost{false}, commands_lost{false}, hangs{false};
    std::atomic<double> late_commands{0}, late_reports{0}; // the share that is held up; that comes again, late
    std::atomic<bool> gone{false};
    std::atomic<double> failed_at{-1}; // when it stopped by itself

private:
    friend class Platform;
    struct Task {
        std::string shard, state = "fetching", cause;
        std::uint64_t attempt = 0;
        double until = 0, mate_missing_since = -1;
        bool on_machine = false, saved = false;
    };
    Reply serve(const Request& request);
    Reply take_commands(const Request& request);
    Json report();
    void execute(const Json& orders);
    void launch(const std::string& shard, std::uint64_t attempt);
    void end(Task& task, const std::string& cause);
    void give_up_fetches();
    void advance();
    void drop_all(const char* why);
    void send_report();

    void advance_gang(Task& task, const Job& job);

    Platform& platform_;
    std::vector<Task> tasks_;
    std::map<std::string, double> fetches_; // images that are being fetched, and when each will be there
    std::uint64_t tenure_ = 1, counter_ = 0, fence_ = 0;
    double lease_from_ = 0, next_report_ = 0, last_report_ = -1;
    bool changed_ = false;
    std::set<std::string> images_;
    std::size_t controller_ = 0;
    std::unique_ptr<Server> server_;
};

class Platform {
public:
    Platform(PlatformSettings settings, Record& record)
        : settings(std::move(settings)), record(record),
          server_([this](const Request& request) { return serve(request); }) {}
    [[nodiscard]] const Address& at() const {
        return server_.at();
    }
    // Users upload a job's description.
    void upload(const Job& job) {
        const std::lock_guard lock(mutex_);
        jobs_[job.id] = job;
    }
    std::optional<Job> job_of(const std::string& shard) {
        const std::lock_guard lock(mutex_);
        const auto it = jobs_.find(shard.substr(0, shard.rfind('/')));
        return it == jobs_.end() ? std::nullopt : std::optional(it->second);
    }
    std::vector<std::shared_ptr<Machine>> machines() {
        const std::lock_guard lock(mutex_);
        std::vector<std::shared_ptr<Machine>> all;
        for (const auto& [id, machine] : machines_)
            all.push_back(machine);
        return all;
    }
    // A machine stops with all that is on it.
    void stop(Machine& machine) {
        {
            const std::lock_guard lock(machines_mutex);
            machine.gone = true;
            machine.failed_at = now();
            record.line("machine " + machine.id + " in zone " + machine.zone + " stops");
            machine.drop_all("it has stopped");
        }
    }
    // One of the machines with a task of the job stops with all that is on it.
    void stop_one_of(const std::string& job) {
        for (const auto& machine : machines()) {
            {
                const std::lock_guard lock(machines_mutex);
                if (!machine->has_any_task_of(job))
                    continue;
            }
            return stop(*machine);
        }
    }
    // How many machines have been rented so far.
    std::size_t rented() {
        const std::lock_guard lock(mutex_);
        return rented_;
    }
    // Capacity of a zone, from now on.
    void set_capacity(const std::string& zone, std::size_t machines) {
        const std::lock_guard lock(mutex_);
        settings.capacity[zone] = machines;
    }
    // Where a task is now, for the checks: called when a task comes onto a machine and when it leaves it.
    void task_on(const std::string& shard, const std::string& machine) {
        const std::lock_guard lock(tasks_mutex_);
        auto& on = on_[shard];
        if (!on.empty() && !on.contains(machine))
            record.broken("ran_twice: " + shard + " starts on " + machine + " while it is on " + *on.begin());
        on.insert(machine);
        ++starts_[shard.substr(0, shard.rfind('/'))];
        last_start_[shard.substr(0, shard.rfind('/'))] = now();
    }
    void launched(const std::string& shard) {
        const std::lock_guard lock(tasks_mutex_);
        last_launch_[shard.substr(0, shard.rfind('/'))] = now();
    }
    double last_launch(const std::string& job) {
        const std::lock_guard lock(tasks_mutex_);
        return last_launch_.contains(job) ? last_launch_[job] : -1;
    }
    void task_off(const std::string& shard, const std::string& machine) {
        const std::lock_guard lock(tasks_mutex_);
        on_[shard].erase(machine);
    }
    void task_done(const std::string& shard) {
        const std::lock_guard lock(tasks_mutex_);
        done_.insert(shard);
    }
    bool is_done(const std::string& shard) {
        const std::lock_guard lock(tasks_mutex_);
        return done_.contains(shard);
    }
    void gang_runs(const std::string& job) {
        const std::lock_guard lock(tasks_mutex_);
        ++gang_runs_[job];
        record.line("gang " + job + " runs");
    }
    // How often all tasks of a gang have begun to run together.
    std::size_t gang_runs_of(const std::string& job) {
        const std::lock_guard lock(tasks_mutex_);
        return gang_runs_[job];
    }
    // How many tasks of the job are on machines now, how many are done, and how many starts there were.
    std::size_t on_machines(const std::string& job) {
        const std::lock_guard lock(tasks_mutex_);
        std::size_t count = 0;
        for (auto it = on_.lower_bound(job + "/"); it != on_.end() && it->first.rfind(job + "/", 0) == 0; ++it)
            count += it->second.size();
        return count;
    }
    std::size_t done(const std::string& job) {
        const std::lock_guard lock(tasks_mutex_);
        std::size_t count = 0;
        for (auto it = done_.lower_bound(job + "/"); it != done_.end() && it->rfind(job + "/", 0) == 0; ++it)
            ++count;
        return count;
    }
    std::size_t starts(const std::string& job) {
        const std::lock_guard lock(tasks_mutex_);
        return starts_[job];
    }
    double last_start(const std::string& job) {
        const std::lock_guard lock(tasks_mutex_);
        return last_start_.contains(job) ? last_start_[job] : -1;
    }

    PlatformSettings settings; // the controllers are set before the first machine is rented
    Record& record;
    std::mutex machines_mutex;                    // of what is on the machines
    std::atomic<std::size_t> reports_too_long{0}; // reports that no request may carry
    std::atomic<std::size_t> longest_report{0};

private:
    Reply serve(const Request& request);
    Reply rent(const Json& rental);

    // The locks are taken in this order: machines_mutex, mutex_, tasks_mutex_.
    std::mutex mutex_, tasks_mutex_;
    std::map<std::string, Job> jobs_;
    std::map<std::string, std::shared_ptr<Machine>> machines_;
    std::vector<std::shared_ptr<Machine>> rented_machines_; // also those that are gone, whose servers stay silent
    std::map<std::string, Json> claims_;
    std::map<std::string, std::set<std::string>> on_;
    std::set<std::string> done_;
    std::map<std::string, std::size_t> starts_, gang_runs_;
    std::map<std::string, double> last_start_, last_launch_;
    std::size_t rented_ = 0;
    Server server_;
};

// --- worker ---

inline Machine::Machine(Platform& platform, std::string id, std::string zone, bool spot)
    : id(std::move(id)), zone(std::move(zone)), spot(spot), platform_(platform) {
    up_at = now() + platform.settings.boot_s * random_between(0.6, 1.5);
    server_ = std::make_unique<Server>([this](const Request& request) { return serve(request); });
    controller_ = static_cast<std::size_t>(std::rand()) % platform.settings.controllers.size();
}

inline Json Machine::listed() const {
    return {{"id", id},
            {"addr", server_->at().str()},
            {"flavor", platform_.settings.type},
            {"yard", zone},
            {"standby", spot},
            {"status", failed_at >= 0 && now() > failed_at + 30 ? "failed"
                       : now() >= up_at                         ? "running"
                                                                : "booting"},
            {"ageS", now() - rented_at}};
}

inline Json Machine::report() {
    Json shards = Json::array();
    for (const auto& task : tasks_) {
        Json json{{"shard", task.shard}, {"try", task.attempt}, {"status", task.state}};
        if (task.state == "ended")
            json["exitCause"] = task.cause;
        if (task.saved)
            json["stored"] = true;
        shards.push_back(std::move(json));
    }
    return {{"host", id},
            {"addr", server_->at().str()},
            {"flavor", platform_.settings.type},
            {"yard", zone},
            {"standby", spot},
            {"tenure", tenure_},
            {"counter", ++counter_},
            {"fence", fence_},
            {"evictionInS", nullptr},
            {"shards", std::move(shards)}};
}

inline Reply Machine::serve(const Request& request) {
    while (hangs && !gone)
        sleep_s(0.01);
    if (gone || commands_lost || now() < up_at)
        return {};
    if (request.path == "/commands" && late_commands > 0 && random_between(0, 1) < late_commands) {
        sleep_s(random_between(2, 16));
        while (hangs && !gone)
            sleep_s(0.01);
        if (gone)
            return {};
        const std::lock_guard lock(platform_.machines_mutex);
        take_commands(request);
        return {};
    }
    const std::lock_guard lock(platform_.machines_mutex);
    if (request.path == "/status")
        return {200, report().dump()};
    return take_commands(request);
}

inline Reply Machine::take_commands(const Request& request) {
    const auto json = request.json();
    if (!json.is_object() || !json.contains("fence") || !json.contains("tenure"))
        return {400, "{}"};
    const auto fence = json["fence"].get<std::uint64_t>();
    if (fence < fence_ || json["tenure"].get<std::uint64_t>() != tenure_)
        return {409, report().dump()};
    changed_ = changed_ || fence > fence_;
    fence_ = fence;
    execute(json.value("orders", Json::array()));
    return {200, report().dump()};
}

inline void Machine::execute(const Json& orders) {
    for (const auto& order : orders) {
        const auto verb = order["verb"].get<std::string>(), shard = order["shard"].get<std::string>();
        const auto attempt = order["try"].get<std::uint64_t>();
        const auto task = std::find_if(tasks_.begin(), tasks_.end(), [&](const Task& known) {
            return known.shard == shard && known.attempt == attempt;
        });
        if (verb == "launch") {
            if (task == tasks_.end())
                launch(shard, attempt);
            continue;
        }
        if (task == tasks_.end())
            continue;
        if (verb == "reap" && task->state == "ended")
            tasks_.erase(task);
        else if (verb == "stop" && task->state != "ended")
            end(*task, "stopped");
    }
}

inline void Machine::launch(const std::string& shard, std::uint64_t attempt) {
    platform_.launched(shard);
    const auto job = platform_.job_of(shard);
    Task task;
    task.shard = shard;
    task.attempt = attempt;
    double cpus = 0, memory_gb = 0, gpus = 0;
    bool in_use = false;
    for (const auto& other : tasks_) {
        if (other.state == "ended")
            continue;
        in_use = in_use || other.shard == shard;
        if (const auto known = platform_.job_of(other.shard)) {
            cpus += known->cpus;
            gpus += known->gpus;
            memory_gb += known->memory_gb;
        }
    }
    const auto& type = platform_.settings;
    changed_ = true;
    if (!job)
        end(task, "unknown");
    else if (in_use)
        end(task, "in_use");
    else if (cpus + job->cpus > type.cpus + 1e-6 || gpus + job->gpus > type.gpus + 1e-6 ||
             memory_gb + job->memory_gb > type.memory_gb + 1e-6)
        end(task, "no_room");
    else
        task.until = 0;
    tasks_.push_back(std::move(task));
}

inline void Machine::end(Task& task, const std::string& cause) {
    if (task.on_machine)
        platform_.task_off(task.shard, id);
    if (cause == "done")
        platform_.task_done(task.shard);
    if (task.state == "gathering" || (task.state == "fetching" && cause == "stopped"))
        platform_.record.line("task " + task.shard + " on " + id + ", attempt " + std::to_string(task.attempt) +
                              ", ends while " + task.state + ": " + cause);
    task.on_machine = false;
    task.state = "ended";
    task.cause = cause;
    changed_ = true;
    give_up_fetches();
}

// A fetch is given up when no task waits for it any more.
inline void Machine::give_up_fetches() {
    std::erase_if(fetches_, [this](const auto& fetch) {
        return std::none_of(tasks_.begin(), tasks_.end(), [&](const Task& task) {
            const auto job = platform_.job_of(task.shard);
            return task.state == "fetching" && job && job->bundle == fetch.first;
        });
    });
}

inline void Machine::drop_all(const char* why) {
    for (auto& task : tasks_)
        if (task.on_machine)
            platform_.task_off(task.shard, id);
    if (!tasks_.empty())
        platform_.record.line("machine " + id + " drops " + std::to_string(tasks_.size()) + " tasks: " + why);
    tasks_.clear();
    fetches_.clear();
}

inline void Machine::advance() {
    if (now() > lease_from_ + platform_.settings.lease_s) {
        drop_all("its lease has expired");
        ++tenure_;
        lease_from_ = now();
        changed_ = true;
    }
    for (auto& task : tasks_) {
        const auto job = platform_.job_of(task.shard);
        if (task.state == "fetching") {
            if (!images_.contains(job->bundle)) {
                const auto fetch =
                    fetches_.emplace(job->bundle, now() + job->image_gb / platform_.settings.fetch_gb_per_s).first;
                if (now() < fetch->second)
                    continue;
                images_.insert(job->bundle);
            }
            platform_.task_on(task.shard, id);
            task.on_machine = true;
            changed_ = true;
            const bool gang = job->shape == "gang" && job->shards > 1;
            task.state = gang ? "gathering" : "running";
            task.until = now() + (gang                            ? platform_.settings.gang_wait_s
                                  : job->shape == "daemon"        ? 1e12
                                  : platform_.is_done(task.shard) ? 0
                                                                  : job->run_s);
            if (task.shard == job->id + "/" + std::to_string(job->fails))
                end(task, "error");
        } else if (job && job->shape == "gang" && job->shards > 1) {
            advance_gang(task, *job);
        } else if (task.state == "running" && now() >= task.until) {
            end(task, "done");
        }
    }
}

// The tasks of a gang's attempt start together when the last one has its image, and complete together.
inline void Machine::advance_gang(Task& task, const Job& job) {
    if (task.state != "gathering" && task.state != "running")
        return;
    std::vector<std::pair<Machine*, Task*>> all;
    for (const auto& machine : platform_.machines())
        if (!machine->hangs && !machine->gone)
            for (auto& other : machine->tasks_)
                if (other.attempt == task.attempt && other.state == task.state &&
                    other.shard.substr(0, other.shard.rfind('/')) == job.id)
                    all.emplace_back(machine.get(), &other);
    const bool complete = all.size() == job.shards;
    if (task.state == "gathering" && complete) {
        platform_.gang_runs(job.id);
        for (const auto& [machine, other] : all) {
            other->state = "running";
            other->until = now() + job.run_s;
            machine->changed_ = true;
        }
    } else if (task.state == "gathering" && now() >= task.until) {
        end(task, "incomplete");
    } else if (task.state == "running" && complete && now() >= task.until) {
        for (const auto& [machine, other] : all)
            machine->end(*other, "done");
    } else if (task.state == "running" && !complete) {
        if (task.mate_missing_since < 0)
            task.mate_missing_since = now();
        if (now() > task.mate_missing_since + platform_.settings.gang_peer_s)
            end(task, "mates_gone");
    }
}

inline void Machine::send_report() {
    std::string body;
    std::uint64_t tenure = 0;
    const double sent = now();
    Address to;
    {
        const std::lock_guard lock(platform_.machines_mutex);
        body = report().dump();
        tenure = tenure_;
        to = platform_.settings.controllers[controller_].second;
        changed_ = false;
        last_report_ = sent;
        next_report_ = sent + platform_.settings.report_s * random_between(0.75, 1.25);
    }
    auto& longest = platform_.longest_report;
    if (body.size() > longest)
        longest = body.size();
    if (body.size() > 64 * 1024) { // no request may be this long, so the worker cannot report
        if (platform_.reports_too_long++ == 0)
            platform_.record.line("machine " + id + ": a report of its tasks takes " + std::to_string(body.size()) +
                                  " bytes");
        return;
    }
    if (late_reports > 0 && random_between(0, 1) < late_reports)
        std::thread([body, &platform = platform_] {
            sleep_s(random_between(2, 2 * platform.settings.lease_s));
            for (const auto& [name, address] : platform.settings.controllers)
                call(address, "POST", "/agent/beat", body, 2);
        }).detach();
    const auto reply = reports_lost ? Reply{} : call(to, "POST", "/agent/beat", body, 4);
    while (hangs && !gone)
        sleep_s(0.01);
    if (gone)
        return;
    const std::lock_guard lock(platform_.machines_mutex);
    const auto count = platform_.settings.controllers.size();
    const auto json = reply.json();
    if (reply.status == 200 && !answers_lost) {
        const auto fence = json.value("fence", std::uint64_t{0});
        if (now() > sent + 4 || fence < fence_ || fence == 0 || tenure != tenure_)
            return;
        changed_ = changed_ || fence > fence_;
        fence_ = fence;
        lease_from_ = std::max(lease_from_, sent);
        execute(json.value("orders", Json::array()));
        return;
    }
    if (reply.status == 421 && !answers_lost && json.is_object() && json.contains("reportsTo"))
        for (std::size_t i = 0; i < count; ++i)
            if (platform_.settings.controllers[i].first == json["reportsTo"] && i != controller_) {
                controller_ = i;
                next_report_ = now() + random_between(0, 0.5);
                return;
            }
    controller_ = (controller_ + 1) % count;
    next_report_ = std::max(now(), answers_lost ? sent + 4 : now()) + 1;
}

inline void Machine::run() {
    while (now() < up_at && !gone)
        sleep_s(0.02);
    lease_from_ = now();
    while (!gone) {
        sleep_s(0.02);
        // The lease of a machine that hangs runs out too, by its clock: the tasks do not go on after it.
        bool due = false;
        {
            const std::lock_guard lock(platform_.machines_mutex);
            if (hangs && now() <= lease_from_ + platform_.settings.lease_s)
                continue;
            advance();
            due = now() >= next_report_ || (changed_ && now() >= last_report_ + 0.5 && next_report_ < now() + 60);
        }
        if (due && !hangs)
            send_report();
    }
    const std::lock_guard lock(platform_.machines_mutex);
    drop_all("it is gone");
}

// --- cloud ---

inline Reply Platform::rent(const Json& rental) {
    const auto claim = rental.value("claim", "");
    const auto number = rental.value("number", 0);
    const auto zone = rental.value("yard", "");
    if (claim.empty() || number < 1 || number > 50 || rental.value("flavor", "") != settings.type)
        return {400, R"({"error":"malformed"})"};
    const std::lock_guard lock(mutex_);
    if (const auto known = claims_.find(claim); known != claims_.end())
        return {200, known->second.dump()};
    Json names = Json::array();
    const auto in_zone = static_cast<std::size_t>(std::count_if(
        machines_.begin(), machines_.end(), [&](const auto& entry) { return entry.second->zone == zone; }));
    const auto capacity = settings.capacity.contains(zone) ? settings.capacity[zone] : 0;
    for (std::size_t i = in_zone; i < std::min(capacity, in_zone + static_cast<std::size_t>(number)); ++i) {
        char id[20];
        std::snprintf(id, sizeof id, "n-%06zu", ++rented_);
        auto machine = std::make_shared<Machine>(*this, id, zone, rental.value("standby", false));
        machines_[id] = machine;
        rented_machines_.push_back(machine);
        std::thread([machine] { machine->run(); }).detach();
        names.push_back(id);
    }
    record.line("rent " + rental.dump() + ": " + names.dump());
    if (names.empty())
        return {503, R"({"error":"no capacity"})"};
    claims_[claim] = {{"hosts", names}};
    return {200, claims_[claim].dump()};
}

inline Reply Platform::serve(const Request& request) {
    if (request.path == "/machine_types")
        return {200, Json{{"flavors",
                           {{{"name", settings.type},
                             {"cpus", settings.cpus},
                             {"accelerators", settings.gpus},
                             {"memGb", settings.memory_gb},
                             {"cacheGb", 200},
                             {"fetchGbPerS", settings.fetch_gb_per_s},
                             {"rate", 1.5},
                             {"lowPrice", 0.5},
                             {"bootS", settings.boot_s},
                             {"yards", settings.zones}}}}}
                         .dump()};
    if (request.path == "/rentals" && request.method == "POST")
        return rent(request.json());
    if (request.path == "/rentals/release") {
        const auto names = request.json().value("hosts", Json::array());
        if (names.size() > 100)
            return {400, "{}"};
        for (const auto& name : names) {
            std::shared_ptr<Machine> machine;
            {
                const std::lock_guard lock(mutex_);
                const auto it = machines_.find(name.get<std::string>());
                if (it == machines_.end())
                    continue;
                machine = it->second;
                machines_.erase(it);
            }
            machine->gone = true;
            const std::lock_guard lock(machines_mutex);
            record.line("machine " + machine->id + " is released");
            machine->drop_all("it is released");
        }
        return {200, "{}"};
    }
    if (request.path == "/rentals") {
        const auto since = request.parameter("since");
        Json hosts = Json::array();
        const std::lock_guard lock(mutex_);
        for (const auto& [id, machine] : machines_)
            if (id > since && now() - machine->rented_at > settings.list_lag_s)
                hosts.push_back(machine->listed());
        return {200, Json{{"hosts", hosts}, {"more", false}}.dump()};
    }
    return {404, "{}"};
}

} // namespace review
