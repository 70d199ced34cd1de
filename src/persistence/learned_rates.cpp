#include "learned_rates.hpp"

#include "persistence/layout.hpp"

#include "stored_records.hpp"

#include <algorithm>
#include <cmath>

namespace heronshift {
namespace {

constexpr std::size_t estimated_record_bytes = 160;

} // namespace

void ClusterRecords::LearnedRates::add_writes(persistence::TransactionBuilder& transaction) {
    const auto& data = cluster_.view();
    if (data.now < next_write_at_ || transaction.would_overflow(limits_.max_writes / 2))
        return;
    next_write_at_ = data.now + 2 * settings_.report_s;
    const auto& learned = data.learned;
    const auto decay_since = [&](double at) { return std::exp(-(data.now - at) / data.averaging_period_s()); };
    const double offered_decay = decay_since(learned.offered_at);
    persistence::LearnedRecord record;
    record.written_at = data.wall;
    record.offered_load = learned.offered * offered_decay;
    record.offered_on_demand = learned.offered_on_demand * offered_decay;
    record.ran_s = learned.ran_s;
    record.estimated_s = learned.estimated_s;
    record.spot_losses = learned.spot_losses * decay_since(learned.spot_losses_at);
    transaction.put(persistence::learned_key(), persistence::encode_learned(record), estimated_record_bytes);
}

void ClusterRecords::LearnedRates::load(const std::vector<codec::Item>& items, double wall) {
    for (const auto& item : items)
        load_record(item, wall);
}

void ClusterRecords::LearnedRates::load_record(const codec::Item& item, double wall) {
    const auto record = persistence::decode_learned(item.value);
    if (!record)
        return;
    auto& data = cluster_.data_;
    auto& learned = data.learned;
    const double decay = std::exp(-std::max(0.0, wall - record->written_at) / data.averaging_period_s());
    // The maximum rather than the sum: jobs loaded from the store count as offered work already, and the stored value
    // includes them.
    learned.offered = std::max(learned.offered, record->offered_load * decay);
    learned.offered_on_demand = std::max(learned.offered_on_demand, record->offered_on_demand * decay);
    learned.spot_losses = record->spot_losses * decay;
    learned.offered_at = learned.spot_losses_at = data.now;
    learned.ran_s = record->ran_s;
    learned.estimated_s = record->estimated_s;
}

} // namespace heronshift
