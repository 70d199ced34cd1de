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
constexpr double record_share = 0.92;
constexpr double bytes_a_kilobyte = 1024;

// The leader's share of the store's write budget. The rest is left for submissions, which all nodes write.
constexpr double write_share = 0.7, write_share_while_cancelling = 0.85;
// Unused write budget accumulates up to the writes of `max_saved_s` seconds, but at least up to `min_saved_writes`.
constexpr double max_saved_s = 0.5, min_saved_writes = 4;
// The write budget that has to accumulate before a transaction is built. One of these writes is the term counter, which
// every transaction updates as its guard.
constexpr double min_transaction_writes = 5;

constexpr double backlog_check_s = 1;
// The limits are not reduced below these, however often the store rejects a transaction as too large.
constexpr std::size_t min_record_bytes = 512, min_writes = 4;

} // namespace

ClusterRecords::ClusterRecords(cluster::ClusterState& cluster, const Settings& settings, const Snapshot& stored,
                               double wall, std::vector<Effect>& out)
    : cluster_(cluster), settings_(settings),
      effects_(out), limits_{static_cast<std::size_t>(settings.value_kb * bytes_a_kilobyte * record_share),
                             static_cast<std::size_t>(settings.txn_ops)},
      kinds_(std::make_unique<Kinds>(cluster, settings, limits_, out)), report_(settings.report_s),
      write_budget_(settings.txn_ops), write_budget_at_(cluster_.view().now) {
    cluster_.set_persistence(*this);
    load(stored, wall);
}

ClusterRecords::~ClusterRecords() = default;

void ClusterRecords::added(Job& job) {
    job.bucket = ProgressRecords::number_of(job.spec.id);
}

void ClusterRecords::added(Entry& entry) {
    kinds_->intents.add(entry);
}

void ClusterRecords::removed(Entry& entry) {
    kinds_->intents.remove(entry);
}

void ClusterRecords::final_due(Job& job, Urgency urgency) {
    kinds_->finals.due(job, urgency);
}

void ClusterRecords::progressed(Job& job) {
    kinds_->progress.changed(job);
}

void ClusterRecords::became_ready(Job& job) {
    kinds_->ready.add(job);
}

bool ClusterRecords::waiting() const {
    return !transaction_open_ && (kinds_->finals.waiting() || kinds_->ready.waiting() || kinds_->intents.waiting());
}

double ClusterRecords::max_saved_writes() const {
    return std::max(settings_.state_write_rps * max_saved_s, min_saved_writes);
}

void ClusterRecords::refill_write_budget() {
    const auto now = cluster_.view().now;
    const double rate =
        settings_.state_write_rps * (kinds_->finals.dependents_wait() ? write_share_while_cancelling : write_share);
    write_budget_ = std::min(write_budget_ + (now - write_budget_at_) * rate, max_saved_writes());
    write_budget_at_ = now;
}

void ClusterRecords::collect_commit() {
    if (transaction_open_ || cluster_.resigned())
        return;
    refill_write_budget();
    // Waits until the budget allows several writes. Otherwise intents would use up each single write as it becomes
    // available, and final states, which need two or three writes in one transaction, would never be stored.
    if (write_budget_ < std::min(min_transaction_writes, max_saved_writes()))
        return;
    persistence::TransactionBuilder transaction(std::min(limits_.max_writes, static_cast<std::size_t>(write_budget_)) -
                                                1);
    auto& kinds = *kinds_;
    kinds.cascades.collect(transaction, kinds.finals);
    kinds.finals.collect(transaction, kinds.intents.waiting());
    kinds.ready.collect(transaction);
    kinds.intents.collect(transaction);
    kinds.obsolete.collect(transaction);
    kinds.cascades.collect_empty(transaction);
    kinds.progress.collect(transaction);
    kinds.images.collect(transaction);
    kinds.learned.collect(transaction);
    if (transaction.writes() == 0)
        return;
    transaction_open_ = true;
    sent_at_ = cluster_.view().now;
    write_budget_ -= static_cast<double>(transaction.writes()) + 1;
    auto commit = transaction.take();
    report_.sent(commit, sent_at_);
    effects_.emplace_back(std::move(commit));
}

void ClusterRecords::committed(const Committed& command) {
    transaction_open_ = false;
    auto& kinds = *kinds_;
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
    auto backlogs = kinds_->finals.backlog();
    backlogs.push_back(kinds_->ready.backlog());
    backlogs.push_back(kinds_->intents.backlog());
    return backlogs;
}

void ClusterRecords::log_late_records() {
    const double now = cluster_.view().now;
    if (now < next_backlog_check_at_)
        return;
    next_backlog_check_at_ = now + backlog_check_s; // Computing the backlogs visits every record that is due.
    if (auto line = report_.late_records(backlogs(), now))
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
