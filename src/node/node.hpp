// A controller on a libuv loop.
#pragma once

#include "heronshift/loop_handle.hpp"
#include "http.hpp"
#include "node/controller.hpp"

#include <memory>

namespace heronshift {

/// Runs a Controller on a libuv loop, with its servers, clients and timers. On the loop's thread only.
class Node {
public:
    using Parts = Controller::Parts;
    /// Parts that are missing are those of the daemon: the state service and the cloud that the settings name, the
    /// peers over HTTP, and the system's time.
    Node(uv_loop_t* loop, const Settings& settings, Parts parts);
    Node(uv_loop_t* loop, const Settings& settings) : Node(loop, settings, Parts{}) {}
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    /// Records what goes into the core, see Controller::record.
    void record(std::unique_ptr<replay::CommandLog> log) {
        controller_.record(std::move(log));
    }
    /// Listens, unless the settings name no host to listen at, and starts the controller. Returns 0 or a libuv error.
    [[nodiscard]] int start();
    /// Gives up the leadership, and listens no more.
    void stop();
    /// Does all that is due by the clock, for a program whose time does not pass by itself.
    void turn() {
        tick();
        wake();
    }
    /// A user's request from inside this process, answered as one that came over the network.
    void call(HttpRequest&& request, const Responder& res) {
        controller_.serve(std::move(request), res);
    }
    /// Calls back once on the loop, in delay_s seconds, if the node still lives.
    void after(double delay_s, std::function<void()> callback) {
        controller_.timers().after(delay_s, std::move(callback));
    }
    /// Calls back on the loop some thirty times in report_s.
    void each_tick(std::function<void()> callback) {
        on_tick_ = std::move(callback);
    }
    [[nodiscard]] store::StateStore& state() {
        return controller_.state();
    }
    /// Until when, in seconds of its clock, this node may act if it hears nothing more; 0: it may not.
    [[nodiscard]] double active_until() const {
        return controller_.active_until();
    }
    /// The port that workers and users reach, once started: the system's choice where 0 was asked for.
    [[nodiscard]] int port() const {
        return users_ ? users_->port() : 0;
    }

private:
    static Parts with_defaults(uv_loop_t* loop, const Settings& settings, Parts parts);
    [[nodiscard]] int listen();
    void start_timers();
    void look_at_sockets_first();
    void after_sockets();
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
    double next_sweep_ = 0; // of the servers, by the clock
    std::function<void()> on_tick_;
};

} // namespace heronshift
