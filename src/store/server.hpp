// an emulator of the state service: an engine behind HTTP on loopback, for tests, tries and scripts.
// Faults can be played: an outage (503) or silence, for everybody.
#pragma once

#include "heronshift/store/direct.hpp"
#include "http.hpp"
#include "loop_timer.hpp"

namespace heronshift::store {

class StoreServer {
public:
    enum class FaultMode : std::uint8_t { well, out, busy, silent }; // 503, 429, no answer
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
    // When an outage ends, all leases have their full time again.
    void set_fault_mode(FaultMode m);
    void poll(); // answers who waits for a change; start() sees to it
    [[nodiscard]] std::uint64_t requests() const {
        return requests_;
    }

private:
    void handle(HttpRequest&& request, const Responder& res);
    uv_loop_t* loop_;
    DirectStore store_;
    HttpServer server_;
    std::vector<Responder> unanswered_;
    FaultMode fault_mode_ = FaultMode::well;
    std::uint64_t requests_ = 0, polls_ = 0;
    LoopTimer timer_;
};

} // namespace heronshift::store
