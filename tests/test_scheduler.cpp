// The embedding interface: on the program's event loop and on a thread of its own, with a file store or a state
// service, against emulators of the cloud and the machines on loopback.
#include "heronshift/embed/scheduler.hpp"

#include "cluster/cluster_data.hpp"
#include "heronshift/codec.hpp"
#include "heronshift/embed/heronshift.h"
#include "local/cloud.hpp"
#include "local/port.hpp"
#include "store/remote.hpp"
#include "store/server.hpp"

#include <atomic>
#include <csignal>
#include <fmt/format.h>
#include <future>
#include <gtest/gtest.h>
#include <random>
#include <spdlog/spdlog.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace heronshift {
namespace {

JobSpec job(int n, std::uint32_t tasks = 3) {
    JobSpec s;
    s.id = fmt::format("wk-{:06}", n);
    s.job_class = "batch";
    s.team = "red";
    s.tasks = tasks;
    s.each = {1, 0, 1};
    s.image = "img";
    s.image_gb = 0.01;
    s.estimate_s = 0.1;
    return s;
}

struct Embedded : ::testing::Test {
    uv_loop_t loop{};
    local::History history{{}, 15};
    std::unique_ptr<local::Platform> platform;
    std::string file;

    Embedded() {
        uv_loop_init(&loop);
        // The process id keeps runs on the same host apart.
        file = fmt::format("{}{}.{}.state", ::testing::TempDir(),
                           ::testing::UnitTest::GetInstance()->current_test_info()->name(), getpid());
        remove();
        local::PlatformPlan plan;
        plan.types = {{"m8", {8, 0, 32}, 20, 1, 1, 0.3, 0.1, {"a"}}};
        plan.workers.report_s = 0.6;
        plan.workers.lease_s = 6;
        platform = std::make_unique<local::Platform>(&loop, plan, history);
        EXPECT_EQ(platform->start({"127.0.0.1", 0}), 0);
    }
    ~Embedded() override {
        platform.reset();
        uv_run(&loop, UV_RUN_DEFAULT);
        uv_loop_close(&loop);
        remove();
    }
    Embedded(const Embedded&) = delete;
    Embedded& operator=(const Embedded&) = delete;
    void remove() const {
        for (const auto* end : {"", "-wal", "-shm"})
            std::remove((file + end).c_str());
    }
    SchedulerOptions options() {
        SchedulerOptions o;
        auto& s = o.settings;
        s.name = "copy";
        s.zones = {"a"};
        s.listen = s.peer_listen = {"127.0.0.1", 0};
        s.cloud = {"127.0.0.1", platform->port()};
        s.teams = {{"red", 0, 0, 0, 0}};
        s.report_s = 0.6;
        s.lease_s = 6;
        s.cloud_rps = 50;
        s.list_lag_s = 0.2;
        o.state_file = file;
        return o;
    }
    void set_heartbeat_handler(const Scheduler& s) {
        platform->heartbeat_to({{"copy", fmt::format("127.0.0.1:{}", s.port())}});
    }
    void expect_job(const JobSpec& s) {
        platform->register_job(s);
        history.submitted(s);
    }
    // Runs the loop until the condition holds, for at most 60 s, which no scenario needs.
    bool run_until(const std::function<bool()>& condition) {
        const auto end = uv_hrtime() + 60'000'000'000ULL;
        bool met = false;
        while (!(met = condition()) && uv_hrtime() < end) {
            uv_run(&loop, UV_RUN_NOWAIT);
            usleep(1000);
        }
        return met;
    }
    // Submits as a client does: retries while the answer is 503 or 429 ("not now").
    void submit(Scheduler& s, const JobSpec& j, Reply* into) {
        s.submit(j, [this, &s, j, into](const Reply& r) {
            *into = r;
            if (r.status == 503 || r.status == 429)
                submit(s, j, into);
        });
    }
    std::unique_ptr<store::StoreServer> state_service() {
        auto s = std::make_unique<store::StoreServer>(
            &loop, std::make_unique<store::Engine>(store::memory_data(), store::Limits{}));
        EXPECT_EQ(s->start({"127.0.0.1", 0}), 0);
        return s;
    }
    SchedulerOptions on(const store::StoreServer& service) {
        auto o = options();
        o.state_file.clear();
        o.settings.state = {"127.0.0.1", service.port()};
        return o;
    }
    void run_two_copies(const SchedulerOptions& first);
    // Starts a program that embeds the scheduler, as a child process.
    static pid_t start_program(const SchedulerOptions& o) {
        const pid_t child = fork();
        if (child != 0)
            return child;
        close_range(3, ~0U, 0); // the parent's sockets
        spdlog::set_level(spdlog::level::off);
        try {
            const Scheduler s(o);
            for (;;)
                pause();
        } catch (...) {
            _exit(1);
        }
    }
    static void kill_program(pid_t child) {
        kill(child, SIGKILL);
        int status = 0;
        waitpid(child, &status, 0);
        EXPECT_TRUE(WIFSIGNALED(status)); // the program did not exit on its own
    }
    Reply ask(const std::function<void(Scheduler::Done)>& call) {
        std::atomic<bool> got = false;
        Reply out;
        call([&](const Reply& r) {
            out = r;
            got = true;
        });
        EXPECT_TRUE(run_until([&] { return got.load(); }));
        return out;
    }
};

// Clients that submit one job after the other over HTTP, retry each until it is accepted, and poll it until it is done.
class Users {
public:
    Users(Embedded& e, std::vector<std::string> addresses, int jobs)
        : fixture_(e), addresses_(std::move(addresses)), client_(std::make_unique<HttpClient>(&e.loop, 8, 64)) {
        for (int n = 1; n <= jobs; ++n) {
            User u;
            u.spec = job(n, 1 + static_cast<std::uint32_t>(n * 7 % 4));
            if (n % 5 == 0) {
                u.spec.shape = Shape::gang;
                u.spec.tasks = 2;
            }
            if (n % 7 == 0)
                u.spec.dependencies = {job(n - 1).id};
            fixture_.expect_job(u.spec);
            users_.push_back(std::move(u));
        }
    }
    bool send_due_requests() { // returns whether all jobs are done
        const double t = fixture_.platform->now();
        for (std::size_t i = 0; i < users_.size(); ++i) {
            auto& u = users_[i];
            if (u.request_pending || u.state == "done" || t < u.next || (i > 0 && !users_[i - 1].accepted))
                continue;
            u.request_pending = true;
            const auto path = std::string(codec::path_jobs) + (u.accepted ? "/" + u.spec.id : "");
            client_->request(addresses_[asked_++ % addresses_.size()], u.accepted ? "GET" : "POST", path,
                             u.accepted ? "" : codec::to_body(u.spec), 1,
                             [this, i](HttpReply&& r) { handle_reply(users_[i], r); });
        }
        client_->sweep();
        return std::all_of(users_.begin(), users_.end(), [](const User& u) { return u.state == "done"; });
    }

private:
    struct User {
        JobSpec spec;
        bool accepted = false, request_pending = false;
        std::string state;
        double next = 0;
    };
    void handle_reply(User& x, const HttpReply& r) {
        x.request_pending = false;
        x.next = fixture_.platform->now() + 0.1;
        const auto a = codec::job_answer_of(r.body);
        if (r.status != 0)
            fixture_.history.user_answered(x.spec.id, r.status, a ? a->status : "", fixture_.platform->now());
        if ((r.status != 200 && r.status != 201) || !a)
            return;
        x.accepted = true;
        x.state = a->status;
    }
    Embedded& fixture_;
    std::vector<std::string> addresses_;
    std::unique_ptr<HttpClient> client_;
    std::vector<User> users_;
    std::size_t asked_ = 0;
};

TEST_F(Embedded, RunsJobsOnTheProgramsLoop) {
    auto s = std::make_unique<Scheduler>(&loop, options());
    set_heartbeat_handler(*s);
    std::vector<Change> changes;
    s->subscribe([&](const Change& c) { changes.push_back(c); });
    expect_job(job(1));
    auto next = job(2);
    next.dependencies = {"wk-000001"};
    expect_job(next);
    Reply a, b;
    submit(*s, job(1), &a);
    ASSERT_TRUE(run_until([&] { return a.ok(); }));
    EXPECT_EQ(a.status, 201);
    EXPECT_EQ(a.state, "pending");
    submit(*s, next, &b);
    ASSERT_TRUE(run_until([&] { return changes.size() >= 2; }));
    EXPECT_EQ(changes[0].id, "wk-000001");
    EXPECT_EQ(changes[1].id, "wk-000002");
    EXPECT_EQ(changes[1].state, "done");
    EXPECT_EQ(ask([&](auto d) { s->get("wk-000002", d); }).state, "done");
    EXPECT_EQ(ask([&](auto d) { s->submit(job(1), d); }).status, 200); // already submitted
    EXPECT_EQ(ask([&](auto d) { s->cancel("wk-000001", d); }).state, "done");
    EXPECT_TRUE(s->is_active_leader());
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wdeprecated-declarations"
    EXPECT_TRUE(s->acts()); // the deprecated name
#pragma GCC diagnostic pop
    EXPECT_TRUE(history.violations().empty());
}

TEST_F(Embedded, RefusesAsTheDaemonDoes) {
    Scheduler s(&loop, options());
    ASSERT_TRUE(run_until([&] { return s.is_active_leader(); }));
    EXPECT_EQ(ask([&](auto d) { s.submit(std::string("{"), d); }).status, 400);
    const auto bad = ask([&](auto d) { s.submit(std::string(R"({"id":"wk-000001"})"), d); });
    EXPECT_EQ(bad.status, 400);
    EXPECT_NE(bad.error.find("is missing"), std::string::npos) << bad.error;
    auto j = job(3);
    j.team = "nobody";
    Reply r;
    submit(s, j, &r);
    ASSERT_TRUE(run_until([&] { return r.status == 422; }));
    EXPECT_NE(r.error.find("owner"), std::string::npos);
    EXPECT_EQ(ask([&](auto d) { s.get("wk-000099", d); }).status, 404);
    EXPECT_EQ(ask([&](auto d) { s.get("nonsense", d); }).status, 404);
}

TEST_F(Embedded, SaysAtOnceWhatKeepsItFromStarting) {
    auto o = options();
    o.state_file = "/no/such/folder/state";
    EXPECT_THROW(Scheduler(&loop, o), std::runtime_error);
    EXPECT_THROW(Scheduler{o}, std::runtime_error); // on a thread of its own as well
    o = options();
    o.settings.listen = {"127.0.0.1", platform->port()};
    EXPECT_THROW(Scheduler{o}, std::system_error);
}

TEST_F(Embedded, OnAThreadItTakesCallsFromAnyThread) {
    auto s = std::make_unique<Scheduler>(options());
    set_heartbeat_handler(*s);
    constexpr int callers = 4, each = 5;
    for (int n = 0; n < callers * each; ++n)
        expect_job(job(n + 1, 1));
    std::atomic<int> accepted = 0;
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int c = 0; c < callers; ++c)
        threads.emplace_back([&, c] {
            for (int i = 0; i < each; ++i)
                for (bool done = false; !done;) {
                    std::promise<int> p;
                    s->submit(job(c * each + i + 1, 1), [&](const Reply& r) { p.set_value(r.status); });
                    const int status = p.get_future().get();
                    done = status == 201 || status == 200;
                    accepted += done;
                    if (!done)
                        usleep(20'000);
                }
        });
    ASSERT_TRUE(run_until([&] { return accepted == callers * each; }));
    for (auto& t : threads)
        t.join();
    int done = 0;
    for (int n = 0; n < callers * each; ++n)
        EXPECT_TRUE(
            run_until([&] { return ask([&](auto d) { s->get(job(n + 1).id, d); }).state == "done" && ++done > 0; }));
    EXPECT_EQ(done, callers * each);
    s.reset();
    EXPECT_TRUE(history.violations().empty());
}

TEST_F(Embedded, MayBeDestroyedInsideItsOwnCallback) {
    for (const bool on_thread : {false, true}) {
        auto s = on_thread ? std::make_unique<Scheduler>(options()) : std::make_unique<Scheduler>(&loop, options());
        std::atomic<bool> gone = false;
        s->get("wk-000001", [&](const Reply&) {
            s.reset();
            gone = true;
        });
        EXPECT_TRUE(run_until([&] { return gone.load(); }));
    }
}

TEST_F(Embedded, StoppedItAnswersOpenCallsAndNothingMore) {
    Scheduler s(&loop, options());
    s.stop();
    s.stop();
    EXPECT_EQ(ask([&](auto d) { s.get("wk-000001", d); }).status, 0);
    EXPECT_FALSE(s.is_active_leader());
}

// Two schedulers share a store: one is the active leader; the other answers reads correctly and takes over when the
// first one ends.
void Embedded::run_two_copies(const SchedulerOptions& first) {
    auto second = first;
    second.settings.name = "other";
    auto one = std::make_unique<Scheduler>(first);
    ASSERT_TRUE(run_until([&] { return one->is_active_leader(); }));
    set_heartbeat_handler(*one);
    Scheduler two(second);
    expect_job(job(1));
    Reply a;
    submit(*one, job(1), &a);
    ASSERT_TRUE(run_until([&] { return a.ok(); }));
    EXPECT_TRUE(run_until([&] { return ask([&](auto d) { two.get("wk-000001", d); }).state == "done"; }));
    EXPECT_TRUE(one->is_active_leader());
    EXPECT_FALSE(two.is_active_leader());
    one.reset();
    ASSERT_TRUE(run_until([&] { return two.is_active_leader(); }));
    platform->heartbeat_to({{"other", fmt::format("127.0.0.1:{}", two.port())}});
    expect_job(job(2));
    Reply b;
    submit(two, job(2), &b);
    EXPECT_TRUE(run_until([&] { return ask([&](auto d) { two.get("wk-000002", d); }).state == "done"; }));
    EXPECT_EQ(ask([&](auto d) { two.get("wk-000001", d); }).state, "done"); // an answer given earlier still holds
    EXPECT_TRUE(history.violations().empty());
}

TEST_F(Embedded, OfTwoCopiesOnOneFileOneActsAndTheOtherTakesOver) {
    run_two_copies(options());
}

TEST_F(Embedded, OfTwoCopiesOnOneStateServiceOneActsAndTheOtherTakesOver) {
    auto service = state_service();
    run_two_copies(on(*service));
}

// A leader whose event loop is blocked for longer than the store lease must not continue as the leader when it resumes,
// because another copy leads by then.
TEST_F(Embedded, ABlockedLoopLosesTheLeadershipAndKnowsIt) {
    auto service = state_service(); // on this loop too: store leases do not expire while it is blocked
    const auto o = options();
    auto second_options = o;
    second_options.settings.name = "other";
    Scheduler one(&loop, o);
    ASSERT_TRUE(run_until([&] { return one.is_active_leader(); }));
    auto two = std::make_unique<Scheduler>(second_options); // on a thread of its own
    platform->heartbeat_to(
        {{"copy", fmt::format("127.0.0.1:{}", one.port())}, {"other", fmt::format("127.0.0.1:{}", two->port())}});
    Users users(*this, {fmt::format("127.0.0.1:{}", one.port()), fmt::format("127.0.0.1:{}", two->port())}, 6);
    ASSERT_TRUE(run_until([&] { return users.send_due_requests(), history.starts() > 0; }));
    const auto end = uv_hrtime() + 30'000'000'000ULL;
    while (!two->is_active_leader() && uv_hrtime() < end)
        usleep(1000); // the loop does not run
    EXPECT_TRUE(two->is_active_leader());
    EXPECT_FALSE(one.is_active_leader());
    ASSERT_TRUE(run_until([&] { return users.send_due_requests(); }));
    EXPECT_FALSE(one.is_active_leader());
    EXPECT_TRUE(two->is_active_leader());
    two.reset();
    EXPECT_TRUE(run_until([&] { return one.is_active_leader(); }));
    EXPECT_EQ(history.violations(), std::vector<std::string>{});
}

// A connection to the state service that can be cut for a single copy.
class CuttableStore final : public store::StateStore {
public:
    CuttableStore(uv_loop_t* loop, const Endpoint& at, const bool& cut)
        : connected_(loop, at), unreachable_(loop, {"127.0.0.1", 1}), cut_(cut) {}
    void call(store::Call&& c, double timeout_s, store::Callback done) override {
        (cut_ ? unreachable_ : connected_).call(std::move(c), timeout_s, std::move(done));
    }
    void sweep() override {
        connected_.sweep();
        unreachable_.sweep();
    }

private:
    store::RemoteStore connected_, unreachable_;
    const bool& cut_;
};

// Only the active leader of two copies loses the store: it steps down by its own clock, before the other can become
// leader, and does not resume in between.
TEST_F(Embedded, ACopyCutFromTheStoreMakesWayForTheOther) {
    auto service = state_service();
    bool cut = false;
    auto o = on(*service);
    o.state = [&](uv_loop_t* l) { return std::make_unique<CuttableStore>(l, o.settings.state, cut); };
    Scheduler one(&loop, o);
    ASSERT_TRUE(run_until([&] { return one.is_active_leader(); }));
    auto second = on(*service);
    second.settings.name = "other";
    Scheduler two(&loop, second);
    const std::vector<std::string> addresses{fmt::format("127.0.0.1:{}", one.port()),
                                             fmt::format("127.0.0.1:{}", two.port())};
    platform->heartbeat_to({{"copy", addresses[0]}, {"other", addresses[1]}});
    Users users(*this, addresses, 14);
    bool both_active = false;
    const auto watch = [&] {
        both_active = both_active || (one.is_active_leader() && two.is_active_leader());
        return users.send_due_requests();
    };
    ASSERT_TRUE(run_until([&] { return watch(), history.starts() > 0; }));
    cut = true;
    ASSERT_TRUE(run_until([&] { return watch(), two.is_active_leader(); }));
    EXPECT_FALSE(one.is_active_leader());
    // If the former leader accepted a heartbeat, it would renew a machine lease that the new leader expects to expire.
    HttpClient worker(&loop, 1, 4);
    int status = 0;
    const Heartbeat heartbeat{"n-000001", "127.0.0.1:1", "m8", "a", false, 1, 1000, 0, -1, {}};
    worker.request(addresses[0], "POST", std::string(codec::path_heartbeat), codec::to_body(heartbeat), 5,
                   [&](HttpReply&& r) { status = r.status; });
    ASSERT_TRUE(run_until([&] { return watch(), status != 0; }));
    EXPECT_TRUE(status == 503 || status == 421) << status;
    ASSERT_TRUE(run_until([&] { return watch(), history.starts() > 5; }));
    cut = false;
    EXPECT_TRUE(run_until(watch));
    EXPECT_TRUE(two.is_active_leader());
    EXPECT_FALSE(both_active);
    EXPECT_EQ(history.violations(), std::vector<std::string>{});
    EXPECT_TRUE(history.unfinished().empty());
}

// The state service refuses requests (`out`), then does not answer (`silent`), for longer than the store lease: nothing
// is reported that is not stored, callers get 503, and the scheduler continues once the service is back.
TEST_F(Embedded, ACopyThatLosesItsStoreStopsActingAndGoesOnLater) {
    auto service = state_service();
    Scheduler s(&loop, on(*service));
    set_heartbeat_handler(s);
    Users users(*this, {fmt::format("127.0.0.1:{}", s.port())}, 12);
    int n = 100;
    for (const auto fault_mode : {store::StoreServer::FaultMode::unavailable, store::StoreServer::FaultMode::silent}) {
        const int starts = history.starts();
        ASSERT_TRUE(
            run_until([&] { return users.send_due_requests(), s.is_active_leader() && history.starts() > starts; }));
        service->set_fault_mode(fault_mode);
        ASSERT_TRUE(run_until([&] { return users.send_due_requests(), !s.is_active_leader(); }));
        const auto r = ask([&](auto d) { s.submit(job(++n), d); });
        EXPECT_EQ(r.status, 503);
        EXPECT_GT(r.retry_after_s, 0);
        service->set_fault_mode(store::StoreServer::FaultMode::none);
    }
    EXPECT_TRUE(run_until([&] { return users.send_due_requests(); }));
    EXPECT_EQ(ask([&](auto d) { s.get(job(101).id, d); }).status, 404); // the refused job was not stored
    EXPECT_EQ(history.violations(), std::vector<std::string>{});
    EXPECT_TRUE(history.unfinished().empty());
}

// The embedding program is killed at random moments: before a job is stored, between a placement and its launch,
// between a heartbeat and the final state. Its earlier answers stay valid, no task runs twice and no job is lost.
TEST_F(Embedded, TheProgramIsKilledAgainAndAgain) {
    // `HERONSHIFT_KILLS=300` gives a long run, outside CI.
    const char* kills_variable = std::getenv("HERONSHIFT_KILLS");
    const int kills = kills_variable != nullptr ? std::atoi(kills_variable) : 16, jobs = 40 + 2 * (kills - 16);
    std::mt19937 rng(20261201);
    auto o = options();
    const local::Port port;
    o.settings.listen.port = port.number();
    const auto address = o.settings.listen.str();
    platform->heartbeat_to({{"copy", address}});
    pid_t child = -1;
    auto start = [&] { child = start_program(o); };
    auto stop = [&] { kill_program(child); };
    auto users = std::make_unique<Users>(*this, std::vector{address}, jobs);
    for (int k = 0; k < kills; ++k) {
        start();
        const double end = platform->now() + std::uniform_real_distribution<double>(0.05, 1.6)(rng);
        run_until([&] { return users->send_due_requests(), platform->now() >= end; });
        stop();
    }
    start();
    EXPECT_TRUE(run_until([&] { return users->send_due_requests(); }));
    stop();
    users.reset();
    EXPECT_EQ(history.violations(), std::vector<std::string>{});
    EXPECT_TRUE(history.unfinished().empty());
}

// The program is frozen at random moments and resumed later (as by a debugger or a paused virtual machine), while
// another copy takes over.
TEST_F(Embedded, FrozenCopiesTakeTurns) {
    std::mt19937 rng(20261201);
    const local::Port ports[2];
    std::vector<pid_t> copies;
    std::vector<std::string> addresses;
    std::vector<std::pair<std::string, std::string>> names;
    for (int i = 0; i < 2; ++i) {
        auto o = options();
        o.settings.name = fmt::format("copy-{}", i);
        o.settings.listen.port = ports[i].number();
        addresses.push_back(o.settings.listen.str());
        names.emplace_back(o.settings.name, addresses.back());
        copies.push_back(start_program(o));
    }
    platform->heartbeat_to(names);
    Users users(*this, addresses, 40);
    // Both copies have to be up before the first one is frozen: a copy that is frozen while it creates the file keeps
    // the other from starting, which then reports the error and exits.
    std::size_t up = 0;
    HttpClient probe(&loop, 1, 4);
    std::vector<bool> answers(2), asked(2);
    ASSERT_TRUE(run_until([&] {
        for (std::size_t i = 0; i < 2; ++i)
            if (!answers[i] && !asked[i]) {
                asked[i] = true;
                probe.request(addresses[i], "GET", "/metrics", "", 5, [&, i](HttpReply&& r) {
                    asked[i] = false;
                    answers[i] = r.status == 200;
                    up += answers[i];
                });
            }
        return up == 2;
    }));
    for (int k = 0; k < 8; ++k) {
        kill(copies[static_cast<std::size_t>(k % 2)], SIGSTOP);
        const double on = platform->now() + std::uniform_real_distribution<double>(0.3, 1.8)(rng);
        run_until([&] { return users.send_due_requests(), platform->now() >= on; });
        kill(copies[static_cast<std::size_t>(k % 2)], SIGCONT);
        const double next = platform->now() + std::uniform_real_distribution<double>(0, 0.5)(rng);
        run_until([&] { return users.send_due_requests(), platform->now() >= next; });
    }
    EXPECT_TRUE(run_until([&] { return users.send_due_requests(); }));
    for (const auto pid : copies)
        kill_program(pid);
    EXPECT_GE(platform->totals().fencing_token >> cluster::token_counter_bits, 2U) << "no copy ever took over";
    EXPECT_EQ(history.violations(), std::vector<std::string>{});
    EXPECT_TRUE(history.unfinished().empty());
}

TEST_F(Embedded, ACallerInCGetsCodesNotCrashes) {
    hs_scheduler* s = nullptr;
    char error_text[100] = "x";
    const hs_done done = [](const hs_reply*, void*) {};
    EXPECT_EQ(hs_start(nullptr, nullptr, &s, error_text, sizeof error_text), HS_INVALID);
    EXPECT_EQ(hs_start("x", nullptr, nullptr, nullptr, 0), HS_INVALID);
    EXPECT_EQ(hs_start("/no/such.toml", nullptr, &s, error_text, sizeof error_text), HS_SETTINGS);
    EXPECT_EQ(s, nullptr);
    EXPECT_STREQ(error_text, "/no/such.toml: cannot be read");
    EXPECT_EQ(hs_start("/no/such.toml", nullptr, &s, error_text, 4), HS_SETTINGS);
    EXPECT_STREQ(error_text, "/no"); // truncated and null-terminated
    int not_a_scheduler = 0;
    auto* invalid = reinterpret_cast<hs_scheduler*>(&not_a_scheduler);
    for (auto* x : {static_cast<hs_scheduler*>(nullptr), invalid}) {
        EXPECT_EQ(hs_submit(x, "{}", done, nullptr), HS_INVALID);
        EXPECT_EQ(hs_get(x, "wk-1", done, nullptr), HS_INVALID);
        EXPECT_EQ(hs_cancel(x, "wk-1", done, nullptr), HS_INVALID);
        EXPECT_EQ(hs_is_active_leader(x), 0);
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wdeprecated-declarations"
        EXPECT_EQ(hs_acts(x), 0); // the deprecated name
#pragma GCC diagnostic pop
        EXPECT_EQ(hs_end(x), HS_INVALID);
    }
}

} // namespace
} // namespace heronshift
