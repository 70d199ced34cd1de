// An emulator of the state service, for tests, experiments and scripts: an engine served over HTTP on loopback. It can
// simulate faults, which affect all clients.
#pragma once

#include "heronshift/store/direct.hpp"
#include "http.hpp"
#include "loop_timer.hpp"

namespace heronshift::store {

class StoreServer {
public:
    // How requests are treated: `none` serves them, `out` answers 503, `rate_limited` answers 429, `silent` does not
    // answer.
    enum class FaultMode : std::uint8_t { none, unavailable, rate_limited, silent };
    StoreServer(uv_loop_t* loop, std::unique_ptr<Engine> engine);
    StoreServer(const StoreServer&) = delete;
    StoreServer& operator=(const StoreServer&) = delete;

    int start(const Endpoint& at); // 0 or a libuv error
    [[nodiscard]] int port() const {
        return server_.port();
    }
    [[nodiscard]] Engine& engine() {
        return store_.engine();
    }
    // When a fault ends (the mode becomes `none`), all leases get their full time again.
    void set_fault_mode(FaultMode m);
    void poll(); // answers follows whose keys have changed or whose time is over; start() calls it periodically
    // Replaces the responder of a request before the request is handled, for further faults.
    using Interceptor = std::function<Responder(const HttpRequest&, const Responder&)>;
    void set_interceptor(Interceptor interceptor) {
        interceptor_ = std::move(interceptor);
    }
    // Handles a request as if it had just arrived; not passed to the interceptor.
    void handle(HttpRequest&& request, const Responder& responder);
    [[nodiscard]] std::uint64_t requests() const {
        return requests_;
    }

private:
    uv_loop_t* loop_;
    DirectStore store_;
    HttpServer server_;
    std::vector<Responder> unanswered_;
    Interceptor interceptor_;
    FaultMode fault_mode_ = FaultMode::none;
    std::uint64_t requests_ = 0, polls_ = 0;
    LoopTimer timer_;
};

} // namespace heronshift::store
