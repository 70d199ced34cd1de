// Ownership of a libuv handle.
#pragma once

#include <uv.h>

namespace heronshift {

/// Owns a libuv handle of type Handle (uv_tcp_t, uv_timer_t, ...). libuv uses a handle until its close callback has
/// run, in a later iteration of the loop. So the handle is allocated on the heap and deleted in that callback, when the
/// owner may already have been destroyed. close() sets the handle's `data` to null, by which callbacks that libuv had
/// already queued can tell that the handle is closed. To be used on the loop's thread only.
template <class Handle> class LoopHandle {
public:
    LoopHandle() = default;
    ~LoopHandle() {
        close();
    }
    LoopHandle(const LoopHandle&) = delete;
    LoopHandle& operator=(const LoopHandle&) = delete;

    /// Allocates a handle, after closing an earlier one. The caller must initialise it with libuv (uv_tcp_init, ...)
    /// before any other use.
    Handle* create() {
        close();
        handle_ = new Handle{};
        return handle_;
    }
    /// Closes the handle, if there is one. Its `data` is null from then on.
    void close() {
        if (handle_ == nullptr)
            return;
        handle_->data = nullptr;
        uv_close(reinterpret_cast<uv_handle_t*>(handle_),
                 [](uv_handle_t* closed) { delete reinterpret_cast<Handle*>(closed); });
        handle_ = nullptr;
    }
    /// The handle; null before create() and after close().
    [[nodiscard]] Handle* get() const {
        return handle_;
    }
    [[nodiscard]] explicit operator bool() const {
        return handle_ != nullptr;
    }

private:
    Handle* handle_ = nullptr;
};

/// Casts a TCP handle to its base type, a stream handle.
[[nodiscard]] inline uv_stream_t* as_stream(uv_tcp_t* tcp) {
    return reinterpret_cast<uv_stream_t*>(tcp);
}

} // namespace heronshift
