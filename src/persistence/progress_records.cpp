#include "progress_records.hpp"

#include "persistence/intents.hpp"
#include "persistence/layout.hpp"

#include "stored_records.hpp"

#include <algorithm>
#include <utility>

namespace heronshift {

using cluster::Job;
using persistence::progress_records;

namespace {

// The share of the store's write budget that progress records may use.
constexpr double max_share = 0.15;
// The quotes and separators around the id and the ranges of one job.
constexpr std::size_t bytes_around_ranges = 6;
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
    : cluster_(cluster), settings_(settings), limits_(limits), records_(progress_records) {}

// Uses FNV-1a, which gives the same result on every machine and in every version, unlike `std::hash`.
std::size_t ClusterRecords::ProgressRecords::number_of(std::string_view job) {
    auto hash = fnv_offset;
    for (const char c : job)
        hash = (hash ^ static_cast<unsigned char>(c)) * fnv_prime;
    return hash % progress_records;
}

void ClusterRecords::ProgressRecords::changed(const Job& job) {
    auto& record = records_[job.bucket];
    if (record.changed)
        return;
    record.changed = true;
    record.changed_at = cluster_.view().now;
}

void ClusterRecords::ProgressRecords::collect(persistence::TransactionBuilder& transaction) {
    const double wait_s =
        std::max(settings_.report_s, static_cast<double>(progress_records) / (max_share * settings_.state_write_rps));
    for (std::size_t number = 0; number < records_.size() && !transaction.full(1); ++number)
        if (records_[number].changed && cluster_.view().now - records_[number].changed_at >= wait_s)
            write(transaction, number);
}

void ClusterRecords::ProgressRecords::write(persistence::TransactionBuilder& transaction, std::size_t number) {
    std::vector<Job*> jobs;
    for (auto& [id, job] : cluster_.data_.jobs)
        if (job->bucket == number && job->final == cluster::Final::none && job->done > 0)
            jobs.push_back(job.get());
    const auto max_bytes = limits_.max_record_bytes / std::max<std::size_t>(1, jobs.size());
    std::vector<persistence::JobProgress> progress;
    std::size_t size = 0;
    for (auto* job : jobs) {
        const auto around = job->spec.id.size() + bytes_around_ranges;
        auto done = intents::ranges_of(done_tasks(*job), max_bytes > around ? max_bytes - around : 0);
        size += done.size() + around;
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
    intents::each_in_ranges(ranges, [&](std::uint32_t index) {
        if (index >= job.tasks.size() || job.tasks[index].done)
            return;
        job.tasks[index].done = job.tasks[index].stored = true;
        ++job.done;
        job.had_success = true; // Otherwise it would take longer to tell a faulty machine from a faulty job.
    });
}

} // namespace heronshift
