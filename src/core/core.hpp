// One leader's term: commands in, effects out. step(commands, now) -> effects is the only way in; no
// I/O, clock or randomness of its own, so that a recorded term can be run again (replay/). One thread.
//
// The core only sequences: the state and its rules are in cluster/, the policies, which read a const view and propose,
// in scheduling/, and what the store holds in persistence/.
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
    /// Begins a term with what the store held when the leadership was taken. `settings` must outlive it. `now` is
    /// seconds of the steady clock, `wall` seconds since 1970.
    Core(const Settings& settings, std::uint64_t term, const Snapshot& stored, double now, double wall);
    Core(const Core&) = delete;
    Core& operator=(const Core&) = delete;

    /// Takes the commands in their order and returns what is to be done, in that order. `may_act`: this node may act as
    /// leader at this moment. While it may not, it refuses heartbeats and leaves all else among the commands until it
    /// may again.
    std::vector<Effect> step(std::vector<Command>& commands, double now, double wall, bool may_act = true);
    /// When step() wants to be called even if no command comes.
    [[nodiscard]] double wake_at() const {
        return wake_at_;
    }

    /// None: not known here, ask the store. An answer is never older than what was told before.
    [[nodiscard]] std::optional<JobView> view(const std::string& id) const {
        return cluster_.job(id);
    }
    [[nodiscard]] std::vector<metrics::Value> metrics() const;

    /// The shape of a job that is alive here, which proves that it was accepted.
    [[nodiscard]] std::optional<Shape> shape_of(const std::string& id) const;

    /// For tests: what is believed to be on machines.
    [[nodiscard]] std::size_t live_tasks(const std::string& job) const;
    [[nodiscard]] std::size_t machines_up() const;
    [[nodiscard]] std::size_t machine_count() const {
        return cluster_.view().machines.size();
    }
    [[nodiscard]] const cluster::ClusterData& state() const {
        return cluster_.view();
    }

private:
    void take(Command& command);
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
    double wake_at_ = 0, next_tick_ = 0, next_round_ = 0, next_rent_ = 0, next_schedule_ = 0;
};

} // namespace heronshift
