// Timers for parts that have no loop of their own.
#pragma once

#include "heronshift/clock.hpp"

#include <algorithm>
#include <functional>
#include <limits>
#include <memory>
#include <utility>
#include <vector>

namespace heronshift {

/// Functions that are to run at a later time. Whoever drives the queue asks when the next is due and runs what is; it
/// starts no thread and waits for nothing. Times are seconds. Not synchronised: on the loop's thread only.
class TimerQueue {
public:
    explicit TimerQueue(std::shared_ptr<const Clock> clock) : clock_(std::move(clock)) {}

    /// Calls back once, by run(), delay_s from now.
    void after(double delay_s, std::function<void()> callback) {
        list_.push_back({clock_->now() + delay_s, std::move(callback)});
        if (on_change)
            on_change();
    }
    /// Calls what is due, also what the clock will make due within half a millisecond. What a callback adds waits for
    /// the next call.
    void run() {
        std::vector<Entry> due;
        const double t = clock_->now() + timer_s;
        for (std::size_t i = 0; i < list_.size();) {
            if (list_[i].at > t) {
                ++i;
                continue;
            }
            due.push_back(std::move(list_[i]));
            list_[i] = std::move(list_.back());
            list_.pop_back();
        }
        for (auto& entry : due)
            entry.f();
    }
    /// When the next is due, by now(); infinity: there is none.
    [[nodiscard]] double next_at() const {
        double at = std::numeric_limits<double>::infinity();
        for (const auto& entry : list_)
            at = std::min(at, entry.at);
        return at;
    }
    /// The steady clock.
    [[nodiscard]] double now() const {
        return clock_->now();
    }
    /// The wall clock: seconds since 1970.
    [[nodiscard]] double wall() const {
        return clock_->wall();
    }
    /// Called when next_at() may have become sooner.
    std::function<void()> on_change;

private:
    static constexpr double timer_s = 0.0005; // timers fire in steps
    struct Entry {
        double at;
        std::function<void()> f;
    };
    std::shared_ptr<const Clock> clock_;
    std::vector<Entry> list_;
};

} // namespace heronshift
