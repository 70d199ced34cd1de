// Measures the performance of the library and of the daemon in one run, and the cost of stored jobs at a start:
//   heronshift-measure compare [--jobs N] [--rate N --seconds N]
//   heronshift-measure restart [--jobs N ...]
// Everything runs on this machine's loopback, with emulators of the cloud and the workers, so the figures are those of
// a simulation.
#include "heronshift/codec.hpp"
#include "heronshift/embed/scheduler.hpp"
#include "local/cloud.hpp"
#include "local/port.hpp"
#include "store/file_data.hpp"
#include "store/local.hpp"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <spdlog/spdlog.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace heronshift {
namespace {

constexpr std::size_t max_in_flight = 64;
constexpr double wait_timeout_s = 120;

double now() {
    return static_cast<double>(uv_hrtime()) * 1e-9;
}

double resident_mb(const char* pid = "self") {
    std::ifstream in(fmt::format("/proc/{}/statm", pid));
    double all = 0, resident = 0;
    in >> all >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

double cpu_s() {
    rusage u{};
    getrusage(RUSAGE_SELF, &u);
    const auto s = [](const timeval& t) {
        return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
    };
    return s(u.ru_utime) + s(u.ru_stime);
}

JobSpec job(int n) {
    JobSpec s;
    s.id = fmt::format("wk-{:06}", n);
    s.job_class = "batch";
    s.team = "red";
    s.each = {1, 0, 1};
    s.image = "img";
    s.image_gb = 0.01;
    s.estimate_s = 0.1;
    return s;
}

Settings settings() {
    Settings s;
    s.name = "copy";
    s.zones = {"a"};
    s.teams = {{"red", 0, 0, 0, 0}};
    s.report_s = 1;
    s.lease_s = 6;
    s.state_rps = s.state_write_rps = 1e5;
    s.cloud_rps = 50;
    s.list_lag_s = 0.2;
    s.ops.empty_s = 600; // Machines remain rented from one phase of the measurement to the next.
    return s;
}

std::unique_ptr<store::StateStore> open_store(uv_loop_t* loop, const std::string& path, bool fsync) {
    return std::make_unique<store::LocalStore>(
        loop, std::make_unique<store::Engine>(store::file_data(path, {.fsync = fsync}), store::Limits{}));
}

void remove_file(const std::string& path) {
    for (const auto* end : {"", "-wal", "-shm"})
        std::remove((path + end).c_str());
}

double quantile(std::vector<double> v, double q) {
    if (v.empty())
        return 0;
    std::sort(v.begin(), v.end());
    return v[std::min(v.size() - 1, static_cast<std::size_t>(q * static_cast<double>(v.size())))];
}

enum class Route { in_process, thread, daemon };

// Measures one route to the scheduler, with emulators, store and load of its own.
class Trial {
public:
    Trial(Route route, bool fsync, std::string path) : route_(route), path_(std::move(path)), history_({}, 15) {
        remove_file(path_);
        uv_loop_init(&loop_);
        local::PlatformPlan plan;
        plan.types = {{"m8", {8, 0, 32}, 20, 1, 1, 0.3, 0.1, {"a"}}};
        plan.capacity = 40;
        plan.workers.report_s = 1;
        plan.workers.lease_s = 6;
        platform_ = std::make_unique<local::Platform>(&loop_, plan, history_);
        platform_->on_launch = [this](const Order& o, const MachineType&, const std::string&, bool) {
            if (const auto it = submitted_at_.find(o.job); it != submitted_at_.end()) {
                launch_delays_s_.push_back(now() - it->second);
                submitted_at_.erase(it);
            }
        };
        SchedulerOptions o;
        o.settings = settings();
        o.state = [path = path_, fsync](uv_loop_t* l) { return open_store(l, path, fsync); };
        if (route == Route::in_process) {
            o.executor = [this](uv_loop_t*) { return platform_->executor(); };
            scheduler_ = std::make_unique<Scheduler>(&loop_, o);
            return;
        }
        platform_->start({"127.0.0.1", 0});
        o.settings.cloud = {"127.0.0.1", platform_->port()};
        o.settings.listen = {"127.0.0.1", port_.number()};
        o.settings.peer_listen = {"127.0.0.1", 0};
        platform_->heartbeat_to({{"copy", o.settings.listen.str()}});
        address_ = o.settings.listen.str();
        if (route == Route::thread) {
            scheduler_ = std::make_unique<Scheduler>(o);
            return;
        }
        users_ = std::make_unique<HttpClient>(&loop_, max_in_flight, 4096);
        child_ = fork();
        if (child_ != 0)
            return;
        close_range(3, ~0U, 0);
        try {
            const Scheduler s(o);
            for (;;)
                pause();
        } catch (...) {
            _exit(1);
        }
    }
    ~Trial() {
        scheduler_.reset();
        if (child_ > 0) {
            kill(child_, SIGKILL);
            waitpid(child_, nullptr, 0);
        }
        users_.reset();
        platform_.reset();
        uv_run(&loop_, UV_RUN_DEFAULT);
        uv_loop_close(&loop_);
        remove_file(path_);
    }
    Trial(const Trial&) = delete;
    Trial& operator=(const Trial&) = delete;

    void run(int burst, double rate, double seconds) {
        submit(1); // Once this job is accepted, the scheduler is the active leader.
        wait([&] { return accepted_ == 1; });
        const double began = now();
        int next = 2;
        wait([&] {
            while (next <= burst + 1 && static_cast<std::size_t>(next - 1 - accepted_) < max_in_flight)
                submit(next++);
            return accepted_ == burst + 1;
        });
        const double burst_s = now() - began;
        wait([&] { return submitted_at_.empty(); }); // Until all jobs are launched.
        launch_delays_s_.clear();
        const double steady = now();
        const int first = next;
        wait([&] {
            const double t = now() - steady;
            while (next - first < rate * std::min(t, seconds))
                submit(next++);
            return t >= seconds && submitted_at_.empty();
        });
        std::cout << fmt::format("{:22} {:8.0f} {:10.1f} {:10.1f} {:8.1f}\n", name_, burst / burst_s,
                                 quantile(launch_delays_s_, 0.5) * 1000, quantile(launch_delays_s_, 0.99) * 1000,
                                 resident_mb(child_ > 0 ? std::to_string(child_).c_str() : "self"));
        if (retries_ > 0)
            std::cout << fmt::format("  {} submissions were refused and sent again\n", retries_);
    }
    std::string name_;

private:
    void submit(int n) {
        const auto s = job(n);
        platform_->register_job(s);
        history_.submitted(s);
        if (n > 1)
            submitted_at_[s.id] = now();
        attempt(s);
    }
    void attempt(const JobSpec& s) {
        if (route_ == Route::daemon) {
            users_->request(address_, "POST", std::string(codec::path_jobs), codec::to_body(s), 5,
                            [this, s](HttpReply&& r) { answered(s, r.status); });
            return;
        }
        scheduler_->submit(s, [this, s](const Reply& r) {
            const std::lock_guard l(lock_);
            answers_.emplace_back(s, r.status);
        });
    }
    void answered(const JobSpec& s, int status) {
        if (status == 201 || status == 200) {
            ++accepted_;
            return;
        }
        if (accepted_ > 0)
            ++retries_; // Refusals before the first acceptance are not counted, since the scheduler is still starting.
        to_retry_.push_back(s);
    }
    void wait(const std::function<bool()>& over) {
        const double end = now() + wait_timeout_s;
        while (!over()) {
            if (now() > end)
                throw std::runtime_error(name_ + ": time limit exceeded");
            if (uv_run(&loop_, UV_RUN_NOWAIT) == 0 || answers_.empty())
                usleep(200);
            std::vector<std::pair<JobSpec, int>> got;
            {
                const std::lock_guard l(lock_);
                got.swap(answers_);
            }
            for (const auto& [s, status] : got)
                answered(s, status);
            for (const auto& s : std::exchange(to_retry_, {}))
                attempt(s);
            if (users_)
                users_->sweep();
        }
    }

    Route route_;
    std::string path_, address_;
    uv_loop_t loop_{};
    local::History history_;
    local::Port port_;
    std::unique_ptr<local::Platform> platform_;
    std::unique_ptr<Scheduler> scheduler_;
    std::unique_ptr<HttpClient> users_;
    pid_t child_ = -1;
    std::mutex lock_;
    std::vector<std::pair<JobSpec, int>> answers_;
    std::vector<JobSpec> to_retry_;
    std::unordered_map<std::string, double> submitted_at_;
    std::vector<double> launch_delays_s_;
    int accepted_ = 0, retries_ = 0;
};

void compare(const std::string& folder, int jobs, double rate, double seconds) {
    std::cout << fmt::format("{:22} {:>8} {:>10} {:>10} {:>8}\n", "", "jobs/s", "p50 ms", "p99 ms", "MB");
    for (const bool fsync : {true, false})
        for (const auto route : {Route::daemon, Route::thread, Route::in_process}) {
            Trial t(route, fsync, folder + "/measure.state");
            t.name_ = fmt::format("{}{}",
                                  route == Route::daemon   ? "daemon"
                                  : route == Route::thread ? "library, own thread"
                                                           : "library, in process",
                                  fsync ? "" : " *");
            t.run(jobs, rate, seconds);
        }
    std::cout << fmt::format(
        "* without fsync. jobs/s: {} jobs, {} at a time; ms: from submission to launch, at {} jobs/s\n", jobs,
        max_in_flight, rate);
}

// Writes `n` accepted jobs into a store, starts a scheduler on it that has no machines to place them on, and prints
// what the start costs.
void restart(const std::string& folder, int n) {
    const auto path = folder + "/measure.state";
    remove_file(path);
    {
        store::Engine engine(store::file_data(path, {.fsync = false}), store::Limits{0, 0, 1000, 64});
        for (int i = 0; i < n;) {
            std::vector<codec::Write> writes;
            for (; i < n && writes.size() < 100; ++i)
                writes.push_back({"j/" + job(i + 1).id, codec::to_record({job(i + 1), 1.7e9, -1, false, {}}), 0});
            engine.data().begin();
            if (engine.transact({}, writes, 0).status != 200)
                throw std::runtime_error("the store refused to write the jobs");
            engine.data().commit();
        }
    }
    const double before_mb = resident_mb();
    local::History history({}, 15);
    uv_loop_t loop;
    uv_loop_init(&loop);
    local::PlatformPlan plan;
    plan.types = {{"m8", {8, 0, 32}, 20, 1, 1, 0.3, 0.1, {"a"}}};
    plan.capacity = 0;
    auto platform = std::make_unique<local::Platform>(&loop, plan, history);
    SchedulerOptions o;
    o.settings = settings();
    o.state = [&](uv_loop_t* l) { return open_store(l, path, true); };
    o.executor = [&](uv_loop_t*) { return platform->executor(); };
    const double began = now();
    auto s = std::make_unique<Scheduler>(&loop, o);
    int status = 0;
    double longest = 0, at = now();
    const auto turn = [&] {
        uv_run(&loop, UV_RUN_NOWAIT);
        longest = std::max(longest, now() - at);
        usleep(200);
        at = now();
    };
    while (!s->is_active_leader())
        turn();
    const double leader_s = now() - began;
    s->get(job(std::max(1, n)).id, [&](const Reply& r) { status = r.status; });
    while (status == 0)
        turn();
    const double answers_s = now() - began, cpu = cpu_s(), from = now();
    while (now() < from + 5)
        turn();
    std::cout << fmt::format("{:8} {:9.2f} {:9.2f} {:9.1f} {:9.2f} {:9.0f}\n", n, leader_s, answers_s,
                             resident_mb() - before_mb, (cpu_s() - cpu) / (now() - from), longest * 1000);
    if (status != (n == 0 ? 404 : 200))
        throw std::runtime_error(fmt::format("unexpected status {} for the last job", status));
    s.reset();
    uv_run(&loop, UV_RUN_NOWAIT);
    platform.reset();
    uv_run(&loop, UV_RUN_DEFAULT);
    uv_loop_close(&loop);
    remove_file(path);
}

} // namespace
} // namespace heronshift

