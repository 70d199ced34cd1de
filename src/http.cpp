#include "heronshift/http.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace heronshift {
namespace {

constexpr std::size_t max_body = 64UL * 1024;
constexpr std::size_t max_head = 16UL * 1024;
constexpr std::size_t max_reply = 8UL * 1024 * 1024;
// After which a client that was refused for want of connections may ask again.
constexpr int refused_retry_s = 2;
// Of a time-out: what is found overdue later than that was kept waiting by our own loop.
constexpr double punctual = 0.25;

// The time of this moment; steady_now() is that of the beginning of the loop's turn, which a long turn leaves behind.
double precise_now() {
    return static_cast<double>(uv_hrtime()) * 1e-9;
}

const char* reason(int status) {
    switch (status) {
    case 200:
        return "OK";
    case 201:
        return "Created";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 421:
        return "Misdirected Request";
    case 422:
        return "Unprocessable Entity";
    case 429:
        return "Too Many Requests";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

// libuv reads one buffer at a time on one loop, and a loop runs on one thread: a buffer of the thread serves
// all its connections. (One for all threads mixed up what two schedulers in a program had read.)
thread_local char read_buffer[64 * 1024];

void give_buffer(uv_handle_t* /*h*/, std::size_t /*hint*/, uv_buf_t* buf) {
    *buf = uv_buf_init(read_buffer, sizeof read_buffer);
}

struct WriteOp {
    uv_write_t req;
    std::string data;
};

int write_all(uv_tcp_t* tcp, std::string data) {
    auto* w = new WriteOp{{}, std::move(data)};
    w->req.data = w;
    const uv_buf_t buf = uv_buf_init(w->data.data(), static_cast<unsigned>(w->data.size()));
    // Most answers leave at once; only the rest needs a queued write.
    const int n = uv_try_write(reinterpret_cast<uv_stream_t*>(tcp), &buf, 1);
    if (n == static_cast<int>(w->data.size())) {
        delete w;
        return 0;
    }
    const std::size_t sent = n > 0 ? static_cast<std::size_t>(n) : 0;
    const uv_buf_t rest = uv_buf_init(w->data.data() + sent, static_cast<unsigned>(w->data.size() - sent));
    const int e = uv_write(&w->req, reinterpret_cast<uv_stream_t*>(tcp), &rest, 1,
                           [](uv_write_t* r, int) { delete static_cast<WriteOp*>(r->data); });
    if (e != 0)
        delete w;
    return e;
}

bool sockaddr_of(const std::string& host, int port, sockaddr_in& out) {
    return uv_ip4_addr(host.c_str(), port, &out) == 0;
}

} // namespace

class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
    explicit ServerConnection(HttpServer* s) : server_(s) {
        http_parser_init(&parser_, HTTP_REQUEST);
        parser_.data = this;
        tcp_ = new uv_tcp_t;
        uv_tcp_init(s->loop_, tcp_);
        tcp_->data = this;
        last_ = steady_now(s->loop_);
    }

    uv_tcp_t* tcp() {
        return tcp_;
    }

    void start() {
        uv_tcp_nodelay(tcp_, 1);
        uv_read_start(reinterpret_cast<uv_stream_t*>(tcp_), give_buffer,
                      [](uv_stream_t* s, ssize_t n, const uv_buf_t* buf) {
                          if (auto* c = static_cast<ServerConnection*>(s->data); c != nullptr)
                              c->on_read(n, buf);
                      });
    }

    void close() {
        if (tcp_ == nullptr)
            return;
        tcp_->data = nullptr;
        uv_close(reinterpret_cast<uv_handle_t*>(tcp_), [](uv_handle_t* h) { delete reinterpret_cast<uv_tcp_t*>(h); });
        tcp_ = nullptr;
        auto self = shared_from_this();
        if (server_ == nullptr)
            return;
        server_->shares_.closed(share_);
        server_->conns_.erase(self);
    }

    void orphan() {
        server_ = nullptr;
    }

    void respond(int status, std::string_view body, int retry_after_s) {
        if (tcp_ == nullptr || !busy_)
            return;
        busy_ = false;
        last_ = steady_now(tcp_->loop);
        auto head = fmt::format("HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n", status,
                                reason(status), body.size());
        if (retry_after_s > 0)
            head += fmt::format("Retry-After: {}\r\n", retry_after_s);
        if (!keep_)
            head += "Connection: close\r\n";
        head += "\r\n";
        head += body;
        const int e = write_all(tcp_, std::move(head));
        if (e != 0 || !keep_)
            return close();
        if (server_ != nullptr)
            server_->shares_.idle(share_, this);
    }

    // Answers the request under way, if any, and closes after it.
    void refuse() {
        keep_ = false;
        respond(503, R"({"error":"too many connections"})", refused_retry_s);
    }

    // A request that takes too long to arrive, or an idle connection.
    [[nodiscard]] bool stale(double now, double idle_s) const {
        if (busy_)
            return false;
        return now - last_ > (receiving_ ? idle_s / 4 : idle_s);
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
            return bad(); // pipelining is not part of the protocol
        static const http_parser_settings callbacks = make_callbacks();
        const auto used = http_parser_execute(&parser_, &callbacks, buf->base, static_cast<std::size_t>(n));
        if (tcp_ == nullptr)
            return;
        if (HTTP_PARSER_ERRNO(&parser_) == HPE_PAUSED) {
            http_parser_pause(&parser_, 0);
            complete();
            return;
        }
        if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK || parser_.upgrade != 0 || used != static_cast<std::size_t>(n))
            return bad();
    }

