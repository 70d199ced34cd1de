// Checks at the end of a test run, whatever faults it had, based on what users saw: every accepted job that was not
// cancelled is known and runs, and at least half of the jobs of every class, of every team and of the largest of every
// class were served.
#pragma once

#include "heronshift/types.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace heronshift::testing {

// One job as its user saw it. Times are in seconds; below zero: it has not happened.
struct ObservedJob {
    std::string id, job_class, team;
    Shape shape = Shape::array;
    double size = 0; // of all its tasks together
    double asked_at = 0, accepted_at = -1;
    double started_at = -1; // when the first task ran (array), all tasks (gang), or the first replica (service)
    double done_at = -1;
    double silent_s = 0; // the longest time without an answer of status 200, after all faults had ended
    bool cancelled = false;
    bool running = false;        // at the end of the run
    bool can_start = true;       // its team's limit and the machine types allow it
    double excused_s = 0;        // how long a fault made any start impossible, as the scenario says
    bool resubmission_ok = true; // a repeated submission was answered with status 200
};

struct FinalChecks {
    double now = 0, begin_s = 240, max_silence_s = 75;

    [[nodiscard]] static bool served(const ObservedJob& j) {
        return j.started_at >= 0 && (j.shape == Shape::service || j.done_at >= 0);
    }
    [[nodiscard]] bool starts_late(const ObservedJob& j) const {
        return (j.started_at < 0 ? now : j.started_at) - j.asked_at - j.excused_s > begin_s;
    }
    // All failed checks, one text each.
    [[nodiscard]] std::vector<std::string> failed_checks(const std::vector<ObservedJob>& all) const {
        std::vector<std::string> out;
        std::map<std::string, std::vector<const ObservedJob*>> groups, classes;
        for (const auto& j : all) {
            if (j.accepted_at < 0 || j.cancelled)
                continue;
            if (j.silent_s > max_silence_s)
                out.push_back(fmt::format("forgotten: {} had no answer for {:.0f} s", j.id, j.silent_s));
            if (!j.resubmission_ok)
                out.push_back(fmt::format("forgotten: {}, submitted again", j.id));
            if (!j.can_start)
                continue;
            if (j.done_at < 0 && !j.running && starts_late(j))
                out.push_back(
                    fmt::format("{} of {} {} does not run, {:.0f} s old", j.id, j.job_class, j.team, now - j.asked_at));
            groups["class " + j.job_class].push_back(&j);
            groups["team " + j.team].push_back(&j);
            classes[j.job_class].push_back(&j);
        }
        for (auto& [name, list] : classes) {
            std::stable_sort(list.begin(), list.end(),
                             [](const ObservedJob* a, const ObservedJob* b) { return a->size > b->size; });
            const auto n = std::max<std::size_t>(1, list.size() / 10);
            const std::vector<const ObservedJob*> largest(list.begin(), list.begin() + static_cast<long>(n));
            for (const auto* j : largest)
                if (starts_late(*j))
                    out.push_back(fmt::format("{}, one of the largest of class {}, begins after {:.0f} s", j->id, name,
                                              (j->started_at < 0 ? now : j->started_at) - j->asked_at));
            groups["the largest of class " + name] = largest;
        }
        for (const auto& [name, list] : groups) {
            const auto n = std::count_if(list.begin(), list.end(), [](const ObservedJob* j) { return served(*j); });
            if (2 * static_cast<std::size_t>(n) < list.size())
                out.push_back(fmt::format("{}: {} of {} served", name, n, list.size()));
        }
        return out;
    }
};

} // namespace heronshift::testing
