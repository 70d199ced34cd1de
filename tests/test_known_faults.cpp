// Tests of known faults that are not fixed yet. Each is listed in KNOWN-RED.txt with its command until it is fixed.
#include "working.hpp"

#include <gtest/gtest.h>

namespace heronshift::testing {
namespace {

// When a leader begins its term, the store holds waiting jobs whose dependencies are already cancelled. The leader must
// cancel the waiting jobs within `cancel_s` of the answer that the user got, thus at the latest within `cancel_s` of
// the beginning of its term. It looks up dependencies eight at a time and within a quarter of the read budget, which
// takes longer than `cancel_s` for 2000 pairs of jobs.
TEST(FailoverLookups, CancelAllDependentsInTime) {
    constexpr int pair_count = 2000;
    FleetUnderLoad fleet(600 + seed_offset(), 3, 24);
    fleet.settings.state_rps = 90;
    fleet.job_interval_s = 1e9;
    fleet.engine =
        std::make_unique<store::Engine>(store::memory_data(), store::Limits{90, 80, fleet.settings.txn_ops, 16});
    auto& data = fleet.engine->data();
    data.begin();
    for (int n = 1; n <= pair_count; ++n) {
        auto dependent = job(500'000 + n, Shape::array, 1, 1);
        dependent.dependencies = {job(100'000 + n, Shape::array, 1, 1).id};
        const auto revision = data.next_revision();
        codec::StoredJob stored;
        stored.spec = dependent;
        stored.waits = true;
        data.put("f/" + dependent.dependencies.front(),
                 {codec::final_record(codec::status_cancelled, Shape::array).dump(), revision, 0});
        data.put("j/" + dependent.id, {codec::to_record(stored).dump(), revision, 0});
    }
    data.commit();
    const auto count_waiting = [&] {
        const auto leader = fleet.leader();
        const auto* core = leader ? fleet.nodes[*leader].controller->core() : nullptr;
        int count = 0;
        if (core != nullptr)
            for (const auto& [id, known] : core->state().jobs)
                count += known->spec.id >= "wk-500000" && !known->over();
        return core == nullptr ? pair_count : count;
    };
    while (!fleet.leader() && fleet.now < 20)
        fleet.run_under_load(0.1);
    ASSERT_TRUE(fleet.leader());
    fleet.run_under_load(fleet.settings.cancel_s);
    EXPECT_EQ(count_waiting(), 0);
}

// The store becomes unavailable while a new leader reads the records and the process of the old leader has ended. No
// controller may act as leader, so none renews the leases of the machines, although all controllers and machines reach
// each other.
TEST(FailoverOutage, NoLeaseRunsOutIfTheStoreIsOutMeanwhile) {
    FleetUnderLoad fleet(620 + seed_offset(), 5, 24);
    ASSERT_TRUE(fleet.settle());
    const int expirations = fleet.expirations;
    std::size_t successor = SIZE_MAX;
    bool outage_began = false;
    fleet.on_sent = [&](std::size_t from, std::size_t, const std::string& what) {
        if (what == "claim")
            successor = from;
        else if (!outage_began && what == "read" && from == successor)
            outage_began = fleet.store_down = true;
    };
    fleet.crash(*fleet.leader(), 3);
    fleet.run_under_load(10);
    ASSERT_TRUE(outage_began);
    fleet.run_under_load(fleet.leases(1.5));
    EXPECT_EQ(fleet.expirations, expirations);
    fleet.end_outage();
}

} // namespace
} // namespace heronshift::testing
