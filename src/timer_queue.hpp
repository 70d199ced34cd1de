// Timers for components that do not have access to the event loop.
#pragma once

#include "heronshift/clock.hpp"

#include <algorithm>
#include <functional>
#include <limits>
#include <memory>
#include <utility>
#include <vector>

namespace heronshift {

/// Functions to be called at a later time. The queue starts no thread and never blocks: its owner asks next_at() when
/// the next function is due and calls run() then. Times are in seconds. Not synchronised: used on the loop's thread
/// only.
class TimerQueue {
public:
    explicit TimerQueue(std::shared_ptr<const Clock> clock) : clock_(std::move(clock)) {}

    /// Schedules `callback` to be called once, by run(), `delay_s` from now.
    void after(double delay_s, std::function<void()> callback) {
        timers_.push_back({clock_->now() + delay_s, std::move(callback)});
        if (on_change)
            on_change();
    }
    /// Calls the functions that are due or will be within half a millisecond. Functions that are added by a callback
    /// are not called before the next run().
    void run() {
        std::vector<Entry> due;
        const double t = clock_->now() + timer_tolerance_s;
        for (std::size_t i = 0; i < timers_.size();) {
            if (timers_[i].at > t) {
                ++i;
                continue;
            }
            due.push_back(std::move(timers_[i]));
            timers_[i] = std::move(timers_.back());
            timers_.pop_back();
        }
        for (auto& entry : due)
            entry.callback();
    }
    /// When the next function is due, on the clock of now(); infinity if the queue is empty.
    [[nodiscard]] double next_at() const {
        double at = std::numeric_limits<double>::infinity();
        for (const auto& entry : timers_)
            at = std::min(at, entry.at);
        return at;
    }
    /// The time of the steady clock.
    [[nodiscard]] double now() const {
        return clock_->now();
    }
    /// The time of the wall clock: seconds since 1970.
    [[nodiscard]] double wall() const {
        return clock_->wall();
    }
    /// Called when next_at() may have become earlier.
    std::function<void()> on_change;

private:
    // The loop's timers have a resolution of one millisecond and may fire slightly before a function is due.
    static constexpr double timer_tolerance_s = 0.0005;
    struct Entry {
        double at;
        std::function<void()> callback;
    };
    std::shared_ptr<const Clock> clock_;
    std::vector<Entry> timers_;
};

} // namespace heronshift
