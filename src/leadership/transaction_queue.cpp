#include "heronshift/leadership/transaction_queue.hpp"

#include <spdlog/spdlog.h>

namespace heronshift::leadership {
namespace {

constexpr int max_tries = 3; // to settle an outcome while this node may not act

} // namespace

void TransactionQueue::applied(std::uint64_t mod_revision) {
    term_counter_revision_ = mod_revision;
    ++count_;
    ends_.done(TxnOutcome::applied);
}

void TransactionQueue::send(Commit c, int tries) {
    const auto gen = generation_;
    auto writes = c.writes;
    writes.push_back({term_counter_key, codec::Json{{"term", term_}, {"n", count_ + 1}}, 0});
    store_.transact({{leader_key, leader_key_revision_}, {term_counter_key, term_counter_revision_}}, writes,
                    settings_.report_s / 3,
                    [this, gen, c = std::move(c), tries, began = timers_.now()](store::Answer&& r) mutable {
                        if (gen != generation_)
                            return;
                        if (r.status == 200) {
                            took_.commit.add(timers_.now() - began);
                            return applied(r.revision);
                        }
                        if ((r.status == 429 || r.status == 503 || r.status == 400) && tries == 0) {
                            // Surely not executed.
                            if (r.status == 400)
                                spdlog::error("the state service calls a transaction malformed: {}", r.error);
                            const auto outcome = r.status == 400 ? TxnOutcome::too_large : TxnOutcome::refused;
                            return timers_.after(settings_.report_s / 20, [this, gen, outcome] {
                                if (gen == generation_)
                                    ends_.done(outcome);
                            });
                        }
                        resolve(std::move(c), tries + 1);
                    });
}

// The outcome is open, or a guard failed: the round says whether the transaction was applied.
void TransactionQueue::resolve(Commit c, int tries) {
    const auto gen = generation_;
    store_.get(term_counter_key, settings_.report_s / 3,
               [this, gen, c = std::move(c), tries](store::Answer&& r) mutable {
                   if (gen != generation_)
                       return;
                   const auto& item = r.item;
                   if (!item || !item->value.is_object())
                       return timers_.after(settings_.report_s / 10, [this, gen, c = std::move(c), tries]() mutable {
                           if (gen == generation_)
                               resolve(std::move(c), tries);
                       });
                   if (item->value.value("term", std::uint64_t{0}) != term_)
                       return ends_.over("another term has begun");
                   if (item->value.value("n", std::uint64_t{0}) == count_ + 1)
                       return applied(item->mod_revision);
                   if (tries > max_tries && !ends_.valid())
                       return ends_.over("no office and no answer");
                   send(std::move(c), tries);
               });
}

} // namespace heronshift::leadership
