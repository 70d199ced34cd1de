#include "leadership/transaction_queue.hpp"

#include "leadership/store_outcome.hpp"

#include <spdlog/spdlog.h>

namespace heronshift::leadership {
namespace {

// A transaction that is not applied is sent again. After this many repeated sends, the term ends instead if this node
// may not act as leader.
constexpr int max_resends_while_inactive = 3;

} // namespace

void TransactionQueue::begin(std::uint64_t term, std::uint64_t revision) {
    ++epoch_;
    term_ = term;
    leader_key_revision_ = revision;
    term_counter_revision_ = revision;
    transactions_ = 0;
}

void TransactionQueue::applied(std::uint64_t revision) {
    term_counter_revision_ = revision;
    ++transactions_;
    callbacks_.committed(TxnOutcome::applied);
}

void TransactionQueue::send(Commit commit, int attempts) {
    auto writes = commit.writes;
    writes.push_back({term_counter_key, encode(TermCounter{term_, transactions_ + 1}), 0});
    store_.transact({{leader_key, leader_key_revision_}, {term_counter_key, term_counter_revision_}}, writes,
                    settings_.report_s / 3,
                    [this, epoch = epoch_, commit = std::move(commit), attempts,
                     sent_at = timers_.now()](store::Answer&& answer) mutable {
                        if (epoch != epoch_)
                            return;
                        if (store_outcome(answer) == StoreOutcome::ok)
                            timings_.commit.add(timers_.now() - sent_at);
                        handle_answer(std::move(commit), attempts, answer);
                    });
}

void TransactionQueue::handle_answer(Commit commit, int attempts, const store::Answer& answer) {
    const auto outcome = store_outcome(answer);
    if (outcome == StoreOutcome::ok)
        return applied(answer.revision);
    // If the transaction has been sent before, an earlier copy may have been applied even though this one was refused.
    if (!is_refused(outcome) || attempts > 0)
        return read_term_counter(std::move(commit), attempts + 1);
    if (outcome == StoreOutcome::invalid)
        spdlog::error("transaction rejected as invalid term={} error=\"{}\"", term_, answer.error);
    report_refusal(outcome == StoreOutcome::invalid ? TxnOutcome::too_large : TxnOutcome::refused);
}

void TransactionQueue::report_refusal(TxnOutcome outcome) {
    timers_.after(settings_.report_s / 20, [this, epoch = epoch_, outcome] {
        if (epoch == epoch_)
            callbacks_.committed(outcome);
    });
}

// Called when the outcome is unknown or a guard failed. Reads the term counter, which shows whether the transaction was
// applied (invariant 2).
void TransactionQueue::read_term_counter(Commit commit, int attempts) {
    store_.get(term_counter_key, settings_.report_s / 3,
               [this, epoch = epoch_, commit = std::move(commit), attempts](store::Answer&& answer) mutable {
                   if (epoch != epoch_)
                       return;
                   if (const auto counter = decode_term_counter(answer.item); counter)
                       resolve_outcome(std::move(commit), attempts, *counter, answer.item->mod_revision);
                   else
                       read_term_counter_later(std::move(commit), attempts);
               });
}

void TransactionQueue::read_term_counter_later(Commit commit, int attempts) {
    timers_.after(settings_.report_s / 10, [this, epoch = epoch_, commit = std::move(commit), attempts]() mutable {
        if (epoch == epoch_)
            read_term_counter(std::move(commit), attempts);
    });
}

void TransactionQueue::resolve_outcome(Commit commit, int attempts, const TermCounter& counter,
                                       std::uint64_t revision) {
    if (counter.term != term_)
        return callbacks_.term_over(ResignReason::newer_term_stored);
    if (counter.transactions == transactions_ + 1)
        return applied(revision);
    if (attempts > max_resends_while_inactive && !callbacks_.valid())
        return callbacks_.term_over(ResignReason::outcome_unknown);
    send(std::move(commit), attempts);
}

} // namespace heronshift::leadership
