#include "local/history.hpp"

#include "heronshift/codec.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace heronshift::local {

void History::breaks(const std::string& rule, const std::string& what) {
    auto text = rule + ": " + what;
    if (said_.insert(text).second)
        broken_.push_back(std::move(text));
}

bool History::cancelled_with_dependency(const std::string& id) const {
    const auto it = jobs_.find(id);
    if (it == jobs_.end())
        return false;
    return it->second.asked || std::any_of(it->second.spec.dependencies.begin(), it->second.spec.dependencies.end(),
                                           [this](const auto& n) { return cancelled_with_dependency(n); });
}

void History::told(const std::string& id, int status, const std::string& state, double now) {
    const auto it = jobs_.find(id);
    if (it == jobs_.end()) {
        if (status == 200)
            breaks("invented", id);
        return;
    }
    auto& job = it->second;
    if (job.accepted && (status == 404 || status == 400 || status == 422))
        breaks("forgotten", fmt::format("{} was accepted, but later answered with {}", id, status));
    if (status != 200 && status != 201)
        return;
    job.accepted = true;
    if (!job.final.empty() && state != job.final)
        breaks("went_back", fmt::format("{} was {}, and is now {}", id, job.final, state));
    if (state == codec::status_done) {
        if (!over(job))
            breaks("not_done", fmt::format("{} is reported as done, but only {} of {} tasks are", id, job.done.size(),
                                           job.spec.tasks));
        job.final = state;
    } else if (state == codec::status_cancelled) {
        if (!cancelled_with_dependency(id))
            breaks("went_back", id + " is cancelled, but nobody asked for it");
        if (job.cancelled_at < 0)
            job.cancelled_at = now;
        job.final = state;
    }
}

void History::on_machine(const std::string& id, std::uint32_t index, const Place& at, double now) {
    auto& job = jobs_[id];
    const auto& spec = job.spec;
    const auto name = fmt::format("{}/{}", id, index);
    ++starts_;
    if (job.on.contains(index))
        breaks("ran_twice", fmt::format("{} runs on {} and {}", name, job.on.find(index)->second.machine, at.machine));
    if (at.spot && !spec.spot)
        breaks("wrong_place", name + " runs on a spot machine, which its job does not allow");
    if (!spec.zone.empty() && spec.zone != at.zone)
        breaks("wrong_place", name + " runs in zone " + at.zone);
    if (!spec.types.empty() && std::find(spec.types.begin(), spec.types.end(), at.type) == spec.types.end())
        breaks("wrong_place", name + " runs on machine type " + at.type);
    std::size_t here = 1;
    for (const auto& [i, p] : job.on) {
        here += p.zone == at.zone;
        if (spec.one_zone && p.zone != at.zone)
            breaks("wrong_place", name + " runs in another zone than the tasks it must be placed with");
    }
    if (spec.spread && here > (spec.tasks + 1) / 2)
        breaks("wrong_place", name + " runs with too many tasks of its job in zone " + at.zone);
    if (job.cancelled_at >= 0 && now > job.cancelled_at + cancel_s_)
        breaks("ran_cancelled", name);
    for (const auto& n : spec.dependencies)
        if (!over(jobs_[n]))
            breaks("too_early", fmt::format("{} runs before {} is done", name, n));
    job.on.emplace(index, at);
    Resources used;
    for (const auto& [other, o] : jobs_)
        if (o.spec.team == spec.team)
            used += o.spec.each * static_cast<double>(o.on.size());
    for (const auto& limits : teams_)
        if (limits.name == spec.team && ((limits.cpus_max > 0 && used.cpus > limits.cpus_max + 1e-6) ||
                                         (limits.gpus_max > 0 && used.gpus > limits.gpus_max + 1e-6)))
            breaks("quota", fmt::format("team {} is above its limits: {} CPUs with {}", spec.team, used.cpus, name));
}

void History::off_machine(const std::string& id, std::uint32_t index, const std::string& machine) {
    auto& on = jobs_[id].on;
    const auto [from, to] = on.equal_range(index);
    const auto it = std::find_if(from, to, [&](const auto& p) { return p.second.machine == machine; });
    if (it != to)
        on.erase(it);
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
        if (job.cancelled_at >= 0 && !job.on.empty() && now > job.cancelled_at + cancel_s_)
            breaks("ran_cancelled", fmt::format("{}/{} is still on {} after the cancellation", id,
                                                job.on.begin()->first, job.on.begin()->second.machine));
}

std::vector<std::string> History::unfinished() const {
    std::vector<std::string> out;
    for (const auto& [id, job] : jobs_)
        if (job.accepted && job.final.empty())
            out.push_back(id);
    return out;
}

} // namespace heronshift::local
