// Functions that are to run in a later turn of a libuv loop, in order, while their owner lives; one of them
// may destroy it. From the loop's thread only.
#pragma once

#include <deque>
#include <functional>
#include <utility>
#include <uv.h>

namespace heronshift {

class LoopQueue {
public:
    explicit LoopQueue(uv_loop_t* loop) : async_(new uv_async_t) {
        uv_async_init(loop, async_, [](uv_async_t* a) {
            if (a->data == nullptr)
                return;
            for (auto list = std::exchange(static_cast<LoopQueue*>(a->data)->list_, {}); !list.empty();
                 list.pop_front())
                if (a->data != nullptr)
                    list.front()();
        });
        async_->data = this;
    }
    ~LoopQueue() {
        async_->data = nullptr;
        uv_close(reinterpret_cast<uv_handle_t*>(async_),
                 [](uv_handle_t* h) { delete reinterpret_cast<uv_async_t*>(h); });
    }
    LoopQueue(const LoopQueue&) = delete;
    LoopQueue& operator=(const LoopQueue&) = delete;

    void post(std::function<void()> callback) {
        list_.push_back(std::move(callback));
        uv_async_send(async_);
    }

private:
    std::deque<std::function<void()>> list_;
    uv_async_t* async_;
};

} // namespace heronshift
