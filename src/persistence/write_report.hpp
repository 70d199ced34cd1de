/// Metrics and log lines about the leader's writes to the store and their outcomes.
#pragma once

#include "backlog.hpp"
#include "heronshift/messages.hpp"
#include "metrics/metrics.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heronshift::persistence {

/// Counts writes and transactions. There is at most one transaction in flight at a time. Provides log lines about
/// records that have been due for too long and about transactions that were not applied, each at most once a second.
/// Times are in seconds, by the steady clock.
class WriteReport {
public:
    /// @param max_wait_s records that have been due for longer than this are logged
    explicit WriteReport(double max_wait_s) : max_wait_s_(max_wait_s) {}

    void sent(const Commit& commit, double now);
    /// To be called with the outcome of the transaction that was sent last.
    /// @return a log line if the transaction was not applied and the last such line was at least a second ago
    [[nodiscard]] std::optional<std::string> answered(TxnOutcome outcome, double now);
    /// @return a log line if records have been due for too long and the last such line was at least a second ago
    [[nodiscard]] std::optional<std::string> overdue_records(const std::vector<Backlog>& backlogs, double now);
    /// The number of writes by key prefix and of transactions by outcome.
    [[nodiscard]] std::vector<metrics::Value> metrics() const;

private:
    double max_wait_s_;
    std::map<std::string, std::uint64_t> writes_by_prefix_;        // The number of writes by key prefix.
    std::map<std::string, std::uint64_t> transactions_by_outcome_; // The number of transactions by outcome.
    std::size_t last_write_count_ = 0;                             // The number of writes in the transaction sent last.
    double sent_at_ = 0;
    std::string last_outcome_ = "none sent";
    std::uint64_t unlogged_failures_ = 0;
    double failure_logged_at_ = -1e18, overdue_logged_at_ = -1e18;
};

/// Returns the backlogs as gauges.
[[nodiscard]] std::vector<metrics::Value> metrics_of(const std::vector<Backlog>& backlogs);

} // namespace heronshift::persistence
