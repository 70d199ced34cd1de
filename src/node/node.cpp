#include "heronshift/node/node.hpp"

#include "heronshift/executor/http.hpp"
#include "heronshift/store/remote.hpp"

#include <algorithm>
#include <utility>

namespace heronshift {
namespace {

constexpr double ticks_per_heartbeat = 30;
constexpr double max_sleep_s = 1;

// Shares of the sockets that this process may have. What they leave is for connections to peers, the store and the
// cloud.
constexpr double listen_share = 0.65; // workers and users
constexpr double peers_share = 0.1, agents_share = 0.15;
// Of the first: neither workers nor users ever have all of it.
constexpr double workers_share = 0.9, users_share = 0.3;

std::size_t sockets(const Settings& settings, double share) {
    return std::max<std::size_t>(1, static_cast<std::size_t>(settings.fd_limit * share));
}

ConnectionLimits listen_limits(const Settings& settings) {
    return {sockets(settings, listen_share), sockets(settings, listen_share * workers_share),
            sockets(settings, listen_share * users_share)};
}

// Health checks count for nobody: refused, they would take this controller away from all users.
ClientKind kind_of(const HttpRequest& request) {
    if (request.path == codec::path_health)
        return ClientKind::unknown;
    return request.path == codec::path_heartbeat ? ClientKind::worker : ClientKind::user;
}

} // namespace

Node::Parts Node::whole(uv_loop_t* loop, const Settings& settings, Parts parts) {
    if (!parts.clock)
        parts.clock = std::make_shared<Clock>();
    if (!parts.state)
        parts.state = std::make_unique<store::RemoteStore>(loop, settings.state);
    if (!parts.executor)
        parts.executor = std::make_unique<HttpExecutor>(loop, settings.cloud, sockets(settings, agents_share));
    if (!parts.peers)
        parts.peers = std::make_unique<HttpPeers>(loop, settings.peers);
    return parts;
}

Node::Node(uv_loop_t* loop, const Settings& settings, Parts parts)
    : loop_(loop), controller_(settings, whole(loop, settings, std::move(parts))) {
    controller_.on_wake_at = [this] { arm(); };
}

Node::~Node() {
    if (handles_ == nullptr)
        return;
    for (auto* h :
         {reinterpret_cast<uv_handle_t*>(&handles_->tick), reinterpret_cast<uv_handle_t*>(&handles_->wake),
          reinterpret_cast<uv_handle_t*>(&handles_->idle), reinterpret_cast<uv_handle_t*>(&handles_->check)}) {
        h->data = handles_;
        uv_close(h, [](uv_handle_t* x) {
            auto* all = static_cast<Handles*>(x->data);
            if (--all->open == 0)
                delete all;
        });
    }
}

int Node::start() {
    const auto& settings = controller_.settings();
    const double idle_s = 2 * settings.lease_s + 30;
    users_ = std::make_unique<HttpServer>(
        loop_, listen_limits(settings), idle_s, kind_of,
        [this](HttpRequest&& request, Responder res) { controller_.serve(std::move(request), std::move(res)); });
    peers_ = std::make_unique<HttpServer>(
        loop_, sockets(settings, peers_share), idle_s,
        [this](HttpRequest&& request, Responder res) { controller_.serve_peer(std::move(request), std::move(res)); });
    for (const auto& [server, at] :
         {std::pair{users_.get(), &settings.listen}, std::pair{peers_.get(), &settings.peer_listen}})
        if (!at->host.empty())
            if (const int e = server->listen(*at); e != 0)
                return e;
    start_timers();
    controller_.start();
    return 0;
}

// A turn of the loop: the timers only mark what is due, then the sockets are read, and only then does the controller do
// what is due and the core take the commands that have gathered. (libuv runs timers before it reads. After a long step
// the controller took the answers that lay unread for missing, time-outs among them, and a leader resigned that the
// store had served all along.) Within a turn the leader's renewals and its timers go before planning.
void Node::start_timers() {
    handles_ = new Handles;
    handles_->open = 4;
    uv_timer_init(loop_, &handles_->tick);
    uv_timer_init(loop_, &handles_->wake);
    uv_idle_init(loop_, &handles_->idle);
    uv_check_init(loop_, &handles_->check);
    handles_->tick.data = handles_->wake.data = handles_->idle.data = handles_->check.data = this;
    const auto on_tick = [](uv_timer_t* t) {
        auto* node = static_cast<Node*>(t->data);
        node->tick_due_ = true;
        node->look_at_sockets_first();
    };
    const double every_ms = controller_.settings().report_s * 1000 / ticks_per_heartbeat;
    uv_timer_start(&handles_->tick, on_tick, 1, static_cast<std::uint64_t>(every_ms));
    uv_check_start(&handles_->check, [](uv_check_t* c) { static_cast<Node*>(c->data)->after_sockets(); });
}

// While an idle handle is active, libuv looks at the sockets without waiting for any.
void Node::look_at_sockets_first() {
    uv_idle_start(&handles_->idle, [](uv_idle_t*) {});
}

void Node::after_sockets() {
    uv_idle_stop(&handles_->idle);
    if (std::exchange(tick_due_, false))
        tick();
    if (std::exchange(wake_due_, false))
        wake();
    else
        controller_.run_core();
}

void Node::stop() {
    controller_.stop();
    if (handles_ != nullptr) {
        uv_timer_stop(&handles_->tick);
        uv_idle_stop(&handles_->idle);
        uv_check_stop(&handles_->check);
    }
    users_.reset();
    peers_.reset();
}

void Node::arm() {
    if (handles_ == nullptr)
        return;
    const double now = controller_.timers().now();
    const double in = std::clamp(controller_.wake_at() - now, 0.0, max_sleep_s);
    const auto on_wake = [](uv_timer_t* t) {
        auto* node = static_cast<Node*>(t->data);
        if (uv_is_active(reinterpret_cast<uv_handle_t*>(&node->handles_->check)) == 0)
            return node->wake(); // stopped: nothing is concluded any more
        node->wake_due_ = true;
        node->look_at_sockets_first();
    };
    // Never 0: libuv runs a timer that is due again at once for ever.
    uv_timer_start(&handles_->wake, on_wake, std::max<std::uint64_t>(1, static_cast<std::uint64_t>(in * 1000 + 0.999)),
                   0);
}

void Node::wake() {
    controller_.wake();
    arm();
}

void Node::tick() {
    if (on_tick_)
        on_tick_();
    const double t = controller_.timers().now();
    if (t >= next_sweep_) {
        next_sweep_ = t + 1;
        users_->sweep();
        peers_->sweep();
    }
    controller_.tick();
}

} // namespace heronshift