    void bad() {
        busy_ = true;
        keep_ = false;
        respond(400, R"({"error":"malformed request"})", 0);
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
            auto* c = static_cast<ServerConnection*>(p->data);
            c->receiving_ = true;
            if (c->server_ != nullptr)
                c->server_->shares_.busy(c->share_);
            c->last_ = steady_now(c->tcp_->loop);
            c->url_.clear();
            c->request_ = {};
            return 0;
        };
        s.on_url = [](http_parser* p, const char* at, std::size_t n) {
            auto* c = static_cast<ServerConnection*>(p->data);
            c->url_.append(at, n);
            return c->url_.size() > max_head ? 1 : 0;
        };
        s.on_body = [](http_parser* p, const char* at, std::size_t n) {
            auto* c = static_cast<ServerConnection*>(p->data);
            c->request_.body.append(at, n);
            return c->request_.body.size() > max_body ? 1 : 0;
        };
        s.on_message_complete = [](http_parser* p) {
            http_parser_pause(p, 1);
            return 0;
        };
        return s;
    }

    HttpServer* server_;
    uv_tcp_t* tcp_ = nullptr;
    http_parser parser_{};
    HttpRequest request_;
    std::string url_;
    bool busy_ = false, keep_ = true, receiving_ = false;
    double last_ = 0;
};

void Responder::send(int status, std::string_view body, int retry_after_s) const {
    if (conn_)
        conn_->respond(status, body, retry_after_s);
    if (direct_)
        direct_->send(status, body, retry_after_s);
}

HttpServer::HttpServer(uv_loop_t* loop, std::size_t max_connections, double idle_s, Handler handler)
    : HttpServer(loop, {max_connections, max_connections, max_connections}, idle_s, {}, std::move(handler)) {}

HttpServer::HttpServer(uv_loop_t* loop, ConnectionLimits limits, double idle_s, Classifier classifier, Handler handler)
    : loop_(loop), shares_(limits), idle_s_(idle_s), classifier_(std::move(classifier)), handler_(std::move(handler)) {}

// NOLINTNEXTLINE(bugprone-exception-escape): closing a connection throws only when memory is exhausted
HttpServer::~HttpServer() {
    auto all = std::move(conns_);
    conns_.clear();
    for (const auto& c : all) {
        c->orphan();
        c->close();
    }
    if (tcp_ != nullptr)
        uv_close(reinterpret_cast<uv_handle_t*>(tcp_), [](uv_handle_t* h) { delete reinterpret_cast<uv_tcp_t*>(h); });
}

int HttpServer::listen(const Endpoint& at) {
    sockaddr_in addr{};
    if (!sockaddr_of(at.host, at.port, addr))
        return UV_EINVAL;
    tcp_ = new uv_tcp_t;
    uv_tcp_init(loop_, tcp_);
    tcp_->data = this;
    int e = uv_tcp_bind(tcp_, reinterpret_cast<const sockaddr*>(&addr), 0);
    if (e == 0)
        e = uv_listen(reinterpret_cast<uv_stream_t*>(tcp_), 512, [](uv_stream_t* s, int status) {
            if (status == 0)
                static_cast<HttpServer*>(s->data)->accept();
        });
    return e;
}

int HttpServer::port() const {
    sockaddr_in addr{};
    int size = sizeof addr;
    if (tcp_ == nullptr || uv_tcp_getsockname(tcp_, reinterpret_cast<sockaddr*>(&addr), &size) != 0)
        return 0;
    return ntohs(addr.sin_port);
}

void HttpServer::accept() {
    auto c = std::make_shared<ServerConnection>(this);
    conns_.insert(c);
    shares_.opened();
    if (uv_accept(reinterpret_cast<uv_stream_t*>(tcp_), reinterpret_cast<uv_stream_t*>(c->tcp())) != 0)
        return c->close();
    if (shares_.over_total()) {
        auto* longest = shares_.max_idle();
        (longest != nullptr ? longest : c.get())->close();
        if (longest == nullptr)
            return;
    }
    shares_.idle(c->share_, c.get()); // until its first request comes
    c->start();
}

