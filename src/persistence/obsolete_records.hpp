/// Removes stored records that are no longer used.
#pragma once

#include "persistence/cluster_records.hpp"

#include "transaction_builder.hpp"

#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace heronshift {

/// The keys of records to be removed: those of earlier layouts, those that were needed when the cluster was larger and
/// intent records with an invalid number. Removing them is not urgent.
class ClusterRecords::ObsoleteRecords {
public:
    void add(std::string key) {
        keys_.push_back(std::move(key));
    }
    void add_writes(persistence::TransactionBuilder& transaction) {
        while (!keys_.empty() && !transaction.would_overflow(1)) {
            transaction.erase(keys_.front());
            in_flight_.push_back(std::move(keys_.front()));
            keys_.pop_front();
        }
    }
    void committed(bool applied) {
        for (auto& key : std::exchange(in_flight_, {}))
            if (!applied)
                keys_.push_back(std::move(key));
    }
    void forget_in_flight() {
        in_flight_.clear();
    }

private:
    std::deque<std::string> keys_;
    std::vector<std::string> in_flight_;
};

} // namespace heronshift
