// A queue of functions that run in a later iteration of a libuv loop.
#pragma once

#include "heronshift/loop_handle.hpp"

#include <deque>
#include <functional>
#include <utility>
#include <uv.h>

namespace heronshift {

/// Runs functions in a later iteration of the loop, in the order in which they were posted. Functions that have not run
/// when the queue is destroyed are dropped; a function may destroy the queue itself. To be used on the loop's thread
/// only.
class LoopQueue {
public:
    explicit LoopQueue(uv_loop_t* loop) {
        auto* async = async_.create();
        uv_async_init(loop, async, run);
        async->data = this;
    }

    void post(std::function<void()> callback) {
        list_.push_back(std::move(callback));
        uv_async_send(async_.get());
    }

private:
    static void run(uv_async_t* async) {
        if (async->data == nullptr)
            return;
        for (auto list = std::exchange(static_cast<LoopQueue*>(async->data)->list_, {}); !list.empty();
             list.pop_front())
            if (async->data != nullptr)
                list.front()();
    }

    std::deque<std::function<void()>> list_;
    LoopHandle<uv_async_t> async_;
};

} // namespace heronshift
