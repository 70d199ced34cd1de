#include "local/emulator.hpp"

#include "heronshift/codec.hpp"
#include "store/server.hpp"

#include <charconv>
#include <csignal>
#include <fmt/format.h>
#include <iostream>

namespace heronshift::local {
namespace {

// A libuv loop that runs until SIGINT or SIGTERM. The destructor closes all handles.
class ServiceLoop {
public:
    ServiceLoop() {
        std::signal(SIGPIPE, SIG_IGN);
        uv_loop_init(&loop);
        for (std::size_t i = 0; i < 2; ++i) {
            uv_signal_init(&loop, &signals_[i]);
            uv_signal_start(
                &signals_[i], [](uv_signal_t* s, int) { uv_stop(s->loop); }, i == 0 ? SIGINT : SIGTERM);
        }
    }
    ~ServiceLoop() {
        for (auto& s : signals_)
            uv_close(reinterpret_cast<uv_handle_t*>(&s), nullptr);
        uv_run(&loop, UV_RUN_DEFAULT);
        uv_loop_close(&loop);
    }
    ServiceLoop(const ServiceLoop&) = delete;
    ServiceLoop& operator=(const ServiceLoop&) = delete;
    int serve(const char* what, int listening, int port) {
        if (listening != 0) {
            std::cerr << fmt::format("heronshift stand-in: {}: cannot listen: {}\n", what, uv_strerror(listening));
            return 2;
        }
        std::cerr << fmt::format("{} listening on 127.0.0.1:{}\n", what, port);
        uv_run(&loop, UV_RUN_DEFAULT);
        return 0;
    }
    uv_loop_t loop{};

private:
    uv_signal_t signals_[2]{};
};

} // namespace

std::vector<MachineType> default_machine_types() {
    return {{"m8", {8, 0, 32}, 20, 2, 1.0, 0.3, 1, {"a", "b"}}, {"m16", {16, 0, 64}, 40, 2, 2.1, 0.7, 2, {"a", "b"}}};
}

JobSpec substitute_job(const std::string& id) {
    JobSpec any;
    any.id = id;
    any.tasks = codec::max_tasks;
    any.spot = true;
    any.estimate_s = 1;
    return any;
}

Endpoint parse_address(const std::string& text) {
    const auto colon = text.rfind(':');
    int port = -1;
    const auto* end = text.data() + text.size();
    const auto* from = colon == std::string::npos ? end : text.data() + colon + 1;
    const bool is_number = std::from_chars(from, end, port).ptr == end;
    if (colon == std::string::npos || colon == 0 || !is_number || port < 0 || port > 65535)
        throw SettingsError(text + ": must be ADDRESS:PORT");
    return {text.substr(0, colon), port};
}

int run_state(const Endpoint& listen, const store::Limits& limits) {
    ServiceLoop service_loop;
    store::StoreServer server(&service_loop.loop, std::make_unique<store::Engine>(store::memory_data(), limits));
    const int e = server.start(listen);
    return service_loop.serve("state service", e, server.port());
}

int run_cloud(const Endpoint& listen, PlatformPlan plan) {
    ServiceLoop service_loop;
    if (plan.types.empty())
        plan.types = default_machine_types();
    History history({}, plan.workers.lease_s * 2);
    Platform platform(&service_loop.loop, std::move(plan), history);
    platform.ask = substitute_job;
    const int e = platform.start(listen);
    return service_loop.serve("cloud", e, platform.port());
}

} // namespace heronshift::local
