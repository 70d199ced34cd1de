/// @file
/// Infers whether the other end of a link can be reached from the requests over it that succeeded and failed. No clock
/// and no I/O: the caller passes all times, in seconds on the node's monotonic clock. Not thread-safe.
#pragma once

#include <cstdint>
#include <optional>

namespace heronshift::membership {

/// The inferred state of a link.
enum class Reachability : std::uint8_t { unknown, reachable, unreachable };

/// When a link changes between reachable and unreachable.
struct FailureThresholds {
    /// How long ago the last success must be before the link counts as lost, in seconds; without any success, the first
    /// failure.
    double min_outage_s = 0;
    /// How many consecutive failures are required in addition.
    int min_failures = 1;
    /// How long a lost link must work without a failure before it counts as reachable again, in seconds.
    double min_recovery_s = 0;
};

/// The state of one link, updated with the result of each request over it.
class LinkHealth {
public:
    /// The link's state is unknown at first.
    explicit LinkHealth(FailureThresholds thresholds) : thresholds_(thresholds) {}

    /// Records a successful request. Returns true if it made a lost link reachable again.
    bool record_success(double now);
    /// Records a failed request. Returns true if it made the link unreachable.
    bool record_failure(double now);

    [[nodiscard]] Reachability reach() const {
        return reachability_;
    }
    [[nodiscard]] bool lost() const {
        return reachability_ == Reachability::unreachable;
    }
    /// The time of the last success; empty if there was none.
    [[nodiscard]] std::optional<double> succeeded_at() const {
        return succeeded_at_;
    }
    /// The time of the last failure; empty if there was none.
    [[nodiscard]] std::optional<double> failed_at() const {
        return failed_at_;
    }
    /// The time of the first of the latest consecutive failures. Never empty while the link is lost, and meaningful
    /// only then.
    [[nodiscard]] std::optional<double> failing_since() const {
        return failing_since_;
    }

private:
    FailureThresholds thresholds_;
    Reachability reachability_ = Reachability::unknown;
    std::optional<double> succeeded_at_, failed_at_;
    // The times of the first of the latest consecutive failures and of the first of the latest consecutive successes.
    std::optional<double> failing_since_, succeeding_since_;
    int failures_in_row_ = 0;
};

} // namespace heronshift::membership
