// Tasks that wait before their next attempt, since they failed on several machines.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace heronshift::cluster {

/// Tasks in the order in which their next attempts are due. Times are in seconds of the steady clock.
class RetryQueue {
public:
    struct Retry {
        std::string job;
        std::uint32_t index = 0;
    };

    void add(std::string job, std::uint32_t index, double due_at) {
        retries_.emplace(due_at, Retry{std::move(job), index});
    }
    /// Removes and returns the next task whose attempt is due at `now`; none if there is no such task.
    [[nodiscard]] std::optional<Retry> take_due(double now) {
        if (retries_.empty() || retries_.begin()->first > now)
            return {};
        return std::move(retries_.extract(retries_.begin()).mapped());
    }

private:
    std::multimap<double, Retry> retries_; // by the time at which they are due
};

} // namespace heronshift::cluster
