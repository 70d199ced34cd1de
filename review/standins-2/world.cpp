// Plays one case: world CASE RECORD_FILE PROGRAM. TROUBLE=0 leaves the disruption out.
// Exit status 0: the rule held; 1: it was broken; 2: the case could not run.
#include "world.hpp"

#include <random>

using namespace world;

namespace {

bool trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || (std::string(value) != "0" && std::string(value) != "outage");
}

int cannot_run(Record& record, const std::string& why) {
    record.line("cannot run: " + why);
    return 2;
}

std::string machine_of_last_start(Platform& platform, const std::string& task) {
    const std::lock_guard lock(platform.mutex);
    std::string machine;
    for (const auto& s : platform.starts)
        if (s.task == task)
            machine = s.machine;
    return machine;
}

bool wait_for(double timeout_s, const std::function<bool()>& what) {
    for (const double until = steady_s() + timeout_s; steady_s() < until; sleep_s(0.1))
        if (what())
            return true;
    return what();
}

// Waits for a lease, in which the tasks of a lost machine may not start elsewhere, and 90 s more. Returns 1 if no task
// of the job runs in all that time, and the machine, which its job allows, has room for one at the end.
int left_waiting(Record& record, Platform& platform, const std::string& id, double lease_s, Worker& machine,
                 double cpus, const std::string& limit) {
    const double limit_s = lease_s + 90, from = steady_s();
    bool runs = false;
    for (int i = 0; steady_s() < from + limit_s && !(runs && trouble()); ++i) {
        sleep_s(0.5);
        runs = platform.runs(id);
        if (i % 20 == 0)
            poll(platform, id);
    }
    const std::lock_guard lock(platform.mutex);
    const bool room = machine.up() && machine.free_cpus() >= cpus;
    char text[200];
    std::snprintf(text, sizeof text, "%s %s; %s is %s and has %.0f CPUs free; %s", id.c_str(),
                  runs ? "runs" : "has been waiting since", machine.id.c_str(), machine.up() ? "up" : "not up",
                  machine.free_cpus(), limit.c_str());
    record.line(text);
    if (runs)
        return 0;
    return room ? 1 : 2;
}

// A spot machine is taken back. Its job may use the ordinary machine, which has room, and is left waiting, because
// another job, which only another zone could run, waits too.
int spot_wave(Record& record, const std::string& program) {
    const Times times;
    const MachineType type{"kapal-32", 32, 0, 64, 1.49, 0.43, 4, {"a", "b"}};
    auto& state = *new State; // its threads outlive this function
    auto& platform = *new Platform(record, times, {type});
    platform.capacity = [](const std::string&, const std::string&, bool) { return 0; };
    auto& ordinary = platform.add("kapal-32", "a", false, true);
    auto& spot = platform.add("kapal-32", "a", true, true);
    Controllers controllers(record, program, 3, {"a", "b"}, times, {{"red", 40, 60, 0, 0}}, state.address(),
                            platform.address(), 2);
    for (const auto& c : controllers.all)
        platform.nodes.emplace_back(c.name, c.port);
    controllers.start_all();
    if (!controllers.wait_until_up(10))
        return cannot_run(record, "the controllers are not up");
    if (submit(platform, job("wk-000001", "daemon", 1, 1, 0, 0)) != 201 ||
        !wait_for(10, [&] { return platform.runs("wk-000001"); }))
        return cannot_run(record, "the service does not run");
    auto moving = job("wk-000002", "array", 1, 4, 0, 300);
    moving["standby"] = true;
    if (submit(platform, moving) != 201 || !wait_for(10, [&] { return platform.runs("wk-000002"); }) ||
        machine_of_last_start(platform, "wk-000002/0") != spot.id)
        return cannot_run(record, "wk-000002 does not run on the spot machine");
    auto bound = job("wk-000003", "array", 1, 4, 0, 30);
    bound["yard"] = "b";
    if (submit(platform, bound) != 201)
        return cannot_run(record, "wk-000003 is not accepted");
    sleep_s(2);
    if (trouble()) {
        record.line("the cloud takes " + spot.id + " back without notice");
        const std::lock_guard lock(platform.mutex);
        spot.gone = true;
        spot.stop();
    }
    return left_waiting(record, platform, "wk-000002", times.lease_s, ordinary, 4, "its team uses 1 of 60 CPUs");
}

