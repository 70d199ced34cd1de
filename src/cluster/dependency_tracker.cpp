#include "cluster/dependency_tracker.hpp"

#include <utility>

namespace heronshift::cluster {
namespace {

constexpr std::size_t max_concurrent_lookups = 8;

} // namespace

void DependencyTracker::add(const std::string& needed, const std::string& dependent) {
    dependents_[needed].insert(dependent);
}

void DependencyTracker::remove(const std::vector<std::string>& needed, const std::string& dependent) {
    for (const auto& id : needed) {
        const auto it = dependents_.find(id);
        if (it == dependents_.end())
            continue;
        it->second.erase(dependent);
        if (it->second.empty())
            dependents_.erase(it);
    }
}

const std::set<std::string>* DependencyTracker::dependents_of(const std::string& needed) const {
    const auto it = dependents_.find(needed);
    return it == dependents_.end() ? nullptr : &it->second;
}

std::set<std::string> DependencyTracker::take_dependents_of(const std::string& needed) {
    auto taken = dependents_.extract(needed);
    return taken.empty() ? std::set<std::string>() : std::move(taken.mapped());
}

void DependencyTracker::schedule_lookup(const std::string& needed, double at) {
    lookups_.emplace(at, needed);
}

std::optional<std::string> DependencyTracker::next_due_lookup(double now) {
    while (lookups_in_flight_ < max_concurrent_lookups && !lookups_.empty() && lookups_.begin()->first <= now) {
        auto id = std::move(lookups_.begin()->second);
        lookups_.erase(lookups_.begin());
        if (dependents_.contains(id))
            return id;
    }
    return {};
}

} // namespace heronshift::cluster
