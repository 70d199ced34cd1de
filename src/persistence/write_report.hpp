/// What the leader writes to the store and what comes of it, counted for metrics and told in the log.
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

/// Follows the one transaction that is under way at a time. Says in the log, at most once a second each, that records
/// wait for longer than they should and that a transaction was not applied. Times are seconds of the steady clock.
class WriteReport {
public:
    /// @param late_s records that wait for longer are worth a line in the log
    explicit WriteReport(double late_s) : late_s_(late_s) {}

    void sent(const Commit& commit, double now);
    /// The transaction sent last has an outcome.
    /// @return a line for the log, if it was not applied and none was told for a second
    [[nodiscard]] std::optional<std::string> answered(TxnOutcome outcome, double now);
    /// @return a line for the log, if some of these wait for too long and none was told for a second
    [[nodiscard]] std::optional<std::string> late_records(const std::vector<Backlog>& backlogs, double now);
    /// Changes by kind of record and transactions by outcome.
    [[nodiscard]] std::vector<metrics::Value> metrics() const;

private:
    double late_s_;
    std::map<std::string, std::uint64_t> changes_;      // by the prefix of their key
    std::map<std::string, std::uint64_t> transactions_; // by outcome
    std::size_t last_size_ = 0;                         // changes of the transaction sent last
    double sent_at_ = 0;
    std::string last_outcome_ = "none sent";
    std::uint64_t untold_failures_ = 0;
    double failure_told_at_ = -1e18, late_told_at_ = -1e18;
};

/// The backlogs as gauges.
[[nodiscard]] std::vector<metrics::Value> metrics_of(const std::vector<Backlog>& backlogs);

} // namespace heronshift::persistence
