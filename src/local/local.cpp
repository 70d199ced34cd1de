#include "local/local.hpp"

#include "heronshift/codec.hpp"
#include "local/cloud.hpp"
#include "local/emulator.hpp"
#include "local/port.hpp"
#include "persistence/layout.hpp"
#include "store/server.hpp"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace heronshift::local {
namespace {

constexpr int nodes = 3;
constexpr double report_s = 1, lease_s = 6, cancel_s = 15;
constexpr double completion_timeout_s = 90; // Time after the last submission in which all jobs must end.
constexpr double user_timeout_s = 5, poll_timeout_s = 2, poll_interval_s = 1, submission_timeout_s = 60;
constexpr double restart_delay_s = 2; // Delay before a controller that has ended is started again.
constexpr double fault_interval_s = 2.5;
constexpr double late_copy_share = 0.2;

std::vector<TeamLimits> teams() {
    return {{"red", 40, 64, 0, 0}, {"blue", 24, 48, 0, 0}};
}

JobSpec job(int n, Shape shape, std::uint32_t tasks, double cpus, const std::string& team, double run_s) {
    JobSpec spec;
    spec.id = fmt::format("wk-{:06}", n);
    spec.job_class = shape == Shape::array ? "batch" : shape == Shape::gang ? "solve" : "serve";
    spec.team = team;
    spec.shape = shape;
    spec.priority = shape == Shape::service ? Priority::critical
                    : shape == Shape::gang  ? Priority::high
                                            : Priority::normal;
    spec.tasks = tasks;
    spec.each = {cpus, 0, cpus * 2};
    spec.image = "img-" + team;
    spec.image_gb = 0.4;
    spec.spot = shape == Shape::array;
    spec.estimate_s = run_s;
    return spec;
}

class LocalPlatform {
public:
    explicit LocalPlatform(const LocalOptions& o) : options_(o), rng_(o.seed), history_(teams(), cancel_s) {
        uv_loop_init(&loop_);
        http_client_ = std::make_unique<HttpClient>(&loop_, 64, 1024);
    }
    ~LocalPlatform() {
        kill_controllers();
        platform_.reset();
        store_.reset();
        http_client_.reset();
        tick_.reset();
        if (interrupt_ != nullptr)
            uv_close(reinterpret_cast<uv_handle_t*>(interrupt_),
                     [](uv_handle_t* h) { delete reinterpret_cast<uv_signal_t*>(h); });
        uv_run(&loop_, UV_RUN_DEFAULT); // Returns once the controllers have ended and all handles are closed.
        uv_loop_close(&loop_);
    }
    LocalPlatform(const LocalPlatform&) = delete;
    LocalPlatform& operator=(const LocalPlatform&) = delete;

    int run() {
        if (const auto why = start(); !why.empty()) {
            std::cerr << "heronshift local: " << why << "\n";
            return 2;
        }
        uv_run(&loop_, UV_RUN_DEFAULT);
        return summary();
    }

private:
    struct Controller {
        std::string name, config, log;
        Port user, peer;
        uv_process_t* process = nullptr;
        double restart_at = -1;
        int starts = 0;
    };
    // A simulated user, who submits one job and polls it until it has ended.
    struct User {
        JobSpec spec;
        double submit_at = 0, next_request_at = 0, cancel_at = -1, first_attempt_at = -1;
        enum class State { waiting, submitting, polling, cancelling, ended } state = State::waiting;
        bool request_pending = false;
        std::string last = "not submitted"; // The state of the job that the user was last told.
    };

    double random_between(double a, double b) {
        return std::uniform_real_distribution<double>(a, b)(rng_);
    }
    [[nodiscard]] double now() const {
        return static_cast<double>(uv_hrtime()) * 1e-9 - start_time_;
    }
    void print_line(const std::string& line) const {
        std::cerr << fmt::format("{:6.1f} s  {}\n", now(), line);
    }

