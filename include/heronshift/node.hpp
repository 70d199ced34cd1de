// One controller: the loop, its servers and clients, and the queue of commands for the core.
#pragma once

#include "heronshift/clock.hpp"
#include "heronshift/core/core.hpp"
#include "heronshift/executor/executor.hpp"
#include "heronshift/http.hpp"
#include "heronshift/metrics/metrics.hpp"
#include "heronshift/replay/command_log.hpp"
#include "heronshift/store/store.hpp"
#include "heronshift/tenancy.hpp"

#include <map>
#include <memory>
#include <unordered_set>

namespace heronshift {

// A share of a rate that all controllers spend together.
class RateBudget {
public:
    RateBudget(double per_s, double burst) : rate_(per_s), burst_(burst), left_(burst) {}
    bool take(double now, double n = 1);
    bool would_take(double now, double n);
    void set_rate(double per_s, double burst) {
        rate_ = per_s, burst_ = burst;
    }

private:
    double rate_, burst_, left_, at_ = 0;
};

class Node {
public:
    // What is left out is the daemon's: the state service and the cloud that the settings name, and the
    // system's time.
    struct Parts {
        std::unique_ptr<store::StateStore> state;
        std::unique_ptr<Executor> executor;
        std::shared_ptr<const Clock> clock;
    };
    Node(uv_loop_t* loop, Settings settings, Parts parts);
    Node(uv_loop_t* loop, Settings settings) : Node(loop, std::move(settings), Parts{}) {}
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    // Records what goes into the core from its next term on, see replay/command_log.hpp.
    void record(std::unique_ptr<replay::CommandLog> log) {
        log_ = std::move(log);
    }
    // Listens, unless the settings name no host to listen at. 0 or a libuv error.
    int start();
    void stop();
    // All that is due by the clock: for one whose time does not pass by itself.
    void turn() {
        tick();
        wake();
    }
    // A user's request from inside this process, answered as one that came over the network.
    void call(HttpRequest&& r, Responder res) {
        ++requests_;
        serve(std::move(r), std::move(res), false);
    }
    void after(double delay_s, std::function<void()> f); // on the loop, while the node lives
    void each_tick(std::function<void()> f) {            // some thirty times in report_s
        on_tick_ = std::move(f);
    }
    [[nodiscard]] store::StateStore& state() {
        return *store_;
    }
    // Until when, by its clock, this node may act if it hears nothing more; 0: it may not.
    [[nodiscard]] double acts_until() const {
        return office_ == Office::held ? tenancy_.until() : 0;
    }
    // The port that workers and users reach, once started: the system's choice where 0 was asked for.
    [[nodiscard]] int port() const {
        return users_ ? users_->port() : 0;
    }

private:
    using Json = codec::Json;
    enum class Office : std::uint8_t { standby, acquiring, loading, held };

    [[nodiscard]] double now() const {
        return clock_->now();
    }
    [[nodiscard]] double wall() const {
        return clock_->wall();
    }

    // office.cpp: leadership
    void watch_office();
    void office_seen(const store::Answer& r);
    void ask_for_holder();
    void acquire();
    void load(const std::string& prefix, const std::string& since, std::vector<codec::Item>* into,
              std::function<void()> next);
    void take_office();
    void renew();
    void asked_to_promise(const HttpRequest& r, const Responder& res);
    void step_down(const std::string& why);
    [[nodiscard]] bool valid() const {
        return office_ == Office::held && tenancy_.valid(now());
    }
    void follow_jobs();
    void commit(Commit c, int tries);
    void resolve_commit(Commit c, int tries);

    // node.cpp
    void on_user(HttpRequest&& r, Responder res);
    void on_peer(HttpRequest&& r, Responder res);
    void serve(HttpRequest&& r, Responder res, bool forwarded);
    void submit(HttpRequest&& r, Responder res, bool forwarded);
    void poll(const std::string& id, Responder res, bool forwarded);
    void cancel(const std::string& id, HttpRequest&& r, Responder res, bool forwarded);
    void beat(const HttpRequest& r, const Responder& res);
    [[nodiscard]] std::optional<ReportAnswer> elsewhere() const; // what a report is told that this node must not take
    void note_launches(const std::vector<Order>& orders);
    void report(Report&& r, Executor::ReportDone done);
    void forward(HttpRequest&& r, Responder res, std::function<void(Responder)> otherwise);
    // Fresh reads: the final state if there is one, else whether the job was accepted.
    struct Found {
        bool known = false;   // the store has answered
        std::string status;   // empty: never accepted
        bool service = false; // if its final state says so
        std::optional<codec::Item> job;
    };
    void look_up(const std::string& id, std::function<void(Found)> done);
    void store_job(JobSpec spec, HttpRequest&& request, Responder res, bool forwarded, int tries);
    void refuse_unless_known(const std::string& id, int status, const std::string& why, const Responder& res);
    void accept(JobSpec spec, HttpRequest&& r, Responder res, bool forwarded);
    // A submission that names other jobs, while it is being checked that these were accepted.
    struct Chained {
        JobSpec spec;
        HttpRequest request;
        Responder res;
        bool forwarded = false;
        double since = 0;
        std::size_t next = 0;
    };
    void check_needs(const std::shared_ptr<Chained>& c);
    void remember_accepted(const std::string& id);
    void learn_types();
    [[nodiscard]] std::string impossible(const JobSpec& s) const;

