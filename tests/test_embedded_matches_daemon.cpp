// The library and the daemon must make the same decisions. The same stream of jobs is submitted to a `Scheduler` whose
// executor and store are objects in its own process, and to three controllers over HTTP on loopback, with a state
// service and an agent on every machine. The controllers run in the process of the test or as processes of their own.
// Simulated time advances in steps, every message in flight is delivered before the next step, and all launches are
// compared.
#include "heronshift/codec.hpp"
#include "heronshift/embed/scheduler.hpp"
#include "heronshift/store/direct.hpp"
#include "local/cloud.hpp"
#include "local/port.hpp"
#include "node/node.hpp"
#include "store/server.hpp"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <random>
#include <spdlog/spdlog.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace heronshift {
namespace {

constexpr double report_s = 30, lease_s = 180;
constexpr double step_s = report_s / 20 * 1.001; // the core's periodic tick is due in every step
// The share of a step between the scheduling pass at its beginning and the heartbeats: short enough that the next pass
// is not due before them.
constexpr double heartbeats_after = 0.2;
constexpr int quiet_turns = 8; // turns of the loop: more than any message needs on loopback
constexpr int max_steps = 6000;
#ifdef __SANITIZE_ADDRESS__
constexpr bool sanitized = true; // sanitized builds are about twenty times slower
#else
constexpr bool sanitized = false;
#endif
constexpr int jobs_a_stream = sanitized ? 60 : 300;

class Steps final : public Clock {
public:
    [[nodiscard]] double now() const override {
        return at;
    }
    [[nodiscard]] double wall() const override {
        return 1.7e9 + at;
    }
    double at = 1000;
};

struct Wanted {
    JobSpec spec;
    int cancel_after = -1; // in steps after the submission; negative: never
};

std::vector<Wanted> stream(unsigned seed, int n) {
    std::mt19937 rng(seed);
    const auto roll = [&](unsigned below) { return static_cast<std::uint32_t>(rng() % below); };
    std::vector<Wanted> out;
    std::vector<std::string> finite;
    for (int i = 1; i <= n; ++i) {
        Wanted w;
        auto& s = w.spec;
        s.id = fmt::format("wk-{:06}", i);
        s.team = roll(3) == 0 ? "blue" : "red";
        const auto kind = roll(8);
        s.shape = kind < 4 ? Shape::array : kind < 6 ? Shape::gang : Shape::service;
        s.job_class = s.shape == Shape::array ? "batch" : s.shape == Shape::gang ? "solve" : "serve";
        s.priority = static_cast<Priority>(roll(4));
        s.tasks = 1 + roll(s.shape == Shape::array ? 12 : s.shape == Shape::gang ? 4 : 8);
        s.each = {static_cast<double>(1 + roll(4)), roll(12) == 0 ? 1.0 : 0.0, static_cast<double>(2 + roll(8))};
        s.image = fmt::format("img-{}", roll(6));
        s.image_gb = 1 + roll(8);
        s.spot = s.shape == Shape::array && roll(2) == 0;
        s.one_zone = s.shape == Shape::gang && roll(2) == 0;
        s.spread = s.shape == Shape::service && s.tasks > 1 && roll(2) == 0;
        if (roll(10) == 0)
            s.zone = roll(2) == 0 ? "a" : "b";
        if (roll(10) == 0 && s.each.gpus == 0)
            s.types = {"m16"};
        s.estimate_s = s.shape == Shape::service ? 0 : 20 + roll(300);
        if (s.shape == Shape::array && roll(3) == 0)
            s.checkpoint_s = 20, s.save_s = 4;
        if (finite.size() > 5 && roll(5) == 0) // depends on recent jobs
            for (auto k = 1 + roll(2); k > 0; --k) {
                const auto& need = finite[finite.size() - 1 - roll(5)];
                if (std::find(s.dependencies.begin(), s.dependencies.end(), need) == s.dependencies.end())
                    s.dependencies.push_back(need);
            }
        if (s.shape == Shape::service)
            w.cancel_after = 60 + static_cast<int>(roll(200));
        else if (roll(10) == 0)
            w.cancel_after = 1 + static_cast<int>(roll(60));
        if (s.shape != Shape::service)
            finite.push_back(s.id);
        out.push_back(std::move(w));
    }
    return out;
}

// Launches are ordered by step and, since the messages of one step arrive in no defined order, by text within a step.
struct Outcome {
    std::vector<std::string> launches;
    std::vector<std::string> refused, unfinished, broken;
    int steps = 0;
    std::size_t rented = 0;
};

// The simulated platform and the users. Derived classes supply the scheduler.
struct SimulatedCluster {
    explicit SimulatedCluster(const OperatorSettings& ops) {
        uv_loop_init(&loop);
        s.zones = {"a", "b"};
        s.teams = {{"red", 60, 120, 4, 8}, {"blue", 40, 80, 4, 8}};
        s.report_s = report_s;
        s.lease_s = lease_s;
        s.gang_wait_s = 360, s.gang_peer_s = 80, s.cancel_s = 360;
        s.state_rps = s.state_write_rps = 10'000;
        s.cloud_rps = 0.8; // about one request per step, so that requests can't overtake each other
        s.list_lag_s = 10;
        s.ops = ops;
        plan.types = {{"m8", {8, 0, 32}, 20, 0.5, 1.0, 0.3, 40, {"a", "b"}},
                      {"m16", {16, 0, 64}, 40, 0.5, 2.1, 0.7, 60, {"a", "b"}},
                      {"g8", {8, 2, 64}, 40, 0.5, 6, 2, 90, {"a", "b"}}};
        plan.capacity = 5;
        plan.workers = {report_s, lease_s, s.gang_wait_s, s.gang_peer_s, {}};
        plan.clock = clock;
        plan.lockstep = true;
        history = std::make_unique<local::History>(s.teams, s.cancel_s);
    }
    virtual ~SimulatedCluster() = default;
    SimulatedCluster(const SimulatedCluster&) = delete;
    SimulatedCluster& operator=(const SimulatedCluster&) = delete;
    void make_platform() {
        platform = std::make_unique<local::Platform>(&loop, plan, *history);
        platform->on_launch = [this](const Order& o, const MachineType& type, const std::string& zone, bool spot) {
            now_launched.push_back(fmt::format("{}/{} attempt {} on a {}{} in {}", o.job, o.index, o.attempt, type.name,
                                               spot ? " (spot)" : "", zone));
        };
    }
    void end() {
        platform.reset();
        uv_run(&loop, UV_RUN_DEFAULT);
        uv_loop_close(&loop);
    }