// One of two machines stops. The other one has room for the task that ran there, and keeps it free for replicas.
int headroom(Record& record, const std::string& program) {
    const Times times;
    const MachineType type{"kapal-32", 32, 0, 64, 1.49, 0.43, 4, {"a"}};
    auto& state = *new State; // its threads outlive this function
    auto& platform = *new Platform(record, times, {type});
    platform.capacity = [](const std::string&, const std::string&, bool) { return 0; };
    auto& one = platform.add("kapal-32", "a", false, true);
    auto& other = platform.add("kapal-32", "a", false, true);
    Controllers controllers(record, program, 3, {"a"}, times, {{"red", 40, 60, 0, 0}}, state.address(),
                            platform.address(), 2);
    for (const auto& c : controllers.all)
        platform.nodes.emplace_back(c.name, c.port);
    controllers.start_all();
    if (!controllers.wait_until_up(10))
        return cannot_run(record, "the controllers are not up");
    if (submit(platform, job("wk-000001", "daemon", 1, 1, 0, 0)) != 201 ||
        !wait_for(10, [&] { return platform.runs("wk-000001"); }))
        return cannot_run(record, "the service does not run");
    if (submit(platform, job("wk-000002", "array", 1, 30, 0, 300)) != 201 ||
        !wait_for(10, [&] { return platform.runs("wk-000002"); }))
        return cannot_run(record, "wk-000002 does not run");
    auto& lost = machine_of_last_start(platform, "wk-000002/0") == one.id ? one : other;
    auto& left = &lost == &one ? other : one;
    if (machine_of_last_start(platform, "wk-000001/0") != left.id)
        return cannot_run(record, "both run on one machine");
    sleep_s(2);
    if (trouble()) {
        record.line(lost.id + " stops with all that is on it");
        lost.stop();
    }
    return left_waiting(record, platform, "wk-000002", times.lease_s, left, 30, "its team uses 1 of 60 CPUs");
}

// A gang that must be in one zone loses a machine. Its other machines wait idle, and those that are rented for it are
// in other zones.
int gang_zone(Record& record, const std::string& program) {
    const Times times;
    const std::vector<std::string> zones{"a", "b", "c"};
    const MachineType type{"server-grafic", 48, 4, 384, 12.03, 4.61, 4, zones};
    auto& state = *new State; // its threads outlive this function
    auto& platform = *new Platform(record, times, {type});
    std::vector<Worker*> first;
    for (int i = 0; i < 3; ++i)
        first.push_back(&platform.add("server-grafic", "a", false, true));
    Controllers controllers(record, program, 3, zones, times, {{"red", 0, 0, 16, 64}}, state.address(),
                            platform.address(), 3);
    for (const auto& c : controllers.all)
        platform.nodes.emplace_back(c.name, c.port);
    controllers.start_all();
    if (!controllers.wait_until_up(10))
        return cannot_run(record, "the controllers are not up");
    auto gang = job("wk-000001", "gang", 3, 43, 4, 300);
    gang["together"] = true;
    gang["rank"] = "high";
    gang["memGb"] = 310.0;
    if (submit(platform, gang) != 201 || !wait_for(15, [&] { return platform.runs("wk-000001"); }))
        return cannot_run(record, "the gang does not run");
    sleep_s(5);
    if (trouble()) {
        const std::lock_guard lock(platform.mutex);
        int stopped = 0; // two of the zone's machines; two that run the gang are left
        for (auto it = platform.machines.rbegin(); it != platform.machines.rend(); ++it)
            if (it->second->zone == "a" && it->second->up() && it->second.get() != first[0] &&
                it->second.get() != first[1] && ++stopped <= 2) {
                record.line(it->first + " (a) stops with all that is on it");
                it->second->stop();
            }
    }
    const double limit_s = times.lease_s + 90, from = steady_s();
    sleep_s(times.lease_s);
    bool runs = false;
    for (int i = 0; steady_s() < from + limit_s && !(runs && trouble()); ++i) {
        sleep_s(0.5);
        runs = platform.runs("wk-000001");
        if (i % 20 == 0)
            poll(platform, "wk-000001");
    }
    const std::lock_guard lock(platform.mutex);
    std::map<std::string, int> up;
    for (const auto& [id, m] : platform.machines)
        if (m->up() && m->free_cpus() >= 43)
            ++up[m->zone];
    std::string idle;
    for (const auto& [zone, n] : up)
        idle += " " + zone + ":" + std::to_string(n);
    record.line(std::string("wk-000001 ") + (runs ? "runs" : "has been waiting for " + std::to_string(limit_s) + " s") +
                "; idle machines that fit, by zone:" + idle);
    return runs ? 0 : up["a"] >= 1 ? 1 : 2;
}

