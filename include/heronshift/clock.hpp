// Where a controller takes the time from. A program that simulates gives one of its own.
#pragma once

#include <chrono>
#include <uv.h>

namespace heronshift {

class Clock {
public:
    Clock() = default;
    virtual ~Clock() = default;
    Clock(const Clock&) = delete;
    Clock& operator=(const Clock&) = delete;
    // Seconds that never go back, from any beginning.
    [[nodiscard]] virtual double now() const {
        return static_cast<double>(uv_hrtime()) * 1e-9;
    }
    // Seconds since 1970, as far as this machine knows.
    [[nodiscard]] virtual double wall() const {
        return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
    }
};

} // namespace heronshift
