/// The done tasks of jobs that are not final.
#pragma once

#include "persistence/cluster_records.hpp"

#include "transaction_builder.hpp"

#include <string_view>
#include <vector>

namespace heronshift {

/// Jobs are spread over a fixed number of records. A change waits a while for others in its record: losing it costs
/// only an image fetch, since a finished task that is started again ends at once. A worker is told to forget a done
/// task only once it is stored (invariant 6; DoneIsReapedOnlyOnceTheStoreHoldsIt).
class ClusterRecords::ProgressRecords {
public:
    ProgressRecords(cluster::ClusterState& cluster, const Settings& settings, const StoreLimits& limits);

    /// The record of a job. Every leader must find it in the same one.
    [[nodiscard]] static std::size_t number_of(std::string_view job);
    /// Tasks of the job are newly done.
    void changed(const cluster::Job& job);
    void collect(persistence::TransactionBuilder& transaction);
    void committed(bool applied);
    void forget_in_flight() {
        tasks_in_flight_.clear();
        records_in_flight_.clear();
    }

    // At a failover.
    void load(const std::vector<codec::Item>& items);
    /// Marks tasks as done and stored.
    /// @param ranges see intents::ranges_of()
    static void load_done(cluster::Job& job, std::string_view ranges);

private:
    struct Record {
        bool changed = false;
        double changed_at = 0; // the first change that is not written
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
