// Compares the messages of one controller with golden files: the answers that users and workers get, its leadership
// records, its answers to peers, and its requests to a peer while the store does not answer.
#include "golden.hpp"
#include "machines.hpp"

#include "heronshift/store/engine.hpp"
#include "node/controller.hpp"

namespace heronshift::testing {
namespace {

struct ManualClock final : Clock {
    [[nodiscard]] double now() const override {
        return time;
    }
    [[nodiscard]] double wall() const override {
        return 1'700'000'000 + time;
    }
    double time = 0;
};

// Callbacks run in `deliver()`, never before `call()` returns.
struct EngineStore final : store::StateStore {
    EngineStore(const ManualClock& clock, bool& down) : clock(clock), down(down) {}

    void call(store::Call&& c, double, store::Callback done) override {
        if (std::holds_alternative<store::Follow>(c)) {
            follows.push_back(std::move(done)); // never answered: only this controller changes the store
            return;
        }
        store::Answer answer;
        if (down) {
            answer.status = 503;
        } else {
            engine.data().begin();
            answer = engine.run(c, static_cast<std::int64_t>(clock.now() * 1000));
            engine.data().commit();
        }
        answers.push_back([done = std::move(done), answer]() mutable { done(std::move(answer)); });
    }
    void deliver() {
        for (auto& answer : std::exchange(answers, {}))
            answer();
    }
    void put(const std::string& key, const std::string& value) {
        engine.data().begin();
        engine.data().put(key, {value, engine.data().next_revision(), 0});
        engine.data().commit();
    }
    std::string value(const std::string& key) {
        engine.data().begin();
        const auto row = engine.data().get(key);
        engine.data().abandon();
        return row ? row->data : "none";
    }
    const ManualClock& clock;
    bool& down;
    store::Engine engine{store::memory_data(), store::Limits{0, 0, 24, 16}};
    std::vector<std::function<void()>> answers;
    std::vector<store::Callback> follows;
};

struct RecordingPeers final : Peers {
    void request(PeerRequestClass, const std::string&, const char* method, const std::string& path, std::string body,
                 double, Done done) override {
        if (path != membership::path_peer_view)
            sent.emplace(std::string(method) + ' ' + path, body);
        const auto it = replies.find(path);
        done(it == replies.end() ? HttpReply{0, "", true} : it->second);
    }
    std::map<std::string, std::string> sent; // the first body per method and path
    std::map<std::string, HttpReply> replies;
};

struct RecordingExecutor final : Executor {
    void command(const SendOrders& o, double, std::function<void(OrdersAnswered&&)> done) override {
        done({o.machine, o.batch, 0, true, std::nullopt});
    }
    void rent(const Rent& ask, double, std::function<void(Rented&&)> done) override {
        done({ask.claim, RentOutcome::no_capacity, {}});
    }
    void release(const Release& ask, double, std::function<void(Released&&)> done) override {
        done({ask.machines, true});
    }
    void list(const std::string&, double, std::function<void(std::optional<codec::MachinePage>&&)> done) override {
        done(codec::MachinePage{});
    }
    void types(double, std::function<void(std::optional<std::vector<MachineType>>&&)> done) override {
        done(types_known ? std::optional(small_types()) : std::nullopt);
    }
    void forward(const std::string&, std::string, double, std::function<void(HttpReply&&)> done) override {
        done({0, "", forwards});
    }
    bool types_known = true, forwards = true;
};

// One of two controllers with its store. Its peer is a `RecordingPeers`.
struct LoneController {
    explicit LoneController(bool types_known = true) {
        Settings s = small_settings();
        s.peers = {{"berth-1", "b", {}}};
        Controller::Parts parts;
        auto own_store = std::make_unique<EngineStore>(*clock, store_down);
        auto own_peers = std::make_unique<RecordingPeers>();
        auto own_executor = std::make_unique<RecordingExecutor>();
        own_executor->types_known = types_known;
        state = own_store.get();
        peers = own_peers.get();
        executor = own_executor.get();
        parts.state = std::move(own_store);
        parts.peers = std::move(own_peers);
        parts.executor = std::move(own_executor);
        parts.clock = clock;
        controller = std::make_unique<Controller>(s, std::move(parts));
        controller->start();
    }
    void run(double seconds) {
        for (const double until = clock->time + seconds; clock->time < until; clock->time += 0.0625) {
            controller->tick();
            for (int k = 0; k < 8; ++k) {
                controller->wake();
                state->deliver();
            }
        }
    }
    // Sends a request such as "POST /v2/runs BODY" to the port for users and workers, or, if the path begins with
    // /peer, to the port for peers. Returns the request and the answer as sent: status, body and Retry-After.
    std::string ask(const std::string& method, const std::string& path, const std::string& body = "") {
        auto answer = std::make_shared<std::string>("no answer");
        Responder res([answer](int status, std::string_view text, int retry_after_s) {
            *answer = fmt::format("{} {}", status, text);
            if (retry_after_s > 0)
                *answer += fmt::format(" Retry-After: {}", retry_after_s);
        });
        const auto query = path.find('?');
        HttpRequest r{method, path.substr(0, query), query == std::string::npos ? "" : path.substr(query + 1), body};
        path.starts_with("/peer") ? controller->serve_peer(std::move(r), std::move(res))
                                  : controller->serve(std::move(r), std::move(res));
        for (int k = 0; k < 40 && *answer == "no answer"; ++k)
            run(0.0625);
        return fmt::format("{} {} {}\n  {}\n", method, path, body, *answer);
    }
    bool store_down = false;
    std::shared_ptr<ManualClock> clock = std::make_shared<ManualClock>();
    EngineStore* state = nullptr;
    RecordingPeers* peers = nullptr;
    RecordingExecutor* executor = nullptr;
    std::unique_ptr<Controller> controller;
};

std::string heartbeat_body(std::uint64_t counter, const std::vector<ReportedTask>& tasks = {}) {
    return codec::to_body({"n-1", "10.1.0.1:9000", "m8", "a", false, 1, counter, 0, -1, tasks});
}

std::string without_last_line_end(std::string text) {
    text.pop_back();
    return text;
}

TEST_F(Golden, LeadershipRecords) {
    LoneController c;
    for (int k = 0; k < 100 && c.state->value("office") == "none"; ++k)
        c.run(0.0625);
    expect_golden("records/office.json", c.state->value("office"));
    expect_golden("records/round.json", c.state->value("round"));
}

TEST_F(Golden, AnswersToUsers) {
    LoneController c;
    c.run(6);
    const std::string jobs(codec::path_jobs);
    const auto body = [](
                          int n, const std::function<void(JobSpec&)>& change = [](JobSpec&) {}) {
        auto spec = job(n, Shape::array, 2, 1);
        change(spec);
        return codec::to_body(spec);
    };
    std::string transcript;
    transcript += c.ask("POST", jobs, body(1));
    transcript += c.ask("POST", jobs, body(1));
    transcript += c.ask("GET", jobs + "/wk-000001");
    transcript += c.ask("POST", jobs, body(2, [](JobSpec& s) { s.dependencies = {"wk-000001"}; }));
    transcript += c.ask("POST", jobs, body(3, [](JobSpec& s) { s.dependencies = {"wk-000099"}; }));
    transcript += c.ask("POST", jobs, body(4, [](JobSpec& s) { s.dependencies = {s.id}; }));
    transcript += c.ask("POST", jobs, body(5, [](JobSpec& s) { s.team = "green"; }));
    transcript += c.ask("POST", jobs, body(6, [](JobSpec& s) { s.each.cpus = 9; }));
    transcript += c.ask("POST", jobs, body(7, [](JobSpec& s) { s.each.cpus = 41; }));
    transcript += c.ask("POST", jobs, R"({"id":"wk-000008"})");
    transcript += c.ask("POST", jobs, "{");
    transcript += c.ask("GET", jobs + "/wk-000099");
    transcript += c.ask("GET", jobs + "/job-1");
    transcript += c.ask("POST", jobs + "/wk-000001/cancel");
    transcript += c.ask("GET", jobs + "/wk-000002");
    transcript += c.ask("POST", jobs, body(1));
    transcript += c.ask("POST", jobs + "/wk-000099/cancel");
    transcript += c.ask("GET", jobs);
    transcript += c.ask("GET", jobs + "/wk-000001/cancel");
    transcript += c.ask("POST", jobs + "/wk-000001/stop");
    transcript += c.ask("GET", "/nowhere");
    transcript += c.ask("GET", std::string(codec::path_health));
    expect_golden("users/answers.txt", without_last_line_end(transcript));
}

TEST_F(Golden, AnswersToUsersBeforeTypesAreKnown) {
    LoneController c(false);
    const std::string jobs(codec::path_jobs);
    std::string transcript = c.ask("POST", jobs, codec::to_body(job(1, Shape::array, 2, 1)));
    transcript += c.ask("POST", jobs + "/wk-000001/cancel");
    transcript += c.ask("GET", std::string(codec::path_health));
    c.store_down = true;
    transcript += c.ask("GET", jobs + "/wk-000001");
    expect_golden("users/answers_early.txt", without_last_line_end(transcript));
}

TEST_F(Golden, AnswersToWorkers) {
    LoneController c;
    const std::string path(codec::path_heartbeat);
    std::string transcript = c.ask("POST", path, heartbeat_body(1));
    c.run(6);
    transcript += c.ask("POST", path, heartbeat_body(2));
    c.ask("POST", std::string(codec::path_jobs), codec::to_body(job(1, Shape::array, 1, 1)));
    c.run(2);
    transcript += c.ask("POST", path, heartbeat_body(3));
    transcript +=
        c.ask("POST", path, heartbeat_body(4, {{"wk-000777", 0, 1, TaskState::running, ExitCause::none, false}}));
    transcript += c.ask("POST", path, "{}");
    transcript += c.ask("GET", path);
    expect_golden("workers/answers.txt", without_last_line_end(transcript));
}

// The store names berth-1 as the leader, which does not answer.
TEST_F(Golden, AnswersOfAStandby) {
    LoneController c;
    c.state->put("office", golden("records/office_of_peer.json"));
    c.run(1);
    const std::string jobs(codec::path_jobs);
    std::string transcript = c.ask("POST", std::string(codec::path_heartbeat), heartbeat_body(1));
    transcript += c.ask("POST", jobs, codec::to_body(job(1, Shape::array, 2, 1)));
    transcript += c.ask("GET", jobs + "/wk-000001");
    transcript += c.ask("POST", jobs + "/wk-000001/cancel");
    transcript += c.ask("GET", "/peer/office");
    transcript += c.ask("POST", "/peer" + jobs + "/wk-000001/cancel");
    transcript += c.ask("POST", "/peer" + std::string(codec::path_heartbeat), heartbeat_body(2));
    expect_golden("peers/answers_of_a_standby.txt", without_last_line_end(transcript));
}

TEST_F(Golden, AnswerToAWorkerWhileNobodyLeads) {
    LoneController c;
    c.store_down = true;
    c.run(6);
    expect_golden("workers/answers_no_leader.txt",
                  without_last_line_end(c.ask("POST", std::string(codec::path_heartbeat), heartbeat_body(1))));
}

TEST_F(Golden, AnswersToPeers) {
    LoneController c;
    // The controller is still a standby, so it tries to take over.
    std::string transcript = c.ask("POST", "/peer/take", R"({"node":"berth-1","term":1,"hold":1})");
    c.run(6);
    transcript += c.ask("GET", "/peer/office");
    transcript += c.ask("POST", "/peer/promise", "{}");
    transcript += c.ask("POST", "/peer/promise", R"({"node":"berth-1","term":1,"forS":0.5})");
    transcript += c.ask("POST", "/peer/take", "{}");
    transcript += c.ask("POST", "/peer/take", R"({"node":"berth-1","term":1,"hold":1})");
    transcript += c.ask("POST", "/peer/view", "{}");
    transcript += c.ask("POST", "/peer/relay", codec::commands(1, 1, {}));
    transcript += c.ask("POST", "/peer/relay?to=10.1.0.1:9000", codec::commands(1, 1, {}));
    c.executor->forwards = false;
    transcript += c.ask("POST", "/peer/relay?to=10.1.0.1:9000", codec::commands(1, 1, {}));
    transcript += c.ask("GET", "/peer/nowhere");
    expect_golden("peers/answers.txt", without_last_line_end(transcript));
}

// The store stops answering this controller for good. It first asks its peer for an extension vote (/peer/promise). The
// peer answers that the store serves it, so the controller offers it the leadership (/peer/take).
TEST_F(Golden, RequestsToPeersInAnOutage) {
    LoneController c;
    c.run(6);
    c.peers->replies["/peer/promise"] = {409, R"({"error":"the store answers here","served":true})", true};
    c.peers->replies["/peer/take"] = {200, "{}", true};
    c.store_down = true;
    c.run(3);
    std::string transcript;
    for (const auto& [what, body] : c.peers->sent)
        transcript += what + ' ' + body + '\n';
    ASSERT_FALSE(transcript.empty());
    expect_golden("peers/requests.txt", without_last_line_end(transcript));
}

} // namespace
} // namespace heronshift::testing
