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
constexpr double heartbeat_share = 0.2;
constexpr int quiet_turns = 8; // turns of the loop: more than any message needs on loopback
constexpr int max_steps = 6000;
#ifdef __SANITIZE_ADDRESS__
constexpr bool sanitized = true; // sanitized builds are about twenty times slower
#else
constexpr bool sanitized = false;
#endif
constexpr int jobs_per_run = sanitized ? 60 : 300;

class ManualClock final : public Clock {
public:
    [[nodiscard]] double now() const override {
        return at;
    }
    [[nodiscard]] double wall() const override {
        return 1.7e9 + at;
    }
    double at = 1000;
};

struct SubmittedJob {
    JobSpec spec;
    int cancel_after = -1; // in steps after the submission; negative: never
};

std::vector<SubmittedJob> generate_jobs(unsigned seed, int n) {
    std::mt19937 rng(seed);
    const auto random_below = [&](unsigned below) { return static_cast<std::uint32_t>(rng() % below); };
    std::vector<SubmittedJob> out;
    std::vector<std::string> finite_job_ids;
    for (int i = 1; i <= n; ++i) {
        SubmittedJob w;
        auto& s = w.spec;
        s.id = fmt::format("wk-{:06}", i);
        s.team = random_below(3) == 0 ? "blue" : "red";
        const auto kind = random_below(8);
        s.shape = kind < 4 ? Shape::array : kind < 6 ? Shape::gang : Shape::service;
        s.job_class = s.shape == Shape::array ? "batch" : s.shape == Shape::gang ? "solve" : "serve";
        s.priority = static_cast<Priority>(random_below(4));
        s.tasks = 1 + random_below(s.shape == Shape::array ? 12 : s.shape == Shape::gang ? 4 : 8);
        s.each = {static_cast<double>(1 + random_below(4)), random_below(12) == 0 ? 1.0 : 0.0,
                  static_cast<double>(2 + random_below(8))};
        s.image = fmt::format("img-{}", random_below(6));
        s.image_gb = 1 + random_below(8);
        s.spot = s.shape == Shape::array && random_below(2) == 0;
        s.one_zone = s.shape == Shape::gang && random_below(2) == 0;
        s.spread = s.shape == Shape::service && s.tasks > 1 && random_below(2) == 0;
        if (random_below(10) == 0)
            s.zone = random_below(2) == 0 ? "a" : "b";
        if (random_below(10) == 0 && s.each.gpus == 0)
            s.types = {"m16"};
        s.estimate_s = s.shape == Shape::service ? 0 : 20 + random_below(300);
        if (s.shape == Shape::array && random_below(3) == 0)
            s.checkpoint_s = 20, s.save_s = 4;
        if (finite_job_ids.size() > 5 && random_below(5) == 0) // depends on recent jobs
            for (auto k = 1 + random_below(2); k > 0; --k) {
                const auto& need = finite_job_ids[finite_job_ids.size() - 1 - random_below(5)];
                if (std::find(s.dependencies.begin(), s.dependencies.end(), need) == s.dependencies.end())
                    s.dependencies.push_back(need);
            }
        if (s.shape == Shape::service)
            w.cancel_after = 60 + static_cast<int>(random_below(200));
        else if (random_below(10) == 0)
            w.cancel_after = 1 + static_cast<int>(random_below(60));
        if (s.shape != Shape::service)
            finite_job_ids.push_back(s.id);
        out.push_back(std::move(w));
    }
    return out;
}

// Launches are ordered by step and, since the messages of one step arrive in no defined order, by text within a step.
struct Outcome {
    std::vector<std::string> launches;
    std::vector<std::string> refused, unfinished, violations;
    int steps = 0;
    std::size_t rented = 0;
};

