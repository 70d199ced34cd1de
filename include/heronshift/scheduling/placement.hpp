// Placement: which waiting task goes where, and what is stopped to make room. Owns nothing but when
// it last looked for slow machines; reads a const view and proposes.
#pragma once

#include "heronshift/cluster/proposals.hpp"
#include "heronshift/scheduling/placement_cost.hpp"
#include "heronshift/scheduling/room_index.hpp"

namespace heronshift::scheduling {

class Placement {
public:
    Placement(const ClusterData& view, cluster::Proposals& out)
        : cluster_(view), settings_(view.settings), proposals_(out), index_(view) {}
    void schedule();
    [[nodiscard]] std::size_t waiting() const { // jobs, at the last pass
        return waiting_;
    }
    void drain_noticed(); // work on machines that are taken back
    void find_slow();

private:
    struct Room {
        const Machine* machine = nullptr;
        std::vector<const Entry*> victims;
        int tasks = 0;
        bool ready = false; // there already
        double cost = 0;
    };
    // What a machine takes again when one of its tasks ends.
    struct Release {
        double rest_s;
        Resources each;
    };
    // Work that found no room in this pass: nothing of its kind that is as large will.
    struct NoRoom {
        Resources each;
        bool spot;
    };
    void choose_pool();
    void begin_pass();
    void place(const Job& job, const Machine& machine);
    void room_changed(const Machine& machine);
    int place_waiting(const std::vector<const Job*>& jobs, std::size_t at, int budget);
    [[nodiscard]] bool covers(const NoRoom& f, const Job& job) const;
    void note_no_room(std::vector<NoRoom>& list, const Job& job) const;
    void ask_for_room(const Job& job);
    [[nodiscard]] std::vector<std::uint32_t> find_room(const Job& job) const; // positions in the index
    [[nodiscard]] bool left_to_others(const Machine& machine, const Job& job) const;
    int place_single(const Job& job, double cap);
    int place_service(const Job& job);
    bool place_gang(const Job& job);
    [[nodiscard]] double batch_cost(const PlacementCost& cost_of, const Machine& machine, const Job& job) const;
    int place_batch(const std::vector<const Job*>& batch, int most, double cap);
    [[nodiscard]] Room room_on(const Machine& machine, const Job& job, int most, double loss_weight) const;
    void take_room(const Room& room, const Job& job);
    int make_room(const Job& job, double cap);
    const std::vector<Release>& releases_on(std::size_t position);
    [[nodiscard]] bool may_await(const Machine& machine, const Job& job) const;
    void await_first(const Job& job, double within_s, Priority against);
    void await_room(const Job& job, int most, double within_s, Priority against);
    void begin_waiting(const std::vector<const Job*>& jobs);
    [[nodiscard]] int quota_left(const Job& job) const;
    [[nodiscard]] double rest_of(const Entry& entry) const;
    [[nodiscard]] double loss_of(const Entry& entry) const;
    void mark_slow(const Machine& machine);

    const ClusterData& cluster_;
    const Settings& settings_;
    cluster::Proposals& proposals_;
    std::size_t waiting_ = 0;
    std::vector<const Job*> first_of_team_; // whose limit is left to this one until it has begun; by team
    bool ordinary_waits_ = false;           // an array that may not use spot machines
    double next_slow_ = 0;
    // Of one pass:
    RoomIndex index_;
    std::vector<std::vector<Release>> releases_; // by position in the index, the soonest first
    std::vector<char> releases_known_;
};

} // namespace heronshift::scheduling
