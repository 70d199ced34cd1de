/// @file
/// The clock that a controller reads. A program that simulates time supplies a Clock of its own.
#pragma once

#include <chrono>
#include <uv.h>

namespace heronshift {

/// A source of time; this class reads the system's clocks. Its functions are called on the thread of the scheduler's
/// loop, and by Scheduler::acts() on the thread of its caller, which may be any. They must not throw.
class Clock {
public:
    Clock() = default;
    virtual ~Clock() = default;
    Clock(const Clock&) = delete;
    Clock& operator=(const Clock&) = delete;
    /// The monotonic clock, in seconds since an arbitrary point in time. It never goes back.
    [[nodiscard]] virtual double now() const {
        return static_cast<double>(uv_hrtime()) * 1e-9;
    }
    /// The wall clock, in seconds since 1970-01-01 UTC. It may jump, and may differ from that of other machines.
    [[nodiscard]] virtual double wall() const {
        return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
    }
};

} // namespace heronshift
