/// @file
/// The transactions of one term. Each guards the leader's record and the term counter and raises the counter, so that
/// each makes all earlier ones that are still under way fail (invariant 2 of docs/safety.md).
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

/// Sends one transaction at a time and settles its outcome. All functions and callbacks run on the loop's thread; a
/// failure of the store is an outcome and throws nothing.
class TransactionQueue {
public:
    /// What the queue reports and asks.
    struct Callbacks {
        /// The transaction's outcome is known.
        std::function<void(TxnOutcome)> committed;
        /// A transaction has shown that the term is over.
        std::function<void(ResignReason)> term_over;
        /// Whether this node may act as leader. Not asked while the queue waits for answers.
        std::function<bool()> valid;
    };

    /// Keeps the references. The time that transactions take is counted in `timings`.
    TransactionQueue(const Settings& settings, TimerQueue& timers, store::StateStore& store, metrics::Timings& timings,
                     Callbacks callbacks)
        : settings_(settings), timers_(timers), store_(store), timings_(timings), callbacks_(std::move(callbacks)) {}

    /// Begins a term; `revision` is the one in which its claim wrote both records.
    void begin(std::uint64_t term, std::uint64_t revision);
    /// Ends the term: outcomes that are still open are reported to nobody.
    void stop() {
        ++epoch_;
    }
    /// Sends a transaction; the one before must have been reported by Callbacks::committed.
    void send(Commit commit) {
        send(std::move(commit), 0);
    }

private:
    void send(Commit commit, int tries);
    void handle_answer(Commit commit, int tries, const store::Answer& answer);
    void report_refusal(TxnOutcome outcome);
    void resolve(Commit commit, int tries);
    void resolve_later(Commit commit, int tries);
    void settle(Commit commit, int tries, const TermCounter& counter, std::uint64_t revision);
    void applied(std::uint64_t revision);

    const Settings& settings_;
    TimerQueue& timers_;
    store::StateStore& store_;
    metrics::Timings& timings_;
    Callbacks callbacks_;
    std::uint64_t epoch_ = 0; // of the term: answers to calls of an earlier one are dropped
    std::uint64_t term_ = 0;
    std::uint64_t leader_key_revision_ = 0;
    std::uint64_t term_counter_revision_ = 0;
    std::uint64_t transactions_ = 0; // of this term that were applied
};

} // namespace heronshift::leadership
