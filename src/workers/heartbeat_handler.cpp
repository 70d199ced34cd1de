#include "workers/heartbeat_handler.hpp"

#include "heronshift/codec.hpp"
#include "http_status.hpp"
#include "memory_share.hpp"
#include "protocol_times.hpp"

#include <algorithm>
#include <spdlog/spdlog.h>

namespace heronshift::workers {
namespace {

// The longest time that a machine spends at one controller before it tries the next: it waits for the answer and then
// for one more second, and its heartbeat takes time to arrive.
constexpr double max_controller_attempt_s = heartbeat_answer_timeout_s * 3 / 2;
constexpr double relay_timeout_s = heartbeat_answer_timeout_s / 2; // leaves time for the paths from and to the machine
constexpr double max_pending_s = heartbeat_answer_timeout_s * 3 / 4; // longest wait of a heartbeat for a new leader
// Share of the memory limit for heartbeats that wait during a failover: 9 MB of 72 MB, enough for about 10,000
// heartbeats with five tasks each. Any further heartbeat is answered 503 at once, and its machine tries the next
// controller.
constexpr double pending_memory_share = 1.0 / 8;
// Share of the memory limit for the table of machines that were redirected to the leader: 9,437 entries at 72 MB. When
// the table is full, the entries of machines that were redirected to an earlier leader, or were last seen longer than
// `redirect_retention_s_` ago, are removed. If there are none, a machine without an entry is redirected to the leader
// each time that its heartbeat arrives here.
constexpr double redirected_memory_share = 1.0 / 32;
constexpr std::size_t redirected_bytes = 256;
// Share of the memory limit for the jobs whose first launch is timed: 9,216 jobs at 72 MB. If there are more, the
// launches of the oldest jobs are missing from the histogram.
constexpr double timed_jobs_memory_share = 1.0 / 64;
constexpr std::size_t timed_job_bytes = 128;
// Limits the relays in flight to fd_limit divided by this number: 51 at an fd_limit of 1024. If a third of 6,000
// machines is relayed by four controllers with report_s 3, each of them relays 167 heartbeats a second, which stays
// within the limit if the leader answers within 0.3 s on average. Any further heartbeat is answered 503, and its
// machine tries the next controller.
constexpr int fds_per_relay = 20;
// Times after the arrival of a heartbeat: until when a relay of it may still begin, and by when the relay has ended, so
// that the answer reaches the machine in time.
constexpr double relay_cutoff_s = heartbeat_answer_timeout_s * 3 / 4,
                 answer_deadline_s = heartbeat_answer_timeout_s * 7 / 8;
constexpr std::string_view path_peer_relay = "/peer/relay?to=";
constexpr std::string_view empty_body = "{}"; // body of an answer without orders

Executor::HeartbeatDone answer_to(const Responder& res) {
    return [res](const HeartbeatResponse& response) {
        if (response.status == http_status::ok)
            return res.send(response.status, codec::orders(response.fencing_token, response.orders));
        if (response.status == http_status::misdirected_request)
            return res.send(response.status, codec::redirect(response.leader));
        res.send(response.status, empty_body);
    };
}

// Logs the fields of a heartbeat that matter for its routing, and what is done with the heartbeat.
void log_route(const Heartbeat& heartbeat, std::string_view route) {
    spdlog::debug("heartbeat machine={} epoch={} counter={} fencing_token={} tasks={} route={}", heartbeat.machine,
                  heartbeat.agent_epoch, heartbeat.counter, heartbeat.fencing_token, heartbeat.tasks.size(), route);
}

std::ptrdiff_t count_of(Verb verb, const std::vector<Order>& orders) {
    return std::count_if(orders.begin(), orders.end(), [verb](const Order& order) { return order.verb == verb; });
}

void log_sent(const SendOrders& orders, std::string_view route) {
    spdlog::debug("orders sent machine={} epoch={} fencing_token={} batch={} launches={} stops={} route={}",
                  orders.machine, orders.agent_epoch, orders.fencing_token, orders.batch,
                  count_of(Verb::launch, orders.orders), count_of(Verb::stop, orders.orders), route);
}

void log_answered(const OrdersAnswered& answer) {
    const auto& heartbeat = answer.heartbeat;
    spdlog::debug("orders answered machine={} batch={} status={} sent={} counter={} tasks={}", answer.machine,
                  answer.batch, answer.status, answer.sent, heartbeat ? heartbeat->counter : 0,
                  heartbeat ? heartbeat->tasks.size() : 0);
}

void log_heartbeat_answered(const std::string& machine, const AnswerHeartbeat& answer) {
    spdlog::debug("heartbeat answered machine={} status={} fencing_token={} stops={} reaps={}", machine, answer.status,
                  answer.fencing_token, count_of(Verb::stop, answer.orders), count_of(Verb::reap, answer.orders));
}

} // namespace

HeartbeatHandler::HeartbeatHandler(const Settings& settings, TimerQueue& timers, Executor& executor, Peers& peers,
                                   membership::Membership& membership, metrics::Timings& timings, Host& host)
    : settings_(settings), timers_(timers), executor_(executor), peers_(peers), membership_(membership),
      timings_(timings), host_(host),
      max_redirected_(entries_in_share(settings.memory_mb, redirected_memory_share, redirected_bytes)),
      max_pending_bytes_(bytes_in_share(settings.memory_mb, pending_memory_share)),
      max_relays_(static_cast<std::size_t>(settings.fd_limit / fds_per_relay)),
      redirect_retention_s_(
          std::max(settings.lease_s, max_controller_attempt_s * static_cast<double>(settings.peers.size() + 1))) {
    timings_.first_launches.limit(entries_in_share(settings.memory_mb, timed_jobs_memory_share, timed_job_bytes));
    executor_.set_heartbeat_handler([this](Heartbeat&& heartbeat, Executor::HeartbeatDone done) {
        if (!host_.is_active_leader())
            return done(not_leader_response());
        handle_or_enqueue({std::move(heartbeat), false, std::move(done), timers_.now(), std::nullopt, ""});
    });
}

// The answer to a heartbeat that this node must not handle because it is not the active leader: 421 with the leader's
// name, or 503 if no other node is known to lead.
HeartbeatResponse HeartbeatHandler::not_leader_response() const {
    const auto& leader = host_.leader();
    if (leader.empty() || leader == settings_.name)
        return {http_status::service_unavailable, 0, {}, ""};
    return {http_status::misdirected_request, 0, {}, leader};
}

void HeartbeatHandler::handle_heartbeat(HttpRequest&& request, const Responder& res, bool relayed) {
    if (relayed && !host_.is_active_leader() && !host_.is_acquiring())
        return answer_to(res)(not_leader_response());
    auto heartbeat = codec::heartbeat(request.body);
    if (!heartbeat) {
        spdlog::warn("heartbeat rejected reason=malformed");
        return res.send(http_status::bad_request, codec::error_answer("malformed report"));
    }
    const auto not_leader_answer = not_leader_response();
    if (!relayed && !host_.is_active_leader() && not_leader_answer.status == http_status::misdirected_request) {
        const auto route = route_of(*heartbeat);
        log_route(*heartbeat, name_of(route));
        if (route == Route::relay)
            return relay(std::move(*heartbeat), {std::move(request.body), res}, timers_.now());
        return answer_to(res)(route == Route::leader ? not_leader_answer : HeartbeatResponse{});
    }
    std::optional<RawRequest> raw;
    if (!relayed)
        raw = RawRequest{std::move(request.body), res};
    handle_or_enqueue({std::move(*heartbeat), relayed, answer_to(res), timers_.now(), std::move(raw), ""});
}

std::string_view HeartbeatHandler::name_of(Route route) {
    switch (route) {
    case Route::leader:
        return "redirected to the leader";
    case Route::relay:
        return "relayed to the leader";
    case Route::next:
        return "sent to the next controller";
    }
    return "";
}

std::size_t HeartbeatHandler::PendingHeartbeat::bytes() const {
    std::size_t size = sizeof(PendingHeartbeat) + (raw ? raw->body.size() : 0);
    for (const auto& task : heartbeat.tasks)
        size += sizeof(task) + task.job.size();
    return size;
}

// Hands the heartbeat to the core if this node is the active leader. During a change of leadership the heartbeat waits
// for a short time instead: if it were rejected, its machine might find no other controller that it can reach before
// its lease expires.
void HeartbeatHandler::handle_or_enqueue(PendingHeartbeat&& pending) {
    if (!host_.is_active_leader()) {
        // A node that is cut off from the store and from all other controllers would not learn who the new leader is.
        if (pending_bytes_ + pending.bytes() > max_pending_bytes_ || !membership_.has_any_link())
            return pending.done({});
        enqueue_pending(std::move(pending));
        return;
    }
    log_route(pending.heartbeat, pending.relayed ? "taken, relayed by another" : "taken");
    const auto handle = ++handle_seq_;
    unanswered_heartbeats_[handle] = {std::move(pending.done), timers_.now(),          pending.heartbeat.machine,
                                      pending.heartbeat.zone,  pending.heartbeat.addr, pending.relayed};
    host_.push(HeartbeatReceived{std::move(pending.heartbeat), handle, pending.relayed});
}

void HeartbeatHandler::retry_pending_heartbeats() {
    pending_bytes_ = 0;
    for (auto& pending : std::exchange(pending_heartbeats_, {}))
        retry(std::move(pending));
}

// If another controller has become the leader and the machine would not reach it, the heartbeat is relayed there. If
// the machine were redirected instead, it would try all other controllers first, which may not reach the leader either,
// until its lease expires.
void HeartbeatHandler::retry(PendingHeartbeat&& pending) {
    if (host_.is_active_leader())
        return handle_or_enqueue(std::move(pending));
    const auto not_leader_answer = not_leader_response();
    const double waited_s = timers_.now() - pending.since;
    const bool other_node_leads = !host_.is_acquiring() &&
                                  not_leader_answer.status == http_status::misdirected_request &&
                                  not_leader_answer.leader != pending.failed_relay_target;
    if (other_node_leads && pending.raw && waited_s < relay_cutoff_s && route_of(pending.heartbeat) == Route::relay)
        return relay(std::move(pending.heartbeat), std::move(*pending.raw), pending.since);
    if (other_node_leads || waited_s > max_pending_s)
        return pending.done(not_leader_answer);
    enqueue_pending(std::move(pending));
}

void HeartbeatHandler::enqueue_pending(PendingHeartbeat&& pending) {
    pending_bytes_ += pending.bytes();
    pending_heartbeats_.push_back(std::move(pending));
}

// Makes room in `redirected_` for one more machine, if necessary. False if the table stays full: all its machines were
// redirected to the present leader and seen within `redirect_retention_s_`, or the last cleanup is less than report_s
// ago.
bool HeartbeatHandler::make_room_for_redirected() {
    if (redirected_.size() < max_redirected_)
        return true;
    const double now = timers_.now();
    if (now < next_redirected_sweep_)
        return false;
    next_redirected_sweep_ = now + settings_.report_s;
    std::erase_if(redirected_, [&](const auto& entry) {
        const auto& sent = entry.second;
        return sent.leader != host_.leader() || now - sent.seen_at > redirect_retention_s_;
    });
    return redirected_.size() < max_redirected_;
}

// Decides what to do with a heartbeat while another node leads.
//
// The heartbeat is relayed if the leader's view says that the leader does not reach the machine's zone, or if the
// machine was redirected to the leader and has returned here. A machine that returned quickly was refused, or the
// leader was not ready: one heartbeat is relayed. A machine that returned only after heartbeat_answer_timeout_s waited
// there without an answer: its heartbeats are relayed for `redirect_retention_s_`. If this node does not reach the
// leader either, a returned machine tries the next controller. If it were redirected once more, two controllers that
// both know only of an old leader could send it back and forth until its lease expires.
//
// A machine that receives no answers tries all controllers in turn. Unless all of them relay its heartbeats, the leader
// receives only one in each such round, and cannot detect in time that no answer reaches the machine. A returned
// machine is therefore remembered for as long as a round takes, and a redirection that is longer ago is ignored
// (docs/safety.md, 30; `InboundUnreachable.OneMachineGetsNoMoreTasksAndIsReleased`).
HeartbeatHandler::Route HeartbeatHandler::route_of(const Heartbeat& heartbeat) {
    const auto& leader = host_.leader();
    const bool leader_reachable = membership_.peer(leader) != membership::Reachability::unreachable;
    if (leader_reachable && !membership_.leader_reaches(leader, heartbeat.zone))
        return Route::relay;
    const double now = timers_.now();
    if (!redirected_.contains(heartbeat.machine) && !make_room_for_redirected())
        return Route::leader;
    auto& machine = redirected_[heartbeat.machine];
    const bool known = machine.leader == leader && now - machine.seen_at <= redirect_retention_s_;
    machine.seen_at = now;
    if (known && has_returned(machine, now)) {
        machine.redirected_at.reset();
        return leader_reachable ? Route::relay : Route::next;
    }
    machine = {leader, now, 0, now};
    if (known || !host_.is_of_leader_term(heartbeat.fencing_token))
        return Route::leader;
    // The machine's fencing token is of this leader's term, so an answer of this leader has reached it; that it tries
    // another controller nevertheless shows that the leader's answers don't reach it any more.
    machine.relay_until = now + redirect_retention_s_;
    machine.redirected_at.reset();
    return leader_reachable ? Route::relay : Route::next;
}

// Whether a machine that was redirected to the present leader has returned from it without success, or its heartbeats
// are still being relayed since it returned earlier (`relay_until`).
bool HeartbeatHandler::has_returned(Redirected& machine, double now) const {
    const bool returned = machine.redirected_at.has_value();
    if (returned && now - *machine.redirected_at >= heartbeat_answer_timeout_s)
        machine.relay_until = now + redirect_retention_s_;
    return returned || now < machine.relay_until;
}

// Counts one more relay in flight. False if there are max_relays_ already.
bool HeartbeatHandler::begin_relay() {
    if (relays_in_flight_ >= max_relays_) {
        ++timings_.refused;
        return false;
    }
    ++relays_in_flight_;
    ++timings_.relayed;
    return true;
}

void HeartbeatHandler::relay(Heartbeat&& heartbeat, RawRequest&& raw, double since) {
    const auto res = raw.res;
    if (!begin_relay())
        return res.send(http_status::service_unavailable, empty_body);
    const double wait_s = std::min(relay_timeout_s, answer_deadline_s - (timers_.now() - since));
    auto on_reply = [this, shared_heartbeat = std::make_shared<Heartbeat>(std::move(heartbeat)), res, since,
                     leader = host_.leader()](const HttpReply& reply) {
        --relays_in_flight_;
        // An answer of the leader is passed on unchanged, and this node never makes up one in its name. If the leader
        // did not take the heartbeat, for example because it has just resigned, the heartbeat waits for the next
        // leader, and the machine is then told who that is.
        if (reply.status == http_status::ok || reply.status == http_status::misdirected_request)
            return res.send(reply.status, reply.body);
        handle_or_enqueue({std::move(*shared_heartbeat), false, answer_to(res), since, std::nullopt, leader});
    };
    peers_.request(PeerRequestClass::relays, host_.leader(), "POST", peer_prefix + std::string(codec::path_heartbeat),
                   std::move(raw.body), wait_s, std::move(on_reply));
}

void HeartbeatHandler::on_leadership_lost() {
    for (const auto& [handle, heartbeat] : std::exchange(unanswered_heartbeats_, {}))
        heartbeat.done({});
}

void HeartbeatHandler::record_launches(const std::vector<Order>& orders) {
    for (const auto& order : orders)
        if (order.verb == Verb::launch)
            timings_.first_launches.record_launch(order.job, timers_.now(), timings_.launch);
}

void HeartbeatHandler::record_path(const UnansweredHeartbeat& heartbeat) {
    if (heartbeat.relayed)
        membership_.heartbeat_relayed(heartbeat.zone, heartbeat.addr);
    else
        membership_.heartbeat_received(heartbeat.zone, heartbeat.addr);
    if (host_.is_inbound_unreachable(heartbeat.machine))
        membership_.stop_probing(heartbeat.zone, heartbeat.addr);
}

void HeartbeatHandler::answer(AnswerHeartbeat&& effect) {
    const auto it = unanswered_heartbeats_.find(effect.handle);
    if (it == unanswered_heartbeats_.end())
        return;
    const auto heartbeat = std::move(it->second);
    unanswered_heartbeats_.erase(it);
    timings_.heartbeat.add(timers_.now() - heartbeat.since);
    log_heartbeat_answered(heartbeat.machine, effect);
    record_launches(effect.orders);
    const bool taken = effect.status == http_status::ok;
    // The core refuses a late copy of a heartbeat; such a copy says nothing about the present state of its path.
    if (taken)
        record_path(heartbeat);
    // A 200 renews the machine's lease, so it is sent only while no other node can be the leader.
    if (taken && host_.is_active_leader())
        heartbeat.done({http_status::ok, effect.fencing_token, std::move(effect.orders), {}});
    else
        heartbeat.done({});
}

// The peer through which the orders are sent; empty if they are sent directly.
std::optional<std::string> HeartbeatHandler::relay_peer_for(const SendOrders& effect) const {
    if (!effect.prefer_relay && !membership_.any_zone_lost())
        return std::nullopt;
    const auto zone = host_.zone_of(effect.machine);
    if (!effect.prefer_relay && membership_.zone(zone) != membership::Reachability::unreachable)
        return std::nullopt;
    return membership_.relay_to_zone(zone);
}

void HeartbeatHandler::send(const SendOrders& effect, std::function<void(OrdersAnswered&&)> done) {
    record_launches(effect.orders);
    if (const auto peer = relay_peer_for(effect); peer) {
        log_sent(effect, *peer);
        return send_through(*peer, effect, std::move(done));
    }
    log_sent(effect, "direct");
    executor_.command(effect, settings_.report_s / 2, [this, done = std::move(done)](OrdersAnswered&& command) {
        log_answered(command);
        if (command.status != http_status::no_answer)
            membership_.machine_answered();
        done(std::move(command));
    });
}

void HeartbeatHandler::send_through(const std::string& peer, const SendOrders& effect,
                                    std::function<void(OrdersAnswered&&)> done) {
    ++timings_.relayed_by_others;
    auto on_reply = [this, done = std::move(done), machine = effect.machine,
                     batch = effect.batch](const HttpReply& reply) {
        OrdersAnswered command{machine, batch, http_status::no_answer, reply.sent, std::nullopt};
        if (reply.status == http_status::ok || reply.status == http_status::conflict) {
            command.status = reply.status;
            command.heartbeat = codec::heartbeat(reply.body);
            membership_.machine_answered();
        }
        log_answered(command);
        done(std::move(command));
    };
    peers_.request(PeerRequestClass::relays, peer, "POST", std::string(path_peer_relay) + effect.addr,
                   codec::commands(effect.fencing_token, effect.agent_epoch, effect.orders), settings_.report_s / 2,
                   std::move(on_reply));
}

void HeartbeatHandler::forward(HttpRequest&& request, const Responder& res) {
    constexpr std::string_view to = "to=";
    if (request.method != "POST")
        return res.send(http_status::method_not_allowed, codec::error_answer("wrong method"));
    if (!request.query.starts_with(to))
        return res.send(http_status::bad_request, codec::error_answer("to: the machine's address is needed"));
    if (!begin_relay())
        return res.send(http_status::service_unavailable, codec::not_now);
    auto on_reply = [this, res](const HttpReply& reply) {
        --relays_in_flight_;
        if (reply.status != http_status::no_answer)
            return res.send(reply.status, reply.body);
        // Neither status proves to the caller that no order will be executed, since a late copy of its request may
        // still be forwarded. 503: nothing was sent to the machine so far.
        res.send(reply.sent ? http_status::gateway_timeout : http_status::service_unavailable,
                 codec::error_answer("no answer of the machine"));
    };
    executor_.forward(request.query.substr(to.size()), std::move(request.body), settings_.report_s / 3,
                      std::move(on_reply));
}

} // namespace heronshift::workers
