// A small HTTP/1.1 server and client on libuv; http-parser reads, this writes.
#pragma once

#include "heronshift/config.hpp"
#include "heronshift/connection_shares.hpp"
#include "heronshift/http_reply.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <http_parser.h>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <uv.h>
#include <vector>

namespace heronshift {

inline double steady_now(uv_loop_t* loop) {
    return static_cast<double>(uv_now(loop)) / 1000.0;
}

struct HttpRequest {
    std::string method, path, query, body;
};

class ServerConnection;

// Answers one request; may be kept and used later, also when the connection is gone by then.
class Responder {
public:
    Responder() = default;
    explicit Responder(std::shared_ptr<ServerConnection> c) : conn_(std::move(c)) {}
    // For a caller in this process; called once, with status 0 if nobody ever answers.
    using Direct = std::function<void(int status, std::string_view body, int retry_after_s)>;
    explicit Responder(Direct callback) : direct_(std::make_shared<Once>(std::move(callback))) {}
    void send(int status, std::string_view body, int retry_after_s = 0) const;

private:
    struct Once {
        explicit Once(Direct callback) : f(std::move(callback)) {}
        ~Once() {
            send(0, {}, 0);
        }
        Once(const Once&) = delete;
        Once& operator=(const Once&) = delete;
        void send(int status, std::string_view body, int retry_after_s) {
            if (const auto once = std::exchange(f, nullptr); once)
                once(status, body, retry_after_s);
        }
        Direct f;
    };
    std::shared_ptr<ServerConnection> conn_;
    std::shared_ptr<Once> direct_;
};

// Beyond its limits the connection that has been idle for longest makes room: a client that keeps one open loses it
// between two requests and opens another, so that more clients than connections are served in turns. Where none is
// idle, a request is answered 503 with Retry-After and its connection closed.
class HttpServer {
public:
    using Handler = std::function<void(HttpRequest&&, Responder)>;
    using Classifier = std::function<ClientKind(const HttpRequest&)>;
    HttpServer(uv_loop_t* loop, std::size_t max_connections, double idle_s, Handler handler);
    // With a share for each kind of client.
    HttpServer(uv_loop_t* loop, ConnectionLimits limits, double idle_s, Classifier classifier, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    // Returns 0 or a libuv error.
    int listen(const Endpoint& at);
    [[nodiscard]] int port() const; // that it listens on: the system's choice where 0 was asked for
    void sweep();                   // closes slow and idle connections; call about once a second
    [[nodiscard]] std::size_t connections() const {
        return conns_.size();
    }

private:
    friend class ServerConnection;
    void accept();
    bool admit(ServerConnection& c, const HttpRequest& request);
    uv_loop_t* loop_;
    uv_tcp_t* tcp_ = nullptr;
    ConnectionShares<ServerConnection> shares_;
    double idle_s_;
    Classifier classifier_;
    Handler handler_;
    std::unordered_set<std::shared_ptr<ServerConnection>> conns_;
};

// Keeps a bounded pool of connections to each address, and of all together: an idle one to another address makes room
// for one that is needed, and where none is idle requests wait.
class HttpClient {
public:
    using Callback = std::function<void(HttpReply&&)>;
    static constexpr std::size_t unlimited = SIZE_MAX;
    HttpClient(uv_loop_t* loop, std::size_t max_per_address, std::size_t max_waiting,
               std::size_t max_connections = unlimited);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    void request(const std::string& addr, const char* method, const std::string& path, std::string body,
                 double timeout_s, Callback done);
    // Ends the requests that have waited for too long. Call it about ten times a second, after the loop has read its
    // sockets (in a uv_check): an answer that lies unread is none that is missing.
    void sweep();
    [[nodiscard]] std::size_t connections() const {
        return connections_;
    }

    struct Connection;

private:
    struct Waiting {
        std::string method, path, body;
        double timeout_s = 0, deadline = 0;
        bool extended = false; // the deadline, by time in which the loop did not turn
        Callback done;
        bool overdue(double now);
    };
    struct Pool {
        std::vector<Connection*> conns;
        std::deque<Waiting> waiting;
    };
    void pump(const std::string& addr);
    void pump_starved();
    bool make_room();
    void remove(Connection* connection);
    void finish(Connection* connection, HttpReply reply, bool keep);
    uv_loop_t* loop_;
    std::size_t most_, most_waiting_, max_connections_, connections_ = 0;
    std::unordered_map<std::string, Pool> pools_;
    std::list<Connection*> idle_;     // of all pools, the longest idle first
    std::deque<std::string> starved_; // addresses whose requests wait for room
};

} // namespace heronshift
