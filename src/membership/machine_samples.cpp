#include "membership/machine_samples.hpp"

#include <algorithm>

namespace heronshift::membership {
namespace {

// After how many leases without a heartbeat an address is no longer probed.
constexpr double max_sample_age_leases = 2;

} // namespace

bool MachineSamples::is_silent(const Sample& sample, double now) const {
    return now - sample.heartbeat_at > silence_heartbeats * settings_.report_s;
}

void MachineSamples::record_heartbeat(const std::string& address, double now) {
    const auto known =
        std::find_if(samples_.begin(), samples_.end(), [&](const Sample& sample) { return sample.address == address; });
    if (known != samples_.end()) {
        known->heartbeat_at = now;
        return;
    }
    if (samples_.size() < max_samples) {
        samples_.push_back({address, now});
        return;
    }
    const auto silent =
        std::find_if(samples_.begin(), samples_.end(), [&](const Sample& sample) { return is_silent(sample, now); });
    if (silent != samples_.end())
        *silent = {address, now};
}

void MachineSamples::replace(const std::vector<std::string>& addresses, double heartbeat_at) {
    samples_.clear();
    for (const auto& address : addresses)
        samples_.push_back({address, heartbeat_at});
}

void MachineSamples::remove(const std::string& address) {
    std::erase_if(samples_, [&](const Sample& sample) { return sample.address == address; });
}

void MachineSamples::drop_stale(double now) {
    std::erase_if(samples_, [&](const Sample& sample) {
        return now - sample.heartbeat_at > max_sample_age_leases * settings_.lease_s;
    });
    const auto silent = [&](const Sample& sample) { return is_silent(sample, now); };
    if (!std::all_of(samples_.begin(), samples_.end(), silent))
        std::erase_if(samples_, silent);
}

std::vector<std::string> MachineSamples::next_in_rotation(std::size_t max_count) {
    std::vector<std::string> out;
    const auto count = std::min(max_count, samples_.size());
    for (std::size_t i = 0; i < count; ++i)
        out.push_back(samples_[next_++ % samples_.size()].address);
    return out;
}

std::vector<std::string> MachineSamples::addresses_within_lease(double now) const {
    std::vector<std::string> out;
    for (const auto& sample : samples_)
        if (now - sample.heartbeat_at < settings_.lease_s)
            out.push_back(sample.address);
    return out;
}

} // namespace heronshift::membership
