// Functions that are to run at a later time, for parts that have no loop of their own: whoever drives
// them asks when the next is due and runs what is.
#pragma once

#include "heronshift/clock.hpp"

#include <algorithm>
#include <functional>
#include <limits>
#include <memory>
#include <utility>
#include <vector>

namespace heronshift {

class TimerQueue {
public:
    explicit TimerQueue(std::shared_ptr<const Clock> clock) : clock_(std::move(clock)) {}

    void after(double delay_s, std::function<void()> callback) {
        list_.push_back({clock_->now() + delay_s, std::move(callback)});
        if (on_change)
            on_change();
    }
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
    [[nodiscard]] double next_at() const {
        double at = std::numeric_limits<double>::infinity();
        for (const auto& entry : list_)
            at = std::min(at, entry.at);
        return at;
    }
    [[nodiscard]] double now() const {
        return clock_->now();
    }
    [[nodiscard]] double wall() const { // seconds since 1970
        return clock_->wall();
    }
    std::function<void()> on_change; // something may be due sooner

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
