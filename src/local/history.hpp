/// @file
/// Checks the rules of the protocol while an emulated platform runs. All times are in seconds on the same clock.
#pragma once

#include "heronshift/types.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace heronshift::local {

/// Records what users were answered and which tasks ran on which machines, and reports each rule that this breaks.
class History {
public:
    /// `cancel_s` is the longest time that tasks may stay on machines after their job was reported as cancelled.
    History(std::vector<TeamLimits> teams, double cancel_s) : teams_(std::move(teams)), cancel_s_(cancel_s) {}

    void submitted(const JobSpec& spec) {
        jobs_[spec.id].spec = spec;
    }
    void cancellation_requested(const std::string& id) {
        jobs_[id].cancel_requested = true;
    }
    /// Records an answer to a user's submission, poll or cancellation.
    void user_answered(const std::string& id, int status, const std::string& state, double now);

    struct Place {
        std::string machine, type, zone;
        bool spot = false;
    };
    /// Records that a task has its image and occupies its machine from now on, until `task_ended` is called.
    void task_started(const std::string& job, std::uint32_t index, const Place& at, double now);
    void task_ended(const std::string& job, std::uint32_t index, const std::string& machine);
    void task_done(const std::string& job, std::uint32_t index);
    /// Checks the rules that are broken by the passage of time rather than by an event. To be called several times a
    /// second.
    void check(double now);

    /// The rules that were broken: the name of each rule, and how it was broken.
    [[nodiscard]] const std::vector<std::string>& violations() const {
        return violations_;
    }
    /// The number of tasks that have started on a machine.
    [[nodiscard]] int starts() const {
        return starts_;
    }
    /// The jobs that were accepted and have no final state. To be called at the end of a run.
    [[nodiscard]] std::vector<std::string> unfinished() const;

private:
    struct Job {
        JobSpec spec;
        bool accepted = false, cancel_requested = false; // `cancel_requested`: its user has requested its cancellation.
        std::string final;                               // The final state that was reported: done or withdrawn.
        double cancelled_at = -1;
        std::set<std::uint32_t> done;
        std::multimap<std::uint32_t, Place> places;
    };
    void record_violation(const std::string& rule, const std::string& what);
    [[nodiscard]] bool all_tasks_done(const Job& job) const {
        return job.done.size() >= job.spec.tasks;
    }
    // Whether the job, or a job that it depends on, is to be cancelled.
    [[nodiscard]] bool is_cancellation_expected(const std::string& id) const;
    std::vector<TeamLimits> teams_;
    double cancel_s_;
    std::map<std::string, Job> jobs_;
    std::vector<std::string> violations_;
    std::set<std::string> reported_; // The violations found so far, so that each is listed only once.
    int starts_ = 0;
};

} // namespace heronshift::local
