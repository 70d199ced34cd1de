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
[[nodiscard]] bool is_gang_ready(const Machine& machine);

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
    void plan_for_waiting_jobs();
    /// Plans for the next gang. `machines` machines with accelerators are to be free of gangs before it arrives, since
    /// they may take longer to boot than a gang may wait.
    void plan_for_next_gang(double machines);
    /// Proposes the rentals, one request for each machine type, zone and kind (spot or not) without a pending request.
    void propose();

private:
    // The room on a machine that is booting, requested or planned.
    struct IncomingRoom {
        Resources free;
        const MachineType* type;
        std::string zone;
        bool spot;
    };
    // A combination of machine type, zone and kind (spot or not) that can be rented.
    struct Offering {
        std::string key; // "type/zone/spot", as in ClusterData::no_capacity
        const MachineType* type;
        const std::string* zone;
        bool spot;
        bool unavailable;      // the cloud recently had none available
        int* machines_in_zone; // points into machines_in_zone_
    };

    void count_machine(const Machine& machine);
    void count_rental(const PendingRental& rental);
    void add_incoming(const MachineType& type, const std::string& zone, bool spot);
    void count_capacity(const Resources& whole, double cpus, bool spot);
    void list_offerings();
    [[nodiscard]] bool is_unavailable(const std::string& key) const;

    [[nodiscard]] bool lacks_cpus_for(const Job& job) const;
    [[nodiscard]] bool may_use(const Job& job, const IncomingRoom& room) const;
    [[nodiscard]] int use_incoming(const Job& job, int tasks);
    [[nodiscard]] int use_retiring(const Job& job, int tasks);
    [[nodiscard]] const Machine* fullest_retiring(const Job& job) const;
    const Machine* cancel_retirement(const Job& job);
    [[nodiscard]] const Offering* cheapest_offering(const Job& job, bool at_any_price) const;
    [[nodiscard]] bool rent_one(const Offering& offering);
    void plan_machines_for(const Job& job, int tasks);
    [[nodiscard]] bool has_pending_rental(const PendingRental& rental) const;

    const ClusterData& cluster_;
    const Settings& settings_;
    cluster::Proposals& proposals_;
    std::vector<IncomingRoom> incoming_;
    std::vector<const Machine*> retiring_; // retiring machines that are not being released yet
    std::map<std::string, int> machines_in_zone_;
    std::vector<Offering> offerings_;
    CpuAmount capacity_;          // CPUs that are or will be available to arrays
    CpuAmount need_;              // CPUs that arrays need
    int gang_ready_machines_ = 0; // number of machines that a gang can use, if necessary by preempting arrays
    std::map<std::string, PendingRental> planned_rentals_; // by Offering::key
};

} // namespace heronshift::scheduling
