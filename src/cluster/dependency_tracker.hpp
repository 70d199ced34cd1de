// Which jobs wait for which others, and which of those have to be looked up in the store.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace heronshift::cluster {

/// The jobs that need a job which is not known to be done in the store, by its name: either may be known to the leader
/// before the other. Jobs that are needed and not known to the leader are looked up in the store, a few at a time, so
/// that the budget for reads lasts (docs/safety.md, 14 and 16).
class DependencyTracker {
public:
    void add(const std::string& needed, const std::string& dependent);
    /// The job no longer waits for these.
    void remove(const std::vector<std::string>& needed, const std::string& dependent);
    /// The jobs that need this one, by name; null: none does.
    [[nodiscard]] const std::set<std::string>* dependents_of(const std::string& needed) const;
    /// The same, and forgets them: the job is settled.
    [[nodiscard]] std::set<std::string> take_dependents_of(const std::string& needed);

    /// To be looked up at this time, unless nobody needs it any more by then.
    void schedule_lookup(const std::string& needed, double at);
    /// The next job that is due to be looked up, as long as not too many lookups are under way.
    [[nodiscard]] std::optional<std::string> next_due_lookup(double now);
    void lookup_started() {
        ++lookups_under_way_;
    }
    void lookup_ended() {
        if (lookups_under_way_ > 0)
            --lookups_under_way_;
    }

private:
    std::unordered_map<std::string, std::set<std::string>> dependents_;
    std::multimap<double, std::string> lookups_; // by when they are due
    std::size_t lookups_under_way_ = 0;
};

} // namespace heronshift::cluster
