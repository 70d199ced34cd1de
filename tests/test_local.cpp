// The emulator platform: every check of `History` reports its violation, and the emulated cloud and workers follow the
// protocol.
#include "heronshift/codec.hpp"
#include "local/cloud.hpp"
#include "local/emulator.hpp"
#include "local/history.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

namespace heronshift::local {
namespace {

JobSpec array(const std::string& id, std::uint32_t tasks = 3) {
    JobSpec s;
    s.id = id;
    s.team = "red";
    s.tasks = tasks;
    s.each = {2, 0, 2};
    s.image = "img";
    s.image_gb = 0.1;
    s.estimate_s = 0.1;
    return s;
}

struct HistoryChecks : ::testing::Test {
    History h{{{"red", 4, 8, 0, 0}}, 10};
    History::Place here{"n-1", "m8", "a", false}, there{"n-2", "m8", "b", false}, spot{"n-3", "m8", "a", true};
    std::string first() {
        return h.violations().empty() ? "" : h.violations().front().substr(0, h.violations().front().find(':'));
    }
};

TEST_F(HistoryChecks, ATaskInTwoPlaces) {
    h.submitted(array("wk-1"));
    h.task_started("wk-1", 0, here, 1);
    h.task_ended("wk-1", 0, "n-1");
    h.task_started("wk-1", 0, there, 2);
    EXPECT_EQ(first(), "");
    h.task_started("wk-1", 0, here, 3);
    EXPECT_EQ(first(), "ran_twice");
}

TEST_F(HistoryChecks, AboveTheLimit) {
    h.submitted(array("wk-1", 9));
    for (std::uint32_t i = 0; i < 4; ++i)
        h.task_started("wk-1", i, here, 1);
    EXPECT_EQ(first(), "");
    h.task_started("wk-1", 4, here, 1);
    EXPECT_EQ(first(), "quota");
}

TEST_F(HistoryChecks, InTheWrongPlace) {
    auto s = array("wk-1");
    s.spread = true;
    h.submitted(s);
    h.task_started("wk-1", 0, here, 1);
    h.task_started("wk-1", 1, here, 1);
    EXPECT_EQ(first(), "");
    h.task_started("wk-1", 2, here, 1); // at most two of the three tasks may run in one zone
    EXPECT_EQ(first(), "wrong_place");
    History other{{}, 10};
    other.submitted(array("wk-2"));
    other.task_started("wk-2", 0, spot, 1); // the job does not allow spot machines
    EXPECT_EQ(other.violations().size(), 1U);
}

TEST_F(HistoryChecks, TooEarly) {
    h.submitted(array("wk-1", 1));
    auto s = array("wk-2", 1);
    s.dependencies = {"wk-1"};
    h.submitted(s);
    h.task_done("wk-1", 0);
    h.task_started("wk-2", 0, here, 1);
    EXPECT_EQ(first(), "");
    auto t = array("wk-3", 1);
    t.dependencies = {"wk-2"};
    h.submitted(t);
    h.task_started("wk-3", 0, here, 2);
    EXPECT_EQ(first(), "too_early");
}

TEST_F(HistoryChecks, CancelledButStillRunning) {
    h.submitted(array("wk-1"));
    h.cancellation_requested("wk-1");
    h.task_started("wk-1", 0, here, 1);
    h.user_answered("wk-1", 200, "withdrawn", 2);
    h.check(11);
    EXPECT_EQ(first(), "");
    h.check(13);
    EXPECT_EQ(first(), "ran_cancelled");
}

TEST_F(HistoryChecks, ImpossibleAnswers) {
    h.user_answered("wk-9", 404, "", 1);
    EXPECT_EQ(first(), "");
    h.user_answered("wk-9", 200, "pending", 1);
    EXPECT_EQ(first(), "invented");
    History two{{}, 10};
    two.submitted(array("wk-1", 1));
    two.user_answered("wk-1", 404, "", 1); // not accepted yet
    two.user_answered("wk-1", 201, "pending", 1);
    EXPECT_TRUE(two.violations().empty());
    two.user_answered("wk-1", 404, "", 2);
    ASSERT_EQ(two.violations().size(), 1U);
    two.user_answered("wk-1", 200, "done", 3); // no task is done
    EXPECT_EQ(two.violations().size(), 2U);
    two.user_answered("wk-1", 200, "running", 4);
    EXPECT_EQ(two.violations().size(), 3U);
    History three{{}, 10};
    three.submitted(array("wk-1", 1));
    three.user_answered("wk-1", 200, "withdrawn", 1); // no cancellation was requested
    EXPECT_EQ(three.violations().size(), 1U);
}

TEST_F(HistoryChecks, AnAcceptedJobThatNeverEnds) {
    h.submitted(array("wk-1", 1));
    h.submitted(array("wk-2", 1));
    h.user_answered("wk-1", 201, "pending", 1);
    EXPECT_EQ(h.unfinished(), std::vector<std::string>{"wk-1"});
    h.task_done("wk-1", 0);
    h.user_answered("wk-1", 200, "done", 2);
    EXPECT_TRUE(h.unfinished().empty());
}

// A platform whose machines have no controller to send heartbeats to. Requests reach the cloud and the machine over
// HTTP.
struct PlatformOverHttp : ::testing::Test {
    uv_loop_t loop{};
    History history{{}, 10};
    std::unique_ptr<Platform> platform;
    std::unique_ptr<HttpClient> client;
    std::string cloud, machine;

