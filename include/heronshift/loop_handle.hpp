// Ownership of a libuv handle.
#pragma once

#include <uv.h>

namespace heronshift {

/// Owns a libuv handle of type Handle (uv_tcp_t, uv_timer_t, ...). libuv goes on using a handle until a later turn of
/// its loop has run the close callback, so the handle lives on the heap and is deleted there; the owner may be gone by
/// then. A closed handle's `data` is null, for callbacks that libuv had queued already. On the loop's thread only.
template <class Handle> class LoopHandle {
public:
    LoopHandle() = default;
    ~LoopHandle() {
        close();
    }
    LoopHandle(const LoopHandle&) = delete;
    LoopHandle& operator=(const LoopHandle&) = delete;

    /// Allocates the handle. The caller initialises it with libuv (uv_tcp_init, ...) before anything else happens to
    /// it.
    Handle* create() {
        close();
        handle_ = new Handle{};
        return handle_;
    }
    /// Closes the handle, if there is one; it calls back no more.
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

/// A TCP handle as the stream that it is.
[[nodiscard]] inline uv_stream_t* as_stream(uv_tcp_t* tcp) {
    return reinterpret_cast<uv_stream_t*>(tcp);
}

} // namespace heronshift
