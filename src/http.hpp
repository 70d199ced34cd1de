// An HTTP/1.1 server and client on libuv. http-parser parses incoming messages; outgoing ones are formatted here. Every
// object belongs to one loop: it is used, and runs its callbacks, on that loop's thread only.
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

/// The steady time at which the loop's current iteration began, in seconds.
inline double steady_now(uv_loop_t* loop) {
    return static_cast<double>(uv_now(loop)) / 1000.0;
}

/// A request as passed to a handler. `path` is the URL up to its first ?, and `query` the rest after it. Neither is
/// percent-decoded.
struct HttpRequest {
    std::string method, path, query, body;
};

class ServerConnection;

/// Answers one request. It may be stored and used later. An answer is dropped if the connection has been closed by then
/// or the request has been answered already.
class Responder {
public:
    Responder() = default;
    explicit Responder(std::shared_ptr<ServerConnection> connection) : connection_(std::move(connection)) {}
    /// Receives the answer to a request made from within this process. Called exactly once: with http_status::no_answer
    /// if the last copy of the Responder is destroyed without an answer.
    using DirectCallback = std::function<void(int status, std::string_view body, int retry_after_s)>;
    explicit Responder(DirectCallback callback)
        : direct_callback_(std::make_shared<SingleUseCallback>(std::move(callback))) {}
    /// `retry_after_s`: the value of the Retry-After header, in seconds; 0 omits the header.
    void send(int status, std::string_view body, int retry_after_s = 0) const;

private:
    struct SingleUseCallback {
        explicit SingleUseCallback(DirectCallback callback) : f(std::move(callback)) {}
        ~SingleUseCallback() {
            send(0, {}, 0);
        }
        SingleUseCallback(const SingleUseCallback&) = delete;
        SingleUseCallback& operator=(const SingleUseCallback&) = delete;
        void send(int status, std::string_view body, int retry_after_s) {
            if (const auto once = std::exchange(f, nullptr); once)
                once(status, body, retry_after_s);
        }
        DirectCallback f;
    };
    std::shared_ptr<ServerConnection> connection_;
    std::shared_ptr<SingleUseCallback> direct_callback_;
};

/// Listens at one address and passes each request to a handler.
///
/// When a limit is exceeded, the server closes the connection that has been idle for longest. A client with a
/// persistent connection then loses it between two requests and opens a new one, so that more clients can be served
/// than there are connections. If the limit of a client kind is exceeded and no connection of that kind is idle, the
/// request is answered 503 with Retry-After and its connection is closed. If the total is exceeded and no connection is
/// idle, the new connection is closed.
class HttpServer {
public:
    using Handler = std::function<void(HttpRequest&&, Responder)>;
    using Classifier = std::function<ClientKind(const HttpRequest&)>;
    /// `idle_s`: idle connections are closed after this time, in seconds. Connections on which a request has begun to
    /// arrive but is incomplete are closed after a quarter of it.
    HttpServer(uv_loop_t* loop, std::size_t max_connections, double idle_s, Handler handler);
    /// `limits` includes a limit for each kind of client. `classifier` determines the kind from a request.
    HttpServer(uv_loop_t* loop, ConnectionLimits limits, double idle_s, Classifier classifier, Handler handler);
    ~HttpServer(); // NOLINT(bugprone-exception-escape): says why where it is defined
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Returns 0 or a libuv error.
    [[nodiscard]] int listen(const Endpoint& at);
    /// The port that the server listens on: the one that the system chose if listen() was called with port 0. Returns 0
    /// if the server does not listen.
    [[nodiscard]] int port() const;
    /// Closes connections whose idle time is over or whose request takes too long to arrive. To be called about once a
    /// second.
    void sweep();
    [[nodiscard]] std::size_t connections() const {
        return connections_.size();
    }
    /// Called with the path of each request that is refused because its body is longer than max_request_body_bytes.
    std::function<void(std::string_view path)> on_oversized_request;

private:
    friend class ServerConnection;
    void accept();
    bool admit(ServerConnection& connection, const HttpRequest& request);
    uv_loop_t* loop_;
    LoopHandle<uv_tcp_t> tcp_;
    ConnectionShares<ServerConnection> shares_;
    double idle_s_;
    Classifier classifier_;
    Handler handler_;
    std::unordered_set<std::shared_ptr<ServerConnection>> connections_;
};

/// Sends requests, with a limit on the number of connections to each address and in total. If the total is reached, an
/// idle connection to another address is closed to open a new one; if none is idle, the request waits. When the client
/// is destroyed, outstanding requests end without a callback.
class HttpClient {
public:
    using Callback = std::function<void(HttpReply&&)>;
    static constexpr std::size_t unlimited = SIZE_MAX;
    /// `max_waiting`: how many requests may wait for a connection to one address. Further ones fail at once, unsent.
    HttpClient(uv_loop_t* loop, std::size_t max_per_address, std::size_t max_waiting,
               std::size_t max_connections = unlimited);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// `addr`: IPv4:PORT. Calls `done` once, possibly before this function returns. If there is no answer, the status
    /// is http_status::no_answer and `sent` of the reply says whether the request may have reached the server.
    void request(const std::string& addr, const char* method, const std::string& path, std::string body,
                 double timeout_s, Callback done);
    /// Fails the requests that have timed out, and closes connections that have been idle for too long. To be called
    /// about ten times a second, in a uv_check handle: these run after the loop has read its sockets, so that a request
    /// whose answer has arrived but is not read yet does not count as timed out.
    void sweep();
    [[nodiscard]] std::size_t connections() const {
        return connections_;
    }

    struct Connection;

private:
    struct PendingRequest {
        std::string method, path, body;
        double timeout_s = 0;
        double deadline = 0;   // on the clock of http::precise_now()
        bool extended = false; // whether the deadline was extended because the loop was blocked
        Callback done;
        // Whether the request has timed out. Extends the deadline once if the loop was blocked.
        [[nodiscard]] bool overdue(double now);
    };
    struct Pool {
        std::vector<Connection*> connections;
        std::deque<PendingRequest> waiting;
    };
    void send_waiting(const std::string& addr);
    void send_blocked();
    [[nodiscard]] static Connection* idle_connection(const Pool& pool);
    [[nodiscard]] bool is_open(const Connection* connection) const;
    void send_on(Connection* idle, PendingRequest&& request);
    bool connect(const std::string& addr, PendingRequest&& request);
    bool close_longest_idle();
    void remove(Connection* connection);
    void finish(Connection* connection, HttpReply reply, bool keep);

    uv_loop_t* loop_;
    std::size_t max_per_address_, max_waiting_, max_connections_;
    std::size_t connections_ = 0;
    std::unordered_map<std::string, Pool> pools_;
    std::list<Connection*> idle_;               // of all pools, longest idle first
    std::deque<std::string> blocked_addresses_; // addresses whose requests wait because of max_connections_
};

} // namespace heronshift
