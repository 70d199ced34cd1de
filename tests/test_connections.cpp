// More clients than the server allows connections: neither workers nor users get all of them, idle connections are
// closed to make room, and all workers are served in turn.
#include "heronshift/codec.hpp"
#include "http.hpp"
#include "loop_timer.hpp"
#include "protocol_limits.hpp"

#include "loop.hpp"

#include <deque>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace heronshift {
namespace {

using testing::Loop;
using testing::seconds;

struct Connection {
    ConnectionShares<Connection>::Entry share;
};

TEST(ConnectionShares, TheLongestIdleMakesRoom) {
    ConnectionShares<Connection> shares({4, 3, 2});
    Connection c[5];
    for (std::size_t k = 0; k < std::size(c); ++k)
        shares.opened();
    EXPECT_TRUE(shares.over_total());
    EXPECT_EQ(shares.longest_idle(), nullptr);
    for (int k = 0; k < 3; ++k)
        shares.classify(c[k].share, ClientKind::worker);
    EXPECT_FALSE(shares.over_share(ClientKind::worker));
    shares.classify(c[3].share, ClientKind::user);
    shares.classify(c[4].share, ClientKind::worker);
    EXPECT_TRUE(shares.over_share(ClientKind::worker));
    EXPECT_FALSE(shares.over_share(ClientKind::user));
    shares.mark_idle(c[3].share, &c[3]);
    shares.mark_idle(c[1].share, &c[1]);
    shares.mark_idle(c[0].share, &c[0]);
    EXPECT_EQ(shares.longest_idle(), &c[3]);
    EXPECT_EQ(shares.longest_idle(ClientKind::worker), &c[1]);
    shares.mark_busy(c[1].share);
    EXPECT_EQ(shares.longest_idle(ClientKind::worker), &c[0]);
    shares.closed(c[0].share);
    EXPECT_EQ(shares.longest_idle(ClientKind::worker), nullptr);
    EXPECT_FALSE(shares.over_total());
    EXPECT_EQ(shares.count(ClientKind::worker), 3U);
}

// Clients that each keep a connection open, and a server that allows far fewer connections. The ratio is that of 6,000
// workers to the 650 connections that a controller with 1,000 sockets leaves for workers and users.
struct ManyClients {
    static constexpr std::size_t workers = 400, users = 60, connections = 43;
    static constexpr double report_s = 0.3, lease_s = 2,
                            user_answer_s = 0.4; // how long the server takes to answer a user

    struct Client {
        explicit Client(uv_loop_t* l) : http(l, 1, 1) {}
        HttpClient http;
        bool request_pending = false;
        double next_request_at = 0, last_served_at = 0, max_gap = 0;
    };
    Loop l;
    HttpServer server{
        &l.loop,
        {connections, connections * 9 / 10, connections * 3 / 10},
        60,
        [](const HttpRequest& r) { return r.path == codec::path_heartbeat ? ClientKind::worker : ClientKind::user; },
        [this](HttpRequest&& r, const Responder& res) {
            if (r.path == codec::path_heartbeat)
                return res.send(200, "{}");
            pending_answers.emplace_back(seconds() + user_answer_s, res);
        }};
    std::deque<std::pair<double, Responder>> pending_answers;
    std::deque<Client> worker, user;
    std::map<int, int> user_answers;
    std::size_t max_connections = 0;

