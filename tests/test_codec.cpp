#include "heronshift/codec.hpp"

#include <gtest/gtest.h>

namespace heronshift {
namespace {

codec::Json valid_submission() {
    return codec::Json::parse(R"({"id":"wk-000412","jobclass":"train","owner":"vision","shape":"gang","rank":"high",
        "shards":16,"cpus":8.0,"accelerators":1.0,"memGb":64.0,"bundle":"img-07","imageGb":6.2,"flavors":["g8"],
        "yard":null,"together":true,"scatter":false,"standby":true,"expectedS":240.0,"snapshotEveryS":30.0,
        "snapshotS":4.0,"dueS":900.0})");
}

std::string validation_error(const codec::Json& j) {
    const auto r = codec::submission(j.dump());
    const auto* bad = std::get_if<codec::Invalid>(&r);
    return bad != nullptr ? bad->why : "";
}

TEST(Submission, IsReadAndSurvivesTheStore) {
    const auto r = codec::submission(valid_submission().dump());
    ASSERT_TRUE(std::holds_alternative<JobSpec>(r));
    const auto& s = std::get<JobSpec>(r);
    EXPECT_EQ(s.shape, Shape::gang);
    EXPECT_EQ(s.tasks, 16U);
    EXPECT_TRUE(s.zone.empty());
    const auto back = codec::spec_from_store(codec::to_json(s));
    ASSERT_TRUE(back);
    EXPECT_EQ(codec::to_json(*back), codec::to_json(s));
}

TEST(Submission, NamesTheFieldThatIsWrong) {
    const std::pair<const char*, codec::Json> cases[] = {
        {"id", "job-1"},   {"id", "wk-12x"},   {"id", 7},          {"shards", 0},        {"shards", 100001},
        {"shards", 1.5},   {"shards", -3},     {"cpus", 0},        {"cpus", -1},         {"cpus", "8"},
        {"shape", "ring"}, {"rank", "urgent"}, {"memGb", nullptr}, {"expectedS", -1},    {"snapshotS", -0.5},
        {"dueS", "soon"},  {"flavors", "g8"},  {"flavors", {1}},   {"together", "yes"},  {"bundle", nullptr},
        {"owner", ""},     {"imageGb", -2},    {"yard", 4},        {"accelerators", -1}, {"jobclass", nullptr}};
    for (const auto& [field, value] : cases) {
        auto j = valid_submission();
        j[field] = value;
        EXPECT_TRUE(validation_error(j).starts_with(field)) << field << " = " << value << ": " << validation_error(j);
    }
    EXPECT_TRUE(std::holds_alternative<codec::Invalid>(codec::submission("{\"id\":")));
    EXPECT_TRUE(std::holds_alternative<codec::Invalid>(codec::submission("[1]")));
}

TEST(Submission, NullAndMissingAreTheSameAndUnknownFieldsAreIgnored) {
    auto j = valid_submission();
    j.erase("yard");
    j["flavors"] = nullptr;
    j["dueS"] = nullptr;
    j["colour"] = "blue";
    const auto r = codec::submission(j.dump());
    ASSERT_TRUE(std::holds_alternative<JobSpec>(r));
    EXPECT_LT(std::get<JobSpec>(r).deadline_s, 0);
}

// Guards against machines that get more tasks than they can report: whatever becomes of a task, it takes no more room
// in a heartbeat than was assumed at its placement.
TEST(Heartbeats, NoTaskTakesMoreRoomThanAssumed) {
    const std::string job = "wk-" + std::string(37, '9');
    constexpr std::uint32_t index = codec::max_tasks - 1;
    constexpr std::uint64_t attempt = UINT64_MAX;
    Heartbeat heartbeat;
    const auto empty = codec::to_body(heartbeat).size();
    for (const bool may_save : {false, true})
        for (const auto state :
             {TaskState::fetching, TaskState::waiting, TaskState::running, TaskState::saving, TaskState::ended})
            for (const auto cause : {ExitCause::done, ExitCause::stopped, ExitCause::peers, ExitCause::alone,
                                     ExitCause::error, ExitCause::no_room, ExitCause::busy, ExitCause::unknown}) {
                const bool saved = may_save && cause == ExitCause::stopped;
                heartbeat.tasks.assign(100, {job, index, attempt, state, cause, saved});
                EXPECT_LE(codec::to_body(heartbeat).size() - empty,
                          100 * codec::max_listed_task_bytes(job, index, attempt, may_save));
            }
}

TEST(Orders, NoOrderTakesMoreRoomThanAssumed) {
    const auto empty = codec::orders(0, {}).size();
    for (const auto verb : {Verb::launch, Verb::stop, Verb::reap}) {
        const Order order{verb, "wk-" + std::string(37, '9'), codec::max_tasks - 1, UINT64_MAX, 1e7 / 3e9};
        EXPECT_LE(codec::orders(0, std::vector<Order>(100, order)).size() - empty, 100 * codec::max_order_bytes);
    }
}

TEST(Heartbeats, TruncatedOrIllTypedOnesAreNoAnswer) {
    const std::string good = R"({"host":"n-1","addr":"10.0.0.9:9000","flavor":"g8","yard":"a","standby":true,
        "tenure":1,"counter":88,"fence":41,"evictionInS":null,
        "shards":[{"shard":"wk-000412/3","try":2,"status":"running"},
                  {"shard":"wk-000398/0","try":1,"status":"ended","exitCause":"done"}]})";
    const auto r = codec::heartbeat(good);
    ASSERT_TRUE(r);
    EXPECT_EQ(r->tasks.size(), 2U);
    EXPECT_EQ(r->tasks[1].cause, ExitCause::done);
    for (std::size_t n = 0; n + 1 < good.size(); ++n)
        EXPECT_FALSE(codec::heartbeat(good.substr(0, n))) << n;
    EXPECT_FALSE(codec::heartbeat(R"({"host":"n-1","tenure":"1","counter":2})"));
    EXPECT_FALSE(codec::heartbeat(
        R"({"host":"n-1","tenure":1,"counter":2,"shards":[{"shard":"x","try":1,"status":"running"}]})"));
    EXPECT_FALSE(codec::heartbeat(R"({"host":"n-1","tenure":1,"counter":2,"shards":{}})"));
}

TEST(Answers, OfCloudAndStoreAreCheckedBeforeUse) {
    EXPECT_FALSE(codec::machine_types(R"({"flavors":[{"name":"g8","cpus":0}]})"));
    EXPECT_FALSE(codec::machine_types("[]"));
    EXPECT_FALSE(codec::rented(R"({"hosts":[1]})"));
    EXPECT_FALSE(codec::machine_page(R"({"hosts":[{"addr":"x"}]})"));
    EXPECT_FALSE(codec::item(R"({"k":"a"})"));
    EXPECT_FALSE(codec::page(R"({"entries":[{"k":"a"}],"epoch":3})"));
    EXPECT_FALSE(codec::events(R"({"events":[]})"));
    EXPECT_FALSE(codec::lease_of(R"({"lease":"7"})"));
    const auto e =
        codec::events(R"({"epoch":433,"events":[{"set":"c/9","data":{},"stamp":433},{"delete":"c/d","stamp":432}]})");
    ASSERT_TRUE(e);
    EXPECT_TRUE(e->items[1].deleted);
}

} // namespace
} // namespace heronshift
