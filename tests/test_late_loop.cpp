// The event loop of a controller is late. Answers that have arrived but are still unread must not count as timed out,
// or a slow leader would believe that the store refuses it. A real refusal must still be detected in time.
#include "heronshift/embed/scheduler.hpp"
#include "http.hpp"
#include "local/port.hpp"
#include "store/server.hpp"

#include "fault_injection.hpp"
#include "loop.hpp"

#include <atomic>
#include <gtest/gtest.h>
#include <thread>
#include <unistd.h>

namespace heronshift {
namespace {

using testing::Loop;
using testing::seconds;

void block_loop(double for_s) {
    usleep(static_cast<useconds_t>(for_s * 1e6));
}

// Runs a server on its own event loop and thread, so that it answers while the event loop of the test is blocked.
class ThreadedServer {
public:
    // Starts the server. The returned function owns the server and returns its port.
    using StartServer = std::function<std::function<int()>(uv_loop_t*)>;
    explicit ThreadedServer(const StartServer& start_server)
        : thread_([this, start_server] {
              Loop l;
              auto port = start_server(&l.loop);
              port_ = port();
              while (!stopping_) {
                  l.turn();
                  usleep(500);
              }
              port = {};
          }) {
        while (port_ == 0)
            usleep(500);
    }
    ~ThreadedServer() {
        stopping_ = true;
        thread_.join();
    }
    ThreadedServer(const ThreadedServer&) = delete;
    ThreadedServer& operator=(const ThreadedServer&) = delete;
    [[nodiscard]] int port() const {
        return port_;
    }

private:
    std::atomic<int> port_ = 0;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

ThreadedServer::StartServer http_server(const HttpServer::Handler& handler) {
    return [handler](uv_loop_t* l) {
        auto s = std::make_shared<HttpServer>(l, 8, 60, handler);
        EXPECT_EQ(s->listen({"127.0.0.1", 0}), 0);
        return [s] { return s->port(); };
    };
}

ThreadedServer::StartServer state_service() {
    return [](uv_loop_t* l) {
        auto s = std::make_shared<store::StoreServer>(
            l, std::make_unique<store::Engine>(store::memory_data(), store::Limits{}));
        EXPECT_EQ(s->start({"127.0.0.1", 0}), 0);
        return [s] { return s->port(); };
    };
}

// Sends one request on an event loop that blocks for `blocked_s` after each turn. `HttpClient::sweep()` runs before the
// next turn.
struct RequestResult {
    HttpReply reply;
    double took_s = -1;
};
RequestResult request_on_late_loop(int port, double timeout_s, double blocked_s) {
    Loop l;
    RequestResult out;
    HttpClient client(&l.loop, 1, 4);
    const double began = seconds();
    client.request(fmt::format("127.0.0.1:{}", port), "GET", "/", "", timeout_s, [&](HttpReply&& r) {
        out.reply = std::move(r);
        out.took_s = seconds() - began;
    });
    while (out.took_s < 0 && seconds() < began + 20) {
        l.turn();
        block_loop(blocked_s);
        uv_update_time(&l.loop); // as libuv does at the beginning of a turn
        client.sweep();
    }
    return out;
}

TEST(LateLoop, AnUnreadAnswerIsNotTimedOut) {
    ThreadedServer server(http_server([](HttpRequest&&, const Responder& res) { res.send(200, "{}"); }));
    const auto r = request_on_late_loop(server.port(), 0.2, 0.35);
    EXPECT_EQ(r.reply.status, 200);
    EXPECT_GT(r.took_s, 0.2); // longer than the time-out, because the loop was late
}

// The time-out counts from the moment of the request, not from the beginning of the loop's current turn.
TEST(LateLoop, ATimeOutBeginsWithTheRequest) {
    ThreadedServer server(http_server([](HttpRequest&&, const Responder& res) { res.send(200, "{}"); }));
    Loop l;
    l.turn();
    block_loop(0.5); // `uv_now` still returns the time of the last turn
    HttpClient client(&l.loop, 1, 4);
    int status = -1;
    client.request(fmt::format("127.0.0.1:{}", server.port()), "GET", "/", "", 0.4,
                   [&](HttpReply&& r) { status = r.status; });
    for (int turn = 0; turn < 200 && status < 0; ++turn) {
        uv_update_time(&l.loop);
        client.sweep();
        l.turn();
        usleep(1000);
    }
    EXPECT_EQ(status, 200);
}

TEST(LateLoop, ASilentServerTimesOut) {
    std::vector<Responder> open;
    ThreadedServer server(http_server([&](HttpRequest&&, const Responder& res) { open.push_back(res); }));
    constexpr double timeout_s = 0.4, blocked_s = 0.6, margin_s = 0.3; // `margin_s` allows for a busy machine
    const auto punctual = request_on_late_loop(server.port(), timeout_s, 0.01);
    EXPECT_EQ(punctual.reply.status, 0);
    EXPECT_TRUE(punctual.reply.sent);
    EXPECT_GE(punctual.took_s, timeout_s);
    EXPECT_LT(punctual.took_s, timeout_s + margin_s);
    const auto late = request_on_late_loop(server.port(), timeout_s, blocked_s);
    EXPECT_EQ(late.reply.status, 0);
    EXPECT_TRUE(late.reply.sent);
    EXPECT_LT(late.took_s, 2 * timeout_s + blocked_s + margin_s);
}

// Three schedulers share a state service. The event loop of the leader blocks for a third of the leader lease after
// every turn.
TEST(LateLoop, ALeaderLateByAThirdOfItsLeaseStays) {
    spdlog::set_level(spdlog::level::off);
    constexpr double lease_s = 1.5, blocked_s = lease_s / 3;
    ThreadedServer service(state_service());
    const std::vector<std::string> names{"one", "two", "three"};
    std::vector<local::Port> ports(names.size());
    const auto options = [&](std::size_t i) {
        SchedulerOptions o;
        auto& s = o.settings;
        s.name = names[i];
        s.zones = {"a"};
        s.teams = {{"red", 0, 0, 0, 0}};
        s.listen = {"127.0.0.1", 0};
        s.peer_listen = {"127.0.0.1", ports[i].number()};
        for (std::size_t k = 0; k < names.size(); ++k)
            if (k != i)
                s.peers.push_back({names[k], "a", {"127.0.0.1", ports[k].number()}});
        s.cloud = {"127.0.0.1", 1}; // refuses the connections of all three
        s.state = {"127.0.0.1", service.port()};
        s.report_s = lease_s; // the leader lease has the same length
        s.lease_s = 10;
        return o;
    };
    Loop l;
    Scheduler leader(&l.loop, options(0));
    const auto run = [&](double for_s, const std::function<bool()>& done) {
        for (const double end = seconds() + for_s; seconds() < end && !done(); usleep(1000))
            l.turn();
    };
    run(30, [&] { return leader.is_active_leader(); });
    ASSERT_TRUE(leader.is_active_leader());
    Scheduler two(options(1)), three(options(2));
    run(2 * lease_s, [] { return false; }); // time to exchange their peer views
    ASSERT_TRUE(leader.is_active_leader());

    int delayed_turns = 0, not_acting = 0, others = 0;
    for (const double end = seconds() + 5 * lease_s; seconds() < end;) {
        const double began = seconds();
        l.turn();
        block_loop(blocked_s);
        delayed_turns += seconds() - began >= blocked_s;
        not_acting += !leader.is_active_leader();
        others += two.is_active_leader() || three.is_active_leader();
    }
    EXPECT_GE(delayed_turns, 10);
    EXPECT_EQ(not_acting, 0);
    EXPECT_EQ(others, 0);
    spdlog::set_level(spdlog::level::info);
}

} // namespace

namespace testing {
namespace {

struct LateFleet : FaultInjection {
    explicit LateFleet(unsigned seed) : FaultInjection(seed + seed_offset(), 5, 24) {}
    // The length of the leader lease.
    [[nodiscard]] double leader_lease_s() const {
        return std::min(settings.report_s, settings.lease_s / 5);
    }
    // Runs until the node stops acting as leader, for at most `at_most_s`; returns the time that passed.
    double seconds_acting(std::size_t leader, double at_most_s) {
        const double began = now;
        while (now < began + at_most_s && is_active_leader(leader))
            run_under_load(0.1);
        return now - began;
    }
};

TEST(LateFleets, ALeaderLateByAThirdOfItsLeaseStays) {
    for (unsigned k = 0; k < (sanitized ? 2 : 8); ++k) {
        LateFleet f(800 + k);
        ASSERT_TRUE(f.settle(45)) << k;
        const auto leader = *f.leader();
        const int expirations = f.expirations;
        auto& node = f.nodes[leader];
        node.turn_delay_s = f.leader_lease_s() / 3;
        f.run_under_load(f.leases(3));
        EXPECT_GE(node.delayed_turns, 40) << k;
        node.turn_delay_s = 0;
        f.run_under_load(f.leases(1));
        EXPECT_EQ(first(f), "") << k;
        EXPECT_EQ(f.leader(), leader) << k;
        EXPECT_EQ(f.leader_changes.size(), 1U) << k;
        EXPECT_EQ(f.expirations, expirations) << k;
    }
}

// The last renewal of the leader is old because its event loop was blocked. The store answers the next renewal late,
// while the peers report at once that the store serves them. That alone must not make the leader step down.
TEST(LateFleets, AnOldRenewalAloneIsNoRefusal) {
    for (unsigned k = 0; k < (sanitized ? 2 : 8); ++k) {
        LateFleet f(820 + k);
        ASSERT_TRUE(f.settle(45)) << k;
        const auto leader = *f.leader();
        const auto& name = f.nodes[leader].name;
        std::size_t vote_requests = 0; // requests for extension votes since the loop runs again
        f.on_sent = [&](std::size_t from, std::size_t, const std::string& what) {
            vote_requests += from == leader && what == "/peer/promise";
        };
        f.freeze(leader, 0.6 * f.leader_lease_s());
        f.run_under_load(0.5 * f.leader_lease_s());
        f.set(Fleet::state, name, Mode::hold);
        f.run_under_load(0.28 * f.leader_lease_s());
        f.set(Fleet::state, name, Mode::open);
        EXPECT_GT(vote_requests, 0U) << k;
        f.run_under_load(f.leases(1));
        EXPECT_EQ(first(f), "") << k;
        EXPECT_EQ(f.leader(), leader) << k;
        EXPECT_EQ(f.leader_changes.size(), 1U) << k;
    }
}

// A leader detects that the store refuses it within three quarters of the leader lease, whether its event loop is late
// or not.
TEST(LateFleets, ARefusalIsDetectedInTime) {
    for (unsigned k = 0; k < (sanitized ? 2 : 8); ++k)
        for (const bool late : {false, true}) {
            LateFleet f(840 + k);
            ASSERT_TRUE(f.settle(45)) << k;
            const auto leader = *f.leader();
            if (late)
                f.nodes[leader].turn_delay_s = f.leader_lease_s() / 3;
            f.run_under_load(f.leader_lease_s());
            f.nodes[leader].refused_by_store = true;
            const double took = f.seconds_acting(leader, f.leases(1));
            EXPECT_LE(took, 0.75 * f.leader_lease_s()) << k << late;
            f.run_under_load(f.leader_lease_s() * 2);
            ASSERT_TRUE(f.leader()) << k << late;
            EXPECT_NE(*f.leader(), leader) << k << late;
            EXPECT_EQ(first(f), "") << k << late;
        }
}

} // namespace
} // namespace testing
} // namespace heronshift
