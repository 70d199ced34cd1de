#include "heronshift/workers/heartbeat_handler.hpp"

#include "heronshift/codec.hpp"
#include "heronshift/memory_share.hpp"

#include <algorithm>
#include <spdlog/spdlog.h>

namespace heronshift::workers {
namespace {

constexpr double worker_waits_s = 4;                     // for the answer to a heartbeat, says the protocol
constexpr double relay_s = worker_waits_s / 2;           // so that there is time for both ways
constexpr double max_pending_s = worker_waits_s * 3 / 4; // how long reports wait while the leader changes
// Reports that wait through a failover, by the memory they hold: 9 MB of 72, some 10,000 with five tasks each. A
// report beyond is answered 503 at once, and its machine tries the next controller.
constexpr double early_memory_share = 1.0 / 8;
// Machines that were sent to the leader: 9,437 at 72 MB. Of more, those are forgotten that were sent to an earlier
// leader or longer than a lease ago; without any such, a further machine is sent to the leader each time that it comes.
constexpr double sent_away_memory_share = 1.0 / 32;
constexpr std::size_t sent_away_bytes = 256;
// Jobs whose first launch is timed: 9,216 at 72 MB. Beyond, launches of the oldest are missing from the histogram.
constexpr double timed_jobs_memory_share = 1.0 / 64;
constexpr std::size_t timed_job_bytes = 128;
// Relays under way, of fd_limit: 51 at 1024. A third of 6,000 machines, relayed by four controllers with report_s 3,
// are 167 reports a second each, so the bound holds if the leader answers within 0.3 s on average. Beyond, a heartbeat
// is answered 503 and its machine tries the next controller.
constexpr int sockets_per_relay = 20;
constexpr double relayed_until_s = worker_waits_s * 3 / 4, answered_by_s = worker_waits_s * 7 / 8; // since they came
constexpr std::string_view peer_relay = "/peer/relay?to=";

} // namespace

HeartbeatHandler::HeartbeatHandler(const Settings& settings, TimerQueue& timers, Executor& executor, Peers& peers,
                                   membership::Membership& members, metrics::Timings& took, Host& host)
    : settings_(settings), timers_(timers), executor_(executor), peers_(peers), members_(members), took_(took),
      host_(host), max_sent_away_(entries_in_share(settings.memory_mb, sent_away_memory_share, sent_away_bytes)),
      max_early_bytes_(bytes_in_share(settings.memory_mb, early_memory_share)),
      max_relays_(static_cast<std::size_t>(settings.fd_limit / sockets_per_relay)) {
    took_.first_launches.limit(entries_in_share(settings.memory_mb, timed_jobs_memory_share, timed_job_bytes));
    executor_.set_heartbeat_handler([this](Heartbeat&& heartbeat, Executor::HeartbeatDone done) {
        if (!host_.is_active_leader())
            return done(not_leader_response());
        take({std::move(heartbeat), false, std::move(done), timers_.now(), std::nullopt, ""});
    });
}

HeartbeatResponse HeartbeatHandler::not_leader_response() const {
    const auto& leader = host_.leader();
    const bool other = !leader.empty() && leader != settings_.name;
    return {other ? 421 : 503, 0, {}, other ? leader : ""};
}

namespace {

Executor::HeartbeatDone answer_to(const Responder& res) {
    return [res](const HeartbeatResponse& a) {
        if (a.status == 200)
            return res.send(200, codec::orders(a.fencing_token, a.orders));
        if (a.status == 421)
            return res.send(421, codec::redirect(a.leader));
        res.send(a.status, "{}");
    };
}

} // namespace

void HeartbeatHandler::handle_heartbeat(HttpRequest&& request, const Responder& res, bool relayed) {
    if (relayed && !host_.is_active_leader() && !host_.is_acquiring())
        return answer_to(res)(not_leader_response());
    auto read = codec::heartbeat(request.body);
    if (!read) {
        spdlog::warn("malformed report");
        return res.send(400, codec::error_answer("malformed report"));
    }
    const auto other = not_leader_response();
    if (!relayed && !host_.is_active_leader() && other.status == 421) {
        const auto way = route_of(*read);
        if (way == Route::relay)
            return relay(std::move(*read), {std::move(request.body), res}, timers_.now());
        return answer_to(res)(way == Route::leader ? other : HeartbeatResponse{});
    }
    std::optional<RawRequest> whole;
    if (!relayed)
        whole = RawRequest{std::move(request.body), res};
    take({std::move(*read), relayed, answer_to(res), timers_.now(), std::move(whole), ""});
}

std::size_t HeartbeatHandler::PendingHeartbeat::bytes() const {
    std::size_t n = sizeof(PendingHeartbeat) + (whole ? whole->body.size() : 0);
    for (const auto& task : heartbeat.tasks)
        n += sizeof(task) + task.job.size();
    return n;
}

// While the leadership passes from one to another, a heartbeat waits for a moment: sent away, its machine might
// find no other node that it reaches before its lease has run out.
void HeartbeatHandler::take(PendingHeartbeat&& pending) {
    if (!host_.is_active_leader()) {
        // Cut off from the store and from all others, this node would not hear who has it.
        if (early_bytes_ + pending.bytes() > max_early_bytes_ || !members_.has_any_link())
            return pending.done({});
        keep_waiting(std::move(pending));
        return;
    }
    const auto h = ++handle_seq_;
    open_[h] = {std::move(pending.done), timers_.now(), pending.heartbeat.zone, pending.heartbeat.addr,
                pending.relayed};
    host_.push(HeartbeatReceived{std::move(pending.heartbeat), h});
}

// (Sent to a new leader that their zone does not reach, machines came back past all others that do not reach it
// either, when their lease had run out.)
void HeartbeatHandler::retry_pending_heartbeats() {
    if (pending_heartbeats_.empty())
        return;
    const bool late_too = !host_.is_active_leader() && !host_.is_acquiring();
    early_bytes_ = 0;
    for (auto& pending : std::exchange(pending_heartbeats_, {})) {
        const auto other = not_leader_response();
        const bool elsewhere_now = late_too && other.status == 421 && other.leader != pending.refused_by;
        if (host_.is_active_leader())
            take(std::move(pending));
        else if (elsewhere_now && pending.whole && timers_.now() - pending.since < relayed_until_s &&
                 route_of(pending.heartbeat) == Route::relay)
            relay(std::move(pending.heartbeat), std::move(*pending.whole), pending.since);
        else if (elsewhere_now || timers_.now() - pending.since > max_pending_s)
            pending.done(other);
        else
            keep_waiting(std::move(pending));
    }
}

void HeartbeatHandler::keep_waiting(PendingHeartbeat&& pending) {
    early_bytes_ += pending.bytes();
    pending_heartbeats_.push_back(std::move(pending));
}

// Room for one more machine. False: all of them were sent to this leader within a lease.
bool HeartbeatHandler::make_room_for_sent_away() {
    if (redirected_.size() < max_sent_away_)
        return true;
    const double now = timers_.now();
    if (now < next_sent_away_sweep_)
        return false;
    next_sent_away_sweep_ = now + settings_.report_s;
    std::erase_if(redirected_, [&](const auto& entry) {
        const auto& sent = entry.second;
        return sent.leader != host_.leader() || now - sent.came_at > settings_.lease_s;
    });
    return redirected_.size() < max_sent_away_;
}

// A heartbeat goes through this node if the leader says that it does not hear from there, or if its machine
// was sent to the leader and is back: once if that went fast (refused, or not ready), for a lease if it
// waited there in vain. Where the leader cannot be reached from here either, the machine tries the next
// node. (Two nodes that knew of an old leader only had sent machines round between them until their leases
// ran out.)
HeartbeatHandler::Route HeartbeatHandler::route_of(const Heartbeat& heartbeat) {
    const auto& leader = host_.leader();
    const bool reached = members_.peer(leader) != membership::Reachability::unreachable;
    if (reached && !members_.leader_reaches(leader, heartbeat.zone))
        return Route::relay;
    const double now = timers_.now();
    if (!redirected_.contains(heartbeat.machine) && !make_room_for_sent_away())
        return Route::leader;
    auto& last = redirected_[heartbeat.machine];
    last.came_at = now;
    const bool known = last.leader == leader;
    if (known) {
        const double since = now - last.at;
        const bool back = last.at >= 0 && since < settings_.lease_s / 2;
        if (back && since >= worker_waits_s)
            last.relay_until = now + settings_.lease_s;
        if (back || now < last.relay_until) {
            last.at = -1;
            return reached ? Route::relay : Route::next;
        }
    }
    last = {leader, now, -1, now};
    // It has heard this leader and left it all the same: answers from there do not reach it any more.
    if (known || !host_.is_of_leader_term(heartbeat.fencing_token))
        return Route::leader;
    last.relay_until = now + settings_.lease_s;
    last.at = -1;
    return reached ? Route::relay : Route::next;
}

void HeartbeatHandler::relay(Heartbeat&& heartbeat, RawRequest&& whole, double since) {
    const auto res = whole.res;
    if (relaying_ >= max_relays_) {
        ++took_.refused;
        return res.send(503, "{}");
    }
    ++relaying_;
    ++took_.relayed;
    auto kept = std::make_shared<Heartbeat>(std::move(heartbeat));
    const double wait_s = std::min(relay_s, answered_by_s - (timers_.now() - since));
    peers_.request(Lane::relays, host_.leader(), "POST", peer_prefix + std::string(codec::path_heartbeat),
                   std::move(whole.body), wait_s, [this, kept, res, since, leader = host_.leader()](HttpReply&& reply) {
                       --relaying_;
                       // Whatever the leader said, and nothing that it did not say. Where it has just given
                       // the leadership up, the machine is told who has it next.
                       if (reply.status == 200 || reply.status == 421)
                           return res.send(reply.status, reply.body);
                       take({std::move(*kept), false, answer_to(res), since, std::nullopt, leader});
                   });
}

void HeartbeatHandler::on_leadership_lost() {
    for (const auto& [h, open] : std::exchange(open_, {}))
        open.done({});
}

void HeartbeatHandler::record_launches(const std::vector<Order>& orders) {
    for (const auto& order : orders)
        if (order.verb == Verb::launch)
            took_.first_launches.launched(order.job, timers_.now(), took_.launch);
}

void HeartbeatHandler::answer(AnswerHeartbeat&& effect) {
    const auto it = open_.find(effect.handle);
    if (it == open_.end())
        return;
    const auto open = std::move(it->second);
    open_.erase(it);
    took_.heartbeat.add(timers_.now() - open.since);
    record_launches(effect.orders);
    // A late copy, which the core refuses, says nothing of the way that it came.
    if (effect.status == 200)
        open.relayed ? members_.heartbeat_relayed(open.zone, open.addr)
                     : members_.heartbeat_received(open.zone, open.addr);
    // A 200 renews a lease, so it is sent only while nobody else can be the leader.
    if (effect.status == 200 && host_.is_active_leader())
        open.done({200, effect.fencing_token, std::move(effect.orders), {}});
    else
        open.done({});
}

void HeartbeatHandler::send(const SendOrders& effect, std::function<void(OrdersAnswered&&)> done) {
    record_launches(effect.orders);
    if (effect.prefer_relay || members_.any_zone_lost())
        if (const auto zone = host_.zone_of(effect.machine);
            effect.prefer_relay || members_.zone(zone) == membership::Reachability::unreachable)
            if (const auto by = members_.relay_to(zone); by)
                return send_by(*by, effect, std::move(done));
    executor_.command(effect, settings_.report_s / 2, [this, done = std::move(done)](OrdersAnswered&& command) {
        if (command.status != 0)
            members_.machine_answered();
        done(std::move(command));
    });
}

void HeartbeatHandler::send_by(const std::string& peer, const SendOrders& effect,
                               std::function<void(OrdersAnswered&&)> done) {
    ++took_.relayed_by_others;
    peers_.request(Lane::relays, peer, "POST", std::string(peer_relay) + effect.addr,
                   codec::commands(effect.fencing_token, effect.agent_epoch, effect.orders), settings_.report_s / 2,
                   [this, done = std::move(done), id = effect.machine, batch = effect.batch](HttpReply&& reply) {
                       OrdersAnswered command{id, batch, reply.status, reply.sent, std::nullopt};
                       if (reply.status == 200 || reply.status == 409) {
                           command.heartbeat = codec::heartbeat(reply.body);
                           members_.machine_answered();
                       } else if (reply.status == 503) { // the other surely did not pass it on
                           command.status = 0;
                           command.sent = false;
                       } else {
                           command.status = 0;
                       }
                       done(std::move(command));
                   });
}

void HeartbeatHandler::forward(HttpRequest&& request, const Responder& res) {
    constexpr std::string_view to = "to=";
    if (request.method != "POST")
        return res.send(405, codec::error_answer("wrong method"));
    if (!request.query.starts_with(to))
        return res.send(400, codec::error_answer("to: the machine's address is needed"));
    if (relaying_ >= max_relays_) {
        ++took_.refused;
        return res.send(503, codec::not_now);
    }
    ++relaying_;
    ++took_.relayed;
    executor_.forward(request.query.substr(to.size()), std::move(request.body), settings_.report_s / 3,
                      [this, res](HttpReply&& reply) {
                          --relaying_;
                          if (reply.status != 0)
                              return res.send(reply.status, reply.body);
                          // 503 says that nothing was executed, so it is said only if nothing was sent.
                          res.send(reply.sent ? 504 : 503, codec::error_answer("no answer of the machine"));
                      });
}

} // namespace heronshift::workers
