// Loads the cluster's records at a failover.
#include "persistence/cluster_records.hpp"

#include "persistence/layout.hpp"

#include "record_kinds.hpp"
#include "stored_records.hpp"

#include <algorithm>
#include <utility>

namespace heronshift {

using cluster::FinalState;
using cluster::Job;

namespace {

void load_final(Job& job, std::string_view status) {
    job.final = status == codec::status_done ? FinalState::done : FinalState::cancelled;
    job.final_stored = true;
}

} // namespace

// Converts a stored job to a command for the core, with ages instead of times. A time in the future, written by a node
// whose clock is ahead, becomes the age 0.
JobStored job_stored(codec::StoredJob&& stored_job, double wall) {
    return {std::move(stored_job.spec), std::max(0.0, wall - stored_job.at),
            stored_job.ready < 0 ? -1 : std::max(0.0, wall - stored_job.ready), stored_job.waits};
}

// Loads the jobs first, since other records refer to them.
void ClusterRecords::load(const Snapshot& stored, double wall) {
    auto& kinds = *record_kinds_;
    load_jobs(stored.jobs, wall);
    kinds.cascades.load(stored.cascades, kinds.finals);
    kinds.images.load(stored.images);
    kinds.progress.load(stored.progress);
    kinds.intents.load(stored.intents);
    load_legacy_records(stored.legacy);
    kinds.learned.load(stored.learned, wall);
    for (auto& [id, job] : cluster_.data_.jobs)
        finish_loading_job(*job);
    cluster_.needs_scheduling_ = true;
}

// A record that cannot be read is left as it is, since no version takes it for a job.
void ClusterRecords::load_jobs(const std::vector<codec::Item>& items, double wall) {
    for (const auto& item : items) {
        auto record = codec::stored_job(item.value, wall);
        if (!record)
            continue;
        const auto id = record->spec.id;
        const auto final = record->final;
        auto command = job_stored(std::move(*record), wall);
        cluster_.add_job(command);
        if (auto* job = cluster_.find_job(id); job != nullptr && !final.empty())
            load_final(*job, final);
    }
}

void ClusterRecords::load_legacy_records(const std::vector<codec::Item>& items) {
    for (const auto& item : items) {
        record_kinds_->obsolete.add(item.key);
        if (item.key.starts_with(persistence::legacy_job_prefix))
            load_legacy_job(item);
        else
            load_legacy_machine(item);
    }
}

void ClusterRecords::load_legacy_job(const codec::Item& item) {
    auto* job = cluster_.find_job(persistence::name_in_key(item.key));
    if (job == nullptr)
        return;
    const auto record = persistence::decode_legacy_job(item.value);
    if (!record)
        return;
    ProgressRecords::load_done(*job, record->done);
    if (!record->final.empty())
        load_final(*job, record->final);
}

void ClusterRecords::load_legacy_machine(const codec::Item& item) {
    const auto machine = persistence::name_in_key(item.key);
    const auto record = persistence::decode_legacy_machine(machine, item.value);
    for (const auto& intent : record.intents)
        record_kinds_->intents.load_intent(intent, -1); // The intent is not yet in a record of the current layout.
    if (record.damaged)
        record_kinds_->intents.mark_unproven(machine);
}

// Completes the state of a job once all records are loaded.
void ClusterRecords::finish_loading_job(Job& job) {
    // Tasks that may be running or are done are no longer pending; otherwise machines would be rented for them
    // (NothingIsRentedForWhatRunsAlready).
    std::erase_if(job.pending, [&](std::uint32_t index) {
        auto& task = job.tasks[index];
        if (!task.done && task.live == 0)
            return false;
        task.queued = false;
        return true;
    });
    if (job.spec.shape == Shape::gang && job.live > 0) {
        for (const auto& entry : job.entries)
            job.gang_attempt = std::max(job.gang_attempt, entry->attempt);
        if (job.live < job.spec.tasks - job.done)
            cluster_.break_gang(job);
    }
    if (job.final == FinalState::none && job.done == job.spec.tasks)
        cluster_.finalize(job, FinalState::done);
    if (job.final == FinalState::none)
        return;
    for (auto& entry : job.entries)
        cluster_.stop_entry(*entry, 0);
    if (job.live == 0)
        final_due(job, Urgency::done);
}

} // namespace heronshift
