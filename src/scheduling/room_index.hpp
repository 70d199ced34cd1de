/// @file
/// Free room on machines, indexed for one pass of placement: which machines may take a task of a job, without a look at
/// all the others. The index keeps nothing that outlives the pass. To be used on the thread that owns the state.
#pragma once

#include "scheduling/placement_cost.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

namespace heronshift::scheduling {

/// A segment tree over the free room of a sequence of machines. Each node holds the largest amount of each resource
/// below it, so that a search passes over what is full.
class RoomTree {
public:
    /// Replaces all rooms.
    void assign(const std::vector<Resources>& rooms);
    /// Changes one room.
    void set(std::size_t at, const Resources& room);
    /// Appends the places of all rooms that the need fits in, in ascending order.
    void find(const Resources& need, std::vector<std::uint32_t>& found) const;

private:
    void find_below(std::size_t node, const Resources& need, std::vector<std::uint32_t>& found) const;

    std::vector<Resources> nodes_; // the root is 1, the children of n are 2n and 2n + 1
    std::size_t leaves_ = 0;
};

/// The machines that may take work in one pass of placement, with their free room. It finds what a look at all machines
/// would find (the test RoomIndex.FindsWhatALookAtAllMachinesFinds).
class RoomIndex {
public:
    /// An empty index of the cluster; rebuild() fills it.
    explicit RoomIndex(const ClusterData& view) : cluster_(view) {}

    /// Begins a pass. Until the next one nothing but room and reservations may change, and each machine on which they
    /// do has to be passed to update().
    void rebuild();
    /// Takes over the room and the reservation that a machine has now.
    void update(const Machine& machine);

    /// Whether plain() machines are among those to be found.
    enum class PlainMachines : std::uint8_t { included, left_out };
    /// The positions in machines() of those with free room for a task of the job where usable() holds, ascending.
    [[nodiscard]] std::vector<std::uint32_t> find(const Job& job, PlainMachines which) const;
    /// All machines that may take work in this pass, in the order of their ids.
    [[nodiscard]] const std::vector<const Machine*>& machines() const {
        return machines_;
    }
    /// The position of a machine that is not in the index.
    static constexpr std::size_t none = SIZE_MAX;
    /// The position of a machine in machines(), or `none`.
    [[nodiscard]] std::size_t position(const Machine& machine) const;

private:
    // Machines that are alike but for their room.
    struct Group {
        std::vector<std::uint32_t> members;               // positions in machines_, ascending
        std::vector<Resources> service_rooms, task_rooms; // of the members: for replicas, for all other tasks
        RoomTree for_services, for_tasks;                 // over those
    };
    // What the machines of a group have in common.
    struct GroupKey {
        int type = -1, zone = -1;
        bool spot = false;
        auto operator<=>(const GroupKey&) const = default;
    };
    // Where a machine stands in its group.
    struct Place {
        Group* group = nullptr;
        std::uint32_t member = 0;
    };
    // Room kept for a job.
    struct Reservation {
        std::uint32_t machine = 0; // its position
        const void* job = nullptr; // only compared
        Priority priority = Priority::low;
    };

    [[nodiscard]] bool is_reserved(const Machine& machine) const;
    [[nodiscard]] Resources service_room(const Machine& machine) const;
    [[nodiscard]] Resources task_room(const Machine& machine) const;
    void note_reservation(const Machine& machine, std::uint32_t at);
    [[nodiscard]] bool may_hold(const Group& group, const Job& job, PlainMachines which) const;
    void find_reserved(const Job& job, PlainMachines which, std::vector<std::uint32_t>& found) const;

    const ClusterData& cluster_;
    std::vector<const Machine*> machines_;
    std::vector<Place> places_; // by position
    std::map<GroupKey, Group> groups_;
    std::vector<Reservation> reserved_; // these machines are in no tree
};

} // namespace heronshift::scheduling
