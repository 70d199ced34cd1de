// A repeating timer on a libuv loop.
#pragma once

#include "heronshift/loop_handle.hpp"

#include <cstdint>
#include <functional>
#include <utility>
#include <uv.h>

namespace heronshift {

/// Calls a function at a fixed interval until the timer is destroyed. Used on the loop's thread only.
class LoopTimer {
public:
    /// To be called once. The first call of `callback` comes after one interval. Returns 0 or a libuv error.
    int start(uv_loop_t* loop, std::uint64_t interval_ms, std::function<void()> callback) {
        callback_ = std::move(callback);
        auto* timer = timer_.create();
        uv_timer_init(loop, timer);
        timer->data = this;
        return uv_timer_start(
            timer,
            [](uv_timer_t* t) {
                if (t->data != nullptr)
                    static_cast<LoopTimer*>(t->data)->callback_();
            },
            interval_ms, interval_ms);
    }

private:
    LoopHandle<uv_timer_t> timer_;
    std::function<void()> callback_;
};

} // namespace heronshift
