#include "local/history.hpp"

#include "heronshift/codec.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace heronshift::local {

void History::record_violation(const std::string& rule, const std::string& what) {
    auto text = rule + ": " + what;
    if (reported_.insert(text).second)
        violations_.push_back(std::move(text));
}

bool History::is_cancellation_expected(const std::string& id) const {
    const auto it = jobs_.find(id);
    if (it == jobs_.end())
        return false;
    return it->second.cancel_requested ||
           std::any_of(it->second.spec.dependencies.begin(), it->second.spec.dependencies.end(),
                       [this](const auto& n) { return is_cancellation_expected(n); });
}

void History::user_answered(const std::string& id, int status, const std::string& state, double now) {
    const auto it = jobs_.find(id);
    if (it == jobs_.end()) {
        if (status == 200)
            record_violation("invented", id);
        return;
    }
    auto& job = it->second;
    if (job.accepted && (status == 404 || status == 400 || status == 422))
        record_violation("forgotten", fmt::format("{} was accepted, but later answered with {}", id, status));
    if (status != 200 && status != 201)
        return;
    job.accepted = true;
    if (!job.final.empty() && state != job.final)
        record_violation("went_back", fmt::format("{} was {}, and is now {}", id, job.final, state));
    if (state == codec::status_done) {
        if (!all_tasks_done(job))
            record_violation("not_done", fmt::format("{} is reported as done, but only {} of {} tasks are", id,
                                                     job.done.size(), job.spec.tasks));
        job.final = state;
    } else if (state == codec::status_cancelled) {
        if (!is_cancellation_expected(id))
            record_violation("went_back", id + " is cancelled, but nobody asked for it");
        if (job.cancelled_at < 0)
            job.cancelled_at = now;
        job.final = state;
    }
}

void History::task_started(const std::string& id, std::uint32_t index, const Place& at, double now) {
    auto& job = jobs_[id];
    const auto& spec = job.spec;
    const auto name = fmt::format("{}/{}", id, index);
    ++starts_;
    if (job.places.contains(index))
        record_violation("ran_twice",
                         fmt::format("{} runs on {} and {}", name, job.places.find(index)->second.machine, at.machine));
    if (at.spot && !spec.spot)
        record_violation("wrong_place", name + " runs on a spot machine, which its job does not allow");
    if (!spec.zone.empty() && spec.zone != at.zone)
        record_violation("wrong_place", name + " runs in zone " + at.zone);
    if (!spec.types.empty() && std::find(spec.types.begin(), spec.types.end(), at.type) == spec.types.end())
        record_violation("wrong_place", name + " runs on machine type " + at.type);
    std::size_t tasks_in_zone = 1;
    for (const auto& [i, p] : job.places) {
        tasks_in_zone += p.zone == at.zone;
        if (spec.one_zone && p.zone != at.zone)
            record_violation("wrong_place", name + " runs in another zone than the tasks it must be placed with");
    }
    if (spec.spread && tasks_in_zone > (spec.tasks + 1) / 2)
        record_violation("wrong_place", name + " runs with too many tasks of its job in zone " + at.zone);
    if (job.cancelled_at >= 0 && now > job.cancelled_at + cancel_s_)
        record_violation("ran_cancelled", name);
    for (const auto& n : spec.dependencies)
        if (!all_tasks_done(jobs_[n]))
            record_violation("too_early", fmt::format("{} runs before {} is done", name, n));
    job.places.emplace(index, at);
    Resources used;
    for (const auto& [other, o] : jobs_)
        if (o.spec.team == spec.team)
            used += o.spec.each * static_cast<double>(o.places.size());
    for (const auto& limits : teams_)
        if (limits.name == spec.team && ((limits.cpus_max > 0 && used.cpus > limits.cpus_max + 1e-6) ||
                                         (limits.gpus_max > 0 && used.gpus > limits.gpus_max + 1e-6)))
            record_violation("quota",
                             fmt::format("team {} is above its limits: {} CPUs with {}", spec.team, used.cpus, name));
}

void History::task_ended(const std::string& id, std::uint32_t index, const std::string& machine) {
    auto& places = jobs_[id].places;
    const auto [from, to] = places.equal_range(index);
    const auto it = std::find_if(from, to, [&](const auto& p) { return p.second.machine == machine; });
    if (it != to)
        places.erase(it);
}

void History::task_done(const std::string& id, std::uint32_t index) {
    auto& job = jobs_[id];
    if (job.spec.shape != Shape::gang) {
        job.done.insert(index);
        return;
    }
    for (std::uint32_t i = 0; i < job.spec.tasks; ++i)
        job.done.insert(i); // The tasks of a gang complete together.
}

void History::check(double now) {
    for (const auto& [id, job] : jobs_)
        if (job.cancelled_at >= 0 && !job.places.empty() && now > job.cancelled_at + cancel_s_)
            record_violation("ran_cancelled",
                             fmt::format("{}/{} is still on {} after the cancellation", id, job.places.begin()->first,
                                         job.places.begin()->second.machine));
}

std::vector<std::string> History::unfinished() const {
    std::vector<std::string> out;
    for (const auto& [id, job] : jobs_)
        if (job.accepted && job.final.empty())
            out.push_back(id);
    return out;
}

} // namespace heronshift::local
