// Whether something can be reached, told from what worked and what failed. No clock and no I/O.
#pragma once

#include <cstdint>

namespace heronshift::membership {

enum class Reachability : std::uint8_t { unknown, reachable, unreachable };

// How much it takes to think otherwise; times in seconds.
struct FailureThresholds {
    double lost_s = 0; // since it last worked, before it is thought lost
    int failures = 1;  // in a row, besides
    double back_s = 0; // without a failure, before it is thought to work again
};

class LinkHealth {
public:
    explicit LinkHealth(FailureThresholds thresholds) : thresholds_(thresholds) {}

    // Each returns true if that changed what is thought of it.
    bool worked(double now);
    bool failed(double now);

    [[nodiscard]] Reachability reach() const {
        return reach_;
    }
    [[nodiscard]] bool lost() const {
        return reach_ == Reachability::unreachable;
    }
    [[nodiscard]] double worked_at() const { // below zero: never
        return worked_at_;
    }
    [[nodiscard]] double failed_at() const {
        return failed_at_;
    }
    // Since when every attempt has failed; meaningful while it is lost.
    [[nodiscard]] double failing_since() const {
        return first_failed_;
    }

private:
    FailureThresholds thresholds_;
    Reachability reach_ = Reachability::unknown;
    double worked_at_ = -1, failed_at_ = -1, first_failed_ = -1, back_since_ = -1;
    int failures_ = 0;
};

} // namespace heronshift::membership