    virtual void turn() = 0;
    virtual std::uint64_t messages() = 0;
    using HistoryChecks = std::function<void(int status, const std::string& state)>;
    virtual void submit(const JobSpec& j, HistoryChecks told) = 0;
    virtual void get(const std::string& id, HistoryChecks told) = 0;
    virtual void cancel(const std::string& id, HistoryChecks told) = 0;

    // A step has three parts: the controllers decide from what they received in earlier steps; users send their
    // requests, before another scheduling pass is due; machines report the state of their tasks.
    void step(const std::function<void()>& ask = {}) {
        clock->at += (1 - heartbeats_after) * step_s;
        settle(false);
        if (ask)
            ask();
        settle(false);
        clock->at += heartbeats_after * step_s;
        settle(true);
        std::sort(now_launched.begin(), now_launched.end());
        for (auto& l : now_launched)
            out.launches.push_back(fmt::format("step {}: {}", out.steps, l));
        now_launched.clear();
        ++out.steps;
    }
    void settle(bool machines) { // runs until no message has been exchanged for `quiet_turns` turns
        for (int quiet = 0; quiet < quiet_turns;) {
            const auto before = messages() + platform->messages();
            if (machines)
                platform->turn();
            turn();
            uv_run(&loop, UV_RUN_NOWAIT);
            quiet = messages() + platform->messages() == before ? quiet + 1 : 0;
        }
    }
    HistoryChecks heard(const std::string& id) {
        return [this, id](int status, const std::string& state) {
            ++answered;
            history->told(id, status, state, clock->at);
            if (status != 200 && status != 201)
                out.refused.push_back(fmt::format("{}: {}", id, status));
            if (state == codec::status_done || state == codec::status_cancelled)
                over.insert(id);
        };
    }
    Outcome run(const std::vector<Wanted>& jobs) {
        for (int i = 0; i < 20; ++i)
            step(); // a leader is elected and learns the machine types
        std::multimap<int, std::string> cancels;
        for (std::size_t i = 0; i < jobs.size() || (over.size() < jobs.size() && out.steps < max_steps); ++i) {
            step([&] {
                if (i < jobs.size()) {
                    const auto& w = jobs[i];
                    platform->know(w.spec);
                    history->submitted(w.spec);
                    submit(w.spec, heard(w.spec.id));
                    if (w.cancel_after >= 0)
                        cancels.emplace(out.steps + w.cancel_after, w.spec.id);
                }
                for (; !cancels.empty() && cancels.begin()->first <= out.steps; cancels.erase(cancels.begin())) {
                    history->cancel_asked(cancels.begin()->second);
                    cancel(cancels.begin()->second, heard(cancels.begin()->second));
                }
                if (out.steps % 50 != 0)
                    return;
                for (std::size_t k = 0; k < std::min(i, jobs.size()); ++k)
                    if (!over.contains(jobs[k].spec.id))
                        get(jobs[k].spec.id, heard(jobs[k].spec.id));
            });
        }
        out.unfinished = history->unfinished();
        out.broken = history->broken();
        out.rented = platform->sum().rented;
        return out;
    }

