/// Stores the done tasks of jobs that are not over.
#pragma once

#include "persistence/cluster_records.hpp"

#include "transaction_builder.hpp"

#include <string_view>
#include <vector>

namespace heronshift {

/// Jobs are distributed over a fixed number of records. A changed record is written only after a delay, so that several
/// changes share one write. Losing a change costs only an image fetch, since a done task that is started again ends at
/// once. A worker is told to forget a done task only once the store holds that it is done (invariant 6;
/// DoneIsReapedOnlyOnceTheStoreHoldsIt).
class ClusterRecords::ProgressRecords {
public:
    ProgressRecords(cluster::ClusterState& cluster, const Settings& settings, const StoreLimits& limits);

    /// Returns the number of the record that holds the job's done tasks. It must be the same for every leader.
    [[nodiscard]] static std::size_t record_number_of(std::string_view job);
    /// To be called when more tasks of the job are done; its record is then due to be written.
    void changed(const cluster::Job& job);
    void add_writes(persistence::TransactionBuilder& transaction);
    void committed(bool applied);
    void forget_in_flight() {
        tasks_in_flight_.clear();
        records_in_flight_.clear();
    }

    // The functions below are called at a failover.
    void load(const std::vector<codec::Item>& items);
    /// Marks tasks as done and as stored.
    /// @param ranges indices of tasks, in the format of `intents::encode_ranges`
    static void load_done(cluster::Job& job, std::string_view ranges);

private:
    struct Record {
        bool changed = false;
        double changed_at = 0; // When the first change that is not written yet was made.
    };
    struct TasksInFlight {
        cluster::Job* job;
        std::vector<std::uint32_t> tasks;
    };
    void write(persistence::TransactionBuilder& transaction, std::size_t number);

    cluster::ClusterState& cluster_;
    const Settings& settings_;
    const StoreLimits& limits_;
    std::vector<Record> records_;
    std::vector<TasksInFlight> tasks_in_flight_;
    std::vector<std::size_t> records_in_flight_;
};

} // namespace heronshift
