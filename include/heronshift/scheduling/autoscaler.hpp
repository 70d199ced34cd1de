// Capacity: what to rent, keep, empty and give back. Owns how many machines gangs should find ready.
#pragma once

#include "heronshift/cluster/proposals.hpp"
#include "heronshift/scheduling/placement_cost.hpp"

namespace heronshift::scheduling {

class Autoscaler {
public:
    Autoscaler(const ClusterData& view, cluster::Proposals& out)
        : cluster_(view), settings_(view.settings), proposals_(out) {}
    void plan_capacity();
    void plan_shrink();
    void return_machines();
    void watch_silent();
    void log_fleet(); // one line a kind of machine, for operators

private:
    struct Cpus {
        double all = 0, ordinary = 0; // of that: for work that may not use spot
    };
    [[nodiscard]] Cpus array_need() const;
    [[nodiscard]] Cpus offered() const;
    static double price_per_cpu(const MachineType& type, bool spot);
    struct Source { // a kind of machine to rent
        std::string key;
        const MachineType* type;
        const std::string* zone;
        bool spot;
        bool refused; // none to be had a moment ago
        int* in_zone; // how many machines there are in its zone
    };
    void list_sources(std::map<std::string, int>& in_zone);
    [[nodiscard]] const Source* cheapest_source(const Job& job, bool dear) const;
    const Machine* keep_again(const Job& job);
    static bool is_ready(const Machine& machine);
    [[nodiscard]] bool
    inbound_unreachable_for_long(const Machine& machine,
                                 const std::map<int, std::pair<int, int>>& inbound_unreachable_by_zone) const;
    void queue_rentals(std::map<std::string, Pending>& wanted);

    const ClusterData& cluster_;
    const Settings& settings_;
    cluster::Proposals& proposals_;
    double keep_ready_ = 0, next_silent_ = 0;
    // Of one plan:
    std::vector<Source> sources_;
    std::vector<const Machine*> leaving_; // to become empty, and not given back yet
};

} // namespace heronshift::scheduling
