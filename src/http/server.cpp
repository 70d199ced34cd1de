#include "http.hpp"

#include "http_status.hpp"
#include "protocol_limits.hpp"
#include "socket.hpp"

#include <fmt/format.h>

namespace heronshift {
namespace {

constexpr std::size_t max_url_bytes = 16UL * 1024;
constexpr int listen_backlog = 512;
// Retry-After for requests that are refused because there are too many connections.
constexpr int too_many_connections_retry_s = 2;

const char* reason_phrase(int status) {
    switch (status) {
    case http_status::ok:
        return "OK";
    case http_status::created:
        return "Created";
    case http_status::bad_request:
        return "Bad Request";
    case http_status::not_found:
        return "Not Found";
    case http_status::method_not_allowed:
        return "Method Not Allowed";
    case http_status::misdirected_request:
        return "Misdirected Request";
    case http_status::unprocessable_entity:
        return "Unprocessable Entity";
    case http_status::too_many_requests:
        return "Too Many Requests";
    case http_status::service_unavailable:
        return "Service Unavailable";
    case http_status::gateway_timeout:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

} // namespace

// One connection of a client. Owned by the server and, while a request is unanswered, also by the request's Responder,
// which may outlive both the socket and the server.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
    explicit ServerConnection(HttpServer* server) : server_(server) {
        http_parser_init(&parser_, HTTP_REQUEST);
        parser_.data = this;
        uv_tcp_init(server->loop_, tcp_.create());
        tcp_.get()->data = this;
        last_active_ = steady_now(server->loop_);
    }

    uv_tcp_t* tcp() {
        return tcp_.get();
    }

    void start() {
        uv_tcp_nodelay(tcp_.get(), 1);
        uv_read_start(as_stream(tcp_.get()), http::provide_read_buffer,
                      [](uv_stream_t* s, ssize_t n, const uv_buf_t* buf) {
                          if (auto* connection = static_cast<ServerConnection*>(s->data); connection != nullptr)
                              connection->on_read(n, buf);
                      });
    }

    void close() {
        if (!tcp_)
            return;
        tcp_.close();
        auto self = shared_from_this();
        if (server_ == nullptr)
            return;
        server_->shares_.closed(share_);
        server_->connections_.erase(self);
    }

    // To be called when the server is destroyed, since a Responder may still hold this connection.
    void detach() {
        server_ = nullptr;
    }

    void respond(int status, std::string_view body, int retry_after_s) {
        if (!tcp_ || !busy_)
            return;
        busy_ = false;
        last_active_ = steady_now(tcp_.get()->loop);
        auto head = fmt::format("HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n", status,
                                reason_phrase(status), body.size());
        if (retry_after_s > 0)
            head += fmt::format("Retry-After: {}\r\n", retry_after_s);
        if (!keep_)
            head += "Connection: close\r\n";
        head += "\r\n";
        head += body;
        if (http::write_all(tcp_.get(), std::move(head)) != 0 || !keep_)
            return close();
        if (server_ != nullptr)
            server_->shares_.mark_idle(share_, this);
    }

    // Answers the request in progress, if any, with 503 and closes the connection.
    void refuse() {
        keep_ = false;
        respond(http_status::service_unavailable, R"({"error":"too many connections"})", too_many_connections_retry_s);
    }

    // Whether the connection should be closed: its idle time is over, or its request takes too long to arrive.
    [[nodiscard]] bool stale(double now, double idle_s) const {
        if (busy_)
            return false;
        return now - last_active_ > (receiving_ ? idle_s / 4 : idle_s);
    }

    ConnectionShares<ServerConnection>::Entry share_;

private:
    void on_read(ssize_t n, const uv_buf_t* buf) {
        if (n == 0)
            return;
        auto self = shared_from_this();
        if (n < 0)
            return close();
        if (busy_)
            return reject_malformed(); // the protocol does not allow pipelining
        static const http_parser_settings callbacks = make_callbacks();
        const auto used = http_parser_execute(&parser_, &callbacks, buf->base, static_cast<std::size_t>(n));
        if (!tcp_)
            return;
        if (HTTP_PARSER_ERRNO(&parser_) == HPE_PAUSED) {
            http_parser_pause(&parser_, 0);
            complete();
            return;
        }
        if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK || parser_.upgrade != 0 || used != static_cast<std::size_t>(n))
            return is_oversized() ? reject_oversized() : reject_malformed();
    }

    [[nodiscard]] bool is_oversized() const {
        return request_.body.size() > max_request_body_bytes;
    }

    void reject_oversized() {
        if (server_ != nullptr && server_->on_oversized_request)
            server_->on_oversized_request(std::string_view(url_).substr(0, url_.find('?')));
        reject(R"({"error":"the body is longer than 64 KiB"})");
    }

    void reject_malformed() {
        reject(R"({"error":"malformed request"})");
    }

    // Answers 400 to what was received, and closes the connection.
    void reject(std::string_view body) {
        busy_ = true;
        keep_ = false;
        respond(http_status::bad_request, body, 0);
    }

