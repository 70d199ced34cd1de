/// @file
/// Index of the free room on machines for one pass of placement. It finds the machines that can take a task of a job
/// without examining all of them. Nothing in it is valid beyond the pass. Use it on the thread that owns the state.
#pragma once

#include "scheduling/placement_cost.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

namespace heronshift::scheduling {

/// A segment tree over the free room of a sequence of machines. Each node holds the maximum of each resource in its
/// subtree, so that a search skips subtrees in which the task does not fit.
class RoomTree {
public:
    /// Replaces the room of all machines.
    void assign(const std::vector<Resources>& rooms);
    /// Changes the room of the machine at position `at`.
    void set(std::size_t at, const Resources& room);
    /// Appends the positions of all machines in which `need` fits, in ascending order.
    void find(const Resources& need, std::vector<std::uint32_t>& found) const;

private:
    void find_below(std::size_t node, const Resources& need, std::vector<std::uint32_t>& found) const;

    std::vector<Resources> nodes_; // the root is 1, the children of n are 2n and 2n + 1
    std::size_t leaves_ = 0;
};

/// The machines that accept tasks in one pass of placement, with their free room. A search gives the same result as
/// examining every machine (the test RoomIndex.FindsWhatAScanOfAllMachinesFinds).
class RoomIndex {
public:
    /// Creates an empty index of the cluster, which rebuild() fills.
    explicit RoomIndex(const ClusterData& view) : cluster_(view) {}

    /// Begins a pass. Until the next call only room and reservations may change, and update() must be called for each
    /// machine where they do.
    void rebuild();
    /// Updates the index with the current room and reservation of a machine.
    void update(const Machine& machine);

    /// Whether find() includes machines for which `is_cpu_only_on_demand()` holds.
    enum class CpuOnlyOnDemand : std::uint8_t { included, excluded };
    /// The positions in machines() of the machines that have free room for a task of the job and for which usable()
    /// holds, in ascending order.
    [[nodiscard]] std::vector<std::uint32_t> find(const Job& job, CpuOnlyOnDemand which) const;
    /// All machines that accept tasks in this pass, ordered by id.
    [[nodiscard]] const std::vector<const Machine*>& machines() const {
        return machines_;
    }
    /// The position of a machine that is not in the index.
    static constexpr std::size_t none = SIZE_MAX;
    /// The position of a machine in machines(), or `none`.
    [[nodiscard]] std::size_t position(const Machine& machine) const;

private:
    // Machines that have all properties of GroupKey in common.
    struct Group {
        std::vector<std::uint32_t> members; // positions in machines_, ascending
        // Room of the members as seen by replicas, and by all other tasks.
        std::vector<Resources> service_rooms, task_rooms;
        RoomTree for_services, for_tasks; // trees over these rooms
    };
    // What the machines of a group have in common.
    struct GroupKey {
        int type = -1, zone = -1;
        bool spot = false;
        auto operator<=>(const GroupKey&) const = default;
    };
    // The group of a machine and its index among the members.
    struct GroupSlot {
        Group* group = nullptr;
        std::uint32_t member = 0;
    };
    // A machine whose room is reserved for a job.
    struct Reservation {
        std::uint32_t machine = 0; // position in machines_
        const void* job = nullptr; // only compared, since the job may be gone
        Priority priority = Priority::low;
    };

    [[nodiscard]] bool is_reserved(const Machine& machine) const;
    [[nodiscard]] Resources service_room(const Machine& machine) const;
    [[nodiscard]] Resources task_room(const Machine& machine) const;
    void index_reservation(const Machine& machine, std::uint32_t at);
    [[nodiscard]] bool may_hold(const Group& group, const Job& job, CpuOnlyOnDemand which) const;
    void find_reserved(const Job& job, CpuOnlyOnDemand which, std::vector<std::uint32_t>& found) const;

    const ClusterData& cluster_;
    std::vector<const Machine*> machines_;
    std::vector<GroupSlot> slots_; // by position in machines_
    std::map<GroupKey, Group> groups_;
    std::vector<Reservation> reserved_; // machines that are in no tree while they are reserved
};

} // namespace heronshift::scheduling
