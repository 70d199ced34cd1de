#include "final_states.hpp"

#include "persistence/layout.hpp"

#include <algorithm>
#include <utility>

namespace heronshift {

using cluster::FinalState;
using cluster::Job;

namespace {

// With more jobs queued than this, every other transaction may be filled with final states.
constexpr std::size_t large_backlog = 8;
// Estimated sizes of the values.
constexpr std::size_t estimated_final_record_bytes = 40, estimated_job_record_bytes = 300;
// Nobody waits for the own records of jobs that a cascade record names, so they normally come last. Once more than half
// of the cascade records are in use, one of every `cascaded_interval` jobs written is one of these, so that cascade
// records become free for further dependents however long the load stays high.
constexpr std::size_t cascaded_interval = 4;

const char* status_of(const Job& job) {
    return job.final == FinalState::done ? codec::status_done.data() : codec::status_cancelled.data();
}

} // namespace

void ClusterRecords::FinalStates::enqueue(Job& job, Urgency urgency) {
    if (job.final_queued)
        return;
    if (job.final_due_at < 0)
        job.final_due_at = cluster_.view().now;
    if (urgency == Urgency::done)
        push(done_, job, job.submitted);
    else
        push(urgency == Urgency::cancelled ? cancelled_ : dependents_, job, job.final_due_at);
}

void ClusterRecords::FinalStates::push(Queue& queue, Job& job, double turn) {
    job.final_queued = true;
    job.final_sort_key = turn;
    queue.insert(&job);
}

Job& ClusterRecords::FinalStates::pop(Queue& queue) {
    auto& job = **queue.begin();
    queue.erase(queue.begin());
    job.final_queued = false;
    job.final_sent = true;
    return job;
}

persistence::Backlog ClusterRecords::FinalStates::backlog_of(const char* kind, const Queue& queue) const {
    persistence::Backlog backlog{kind, queue.size(), 0};
    for (const auto* job : queue)
        backlog.oldest_age_s = std::max(backlog.oldest_age_s, cluster_.view().now - job->final_due_at);
    return backlog;
}

std::vector<persistence::Backlog> ClusterRecords::FinalStates::backlog() const {
    return {backlog_of("cancelled", cancelled_), backlog_of("done", done_),
            backlog_of("cancelled_with_dependency", dependents_), backlog_of("in_cascade_record", named_in_cascade_)};
}

// Whether the next transaction has to leave room for intents, which must not starve: where a transaction takes only few
// writes, at least every other one has room for an intent record.
bool ClusterRecords::FinalStates::must_leave_room_for_intents(bool intents_wait) {
    const bool backlog_is_large =
        cancelled_.size() + done_.size() + dependents_.size() + named_in_cascade_.size() > large_backlog;
    const bool leave_room = intents_wait && (left_no_room_for_intents_ || !backlog_is_large);
    left_no_room_for_intents_ = !leave_room;
    return leave_room;
}

ClusterRecords::FinalStates::Queue& ClusterRecords::FinalStates::next_queue() {
    const bool from_cascade = !named_in_cascade_.empty() && written_since_named_in_cascade_ + 1 >= cascaded_interval &&
                              cascades_.over_half_used();
    for (auto* queue : {&cancelled_, &done_, &dependents_})
        if (!queue->empty() && !from_cascade)
            return *queue;
    return named_in_cascade_;
}

void ClusterRecords::FinalStates::add_writes(persistence::TransactionBuilder& transaction, bool intents_wait) {
    constexpr std::size_t writes_of_one = 2;
    const std::size_t room = writes_of_one + (must_leave_room_for_intents(intents_wait) ? 1 : 0);
    while (waiting() && !transaction.would_overflow(room))
        write_next(transaction);
}

void ClusterRecords::FinalStates::write_next(persistence::TransactionBuilder& transaction) {
    auto& queue = next_queue();
    written_since_named_in_cascade_ = &queue == &named_in_cascade_ ? 0 : written_since_named_in_cascade_ + 1;
    auto& job = pop(queue);
    const bool final_record_stored = job.final_stored && job.cascade_record < 0;
    if (!final_record_stored)
        put_final_record(transaction, job);
    if (job.live == 0) {
        transaction.erase(persistence::job_key(job.spec.id));
        removals_in_flight_.push_back({&job, &queue});
    } else if (!final_record_stored) {
        put_job_record(transaction, job);
        updates_in_flight_.push_back({&job, &queue});
    }
}

void ClusterRecords::FinalStates::put_final_record(persistence::TransactionBuilder& transaction, const Job& job) {
    transaction.put(persistence::final_key(job.spec.id), codec::final_record(status_of(job), job.spec.shape),
                    estimated_final_record_bytes);
}

void ClusterRecords::FinalStates::put_job_record(persistence::TransactionBuilder& transaction, const Job& job) {
    const auto& data = cluster_.view();
    codec::StoredJob record;
    record.spec = codec::remains_of(job.spec);
    record.at = data.wall - (data.now - job.submitted);
    record.final = status_of(job);
    transaction.put(persistence::job_key(job.spec.id), codec::to_record(record), estimated_job_record_bytes);
}

void ClusterRecords::FinalStates::committed(bool applied) {
    const auto in_flight = std::exchange(updates_in_flight_, {});
    if (!applied)
        return retry(in_flight);
    for (const auto& sent : in_flight) {
        cascades_.forget(*sent.job);
        mark_stored(*sent.job);
        if (sent.job->live == 0)
            enqueue(*sent.job, Urgency::done);
    }
}

void ClusterRecords::FinalStates::committed_removals(bool applied) {
    const auto in_flight = std::exchange(removals_in_flight_, {});
    if (!applied)
        return retry(in_flight);
    for (const auto& sent : in_flight) {
        cascades_.forget(*sent.job);
        mark_stored(*sent.job);
        forget_job(*sent.job);
    }
}

// Queues jobs again, at the positions that they had: a user who has already waited for a transaction that was refused
// does not have to wait behind all other jobs.
void ClusterRecords::FinalStates::retry(const std::vector<InFlight>& refused) {
    for (const auto& sent : refused)
        requeue(*sent.job, *sent.queue);
}

void ClusterRecords::FinalStates::requeue(Job& job, Queue& queue) {
    job.final_sent = false; // It is certain that the transaction was not applied.
    if (job.final_queued)   // It was queued again when its last task was gone, while the transaction was in flight.
        done_.erase(&job);
    push(queue, job, &queue == &done_ ? job.submitted : job.final_due_at);
}

// Marks the final state as stored and reports it: to clients that wait for it and to the job's dependents.
void ClusterRecords::FinalStates::mark_stored(Job& job) {
    job.final_stored = true;
    // If the job is queued, only the removal of its job record is left to be written.
    job.final_due_at = job.final_queued ? cluster_.view().now : -1;
    for (const auto request : job.cancel_handles)
        effects_.emplace_back(AnswerCancellation{request, status_of(job)});
    job.cancel_handles.clear();
    cluster_.dependency_settled(job.spec.id, job.final);
}

// Removes a job from memory after its job record was removed from the store. Its final record stays in the store, so
// memory does not have to hold jobs that are over.
void ClusterRecords::FinalStates::forget_job(Job& job) {
    cluster_.cache_final_state(job);
    if (job.live > 0)
        return; // A task of the job has since been found on a machine; it has to be stopped first.
    if (job.final_queued)
        for (auto* queue : {&cancelled_, &done_, &dependents_, &named_in_cascade_})
            queue->erase(&job);
    ready_.forget(job);
    cluster_.forget_job(job);
}

Job& ClusterRecords::FinalStates::take_oldest_dependent() {
    return pop(dependents_);
}

void ClusterRecords::FinalStates::requeue_dependent(Job& job) {
    requeue(job, dependents_);
}

void ClusterRecords::FinalStates::stored_in_cascade(Job& job) {
    if (job.final_queued)
        dependents_.erase(&job);
    mark_stored(job);
    job.final_due_at = cluster_.view().now;
    push(named_in_cascade_, job, job.final_due_at);
}

} // namespace heronshift