// Whether a request may be served: beyond the share of its kind an idle connection of that kind has to make room.
bool HttpServer::admit(ServerConnection& c, const HttpRequest& request) {
    if (!classifier_)
        return true;
    const auto kind = classifier_(request);
    if (kind != c.share_.kind())
        shares_.classify(c.share_, kind);
    if (!shares_.over_share(kind))
        return true;
    auto* longest = shares_.max_idle(kind);
    if (longest == nullptr)
        return false;
    longest->close();
    return true;
}

void HttpServer::sweep() {
    const double now = steady_now(loop_);
    std::vector<std::shared_ptr<ServerConnection>> old;
    for (const auto& c : conns_)
        if (c->stale(now, idle_s_))
            old.push_back(c);
    for (const auto& c : old)
        c->close();
}

struct HttpClient::Connection {
    HttpClient* client = nullptr;
    std::string addr;
    uv_tcp_t* tcp = nullptr;
    uv_connect_t* connecting = nullptr;
    http_parser parser{};
    bool connected = false, busy = false, complete = false, used = false;
    Waiting job;
    std::string body;
    double idle_since = 0;
    std::list<Connection*>::iterator idle_at; // while it is not busy

    void close() {
        if (tcp == nullptr)
            return;
        tcp->data = nullptr;
        uv_close(reinterpret_cast<uv_handle_t*>(tcp), [](uv_handle_t* h) { delete reinterpret_cast<uv_tcp_t*>(h); });
        tcp = nullptr;
    }

    void send() {
        used = true;
        http_parser_init(&parser, HTTP_RESPONSE);
        parser.data = this;
        body.clear();
        complete = false;
        std::string out;
        out.reserve(job.body.size() + 200);
        out = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n", job.method, job.path, addr);
        if (!job.body.empty() || job.method == "POST")
            out += fmt::format("Content-Type: application/json\r\nContent-Length: {}\r\n", job.body.size());
        out += "\r\n";
        out += job.body;
        if (write_all(tcp, std::move(out)) != 0)
            client->finish(this, {0, {}, true}, false);
    }

    void on_read(ssize_t n, const uv_buf_t* buf) {
        if (n == 0)
            return;
        if (!busy)
            return client->finish(this, {}, false);
        static const http_parser_settings callbacks = make_callbacks();
        // At the end of the stream the parser is told so: a body without length ends there.
        http_parser_execute(&parser, &callbacks, buf->base, n < 0 ? 0 : static_cast<std::size_t>(n));
        if (complete) {
            const bool keep = n > 0 && http_should_keep_alive(&parser) != 0;
            return client->finish(this, {static_cast<int>(parser.status_code), std::move(body), true}, keep);
        }
        if (n < 0 || HTTP_PARSER_ERRNO(&parser) != HPE_OK)
            client->finish(this, {0, {}, true}, false);
    }

    static http_parser_settings make_callbacks() {
        http_parser_settings s;
        http_parser_settings_init(&s);
        s.on_body = [](http_parser* p, const char* at, std::size_t n) {
            auto* connection = static_cast<Connection*>(p->data);
            connection->body.append(at, n);
            return connection->body.size() > max_reply ? 1 : 0;
        };
        s.on_message_complete = [](http_parser* p) {
            static_cast<Connection*>(p->data)->complete = true;
            return 0;
        };
        return s;
    }
};

HttpClient::HttpClient(uv_loop_t* loop, std::size_t max_per_address, std::size_t max_waiting,
                       std::size_t max_connections)
    : loop_(loop), most_(max_per_address), most_waiting_(max_waiting), max_connections_(max_connections) {}

HttpClient::~HttpClient() {
    for (auto& [addr, pool] : pools_)
        for (auto* connection : pool.conns) {
            connection->close();
            delete connection;
        }
}

void HttpClient::request(const std::string& addr, const char* method, const std::string& path, std::string body,
                         double timeout_s, Callback done) {
    auto& pool = pools_[addr];
    if (pool.waiting.size() >= most_waiting_) {
        done({});
        return;
    }
    pool.waiting.push_back(
        {method, path, std::move(body), timeout_s, precise_now() + timeout_s, false, std::move(done)});
    pump(addr);
}