    std::string start() {
        start_time_ = static_cast<double>(uv_hrtime()) * 1e-9;
        folder_ = options_.folder;
        if (folder_.empty()) {
            const char* tmp = std::getenv("TMPDIR");
            folder_ = fmt::format("{}/heronshift-XXXXXX", tmp != nullptr ? tmp : "/tmp");
            if (::mkdtemp(folder_.data()) == nullptr)
                return folder_ + ": cannot create the folder";
        } else if (::mkdir(folder_.c_str(), 0755) != 0 && errno != EEXIST) {
            return folder_ + ": cannot create the folder";
        }
        store_ = std::make_unique<store::StoreServer>(
            &loop_, std::make_unique<store::Engine>(store::memory_data(), store::Limits{200, 100, 24, 16}));
        if (store_->start({"127.0.0.1", 0}) != 0)
            return "the state service cannot listen";
        PlatformPlan plan;
        plan.workers.report_s = report_s;
        plan.workers.lease_s = lease_s;
        plan.types = default_machine_types();
        plan.seed = options_.seed;
        for (int i = 0; i < (options_.serve_port > 0 ? 0 : nodes); ++i) {
            Controller c;
            c.name = fmt::format("berth-{}", i);
            c.config = fmt::format("{}/{}.toml", folder_, c.name);
            c.log = fmt::format("{}/{}.log", folder_, c.name);
            plan.workers.nodes.emplace_back(c.name, fmt::format("127.0.0.1:{}", c.user.number()));
            controllers_.push_back(std::move(c));
        }
        if (options_.serve_port > 0)
            plan.workers.nodes.emplace_back("alone", fmt::format("127.0.0.1:{}", options_.serve_port));
        platform_ = std::make_unique<Platform>(&loop_, std::move(plan), history_);
        if (platform_->start({"127.0.0.1", 0}) != 0)
            return "the cloud cannot listen";
        if (options_.faults)
            enable_late_copies();
        platform_->ask = [this](const std::string& id) -> std::optional<JobSpec> {
            const auto row = store_->engine().data().get(persistence::job_key(id));
            auto j = row ? codec::stored_job(codec::parse(row->data), 0) : std::nullopt;
            if (j)
                return std::move(j->spec);
            if (options_.serve_port == 0)
                return {};
            // The job may be in the other program's own store, which cannot be read from here.
            return substitute_job(id);
        };
        for (std::size_t i = 0; i < controllers_.size(); ++i) {
            const auto& c = controllers_[i];
            if (!write_settings(c.config, c.name, c.user.number(), c.peer.number()))
                return controllers_[i].config + ": cannot write the settings";
            if (!spawn(controllers_[i]))
                return "cannot start a controller";
        }
        if (options_.serve_port > 0) {
            const auto path = folder_ + "/settings.toml";
            if (!write_settings(path, "alone", options_.serve_port, unused_peer_port_.number()))
                return path + ": cannot write the settings";
            print_line("settings for the program that runs the scheduler: " + path);
            options_.stay = true;
        } else {
            plan_load();
        }
        tick_ = std::make_unique<LoopTimer>();
        tick_->start(&loop_, 50, [this] { tick(); });
        interrupt_ = new uv_signal_t;
        uv_signal_init(&loop_, interrupt_);
        interrupt_->data = this;
        uv_signal_start(
            interrupt_, [](uv_signal_t* s, int) { static_cast<LocalPlatform*>(s->data)->finish("interrupted"); },
            SIGINT);
        print_line(fmt::format("state service on 127.0.0.1:{}, cloud on 127.0.0.1:{}, logs in {}", store_->port(),
                               platform_->port(), folder_));
        for (const auto& c : controllers_)
            print_line(fmt::format("{} on http://127.0.0.1:{}", c.name, c.user.number()));
        return {};
    }

    // Of everything but the messages between controllers, which do not pass through an emulator.
    void enable_late_copies() {
        platform_->late_copies().share = late_copy_share;
        store_->set_interceptor([this](const HttpRequest& request, const Responder& responder) {
            return platform_->late_copies().copying(
                responder, [this, request] { store_->handle(HttpRequest(request), Responder()); });
        });
    }

    bool write_settings(const std::string& path, const std::string& name, int user, int peer) {
        std::ofstream f(path);
        f << fmt::format("host_name = \"{}\"\nzone = \"a\"\nbind = \"127.0.0.1:{}\"\nback = \"127.0.0.1:{}\"\n", name,
                         user, peer);
        for (const auto& c : controllers_)
            if (c.name != name)
                f << fmt::format("\n[[others]]\nhost_name = \"{}\"\nzone = \"a\"\npeer_addr = \"127.0.0.1:{}\"\n",
                                 c.name, c.peer.number());
        f << fmt::format("\n[external]\ncloud = \"127.0.0.1:{}\"\nstate = \"127.0.0.1:{}\"\n", platform_->port(),
                         store_->port());
        f << "\n[facts]\ninitial_size = 0\nzones = [\"a\", \"b\"]\ntime_bound_ms = 100.0\n";
        for (const auto& limits : teams())
            f << fmt::format("\n[[facts.teams]]\nname = \"{}\"\ncpus = {:.1f}\ncpus_max = {:.1f}\ngpus = 0.0\n"
                             "gpus_max = 0.0\n",
                             limits.name, limits.cpus, limits.cpus_max);
        f << fmt::format("\n[facts.workers]\nreport_s = {:.1f}\nlease_s = {:.1f}\ngang_wait_s = 10.0\n"
                         "gang_peer_s = 2.0\ncancel_s = {:.1f}\n",
                         report_s, lease_s, cancel_s);
        f << "\n[facts.state]\nrps = 200.0\nwrite_rps = 100.0\nvalue_kb = 16.0\ntxn_ops = 24\n"
             "\n[facts.cloud]\nrps = 10.0\nlist_lag_s = 1.0\n"
             "\n[facts.resources]\ncores = 1.0\nmem_mb = 256.0\nfd_limit = 1000\n";
        return f.good();
    }

