/// @file
/// Infers whether this controller reaches the workers of one zone. Two links are tracked: inbound, by the heartbeats
/// that should arrive while this node is the active leader, and outbound, by the answers of a few machines to probes.
#pragma once

#include "membership/link_health.hpp"
#include "membership/machine_samples.hpp"

#include <optional>
#include <string>
#include <vector>

namespace heronshift::membership {

/// The health of the links to one zone. No clock and no I/O: the caller passes all times, in seconds on the node's
/// monotonic clock. To be used on the loop's thread only.
class ZoneHealth {
public:
    /// What a call of `check_silence` has changed.
    enum class SilenceCheck {
        unchanged,
        inbound_reset, ///< the state inferred from earlier silence was discarded
        lost,          ///< no machine's heartbeat arrives: the zone now counts as unreachable
    };

    /// The state of both links is unknown at first. Keeps a reference to the settings.
    explicit ZoneHealth(const Settings& settings);

    /// Records a heartbeat that a machine sent to this node directly. Returns true if it made the lost inbound link
    /// reachable again.
    bool record_heartbeat(const std::string& address, double now);
    /// Records a heartbeat that another controller relayed. It says nothing about this node's links, but it shows that
    /// the machine exists and can be probed. Without these machines, only long-released ones might be left to probe.
    void record_relayed_heartbeat(const std::string& address, double now);
    /// Stops probing this machine: its missing answers say nothing about the link to the zone.
    void stop_probing(const std::string& address) {
        samples_.remove(address);
    }
    /// Marks the inbound link as lost if the zone's machines have sent no heartbeat for too long. To be called
    /// regularly while this node is the active leader, with the number of machines that should send heartbeats to it,
    /// and with the time at which it became the leader. Machines whose heartbeats are relayed have been redirected
    /// because the inbound link was lost, so their silence on the direct path does not show that it is still lost. A
    /// lost inbound link therefore returns to unknown when a lost outbound link recovers (`finish_probe`), and after
    /// one lease in any case.
    SilenceCheck check_silence(std::size_t machines, double active_since, double now);

    /// Starts a round of probes and returns the addresses to probe; empty if a round is in progress or no machine is
    /// known.
    [[nodiscard]] std::vector<std::string> start_probe_round(double now);
    /// Records the result of one probe of the round: whether the machine answered, or empty if this executor cannot
    /// probe. A round in which no machine answered counts as one failure, unless the executor cannot probe. Returns
    /// true if the outbound link was lost or recovered by this result.
    bool finish_probe(std::optional<bool> answered, double now);

    /// Adopts the machines that a peer has listed in its view. Addresses from the active leader are current and replace
    /// the sample. Addresses from another peer may be outdated: they are used only if the sample is empty, and count as
    /// one lease old, so that this node doesn't share them in turn; otherwise controllers would pass them around
    /// forever.
    void adopt_machines(const std::vector<std::string>& addresses, bool from_active_leader, double now);
    /// The machines to list in this node's view: those whose last heartbeat is less than a lease old.
    [[nodiscard]] std::vector<std::string> machines_to_share(double now) const {
        return samples_.addresses_within_lease(now);
    }

    /// Whether the zone's workers can be reached. The inbound link counts only while this node is the active leader,
    /// since workers send their heartbeats only to the active leader.
    [[nodiscard]] Reachability reach(bool is_active_leader) const;

private:
    void reset_inbound(double now);
    void update_silence_start(double now);

    const Settings& settings_;
    LinkHealth inbound_, outbound_;
    // When silence began to count: the time of the last heartbeat, direct or relayed, or of the last reset of the
    // inbound link.
    std::optional<double> silence_start_;
    MachineSamples samples_;
    std::size_t probes_sent_ = 0, probes_finished_ = 0; // of the latest round
    bool round_answered_ = false;
};

} // namespace heronshift::membership