    PlatformOverHttp() {
        uv_loop_init(&loop);
        PlatformPlan plan;
        plan.types = {{"m8", {8, 0, 32}, 20, 1, 1, 0.3, 0.01, {"a"}}};
        plan.capacity = 2;
        plan.workers.lease_s = 3600;
        platform = std::make_unique<Platform>(&loop, plan, history);
        client = std::make_unique<HttpClient>(&loop, 4, 16);
        EXPECT_EQ(platform->start({"127.0.0.1", 0}), 0);
        cloud = with_port("127.0.0.1:", platform->port());
        platform->register_job(array("wk-1"));
        history.submitted(array("wk-1"));
    }
    ~PlatformOverHttp() override {
        platform.reset();
        client.reset();
        uv_run(&loop, UV_RUN_DEFAULT);
        uv_loop_close(&loop);
    }
    PlatformOverHttp(const PlatformOverHttp&) = delete;
    PlatformOverHttp& operator=(const PlatformOverHttp&) = delete;

    static std::string with_port(const char* a, int b) {
        return a + std::to_string(b);
    }
    HttpReply ask(const std::string& at, const char* method, const std::string& path, const std::string& body = "") {
        std::optional<HttpReply> got;
        client->request(at, method, path, body, 20, [&](HttpReply&& r) { got = std::move(r); });
        while (!got) {
            uv_run(&loop, UV_RUN_ONCE);
            client->sweep();
        }
        return *got;
    }
    void rent() {
        const auto r = ask(cloud, "POST", "/rentals", codec::rental("r-1-1", "m8", "a", false, 1));
        ASSERT_EQ(r.status, 200);
        while (machine.empty()) {
            const auto page = codec::machine_page(ask(cloud, "GET", "/rentals?most=500").body);
            if (page && page->machines.at(0).status == "running")
                machine = page->machines.at(0).addr;
        }
    }
    Heartbeat send_commands(std::uint64_t fencing_token, std::uint64_t agent_epoch, const std::vector<Order>& list,
                            int status = 200) {
        const auto r = ask(machine, "POST", "/commands", codec::commands(fencing_token, agent_epoch, list));
        EXPECT_EQ(r.status, status);
        return codec::heartbeat(r.body).value_or(Heartbeat{});
    }
};

TEST_F(PlatformOverHttp, AClaimRentsOnce) {
    const auto body = codec::rental("r-1-7", "m8", "a", false, 2);
    const auto first = ask(cloud, "POST", "/rentals", body), again = ask(cloud, "POST", "/rentals", body);
    EXPECT_EQ(first.status, 200);
    EXPECT_EQ(first.body, again.body);
    EXPECT_EQ(platform->totals().machines, 2U);
    const auto more = ask(cloud, "POST", "/rentals", codec::rental("r-1-8", "m8", "a", false, 1));
    EXPECT_EQ(more.status, 503);
    EXPECT_NE(more.body.find("no capacity"), std::string::npos);
    EXPECT_EQ(ask(cloud, "POST", "/rentals", "{}").status, 400);
    const auto names = codec::rented(first.body);
    EXPECT_EQ(ask(cloud, "POST", "/rentals/release", codec::release(*names)).status, 200);
    EXPECT_EQ(platform->totals().machines, 0U);
}

TEST_F(PlatformOverHttp, AWorkerObeysTheHighestFencingTokenAndItsAgentEpoch) {
    rent();
    auto r = send_commands(7, 1, {{Verb::launch, "wk-1", 0, 1, 0}});
    ASSERT_EQ(r.tasks.size(), 1U);
    EXPECT_EQ(r.fencing_token, 7U);
    EXPECT_EQ(send_commands(6, 1, {{Verb::launch, "wk-1", 1, 1, 0}}, 409).tasks.size(), 1U);
    EXPECT_EQ(send_commands(7, 2, {{Verb::launch, "wk-1", 1, 1, 0}}, 409).tasks.size(), 1U);
    EXPECT_EQ(ask(machine, "POST", "/commands", "{}").status, 400);
    // Repeating the launch of the same attempt has no effect; another attempt is refused while the first one is on the
    // machine.
    EXPECT_EQ(send_commands(7, 1, {{Verb::launch, "wk-1", 0, 1, 0}}).tasks.size(), 1U);
    r = send_commands(7, 1, {{Verb::launch, "wk-1", 0, 2, 0}, {Verb::launch, "wk-404", 0, 1, 0}});
    ASSERT_EQ(r.tasks.size(), 3U);
    EXPECT_EQ(r.tasks[1].cause, ExitCause::busy);
    EXPECT_EQ(r.tasks[2].cause, ExitCause::unknown);
    r = send_commands(8, 1,
                      {{Verb::stop, "wk-1", 0, 1, 0}, {Verb::reap, "wk-1", 0, 2, 0}, {Verb::reap, "wk-404", 0, 1, 0}});
    ASSERT_EQ(r.tasks.size(), 1U);
    EXPECT_EQ(r.tasks[0].state, TaskState::ended);
}

// A delayed command arrives after its sender has timed out. The worker checks it on arrival, against the fencing token
// and the agent epoch that it has then.
TEST_F(PlatformOverHttp, ADelayedCommandIsCheckedOnArrival) {
    rent();
    platform->random_worker()->delayed_until = platform->now() + 0.6;
    int answered = 0, timed_out = 0;
    const auto send = [&](std::uint64_t fencing_token, std::uint32_t index) {
        client->request(machine, "POST", "/commands",
                        codec::commands(fencing_token, 1, {{Verb::launch, "wk-1", index, 1, 0}}), 0.2,
                        [&](HttpReply&& r) { ++(r.status == 0 && r.sent ? timed_out : answered); });
    };
    send(7, 0);
    send(6, 1); // from an earlier leader
    while (timed_out + answered < 2) {
        uv_run(&loop, UV_RUN_ONCE);
        client->sweep();
    }
    EXPECT_EQ(timed_out, 2);
    EXPECT_EQ(platform->totals().fencing_token, 0U); // no command has arrived yet
    while (platform->totals().fencing_token == 0)
        uv_run(&loop, UV_RUN_ONCE);
    const auto r = send_commands(7, 1, {});
    ASSERT_EQ(r.tasks.size(), 1U);
    EXPECT_EQ(r.tasks[0].index, 0U);
}

TEST(Emulator, AddressesAreReadOrRefused) {
    EXPECT_EQ(parse_address("127.0.0.1:0").port, 0);
    EXPECT_EQ(parse_address("10.0.0.1:65535").host, "10.0.0.1");
    for (const auto* bad : {"", "x", ":7", "a:", "a:b", "a:65536", "a:-1", "a:7x"})
        EXPECT_THROW(parse_address(bad), SettingsError) << bad;
}

} // namespace
} // namespace heronshift::local
