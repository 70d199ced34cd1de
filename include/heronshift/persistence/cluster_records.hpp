// What the store holds of the cluster: read whole at a failover, written a little each round, one
// transaction at a time, most urgent first. Nothing is told that is not stored, and a placement is
// not launched before its record is.
//
// Owns: the ring of placement records, the progress records, which final states and ready jobs are
// due, the budget of changes, the transaction in flight. Its marks on jobs and entries (slot,
// recorded, final_queued, dated) are its own to write.
#pragma once

#include "heronshift/cluster/cluster_state.hpp"
#include "heronshift/persistence/intents.hpp"

namespace heronshift {

// What the store holds at a failover.
struct Snapshot {
    std::vector<codec::Item> jobs, intents, progress, images, learned;
    std::vector<codec::Item> earlier; // of the layout before: a record a machine, one a job
};

class ClusterRecords final : public cluster::PersistenceListener {
public:
    // Enters what the store holds into the cluster state, as it stands.
    ClusterRecords(cluster::ClusterState& cluster, const Settings& settings, const Snapshot& stored, double wall,
                   std::vector<Effect>& out);

    void added(cluster::Job& job) override;
    void added(cluster::Entry& entry) override;
    void removed(cluster::Entry& entry) override;
    void final_due(cluster::Job& job, Urgency urgency) override;
    void progressed(cluster::Job& job) override;
    void became_ready(cluster::Job& job) override;

    void collect_commit(); // the next transaction, if one is due and none is in flight
    void committed(const Committed& command);
    [[nodiscard]] bool waiting() const { // for the budget
        return !txn_open_ &&
               (!finals_.empty() || !cancelled_with_dependency_.empty() || !readies_.empty() || !unrecorded_.empty());
    }
    [[nodiscard]] bool late(double after_s) const { // the store's answer
        return txn_open_ && cluster_.view().now - sent_at_ > after_s;
    }
    [[nodiscard]] std::uint64_t committed_count() const {
        return committed_;
    }

private:
    using Entry = cluster::Entry;
    using Job = cluster::Job;
    struct Draft;
    void load(const Snapshot& snapshot, double wall);
    void load_intent(const intents::Intent& i, int slot);
    void load_done(Job& job, std::string_view ranges);
    void load_earlier(const Snapshot& snapshot);
    void hold_unproven(const std::string& machine);
    void draft_finals(Draft& draft);
    void draft_ready(Draft& draft);
    void draft_intents(Draft& draft);
    static std::string slot_text(std::vector<Entry*> list);
    static bool may_record(const Entry& entry);
    bool draft_slot(Draft& draft, std::size_t slot);
    void draft_progress(Draft& draft);
    void draft_images(Draft& draft);
    void load_images(const codec::Item& i);
    void draft_learned(Draft& draft);
    void load_learned(const codec::Item& i, double wall);
    void put_in_slot(Entry& entry, int slot);
    void leave_slot(Entry& entry);
    void drop_job(Job& job);
    static std::size_t bucket_of(const std::string& id);
    void log(LogLine::Level level, std::string text) {
        cluster_.log(level, std::move(text));
    }

    cluster::ClusterState& cluster_;
    const Settings& settings_;
    std::vector<Effect>& effects_;
    // The transaction being built and the one in flight.
    bool txn_open_ = false;
    double sent_at_ = 0; // the one in flight
    double write_tokens_ = 0, tokens_at_ = 0;
    std::deque<Job*> finals_, readies_;
    std::deque<Job*> cancelled_with_dependency_; // by a cancellation, maybe hundreds: after all other final states
    bool finals_only_ = false;                   // the last transaction held no placement
    std::size_t max_value_, max_ops_;            // of one record and one transaction: what the store takes
    std::deque<std::string> gone_records_;       // keys that mean nothing any more
    // Placements are stored in a ring of records: new ones go, with what is still live of it, into
    // the record that was written longest ago. So a launch costs its share of one write.
    struct Slot {
        std::vector<Entry*> entries;
        std::size_t stale = 0;             // named in the store though gone
        std::size_t size = 0, written = 0; // its length and placements, as last written
    };
    std::vector<Slot> ring_;
    std::vector<Entry*> unrecorded_;
    std::size_t next_slot_ = 0;
    int too_long_ = -1; // a record of the ring that no longer fits: what is live of it is carried on
    struct Bucket {     // a progress record: the done tasks of a share of the jobs
        bool dirty = false;
        double since = 0;
    };
    std::vector<Bucket> buckets_;
    double next_idle_write_ = 0, next_images_ = 0, next_learned_ = 0;
    struct InFlight {
        std::vector<std::pair<Job*, cluster::Final>> finals, moves;
        std::vector<Job*> readies;
        std::vector<std::pair<Job*, std::vector<std::uint32_t>>> progress;
        std::vector<std::size_t> slots, buckets;
        std::vector<std::string> gone;
    } in_flight_;
    std::size_t image_part_ = 0, image_parts_ = 0;
    std::string images_after_;
    std::uint64_t committed_ = 0;
};

} // namespace heronshift
