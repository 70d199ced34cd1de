#include "membership/zone_health.hpp"

#include <algorithm>

namespace heronshift::membership {
namespace {

// In a zone of fewer than small_zone_machines machines, all of them may well miss a heartbeat at the same time
// although the zone is reachable, so they may be silent for longer.
constexpr std::size_t small_zone_machines = 4;
constexpr double small_zone_silence_heartbeats = 2.5;
constexpr std::size_t probes_per_round = 2;

// A single failure suffices and no time has to pass: the failure is recorded only after the zone's machines have been
// silent for more than a heartbeat interval.
FailureThresholds inbound_thresholds(const Settings& settings) {
    return {.min_outage_s = 0, .min_failures = 1, .min_recovery_s = settings.report_s / 2};
}

FailureThresholds outbound_thresholds(const Settings& settings) {
    return {.min_outage_s = settings.report_s, .min_failures = 2, .min_recovery_s = settings.report_s};
}

} // namespace

ZoneHealth::ZoneHealth(const Settings& settings)
    : settings_(settings), inbound_(inbound_thresholds(settings)), outbound_(outbound_thresholds(settings)),
      samples_(settings) {}

void ZoneHealth::update_silence_start(double now) {
    silence_start_ = std::max(silence_start_.value_or(now), now);
}

void ZoneHealth::reset_inbound(double now) {
    inbound_ = LinkHealth(inbound_thresholds(settings_));
    update_silence_start(now);
}

bool ZoneHealth::record_heartbeat(const std::string& address, double now) {
    update_silence_start(now);
    samples_.record_heartbeat(address, now);
    return inbound_.record_success(now);
}

void ZoneHealth::record_relayed_heartbeat(const std::string& address, double now) {
    update_silence_start(now);
    samples_.record_heartbeat(address, now);
}

ZoneHealth::SilenceCheck ZoneHealth::check_silence(std::size_t machines, double active_since, double now) {
    if (machines == 0) {
        samples_.clear(); // the zone's machines were released, so their silence says nothing about the link
        return SilenceCheck::unchanged;
    }
    auto result = SilenceCheck::unchanged;
    if (inbound_.lost() && now - inbound_.failed_at().value_or(now) > settings_.lease_s) {
        reset_inbound(now);
        result = SilenceCheck::inbound_reset;
    }
    const double silence_limit_heartbeats =
        machines < small_zone_machines ? small_zone_silence_heartbeats : silence_heartbeats;
    const double since = std::max(silence_start_.value_or(active_since), active_since);
    if (now - since < silence_limit_heartbeats * settings_.report_s)
        return result;
    return inbound_.record_failure(now) ? SilenceCheck::lost : result;
}

std::vector<std::string> ZoneHealth::start_probe_round(double now) {
    samples_.drop_stale(now);
    if (probes_sent_ > probes_finished_ || samples_.empty())
        return {};
    auto addresses = samples_.next_in_rotation(probes_per_round);
    probes_sent_ = addresses.size();
    probes_finished_ = 0;
    round_answered_ = false;
    return addresses;
}

bool ZoneHealth::finish_probe(std::optional<bool> answered, double now) {
    ++probes_finished_;
    if (answered.value_or(false)) {
        round_answered_ = true;
        const bool recovered = outbound_.record_success(now);
        if (recovered)
            reset_inbound(now);
        return recovered;
    }
    const bool round_failed = probes_finished_ == probes_sent_ && !round_answered_ && answered.has_value();
    return round_failed && outbound_.record_failure(now);
}

void ZoneHealth::adopt_machines(const std::vector<std::string>& addresses, bool from_active_leader, double now) {
    if (addresses.empty() || !(from_active_leader || samples_.empty()))
        return;
    samples_.replace(addresses, from_active_leader ? now : now - settings_.lease_s);
}

Reachability ZoneHealth::reach(bool is_active_leader) const {
    if (outbound_.lost() || (is_active_leader && inbound_.lost()))
        return Reachability::unreachable;
    const bool reached = outbound_.reach() == Reachability::reachable ||
                         (is_active_leader && inbound_.reach() == Reachability::reachable);
    return reached ? Reachability::reachable : Reachability::unknown;
}

} // namespace heronshift::membership
