/// @file
/// The transactions of one term. Each transaction is guarded by the revisions of the leader record and of the term
/// counter, and increments the counter. Once a transaction has been applied, the guards of all earlier transactions
/// that have not reached the store yet fail (invariant 2 of docs/safety.md).
#pragma once

#include "heronshift/config.hpp"
#include "heronshift/messages.hpp"
#include "heronshift/store/store.hpp"
#include "leadership/leader_records.hpp"
#include "leadership/resignation.hpp"
#include "metrics/timings.hpp"
#include "timer_queue.hpp"

#include <cstdint>
#include <functional>

namespace heronshift::leadership {

/// Sends one transaction at a time and determines its outcome. All functions and callbacks run on the event loop's
/// thread. A failure of the store is reported as an outcome, not as an exception.
class TransactionQueue {
public:
    /// How the queue reports to its owner and queries it.
    struct Callbacks {
        /// The outcome of the pending transaction is known.
        std::function<void(TxnOutcome)> committed;
        /// A transaction has shown that the term is over.
        std::function<void(ResignReason)> term_over;
        /// Returns whether this node may act as leader. Not called while the queue waits for an answer of the store.
        std::function<bool()> valid;
    };

    /// Keeps all references. The durations of successful transactions are recorded in `timings`.
    TransactionQueue(const Settings& settings, TimerQueue& timers, store::StateStore& store, metrics::Timings& timings,
                     Callbacks callbacks)
        : settings_(settings), timers_(timers), store_(store), timings_(timings), callbacks_(std::move(callbacks)) {}

    /// Begins a term. `revision`: the revision at which the term's claim wrote the leader record and the term counter.
    void begin(std::uint64_t term, std::uint64_t revision);
    /// Ends the term: the outcome of a pending transaction is not reported any more.
    void stop() {
        ++epoch_;
    }
    /// Sends a transaction. The outcome of the previous one must have been reported through Callbacks::committed.
    void send(Commit commit) {
        send(std::move(commit), 0);
    }

private:
    void send(Commit commit, int attempts);
    void handle_answer(Commit commit, int attempts, const store::Answer& answer);
    void report_refusal(TxnOutcome outcome);
    void read_term_counter(Commit commit, int attempts);
    void read_term_counter_later(Commit commit, int attempts);
    void resolve_outcome(Commit commit, int attempts, const TermCounter& counter, std::uint64_t revision);
    void applied(std::uint64_t revision);

    const Settings& settings_;
    TimerQueue& timers_;
    store::StateStore& store_;
    metrics::Timings& timings_;
    Callbacks callbacks_;
    std::uint64_t epoch_ = 0; // changes with the term; results of calls made in an earlier epoch are ignored
    std::uint64_t term_ = 0;
    std::uint64_t leader_key_revision_ = 0;
    std::uint64_t term_counter_revision_ = 0;
    std::uint64_t transactions_ = 0; // how many transactions of this term were applied
};

} // namespace heronshift::leadership