    ManyClients() {
        EXPECT_EQ(server.listen({"127.0.0.1", 0}), 0);
        for (std::size_t k = 0; k < workers; ++k)
            worker.emplace_back(&l.loop);
        for (std::size_t k = 0; k < users; ++k)
            user.emplace_back(&l.loop);
    }
    void send_request(Client& c, std::string_view path, std::function<void(int status)> on_status) {
        c.request_pending = true;
        c.http.request(fmt::format("127.0.0.1:{}", server.port()), "POST", std::string(path), "{}", 1,
                       [&c, on_status = std::move(on_status)](HttpReply&& r) {
                           c.request_pending = false;
                           on_status(r.status);
                       });
    }
    void heartbeat(Client& c) {
        send_request(c, codec::path_heartbeat, [&c](int status) {
            const double t = seconds();
            c.next_request_at = t + (status == 200 ? report_s : report_s / 10);
            if (status != 200)
                return;
            c.max_gap = std::max(c.max_gap, t - c.last_served_at);
            c.last_served_at = t;
        });
    }
    void run(double for_s) {
        const double started_at = seconds();
        for (auto& c : worker)
            c.last_served_at = started_at;
        for (double t = started_at; t < started_at + for_s; t = seconds()) {
            for (auto& c : worker)
                if (!c.request_pending && t >= c.next_request_at)
                    heartbeat(c);
            for (auto& c : user)
                if (!c.request_pending && t >= c.next_request_at)
                    send_request(c, codec::path_jobs, [this, &c](int status) {
                        ++user_answers[status];
                        c.next_request_at = seconds() + 0.1;
                    });
            l.turn();
            for (; !pending_answers.empty() && pending_answers.front().first <= t; pending_answers.pop_front())
                pending_answers.front().second.send(200, "{}");
            for (auto* all : {&worker, &user})
                for (auto& c : *all)
                    c.http.sweep();
            max_connections = std::max(max_connections, server.connections());
            usleep(500);
        }
        for (auto& c : worker)
            c.max_gap = std::max(c.max_gap, seconds() - c.last_served_at);
    }
};

TEST(Connections, WorkersAreServedInTurnsWithinTheirLease) {
    ManyClients clients;
    clients.run(3 * ManyClients::lease_s);
    std::size_t expired = 0;
    double longest = 0;
    for (const auto& c : clients.worker) {
        expired += c.max_gap > ManyClients::lease_s;
        longest = std::max(longest, c.max_gap);
    }
    EXPECT_EQ(expired, 0U) << "of " << ManyClients::workers << ", the longest wait " << longest;
    EXPECT_LE(clients.max_connections, ManyClients::connections);
    EXPECT_GT(clients.user_answers[200], 0); // workers do not take all connections
    EXPECT_GT(clients.user_answers[503], 0);
}

// If all connections for users are in use, a further user gets 503 with a Retry-After header.
TEST(Connections, AUserBeyondTheShareIsToldWhenToAskAgain) {
    Loop l;
    std::vector<Responder> open;
    HttpServer server(
        &l.loop, {4, 4, 1}, 60, [](const HttpRequest&) { return ClientKind::user; },
        [&](HttpRequest&&, const Responder& res) { open.push_back(res); });
    ASSERT_EQ(server.listen({"127.0.0.1", 0}), 0);
    const auto connect_and_ask = [&] {
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in to{};
        uv_ip4_addr("127.0.0.1", server.port(), &to);
        EXPECT_EQ(::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to), 0);
        const std::string_view text = "GET /v2/runs/wk-1 HTTP/1.1\r\nHost: x\r\n\r\n";
        EXPECT_EQ(::write(fd, text.data(), text.size()), static_cast<ssize_t>(text.size()));
        for (int turn = 0; turn < 20; ++turn) {
            l.turn();
            usleep(1000);
        }
        return fd;
    };
    const int first = connect_and_ask();
    ASSERT_EQ(open.size(), 1U);
    const int second = connect_and_ask();
    char text[1000] = {};
    ASSERT_GT(::read(second, text, sizeof text - 1), 0);
    EXPECT_NE(std::string_view(text).find("503"), std::string_view::npos) << text;
    EXPECT_NE(std::string_view(text).find("Retry-After:"), std::string_view::npos) << text;
    EXPECT_EQ(open.size(), 1U);
    EXPECT_EQ(server.connections(), 1U);
    open[0].send(200, "{}"); // now the first connection is idle and can be closed for the third
    const int third = connect_and_ask();
    EXPECT_EQ(open.size(), 2U);
    EXPECT_EQ(server.connections(), 1U);
    for (const int fd : {first, second, third})
        ::close(fd);
}

// A body of the longest allowed length is served; one byte more is refused, and the refusal can be seen.
TEST(RequestLength, ABodyBeyondTheLimitIsRefusedAndReported) {
    Loop l;
    std::vector<std::size_t> served;
    std::vector<std::string> refused;
    HttpServer server(&l.loop, 4, 60, [&](HttpRequest&& request, const Responder& res) {
        served.push_back(request.body.size());
        res.send(200, "{}");
    });
    server.on_oversized_request = [&](std::string_view path) { refused.emplace_back(path); };
    ASSERT_EQ(server.listen({"127.0.0.1", 0}), 0);
    HttpClient client(&l.loop, 1, 4);
    for (const auto length : {max_request_body_bytes, max_request_body_bytes + 1}) {
        int status = -1;
        client.request(fmt::format("127.0.0.1:{}", server.port()), "POST", "/agent/beat?x=1", std::string(length, 'x'),
                       5, [&](HttpReply&& reply) { status = reply.status; });
        for (const double end = seconds() + 10; status < 0 && seconds() < end;)
            l.turn();
        EXPECT_EQ(status == 200, length == max_request_body_bytes) << status;
    }
    EXPECT_EQ(served, std::vector<std::size_t>{max_request_body_bytes});
    EXPECT_EQ(refused, std::vector<std::string>{"/agent/beat"});
}

TEST(Connections, AClientKeepsToItsLimitOverAllAddresses) {
    constexpr std::size_t addresses = 30, limit = 5;
    Loop l;
    HttpServer server(&l.loop, 100, 60, [](HttpRequest&&, const Responder& res) { res.send(200, "{}"); });
    ASSERT_EQ(server.listen({"0.0.0.0", 0}), 0);
    HttpClient client(&l.loop, 1, 4, limit);
    std::size_t max_connections = 0;
    for (int round = 1; round <= 2; ++round) {
        std::size_t answered = 0;
        for (std::size_t k = 1; k <= addresses; ++k)
            client.request(fmt::format("127.0.0.{}:{}", k, server.port()), "GET", "/", "", 10,
                           [&](HttpReply&& r) { answered += r.status == 200; });
        for (const double end = seconds() + 10; answered < addresses && seconds() < end;) {
            max_connections = std::max(max_connections, client.connections());
            l.turn();
        }
        EXPECT_EQ(answered, addresses) << round;
    }
    EXPECT_EQ(max_connections, limit);
}

} // namespace
} // namespace heronshift
