// A timer that repeats on a libuv loop for as long as its owner lives.
#pragma once

#include <cstdint>
#include <functional>
#include <utility>
#include <uv.h>

namespace heronshift {

class LoopTimer {
public:
    LoopTimer() = default;
    ~LoopTimer() {
        if (timer_ == nullptr)
            return;
        timer_->data = nullptr;
        uv_close(reinterpret_cast<uv_handle_t*>(timer_),
                 [](uv_handle_t* h) { delete reinterpret_cast<uv_timer_t*>(h); });
    }
    LoopTimer(const LoopTimer&) = delete;
    LoopTimer& operator=(const LoopTimer&) = delete;

    // Once. Returns 0 or a libuv error.
    int start(uv_loop_t* loop, std::uint64_t every_ms, std::function<void()> callback) {
        callback_ = std::move(callback);
        timer_ = new uv_timer_t;
        uv_timer_init(loop, timer_);
        timer_->data = this;
        return uv_timer_start(
            timer_,
            [](uv_timer_t* t) {
                if (t->data != nullptr)
                    static_cast<LoopTimer*>(t->data)->callback_();
            },
            every_ms, every_ms);
    }

private:
    uv_timer_t* timer_ = nullptr;
    std::function<void()> callback_;
};

} // namespace heronshift
