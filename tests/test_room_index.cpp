// Compares the index of free capacity with a scan of every machine, on random fleets.
#include "scheduling/room_index.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <random>

namespace heronshift::scheduling {
namespace {

class RandomFleet {
public:
    explicit RandomFleet(unsigned seed) : rng_(seed) {
        settings_.zones = {"a", "b", "c"};
        settings_.report_s = 1;
        view_.now = 100;
        view_.types = {{"small", {8, 0, 32}, 20, 1, 1, 0.3, 10, {"a", "b", "c"}},
                       {"large", {32, 0, 64}, 20, 1, 4, 1.2, 10, {"a", "b"}},
                       {"accelerated", {16, 4, 64}, 20, 1, 9, 3, 10, {"b", "c"}}};
        view_.service_shape = {1, 0, 2};
    }
    void add_machine(int number) {
        auto m = std::make_unique<Machine>();
        m->id = fmt::format("m{}", number);
        m->type = random_int(0, 2);
        m->zone = random_int(0, 2);
        m->type_name = view_.types[static_cast<std::size_t>(m->type)].name;
        m->zone_name = settings_.zones[static_cast<std::size_t>(m->zone)];
        m->total = view_.types[static_cast<std::size_t>(m->type)].room;
        m->spot = one_in(3);
        m->status = one_in(12) ? MachineStatus::booting : MachineStatus::up;
        m->term_seen = !one_in(12);
        m->draining = one_in(12);
        m->retiring = one_in(12);
        m->out_of_service = one_in(12);
        m->releasing = one_in(12);
        m->last_heartbeat_at = one_in(12) ? view_.now - 5 : view_.now;
        m->avoid_until = one_in(12) ? view_.now + 1 : 0;
        m->slow_until = one_in(8) ? view_.now + 1 : -1;
        m->pool = !m->spot && one_in(3);
        m->used = {0.1 * random_int(0, static_cast<int>(m->total.cpus * 10)), double(random_int(0, int(m->total.gpus))),
                   0.1 * random_int(0, static_cast<int>(m->total.memory_gb * 10))};
        view_.machines.emplace(m->id, std::move(m));
    }
    Job& add_job() {
        auto& j = *jobs_.emplace_back(std::make_unique<Job>());
        constexpr Shape shapes[] = {Shape::array, Shape::service, Shape::gang};
        j.spec.shape = shapes[random_int(0, 2)];
        j.priority = static_cast<Priority>(random_int(0, 3));
        j.spec.each = {0.1 * random_int(1, 100), one_in(6) ? 1.0 : 0.0, 0.1 * random_int(1, 200)};
        j.spec.spot = one_in(2);
        j.spec.tasks = static_cast<std::uint32_t>(random_int(1, 6));
        j.spec.spread = one_in(5);
        j.spec.one_zone = !j.spec.spread && one_in(5);
        if (one_in(6))
            j.spec.types = {"large", "accelerated"};
        if (one_in(6))
            j.spec.zone = "b";
        j.zone_live.resize(settings_.zones.size() + 1);
        for (auto& n : j.zone_live) {
            n = one_in(4) ? 1 : 0;
            j.live += n;
        }
        return j;
    }
    void change_at_random(Machine& m) {
        if (one_in(2)) {
            m.reserved_for =
                one_in(3) ? nullptr : jobs_[static_cast<std::size_t>(random_int(0, job_count() - 1))].get();
            m.reserved_until = view_.now + random_int(-1, 2);
            m.reserved_priority = static_cast<Priority>(random_int(0, 3));
        } else {
            m.used = m.total * (0.1 * random_int(0, 10));
        }
    }
    Machine& random_machine() {
        auto it = view_.machines.begin();
        std::advance(it, random_int(0, static_cast<int>(view_.machines.size()) - 1));
        return *it->second;
    }
    [[nodiscard]] std::vector<const Machine*> scan_machines(const Job& j, bool exclude_on_demand) const {
        std::vector<const Machine*> out;
        for (const auto& [id, m] : view_.machines)
            if (j.spec.each.fits(m->total - m->used) && usable(view_, *m, j) &&
                !(exclude_on_demand && is_cpu_only_on_demand(*m)))
                out.push_back(m.get());
        return out;
    }
    int random_int(int a, int b) {
        return std::uniform_int_distribution<int>(a, b)(rng_);
    }
    bool one_in(int n) {
        return random_int(1, n) == 1;
    }
    [[nodiscard]] int job_count() const {
        return static_cast<int>(jobs_.size());
    }
    [[nodiscard]] const ClusterData& view() const {
        return view_;
    }
    std::vector<std::unique_ptr<Job>> jobs_;

private:
    std::mt19937 rng_;
    Settings settings_;
    ClusterData view_{settings_};
};

void expect_same(const RandomFleet& fleet, const RoomIndex& index) {
    for (const auto& j : fleet.jobs_)
        for (const bool exclude_on_demand : {false, true}) {
            std::vector<const Machine*> found;
            for (const auto p : index.find(*j, exclude_on_demand ? RoomIndex::CpuOnlyOnDemand::excluded
                                                                 : RoomIndex::CpuOnlyOnDemand::included))
                found.push_back(index.machines()[p]);
            EXPECT_EQ(found, fleet.scan_machines(*j, exclude_on_demand));
        }
}

TEST(RoomIndex, FindsWhatAScanOfAllMachinesFinds) {
    for (unsigned seed = 1; seed <= 20; ++seed) {
        RandomFleet fleet(seed);
        const int machines = fleet.random_int(1, 150);
        for (int n = 0; n < machines; ++n)
            fleet.add_machine(n);
        for (int n = 0; n < 25; ++n)
            fleet.add_job();
        for (int n = 0; n < machines / 3; ++n)
            fleet.change_at_random(fleet.random_machine()); // reservations and usage left by earlier passes
        RoomIndex index(fleet.view());
        for (int pass = 0; pass < 2; ++pass) {
            index.rebuild();
            expect_same(fleet, index);
            for (int step = 0; step < 30; ++step) {
                auto& m = fleet.random_machine();
                fleet.change_at_random(m);
                index.update(m);
                if (step % 5 == 0)
                    expect_same(fleet, index);
            }
        }
    }
}

TEST(RoomTree, FindsEachRoomThatIsLargeEnough) {
    RoomTree tree;
    tree.assign({{4, 0, 8}, {1, 0, 64}, {8, 1, 4}, {4, 0, 9}, {16, 0, 16}});
    std::vector<std::uint32_t> found;
    tree.find({4, 0, 8}, found);
    EXPECT_EQ(found, (std::vector<std::uint32_t>{0, 3, 4}));
    tree.set(3, {0, 0, 0});
    tree.set(1, {4, 0, 64});
    found.clear();
    tree.find({4, 0, 8}, found);
    EXPECT_EQ(found, (std::vector<std::uint32_t>{0, 1, 4}));
}

} // namespace
} // namespace heronshift::scheduling
