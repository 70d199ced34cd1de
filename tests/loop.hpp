// A libuv event loop for tests that run in real time, and the clock that they measure with.
#pragma once

#include <uv.h>

namespace heronshift::testing {

inline double seconds() {
    return static_cast<double>(uv_hrtime()) * 1e-9;
}

// Owns an event loop; the destructor runs it until all handles are closed.
struct Loop {
    uv_loop_t loop{};
    Loop() {
        uv_loop_init(&loop);
    }
    ~Loop() {
        uv_run(&loop, UV_RUN_DEFAULT);
        uv_loop_close(&loop);
    }
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;
    void turn() {
        uv_run(&loop, UV_RUN_NOWAIT);
    }
};

} // namespace heronshift::testing