// Users with jobs of one short task, while the state service is out now and then. Copies of transactions that it
// refused arrive late. After a job is over, its user repeats the submission at each controller.
int refused_copy(Record& record, const std::string& program) {
    const Times times;
    const MachineType type{"kapal-32", 32, 0, 64, 1.49, 0.43, 4, {"a"}};
    auto& state = *new State; // its threads outlive this function
    auto& platform = *new Platform(record, times, {type});
    platform.quiet = true;
    for (int i = 0; i < 3; ++i)
        platform.add("kapal-32", "a", false, true);
    Controllers controllers(record, program, 3, {"a"}, times, {{"red", 64, 96, 0, 0}}, state.address(),
                            platform.address(), 3);
    for (const auto& c : controllers.all)
        platform.nodes.emplace_back(c.name, c.port);
    controllers.start_all();
    if (!controllers.wait_until_up(10))
        return cannot_run(record, "the controllers are not up");

    auto& mutex = *new std::mutex;
    auto& random = *new std::mt19937(62);
    const auto between = [&](double a, double b) {
        const std::lock_guard lock(mutex);
        return std::uniform_real_distribution<double>(a, b)(random);
    };
    auto& copies = *new std::multimap<double, std::string>; // by the time of arrival
    auto &refused = *new std::atomic<int>(0), &applied = *new std::atomic<int>(0);
    if (trouble())
        state.on_refused = [&](const std::string& body) {
            ++refused;
            const double at = steady_s() + between(0.1, 1.5);
            const std::lock_guard lock(mutex);
            copies.emplace(at, body);
        };
    std::thread([&] {
        while (true) {
            sleep_s(0.002);
            std::string body;
            {
                const std::lock_guard lock(mutex);
                if (copies.empty() || copies.begin()->first > steady_s())
                    continue;
                body = copies.extract(copies.begin()).mapped();
            }
            if (const int status = state.late_copy(body); status == 200) {
                ++applied;
                {
                    std::string keys;
                    const auto transaction = parse(body);
                    for (const auto& write : transaction["writes"])
                        keys += " " + write.value("set", write.value("delete", ""));
                    record.line("state: a late copy of a transaction that was answered 503 is applied:" + keys);
                }
            }
        }
    }).detach();

    const double end = steady_s() + 95;
    std::atomic<int> next{0}, over{0}, broken{0};
    const auto use = [&](std::size_t user) {
        while (steady_s() < end && broken < 3) {
            char id[16];
            std::snprintf(id, sizeof id, "wk-%06d", ++next);
            const auto spec = job(id, "array", 1, 1, 0, between(0.2, 1));
            {
                const std::lock_guard lock(platform.mutex);
                platform.jobs[id].spec = spec;
            }
            const auto& own = platform.nodes[user % platform.nodes.size()];
            const auto ask = [&](const std::pair<std::string, int>& node, bool repeat) {
                return repeat ? call(node.second, "POST", "/v2/runs", spec.dump(), 5)
                              : call(node.second, "GET", "/v2/runs/" + std::string(id), "", 2);
            };
            Response answer = ask(own, true);
            for (const double give_up = std::min(steady_s() + 60, end); answer.status != 201 && answer.status != 200;) {
                if (steady_s() > give_up)
                    break;
                sleep_s(1);
                answer = ask(own, true);
            }
            std::string told;
            while (steady_s() < end + 10 && told != "done") {
                sleep_s(between(0.2, 0.5));
                answer = ask(own, false);
                told = answer.status == 200 ? parse(answer.body).value("status", "") : "";
            }
            if (told != "done")
                continue;
            const double told_at = record.now();
            ++over;
            for (const auto& node : platform.nodes)
                for (const bool repeat : {true, false}) {
                    const auto later = ask(node, repeat);
                    const auto now = later.status == 200 ? parse(later.body).value("status", "") : "";
                    const bool wrong = later.status == 201 || later.status == 404 || (!now.empty() && now != "done");
                    if (!wrong)
                        continue;
                    char text[300];
                    std::snprintf(text, sizeof text,
                                  "went_back: %s told at %.2f that %s is done; %s of it at %s -> %d %s",
                                  own.first.c_str(), told_at, id, repeat ? "a repeated submission" : "a question",
                                  node.first.c_str(), later.status, later.body.c_str());
                    record.line(text);
                    ++broken;
                }
        }
    };
    std::vector<std::thread> users;
    for (std::size_t i = 0; i < 20; ++i)
        users.emplace_back(use, i);
    const char* mode = std::getenv("TROUBLE");
    if (trouble() || (mode != nullptr && std::string(mode) == "outage"))
        while (steady_s() < end - 5 && broken < 3) {
            sleep_s(between(1.5, 2.5));
            const double length_s = between(0.6, 1.4);
            record.line("state: out for " + std::to_string(length_s) + " s");
            state.set_outage(true);
            sleep_s(length_s);
            state.set_outage(false);
        }
    for (auto& user : users)
        user.join();
    record.line(std::to_string(over) + " jobs were done; " + std::to_string(refused) + " transactions were refused, " +
                std::to_string(applied) + " of their copies applied; " + std::to_string(broken) + " answers went back");
    if (over < 20)
        return 2;
    return broken > 0 ? 1 : 0;
}

