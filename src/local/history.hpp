// What happened on an emulator platform, held against the rules of the protocol as it happens. Knows
// the users' side (what was told) and the machines' side (what ran where); times in seconds of one clock.
#pragma once

#include "heronshift/types.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace heronshift::local {

class History {
public:
    History(std::vector<TeamLimits> teams, double cancel_s) : teams_(std::move(teams)), cancel_s_(cancel_s) {}

    void submitted(const JobSpec& spec) {
        jobs_[spec.id].spec = spec;
    }
    void cancel_asked(const std::string& id) {
        jobs_[id].asked = true;
    }
    // Any answer to a user: a submission, a poll or a cancellation.
    void told(const std::string& id, int status, const std::string& state, double now);

    struct Place {
        std::string machine, type, zone;
        bool spot = false;
    };
    // A task is on its machine from the moment it has its image until it is off it.
    void on_machine(const std::string& job, std::uint32_t index, const Place& at, double now);
    void off_machine(const std::string& job, std::uint32_t index, const std::string& machine);
    void task_done(const std::string& job, std::uint32_t index);
    void check(double now); // what no event shows; call a few times a second

    [[nodiscard]] const std::vector<std::string>& broken() const {
        return broken_;
    }
    [[nodiscard]] int starts() const {
        return starts_;
    }
    // Once all is over: jobs that were accepted and came to nothing.
    [[nodiscard]] std::vector<std::string> unfinished() const;

private:
    struct Job {
        JobSpec spec;
        bool accepted = false, asked = false; // asked: to be cancelled
        std::string final;                    // told: done or withdrawn
        double cancelled_at = -1;
        std::set<std::uint32_t> done;
        std::multimap<std::uint32_t, Place> on;
    };
    void breaks(const std::string& rule, const std::string& what);
    [[nodiscard]] bool over(const Job& job) const {
        return job.done.size() >= job.spec.tasks;
    }
    [[nodiscard]] bool cancelled_with_dependency(const std::string& id) const; // a cancellation reaches it
    std::vector<TeamLimits> teams_;
    double cancel_s_;
    std::map<std::string, Job> jobs_;
    std::vector<std::string> broken_;
    std::set<std::string> said_;
    int starts_ = 0;
};

} // namespace heronshift::local
