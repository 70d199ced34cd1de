#include "write_report.hpp"

#include "persistence/layout.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace heronshift::persistence {
namespace {

// The shortest time between two log lines of the same kind.
constexpr double min_log_interval_s = 1;

const char* name_of(TxnOutcome outcome) {
    switch (outcome) {
    case TxnOutcome::applied:
        return "applied";
    case TxnOutcome::refused:
        return "refused";
    case TxnOutcome::too_large:
        return "too large";
    case TxnOutcome::leadership_lost:
        return "leadership lost";
    }
    return "";
}

} // namespace

void WriteReport::sent(const Commit& commit, double now) {
    for (const auto& write : commit.writes)
        ++writes_by_prefix_[write.key.substr(0, job_prefix.size() - 1)];
    last_write_count_ = commit.writes.size();
    sent_at_ = now;
    last_outcome_ = "under way";
}

std::optional<std::string> WriteReport::answered(TxnOutcome outcome, double now) {
    last_outcome_ = name_of(outcome);
    ++transactions_by_outcome_[last_outcome_];
    if (outcome == TxnOutcome::applied)
        return {};
    ++unlogged_failures_;
    if (now < failure_logged_at_ + min_log_interval_s)
        return {};
    failure_logged_at_ = now;
    return fmt::format("transaction not applied: {} changes, {} after {:.2f} s, {} such since the last line",
                       last_write_count_, last_outcome_, now - sent_at_, std::exchange(unlogged_failures_, 0));
}

std::optional<std::string> WriteReport::overdue_records(const std::vector<Backlog>& backlogs, double now) {
    const bool late = std::any_of(backlogs.begin(), backlogs.end(),
                                  [this](const Backlog& backlog) { return backlog.oldest_age_s > max_wait_s_; });
    if (!late || now < overdue_logged_at_ + min_log_interval_s)
        return {};
    overdue_logged_at_ = now;
    std::string waiting;
    for (const auto& backlog : backlogs)
        if (backlog.count > 0)
            waiting += fmt::format("{}={} oldest_s={:.1f} ", backlog.kind, backlog.count, backlog.oldest_age_s);
    return fmt::format("records wait for the store: {}last transaction: {} changes, {}", waiting, last_write_count_,
                       last_outcome_);
}

std::vector<metrics::Value> WriteReport::metrics() const {
    std::vector<metrics::Value> values;
    for (const auto& [prefix, count] : writes_by_prefix_)
        values.push_back({"heronshift_changes_total",
                          "sent to the store in this term, by prefix of the key",
                          static_cast<double>(count),
                          {{"prefix", prefix}}});
    for (const auto& [outcome, count] : transactions_by_outcome_)
        values.push_back({"heronshift_transactions_total",
                          "of this term, by outcome",
                          static_cast<double>(count),
                          {{"outcome", outcome}}});
    return values;
}

std::vector<metrics::Value> metrics_of(const std::vector<Backlog>& backlogs) {
    std::vector<metrics::Value> values;
    for (const auto& backlog : backlogs)
        values.push_back({"heronshift_unstored_records",
                          "that wait for the store, by kind",
                          static_cast<double>(backlog.count),
                          {{"kind", backlog.kind}}});
    for (const auto& backlog : backlogs)
        values.push_back({"heronshift_unstored_oldest_seconds",
                          "since the oldest of them was due, by kind",
                          backlog.oldest_age_s,
                          {{"kind", backlog.kind}}});
    return values;
}

} // namespace heronshift::persistence
