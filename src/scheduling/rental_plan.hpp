/// @file
/// What to rent for the work that waits, and which machines that were to become empty to keep after all. Decided from a
/// const view of the cluster; rentals and kept machines are proposed, and the cluster state checks them.
#pragma once

#include "array_demand.hpp"
#include "cluster/proposals.hpp"

#include <map>
#include <string>
#include <vector>

namespace heronshift::scheduling {

/// Whether a gang of tasks with accelerators may take the machine: nothing but a gang on it would be in its way.
[[nodiscard]] bool is_ready_for_gang(const Machine& machine);

/// One plan, made anew each round, on the thread that owns the state. What waits is first put, in thought, on machines
/// that are booting or asked for, then on machines on their way out, then on machines to rent. Machines that cost far
/// more than others are rented for arrays only as far as these would be late otherwise.
class RentalPlan {
public:
    /// Counts what the cluster has and what is coming.
    RentalPlan(const ClusterData& view, cluster::Proposals& out);
    RentalPlan(const RentalPlan&) = delete;
    RentalPlan& operator=(const RentalPlan&) = delete;

    /// Plans for each job that waits, the most urgent first.
    void serve_waiting();
    /// Plans for the next gang: so many machines with accelerators are to be free of gangs before it comes, since they
    /// may boot for longer than a gang may wait.
    void prepare_for_gang(double machines);
    /// Proposes the rentals, one request for each type, zone and kind that has none on the way.
    void propose();

private:
    // Room on a machine that is booting, asked for or planned.
    struct ComingRoom {
        Resources free;
        const MachineType* type;
        std::string zone;
        bool spot;
    };
    // A kind of machine to rent.
    struct Source {
        std::string key; // "type/zone/spot", as in ClusterData::no_capacity
        const MachineType* type;
        const std::string* zone;
        bool spot;
        bool refused;          // a moment ago there was none to be had
        int* machines_in_zone; // in machines_in_zone_
    };

    void count_machine(const Machine& machine);
    void count_rental(const Pending& rental);
    void add_coming(const MachineType& type, const std::string& zone, bool spot);
    void count_capacity(const Resources& whole, double cpus, bool spot);
    void list_sources();
    [[nodiscard]] bool is_refused(const std::string& key) const;

    [[nodiscard]] bool lacks_cpus_for(const Job& job) const;
    [[nodiscard]] bool may_use(const Job& job, const ComingRoom& room) const;
    [[nodiscard]] int use_coming(const Job& job, int tasks);
    [[nodiscard]] int use_leaving(const Job& job, int tasks);
    [[nodiscard]] const Machine* fullest_leaving(const Job& job) const;
    const Machine* keep_again(const Job& job);
    [[nodiscard]] const Source* cheapest_source(const Job& job, bool at_any_price) const;
    [[nodiscard]] bool rent_one(const Source& source);
    void find_places(const Job& job, int tasks);
    [[nodiscard]] bool is_on_the_way(const Pending& rental) const;

    const ClusterData& cluster_;
    const Settings& settings_;
    cluster::Proposals& proposals_;
    std::vector<ComingRoom> coming_;
    std::vector<const Machine*> leaving_; // to become empty, and not given back yet
    std::map<std::string, int> machines_in_zone_;
    std::vector<Source> sources_;
    CpuAmount capacity_;                    // what arrays have or will have
    CpuAmount need_;                        // what they need
    int ready_for_gangs_ = 0;               // machines that a gang may have, if need be by taking the place of arrays
    std::map<std::string, Pending> wanted_; // by Source::key
};

} // namespace heronshift::scheduling
