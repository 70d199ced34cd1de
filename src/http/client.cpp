#include "http.hpp"

#include "http_status.hpp"
#include "socket.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace heronshift {
namespace {

constexpr std::size_t max_reply_bytes = 8UL * 1024 * 1024;
// A request that is found overdue by more than this share of its time-out was delayed because the event loop of this
// process was blocked.
constexpr double loop_delay_share = 0.25;
// Idle connections are closed after this time.
constexpr double idle_connection_s = 30;

// The reply to a request that failed without an answer. `sent`: the request may have reached the server.
HttpReply no_answer(bool sent) {
    return {http_status::no_answer, {}, sent};
}

} // namespace

// One connection to an address, with the request in progress on it, if any. Owned by the client's pool.
struct HttpClient::Connection {
    Connection(HttpClient* owner, std::string address, PendingRequest&& first)
        : client(owner), addr(std::move(address)), busy(true), request(std::move(first)) {
        uv_tcp_init(client->loop_, tcp.create());
        uv_tcp_nodelay(tcp.get(), 1);
        tcp.get()->data = this;
    }

    HttpClient* client;
    std::string addr;
    LoopHandle<uv_tcp_t> tcp;
    http_parser parser{};
    bool busy = false;     // `request` is in progress
    bool complete = false; // the whole answer has been read
    bool used = false;     // at least one request was written
    PendingRequest request;
    std::string body;                               // of the answer, as far as received
    double idle_since = 0;                          // on the clock of steady_now(); valid while not busy
    std::list<Connection*>::iterator idle_position; // position in the client's idle_; valid while not busy

    void start() {
        uv_read_start(as_stream(tcp.get()), http::provide_read_buffer,
                      [](uv_stream_t* s, ssize_t n, const uv_buf_t* buf) {
                          if (auto* connection = static_cast<Connection*>(s->data); connection != nullptr)
                              connection->on_read(n, buf);
                      });
        send();
    }

    void send() {
        used = true;
        http_parser_init(&parser, HTTP_RESPONSE);
        parser.data = this;
        body.clear();
        complete = false;
        auto out = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n", request.method, request.path, addr);
        if (!request.body.empty() || request.method == "POST")
            out += fmt::format("Content-Type: application/json\r\nContent-Length: {}\r\n", request.body.size());
        out += "\r\n";
        out += request.body;
        if (http::write_all(tcp.get(), std::move(out)) != 0)
            client->finish(this, no_answer(true), false);
    }

    void on_read(ssize_t n, const uv_buf_t* buf) {
        if (n == 0)
            return;
        if (!busy)
            return client->finish(this, {}, false);
        static const http_parser_settings callbacks = make_callbacks();
        // A length of 0 tells the parser that the stream has ended, which completes a body without Content-Length.
        http_parser_execute(&parser, &callbacks, buf->base, n < 0 ? 0 : static_cast<std::size_t>(n));
        if (complete) {
            const bool keep = n > 0 && http_should_keep_alive(&parser) != 0;
            return client->finish(this, {static_cast<int>(parser.status_code), std::move(body), true}, keep);
        }
        if (n < 0 || HTTP_PARSER_ERRNO(&parser) != HPE_OK)
            client->finish(this, no_answer(true), false);
    }

