// Free room on machines, indexed for one pass of placement: which machines may take a task of a job,
// without a look at all the others. Owns nothing that outlives the pass.
#pragma once

#include "heronshift/scheduling/placement_cost.hpp"

#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

namespace heronshift::scheduling {

// A segment tree over the free room of a sequence of machines. Each node holds the largest amount of
// each resource below it, so that a search passes over what is full.
class RoomTree {
public:
    void assign(const std::vector<Resources>& rooms);
    void set(std::size_t at, const Resources& room);
    // Appends the places of all rooms that the need fits in, in ascending order.
    void find(const Resources& need, std::vector<std::uint32_t>& found) const;

private:
    void find_below(std::size_t node, const Resources& need, std::vector<std::uint32_t>& found) const;

    std::vector<Resources> nodes_; // the root is 1, the children of n are 2n and 2n + 1
    std::size_t leaves_ = 0;
};

class RoomIndex {
public:
    explicit RoomIndex(const ClusterData& view) : cluster_(view) {}

    // At the start of a pass. Until the next one nothing but room and reservations may change, and each
    // machine on which they do has to be passed to update().
    void rebuild();
    void update(const Machine& machine);

    enum class PlainMachines : std::uint8_t { included, left_out };
    // The positions in machines() of those with free room for a task of the job where usable() holds, ascending.
    [[nodiscard]] std::vector<std::uint32_t> find(const Job& job, PlainMachines which) const;
    // All machines that may take work in this pass, in the order of their ids.
    [[nodiscard]] const std::vector<const Machine*>& machines() const {
        return machines_;
    }
    static constexpr std::size_t none = SIZE_MAX;
    // The position of a machine there, or none.
    [[nodiscard]] std::size_t position(const Machine& machine) const;

private:
    // Machines that are alike but for their room.
    struct Group {
        std::vector<std::uint32_t> members; // positions in machines_, ascending
        std::vector<Resources> service_rooms, task_rooms;
        RoomTree for_services, for_tasks;
    };
    using GroupKey = std::tuple<int, int, bool>; // type, zone, spot
    struct Place {
        Group* group = nullptr;
        std::uint32_t member = 0;
    };
    struct Reservation {
        std::uint32_t machine = 0;
        const void* job = nullptr;
        Priority priority = Priority::low;
    };

    [[nodiscard]] bool takes_work(const Machine& machine) const;
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