    uv_loop_t loop{};
    std::shared_ptr<Steps> clock = std::make_shared<Steps>();
    Settings s;
    local::PlatformPlan plan;
    std::unique_ptr<local::History> history;
    std::unique_ptr<local::Platform> platform;
    std::vector<std::string> now_launched;
    std::set<std::string> over;
    std::uint64_t answered = 0;
    Outcome out;
};

struct Library final : SimulatedCluster {
    explicit Library(const OperatorSettings& ops) : SimulatedCluster(ops) {
        make_platform();
        SchedulerOptions o;
        o.settings = s;
        o.settings.name = "alone";
        o.state = [this](uv_loop_t* l) {
            return std::make_unique<store::DirectStore>(
                l, std::make_unique<store::Engine>(store::memory_data(), store::Limits{}), clock);
        };
        o.executor = [this](uv_loop_t*) { return platform->executor(); };
        o.clock = clock;
        scheduler = std::make_unique<Scheduler>(&loop, std::move(o));
    }
    ~Library() override {
        scheduler.reset();
        uv_run(&loop, UV_RUN_NOWAIT);
        end();
    }
    void turn() override {
        scheduler->turn();
    }
    std::uint64_t messages() override {
        return answered;
    }
    static Scheduler::Done done(HistoryChecks told) {
        return [told = std::move(told)](const Reply& r) { told(r.status, r.state); };
    }
    void submit(const JobSpec& j, HistoryChecks told) override {
        scheduler->submit(j, done(std::move(told)));
    }
    void get(const std::string& id, HistoryChecks told) override {
        scheduler->get(id, done(std::move(told)));
    }
    void cancel(const std::string& id, HistoryChecks told) override {
        scheduler->cancel(id, done(std::move(told)));
    }
    std::unique_ptr<Scheduler> scheduler;
};

// Three controllers that receive the requests of the users in turn, over HTTP on loopback. Derived classes run them.
struct OverHttp : SimulatedCluster {
    static constexpr int count = 3;
    explicit OverHttp(const OperatorSettings& ops) : SimulatedCluster(ops) {
        state = std::make_unique<store::StoreServer>(
            &loop, std::make_unique<store::Engine>(store::memory_data(), store::Limits{}));
        EXPECT_EQ(state->start({"127.0.0.1", 0}), 0);
        const auto name = [](int i) { return fmt::format("berth-{}", i); };
        for (int i = 0; i < count; ++i)
            plan.workers.nodes.emplace_back(name(i), fmt::format("127.0.0.1:{}", ports[i].number()));
        make_platform();
        EXPECT_EQ(platform->start({"127.0.0.1", 0}), 0);
        for (int i = 0; i < count; ++i) {
            auto mine = s;
            mine.name = name(i);
            mine.listen = {"127.0.0.1", ports[i].number()};
            mine.peer_listen = {"127.0.0.1", peer_ports[i].number()};
            for (int k = 0; k < count; ++k)
                if (k != i)
                    mine.peers.push_back({name(k), "a", {"127.0.0.1", peer_ports[k].number()}});
            mine.state = {"127.0.0.1", state->port()};
            mine.cloud = {"127.0.0.1", platform->port()};
            settings.push_back(std::move(mine));
        }
    }
    void end_all() {
        state.reset();
        users.reset();
        end();
    }
    std::uint64_t messages() override {
        // A request without an answer counts as activity.
        return answered + state->requests() + (asked > heard_of ? ++waiting : 0);
    }
    void ask(const char* method, const std::string& path, std::string body, HistoryChecks told) {
        const auto& to = plan.workers.nodes[static_cast<std::size_t>(asked++ % count)].second;
        users->request(to, method, path, std::move(body), 60, [this, told = std::move(told)](HttpReply&& r) {
            ++heard_of;
            const auto a = r.status == 200 || r.status == 201 ? codec::job_answer_of(r.body) : std::nullopt;
            told(r.status, a ? a->status : "");
        });
    }
    void submit(const JobSpec& j, HistoryChecks told) override {
        ask("POST", std::string(codec::path_jobs), codec::to_body(j), std::move(told));
    }
    void get(const std::string& id, HistoryChecks told) override {
        ask("GET", fmt::format("{}/{}", codec::path_jobs, id), "", std::move(told));
    }
    void cancel(const std::string& id, HistoryChecks told) override {
        ask("POST", fmt::format("{}/{}/{}", codec::path_jobs, id, codec::suffix_cancel), "{}", std::move(told));
    }
    local::Port ports[count], peer_ports[count];
    std::vector<Settings> settings;
    std::unique_ptr<HttpClient> users = std::make_unique<HttpClient>(&loop, 8, 512);
    std::unique_ptr<store::StoreServer> state;
    std::uint64_t asked = 0, heard_of = 0, waiting = 0;
};

struct Daemons final : OverHttp {
    explicit Daemons(const OperatorSettings& ops) : OverHttp(ops) {
        for (const auto& mine : settings) {
            nodes.push_back(std::make_unique<Node>(&loop, mine, Node::Parts{{}, {}, {}, clock}));
            EXPECT_EQ(nodes.back()->start(), 0);
        }
    }
    ~Daemons() override {
        for (auto& n : nodes)
            n->stop();
        nodes.clear();
        end_all();
    }
    void turn() override {
        for (auto& n : nodes)
            n->turn();
        state->poll();
    }
    std::vector<std::unique_ptr<Node>> nodes;
};

// The three controllers as processes of their own. They share two things with the test: the simulated time, and how
// many turns the loop of each process has made, by which the test knows when no message is in flight.
struct Processes final : OverHttp {
    struct Shared {
        std::atomic<double> now{0};
        std::atomic<std::uint64_t> turns[count]{};
    };
    class SharedSteps final : public Clock {
    public:
        explicit SharedSteps(const Shared& s) : s_(s) {}
        [[nodiscard]] double now() const override {
            return s_.now;
        }
        [[nodiscard]] double wall() const override {
            return 1.7e9 + s_.now;
        }

