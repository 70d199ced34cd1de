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

void TransactionQueue::send(Commit effect, int tries) {
    const auto gen = generation_;
    auto writes = effect.writes;
    writes.push_back({term_counter_key, codec::Json{{"term", term_}, {"n", count_ + 1}}, 0});
    store_.transact(
        {{leader_key, leader_key_revision_}, {term_counter_key, term_counter_revision_}}, writes,
        settings_.report_s / 3,
        [this, gen, effect = std::move(effect), tries, began = timers_.now()](store::Answer&& answer) mutable {
            if (gen != generation_)
                return;
            if (answer.status == 200) {
                took_.commit.add(timers_.now() - began);
                return applied(answer.revision);
            }
            if ((answer.status == 429 || answer.status == 503 || answer.status == 400) && tries == 0) {
                // Surely not executed.
                if (answer.status == 400)
                    spdlog::error("the state service calls a transaction malformed: {}", answer.error);
                const auto outcome = answer.status == 400 ? TxnOutcome::too_large : TxnOutcome::refused;
                return timers_.after(settings_.report_s / 20, [this, gen, outcome] {
                    if (gen == generation_)
                        ends_.done(outcome);
                });
            }
            resolve(std::move(effect), tries + 1);
        });
}

// The outcome is open, or a guard failed: the round says whether the transaction was applied.
void TransactionQueue::resolve(Commit effect, int tries) {
    const auto gen = generation_;
    store_.get(term_counter_key, settings_.report_s / 3,
               [this, gen, effect = std::move(effect), tries](store::Answer&& answer) mutable {
                   if (gen != generation_)
                       return;
                   const auto& item = answer.item;
                   if (!item || !item->value.is_object())
                       return timers_.after(settings_.report_s / 10,
                                            [this, gen, effect = std::move(effect), tries]() mutable {
                                                if (gen == generation_)
                                                    resolve(std::move(effect), tries);
                                            });
                   if (item->value.value("term", std::uint64_t{0}) != term_)
                       return ends_.over("another term has begun");
                   if (item->value.value("n", std::uint64_t{0}) == count_ + 1)
                       return applied(item->mod_revision);
                   if (tries > max_tries && !ends_.valid())
                       return ends_.over("no office and no answer");
                   send(std::move(effect), tries);
               });
}

} // namespace heronshift::leadership