    store::Callback watched(store::Callback done); // notes whether the store answers this node
    void get(const std::string& key, double timeout_s, store::Callback done) {
        store_->get(key, timeout_s, watched(std::move(done)));
    }
    void transact(const std::vector<codec::Guard>& guards, const std::vector<codec::Write>& writes, double timeout_s,
                  store::Callback done) {
        store_->transact(guards, writes, timeout_s, watched(std::move(done)));
    }
    void end_hold(std::uint64_t hold, double timeout_s, store::Callback done) {
        store_->end_hold(hold, timeout_s, watched(std::move(done)));
    }
    void cloud_pump();
    // ask(true) reaches the cloud when the budget allows; ask(false): it never will.
    void cloud_request(std::function<void(bool)> ask);
    void list_machines(const std::string& since);

    void push(Command c) {
        queue_.push_back(std::move(c));
    }
    void run_core();
    void perform(Effect& e);
    void arm();
    void tick();
    void wake();

    Settings s_;
    uv_loop_t* loop_;
    std::shared_ptr<const Clock> clock_;
    // Outlives the node by a moment: libuv closes handles in a later turn of the loop.
    struct Handles {
        uv_timer_t tick{}, wake{};
        uv_check_t check{};
        int open = 0;
    };
    Handles* handles_ = nullptr;
    std::unique_ptr<HttpServer> users_, peers_;
    std::unique_ptr<store::StateStore> store_;
    std::unique_ptr<Executor> executor_;
    HttpClient peer_client_;
    RateBudget store_budget_, submit_budget_, cloud_budget_;

    Office office_ = Office::standby;
    std::string holder_; // as far as this node knows
    std::uint64_t office_term_ = 0;
    bool store_fails_ = false; // its last answer to this node was none
    double workers_heard_ = 0, office_at_ = 0, resting_until_ = 0;
    std::uint64_t hold_ = 0, term_ = 0, office_stamp_ = 0, round_stamp_ = 0, round_seq_ = 0, follow_epoch_ = 0;
    Tenancy tenancy_;
    bool carried_ = false; // by promises, said once a term
    double next_renew_ = 0, hold_sent_ = 0;
    std::uint64_t generation_ = 0; // of the time in office: late answers of an earlier one are dropped
    Snapshot snapshot_;
    int loads_left_ = 0;
    std::unique_ptr<Core> core_;
    std::vector<Command> queue_;
    bool running_core_ = false;
    std::unique_ptr<replay::CommandLog> log_;

    std::vector<MachineType> types_;
    bool learning_types_ = false;
    double next_types_ = 0, next_list_ = 0, types_at_ = -1e9;
    std::vector<ListedMachine> listing_;
    double listing_at_ = 0;
    std::deque<std::function<void(bool)>> cloud_queue_;

    std::uint64_t handle_seq_ = 0;
    struct Open {
        Responder res;
        std::string id;
        double since = 0;
    };
    std::map<std::uint64_t, Open> cancels_;
    struct OpenReport {
        Executor::ReportDone done;
        double since = 0;
    };
    std::map<std::uint64_t, OpenReport> beats_;
    std::size_t lookups_ = 0;
    std::unordered_set<std::string> accepted_;
    std::deque<std::string> accepted_order_;
    struct Later {
        double at;
        std::function<void()> f;
    };
    std::vector<Later> later_;
    std::uint64_t requests_ = 0, refused_ = 0;
    struct {
        metrics::Latency submit, report, commit, step, launch;
    } took_;
    metrics::FirstLaunches first_launches_;
    [[nodiscard]] std::string metrics() const;
    double next_sweep_ = 0;
    std::function<void()> on_tick_;
};

} // namespace heronshift
