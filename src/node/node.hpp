// Runs a controller on a libuv loop.
#pragma once

#include "heronshift/loop_handle.hpp"
#include "http.hpp"
#include "node/controller.hpp"

#include <memory>

namespace heronshift {

/// A Controller on a libuv loop, with its servers, clients and timers. To be used on the loop's thread only.
class Node {
public:
    using Parts = Controller::Parts;
    /// Parts that are null are replaced by those of the daemon: clients of the state service, the cloud and the peers
    /// at the addresses in `settings`, and the system clock.
    Node(uv_loop_t* loop, const Settings& settings, Parts parts);
    Node(uv_loop_t* loop, const Settings& settings) : Node(loop, settings, Parts{}) {}
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    /// Records the commands that go into the core, see Controller::record().
    void record(std::unique_ptr<replay::CommandLog> log) {
        controller_.record(std::move(log));
    }
    /// Listens at each address in the settings whose host is not empty, and starts the controller. Returns 0 or a libuv
    /// error.
    [[nodiscard]] int start();
    /// Gives up the leadership and stops listening.
    void stop();
    /// Does all work that is due by the clock. For programs that advance the clock themselves.
    void turn() {
        tick();
        wake();
    }
    /// Handles a user's request from inside this process like one from the network.
    void call(HttpRequest&& request, const Responder& res) {
        controller_.serve(std::move(request), res);
    }
    /// Calls back once on the loop after `delay_s` seconds, unless the node is destroyed before.
    void after(double delay_s, std::function<void()> callback) {
        controller_.timers().after(delay_s, std::move(callback));
    }
    /// Sets a function that is called on the loop about thirty times per report_s.
    void set_tick_callback(std::function<void()> callback) {
        on_tick_ = std::move(callback);
    }
    [[nodiscard]] store::StateStore& state() {
        return controller_.state();
    }
    /// Until when, in seconds of its clock, this node may act as leader unless its validity is extended further; 0: it
    /// may not.
    [[nodiscard]] double active_until() const {
        return controller_.active_until();
    }
    /// The port where this node listens for workers and users; chosen by the system if the settings have port 0. 0
    /// before start().
    [[nodiscard]] int port() const {
        return users_ ? users_->port() : 0;
    }

private:
    static Parts with_defaults(uv_loop_t* loop, const Settings& settings, Parts parts);
    [[nodiscard]] int listen();
    void start_timers();
    void poll_sockets_first();
    void after_socket_poll();
    void arm_wake_timer();
    void tick();
    void wake();

    uv_loop_t* loop_;
    Controller controller_;
    LoopHandle<uv_timer_t> tick_timer_, wake_timer_;
    LoopHandle<uv_idle_t> idle_;
    LoopHandle<uv_check_t> check_;
    bool tick_due_ = false, wake_due_ = false;
    std::unique_ptr<HttpServer> users_, peers_;
    double next_server_sweep_at_ = 0; // when the servers are swept next, in seconds of the clock
    std::function<void()> on_tick_;
};

} // namespace heronshift
