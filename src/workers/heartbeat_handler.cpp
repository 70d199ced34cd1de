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

HeartbeatHandler::HeartbeatHandler(const Settings& s, TimerQueue& timers, Executor& executor, Peers& peers,
                                   membership::Membership& members, metrics::Timings& took, Host& host)
    : settings_(s), timers_(timers), executor_(executor), peers_(peers), members_(members), took_(took), host_(host),
      max_sent_away_(entries_in_share(s.memory_mb, sent_away_memory_share, sent_away_bytes)),
      max_early_bytes_(bytes_in_share(s.memory_mb, early_memory_share)),
      max_relays_(static_cast<std::size_t>(s.fd_limit / sockets_per_relay)) {
    took_.first_launches.limit(entries_in_share(s.memory_mb, timed_jobs_memory_share, timed_job_bytes));
    executor_.set_heartbeat_handler([this](Heartbeat&& r, Executor::HeartbeatDone done) {
        if (!host_.is_active_leader())
            return done(not_leader_response());
        take({std::move(r), false, std::move(done), timers_.now(), std::nullopt, ""});
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

void HeartbeatHandler::handle_heartbeat(HttpRequest&& r, const Responder& res, bool relayed) {
    if (relayed && !host_.is_active_leader() && !host_.is_acquiring())
        return answer_to(res)(not_leader_response());
    auto read = codec::heartbeat(r.body);
    if (!read) {
        spdlog::warn("malformed report");
        return res.send(400, codec::error_answer("malformed report"));
    }
    const auto other = not_leader_response();
    if (!relayed && !host_.is_active_leader() && other.status == 421) {
        const auto way = route_of(*read);
        if (way == Route::relay)
            return relay(std::move(*read), {std::move(r.body), res}, timers_.now());
        return answer_to(res)(way == Route::leader ? other : HeartbeatResponse{});
    }
    std::optional<RawRequest> whole;
    if (!relayed)
        whole = RawRequest{std::move(r.body), res};
    take({std::move(*read), relayed, answer_to(res), timers_.now(), std::move(whole), ""});
}

std::size_t HeartbeatHandler::PendingHeartbeat::bytes() const {
    std::size_t n = sizeof(PendingHeartbeat) + (whole ? whole->body.size() : 0);
    for (const auto& t : heartbeat.tasks)
        n += sizeof(t) + t.job.size();
    return n;
}

// While the leadership passes from one to another, a heartbeat waits for a moment: sent away, its machine might
// find no other node that it reaches before its lease has run out.
void HeartbeatHandler::take(PendingHeartbeat&& e) {
    if (!host_.is_active_leader()) {
        // Cut off from the store and from all others, this node would not hear who has it.
        if (early_bytes_ + e.bytes() > max_early_bytes_ || !members_.has_any_link())
            return e.done({});
        keep_waiting(std::move(e));
        return;
    }
    const auto h = ++handle_seq_;
    open_[h] = {std::move(e.done), timers_.now(), e.heartbeat.zone, e.heartbeat.addr, e.relayed};
    host_.push(HeartbeatReceived{std::move(e.heartbeat), h});
}

// (Sent to a new leader that their zone does not reach, machines came back past all others that do not reach it
// either, when their lease had run out.)
void HeartbeatHandler::retry_pending_heartbeats() {
    if (pending_heartbeats_.empty())
        return;
    const bool late_too = !host_.is_active_leader() && !host_.is_acquiring();
    early_bytes_ = 0;
    for (auto& e : std::exchange(pending_heartbeats_, {})) {
        const auto other = not_leader_response();
        const bool elsewhere_now = late_too && other.status == 421 && other.leader != e.refused_by;
        if (host_.is_active_leader())
            take(std::move(e));
        else if (elsewhere_now && e.whole && timers_.now() - e.since < relayed_until_s &&
                 route_of(e.heartbeat) == Route::relay)
            relay(std::move(e.heartbeat), std::move(*e.whole), e.since);
        else if (elsewhere_now || timers_.now() - e.since > max_pending_s)
            e.done(other);
        else
            keep_waiting(std::move(e));
    }
}

void HeartbeatHandler::keep_waiting(PendingHeartbeat&& e) {
    early_bytes_ += e.bytes();
    pending_heartbeats_.push_back(std::move(e));
}

// Room for one more machine. False: all of them were sent to this leader within a lease.
bool HeartbeatHandler::make_room_for_sent_away() {
    if (redirected_.size() < max_sent_away_)
        return true;
    const double t = timers_.now();
    if (t < next_sent_away_sweep_)
        return false;
    next_sent_away_sweep_ = t + settings_.report_s;
    std::erase_if(redirected_, [&](const auto& entry) {
        const auto& sent = entry.second;
        return sent.leader != host_.leader() || t - sent.came_at > settings_.lease_s;
    });
    return redirected_.size() < max_sent_away_;
}

// A heartbeat goes through this node if the leader says that it does not hear from there, or if its machine
// was sent to the leader and is back: once if that went fast (refused, or not ready), for a lease if it
// waited there in vain. Where the leader cannot be reached from here either, the machine tries the next
// node. (Two nodes that knew of an old leader only had sent machines round between them until their leases
// ran out.)
HeartbeatHandler::Route HeartbeatHandler::route_of(const Heartbeat& r) {
    const auto& leader = host_.leader();
    const bool reached = members_.peer(leader) != membership::Reachability::unreachable;
    if (reached && !members_.leader_reaches(leader, r.zone))
        return Route::relay;
    const double t = timers_.now();
    if (!redirected_.contains(r.machine) && !make_room_for_sent_away())
        return Route::leader;
    auto& last = redirected_[r.machine];
    last.came_at = t;
    const bool known = last.leader == leader;
    if (known) {
        const double since = t - last.at;
        const bool back = last.at >= 0 && since < settings_.lease_s / 2;
        if (back && since >= worker_waits_s)
            last.relay_until = t + settings_.lease_s;
        if (back || t < last.relay_until) {
            last.at = -1;
            return reached ? Route::relay : Route::next;
        }
    }
    last = {leader, t, -1, t};
    // It has heard this leader and left it all the same: answers from there do not reach it any more.
    if (known || !host_.is_of_leader_term(r.fencing_token))
        return Route::leader;
    last.relay_until = t + settings_.lease_s;
    last.at = -1;
    return reached ? Route::relay : Route::next;
}

void HeartbeatHandler::relay(Heartbeat&& r, RawRequest&& whole, double since) {
    const auto res = whole.res;
    if (relaying_ >= max_relays_) {
        ++took_.refused;
        return res.send(503, "{}");
    }
    ++relaying_;
    ++took_.relayed;
    auto kept = std::make_shared<Heartbeat>(std::move(r));
    const double wait_s = std::min(relay_s, answered_by_s - (timers_.now() - since));
    peers_.request(Lane::relays, host_.leader(), "POST", peer_prefix + std::string(codec::path_heartbeat),
                   std::move(whole.body), wait_s, [this, kept, res, since, leader = host_.leader()](HttpReply&& a) {
                       --relaying_;
                       // Whatever the leader said, and nothing that it did not say. Where it has just given
                       // the leadership up, the machine is told who has it next.
                       if (a.status == 200 || a.status == 421)
                           return res.send(a.status, a.body);
                       take({std::move(*kept), false, answer_to(res), since, std::nullopt, leader});
                   });
}

void HeartbeatHandler::on_leadership_lost() {
    for (const auto& [h, open] : std::exchange(open_, {}))
        open.done({});
}

void HeartbeatHandler::record_launches(const std::vector<Order>& orders) {
    for (const auto& o : orders)
        if (o.verb == Verb::launch)
            took_.first_launches.launched(o.job, timers_.now(), took_.launch);
}

void HeartbeatHandler::answer(AnswerHeartbeat&& a) {
    const auto it = open_.find(a.handle);
    if (it == open_.end())
        return;
    const auto open = std::move(it->second);
    open_.erase(it);
    took_.heartbeat.add(timers_.now() - open.since);
    record_launches(a.orders);
    // A late copy, which the core refuses, says nothing of the way that it came.
    if (a.status == 200)
        open.relayed ? members_.heartbeat_relayed(open.zone, open.addr)
                     : members_.heartbeat_received(open.zone, open.addr);
    // A 200 renews a lease, so it is sent only while nobody else can be the leader.
    if (a.status == 200 && host_.is_active_leader())
        open.done({200, a.fencing_token, std::move(a.orders), {}});
    else
        open.done({});
}

void HeartbeatHandler::send(const SendOrders& o, std::function<void(OrdersAnswered&&)> done) {
    record_launches(o.orders);
    if (o.prefer_relay || members_.any_zone_lost())
        if (const auto zone = host_.zone_of(o.machine);
            o.prefer_relay || members_.zone(zone) == membership::Reachability::unreachable)
            if (const auto by = members_.relay_to(zone); by)
                return send_by(*by, o, std::move(done));
    executor_.command(o, settings_.report_s / 2, [this, done = std::move(done)](OrdersAnswered&& a) {
        if (a.status != 0)
            members_.machine_answered();
        done(std::move(a));
    });
}

void HeartbeatHandler::send_by(const std::string& peer, const SendOrders& o,
                               std::function<void(OrdersAnswered&&)> done) {
    ++took_.relayed_by_others;
    peers_.request(Lane::relays, peer, "POST", std::string(peer_relay) + o.addr,
                   codec::commands(o.fencing_token, o.agent_epoch, o.orders), settings_.report_s / 2,
                   [this, done = std::move(done), id = o.machine, batch = o.batch](HttpReply&& r) {
                       OrdersAnswered a{id, batch, r.status, r.sent, std::nullopt};
                       if (r.status == 200 || r.status == 409) {
                           a.heartbeat = codec::heartbeat(r.body);
                           members_.machine_answered();
                       } else if (r.status == 503) { // the other surely did not pass it on
                           a.status = 0;
                           a.sent = false;
                       } else {
                           a.status = 0;
                       }
                       done(std::move(a));
                   });
}

void HeartbeatHandler::forward(HttpRequest&& r, const Responder& res) {
    constexpr std::string_view to = "to=";
    if (r.method != "POST")
        return res.send(405, codec::error_answer("wrong method"));
    if (!r.query.starts_with(to))
        return res.send(400, codec::error_answer("to: the machine's address is needed"));
    if (relaying_ >= max_relays_) {
        ++took_.refused;
        return res.send(503, codec::not_now);
    }
    ++relaying_;
    ++took_.relayed;
    executor_.forward(r.query.substr(to.size()), std::move(r.body), settings_.report_s / 3, [this, res](HttpReply&& a) {
        --relaying_;
        if (a.status != 0)
            return res.send(a.status, a.body);
        // 503 says that nothing was executed, so it is said only if nothing was sent.
        res.send(a.sent ? 504 : 503, codec::error_answer("no answer of the machine"));
    });
}

} // namespace heronshift::workers
