// A controller on a libuv loop: its servers, clients and timers.
#pragma once

#include "heronshift/http.hpp"
#include "heronshift/node/controller.hpp"

#include <memory>

namespace heronshift {

class Node {
public:
    // What is left out is the daemon's: the state service and the cloud that the settings name, the peers
    // over HTTP, and the system's time.
    using Parts = Controller::Parts;
    Node(uv_loop_t* loop, const Settings& settings, Parts parts);
    Node(uv_loop_t* loop, const Settings& settings) : Node(loop, settings, Parts{}) {}
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    void record(std::unique_ptr<replay::CommandLog> log) {
        controller_.record(std::move(log));
    }
    // Listens, unless the settings name no host to listen at. 0 or a libuv error.
    int start();
    void stop();
    // All that is due by the clock: for one whose time does not pass by itself.
    void turn() {
        tick();
        wake();
    }
    // A user's request from inside this process, answered as one that came over the network.
    void call(HttpRequest&& request, Responder res) {
        controller_.serve(std::move(request), std::move(res));
    }
    void after(double delay_s, std::function<void()> callback) { // on the loop, while the node lives
        controller_.timers().after(delay_s, std::move(callback));
    }
    void each_tick(std::function<void()> callback) { // some thirty times in report_s
        on_tick_ = std::move(callback);
    }
    [[nodiscard]] store::StateStore& state() {
        return controller_.state();
    }
    // Until when, by its clock, this node may act if it hears nothing more; 0: it may not.
    [[nodiscard]] double active_until() const {
        return controller_.active_until();
    }
    // The port that workers and users reach, once started: the system's choice where 0 was asked for.
    [[nodiscard]] int port() const {
        return users_ ? users_->port() : 0;
    }

private:
    static Parts whole(uv_loop_t* loop, const Settings& settings, Parts parts);
    void start_timers();
    void look_at_sockets_first();
    void after_sockets();
    void arm();
    void tick();
    void wake();

    uv_loop_t* loop_;
    Controller controller_;
    // Outlives the node by a moment: libuv closes handles in a later turn of the loop.
    struct Handles {
        uv_timer_t tick{}, wake{};
        uv_idle_t idle{};
        uv_check_t check{};
        int open = 0;
    };
    Handles* handles_ = nullptr;
    bool tick_due_ = false, wake_due_ = false;
    std::unique_ptr<HttpServer> users_, peers_;
    double next_sweep_ = 0;
    std::function<void()> on_tick_;
};

} // namespace heronshift
