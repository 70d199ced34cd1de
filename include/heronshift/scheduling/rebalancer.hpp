// Rounds: pull-back from overflow to the pool, then reordering, both capped (the paper's algorithm 2).
#pragma once

#include "heronshift/cluster/proposals.hpp"
#include "heronshift/scheduling/placement_cost.hpp"

namespace heronshift::scheduling {

class Rebalancer {
public:
    Rebalancer(const ClusterData& view, cluster::Proposals& out)
        : cluster_(view), settings_(view.settings), proposals_(out) {}
    void rebalance();

private:
    using Planned = std::unordered_map<const Machine*, Resources>; // room a round has given away
    [[nodiscard]] bool movable(const Entry& entry) const;
    void move_away(const Entry& entry);
    const Machine* place_to_move(const Entry& entry, const std::vector<const Machine*>& to, Planned& planned) const;
    void pull_back(const std::vector<const Machine*>& pool_machines, const Resources& pool, int cap, Planned& planned);
    void reorder(std::vector<const Machine*>& pool_machines, std::vector<const Machine*>& leaving,
                 const std::vector<const Machine*>& to, int cap, Planned& planned);

    const ClusterData& cluster_;
    const Settings& settings_;
    cluster::Proposals& proposals_;
};

} // namespace heronshift::scheduling
