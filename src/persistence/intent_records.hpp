/// Write-ahead intent records: which tasks may be on which machines.
#pragma once

#include "persistence/cluster_records.hpp"
#include "persistence/intents.hpp"

#include "backlog.hpp"
#include "obsolete_records.hpp"
#include "transaction_builder.hpp"

#include <optional>
#include <string>
#include <vector>

namespace heronshift {

/// Stores an intent for each entry, that is, for each placement of a task on a machine. A launch is sent only after the
/// record that holds its intent is stored (invariant 5; LaunchesOnlyWhatTheStoreHolds).
///
/// Each record has room for many intents. New intents go into the record with the fewest bytes of live intents, that
/// is, of intents whose entry still exists. The record is written again with its live intents and the new ones. So one
/// write stores many launches, and no live intent is ever missing from the store. `Entry::slot` is the number of the
/// record that holds the intent (-1: none yet), `Entry::slot_position` its index in `Record::entries`.
class ClusterRecords::IntentRecords {
public:
    IntentRecords(cluster::ClusterState& cluster, const Settings& settings, const StoreLimits& limits,
                  ObsoleteRecords& obsolete);

    void add(cluster::Entry& entry);
    void remove(cluster::Entry& entry);
    /// Whether there are intents that are in no record yet.
    [[nodiscard]] bool waiting() const {
        return !unrecorded_.empty();
    }
    [[nodiscard]] persistence::Backlog backlog() const;
    void add_writes(persistence::TransactionBuilder& transaction);
    void committed(bool applied);
    void forget_in_flight() {
        in_flight_.clear();
    }

    // The functions below are called at a failover.
    void load(const std::vector<codec::Item>& items);
    /// Takes the task to be on its machine until a heartbeat of this term does not list it or the machine's lease has
    /// expired.
    /// @param record the number of the record that holds the intent; -1 if none does, or if that record will be removed
    void load_intent(const intents::Intent& intent, int record);
    /// Marks the machine as unproven, since a record that cannot be read may have named any task as being on it. Until
    /// a heartbeat of the machine in this term, or the expiry of its lease, no task is placed on any machine. If
    /// `machine` is empty, the record may have named any machine, and only the expiry of all leases ends this.
    /// (ADamagedRecordKeepsItsMachineOccupiedUntilItIsProven)
    void mark_unproven(const std::string& machine);

private:
    static constexpr int no_record = -1;
    struct Record {
        std::vector<cluster::Entry*> entries;
        std::size_t obsolete = 0; // The number of intents in the stored copy whose entry no longer exists.
        // The bytes and the number of intents of the stored copy.
        std::size_t size = 0, written = 0;
    };

    void load_record(const codec::Item& item);
    std::vector<cluster::Entry*>& entries_of(int record);
    void put(cluster::Entry& entry, int record);
    void remove_from_list(cluster::Entry& entry);
    void move(cluster::Entry& entry, int record);

    [[nodiscard]] bool any_recordable() const;
    void order_by_urgency();
    [[nodiscard]] bool in_flight(std::size_t number) const;
    [[nodiscard]] double live_bytes(const Record& record) const;
    std::size_t emptiest_record();
    bool write_record(persistence::TransactionBuilder& transaction, std::size_t number);
    bool take(cluster::Entry& entry, std::size_t number, std::size_t& size);
    void take_unrecorded(std::size_t number, std::size_t& size);
    void take_from_oversized(std::size_t number, std::size_t& size);
    void rewrite_one_obsolete(persistence::TransactionBuilder& transaction);
    void apply_outcome(cluster::Entry& entry, bool applied);

    cluster::ClusterState& cluster_;
    const Settings& settings_;
    const StoreLimits& limits_;
    ObsoleteRecords& obsolete_records_;
    std::vector<Record> records_;
    std::vector<cluster::Entry*> unrecorded_;
    std::size_t next_rewrite_candidate_ = 0;
    double next_rewrite_at_ = 0;
    // The number of a record whose live intents exceed the size limit; they are moved to other records.
    std::optional<std::size_t> oversized_;
    std::vector<std::size_t> in_flight_; // The numbers of the records in the transaction in flight.
};

} // namespace heronshift
