// The transactions of one term. Each guards the leadership and continues the round's count, so that each
// makes all earlier ones that are still under way fail.
//
// Owns: the stamps of leadership and round, the round's count. May call the store only.
#pragma once

#include "heronshift/config.hpp"
#include "heronshift/messages.hpp"
#include "heronshift/metrics/timings.hpp"
#include "heronshift/store/store.hpp"
#include "heronshift/timer_queue.hpp"

#include <functional>

namespace heronshift::leadership {

inline constexpr const char* leader_key = "office";
inline constexpr const char* term_counter_key = "round";

class TransactionQueue {
public:
    struct Ends { // of a transaction, and of the term that it shows to be over
        std::function<void(TxnOutcome)> done;
        std::function<void(const std::string& why)> over;
        std::function<bool()> valid; // whether the node may act; not asked while it waits for answers
    };
    TransactionQueue(const Settings& settings, TimerQueue& timers, store::StateStore& store,
                     metrics::Timings& became_leader, Ends ends)
        : settings_(settings), timers_(timers), store_(store), took_(became_leader), ends_(std::move(ends)) {}

    void begin(std::uint64_t term, std::uint64_t mod_revision) {
        ++generation_;
        term_ = term, leader_key_revision_ = term_counter_revision_ = mod_revision, count_ = 0;
    }
    void stop() {
        ++generation_;
    }
    void send(Commit effect) {
        send(std::move(effect), 0);
    }

private:
    void send(Commit effect, int tries);
    void resolve(Commit effect, int tries);
    void applied(std::uint64_t mod_revision);

    const Settings& settings_;
    TimerQueue& timers_;
    store::StateStore& store_;
    metrics::Timings& took_;
    Ends ends_;
    std::uint64_t generation_ = 0, term_ = 0, leader_key_revision_ = 0, term_counter_revision_ = 0, count_ = 0;
};

} // namespace heronshift::leadership
