// Whether answers to heartbeats reach a machine, judged by the fencing tokens and leases that its heartbeats show.
#include "cluster/cluster_state.hpp"

#include "protocol_times.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace heronshift::cluster {
namespace {

// A machine counts as unreachable after this many missed answers. A single one may be lost in normal operation.
constexpr int max_missed_answers = 2;

// Heartbeats that arrive at shorter intervals than this were delayed in transit: a machine sends its next heartbeat
// only after it has received the answer to the last one or waited for it until the timeout.
double min_heartbeat_gap_s(const Settings& settings) {
    return std::min(settings.report_s, heartbeat_answer_timeout_s) / 2;
}

void doubt_inbound_reachability(Machine& machine, const Heartbeat& heartbeat) {
    machine.inbound_in_doubt = true;
    machine.token_at_doubt = std::max(machine.token_at_doubt, heartbeat.fencing_token);
}

// If the machine shows this token or a lower one, that does not prove that an answer reached it since the doubt arose.
std::uint64_t highest_ambiguous_token(const Machine& machine) {
    return std::max(machine.ordered_token, machine.token_at_doubt);
}

} // namespace

// A machine keeps sending its heartbeats to the controller that answers them. If it has changed the controller, or if
// some of its heartbeats did not arrive here, it may have missed an answer.
void ClusterState::note_route(Machine& machine, const HeartbeatReceived& command) {
    const bool first = machine.last_answered_at < 0;
    const bool route_changed = command.relayed != machine.last_relayed;
    const bool messages_missing = command.heartbeat.counter > machine.counter + 1;
    if (!first && (route_changed || messages_missing))
        doubt_inbound_reachability(machine, command.heartbeat);
    machine.last_relayed = command.relayed;
}

// A heartbeat or a reply to orders shows that the machine's lease expired and a new agent epoch began.
void ClusterState::lease_restarted(Machine& machine) {
    ++machine.fencing_token; // once the machine shows this token, answers are proven to reach it
    // Heartbeats that were delayed and arrive in a burst are no sign of a missed answer.
    const double answered_s = data_.now - machine.last_answered_at;
    machine.expired_though_answered = machine.last_answered_at >= 0 &&
                                      answered_s > min_heartbeat_gap_s(data_.settings) &&
                                      answered_s < data_.settings.lease_s / 2;
}

// Whether the machine certainly missed an answer: the heartbeat was sent after the answer with the acknowledged token
// should have arrived and still shows a lower token, or a lease expired that the answer should have renewed. An equal
// token proves nothing, since the machine may have received it with an order.
bool ClusterState::answer_was_missed(Machine& machine, const Heartbeat& heartbeat) const {
    const bool expired = std::exchange(machine.expired_though_answered, false);
    const bool lacks_token = heartbeat.fencing_token < machine.acknowledged_token &&
                             data_.now - machine.token_acknowledged_at > min_heartbeat_gap_s(data_.settings);
    return expired || lacks_token;
}

// Heartbeats may arrive while the answers to them do not reach the machine. Its lease then expires again and again, it
// begins a new agent epoch each time, and all tasks placed there are lost. Only a token that was not sent with any
// order proves that answers reach the machine. Neither further heartbeats nor any other token resets the count of
// missed answers (docs/safety.md, 30; `InboundUnreachable.OneMachineGetsNoMoreTasksAndIsReleased`).
void ClusterState::update_inbound_reachability(Machine& machine, const Heartbeat& heartbeat) {
    if (answer_was_missed(machine, heartbeat)) {
        ++machine.missed_answers;
        doubt_inbound_reachability(machine, heartbeat);
    } else if (machine.inbound_in_doubt && heartbeat.fencing_token > highest_ambiguous_token(machine)) {
        machine.missed_answers = 0;
        machine.inbound_in_doubt = false;
    }
    const bool unreachable = machine.missed_answers >= max_missed_answers;
    if (unreachable == machine.inbound_unreachable())
        return;
    machine.inbound_unreachable_since = unreachable ? data_.now : -1;
    needs_scheduling_ = true;
    log(LogLine::Level::info,
        unreachable
            ? fmt::format("machine {} does not hear: its reports come, what they are answered does not reach it",
                          machine.id)
            : fmt::format("machine {} hears again", machine.id));
}

// While it is in doubt whether answers reach the machine, raises the fencing token, so that the next answer contains a
// token that the machine cannot have received in any other way. Not done if the machine has not yet shown a token that
// it was sent earlier, nor while a batch of orders is unanswered: a raised token would invalidate that batch, and the
// next heartbeat is early enough.
void ClusterState::request_inbound_proof(Machine& machine, const Heartbeat& heartbeat) {
    const bool lacks_token = heartbeat.fencing_token < machine.acknowledged_token;
    if (!machine.inbound_in_doubt || lacks_token || machine.batch != 0)
        return;
    if (machine.fencing_token <= highest_ambiguous_token(machine))
        ++machine.fencing_token;
}

} // namespace heronshift::cluster
