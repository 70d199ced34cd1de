// A fleet under steady load, for scenarios that last many seconds.
#pragma once

#include "users.hpp"

#include <cstdlib>
#include <spdlog/spdlog.h>

namespace heronshift::testing {

#ifdef __SANITIZE_ADDRESS__
inline constexpr bool sanitized = true; // AddressSanitizer runs are ten times slower, so tests run fewer cases
#else
inline constexpr bool sanitized = false;
#endif

inline std::string first(const SimulatedCluster& w) {
    return w.violations.empty() ? "" : fmt::format("{} at {:.1f}", w.violations.front(), w.now);
}

// An offset for all seeds, for manual runs over more of them: HERONSHIFT_SEED=1000 tests/heronshift_tests ...
inline unsigned seed_offset() {
    const char* by = std::getenv("HERONSHIFT_SEED");
    return by == nullptr ? 0 : static_cast<unsigned>(std::strtoul(by, nullptr, 10));
}

// The length of one soak run in simulated seconds. For longer runs by hand: HERONSHIFT_SOAK_S=3600.
inline double soak_s() {
    const char* seconds = std::getenv("HERONSHIFT_SOAK_S");
    return seconds != nullptr ? std::strtod(seconds, nullptr) : 300;
}

// A fleet with the timing settings of a large one, and a steady load: services that must stay up, and short jobs that
// are submitted continuously.
struct FleetUnderLoad : FleetWithUsers {
    FleetUnderLoad(unsigned seed, std::size_t count, int max_machines) : FleetWithUsers(seed, count) {
        spdlog::set_level(spdlog::level::from_str(level == nullptr ? "off" : level));
        settings.report_s = 4;
        settings.lease_s = 22;
        settings.cancel_s = 47;
        recovery_bound_s = 2 * settings.lease_s;
        capacity = max_machines;
        for (int k = 0; k < max_machines / 8; ++k) {
            ++n;
            auto j = job(n, Shape::service, 4, 4, "blue");
            j.spread = true;
            submit_as_user(j);
        }
    }
    ~FleetUnderLoad() override {
        spdlog::set_level(spdlog::level::info);
    }
    const char* level = std::getenv("LOG_LEVEL"); // shows the controllers' log lines, with simulated time
    int n = 0;
    double next_job = 0, job_interval_s = 1;
    std::function<void()> before_step;
    void run_under_load(double seconds) {
        for (const double end = now + seconds; now < end && violations.empty(); step(0.1)) {
            if (level != nullptr)
                spdlog::set_pattern(fmt::format("{:.1f} %v", now));
            if (before_step)
                before_step();
            if (now < next_job)
                continue;
            next_job = now + job_interval_s;
            ++n;
            submit_as_user(job(n, Shape::array, 3, 2, n % 2 == 0 ? "red" : "blue"));
        }
    }
    double leases(double k) const {
        return k * settings.lease_s;
    }
    // Counts the jobs, except services, that were submitted more than `older_s` ago and are not final.
    int unfinished(double older_s) {
        int out = 0;
        for (const auto& [id, u] : users_by_job)
            out += jobs[id].shape != Shape::service && now - u.observed.asked_at > older_s && u.observed.done_at < 0;
        return out;
    }
    // Describes a needless takeover: two changes of the leader, after the first election, within one lease.
    std::string needless_takeover() const {
        for (std::size_t k = 2; k < leader_changes.size(); ++k)
            if (leader_changes[k] - leader_changes[k - 1] < settings.lease_s)
                return fmt::format("the leader changed twice in {:.1f} s", leader_changes[k] - leader_changes[k - 1]);
        return {};
    }
    const std::string& name(std::size_t after_leader) const {
        return nodes[(first_leader + after_leader) % nodes.size()].name;
    }
    std::size_t first_leader = 0;
    bool settle(double seconds = 25) {
        run_under_load(seconds);
        const auto h = leader();
        first_leader = h.value_or(0);
        return h && leader_changes.size() == 1 && violations.empty();
    }
};

} // namespace heronshift::testing
