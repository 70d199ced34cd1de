#include "intent_records.hpp"

#include "persistence/layout.hpp"

#include "stored_records.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace heronshift {

using cluster::Entry;
using cluster::Phase;

namespace {

// New intents go only into records whose live intents, which are written again with them, take less than this share of
// the longest record.
constexpr double max_live_share = 0.25;
// Up to this number of new intents are not sorted by urgency, since they all fit into one write.
constexpr std::size_t max_unsorted_intents = 16;

// Only these jobs have rules about zones. The intents of others are written without the zone, which would take a third
// of a line.
bool zone_matters(const Entry& entry) {
    return entry.job->spec.spread || entry.job->spec.one_zone;
}

// Whether the intent may be stored: not before the job record says that the job no longer waits for dependencies
// (invariant 14).
bool may_record(const Entry& entry) {
    return entry.job->ready_recorded || entry.job->final != cluster::FinalState::none;
}

// The order of intents in a record: by machine, and for a machine by job and attempt, so that `intents::Writer` can
// encode tasks of one attempt as ranges.
bool precedes(const Entry& a, const Entry& b) {
    if (a.machine != b.machine)
        return a.machine->id < b.machine->id;
    if (a.agent_epoch != b.agent_epoch)
        return a.agent_epoch < b.agent_epoch;
    if (zone_matters(a) != zone_matters(b))
        return zone_matters(a);
    if (a.job != b.job)
        return a.job->spec.id < b.job->spec.id;
    if (a.attempt != b.attempt)
        return a.attempt < b.attempt;
    return a.index < b.index;
}

std::string text_of(std::vector<Entry*> entries) {
    std::sort(entries.begin(), entries.end(), [](const Entry* a, const Entry* b) { return precedes(*a, *b); });
    intents::Writer writer;
    for (const auto* entry : entries)
        writer.add(entry->machine->id, zone_matters(*entry) ? entry->machine->zone_name : "", entry->agent_epoch,
                   entry->job->spec.id, entry->index, entry->attempt);
    return writer.take();
}

} // namespace

ClusterRecords::IntentRecords::IntentRecords(cluster::ClusterState& cluster, const Settings& settings,
                                             const StoreLimits& limits, ObsoleteRecords& obsolete)
    : cluster_(cluster), settings_(settings), limits_(limits), obsolete_records_(obsolete),
      records_(persistence::initial_intent_records) {}

void ClusterRecords::IntentRecords::add(Entry& entry) {
    put(entry, no_record);
}

void ClusterRecords::IntentRecords::remove(Entry& entry) {
    remove_from_list(entry);
    if (entry.slot >= 0)
        ++records_[static_cast<std::size_t>(entry.slot)].obsolete;
    if (entry.moved_from_slot >= 0)
        ++records_[static_cast<std::size_t>(entry.moved_from_slot)].obsolete;
}

std::vector<Entry*>& ClusterRecords::IntentRecords::entries_of(int record) {
    return record < 0 ? unrecorded_ : records_[static_cast<std::size_t>(record)].entries;
}

void ClusterRecords::IntentRecords::put(Entry& entry, int record) {
    auto& list = entries_of(record);
    entry.slot = record;
    entry.slot_position = list.size();
    list.push_back(&entry);
}

void ClusterRecords::IntentRecords::remove_from_list(Entry& entry) {
    auto& list = entries_of(entry.slot);
    list[entry.slot_position] = list.back();
    list[entry.slot_position]->slot_position = entry.slot_position;
    list.pop_back();
}

void ClusterRecords::IntentRecords::move(Entry& entry, int record) {
    remove_from_list(entry);
    put(entry, record);
}

persistence::Backlog ClusterRecords::IntentRecords::backlog() const {
    persistence::Backlog backlog{"intents", unrecorded_.size(), 0};
    for (const auto* entry : unrecorded_)
        backlog.oldest_age_s = std::max(backlog.oldest_age_s, cluster_.view().now - entry->placed_at);
    return backlog;
}

void ClusterRecords::IntentRecords::add_writes(persistence::TransactionBuilder& transaction) {
    if (unrecorded_.size() > max_unsorted_intents)
        order_by_urgency();
    while (!transaction.would_overflow(1) && any_recordable())
        if (!write_record(transaction, emptiest_record()))
            break;
    rewrite_one_obsolete(transaction);
}

bool ClusterRecords::IntentRecords::any_recordable() const {
    return std::any_of(unrecorded_.begin(), unrecorded_.end(), [](const Entry* entry) { return may_record(*entry); });
}