    bool spawn(Controller& c) {
        const std::string program = options_.program.empty() ? "/proc/self/exe" : options_.program;
        const int log = ::open(c.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        if (log < 0)
            return false;
        std::vector<std::string> arguments{program, "--config", c.config};
        std::vector<char*> args;
        args.reserve(arguments.size() + 1);
        for (auto& w : arguments)
            args.push_back(w.data());
        args.push_back(nullptr);
        uv_stdio_container_t io[3];
        io[0].flags = UV_IGNORE;
        io[1].flags = io[2].flags = UV_INHERIT_FD;
        io[1].data.fd = io[2].data.fd = log;
        uv_process_options_t p{};
        p.file = program.c_str();
        p.args = args.data();
        p.stdio = io;
        p.stdio_count = 3;
        p.exit_cb = [](uv_process_t* x, std::int64_t, int) {
            if (auto* owner = static_cast<Controller*>(x->data); owner != nullptr)
                owner->process = nullptr;
            uv_close(reinterpret_cast<uv_handle_t*>(x),
                     [](uv_handle_t* h) { delete reinterpret_cast<uv_process_t*>(h); });
        };
        c.process = new uv_process_t;
        c.process->data = &c;
        const int e = uv_spawn(&loop_, c.process, &p);
        ::close(log);
        ++c.starts;
        return e == 0;
    }

    void kill_controllers() {
        for (auto& c : controllers_)
            if (c.process != nullptr)
                uv_process_kill(c.process, SIGKILL);
    }

    void plan_load() {
        int n = 0;
        auto add = [&](JobSpec spec, double submit_at, double cancel_at = -1) {
            User u;
            u.submit_at = submit_at;
            u.cancel_at = cancel_at;
            u.spec = std::move(spec);
            users_.push_back(std::move(u));
        };
        const double last = options_.seconds;
        for (int i = 0; i < options_.jobs; ++i) {
            const double submit_at = 2 + (last - 2) * i / std::max(1, options_.jobs);
            const auto team = i % 3 == 0 ? "blue" : "red";
            if (i % 4 == 1) {
                auto spec = job(++n, Shape::gang, 2 + static_cast<std::uint32_t>(rng_() % 3), 4, team, 2);
                spec.one_zone = i % 8 == 1;
                add(std::move(spec), submit_at);
            } else if (i % 4 == 2) {
                auto spec = job(++n, Shape::service, 2 + static_cast<std::uint32_t>(rng_() % 2), 1, team, 0);
                spec.spread = true;
                // Services never end by themselves, so their users cancel them after the last submission.
                add(std::move(spec), submit_at, last + 2);
            } else {
                auto spec = job(++n, Shape::array, 3 + static_cast<std::uint32_t>(rng_() % 12), 2, team, 1.5);
                add(std::move(spec), submit_at, i % 8 == 7 ? submit_at + random_between(0, 3) : -1);
            }
        }
        // A pipeline: each step depends on the previous one.
        std::vector<std::string> before;
        for (const auto* step : {"gather", "clean", "publish"}) {
            auto spec = job(++n, Shape::array, 4, 1, "red", 1);
            spec.job_class = step;
            spec.dependencies = before;
            before = {spec.id};
            add(std::move(spec), 3 + 0.3 * static_cast<double>(n % 3));
        }
    }

    std::string random_controller() {
        return fmt::format("127.0.0.1:{}", controllers_[rng_() % controllers_.size()].user.number());
    }

    // Sends the next request of a user, if one is due, as the protocol prescribes for clients.
    void send_next_request(std::size_t i, double t) {
        auto& u = users_[i];
        using S = User::State;
        if (u.request_pending || u.state == S::ended || t < u.next_request_at)
            return;
        if (u.state == S::waiting) {
            const bool ready =
                std::all_of(u.spec.dependencies.begin(), u.spec.dependencies.end(), [this](const auto& id) {
                    return std::any_of(users_.begin(), users_.end(), [&](const User& x) {
                        return x.spec.id == id && x.state != S::waiting && x.state != S::submitting;
                    });
                });
            if (t < u.submit_at || !ready)
                return;
            u.state = S::submitting;
            u.first_attempt_at = t;
            platform_->register_job(u.spec);
            history_.submitted(u.spec);
        }
        if (u.state == S::polling && u.cancel_at >= 0 && t >= u.cancel_at) {
            u.state = S::cancelling;
            history_.cancellation_requested(u.spec.id);
        }
        const auto path = std::string(codec::path_jobs);
        const auto job_path = path + "/" + u.spec.id;
        u.request_pending = true;
        if (u.state == S::submitting)
            send_request(i, "POST", path, codec::to_body(u.spec), user_timeout_s);
        else if (u.state == S::cancelling)
            send_request(i, "POST", job_path + "/" + std::string(codec::suffix_cancel), "{}", user_timeout_s);
        else
            send_request(i, "GET", job_path, "", poll_timeout_s);
    }

    void send_request(std::size_t user, const char* method, const std::string& path, const std::string& body,
                      double timeout_s) {
        auto copy = [this, method, path, body, timeout_s] {
            http_client_->request(random_controller(), method, path, body, timeout_s, [](HttpReply&&) {});
        };
        auto done = [this, user](HttpReply&& reply) { handle_answer(user, reply); };
        http_client_->request(random_controller(), method, path, body, timeout_s,
                              platform_->late_copies().copying(std::move(done), std::move(copy)));
    }

    void handle_answer(std::size_t i, const HttpReply& reply) {
        auto& u = users_[i];
        using S = User::State;
        u.request_pending = false;
        const double t = now();
        u.next_request_at = t + (u.state == S::polling ? poll_interval_s : 1);
        const auto a = reply.status == 200 || reply.status == 201 ? codec::job_answer_of(reply.body) : std::nullopt;
        if (reply.status != 0)
            history_.user_answered(u.spec.id, reply.status, a ? a->status : "", platform_->now());
        if (!a) {
            const bool is_rejected = u.state == S::submitting && (reply.status == 400 || reply.status == 422);
            if (is_rejected || (u.state == S::submitting && t - u.first_attempt_at > submission_timeout_s)) {
                u.last = is_rejected ? fmt::format("rejected with status {}", reply.status) : "not accepted in time";
                u.state = S::ended;
            }
            return;
        }
        u.last = a->status;
        if (u.state == S::submitting)
            u.state = S::polling;
        if (a->status == codec::status_done || a->status == codec::status_cancelled)
            u.state = S::ended;
    }

    void inject_fault(double t) {
        if (!options_.faults || t < next_fault_ || t > options_.seconds)
            return;
        next_fault_ = t + fault_interval_s * random_between(0.6, 1.4);
        auto* w = platform_->random_worker();
        using FaultMode = store::StoreServer::FaultMode;
        const auto store = [&](const char* what, FaultMode fault_mode) {
            print_line(fmt::format("fault: the state service {}", what));
            store_->set_fault_mode(fault_mode);
            store_fault_end_ = t + random_between(1, 5);
        };
        const auto worker = [&](const char* what, double EmulatedWorker::*until) {
            if (w == nullptr)
                return;
            print_line(fmt::format("fault: {} {}", w->list_entry(0).id, what));
            if (until != nullptr)
                w->*until = platform_->now() + random_between(1, 2 * lease_s);
            else
                platform_->kill(*w);
        };
        switch (std::uniform_int_distribution<int>(0, 9)(rng_)) {
        case 0:
            return store("is unavailable (503)", FaultMode::unavailable);
        case 1:
            return store("is overloaded (429)", FaultMode::rate_limited);
        case 2:
            return store("does not answer", FaultMode::silent);
        case 3:
            return worker("hangs", &EmulatedWorker::hung_until);
        case 4:
            return worker("is cut off", &EmulatedWorker::cut_off_until);
        case 5:
            return worker("and its controller receive each other's messages late", &EmulatedWorker::delayed_until);
        case 6:
            return worker("is lost with its tasks", nullptr);
        case 7:
            print_line("fault: the cloud is unavailable");
            platform_->out = true;
            cloud_fault_end_ = t + random_between(1, 5);
            return;
        default: {
            auto& c = controllers_[rng_() % controllers_.size()];
            if (c.process == nullptr)
                return;
            print_line(fmt::format("fault: {} is killed", c.name));
            uv_process_kill(c.process, SIGKILL);
            c.restart_at = t + restart_delay_s;
        }
        }
    }

    void tick() {
        const double t = now();
        http_client_->sweep();
        if (store_fault_end_ >= 0 && t >= store_fault_end_) {
            store_fault_end_ = -1;
            store_->set_fault_mode(store::StoreServer::FaultMode::none);
        }
        if (cloud_fault_end_ >= 0 && t >= cloud_fault_end_) {
            cloud_fault_end_ = -1;
            platform_->out = false;
        }
        for (auto& c : controllers_) {
            if (c.process != nullptr)
                continue;
            if (c.restart_at < 0) { // It ended without an injected fault, so the run has failed.
                ++unexpected_exits_;
                print_line(fmt::format("{} exited unexpectedly, see {}", c.name, c.log));
                c.restart_at = t + restart_delay_s;
            }
            if (t < c.restart_at)
                continue;
            c.restart_at = -1;
            spawn(c);
        }
        inject_fault(t);
        bool ended = true;
        for (std::size_t i = 0; i < users_.size(); ++i) {
            send_next_request(i, t);
            ended = ended && users_[i].state == User::State::ended;
        }
        if (t >= next_progress_at_) {
            next_progress_at_ = t + 1;
            progress();
        }
        if (ended && !options_.stay)
            finish("");
        if (t > options_.seconds + completion_timeout_s && !options_.stay)
            finish("time limit reached before all jobs ended");
    }

    void progress() const {
        std::map<std::string, int> states;
        for (const auto& u : users_)
            ++states[u.last];
        std::string jobs;
        for (const auto& [s, n] : states)
            jobs += fmt::format("{}{} {}", jobs.empty() ? "" : ", ", n, s);
        const auto s = platform_->totals();
        print_line(fmt::format("jobs: {} | machines: {} of {} up | tasks running: {} | rules broken: {}", jobs, s.up,
                               s.machines, s.running, history_.violations().size()));
    }

    void finish(const std::string& why) {
        if (!why.empty())
            print_line(why);
        uv_stop(&loop_);
    }

    int summary() {
        std::map<std::string, std::map<std::string, int>> shapes;
        for (const auto& u : users_) {
            const auto* shape = u.spec.shape == Shape::array  ? "arrays"
                                : u.spec.shape == Shape::gang ? "gangs"
                                                              : "services";
            ++shapes[u.spec.dependencies.empty() && u.spec.job_class != "gather" ? shape : "pipeline"][u.last];
        }
        for (const auto& [shape, states] : shapes) {
            std::cout << fmt::format("{:9}", shape);
            for (const auto& [s, n] : states)
                std::cout << fmt::format("  {} {}", n, s);
            std::cout << "\n";
        }
        const auto s = platform_->totals();
        std::cout << fmt::format("machines   {} rented, {} returned\ntasks      {} started\nrequests   {} to the state "
                                 "service\nlogs       {}\n",
                                 s.rented, s.returned, history_.starts(), store_->requests(), folder_);
        const auto left = history_.unfinished();
        for (const auto& id : left)
            std::cout << "unfinished " << id << "\n";
        for (const auto& b : history_.violations())
            std::cout << "BROKEN     " << b << "\n";
        std::cout << fmt::format("rules      {}\n",
                                 history_.violations().empty() ? "none broken" : "broken, see above");
        if (options_.faults)
            std::cout << fmt::format("copies     {} of answered messages came late, machines refused {} of orders\n"
                                     "seed       {}\n",
                                     platform_->late_copies().delivered(), platform_->late_copies().refused_orders,
                                     options_.seed);
        return history_.violations().empty() && (left.empty() || options_.stay) && unexpected_exits_ == 0 ? 0 : 1;
    }

    LocalOptions options_;
    std::mt19937 rng_;
    uv_loop_t loop_{};
    double start_time_ = 0, next_fault_ = 4, store_fault_end_ = -1, cloud_fault_end_ = -1, next_progress_at_ = 1;
    std::string folder_;
    History history_;
    std::unique_ptr<HttpClient> http_client_;
    std::unique_ptr<store::StoreServer> store_;
    std::unique_ptr<Platform> platform_;
    std::vector<Controller> controllers_;
    Port unused_peer_port_; // The peer port in the settings for `serve_port`, to which no peer connects.
    std::vector<User> users_;
    std::unique_ptr<LoopTimer> tick_;
    uv_signal_t* interrupt_ = nullptr;
    int unexpected_exits_ = 0;
};

} // namespace

int run_local(const LocalOptions& options) {
    std::signal(SIGPIPE, SIG_IGN);
    LocalPlatform local(options);
    return local.run();
}

} // namespace heronshift::local
