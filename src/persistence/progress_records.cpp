#include "progress_records.hpp"

#include "persistence/intents.hpp"
#include "persistence/layout.hpp"

#include "stored_records.hpp"

#include <algorithm>
#include <utility>

namespace heronshift {

using cluster::Job;
using persistence::progress_record_count;

namespace {

// The share of the store's write budget that progress records may use.
constexpr double max_write_share = 0.15;
// The quotes and separators around the id and the ranges of one job.
constexpr std::size_t job_overhead_bytes = 6;
constexpr std::uint64_t fnv_offset = 14695981039346656037U, fnv_prime = 1099511628211U;

std::vector<bool> done_tasks(const Job& job) {
    std::vector<bool> done(job.tasks.size());
    for (std::size_t i = 0; i < done.size(); ++i)
        done[i] = job.tasks[i].done;
    return done;
}

} // namespace

ClusterRecords::ProgressRecords::ProgressRecords(cluster::ClusterState& cluster, const Settings& settings,
                                                 const StoreLimits& limits)
    : cluster_(cluster), settings_(settings), limits_(limits), records_(progress_record_count) {}

// Uses FNV-1a, which gives the same result on every machine and in every version, unlike `std::hash`.
std::size_t ClusterRecords::ProgressRecords::record_number_of(std::string_view job) {
    auto hash = fnv_offset;
    for (const char c : job)
        hash = (hash ^ static_cast<unsigned char>(c)) * fnv_prime;
    return hash % progress_record_count;
}

void ClusterRecords::ProgressRecords::changed(const Job& job) {
    auto& record = records_[job.progress_record];
    if (record.changed)
        return;
    record.changed = true;
    record.changed_at = cluster_.view().now;
}

void ClusterRecords::ProgressRecords::add_writes(persistence::TransactionBuilder& transaction) {
    const double wait_s = std::max(settings_.report_s, static_cast<double>(progress_record_count) /
                                                           (max_write_share * settings_.state_write_rps));
    for (std::size_t number = 0; number < records_.size() && !transaction.would_overflow(1); ++number)
        if (records_[number].changed && cluster_.view().now - records_[number].changed_at >= wait_s)
            write(transaction, number);
}

void ClusterRecords::ProgressRecords::write(persistence::TransactionBuilder& transaction, std::size_t number) {
    std::vector<Job*> jobs;
    for (auto& [id, job] : cluster_.data_.jobs)
        if (job->progress_record == number && job->final == cluster::FinalState::none && job->done > 0)
            jobs.push_back(job.get());
    const auto max_bytes = limits_.max_record_bytes / std::max<std::size_t>(1, jobs.size());
    std::vector<persistence::JobProgress> progress;
    std::size_t size = 0;
    for (auto* job : jobs) {
        const auto overhead = job->spec.id.size() + job_overhead_bytes;
        auto done = intents::encode_ranges(done_tasks(*job), max_bytes > overhead ? max_bytes - overhead : 0);
        size += done.size() + overhead;
        progress.push_back({job->spec.id, std::move(done)});
        if (!job->unstored.empty())
            tasks_in_flight_.push_back({job, std::exchange(job->unstored, {})});
    }
    transaction.put(persistence::progress_key(number), persistence::encode_progress(std::move(progress)), size);
    records_in_flight_.push_back(number);
    records_[number].changed = false;
}

void ClusterRecords::ProgressRecords::committed(bool applied) {
    for (auto& [job, tasks] : std::exchange(tasks_in_flight_, {})) {
        if (!applied) {
            job->unstored.insert(job->unstored.end(), tasks.begin(), tasks.end());
            continue;
        }
        for (const auto task : tasks)
            job->tasks[task].stored = true;
    }
    for (const auto number : std::exchange(records_in_flight_, {}))
        if (!applied)
            records_[number].changed = true;
}

// Progress records of previous versions (p/) are loaded but not removed, since a process of such a version may become
// leader again. They stay valid: a done task stays done.
void ClusterRecords::ProgressRecords::load(const std::vector<codec::Item>& items) {
    for (const auto& item : items)
        for (const auto& progress : persistence::decode_progress(item.value))
            if (auto* job = cluster_.find_job(progress.job); job != nullptr)
                load_done(*job, progress.done);
}

void ClusterRecords::ProgressRecords::load_done(Job& job, std::string_view ranges) {
    intents::for_each_in_ranges(ranges, [&](std::uint32_t index) {
        if (index >= job.tasks.size() || job.tasks[index].done)
            return;
        job.tasks[index].done = job.tasks[index].stored = true;
        ++job.done;
        job.had_success = true; // Otherwise it would take longer to tell a faulty machine from a faulty job.
    });
}

} // namespace heronshift