    static http_parser_settings make_callbacks() {
        http_parser_settings s;
        http_parser_settings_init(&s);
        s.on_body = [](http_parser* p, const char* at, std::size_t n) {
            auto* connection = static_cast<Connection*>(p->data);
            connection->body.append(at, n);
            return connection->body.size() > max_reply_bytes ? 1 : 0;
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
    : loop_(loop), max_per_address_(max_per_address), max_waiting_(max_waiting), max_connections_(max_connections) {}

HttpClient::~HttpClient() {
    for (const auto& [addr, pool] : pools_)
        for (const auto* connection : pool.connections)
            delete connection;
}

void HttpClient::request(const std::string& addr, const char* method, const std::string& path, std::string body,
                         double timeout_s, Callback done) {
    auto& pool = pools_[addr];
    if (pool.waiting.size() >= max_waiting_) {
        done({});
        return;
    }
    pool.waiting.push_back(
        {method, path, std::move(body), timeout_s, http::precise_now() + timeout_s, false, std::move(done)});
    send_waiting(addr);
}

HttpClient::Connection* HttpClient::idle_connection(const Pool& pool) {
    Connection* idle = nullptr;
    for (auto* connection : pool.connections)
        if (!connection->busy)
            idle = connection;
    return idle;
}

// Sends the requests that wait for this address on idle connections, or on new ones as far as the limits allow.
void HttpClient::send_waiting(const std::string& addr) {
    auto& pool = pools_[addr];
    while (!pool.waiting.empty()) {
        auto* idle = idle_connection(pool);
        if (idle == nullptr && pool.connections.size() >= max_per_address_)
            return;
        if (idle == nullptr && connections_ >= max_connections_ && !close_longest_idle())
            return blocked_addresses_.push_back(addr);
        auto request = std::move(pool.waiting.front());
        pool.waiting.pop_front();
        if (idle != nullptr)
            send_on(idle, std::move(request));
        else if (!connect(addr, std::move(request)))
            return;
    }
}

void HttpClient::send_on(Connection* idle, PendingRequest&& request) {
    idle_.erase(idle->idle_position);
    idle->busy = true;
    idle->request = std::move(request);
    idle->send();
}

// Opens a connection for a request. Returns false if libuv could not start to connect: then the request has failed, and
// finish() has already called send_waiting() for the address, so the caller must not go on with its queue.
bool HttpClient::connect(const std::string& addr, PendingRequest&& request) {
    const auto colon = addr.rfind(':');
    sockaddr_in to{};
    if (colon == std::string::npos ||
        !http::parse_ipv4_address(addr.substr(0, colon), std::atoi(addr.c_str() + colon + 1), to)) {
        request.done({});
        return true;
    }
    auto* connection = new Connection(this, addr, std::move(request));
    pools_[addr].connections.push_back(connection);
    ++connections_;
    auto operation = std::make_unique<uv_connect_t>();
    const int error = uv_tcp_connect(operation.get(), connection->tcp.get(), reinterpret_cast<const sockaddr*>(&to),
                                     [](uv_connect_t* done, int status) {
                                         auto* connected = static_cast<Connection*>(done->handle->data);
                                         delete done;
                                         if (connected == nullptr)
                                             return; // the connection was closed before it was established
                                         if (status != 0)
                                             return connected->client->finish(connected, {}, false);
                                         connected->start();
                                     });
    if (error != 0) {
        finish(connection, {}, false);
        return false;
    }
    (void)operation.release(); // now owned by the callback
    return true;
}

// Resumes addresses whose requests were blocked by max_connections_, for as long as connections are available.
// send_waiting() adds an address again each time that its requests are blocked.
void HttpClient::send_blocked() {
    while (!blocked_addresses_.empty() && (connections_ < max_connections_ || !idle_.empty())) {
        const auto addr = std::move(blocked_addresses_.front());
        blocked_addresses_.pop_front();
        send_waiting(addr);
    }
}

// Closes the connection that has been idle for longest. Returns false if none is idle.
bool HttpClient::close_longest_idle() {
    if (idle_.empty())
        return false;
    auto* longest = idle_.front();
    idle_.pop_front();
    remove(longest);
    return true;
}

void HttpClient::remove(Connection* connection) {
    auto& connections = pools_[connection->addr].connections;
    connections.erase(std::find(connections.begin(), connections.end(), connection));
    --connections_;
    delete connection;
}

// Completes the request in progress on a connection, if any, with `reply`. Then keeps the connection as idle or closes
// it, and sends waiting requests.
void HttpClient::finish(Connection* connection, HttpReply reply, bool keep) {
    const auto addr = connection->addr;
    const bool was_busy = connection->busy;
    auto done = std::move(connection->request.done);
    if (!was_busy)
        idle_.erase(connection->idle_position);
    if (keep) {
        connection->busy = false;
        connection->idle_since = steady_now(loop_);
        connection->idle_position = idle_.insert(idle_.end(), connection);
    } else {
        remove(connection);
    }
    if (was_busy && done)
        done(std::move(reply));
    send_waiting(addr);
    send_blocked();
}

// If the request is found overdue long after its deadline, the event loop was blocked: the answer may have arrived
// meanwhile without having been read yet. The deadline is then extended by the delay, once and by at most the time-out
// itself. A server that does not answer is thus detected within twice the time-out, and within the time-out if the loop
// is not blocked.
bool HttpClient::PendingRequest::overdue(double now) {
    const double late = now - deadline;
    if (late <= 0)
        return false;
    if (extended || late <= loop_delay_share * timeout_s)
        return true;
    extended = true;
    deadline = now + std::min(late, timeout_s);
    return false;
}

bool HttpClient::is_open(const Connection* connection) const {
    return std::any_of(pools_.begin(), pools_.end(), [&](const auto& entry) {
        const auto& connections = entry.second.connections;
        return std::find(connections.begin(), connections.end(), connection) != connections.end();
    });
}

void HttpClient::sweep() {
    const double now = steady_now(loop_), precise = http::precise_now();
    std::vector<Connection*> late;
    std::vector<PendingRequest> unsent;
    for (auto it = pools_.begin(); it != pools_.end();) {
        auto& pool = it->second;
        for (auto* connection : pool.connections)
            if (connection->busy ? connection->request.overdue(precise)
                                 : now - connection->idle_since > idle_connection_s)
                late.push_back(connection);
        while (!pool.waiting.empty() && pool.waiting.front().overdue(precise)) {
            unsent.push_back(std::move(pool.waiting.front()));
            pool.waiting.pop_front();
        }
        it = pool.connections.empty() && pool.waiting.empty() ? pools_.erase(it) : std::next(it);
    }
    for (auto* connection : late)
        if (is_open(connection)) // the callback of an earlier element may have closed it
            finish(connection, no_answer(connection->used), false);
    for (auto& request : unsent)
        request.done({});
}

} // namespace heronshift