    void complete() {
        receiving_ = false;
        busy_ = true;
        keep_ = http_should_keep_alive(&parser_) != 0;
        request_.method = http_method_str(static_cast<http_method>(parser_.method));
        const auto q = url_.find('?');
        request_.path = url_.substr(0, q);
        request_.query = q == std::string::npos ? "" : url_.substr(q + 1);
        auto request = std::move(request_);
        request_ = {};
        url_.clear();
        if (server_ == nullptr)
            return;
        if (!server_->admit(*this, request))
            return refuse();
        server_->handler_(std::move(request), Responder(shared_from_this()));
    }

    static http_parser_settings make_callbacks() {
        http_parser_settings s;
        http_parser_settings_init(&s);
        s.on_message_begin = [](http_parser* p) {
            auto* connection = static_cast<ServerConnection*>(p->data);
            connection->receiving_ = true;
            if (connection->server_ != nullptr)
                connection->server_->shares_.mark_busy(connection->share_);
            connection->last_active_ = steady_now(connection->tcp_.get()->loop);
            connection->url_.clear();
            connection->request_ = {};
            return 0;
        };
        s.on_url = [](http_parser* p, const char* at, std::size_t n) {
            auto* connection = static_cast<ServerConnection*>(p->data);
            connection->url_.append(at, n);
            return connection->url_.size() > max_url_bytes ? 1 : 0;
        };
        s.on_body = [](http_parser* p, const char* at, std::size_t n) {
            auto* connection = static_cast<ServerConnection*>(p->data);
            connection->request_.body.append(at, n);
            return connection->is_oversized() ? 1 : 0;
        };
        s.on_message_complete = [](http_parser* p) {
            http_parser_pause(p, 1);
            return 0;
        };
        return s;
    }

    HttpServer* server_;
    LoopHandle<uv_tcp_t> tcp_;
    http_parser parser_{};
    HttpRequest request_;
    std::string url_;
    bool busy_ = false, keep_ = true, receiving_ = false;
    double last_active_ = 0;
};

void Responder::send(int status, std::string_view body, int retry_after_s) const {
    if (connection_)
        connection_->respond(status, body, retry_after_s);
    if (direct_callback_)
        direct_callback_->send(status, body, retry_after_s);
}

HttpServer::HttpServer(uv_loop_t* loop, std::size_t max_connections, double idle_s, Handler handler)
    : HttpServer(loop, {max_connections, max_connections, max_connections}, idle_s, {}, std::move(handler)) {}

HttpServer::HttpServer(uv_loop_t* loop, ConnectionLimits limits, double idle_s, Classifier classifier, Handler handler)
    : loop_(loop), shares_(limits), idle_s_(idle_s), classifier_(std::move(classifier)), handler_(std::move(handler)) {}

// NOLINTNEXTLINE(bugprone-exception-escape): closing a connection throws only when memory is exhausted
HttpServer::~HttpServer() {
    auto all = std::move(connections_);
    connections_.clear();
    for (const auto& connection : all) {
        connection->detach();
        connection->close();
    }
}

int HttpServer::listen(const Endpoint& at) {
    sockaddr_in addr{};
    if (!http::parse_ipv4_address(at.host, at.port, addr))
        return UV_EINVAL;
    auto* tcp = tcp_.create();
    uv_tcp_init(loop_, tcp);
    tcp->data = this;
    if (const int error = uv_tcp_bind(tcp, reinterpret_cast<const sockaddr*>(&addr), 0); error != 0)
        return error;
    return uv_listen(as_stream(tcp), listen_backlog, [](uv_stream_t* s, int status) {
        if (status == 0)
            static_cast<HttpServer*>(s->data)->accept();
    });
}

int HttpServer::port() const {
    sockaddr_in addr{};
    int size = sizeof addr;
    if (!tcp_ || uv_tcp_getsockname(tcp_.get(), reinterpret_cast<sockaddr*>(&addr), &size) != 0)
        return 0;
    return ntohs(addr.sin_port);
}

void HttpServer::accept() {
    auto connection = std::make_shared<ServerConnection>(this);
    connections_.insert(connection);
    shares_.opened();
    if (uv_accept(as_stream(tcp_.get()), as_stream(connection->tcp())) != 0)
        return connection->close();
    if (shares_.over_total()) {
        auto* longest = shares_.longest_idle();
        (longest != nullptr ? longest : connection.get())->close();
        if (longest == nullptr)
            return;
    }
    shares_.mark_idle(connection->share_, connection.get()); // until its first request arrives
    connection->start();
}

// Returns whether a request may be served. If its client kind exceeds its limit, the longest idle connection of that
// kind is closed; if there is none, the request may not be served.
bool HttpServer::admit(ServerConnection& connection, const HttpRequest& request) {
    if (!classifier_)
        return true;
    const auto kind = classifier_(request);
    if (kind != connection.share_.kind())
        shares_.classify(connection.share_, kind);
    if (!shares_.over_share(kind))
        return true;
    auto* longest = shares_.longest_idle(kind);
    if (longest == nullptr)
        return false;
    longest->close();
    return true;
}

void HttpServer::sweep() {
    const double now = steady_now(loop_);
    std::vector<std::shared_ptr<ServerConnection>> old;
    for (const auto& connection : connections_)
        if (connection->stale(now, idle_s_))
            old.push_back(connection);
    for (const auto& connection : old)
        connection->close();
}

} // namespace heronshift