void HttpClient::pump(const std::string& addr) {
    auto& pool = pools_[addr];
    while (!pool.waiting.empty()) {
        Connection* free = nullptr;
        for (auto* connection : pool.conns)
            if (!connection->busy)
                free = connection;
        if (free == nullptr && pool.conns.size() >= most_)
            return;
        if (free == nullptr && connections_ >= max_connections_ && !make_room())
            return starved_.push_back(addr);
        auto job = std::move(pool.waiting.front());
        pool.waiting.pop_front();
        if (free != nullptr) {
            idle_.erase(free->idle_at);
            free->busy = true;
            free->job = std::move(job);
            free->send();
            continue;
        }
        const auto colon = addr.rfind(':');
        sockaddr_in to{};
        if (colon == std::string::npos ||
            !sockaddr_of(addr.substr(0, colon), std::atoi(addr.c_str() + colon + 1), to)) {
            job.done({});
            continue;
        }
        auto* connection = new Connection;
        connection->client = this;
        connection->addr = addr;
        connection->busy = true;
        connection->job = std::move(job);
        connection->tcp = new uv_tcp_t;
        uv_tcp_init(loop_, connection->tcp);
        uv_tcp_nodelay(connection->tcp, 1);
        connection->tcp->data = connection;
        pool.conns.push_back(connection);
        ++connections_;
        auto* req = new uv_connect_t;
        const int e = uv_tcp_connect(
            req, connection->tcp, reinterpret_cast<const sockaddr*>(&to), [](uv_connect_t* r, int status) {
                auto* conn = static_cast<Connection*>(r->handle->data);
                delete r;
                if (conn == nullptr)
                    return;
                if (status != 0)
                    return conn->client->finish(conn, {}, false);
                conn->connected = true;
                uv_read_start(reinterpret_cast<uv_stream_t*>(conn->tcp), give_buffer,
                              [](uv_stream_t* s, ssize_t n, const uv_buf_t* buf) {
                                  if (auto* k = static_cast<Connection*>(s->data); k != nullptr)
                                      k->on_read(n, buf);
                              });
                conn->send();
            });
        if (e != 0) {
            delete req;
            finish(connection, {}, false);
            return;
        }
    }
}

// Requests to an address wait here at most once each time that there was no room, and go on when there is.
void HttpClient::pump_starved() {
    while (!starved_.empty() && (connections_ < max_connections_ || !idle_.empty())) {
        const auto addr = std::move(starved_.front());
        starved_.pop_front();
        pump(addr);
    }
}

bool HttpClient::make_room() {
    if (idle_.empty())
        return false;
    auto* longest = idle_.front();
    idle_.pop_front();
    remove(longest);
    return true;
}

void HttpClient::remove(Connection* connection) {
    auto& conns = pools_[connection->addr].conns;
    conns.erase(std::find(conns.begin(), conns.end(), connection));
    --connections_;
    connection->close();
    delete connection;
}

void HttpClient::finish(Connection* connection, HttpReply reply, bool keep) {
    const auto addr = connection->addr;
    const bool was_busy = connection->busy;
    auto done = std::move(connection->job.done);
    if (!was_busy)
        idle_.erase(connection->idle_at);
    if (keep) {
        connection->busy = false;
        connection->idle_since = steady_now(loop_);
        connection->idle_at = idle_.insert(idle_.end(), connection);
    } else {
        remove(connection);
    }
    if (was_busy && done)
        done(std::move(reply));
    pump(addr);
    pump_starved();
}

// Time in which the loop did not turn is not counted as waited, once and for at most the time-out itself: the answer
// may have come in it, and may need another turn to be read. So a server that is silent is still found out within twice
// the time-out, and on a loop that turns as it should within the time-out.
bool HttpClient::Waiting::overdue(double now) {
    const double late = now - deadline;
    if (late <= 0)
        return false;
    if (extended || late <= punctual * timeout_s)
        return true;
    extended = true;
    deadline = now + std::min(late, timeout_s);
    return false;
}

void HttpClient::sweep() {
    const double now = steady_now(loop_), precise = precise_now();
    std::vector<Connection*> late;
    std::vector<Waiting> unsent;
    for (auto it = pools_.begin(); it != pools_.end();) {
        auto& pool = it->second;
        for (auto* connection : pool.conns)
            if (connection->busy ? connection->job.overdue(precise) : now - connection->idle_since > 30)
                late.push_back(connection);
        while (!pool.waiting.empty() && pool.waiting.front().overdue(precise)) {
            unsent.push_back(std::move(pool.waiting.front()));
            pool.waiting.pop_front();
        }
        it = pool.conns.empty() && pool.waiting.empty() ? pools_.erase(it) : std::next(it);
    }
    for (auto* connection : late) {
        // An earlier callback may have ended this connection already.
        bool alive = false;
        for (const auto& [addr, pool] : pools_)
            alive = alive || std::find(pool.conns.begin(), pool.conns.end(), connection) != pool.conns.end();
        if (alive)
            finish(connection, {0, {}, connection->used}, false);
    }
    for (auto& w : unsent)
        w.done({});
}

} // namespace heronshift
