/// Write-ahead intents: which tasks may be on which machines.
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

/// A launch is sent only after the intent record that names it is stored (invariant 5; LaunchesOnlyWhatTheStoreHolds).
///
/// The records have room for many intents each. New ones are written, together with what is still live of it, into the
/// record that has least of that, so that a launch costs its share of one write and no live intent is ever
/// missing from the store. Entry::slot is the number of the record (-1: none yet), Entry::at_slot its place there.
class ClusterRecords::IntentRecords {
public:
    IntentRecords(cluster::ClusterState& cluster, const Settings& settings, const StoreLimits& limits,
                  ObsoleteRecords& obsolete);

    void add(cluster::Entry& entry);
    void remove(cluster::Entry& entry);
    /// Whether there are intents that no record names yet.
    [[nodiscard]] bool waiting() const {
        return !unrecorded_.empty();
    }
    [[nodiscard]] persistence::Backlog backlog() const;
    void collect(persistence::TransactionBuilder& transaction);
    void committed(bool applied);
    void forget_in_flight() {
        in_flight_.clear();
    }

    // At a failover.
    void load(const std::vector<codec::Item>& items);
    /// Counts a task as on its machine until a heartbeat under this term lacks it, or the machine's lease has expired.
    /// @param record the number of the record that names it; -1: none that stays
    void load_intent(const intents::Intent& intent, int record);
    /// Holds the machine occupied: a record that cannot be read may have named any task of it. Its heartbeat under this
    /// term, or its expired lease, ends the doubt. Without a name, which means any machine, only time does.
    /// (ADamagedRecordKeepsItsMachineOccupiedUntilItIsProven)
    void hold_unproven(const std::string& machine);

private:
    static constexpr int no_record = -1;
    struct Record {
        std::vector<cluster::Entry*> entries;
        std::size_t obsolete = 0;          // intents that the store's copy names though they are gone
        std::size_t size = 0, written = 0; // bytes and intents of the store's copy
    };

    void load_record(const codec::Item& item);
    std::vector<cluster::Entry*>& list_of(int record);
    void put(cluster::Entry& entry, int record);
    void leave(cluster::Entry& entry);
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
    void settle(cluster::Entry& entry, bool applied);

    cluster::ClusterState& cluster_;
    const Settings& settings_;
    const StoreLimits& limits_;
    ObsoleteRecords& obsolete_records_;
    std::vector<Record> records_;
    std::vector<cluster::Entry*> unrecorded_;
    std::size_t next_rewritten_ = 0;
    double next_rewrite_at_ = 0;
    std::optional<std::size_t> oversized_; // a record that no longer fits: what is live of it goes into others
    std::vector<std::size_t> in_flight_;   // numbers of records
};

} // namespace heronshift