// Jobs of small tasks, once one after the other and once all at a time, on one machine that has room for all of them.
int many_tasks(Record& record, const std::string& program) {
    const Times times;
    const MachineType type{"server-mare", 64, 0, 256, 3.55, 1.37, 4, {"a"}};
    auto& state = *new State; // its threads outlive this function
    auto& platform = *new Platform(record, times, {type});
    platform.capacity = [](const std::string&, const std::string&, bool) { return 0; };
    platform.quiet = true;
    platform.add("server-mare", "a", false, true);
    Controllers controllers(record, program, 3, {"a"}, times, {{"red", 64, 64, 0, 0}}, state.address(),
                            platform.address(), 1);
    for (const auto& c : controllers.all)
        platform.nodes.emplace_back(c.name, c.port);
    controllers.start_all();
    if (!controllers.wait_until_up(10))
        return cannot_run(record, "the controllers are not up");
    const std::vector<std::string> ids{"wk-000001", "wk-000002", "wk-000003"};
    const auto is_done = [&](const std::string& id) { return poll(platform, id, true) == "done"; };
    for (const auto& id : ids) {
        auto spec = job(id, "array", 400, 0.05, 0, 10);
        spec["memGb"] = 0.2;
        if (submit(platform, spec) != 201)
            return cannot_run(record, id + " is not accepted");
        if (!trouble() && !wait_for(35, [&] { return is_done(id); }))
            return cannot_run(record, id + " is not done");
    }
    const double from = steady_s();
    std::size_t done = 0;
    while (steady_s() < from + 100 && done < ids.size()) {
        sleep_s(5);
        done = 0;
        std::string tasks;
        for (const auto& id : ids) {
            done += poll(platform, id) == "done";
            const std::lock_guard lock(platform.mutex);
            tasks += " " + std::to_string(platform.jobs[id].done.size());
        }
        const std::lock_guard lock(platform.mutex);
        record.line("tasks completed of each job:" + tasks +
                    "; starts so far: " + std::to_string(platform.starts.size()));
    }
    record.line(std::to_string(done) + " of " + std::to_string(ids.size()) + " jobs are done");
    return done == ids.size() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 4)
        return 2;
    std::signal(SIGPIPE, SIG_IGN);
    Record record(argv[2]);
    record.line(std::string("case ") + argv[1] + ", " + (trouble() ? "with" : "without") + " the disruption");
    const std::map<std::string, int (*)(Record&, const std::string&)> cases{{"refused-copy", refused_copy},
                                                                            {"spot-wave", spot_wave},
                                                                            {"gang-zone", gang_zone},
                                                                            {"headroom", headroom},
                                                                            {"many-tasks", many_tasks}};
    const auto it = cases.find(argv[1]);
    if (it == cases.end())
        return 2;
    const int status = it->second(record, argv[3]);
    record.line("exit status " + std::to_string(status));
    std::fflush(nullptr);
    _exit(status);
}
