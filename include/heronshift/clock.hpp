/// @file
/// Where a controller takes the time from. A program that simulates gives one of its own.
#pragma once

#include <chrono>
#include <uv.h>

namespace heronshift {

/// A source of time, by default the machine's clocks. Called on the thread of the scheduler's loop, and with
/// Scheduler::acts() on any thread. Throws nothing.
class Clock {
public:
    Clock() = default;
    virtual ~Clock() = default;
    Clock(const Clock&) = delete;
    Clock& operator=(const Clock&) = delete;
    /// The steady time: seconds that never go back, from any beginning.
    [[nodiscard]] virtual double now() const {
        return static_cast<double>(uv_hrtime()) * 1e-9;
    }
    /// The wall clock: seconds since 1970, as far as this machine knows. It may jump.
    [[nodiscard]] virtual double wall() const {
        return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
    }
};

} // namespace heronshift
