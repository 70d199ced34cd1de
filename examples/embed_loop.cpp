// Runs the scheduler on the program's own libuv loop.
//   embed_loop SETTINGS.toml STATE.db
// Waits until it is the active leader, asks for a job that was never submitted, and exits.
#include "heronshift/embed/scheduler.hpp"

#include <iostream>
#include <memory>
#include <spdlog/spdlog.h>

namespace {

struct Program {
    std::unique_ptr<heronshift::Scheduler> scheduler;
    uv_timer_t timer{};
};

} // namespace

int main(int argc, char** argv) {
    if (argc != 3) {
        std::cerr << "usage: embed_loop SETTINGS.toml STATE.db\n";
        return 2;
    }
    uv_loop_t* loop = uv_default_loop();
    Program program;
    spdlog::set_level(spdlog::level::err); // The program chooses the log level and destination.
    try {
        heronshift::SchedulerOptions options;
        options.settings = heronshift::load_settings(argv[1]);
        options.state_file = argv[2];
        program.scheduler = std::make_unique<heronshift::Scheduler>(loop, options);
    } catch (const std::exception& e) {
        std::cerr << "embed_loop: " << e.what() << "\n";
        return 2;
    }
    uv_timer_init(loop, &program.timer);
    program.timer.data = &program;
    uv_timer_start(
        &program.timer,
        [](uv_timer_t* t) {
            auto& p = *static_cast<Program*>(t->data);
            if (!p.scheduler->is_active_leader())
                return;
            std::cout << "this copy acts\n";
            uv_close(reinterpret_cast<uv_handle_t*>(t), nullptr);
            p.scheduler->get("wk-000001", [&p](const heronshift::Reply& r) {
                std::cout << "wk-000001: " << r.status << "\n";
                p.scheduler.reset(); // Allowed inside a callback. The loop ends once all handles are closed.
            });
        },
        50, 50);
    uv_run(loop, UV_RUN_DEFAULT);
    return 0;
}