// Sorts the new intents for the case that the store accepts fewer than there are. `take_unrecorded` starts at the end,
// so the most urgent ones are last, and the oldest are last of those with the same priority.
void ClusterRecords::IntentRecords::order_by_urgency() {
    std::stable_sort(unrecorded_.begin(), unrecorded_.end(), [](const Entry* a, const Entry* b) {
        if (a->job->priority != b->job->priority)
            return a->job->priority > b->job->priority;
        return a->placed_at > b->placed_at;
    });
    for (std::size_t i = 0; i < unrecorded_.size(); ++i)
        unrecorded_[i]->slot_position = i;
}

bool ClusterRecords::IntentRecords::in_flight(std::size_t number) const {
    return std::find(in_flight_.begin(), in_flight_.end(), number) != in_flight_.end();
}

// Estimates the bytes of the record's live intents from the size of the stored copy and the share of its intents that
// is still live.
double ClusterRecords::IntentRecords::live_bytes(const Record& record) const {
    return static_cast<double>(record.size * record.entries.size()) /
           static_cast<double>(std::max<std::size_t>(1, record.written));
}

// Returns the record with the fewest bytes of live intents, which has the most room. If records were used in turn, each
// of them would keep intents of services, which stay live indefinitely, and half of every write would repeat what the
// store already holds. Adds a new record if all existing ones are too full.
std::size_t ClusterRecords::IntentRecords::emptiest_record() {
    auto best = records_.size();
    double least = static_cast<double>(limits_.max_record_bytes) * max_live_share;
    for (std::size_t number = 0; number < records_.size(); ++number) {
        const double live = live_bytes(records_[number]);
        if (live >= least || in_flight(number))
            continue;
        least = live;
        best = number;
        if (live <= 0)
            break;
    }
    if (best == records_.size())
        records_.emplace_back();
    return best;
}

// Writes the live intents of a record and, as far as it has room, new intents and some of those in the oversized
// record. Returns false if the live intents alone exceed the size limit.
bool ClusterRecords::IntentRecords::write_record(persistence::TransactionBuilder& transaction, std::size_t number) {
    auto& record = records_[number];
    auto text = text_of(record.entries);
    if (text.size() > limits_.max_record_bytes) {
        oversized_ = number;
        return false;
    }
    if (oversized_ == number)
        oversized_.reset();
    auto size = text.size();
    const auto before = record.entries.size();
    take_unrecorded(number, size);
    take_from_oversized(number, size);
    if (record.entries.size() != before)
        text = text_of(record.entries);
    size = text.size();
    transaction.put(persistence::intent_key(number), persistence::encode_intents(std::move(text)), size);
    record.obsolete = 0;
    record.size = size;
    record.written = record.entries.size();
    in_flight_.push_back(number);
    return true;
}

// Moves an entry into the record. Returns false if it might not fit. The estimate assumes that the intent takes a line
// of its own, which is the longest that it can be encoded to.
bool ClusterRecords::IntentRecords::take(Entry& entry, std::size_t number, std::size_t& size) {
    size += text_of({&entry}).size() + 2;
    if (size > limits_.max_record_bytes)
        return false;
    move(entry, static_cast<int>(number));
    return true;
}

void ClusterRecords::IntentRecords::take_unrecorded(std::size_t number, std::size_t& size) {
    for (std::size_t i = unrecorded_.size(); i-- > 0;) {
        auto& entry = *unrecorded_[i];
        if (!may_record(entry))
            continue;
        if (!take(entry, number, size))
            return;
        if (entry.phase == Phase::intent)
            entry.phase = Phase::storing;
    }
}

// Moves intents from the oversized record into this one. The stored copy of the oversized record keeps them until the
// transaction is applied, so that none is ever missing from the store (invariant 18;
// OversizedIntentRecordsMoveWithoutAGap).
void ClusterRecords::IntentRecords::take_from_oversized(std::size_t number, std::size_t& size) {
    if (!oversized_)
        return;
    auto& from = records_[*oversized_].entries;
    while (!from.empty()) {
        auto& entry = *from.back();
        if (!take(entry, number, size))
            break;
        entry.moved_from_slot = static_cast<int>(*oversized_);
    }
    if (from.empty())
        oversized_.reset();
}

