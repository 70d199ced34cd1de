// The deterministic state machine of one leader's term: it takes commands and returns effects. All changes go through
// step(commands, now) -> effects. It uses no I/O, clock or randomness, so that a recorded term can be replayed
// (replay/). Not thread-safe.
//
// The core only defines the sequence of the steps. The state and its rules are in cluster/; the policies, which read a
// const view and make proposals, are in scheduling/; the management of stored records is in persistence/.
#pragma once

#include "cluster/cluster_state.hpp"
#include "heronshift/messages.hpp"
#include "metrics/metrics.hpp"
#include "persistence/cluster_records.hpp"
#include "scheduling/autoscaler.hpp"
#include "scheduling/placement.hpp"
#include "scheduling/rebalancer.hpp"

#include <optional>
#include <string>
#include <vector>

namespace heronshift {

using cluster::attempt_counter_bits;
using cluster::JobView;
using cluster::token_counter_bits;

class Core {
public:
    /// Begins a term from `stored`, the contents of the store when this node became the leader. `settings` must outlive
    /// the core. `now` is in seconds of the steady clock, `wall` in seconds since 1970.
    Core(const Settings& settings, std::uint64_t term, const Snapshot& stored, double now, double wall);
    Core(const Core&) = delete;
    Core& operator=(const Core&) = delete;

    /// Applies the commands in their order and returns the effects in the order in which they are to be carried out.
    /// `may_act` says whether this node may act as leader at this moment. If not, heartbeats are refused and all other
    /// commands remain in `commands` until it may act again.
    std::vector<Effect> step(std::vector<Command>& commands, double now, double wall, bool may_act = true);
    /// The time at which step() has to be called even if there are no commands.
    [[nodiscard]] double wake_at() const {
        return wake_at_;
    }

    /// The status of the job; none if this leader does not know it, so that the store has to be asked. A status is
    /// never older than one reported before.
    [[nodiscard]] std::optional<JobView> view(const std::string& id) const {
        return cluster_.job(id);
    }
    [[nodiscard]] std::vector<metrics::Value> metrics() const;

    /// The shape of a job that this leader knows, which proves that the job was accepted; none if it does not.
    [[nodiscard]] std::optional<Shape> shape_of(const std::string& id) const;

    // For tests.

    /// Number of the job's tasks that may be on machines.
    [[nodiscard]] std::size_t live_tasks(const std::string& job) const;
    [[nodiscard]] std::size_t machines_up() const;
    [[nodiscard]] std::size_t machine_count() const {
        return cluster_.view().machines.size();
    }
    [[nodiscard]] const cluster::ClusterData& state() const {
        return cluster_.view();
    }

private:
    void apply(Command& command);
    void refuse_heartbeats(std::vector<Command>& commands);
    void tick(double now);
    void schedule(double now);
    void adjust_fleet(double now);
    void rebalance(double now);
    [[nodiscard]] double next_wake(double now) const;

    const Settings& settings_;
    std::vector<Effect> effects_;
    cluster::ClusterState cluster_;
    ClusterRecords records_;
    scheduling::Placement placement_;
    scheduling::Rebalancer rebalancer_;
    scheduling::Autoscaler autoscaler_;
    double wake_at_ = 0, next_tick_ = 0, next_round_ = 0, next_fleet_plan_ = 0, next_schedule_ = 0;
};

} // namespace heronshift
