/// @file
/// Decides which machines to rent for waiting tasks, and for which machines retirement is cancelled. The decisions are
/// made on a const view of the cluster and only proposed; the cluster state checks them.
#pragma once

#include "array_demand.hpp"
#include "cluster/proposals.hpp"

#include <map>
#include <string>
#include <vector>

namespace heronshift::scheduling {

/// Whether a gang that needs accelerators could use the machine: it is an on-demand machine with accelerators, none
/// of which is in use by a task that cannot be preempted.
[[nodiscard]] bool is_ready_for_gang(const Machine& machine);

/// The plan of one round, used on the thread that owns the state. It assigns the waiting tasks on paper only: first to
/// machines that are booting or already requested, then to retiring machines, which are kept, and last to machines to
/// rent. Machines that cost far more than others are rented for arrays only if these would be late otherwise.
class RentalPlan {
public:
    /// Counts the existing machines and those that are booting or requested.
    RentalPlan(const ClusterData& view, cluster::Proposals& out);
    RentalPlan(const RentalPlan&) = delete;
    RentalPlan& operator=(const RentalPlan&) = delete;

    /// Plans for each waiting job, the most urgent first.
    void serve_waiting();
    /// Plans for the next gang. `machines` machines with accelerators are to be free of gangs before it arrives, since
    /// they may take longer to boot than a gang may wait.
    void prepare_for_gang(double machines);
    /// Proposes the rentals, one request for each machine type, zone and kind (spot or not) without a pending request.
    void propose();

private:
    // The room on a machine that is booting, requested or planned.
    struct ComingRoom {
        Resources free;
        const MachineType* type;
        std::string zone;
        bool spot;
    };
    // A combination of machine type, zone and kind (spot or not) that can be rented.
    struct Source {
        std::string key; // "type/zone/spot", as in ClusterData::no_capacity
        const MachineType* type;
        const std::string* zone;
        bool spot;
        bool refused;          // the cloud recently had none available
        int* machines_in_zone; // points into machines_in_zone_
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
    std::vector<const Machine*> leaving_; // retiring machines that are not being released yet
    std::map<std::string, int> machines_in_zone_;
    std::vector<Source> sources_;
    CpuAmount capacity_;                    // CPUs that are or will be available to arrays
    CpuAmount need_;                        // CPUs that arrays need
    int ready_for_gangs_ = 0;               // number of machines that a gang can use, if necessary by preempting arrays
    std::map<std::string, Pending> wanted_; // by Source::key
};

} // namespace heronshift::scheduling
