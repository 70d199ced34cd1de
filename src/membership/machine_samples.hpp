/// @file
/// A few machines of one zone that are probed to find out whether the zone can be reached. The sample doesn't grow with
/// the fleet, since a single answer shows that the zone can be reached.
#pragma once

#include "heronshift/config.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace heronshift::membership {

/// The largest number of sampled machines of a zone.
inline constexpr std::size_t max_samples = 4;
/// After how many heartbeat intervals (report_s) without a heartbeat a machine counts as silent.
inline constexpr double silence_heartbeats = 1.5;

/// The addresses of the sampled machines, each with the time of its last heartbeat (seconds, monotonic clock). To be
/// used on the loop's thread only.
class MachineSamples {
public:
    /// The sample is empty at first. Keeps a reference to the settings.
    explicit MachineSamples(const Settings& settings) : settings_(settings) {}

    /// Records a heartbeat of the machine at this address. Sampled machines stay in the sample for as long as they send
    /// heartbeats, so that the connections to them stay open; when the sample is full, a new machine replaces a silent
    /// one, if there is any.
    void record_heartbeat(const std::string& address, double now);
    /// Replaces this sample by that of another controller, with `heartbeat_at` as the time of each machine's heartbeat.
    void replace(const std::vector<std::string>& addresses, double heartbeat_at);
    /// Removes the machine at this address from the sample.
    void remove(const std::string& address);
    void clear() {
        samples_.clear();
    }
    /// Removes the machines whose last heartbeat is too old, and the silent machines if others of the sample still send
    /// heartbeats: a released machine answers no probe, and that must not make the zone look unreachable.
    void drop_stale(double now);
    /// The addresses of the next machines to probe, in rotation: `max_count` of them, or all if the sample is smaller.
    [[nodiscard]] std::vector<std::string> next_in_rotation(std::size_t max_count);
    /// The addresses of the machines whose last heartbeat is less than a machine's lease (lease_s) old.
    [[nodiscard]] std::vector<std::string> addresses_within_lease(double now) const;
    [[nodiscard]] bool empty() const {
        return samples_.empty();
    }

private:
    struct Sample {
        std::string address;
        double heartbeat_at = 0;
    };
    [[nodiscard]] bool is_silent(const Sample& sample, double now) const;

    const Settings& settings_;
    std::vector<Sample> samples_;
    std::size_t next_ = 0;
};

} // namespace heronshift::membership
