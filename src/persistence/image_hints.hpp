/// Stored hints for the next leader about which machines hold which images.
#pragma once

#include "persistence/cluster_records.hpp"

#include "obsolete_records.hpp"
#include "transaction_builder.hpp"

#include <string>
#include <vector>

namespace heronshift {

/// Stores which machines hold which images, so that the next leader can place tasks where their images are and fewer
/// images have to be fetched again. Every 2 `report_s` one record is written, which covers a part of the machines, in
/// the order of their ids. Since these are only hints, a write that was refused is not retried.
class ClusterRecords::ImageHints {
public:
    ImageHints(cluster::ClusterState& cluster, const Settings& settings, const StoreLimits& limits,
               ObsoleteRecords& obsolete)
        : cluster_(cluster), settings_(settings), limits_(limits), obsolete_records_(obsolete) {}

    void add_writes(persistence::TransactionBuilder& transaction);
    void load(const std::vector<codec::Item>& items);

private:
    void load_record(const codec::Item& item);
    [[nodiscard]] std::vector<const std::string*> image_names() const;
    void start_next_cycle();

    cluster::ClusterState& cluster_;
    const Settings& settings_;
    const StoreLimits& limits_;
    ObsoleteRecords& obsolete_records_;
    double next_write_at_ = 0;
    // The number of the record to be written next, and how many records the store holds.
    std::size_t next_record_ = 0, stored_record_count_ = 0;
    std::string last_machine_written_; // The last machine in the record that was written last.
};

} // namespace heronshift
