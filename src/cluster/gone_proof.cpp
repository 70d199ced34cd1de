#include "cluster/gone_proof.hpp"

#include "cluster/cluster_data.hpp"
#include "http_status.hpp"

#include <tuple>

namespace heronshift::cluster {
namespace {

// Steady clocks drift apart by up to 0.05%. The factor allows for twice that; the margin, a fraction of report_s,
// covers the granularity of timers.
constexpr double clock_drift = 1.001;
constexpr double lease_margin_heartbeats = 0.05;

} // namespace

bool has_seen_term(const Heartbeat& heartbeat, std::uint64_t term) {
    return heartbeat.fencing_token >> token_counter_bits == term;
}

bool is_newest(const Heartbeat& heartbeat, const Machine& machine) {
    return std::tie(heartbeat.agent_epoch, heartbeat.counter) > std::tie(machine.agent_epoch, machine.counter);
}

bool ended_by_epoch(const Entry& entry, const Heartbeat& heartbeat) {
    return entry.agent_epoch < heartbeat.agent_epoch;
}

bool proves_gone(const Entry& unlisted, const Heartbeat& newest) {
    return unlisted.phase >= Phase::sent && (unlisted.seen || newest.fencing_token > unlisted.fencing_token);
}

bool never_sent(const Entry& entry) {
    return entry.phase == Phase::stored;
}

bool launch_open(const Entry& entry) {
    return entry.phase == Phase::sent && !entry.seen;
}

bool proves_not_executed(const OrdersAnswered& answer) {
    // 409 is the agent's reply to orders with an outdated fencing token or agent epoch.
    return answer.status == http_status::conflict || !answer.sent;
}

bool rules_out_earlier_launches(const Machine& machine) {
    return machine.fencing_token > machine.launch_token;
}

double lease_surely_expires_after_s(const Settings& settings) {
    return settings.lease_s * clock_drift + settings.report_s * lease_margin_heartbeats;
}

bool lease_surely_expired(const Machine& machine, double now, const Settings& settings) {
    return now > machine.lease_started_at + lease_surely_expires_after_s(settings);
}

} // namespace heronshift::cluster
