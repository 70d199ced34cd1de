#include "final_states.hpp"

#include "persistence/layout.hpp"

#include <algorithm>
#include <utility>

namespace heronshift {

using cluster::Final;
using cluster::Job;

namespace {

constexpr std::size_t many_due = 8; // more than these may take a whole transaction
constexpr std::size_t final_record_bytes = 40, job_record_bytes = 300;

const char* status_of(const Job& job) {
    return job.final == Final::done ? codec::status_done.data() : codec::status_cancelled.data();
}

} // namespace

void ClusterRecords::FinalStates::due(Job& job, Urgency urgency) {
    if (job.final_queued)
        return;
    job.final_queued = true;
    if (job.final_due_at < 0)
        job.final_due_at = cluster_.view().now;
    if (urgency == Urgency::cancelled_with_dependency)
        cancelled_with_dependency_.push_back(&job);
    else if (urgency == Urgency::cancelled)
        due_.push_front(&job);
    else
        due_.push_back(&job);
}

std::vector<persistence::Backlog> ClusterRecords::FinalStates::backlog() const {
    persistence::Backlog cancelled{"cancelled"}, done{"done"}, dependents{"cancelled_with_dependency"};
    const auto count = [this](persistence::Backlog& backlog, const Job& job) {
        ++backlog.count;
        backlog.oldest_s = std::max(backlog.oldest_s, cluster_.view().now - job.final_due_at);
    };
    for (const auto* job : due_)
        count(job->final == Final::cancelled ? cancelled : done, *job);
    for (const auto* job : cancelled_with_dependency_)
        count(dependents, *job);
    return {cancelled, done, dependents};
}

// Intents must not starve: where a transaction takes few writes, they get some of every other one.
bool ClusterRecords::FinalStates::must_leave_room(bool intents_wait) {
    const bool many = due_.size() + cancelled_with_dependency_.size() > many_due;
    const bool leave_room = intents_wait && (left_no_room_ || !many);
    left_no_room_ = !leave_room;
    return leave_room;
}

Job& ClusterRecords::FinalStates::next() {
    auto& queue = due_.empty() ? cancelled_with_dependency_ : due_;
    auto* job = queue.front();
    queue.pop_front();
    job->final_queued = false;
    return *job;
}

void ClusterRecords::FinalStates::collect(persistence::TransactionBuilder& transaction, bool intents_wait) {
    constexpr std::size_t writes_of_one = 2;
    const std::size_t room = writes_of_one + (must_leave_room(intents_wait) ? 1 : 0);
    while (waiting() && !transaction.full(room))
        write(transaction, next());
}

void ClusterRecords::FinalStates::write(persistence::TransactionBuilder& transaction, Job& job) {
    const auto* status = status_of(job);
    job.final_sent = true;
    if (!job.final_stored)
        transaction.put(persistence::final_key(job.spec.id), codec::final_record(status, job.spec.shape),
                        final_record_bytes);
    if (job.live == 0) {
        transaction.erase(persistence::job_key(job.spec.id));
        removed_in_flight_.push_back(&job);
        return;
    }
    if (job.final_stored)
        return;
    const auto& data = cluster_.view();
    codec::StoredJob record;
    record.spec = codec::remains_of(job.spec);
    record.at = data.wall - (data.now - job.submitted);
    record.final = status;
    transaction.put(persistence::job_key(job.spec.id), codec::to_record(record), job_record_bytes);
    named_in_flight_.push_back(&job);
}

void ClusterRecords::FinalStates::committed(bool applied) {
    for (auto* job : std::exchange(named_in_flight_, {})) {
        if (!applied) {
            retry(*job);
            continue;
        }
        stored(*job);
        if (job->live == 0)
            due(*job, Urgency::done);
    }
}

void ClusterRecords::FinalStates::committed_removals(bool applied) {
    for (auto* job : std::exchange(removed_in_flight_, {})) {
        if (!applied) {
            retry(*job);
            continue;
        }
        stored(*job);
        forget_job(*job);
    }
}

void ClusterRecords::FinalStates::retry(Job& job) {
    job.final_sent = false; // surely not carried out
    due(job, Urgency::done);
}

// The final state may now be told.
void ClusterRecords::FinalStates::stored(Job& job) {
    job.final_stored = true;
    for (const auto request : job.cancels)
        effects_.emplace_back(AnswerCancellation{request, status_of(job)});
    job.cancels.clear();
    cluster_.dependency_settled(job.spec.id, job.final);
}

// The store keeps the final state; memory only holds jobs that are not over.
void ClusterRecords::FinalStates::forget_job(Job& job) {
    cluster_.remember_final(job);
    if (job.live > 0)
        return; // a task has shown up on a machine meanwhile: it is stopped first
    std::erase(due_, &job);
    std::erase(cancelled_with_dependency_, &job);
    ready_.forget(job);
    cluster_.forget_job(job);
}

} // namespace heronshift
