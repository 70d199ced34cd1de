// Compares every message that the codecs write with its golden file, and decodes the golden file again.
#include "golden.hpp"

#include "membership/peer_view.hpp"

namespace heronshift::testing {
namespace {

using membership::Reachability;

// --- sample messages with every field set ---

JobSpec full_job() {
    JobSpec s;
    s.id = "wk-000412";
    s.job_class = "train";
    s.team = "vision";
    s.shape = Shape::gang;
    s.priority = Priority::high;
    s.tasks = 16;
    s.each = {8, 1, 64.5};
    s.image = "img-07";
    s.image_gb = 6.25;
    s.types = {"g8", "g16"};
    s.zone = "a";
    s.one_zone = s.spread = s.spot = true;
    s.estimate_s = 240;
    s.checkpoint_s = 30;
    s.save_s = 4;
    s.deadline_s = 900;
    s.dependencies = {"wk-000398", "wk-000399"};
    return s;
}

JobSpec min_job(Shape shape, Priority priority) {
    JobSpec s;
    s.id = "wk-1";
    s.job_class = "c";
    s.team = "red";
    s.shape = shape;
    s.priority = priority;
    s.each = {0.5, 0, 1};
    s.image = "img";
    return s;
}

Heartbeat full_heartbeat() {
    Heartbeat r{"n-1", "10.0.0.9:9000", "g8", "a", true, 3, 88, 41, 90, {}};
    r.tasks = {{"wk-000412", 0, 1, TaskState::fetching, ExitCause::none, false},
               {"wk-000412", 1, 2, TaskState::waiting, ExitCause::none, false},
               {"wk-000412", 2, 3, TaskState::running, ExitCause::none, true},
               {"wk-000412", 3, std::uint64_t{7} << 32, TaskState::saving, ExitCause::none, false}};
    for (const auto cause : {ExitCause::done, ExitCause::stopped, ExitCause::peers, ExitCause::alone, ExitCause::error,
                             ExitCause::no_room, ExitCause::busy, ExitCause::unknown})
        r.tasks.push_back({"wk-000398", static_cast<std::uint32_t>(cause), 1, TaskState::ended, cause, false});
    return r;
}

std::vector<Order> all_orders() {
    return {{Verb::launch, "wk-000412", 3, 5, 0},
            {Verb::stop, "wk-000412", 4, 6, 12.5},
            {Verb::stop, "wk-000412", 5, 6, 0},
            {Verb::reap, "wk-000398", 99'999, std::uint64_t{7} << 32, 0}};
}

std::vector<MachineType> two_types() {
    return {{"g8", {8, 2, 64}, 100, 0.5, 3, 1.25, 45, {"a", "b"}}, {"m4", {4, 0, 16}, 50, 1, 1, 1, 60, {}}};
}

codec::MachinePage machine_page() {
    return {{{"n-1", "10.0.0.9:9000", "g8", "a", "running", true, 12.5}, {"n-2", "", "m4", "b", "booting", false, 0}},
            true};
}

codec::Item item() {
    return {"j/wk-1", {{"a", 1}, {"b", {"x", nullptr}}}, 433, false, 0};
}
codec::Item leased_item() {
    return {"office", {{"node", "berth-1"}}, 434, false, 7};
}

membership::PeerView full_view() {
    membership::PeerView v;
    v.node = "berth-1";
    v.sent = 1'700'000'000.25;
    v.store = Reachability::reachable;
    v.cloud = Reachability::unreachable;
    v.store_s = 0.5;
    v.cloud_s = 3;
    v.zones = {{"a", Reachability::reachable}, {"b", Reachability::unreachable}, {"c", Reachability::unknown}};
    v.peers = {{"berth-0", Reachability::reachable}};
    v.machines = {{"a", {"10.0.0.9:9000", "10.0.0.10:9000"}}};
    v.leader = "berth-0";
    v.term = 7;
    v.sees_leader = true;
    return v;
}

// --- users ---

TEST_F(Golden, Submission) {
    expect_golden("users/submission.json", codec::to_body(full_job()));
    const auto read = codec::submission(golden("users/submission.json"));
    ASSERT_TRUE(std::holds_alternative<JobSpec>(read));
    EXPECT_EQ(codec::to_body(std::get<JobSpec>(read)), golden("users/submission.json"));
}

TEST_F(Golden, SubmissionOfEachShapeAndPriority) {
    std::string lines;
    for (const auto shape : {Shape::array, Shape::gang, Shape::service})
        for (const auto priority : {Priority::critical, Priority::high, Priority::normal, Priority::low})
            lines += codec::to_body(min_job(shape, priority)) + '\n';
    lines.pop_back();
    expect_golden("users/submissions.jsonl", lines);

    std::istringstream each(golden("users/submissions.jsonl"));
    for (std::string line; std::getline(each, line);) {
        const auto read = codec::submission(line);
        ASSERT_TRUE(std::holds_alternative<JobSpec>(read)) << line;
        EXPECT_EQ(codec::to_body(std::get<JobSpec>(read)), line);
    }
}

TEST_F(Golden, JobAnswers) {
    expect_golden("users/job_accepted.json", codec::job_answer("wk-000412", codec::status_pending));
    expect_golden("users/job_running.json", codec::job_answer("wk-000412", codec::status_running, 3, 12));
    expect_golden("users/job_done.json", codec::job_answer("wk-000412", codec::status_done));
    expect_golden("users/job_cancelled.json", codec::job_answer("wk-000412", codec::status_cancelled));

    const auto read = codec::job_answer_of(golden("users/job_running.json"));
    ASSERT_TRUE(read);
    EXPECT_EQ(codec::job_answer(read->id, read->status, read->done, read->running), golden("users/job_running.json"));
    EXPECT_EQ(codec::job_answer_of(golden("users/job_accepted.json"))->status, codec::status_pending);
}

TEST_F(Golden, ErrorAnswers) {
    expect_golden("users/error.json", codec::error_answer("cpus: must be above 0"));
    expect_golden("users/not_now.json", codec::not_now);
}

// --- workers ---

TEST_F(Golden, Heartbeat) {
    expect_golden("workers/report.json", codec::to_body(full_heartbeat()));
    const auto read = codec::heartbeat(golden("workers/report.json"));
    ASSERT_TRUE(read);
    EXPECT_EQ(codec::to_body(*read), golden("workers/report.json"));
}

TEST_F(Golden, HeartbeatOfAnEmptyMachine) {
    const heronshift::Heartbeat empty{"n-2", "10.0.0.10:9000", "m4", "", false, 1, 0, 0, -1, {}};
    expect_golden("workers/report_empty.json", codec::to_body(empty));
    const auto read = codec::heartbeat(golden("workers/report_empty.json"));
    ASSERT_TRUE(read);
    EXPECT_LT(read->notice_s, 0);
    EXPECT_EQ(codec::to_body(*read), golden("workers/report_empty.json"));
}

TEST_F(Golden, AnswerToAHeartbeat) {
    expect_golden("workers/orders.json", codec::orders(std::uint64_t{7} << 24, all_orders()));
    expect_golden("workers/orders_none.json", codec::orders(1, {}));
    const auto read = codec::read_orders(golden("workers/orders.json"));
    ASSERT_TRUE(read && read->fencing_token);
    EXPECT_FALSE(read->agent_epoch);
    EXPECT_EQ(codec::orders(*read->fencing_token, read->list), golden("workers/orders.json"));
}

TEST_F(Golden, Commands) {
    expect_golden("workers/commands.json", codec::commands(std::uint64_t{7} << 24, 3, all_orders()));
    const auto read = codec::read_orders(golden("workers/commands.json"));
    ASSERT_TRUE(read && read->fencing_token && read->agent_epoch);
    EXPECT_EQ(codec::commands(*read->fencing_token, *read->agent_epoch, read->list), golden("workers/commands.json"));
}

TEST_F(Golden, Redirect) {
    expect_golden("workers/redirect.json", codec::redirect("berth-1"));
    EXPECT_EQ(codec::redirected_to(golden("workers/redirect.json")), "berth-1");
}

// --- cloud ---

TEST_F(Golden, MachineTypes) {
    expect_golden("cloud/machine_types.json", codec::types_to_json(two_types()).dump());
    const auto read = codec::machine_types(golden("cloud/machine_types.json"));
    ASSERT_TRUE(read);
    EXPECT_EQ(codec::types_to_json(*read).dump(), golden("cloud/machine_types.json"));
}

TEST_F(Golden, Rental) {
    expect_golden("cloud/rental.json", codec::rental("t7-1", "g8", "a", true, 50));
    const auto read = codec::rental_request(golden("cloud/rental.json"));
    ASSERT_TRUE(read);
    EXPECT_EQ(codec::rental(read->claim, read->type, read->zone, read->spot, read->count), golden("cloud/rental.json"));
}

// The answer to a rental and the request for a release have the same format.
TEST_F(Golden, RentedAndReleased) {
    expect_golden("cloud/release.json", codec::release({"n-1", "n-2"}));
    const auto read = codec::rented(golden("cloud/release.json"));
    ASSERT_TRUE(read);
    EXPECT_EQ(codec::release(*read), golden("cloud/release.json"));
}

TEST_F(Golden, MachinePage) {
    expect_golden("cloud/machine_page.json", codec::to_body(machine_page()));
    const auto read = codec::machine_page(golden("cloud/machine_page.json"));
    ASSERT_TRUE(read);
    EXPECT_EQ(codec::to_body(*read), golden("cloud/machine_page.json"));
}

// --- the state service ---

TEST_F(Golden, StoreItems) {
    expect_golden("store/item.json", codec::item_answer(item()));
    expect_golden("store/item_leased.json", codec::item_answer(leased_item()));
    for (const auto* name : {"store/item.json", "store/item_leased.json"}) {
        const auto read = codec::item(golden(name));
        ASSERT_TRUE(read) << name;
        EXPECT_EQ(codec::item_answer(*read), golden(name));
    }
}

TEST_F(Golden, StorePage) {
    expect_golden("store/page.json", codec::page_answer({{item(), leased_item()}, true, 435}));
    const auto read = codec::page(golden("store/page.json"));
    ASSERT_TRUE(read);
    EXPECT_EQ(codec::page_answer(*read), golden("store/page.json"));
}

TEST_F(Golden, StoreEvents) {
    expect_golden("store/events.json", codec::events_answer({{item(), {"d/1", {}, 434, true, 0}}, false, 434}));
    const auto read = codec::events(golden("store/events.json"));
    ASSERT_TRUE(read);
    EXPECT_EQ(codec::events_answer(*read), golden("store/events.json"));
}

TEST_F(Golden, StoreTransaction) {
    const std::vector<codec::Guard> guards{{"office", 12}, {"j/wk-1", 0}};
    const std::vector<codec::Write> writes{
        {"j/wk-1", codec::Json{{"a", 1}}, 0}, {"office", codec::Json{{"node", "berth-1"}}, 7}, {"d/1", {}, 0}};
    expect_golden("store/txn.json", codec::txn(guards, writes));
    expect_golden("store/txn_guards_only.json", codec::txn(guards, {}));
    for (const auto* name : {"store/txn.json", "store/txn_guards_only.json"}) {
        const auto read = codec::txn_request(golden(name));
        ASSERT_TRUE(read) << name;
        EXPECT_EQ(codec::txn(read->guards, read->writes), golden(name));
    }
}

TEST_F(Golden, StoreTransactionAnswers) {
    expect_golden("store/epoch.json", codec::revision_answer(433));
    expect_golden("store/failed.json", codec::failed_answer({"office", "round"}, 433));
    EXPECT_EQ(codec::revision_of(golden("store/epoch.json")), 433U);
    EXPECT_EQ(codec::revision_of(golden("store/failed.json")), 433U);
    const auto read = codec::failed_guards(golden("store/failed.json"));
    ASSERT_TRUE(read);
    EXPECT_EQ(codec::failed_answer(*read, 433), golden("store/failed.json"));
}

TEST_F(Golden, StoreLeases) {
    expect_golden("store/hold_request.json", codec::lease_request(2.5));
    expect_golden("store/hold.json", codec::lease_answer(7));
    EXPECT_EQ(codec::ttl_ms_of(golden("store/hold_request.json")), 2500);
    EXPECT_EQ(codec::lease_of(golden("store/hold.json")), 7U);
}

// --- peers ---

TEST_F(Golden, PeerView) {
    expect_golden("peers/view.json", membership::to_body(full_view()));
    const auto read = membership::view(golden("peers/view.json"));
    ASSERT_TRUE(read);
    EXPECT_EQ(membership::to_body(*read), golden("peers/view.json"));
}

TEST_F(Golden, PeerViewOfANewProcess) {
    membership::PeerView v;
    v.node = "berth-2";
    expect_golden("peers/view_new.json", membership::to_body(v));
    const auto read = membership::view(golden("peers/view_new.json"));
    ASSERT_TRUE(read);
    EXPECT_EQ(membership::to_body(*read), golden("peers/view_new.json"));
}

// --- paths ---

TEST_F(Golden, Paths) {
    std::string lines;
    for (const auto path : {codec::path_jobs, codec::path_health, codec::path_heartbeat, codec::path_commands,
                            codec::path_status, codec::path_types, codec::path_rentals, codec::path_release,
                            codec::path_store, codec::path_txn, codec::path_leases, codec::path_follow,
                            codec::suffix_cancel, codec::suffix_renew, std::string_view(membership::path_peer_view)})
        lines += std::string(path) + '\n';
    lines.pop_back();
    expect_golden("paths.txt", lines);
}

} // namespace
} // namespace heronshift::testing
