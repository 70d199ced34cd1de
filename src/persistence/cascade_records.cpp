#include "cascade_records.hpp"

#include "persistence/layout.hpp"

#include "final_states.hpp"
#include "stored_records.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace heronshift {

using cluster::FinalState;
using cluster::Job;
using persistence::max_cascade_records;

namespace {

constexpr std::size_t id_overhead_bytes = 3, record_overhead_bytes = 20;

std::size_t encoded_size(const Job& job) {
    return job.spec.id.size() + id_overhead_bytes;
}

std::size_t encoded_size(const std::vector<Job*>& jobs) {
    auto size = record_overhead_bytes;
    for (const auto* job : jobs)
        size += encoded_size(*job);
    return size;
}

} // namespace

bool ClusterRecords::CascadeRecords::has_overdue_dependents(const FinalStates& finals) const {
    const auto* oldest = finals.oldest_dependent();
    if (oldest == nullptr)
        return false;
    const auto& data = cluster_.view();
    const bool may_have_waited_in_earlier_term = oldest->submitted < data.started; // How long, if at all, is not known.
    return may_have_waited_in_earlier_term || data.now - oldest->final_due_at >= settings_.report_s;
}

// Returns the record with the fewest jobs, or a new record if that one is more than half full. The jobs that a record
// names already are written again with it, so a record that is nearly empty costs the fewest bytes.
std::optional<std::size_t> ClusterRecords::CascadeRecords::record_with_room() {
    const auto least = std::min_element(records_.begin(), records_.end(),
                                        [](const Record& a, const Record& b) { return a.jobs.size() < b.jobs.size(); });
    const auto room = limits_.max_record_bytes;
    const bool may_add = records_.size() < max_cascade_records;
    if (least != records_.end() && encoded_size(least->jobs) <= (may_add ? room / 2 : room))
        return static_cast<std::size_t>(least - records_.begin());
    if (!may_add)
        return {};
    records_.emplace_back();
    return records_.size() - 1;
}

void ClusterRecords::CascadeRecords::add_writes(persistence::TransactionBuilder& transaction, FinalStates& finals) {
    if (!has_overdue_dependents(finals) || transaction.would_overflow(1))
        return;
    const auto number = record_with_room();
    if (!number)
        return;
    auto size = encoded_size(records_[*number].jobs);
    for (auto* job = finals.oldest_dependent(); job != nullptr; job = finals.oldest_dependent()) {
        if (size + encoded_size(*job) > limits_.max_record_bytes)
            break;
        size += encoded_size(*job);
        in_flight_.jobs.push_back(&finals.take_oldest_dependent());
    }
    if (in_flight_.jobs.empty())
        return; // The record has no room for even one more job.
    write(transaction, *number, size);
}

void ClusterRecords::CascadeRecords::write(persistence::TransactionBuilder& transaction, std::size_t number,
                                           std::size_t size) {
    std::vector<std::string> ids;
    for (const auto* jobs : {&records_[number].jobs, &in_flight_.jobs})
        for (const auto* job : *jobs)
            ids.push_back(job->spec.id);
    transaction.put(persistence::cascade_key(number), persistence::encode_cascade(ids), size);
    in_flight_.written = number;
}

void ClusterRecords::CascadeRecords::add_empty_record_removal(persistence::TransactionBuilder& transaction) {
    if (transaction.would_overflow(1))
        return;
    for (std::size_t number = 0; number < records_.size(); ++number) {
        const auto& record = records_[number];
        if (!record.stored || !record.jobs.empty() || in_flight_.written == number)
            continue;
        transaction.erase(persistence::cascade_key(number));
        in_flight_.removed = number;
        return;
    }
}

bool ClusterRecords::CascadeRecords::over_half_used() const {
    const auto used =
        std::count_if(records_.begin(), records_.end(), [](const Record& record) { return !record.jobs.empty(); });
    return static_cast<std::size_t>(used) > max_cascade_records / 2;
}

void ClusterRecords::CascadeRecords::committed(bool applied, FinalStates& finals) {
    auto sent = std::exchange(in_flight_, {});
    if (!applied) {
        for (auto* job : sent.jobs)
            finals.requeue_dependent(*job);
        return;
    }
    if (sent.removed)
        records_[*sent.removed].stored = false;
    if (!sent.written)
        return;
    auto& record = records_[*sent.written];
    record.stored = true;
    double longest_s = 0;
    for (auto* job : sent.jobs) {
        longest_s = std::max(longest_s, cluster_.view().now - job->final_due_at);
        job->cascade_record = static_cast<int>(*sent.written);
        record.jobs.push_back(job);
        finals.stored_in_cascade(*job);
    }
    cluster_.log(
        LogLine::Level::info,
        fmt::format("{} jobs cancelled with their dependency are stored in a cascade record, the oldest {:.1f} s "
                    "after it was due",
                    sent.jobs.size(), longest_s));
}

void ClusterRecords::CascadeRecords::forget(Job& job) {
    if (job.cascade_record < 0)
        return;
    std::erase(records_[static_cast<std::size_t>(std::exchange(job.cascade_record, -1))].jobs, &job);
}

void ClusterRecords::CascadeRecords::load(const std::vector<codec::Item>& items, FinalStates& finals) {
    for (const auto& item : items)
        if (const auto number = persistence::record_number(item.key); number)
            load_record(*number, item, finals);
}

void ClusterRecords::CascadeRecords::load_record(std::size_t number, const codec::Item& item, FinalStates& finals) {
    if (number >= records_.size())
        records_.resize(number + 1);
    records_[number].stored = true;
    auto& jobs = records_[number].jobs;
    for (const auto& id : persistence::decode_cascade(item.value)) {
        auto* job = cluster_.find_job(id);
        if (job == nullptr || job->final_stored)
            continue; // The job's own final record is stored.
        job->final = FinalState::cancelled;
        job->final_stored = true;
        job->cascade_record = static_cast<int>(number);
        jobs.push_back(job);
    }
    // Only now, when `final` is set for all of these jobs, so that none is cancelled again as a dependent of another.
    for (auto* job : jobs)
        finals.stored_in_cascade(*job);
}

} // namespace heronshift
