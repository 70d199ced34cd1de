#include "node/node.hpp"

#include "executor/http_executor.hpp"
#include "store/remote.hpp"

#include <algorithm>
#include <utility>

namespace heronshift {
namespace {

constexpr double ticks_per_heartbeat = 30;
constexpr double max_wake_delay_s = 1;
constexpr double server_sweep_interval_s = 1;

// Shares of the file descriptors that this process may use (fd_limit). The rest is for outgoing connections to peers,
// the store and the cloud.
constexpr double listen_share = 0.65; // connections of workers and users
constexpr double peers_share = 0.1, agents_share = 0.15;
// Shares of `listen_share`, so that neither workers nor users can take all of these connections.
constexpr double workers_share = 0.9, users_share = 0.3;

std::size_t fds_in_share(const Settings& settings, double share) {
    return std::max<std::size_t>(1, static_cast<std::size_t>(settings.fd_limit * share));
}

ConnectionLimits listen_limits(const Settings& settings) {
    return {fds_in_share(settings, listen_share), fds_in_share(settings, listen_share * workers_share),
            fds_in_share(settings, listen_share * users_share)};
}

// Health checks count against no limit: if they were refused, a load balancer would stop sending any user here.
ClientKind client_kind_of(const HttpRequest& request) {
    if (request.path == codec::path_health)
        return ClientKind::unknown;
    return request.path == codec::path_heartbeat ? ClientKind::worker : ClientKind::user;
}

} // namespace

Node::Parts Node::with_defaults(uv_loop_t* loop, const Settings& settings, Parts parts) {
    if (!parts.clock)
        parts.clock = std::make_shared<Clock>();
    if (!parts.state)
        parts.state = std::make_unique<store::RemoteStore>(loop, settings.state);
    if (!parts.executor)
        parts.executor = std::make_unique<HttpExecutor>(loop, settings.cloud, fds_in_share(settings, agents_share));
    if (!parts.peers)
        parts.peers = std::make_unique<HttpPeers>(loop, settings.peers);
    return parts;
}

Node::Node(uv_loop_t* loop, const Settings& settings, Parts parts)
    : loop_(loop), controller_(settings, with_defaults(loop, settings, std::move(parts))) {
    controller_.on_wake_at = [this] { arm_wake_timer(); };
}

Node::~Node() {
    // The handles and servers are destroyed before the controller, whose components may still request a wake-up.
    controller_.on_wake_at = nullptr;
}

int Node::start() {
    if (const int error = listen(); error != 0)
        return error;
    start_timers();
    controller_.start();
    return 0;
}

int Node::listen() {
    const auto& settings = controller_.settings();
    const double idle_s = 2 * settings.lease_s + 30;
    users_ = std::make_unique<HttpServer>(
        loop_, listen_limits(settings), idle_s, client_kind_of,
        [this](HttpRequest&& request, const Responder& res) { controller_.serve(std::move(request), res); });
    peers_ = std::make_unique<HttpServer>(
        loop_, fds_in_share(settings, peers_share), idle_s,
        [this](HttpRequest&& request, const Responder& res) { controller_.serve_peer(std::move(request), res); });
    for (auto* server : {users_.get(), peers_.get()})
        server->on_oversized_request = [this](std::string_view path) { controller_.record_oversized_request(path); };
    for (const auto& [server, endpoint] :
         {std::pair{users_.get(), &settings.listen}, std::pair{peers_.get(), &settings.peer_listen}})
        if (!endpoint->host.empty())
            if (const int error = server->listen(*endpoint); error != 0)
                return error;
    return 0;
}

// An iteration of the loop: the timers only set flags, then the sockets are read, and only then the controller does the
// work that is due and the core processes the queued commands. libuv itself runs timers before it reads sockets: after
// a long step of the core, answers that are still unread in the sockets would count as timed out, and a leader that the
// store serves would resign. Within an iteration, the lease renewals and timers run before the core's planning.
void Node::start_timers() {
    auto* tick_timer = tick_timer_.create();
    auto* wake_timer = wake_timer_.create();
    auto* idle = idle_.create();
    auto* check = check_.create();
    uv_timer_init(loop_, tick_timer);
    uv_timer_init(loop_, wake_timer);
    uv_idle_init(loop_, idle);
    uv_check_init(loop_, check);
    tick_timer->data = wake_timer->data = idle->data = check->data = this;
    const auto on_tick = [](uv_timer_t* timer) {
        auto* node = static_cast<Node*>(timer->data);
        node->tick_due_ = true;
        node->poll_sockets_first();
    };
    const double interval_ms = controller_.settings().report_s * 1000 / ticks_per_heartbeat;
    uv_timer_start(tick_timer, on_tick, 1, static_cast<std::uint64_t>(interval_ms));
    uv_check_start(check, [](uv_check_t* handle) { static_cast<Node*>(handle->data)->after_socket_poll(); });
}

// While an idle handle is active, libuv polls the sockets without blocking.
void Node::poll_sockets_first() {
    uv_idle_start(idle_.get(), [](uv_idle_t*) {});
}

void Node::after_socket_poll() {
    uv_idle_stop(idle_.get());
    if (std::exchange(tick_due_, false))
        tick();
    if (std::exchange(wake_due_, false))
        wake();
    else
        controller_.run_core();
}

void Node::stop() {
    controller_.stop();
    if (check_) {
        uv_timer_stop(tick_timer_.get());
        uv_idle_stop(idle_.get());
        uv_check_stop(check_.get());
    }
    users_.reset();
    peers_.reset();
}

void Node::arm_wake_timer() {
    if (!wake_timer_)
        return;
    const double now = controller_.timers().now();
    const double delay_s = std::clamp(controller_.wake_at() - now, 0.0, max_wake_delay_s);
    const auto on_wake = [](uv_timer_t* timer) {
        auto* node = static_cast<Node*>(timer->data);
        if (uv_is_active(reinterpret_cast<uv_handle_t*>(node->check_.get())) == 0)
            return node->wake(); // after stop() no missing answer matters, so the sockets need not be read first
        node->wake_due_ = true;
        node->poll_sockets_first();
    };
    // Never 0: a timer with delay 0 would be due again at once, and libuv would run timers forever.
    const auto delay_ms = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(delay_s * 1000 + 0.999));
    uv_timer_start(wake_timer_.get(), on_wake, delay_ms, 0);
}

void Node::wake() {
    controller_.wake();
    arm_wake_timer();
}

void Node::tick() {
    if (on_tick_)
        on_tick_();
    const double now = controller_.timers().now();
    if (now >= next_server_sweep_at_) {
        next_server_sweep_at_ = now + server_sweep_interval_s;
        users_->sweep();
        peers_->sweep();
    }
    controller_.tick();
}

} // namespace heronshift
