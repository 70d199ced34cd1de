// Tracks which jobs wait for which other jobs, and which of the awaited jobs have to be looked up in the store.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace heronshift::cluster {

/// For each needed job that the store is not known to hold as done, the ids of its dependents. The needed job and its
/// dependents may become known to the leader in either order. Needed jobs that the leader does not know are looked up
/// in the store, a few at a time, to stay within the budget for reads (docs/safety.md, 14 and 16).
class DependencyTracker {
public:
    void add(const std::string& needed, const std::string& dependent);
    /// Removes `dependent` from the dependents of each of these jobs.
    void remove(const std::vector<std::string>& needed, const std::string& dependent);
    /// The ids of the jobs that need this one; null: none does.
    [[nodiscard]] const std::set<std::string>* dependents_of(const std::string& needed) const;
    /// Returns the ids of the jobs that need this one and removes them, because its final state is known.
    [[nodiscard]] std::set<std::string> take_dependents_of(const std::string& needed);

    /// Schedules a lookup of this job at this time. The lookup is skipped if no job needs it by then.
    void schedule_lookup(const std::string& needed, double at);
    /// Takes the next job whose lookup is due; none if the maximum number of lookups is already in flight.
    [[nodiscard]] std::optional<std::string> next_due_lookup(double now);
    void lookup_started() {
        ++lookups_in_flight_;
    }
    void lookup_ended() {
        if (lookups_in_flight_ > 0)
            --lookups_in_flight_;
    }

private:
    std::unordered_map<std::string, std::set<std::string>> dependents_;
    std::multimap<double, std::string> lookups_; // due time and job id
    std::size_t lookups_in_flight_ = 0;
};

} // namespace heronshift::cluster