    private:
        const Shared& s_;
    };
    explicit Processes(const OperatorSettings& ops) : OverHttp(ops) {
        shared =
            new (::mmap(nullptr, sizeof(Shared), PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0)) Shared;
        shared->now = clock->at;
        for (int i = 0; i < count; ++i) {
            const pid_t child = fork();
            if (child == 0)
                serve(i);
            children.push_back(child);
        }
        // All processes start before time advances, since the wait before they may become leader counts from their
        // start.
        turn();
    }
    ~Processes() override {
        for (const auto c : children) {
            kill(c, SIGKILL);
            int status = 0;
            waitpid(c, &status, 0);
            EXPECT_TRUE(WIFSIGNALED(status)); // none had exited by itself
        }
        end_all();
        ::munmap(shared, sizeof(Shared));
    }
    [[noreturn]] void serve(int i) {
        close_range(3, ~0U, 0); // sockets inherited from the parent
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        spdlog::set_level(spdlog::level::off);
        uv_loop_t own;
        uv_loop_init(&own);
        Node node(&own, settings[static_cast<std::size_t>(i)],
                  Node::Parts{{}, {}, {}, std::make_shared<SharedSteps>(*shared)});
        if (node.start() != 0)
            _exit(1);
        for (;;) {
            node.turn();
            uv_run(&own, UV_RUN_NOWAIT);
            ++shared->turns[i];
            usleep(20);
        }
    }
    void turn() override { // waits until every process has made at least one complete turn
        shared->now = clock->at;
        std::uint64_t before[count];
        for (int i = 0; i < count; ++i)
            before[i] = shared->turns[i];
        const auto give_up = uv_hrtime() + 60'000'000'000ULL;
        for (int i = 0; i < count; ++i)
            while (shared->turns[i] < before[i] + 2 && uv_hrtime() < give_up)
                usleep(10);
        state->poll();
    }
    Shared* shared = nullptr;
    std::vector<pid_t> children;
};

std::string first_difference(const Outcome& a, const Outcome& b) {
    const auto [x, y] = std::mismatch(a.launches.begin(), a.launches.end(), b.launches.begin(), b.launches.end());
    const auto say = [](auto it, const auto& list) { return it == list.end() ? std::string("none") : *it; };
    return x == a.launches.end() && y == b.launches.end()
               ? ""
               : fmt::format("launch {}: {} | {}", x - a.launches.begin(), say(x, a.launches), say(y, b.launches));
}

void expect_whole(const Outcome& o) {
    EXPECT_EQ(o.refused, std::vector<std::string>{});
    EXPECT_EQ(o.unfinished, std::vector<std::string>{});
    EXPECT_EQ(o.broken, std::vector<std::string>{});
}

class Same : public ::testing::TestWithParam<unsigned> {};

TEST_P(Same, TheLibraryPlacesAsThreeDaemonsDo) {
    const auto seed = GetParam();
    const auto jobs = stream(seed, jobs_a_stream);
    const auto library = Library({}).run(jobs);
    const auto daemons = Daemons({}).run(jobs);
    std::cout << fmt::format("seed {}: {} jobs, {} launches, {} steps, {} machines rented\n", seed, jobs.size(),
                             library.launches.size(), library.steps, library.rented);
    expect_whole(library);
    expect_whole(daemons);
    EXPECT_GT(library.launches.size(), 3U * jobs_a_stream);
    EXPECT_EQ(first_difference(library, daemons), "");
}

TEST(SameProcesses, TheLibraryPlacesAsThreeProcessesDo) {
    if (sanitized)
        GTEST_SKIP();
    constexpr unsigned seed = 412;
    const auto jobs = stream(seed, jobs_a_stream);
    const auto library = Library({}).run(jobs);
    const auto daemons = Processes({}).run(jobs);
    std::cout << fmt::format("seed {}: {} launches\n", seed, library.launches.size());
    expect_whole(daemons);
    EXPECT_GT(library.launches.size(), 3U * jobs_a_stream);
    EXPECT_EQ(first_difference(library, daemons), "");
}

// Shows that the comparison above can fail: a different weight in the payoff must change the launches.
TEST_P(Same, AnotherPayoffShows) {
    if (sanitized)
        GTEST_SKIP();
    const auto jobs = stream(GetParam(), jobs_a_stream);
    OperatorSettings other;
    other.alpha *= 200;
    EXPECT_NE(first_difference(Library({}).run(jobs), Library(other).run(jobs)), "");
}

INSTANTIATE_TEST_SUITE_P(Seeds, Same, ::testing::Values(20261201U, 7U, 412U));

} // namespace
} // namespace heronshift