// The simulated platform and the users. Derived classes supply the scheduler.
struct SimulatedRun {
    explicit SimulatedRun(const OperatorSettings& ops) {
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
    virtual ~SimulatedRun() = default;
    SimulatedRun(const SimulatedRun&) = delete;
    SimulatedRun& operator=(const SimulatedRun&) = delete;
    void make_platform() {
        platform = std::make_unique<local::Platform>(&loop, plan, *history);
        platform->on_launch = [this](const Order& o, const MachineType& type, const std::string& zone, bool spot) {
            launches_in_step.push_back(fmt::format("{}/{} attempt {} on a {}{} in {}", o.job, o.index, o.attempt,
                                                   type.name, spot ? " (spot)" : "", zone));
        };
    }
    void end() {
        platform.reset();
        uv_run(&loop, UV_RUN_DEFAULT);
        uv_loop_close(&loop);
    }

    virtual void turn() = 0;
    virtual std::uint64_t messages() = 0;
    using AnswerHandler = std::function<void(int status, const std::string& state)>;
    virtual void submit(const JobSpec& j, AnswerHandler user_answered) = 0;
    virtual void get(const std::string& id, AnswerHandler user_answered) = 0;
    virtual void cancel(const std::string& id, AnswerHandler user_answered) = 0;

    // A step has three parts: the controllers decide from what they received in earlier steps; users send their
    // requests, before another scheduling pass is due; machines report the state of their tasks.
    void step(const std::function<void()>& send_request = {}) {
        clock->at += (1 - heartbeat_share) * step_s;
        settle(false);
        if (send_request)
            send_request();
        settle(false);
        clock->at += heartbeat_share * step_s;
        settle(true);
        std::sort(launches_in_step.begin(), launches_in_step.end());
        for (auto& l : launches_in_step)
            out.launches.push_back(fmt::format("step {}: {}", out.steps, l));
        launches_in_step.clear();
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
    AnswerHandler answer_recorder(const std::string& id) {
        return [this, id](int status, const std::string& state) {
            ++answered;
            history->user_answered(id, status, state, clock->at);
            if (status != 200 && status != 201)
                out.refused.push_back(fmt::format("{}: {}", id, status));
            if (state == codec::status_done || state == codec::status_cancelled)
                finished_jobs.insert(id);
        };
    }
    Outcome run(const std::vector<SubmittedJob>& jobs) {
        for (int i = 0; i < 20; ++i)
            step(); // a leader is elected and learns the machine types
        std::multimap<int, std::string> cancels;
        for (std::size_t i = 0; i < jobs.size() || (finished_jobs.size() < jobs.size() && out.steps < max_steps); ++i) {
            step([&] {
                if (i < jobs.size()) {
                    const auto& w = jobs[i];
                    platform->register_job(w.spec);
                    history->submitted(w.spec);
                    submit(w.spec, answer_recorder(w.spec.id));
                    if (w.cancel_after >= 0)
                        cancels.emplace(out.steps + w.cancel_after, w.spec.id);
                }
                for (; !cancels.empty() && cancels.begin()->first <= out.steps; cancels.erase(cancels.begin())) {
                    history->cancellation_requested(cancels.begin()->second);
                    cancel(cancels.begin()->second, answer_recorder(cancels.begin()->second));
                }
                if (out.steps % 50 != 0)
                    return;
                for (std::size_t k = 0; k < std::min(i, jobs.size()); ++k)
                    if (!finished_jobs.contains(jobs[k].spec.id))
                        get(jobs[k].spec.id, answer_recorder(jobs[k].spec.id));
            });
        }
        out.unfinished = history->unfinished();
        out.violations = history->violations();
        out.rented = platform->totals().rented;
        return out;
    }

    uv_loop_t loop{};
    std::shared_ptr<ManualClock> clock = std::make_shared<ManualClock>();
    Settings s;
    local::PlatformPlan plan;
    std::unique_ptr<local::History> history;
    std::unique_ptr<local::Platform> platform;
    std::vector<std::string> launches_in_step;
    std::set<std::string> finished_jobs;
    std::uint64_t answered = 0;
    Outcome out;
};

struct Library final : SimulatedRun {
    explicit Library(const OperatorSettings& ops) : SimulatedRun(ops) {
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
    static Scheduler::Done done(AnswerHandler user_answered) {
        return [user_answered = std::move(user_answered)](const Reply& r) { user_answered(r.status, r.state); };
    }
    void submit(const JobSpec& j, AnswerHandler user_answered) override {
        scheduler->submit(j, done(std::move(user_answered)));
    }
    void get(const std::string& id, AnswerHandler user_answered) override {
        scheduler->get(id, done(std::move(user_answered)));
    }
    void cancel(const std::string& id, AnswerHandler user_answered) override {
        scheduler->cancel(id, done(std::move(user_answered)));
    }
    std::unique_ptr<Scheduler> scheduler;
};

// Three controllers that receive the requests of the users in turn, over HTTP on loopback. Derived classes run them.
struct HttpControllers : SimulatedRun {
    static constexpr int count = 3;
    explicit HttpControllers(const OperatorSettings& ops) : SimulatedRun(ops) {
        state = std::make_unique<store::StoreServer>(
            &loop, std::make_unique<store::Engine>(store::memory_data(), store::Limits{}));
        EXPECT_EQ(state->start({"127.0.0.1", 0}), 0);
        const auto name = [](int i) { return fmt::format("berth-{}", i); };
        for (int i = 0; i < count; ++i)
            plan.workers.nodes.emplace_back(name(i), fmt::format("127.0.0.1:{}", ports[i].number()));
        make_platform();
        EXPECT_EQ(platform->start({"127.0.0.1", 0}), 0);
        for (int i = 0; i < count; ++i) {
            auto node_settings = s;
            node_settings.name = name(i);
            node_settings.listen = {"127.0.0.1", ports[i].number()};
            node_settings.peer_listen = {"127.0.0.1", peer_ports[i].number()};
            for (int k = 0; k < count; ++k)
                if (k != i)
                    node_settings.peers.push_back({name(k), "a", {"127.0.0.1", peer_ports[k].number()}});
            node_settings.state = {"127.0.0.1", state->port()};
            node_settings.cloud = {"127.0.0.1", platform->port()};
            settings.push_back(std::move(node_settings));
        }
    }
    void shut_down() {
        state.reset();
        users.reset();
        end();
    }
    std::uint64_t messages() override {
        // A request without an answer counts as activity.
        return answered + state->requests() + (requests_sent > answers_received ? ++polls_while_waiting : 0);
    }
    void send_request(const char* method, const std::string& path, std::string body, AnswerHandler user_answered) {
        const auto& to = plan.workers.nodes[static_cast<std::size_t>(requests_sent++ % count)].second;
        users->request(
            to, method, path, std::move(body), 60, [this, user_answered = std::move(user_answered)](HttpReply&& r) {
                ++answers_received;
                const auto a = r.status == 200 || r.status == 201 ? codec::job_answer_of(r.body) : std::nullopt;
                user_answered(r.status, a ? a->status : "");
            });
    }
    void submit(const JobSpec& j, AnswerHandler user_answered) override {
        send_request("POST", std::string(codec::path_jobs), codec::to_body(j), std::move(user_answered));
    }
    void get(const std::string& id, AnswerHandler user_answered) override {
        send_request("GET", fmt::format("{}/{}", codec::path_jobs, id), "", std::move(user_answered));
    }
    void cancel(const std::string& id, AnswerHandler user_answered) override {
        send_request("POST", fmt::format("{}/{}/{}", codec::path_jobs, id, codec::suffix_cancel), "{}",
                     std::move(user_answered));
    }
    local::Port ports[count], peer_ports[count];
    std::vector<Settings> settings;
    std::unique_ptr<HttpClient> users = std::make_unique<HttpClient>(&loop, 8, 512);
    std::unique_ptr<store::StoreServer> state;
    std::uint64_t requests_sent = 0, answers_received = 0, polls_while_waiting = 0;
};

struct Daemons final : HttpControllers {
    explicit Daemons(const OperatorSettings& ops) : HttpControllers(ops) {
        for (const auto& node_settings : settings) {
            nodes.push_back(std::make_unique<Node>(&loop, node_settings, Node::Parts{{}, {}, {}, clock}));
            EXPECT_EQ(nodes.back()->start(), 0);
        }
    }
    ~Daemons() override {
        for (auto& n : nodes)
            n->stop();
        nodes.clear();
        shut_down();
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
struct Processes final : HttpControllers {
    struct Shared {
        std::atomic<double> now{0};
        std::atomic<std::uint64_t> turns[count]{};
    };
    class SharedClock final : public Clock {
    public:
        explicit SharedClock(const Shared& s) : s_(s) {}
        [[nodiscard]] double now() const override {
            return s_.now;
        }
        [[nodiscard]] double wall() const override {
            return 1.7e9 + s_.now;
        }

    private:
        const Shared& s_;
    };
    explicit Processes(const OperatorSettings& ops) : HttpControllers(ops) {
        shared =
            new (::mmap(nullptr, sizeof(Shared), PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0)) Shared;
        shared->now = clock->at;
        for (int i = 0; i < count; ++i) {
            const pid_t child = fork();
            if (child == 0)
                run_controller(i);
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
        shut_down();
        ::munmap(shared, sizeof(Shared));
    }
    [[noreturn]] void run_controller(int i) {
        close_range(3, ~0U, 0); // sockets inherited from the parent
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        spdlog::set_level(spdlog::level::off);
        uv_loop_t own;
        uv_loop_init(&own);
        Node node(&own, settings[static_cast<std::size_t>(i)],
                  Node::Parts{{}, {}, {}, std::make_shared<SharedClock>(*shared)});
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
    const auto launch_or_none = [](auto it, const auto& list) { return it == list.end() ? std::string("none") : *it; };
    return x == a.launches.end() && y == b.launches.end()
               ? ""
               : fmt::format("launch {}: {} | {}", x - a.launches.begin(), launch_or_none(x, a.launches),
                             launch_or_none(y, b.launches));
}

void expect_all_finished(const Outcome& o) {
    EXPECT_EQ(o.refused, std::vector<std::string>{});
    EXPECT_EQ(o.unfinished, std::vector<std::string>{});
    EXPECT_EQ(o.violations, std::vector<std::string>{});
}

class SamePlacements : public ::testing::TestWithParam<unsigned> {};

TEST_P(SamePlacements, TheLibraryPlacesAsThreeDaemonsDo) {
    const auto seed = GetParam();
    const auto jobs = generate_jobs(seed, jobs_per_run);
    const auto library = Library({}).run(jobs);
    const auto daemons = Daemons({}).run(jobs);
    std::cout << fmt::format("seed {}: {} jobs, {} launches, {} steps, {} machines rented\n", seed, jobs.size(),
                             library.launches.size(), library.steps, library.rented);
    expect_all_finished(library);
    expect_all_finished(daemons);
    EXPECT_GT(library.launches.size(), 3U * jobs_per_run);
    EXPECT_EQ(first_difference(library, daemons), "");
}

TEST(SamePlacementsAcrossProcesses, TheLibraryPlacesAsThreeProcessesDo) {
    if (sanitized)
        GTEST_SKIP();
    constexpr unsigned seed = 412;
    const auto jobs = generate_jobs(seed, jobs_per_run);
    const auto library = Library({}).run(jobs);
    const auto daemons = Processes({}).run(jobs);
    std::cout << fmt::format("seed {}: {} launches\n", seed, library.launches.size());
    expect_all_finished(daemons);
    EXPECT_GT(library.launches.size(), 3U * jobs_per_run);
    EXPECT_EQ(first_difference(library, daemons), "");
}

// Shows that the comparison above can fail: a different weight in the payoff must change the launches.
TEST_P(SamePlacements, AChangedPayoffChangesLaunches) {
    if (sanitized)
        GTEST_SKIP();
    const auto jobs = generate_jobs(GetParam(), jobs_per_run);
    OperatorSettings other;
    other.alpha *= 200;
    EXPECT_NE(first_difference(Library({}).run(jobs), Library(other).run(jobs)), "");
}

INSTANTIATE_TEST_SUITE_P(Seeds, SamePlacements, ::testing::Values(20261201U, 7U, 412U));

} // namespace
} // namespace heronshift
