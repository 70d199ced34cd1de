// Builds transactions from the writes of all kinds of records and processes their outcomes.
#include "persistence/cluster_records.hpp"

#include "record_kinds.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace heronshift {

using cluster::Entry;
using cluster::Job;

namespace {

// The share of the longest value that the store accepts; the rest is for field names and quoting.
constexpr double max_record_share = 0.92;
constexpr double bytes_per_kib = 1024;

// The leader's share of the store's write budget. The rest is left for submissions, which all nodes write.
constexpr double leader_write_share = 0.7, leader_write_share_while_cancelling = 0.85;
// Unused write budget accumulates up to the writes of `max_saved_budget_s` seconds, but at least up to
// `min_saved_writes_cap`.
constexpr double max_saved_budget_s = 0.5, min_saved_writes_cap = 4;
// The write budget that has to accumulate before a transaction is built. One of these writes is the term counter, which
// every transaction updates as its guard.
constexpr double min_budget_to_commit = 5;

constexpr double backlog_check_interval_s = 1;
// The limits are not reduced below these, however often the store rejects a transaction as too large.
constexpr std::size_t min_record_bytes = 512, min_writes = 4;

} // namespace

ClusterRecords::ClusterRecords(cluster::ClusterState& cluster, const Settings& settings, const Snapshot& stored,
                               double wall, std::vector<Effect>& out)
    : cluster_(cluster), settings_(settings),
      effects_(out), limits_{static_cast<std::size_t>(settings.value_kb * bytes_per_kib * max_record_share),
                             static_cast<std::size_t>(settings.txn_ops)},
      record_kinds_(std::make_unique<RecordKinds>(cluster, settings, limits_, out)), report_(settings.report_s),
      write_budget_(settings.txn_ops), write_budget_refilled_at_(cluster_.view().now) {
    cluster_.set_persistence(*this);
    load(stored, wall);
}

ClusterRecords::~ClusterRecords() = default;

void ClusterRecords::added(Job& job) {
    job.progress_record = ProgressRecords::record_number_of(job.spec.id);
}

void ClusterRecords::added(Entry& entry) {
    record_kinds_->intents.add(entry);
}

void ClusterRecords::removed(Entry& entry) {
    record_kinds_->intents.remove(entry);
}

void ClusterRecords::final_due(Job& job, Urgency urgency) {
    record_kinds_->finals.enqueue(job, urgency);
}

void ClusterRecords::progressed(Job& job) {
    record_kinds_->progress.changed(job);
}

void ClusterRecords::became_ready(Job& job) {
    record_kinds_->ready.add(job);
}

bool ClusterRecords::waiting() const {
    return !transaction_in_flight_ &&
           (record_kinds_->finals.waiting() || record_kinds_->ready.waiting() || record_kinds_->intents.waiting());
}

double ClusterRecords::max_saved_writes() const {
    return std::max(settings_.state_write_rps * max_saved_budget_s, min_saved_writes_cap);
}

void ClusterRecords::refill_write_budget() {
    const auto now = cluster_.view().now;
    const double rate =
        settings_.state_write_rps *
        (record_kinds_->finals.dependents_wait() ? leader_write_share_while_cancelling : leader_write_share);
    write_budget_ = std::min(write_budget_ + (now - write_budget_refilled_at_) * rate, max_saved_writes());
    write_budget_refilled_at_ = now;
}

void ClusterRecords::emit_commit() {
    if (transaction_in_flight_ || cluster_.resigned())
        return;
    refill_write_budget();
    // Waits until the budget allows several writes. Otherwise intents would use up each single write as it becomes
    // available, and final states, which need two or three writes in one transaction, would never be stored.
    if (write_budget_ < std::min(min_budget_to_commit, max_saved_writes()))
        return;
    persistence::TransactionBuilder transaction(std::min(limits_.max_writes, static_cast<std::size_t>(write_budget_)) -
                                                1);
    auto& kinds = *record_kinds_;
    kinds.cascades.add_writes(transaction, kinds.finals);
    kinds.finals.add_writes(transaction, kinds.intents.waiting());
    kinds.ready.add_writes(transaction);
    kinds.intents.add_writes(transaction);
    kinds.obsolete.add_writes(transaction);
    kinds.cascades.add_empty_record_removal(transaction);
    kinds.progress.add_writes(transaction);
    kinds.images.add_writes(transaction);
    kinds.learned.add_writes(transaction);
    if (transaction.writes() == 0)
        return;
    transaction_in_flight_ = true;
    sent_at_ = cluster_.view().now;
    write_budget_ -= static_cast<double>(transaction.writes()) + 1;
    auto commit = transaction.take();
    report_.sent(commit, sent_at_);
    effects_.emplace_back(std::move(commit));
}

void ClusterRecords::committed(const Committed& command) {
    transaction_in_flight_ = false;
    auto& kinds = *record_kinds_;
    if (command.outcome == TxnOutcome::leadership_lost) {
        kinds.forget_in_flight();
        cluster_.resign();
        return;
    }
    if (auto line = report_.answered(command.outcome, cluster_.view().now))
        cluster_.log(LogLine::Level::info, std::move(*line));
    const bool applied = command.outcome == TxnOutcome::applied;
    if (applied)
        ++committed_count_;
    if (command.outcome == TxnOutcome::too_large)
        reduce_limits();
    kinds.cascades.committed(applied, kinds.finals);
    kinds.finals.committed(applied);
    kinds.ready.committed(applied);
    kinds.progress.committed(applied);
    kinds.intents.committed(applied);
    kinds.obsolete.committed(applied);
    kinds.finals.committed_removals(applied);
}

std::vector<persistence::Backlog> ClusterRecords::backlogs() const {
    auto backlogs = record_kinds_->finals.backlog();
    backlogs.push_back(record_kinds_->ready.backlog());
    backlogs.push_back(record_kinds_->intents.backlog());
    return backlogs;
}

void ClusterRecords::log_overdue_records() {
    const double now = cluster_.view().now;
    if (now < next_backlog_check_at_)
        return;
    next_backlog_check_at_ = now + backlog_check_interval_s; // Computing the backlogs visits every record that is due.
    if (auto line = report_.overdue_records(backlogs(), now))
        cluster_.log(LogLine::Level::info, std::move(*line));
}

std::vector<metrics::Value> ClusterRecords::metrics() const {
    auto values = report_.metrics();
    for (auto& value : persistence::metrics_of(backlogs()))
        values.push_back(std::move(value));
    return values;
}

// Called when the store rejects a transaction as too large, which means that it accepts less than the settings say. The
// limits are not raised again.
void ClusterRecords::reduce_limits() {
    limits_.max_record_bytes = std::max(limits_.max_record_bytes / 2, min_record_bytes);
    limits_.max_writes = std::max(limits_.max_writes / 2, min_writes);
    cluster_.log(LogLine::Level::warning,
                 fmt::format("the store takes no such transaction, from now on {} bytes a record and {} changes",
                             limits_.max_record_bytes, limits_.max_writes));
}

} // namespace heronshift