// NOLINTNEXTLINE(bugprone-exception-escape): an exception that is not handled ends the program and prints its message
int main(int argc, char** argv) {
    CLI::App app{"heronshift-measure: compares the library with the daemon, and measures the cost of stored jobs"};
    app.require_subcommand(1);
    std::string folder = ".";
    app.add_option("--folder", folder, "folder for state files; the speed of its disk affects the figures")
        ->check(CLI::ExistingDirectory)
        ->capture_default_str();
    int jobs = 2000;
    double rate = 40, seconds = 10;
    auto* compare =
        app.add_subcommand("compare", "measure submissions per second, and the time from submission to launch");
    compare->add_option("--jobs", jobs)->check(CLI::Range(10, 100'000))->capture_default_str();
    compare->add_option("--rate", rate, "jobs submitted per second")
        ->check(CLI::Range(1.0, 200.0))
        ->capture_default_str();
    compare->add_option("--seconds", seconds)->check(CLI::Range(1.0, 600.0))->capture_default_str();
    std::vector<int> stored{0, 10'000, 100'000};
    auto* restart = app.add_subcommand(
        "restart", "measure the duration of a start with stored jobs, and the memory that they need");
    restart->add_option("--jobs", stored)->check(CLI::Range(0, 1'000'000))->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    spdlog::set_level(spdlog::level::err);
    std::signal(SIGPIPE, SIG_IGN);
    try {
        if (compare->parsed())
            heronshift::compare(folder, jobs, rate, seconds);
        if (restart->parsed()) {
            std::cout << fmt::format("{:>8} {:>9} {:>9} {:>9} {:>9} {:>9}\n", "jobs", "leader s", "answers s", "MB",
                                     "cores", "turn ms");
            std::cout.flush();
            for (const int n : stored) {
                const pid_t child = fork(); // Each count in a process of its own, so that its memory can be measured.
                if (child == 0) {
                    try {
                        heronshift::restart(folder, n);
                        std::cout.flush();
                        _exit(0);
                    } catch (const std::exception& e) {
                        std::cerr << "heronshift-measure: " << e.what() << "\n";
                        _exit(1);
                    }
                }
                int status = 0;
                waitpid(child, &status, 0);
                if (status != 0)
                    return 1;
            }
        }
    } catch (const std::exception& e) {
        std::cerr << "heronshift-measure: " << e.what() << "\n";
        return 1;
    }
    return 0;
}
