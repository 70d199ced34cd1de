#include "cluster/machine.hpp"

#include "cluster/job.hpp"

namespace heronshift::cluster {

Entry* Machine::find_entry(const ReportedTask& task) {
    for (auto& entry : entries)
        if (entry->index == task.index && entry->attempt == task.attempt && entry->job->spec.id == task.job)
            return entry.get();
    return nullptr;
}

double Machine::cpus_left_beside(const Resources& in_use) const {
    const double cpus = total.cpus - in_use.cpus;
    if (total.heartbeat_bytes <= 0)
        return cpus;
    return std::min(cpus, total.cpus * (1 - in_use.heartbeat_bytes / total.heartbeat_bytes));
}

void Machine::occupy(const JobSpec& spec) {
    used += spec.each;
    if (spec.shape != Shape::array)
        non_preemptible += spec.each;
    empty_since = -1;
}

void Machine::vacate(const JobSpec& spec, double now) {
    used -= spec.each;
    if (spec.shape != Shape::array)
        non_preemptible -= spec.each;
    if (!entries.empty())
        return;
    used = non_preemptible = {}; // floating-point sums may leave a remainder
    used.heartbeat_bytes = untracked_bytes;
    empty_since = now;
}

void Machine::set_untracked_bytes(double bytes) {
    used.heartbeat_bytes += bytes - untracked_bytes;
    untracked_bytes = bytes;
}

void Machine::use_image(int image, bool ready, double now, std::optional<double> cache_gb,
                        const std::vector<double>& image_gb) {
    auto it = std::find_if(images.begin(), images.end(), [&](const auto& cached) { return cached.image == image; });
    if (it == images.end())
        it = images.insert(it, CachedImage{image, false, now});
    it->used = now;
    if (!ready || it->ready)
        return;
    it->ready = true;
    if (!cache_gb)
        return;
    std::sort(images.begin(), images.end(), [](const auto& a, const auto& b) { return a.used > b.used; });
    double left = *cache_gb;
    for (std::size_t i = 0; i < images.size(); ++i) {
        left -= image_gb[static_cast<std::size_t>(images[i].image)];
        if (left >= 0 || i == 0)
            continue;
        images.resize(i);
        return;
    }
}

} // namespace heronshift::cluster
