/// Which machine holds which image, for the next leader.
#pragma once

#include "persistence/cluster_records.hpp"

#include "obsolete_records.hpp"
#include "transaction_builder.hpp"

#include <string>
#include <vector>

namespace heronshift {

/// Hints that spare the next leader fetches of images. Written now and then, a record with a share of the machines at a
/// time; a write that is refused is not repeated.
class ClusterRecords::ImageHints {
public:
    ImageHints(cluster::ClusterState& cluster, const Settings& settings, const StoreLimits& limits,
               ObsoleteRecords& obsolete)
        : cluster_(cluster), settings_(settings), limits_(limits), obsolete_records_(obsolete) {}

    void collect(persistence::TransactionBuilder& transaction);
    void load(const std::vector<codec::Item>& items);

private:
    void load_record(const codec::Item& item);
    [[nodiscard]] std::vector<const std::string*> image_names() const;
    void begin_anew();

    cluster::ClusterState& cluster_;
    const Settings& settings_;
    const StoreLimits& limits_;
    ObsoleteRecords& obsolete_records_;
    double next_write_at_ = 0;
    std::size_t next_record_ = 0, records_ = 0; // the number to be written next; how many there are in the store
    std::string after_machine_;                 // the last one in the record before
};

} // namespace heronshift
