/// @file
/// Whether something can be reached, concluded from the requests to it that succeeded and failed. No clock and no I/O:
/// times are seconds on the node's monotonic clock and are passed in. Not thread-safe.
#pragma once

#include <cstdint>
#include <optional>

namespace heronshift::membership {

/// What is concluded about a link.
enum class Reachability : std::uint8_t { unknown, reachable, unreachable };

/// How much evidence it takes to change a conclusion.
struct FailureThresholds {
    /// How long the last success must be ago before the link is taken for lost, in seconds.
    double min_outage_s = 0;
    /// Failures in a row that it takes besides.
    int min_failures = 1;
    /// How long a lost link must work without a failure before it is taken for working again, in seconds.
    double min_recovery_s = 0;
};

/// The state of one link.
class LinkHealth {
public:
    /// A link about which nothing is known yet.
    explicit LinkHealth(FailureThresholds thresholds) : thresholds_(thresholds) {}

    /// Counts a success; true if that made a lost link reachable again.
    bool record_success(double now);
    /// Counts a failure; true if that made the link unreachable.
    bool record_failure(double now);

    /// The conclusion.
    [[nodiscard]] Reachability reach() const {
        return reach_;
    }
    /// Whether the link is taken for unreachable.
    [[nodiscard]] bool lost() const {
        return reach_ == Reachability::unreachable;
    }
    /// The time of the last success; none: never.
    [[nodiscard]] std::optional<double> succeeded_at() const {
        return succeeded_at_;
    }
    /// The time of the last failure; none: never.
    [[nodiscard]] std::optional<double> failed_at() const {
        return failed_at_;
    }
    /// Since when every attempt has failed; meaningful, and there, only while the link is lost.
    [[nodiscard]] std::optional<double> failing_since() const {
        return failing_since_;
    }

private:
    FailureThresholds thresholds_;
    Reachability reach_ = Reachability::unknown;
    std::optional<double> succeeded_at_, failed_at_;
    std::optional<double> failing_since_, succeeding_since_; // the first of the failures, of the successes in a row
    int failures_in_row_ = 0;
};

} // namespace heronshift::membership
