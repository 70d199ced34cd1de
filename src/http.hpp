// A small HTTP/1.1 server and client on libuv; http-parser reads, this writes. Everything here belongs to one loop and
// is used, and calls back, on that loop's thread only.
#pragma once

#include "connection_shares.hpp"
#include "heronshift/config.hpp"
#include "heronshift/http_reply.hpp"
#include "heronshift/loop_handle.hpp"

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

/// The steady time at which this turn of the loop began, in seconds.
inline double steady_now(uv_loop_t* loop) {
    return static_cast<double>(uv_now(loop)) / 1000.0;
}

/// A request as a handler gets it. `query` is what follows the first ? of the URL, undecoded; `path` what precedes it.
struct HttpRequest {
    std::string method, path, query, body;
};

class ServerConnection;

/// Answers one request. It may be kept and used later, also when the connection is gone by then: such an answer is
/// dropped, as is a second one.
class Responder {
public:
    Responder() = default;
    explicit Responder(std::shared_ptr<ServerConnection> c) : conn_(std::move(c)) {}
    /// For a caller in this process; called once, with http_status::no_answer if nobody ever answers.
    using Direct = std::function<void(int status, std::string_view body, int retry_after_s)>;
    explicit Responder(Direct callback) : direct_(std::make_shared<Once>(std::move(callback))) {}
    /// retry_after_s: the value of the header Retry-After, in seconds; 0: none.
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

/// Listens at one address and hands each request to a handler.
///
/// Beyond its limits the connection that has been idle for longest makes room: a client that keeps one open loses it
/// between two requests and opens another, so that more clients than connections are served in turns. Where none is
/// idle, a request is answered 503 with Retry-After and its connection closed.
class HttpServer {
public:
    using Handler = std::function<void(HttpRequest&&, Responder)>;
    using Classifier = std::function<ClientKind(const HttpRequest&)>;
    /// idle_s: after which an idle connection is closed, in seconds; one on which a request is arriving after a
    /// quarter.
    HttpServer(uv_loop_t* loop, std::size_t max_connections, double idle_s, Handler handler);
    /// With a share for each kind of client.
    HttpServer(uv_loop_t* loop, ConnectionLimits limits, double idle_s, Classifier classifier, Handler handler);
    ~HttpServer(); // NOLINT(bugprone-exception-escape): says why where it is defined
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Returns 0 or a libuv error.
    [[nodiscard]] int listen(const Endpoint& at);
    /// The port that it listens on: the system's choice where 0 was asked for. 0: it does not listen.
    [[nodiscard]] int port() const;
    /// Closes slow and idle connections; to be called about once a second.
    void sweep();
    [[nodiscard]] std::size_t connections() const {
        return connections_.size();
    }

private:
    friend class ServerConnection;
    void accept();
    bool admit(ServerConnection& c, const HttpRequest& request);
    uv_loop_t* loop_;
    LoopHandle<uv_tcp_t> tcp_;
    ConnectionShares<ServerConnection> shares_;
    double idle_s_;
    Classifier classifier_;
    Handler handler_;
    std::unordered_set<std::shared_ptr<ServerConnection>> connections_;
};

/// Sends requests, with a bounded pool of connections to each address and of all together: an idle connection to
/// another address makes room for one that is needed, and where none is idle requests wait. When it is destroyed,
/// requests under way end without a callback.
class HttpClient {
public:
    using Callback = std::function<void(HttpReply&&)>;
    static constexpr std::size_t unlimited = SIZE_MAX;
    /// max_waiting: requests that wait for a connection to one address. More are not sent.
    HttpClient(uv_loop_t* loop, std::size_t max_per_address, std::size_t max_waiting,
               std::size_t max_connections = unlimited);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// addr: IPv4:PORT. Calls back once, perhaps before it returns. Without an answer the status is
    /// http_status::no_answer, and `sent` says whether the request may have reached the server.
    void request(const std::string& addr, const char* method, const std::string& path, std::string body,
                 double timeout_s, Callback done);
    /// Ends the requests that have waited for too long. To be called about ten times a second, after the loop has read
    /// its sockets (in a uv_check): an answer that lies unread is none that is missing.
    void sweep();
    [[nodiscard]] std::size_t connections() const {
        return connections_;
    }

    struct Connection;

private:
    struct PendingRequest {
        std::string method, path, body;
        double timeout_s = 0;
        double deadline = 0;   // by http::precise_now()
        bool extended = false; // the deadline, by time in which the loop did not turn
        Callback done;
        [[nodiscard]] bool overdue(double now);
    };
    struct Pool {
        std::vector<Connection*> connections;
        std::deque<PendingRequest> waiting;
    };
    void pump(const std::string& addr);
    void pump_starved();
    [[nodiscard]] static Connection* idle_connection(const Pool& pool);
    [[nodiscard]] bool is_open(const Connection* connection) const;
    void send_on(Connection* idle, PendingRequest&& request);
    bool connect(const std::string& addr, PendingRequest&& request);
    bool make_room();
    void remove(Connection* connection);
    void finish(Connection* connection, HttpReply reply, bool keep);

    uv_loop_t* loop_;
    std::size_t max_per_address_, max_waiting_, max_connections_;
    std::size_t connections_ = 0;
    std::unordered_map<std::string, Pool> pools_;
    std::list<Connection*> idle_;     // of all pools, the longest idle first
    std::deque<std::string> starved_; // addresses whose requests wait for room
};

} // namespace heronshift