// After a failover, a task that a stored record still names occupies its machine although it is gone. When the
// transaction has room, this rewrites one record that names such tasks, or a record that can take over intents of the
// oversized one.
void ClusterRecords::IntentRecords::rewrite_one_obsolete(persistence::TransactionBuilder& transaction) {
    const auto now = cluster_.view().now;
    if (now < next_rewrite_at_ || transaction.would_overflow(limits_.max_writes / 2) || any_recordable())
        return;
    const auto count = records_.size();
    for (std::size_t n = 0; n < count; ++n) {
        const auto number = next_rewrite_candidate_;
        const bool worth_rewriting = records_[number].obsolete > 0 || oversized_;
        const bool written = worth_rewriting && !in_flight(number) && write_record(transaction, number);
        next_rewrite_candidate_ = (number + 1) % count;
        if (!written)
            continue;
        next_rewrite_at_ = now + settings_.report_s / 10;
        return;
    }
}

void ClusterRecords::IntentRecords::committed(bool applied) {
    for (const auto number : std::exchange(in_flight_, {})) {
        // A copy, since `apply_outcome` may move entries out of the record.
        const auto entries = records_[number].entries;
        for (auto* entry : entries)
            apply_outcome(*entry, applied);
        if (!applied)
            ++records_[number].obsolete;
    }
}

void ClusterRecords::IntentRecords::apply_outcome(Entry& entry, bool applied) {
    if (const int from = std::exchange(entry.moved_from_slot, no_record); from >= 0) {
        if (applied)
            ++records_[static_cast<std::size_t>(from)].obsolete;
        else
            move(entry, from);
    } else if (applied) {
        entry.recorded = true;
    } else if (!entry.recorded) {
        move(entry, no_record);
    }
    if (entry.phase != Phase::storing)
        return;
    entry.phase = applied ? Phase::stored : Phase::intent;
    if (applied)
        cluster_.queue_for_orders(*entry.machine);
}

void ClusterRecords::IntentRecords::load(const std::vector<codec::Item>& items) {
    for (const auto& item : items)
        load_record(item);
}

void ClusterRecords::IntentRecords::load_record(const codec::Item& item) {
    const auto number = persistence::record_number(item.key);
    const auto stored = persistence::decode_intents(item.value);
    if (number && *number >= records_.size())
        records_.resize(*number + 1);
    for (const auto& intent : stored.content.intents)
        load_intent(intent, number ? static_cast<int>(*number) : no_record);
    for (const auto& machine : stored.content.unproven)
        mark_unproven(machine);
    if (stored.content.damaged)
        mark_unproven("");
    if (!number) {
        obsolete_records_.add(item.key);
        return;
    }
    auto& record = records_[*number];
    record.obsolete += 1; // So that the record is rewritten soon, whatever it names.
    record.size = stored.size;
    record.written = std::max<std::size_t>(1, stored.content.intents.size());
}

void ClusterRecords::IntentRecords::load_intent(const intents::Intent& intent, int record) {
    auto* job = cluster_.find_job(intent.job);
    // A job record is removed only when none of the job's tasks is left on any machine, so this intent is out of date.
    if (job == nullptr || intent.index >= job->tasks.size())
        return;
    auto& machine = cluster_.find_or_add_machine(intent.machine, "", "", intent.zone, false);
    machine.agent_epoch = std::max(machine.agent_epoch, intent.agent_epoch);
    // The previous leader may have renewed the machine's lease until this one took over, so it is taken to start now.
    machine.lease_started_at = cluster_.data_.now;
    machine.status = cluster::MachineStatus::up;
    for (const auto& entry : machine.entries)
        if (entry->job == job && entry->index == intent.index && entry->attempt == intent.attempt)
            return;
    auto& entry = cluster_.add_entry(machine, *job, intent.index, intent.attempt);
    entry.phase = Phase::sent;
    entry.recorded = record >= 0;
    // Only a heartbeat that has seen a fencing token of this term can prove that the task is not on the machine. A
    // heartbeat sent before the launch may arrive late, and this leader does not know the machine's heartbeat counter,
    // which would show that (invariant 5; AfterAFailoverOnlyAHeartbeatThatHasSeenOurTermClearsAnIntent).
    entry.fencing_token = (cluster_.data_.term << cluster::token_counter_bits) - 1;
    entry.agent_epoch = intent.agent_epoch;
    move(entry, record);
}

void ClusterRecords::IntentRecords::mark_unproven(const std::string& machine) {
    cluster_.log(LogLine::Level::warning,
                 fmt::format("a damaged record{}{}", machine.empty() ? "" : " of machine ", machine));
    cluster_.data_.unproven_until = cluster_.data_.now + cluster_.lease_expiry_s();
    cluster_.data_.unproven_machines.insert(machine);
    if (machine.empty())
        return;
    auto& known_machine = cluster_.find_or_add_machine(machine, "", "", "", false);
    known_machine.lease_started_at = cluster_.data_.now;
    known_machine.status = cluster::MachineStatus::up;
}

} // namespace heronshift
