#include "heronshift/leadership/leader_election.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <spdlog/spdlog.h>

namespace heronshift::leadership {
namespace {

using codec::Json;

constexpr const char* peer_extension_vote = "/peer/promise";
constexpr const char* peer_takeover = "/peer/take";
constexpr const char* served_field = "served"; // of a refused extension vote: the store has just answered there
constexpr double attempt_s = 1;                // for each step of becoming leader
constexpr double no_worker_heartbeats = 2,
                 no_zone_heartbeats = 1.5;   // without a word from any worker: this node is cut off
constexpr double no_worker_leases = 0.5;     // the same for one that never heard any in this term
constexpr double steady_heartbeats = 0.5;    // for so long another must be a better candidate
constexpr double unserved_lease_share = 0.7; // of its length, not renewed while the store serves others
constexpr double unserved_leases = 0.5;      // for so long the leadership may stand without anybody who may act
constexpr double look_heartbeats = 1.0 / 10;
constexpr double forget_heartbeats = 2; // without the store's or a peer's word
constexpr std::size_t min_machines_to_judge = 4;

} // namespace

LeaderElection::LeaderElection(const Settings& settings, TimerQueue& timers, store::StateStore& store, Peers& peers,
                               const membership::Membership& members, metrics::Timings& became_leader, Host& host)
    : settings_(settings), timers_(timers), store_(store), peers_(peers), members_(members), host_(host),
      // Short, so that others take over soon: outages of the store are bridged by extension votes.
      leader_lease_(std::min(settings.report_s, settings.lease_s / 5), settings.peers.size(), timers.now()),
      state_loader_(settings, timers, store),
      transactions_(settings, timers, store, became_leader,
                    {[this](TxnOutcome o) { host_.committed(o); }, [this](const std::string& why) { resign(why); },
                     [this] { return valid(); }}) {}

void LeaderElection::start() {
    watch_leader_key();
}

void LeaderElection::stop() {
    if (is_leader())
        resign("this node is ending");
}

void LeaderElection::tick() {
    const double now = timers_.now();
    if ((role_ == Role::is_leader || role_ == Role::loading) && now >= next_renew_)
        renew();
    if (now < next_look_)
        return;
    next_look_ = now + look_heartbeats * settings_.report_s;
    if (valid())
        return consider_better_candidates();
    learn_leader_from_peers();
    if (role_ == Role::is_leader || role_ == Role::loading)
        resign_if_store_unavailable();
}

// Whether another should be the leader, by one order: the store before workers, workers reached directly
// before those reached through others. At most one change a lease for the sake of more; a leader that the
// store does not serve, or that hears from no worker at all, is as good as dead.
void LeaderElection::consider_better_candidates() {
    const double now = timers_.now();
    // Nobody else can become leader without the store. (In outages the leader gave it up to one that reached
    // one zone more; it stood empty until the store was back, and all leases ran out.)
    const bool served = members_.store() != membership::Reachability::unreachable;
    const auto better_candidate = served ? members_.better_candidate() : std::nullopt;
    if (!better_candidate)
        better_candidate_since_ = -1;
    else if (better_candidate_since_ < 0)
        better_candidate_since_ = now;
    const bool no_worker = hears_no_worker(now);
    if (better_candidate && now - better_candidate_since_ > steady_heartbeats * settings_.report_s &&
        (no_worker || now - acquired_at_ > settings_.lease_s))
        return resign(fmt::format("{} is fitter ({}; here {})", *better_candidate,
                                  describe(members_.eligibility(*better_candidate)),
                                  describe(members_.own_eligibility())),
                      {*better_candidate});
    // The leases of all machines would run out. Where all others are known to be no better, this node stays.
    if (no_worker && served && !better_candidate && !members_.no_better_candidate()) {
        ++resignations_without_workers_;
        resign("no worker has been heard of for a while", {});
    }
}

// A store so slow that answers come too late goes on extending the store lease, while nobody may act.
void LeaderElection::resign_if_store_unavailable() {
    const double since = is_leader() ? std::max(leader_lease_.until(), acquired_at_) : acquired_at_;
    if (timers_.now() - since > unserved_leases * settings_.lease_s)
        return resign("the store has not answered for long", {});
    if (!is_leader())
        return;
    if (const auto to = members_.served_instead(); to)
        resign(fmt::format("the store serves {}, not this node", *to), {*to});
}

// No word from any worker, whichever way, for longer than all of them need to report; sooner if those that
// are asked do not answer either, later if there was none in this term yet.
bool LeaderElection::hears_no_worker(double t) const {
    const double last_heartbeat_at = members_.last_worker_heartbeat_at();
    const double silent = t - std::max(last_heartbeat_at, acquired_at_);
    const double patience = last_heartbeat_at <= acquired_at_ ? no_worker_leases * settings_.lease_s
                            : members_.all_zones_lost()       ? no_zone_heartbeats * settings_.report_s
                                                              : no_worker_heartbeats * settings_.report_s;
    return silent > patience && host_.machines_up() >= min_machines_to_judge;
}

// Waits for a change of the leadership, then looks at it afresh.
void LeaderElection::watch_leader_key() {
    if (role_ != Role::follower)
        return;
    const auto gen = generation_;
    store_.get(leader_key, settings_.report_s / 2, [this, gen](store::Answer&& answer) {
        if (gen == generation_ && role_ == Role::follower)
            handle_leader_read(answer);
    });
}

void LeaderElection::watch_leader_key_after(double delay_s) {
    const auto gen = generation_;
    timers_.after(delay_s, [this, gen] {
        if (gen == generation_)
            watch_leader_key();
    });
}

void LeaderElection::handle_leader_read(const store::Answer& answer) {
    const double now = timers_.now();
    leader_lease_.record_store_answer(answer.status == 200 || answer.status == 404, now);
    if (answer.status == 404) {
        leader_.clear();
        seen_at_ = now;
        if (free_since_ < 0)
            free_since_ = now;
        spdlog::debug("the office is free{}", leader_lease_.may_acquire(now) ? "" : ", but we promised to wait");
        if (!leader_lease_.may_acquire(now))
            return watch_leader_key_after(std::max(0.01, leader_lease_.not_before() - now));
        // A a better candidate one goes first; but views may be wrong, so nobody waits for ever.
        const double wait = free_since_ + members_.candidacy_delay_s() - now;
        if (wait > 0)
            return watch_leader_key_after(std::min(wait, settings_.report_s / 8));
        return acquire();
    }
    const auto& item = answer.item;
    if (!item || !item->value.is_object())
        return watch_leader_key_after(settings_.report_s / 6);
    seen_at_ = now;
    free_since_ = -1;
    const auto name = item->value.value("node", std::string());
    if (name == settings_.name) {
        // We have just started: the process that was the leader under our name is dead.
        const auto hold = item->value.value("hold", std::uint64_t{0});
        leader_lease_.previous_process_was_leader();
        spdlog::info("the office is held by an earlier process of this node, ending its hold {}", hold);
        const auto gen = generation_;
        store_.revoke_lease(hold, settings_.report_s / 2, [this, gen](store::Answer&&) {
            if (gen == generation_)
                watch_leader_key_after(0.01);
        });
        return;
    }
    if (name != leader_)
        spdlog::info("the office is held by {}", name);
    leader_ = name;
    leader_term_ = item->value.value("term", std::uint64_t{0});
    const auto gen = generation_;
    store_.follow(leader_key, item->mod_revision, settings_.report_s, [this, gen](store::Answer&& f) {
        if (gen == generation_)
            watch_leader_key_after(f.status == 200 ? 0 : settings_.report_s / 6);
    });
}

// While the store does not answer this node, the others may know who is the leader. It is only a
// hint, for passing on requests and sending workers to the right place.
void LeaderElection::learn_leader_from_peers() {
    const double now = timers_.now();
    const auto said = members_.reported_leader();
    if (sees_leader() || (said && said->leader == leader_ && said->term == leader_term_))
        known_at_ = now;
    // What was known long ago is worse than nothing: others would be sent to a leader that is none.
    if (role_ == Role::follower && !leader_.empty() && now - known_at_ > forget_heartbeats * settings_.report_s) {
        spdlog::info("who holds the office is not known here any more");
        leader_.clear();
    }
    if (!said || said->leader == settings_.name || said->leader == leader_)
        return;
    // Cut off from the store, a leader whose time is over would never learn that another has taken its
    // place, and would keep its machines waiting.
    if (is_leader() && said->term > term_)
        return resign(said->leader + " has begun another term", {});
    if (role_ != Role::follower)
        return;
    if (said->term < leader_term_ || (said->term == leader_term_ && sees_leader()))
        return;
    known_at_ = now;
    if (!said->leader.empty())
        spdlog::info("the office is held by {}, says a peer", said->leader);
    leader_ = said->leader;
    leader_term_ = said->term;
}

void LeaderElection::acquire_failed() {
    spdlog::debug("the office was not to be had");
    if (store_lease_ != 0)
        store_.revoke_lease(store_lease_, attempt_s, [](store::Answer&&) {});
    role_ = Role::follower;
    ++generation_;
    watch_leader_key_after(settings_.report_s / 10);
}

void LeaderElection::acquire() {
    role_ = Role::acquiring;
    const auto gen = ++generation_;
    store_lease_ = 0;
    store_lease_requested_at_ = timers_.now();
    store_.create_lease(leader_lease_.ttl_s(), attempt_s, [this, gen](store::Answer&& answer) {
        if (gen != generation_)
            return;
        if (answer.status != 200)
            return acquire_failed();
        store_lease_ = answer.lease;
        store_.get(term_counter_key, attempt_s, [this, gen](store::Answer&& q) {
            if (gen != generation_)
                return;
            if (q.status == 404)
                return claim(1, 0);
            if (q.status != 200 || !q.item || !q.item->value.is_object())
                return acquire_failed();
            claim(q.item->value.value("term", std::uint64_t{0}) + 1, q.item->mod_revision);
        });
    });
}

void LeaderElection::claim(std::uint64_t term, std::uint64_t term_counter_revision) {
    const auto gen = generation_;
    term_ = term;
    store_.transact(
        {{leader_key, 0}, {term_counter_key, term_counter_revision}},
        {{leader_key, Json{{"node", settings_.name}, {"hold", store_lease_}, {"term", term_}}, store_lease_},
         {term_counter_key, Json{{"term", term_}, {"n", 0}}, 0}},
        attempt_s, [this, gen](store::Answer&& answer) {
            // An answer that cannot be read settles nothing either.
            if ((answer.status == 0 && answer.sent) || answer.status == 502)
                leader_lease_.acquisition_in_doubt();
            if (gen != generation_)
                return;
            if (answer.status != 200)
                return acquire_failed();
            transactions_.begin(term_, answer.revision);
            became_leader();
        });
}

void LeaderElection::became_leader() {
    role_ = Role::loading;
    leader_ = settings_.name;
    leader_term_ = term_;
    acquired_at_ = timers_.now();
    leader_lease_.begin();
    served_peers_.clear();
    failed_renewal_sent_ = -1;
    leader_lease_.store_lease_renewed(store_lease_requested_at_); // counted from when it was asked for
    extended_by_votes_ = false;
    next_renew_ = 0;
    free_since_ = better_candidate_since_ = -1;
    ++acquisitions_;
    spdlog::info("took office, term {}", term_);
    spdlog::info("reached from here: {}", describe(members_.own_eligibility()));
    state_loader_.read_all([this](Snapshot&& stored) {
        role_ = Role::is_leader;
        host_.leadership_acquired(term_, std::move(stored));
        state_loader_.follow_jobs(
            [this](std::vector<codec::StoredJob>&& jobs) { host_.jobs_stored_by_others(std::move(jobs)); });
    });
}

void LeaderElection::renew() {
    const auto gen = generation_;
    const double sent = timers_.now(), ttl = leader_lease_.ttl_s();
    next_renew_ = sent + ttl / 6;
    store_.renew_lease(store_lease_, ttl / 5, [this, gen, sent](store::Answer&& answer) {
        if (gen != generation_)
            return;
        if (answer.status == 200 || answer.status == 503 || answer.status == 0)
            leader_lease_.record_store_answer(answer.status == 200, timers_.now());
        if (answer.status == 200)
            return leader_lease_.store_lease_renewed(sent);
        failed_renewal_sent_ = std::max(failed_renewal_sent_, sent);
        if (answer.status == 404)
            resign("the hold has ended");
    });
    if (!is_leader() || !leader_lease_.wants_extension_votes(sent))
        return;
    const auto body = Json{{"node", settings_.name}, {"term", term_}, {"forS", leader_lease_.extension_s()}}.dump();
    for (const auto& peer : settings_.peers)
        peers_.request(Lane::control, peer.name, "POST", peer_extension_vote, body, ttl / 5,
                       [this, gen, sent, name = peer.name](HttpReply&& reply) {
                           if (gen != generation_)
                               return;
                           if (reply.status == 409)
                               return extension_vote_refused(name, sent, reply.body);
                           if (reply.status != 200)
                               return;
                           if (!leader_lease_.extension_granted(name, sent, timers_.now()) || extended_by_votes_)
                               return;
                           extended_by_votes_ = true;
                           spdlog::info("the store does not answer; all others promise to wait");
                       });
}

// The store has just served that peer. Some more may say so before one of them is chosen.
void LeaderElection::extension_vote_refused(const std::string& peer, double sent, const std::string& answer) {
    const auto json = codec::parse(answer);
    if (!json.is_object() || !json.contains(served_field) || json[served_field] != true)
        return;
    served_peers_[peer] = sent;
    timers_.after(leader_lease_.ttl_s() / 40, [this, gen = generation_] {
        if (gen == generation_ && valid())
            resign_to_served_peer();
    });
}

// Cut off from the store while it serves others: the store lease runs out, and waiting for that gains nothing. But a
// refusal of one is often the beginning of an outage for all, and an outage that begins in the middle of a change finds
// nobody who may act: so it waits for a good part of the store lease, and others are fit to follow within the rest.
// That others are served must be news of this moment. (A view of 0.3 s ago said so when an outage had just begun: the
// leader that all others had promised to wait for resigned, nobody could take it for a minute, and 13,000 tasks were
// killed by their leases.) Nor does an old renewal alone say that the store refuses this node: its own loop may have
// been late, and no renewal was sent in that time or its answer lies unread. So a renewal that was sent after the last
// successful one must have failed. That is known long before the store lease is old enough: renewals go out six times a
// store lease and end within a fifth of it. Staying on is no risk: whether this node acts is decided by the store
// lease's end alone (LeaderLease::valid).
void LeaderElection::resign_to_served_peer() {
    const double now = timers_.now();
    const double renewed_at = leader_lease_.renewed_at();
    if (now - renewed_at <= unserved_lease_share * leader_lease_.ttl_s() || failed_renewal_sent_ <= renewed_at)
        return;
    std::vector<std::string> to;
    for (const auto& [name, at] : served_peers_)
        if (now - at < leader_lease_.ttl_s() / 4)
            to.push_back(name);
    if (to.empty())
        return;
    std::stable_sort(to.begin(), to.end(), [this](const std::string& a, const std::string& b) {
        return members_.eligibility(a) > members_.eligibility(b);
    });
    resign(fmt::format("the store serves {}, not this node", to.front()), to);
}

// A peer that is the leader cannot renew its store lease and asks us to leave it alone for a while. A
// read of our own tells whether it is the store or only that peer.
void LeaderElection::handle_extension_vote_request(const HttpRequest& request, const Responder& res) {
    const auto json = codec::parse(request.body);
    const auto length =
        json.is_object() && json.contains("forS") && json["forS"].is_number() ? json["forS"].get<double>() : -1;
    if (!(length > 0))
        return res.send(400, R"({"error":"forS is needed"})");
    store_.get(leader_key, leader_lease_.ttl_s() / 10, [this, res, length](store::Answer&& answer) {
        const bool failed = answer.status == 503 || answer.status == 0;
        leader_lease_.record_store_answer(!failed, timers_.now());
        if (leader_lease_.grant_extension(length, timers_.now(), role_ == Role::follower, failed))
            return res.send(200, "{}");
        res.send(409,
                 Json{{"error", "the store answers here, or an attempt is under way"}, {served_field, !failed}}.dump());
    });
}

// First this node stops acting, then it says so: a successor may decide from the moment that it can hear
// of it.
void LeaderElection::resign(const std::string& why, const std::vector<std::string>& successors) {
    if (role_ == Role::follower)
        return;
    spdlog::warn("term {} ends here: {}", term_, why);
    const auto hold = std::exchange(store_lease_, 0);
    ++generation_;
    role_ = Role::follower;
    leader_lease_.begin();
    leader_.clear();
    state_loader_.stop();
    transactions_.stop();
    host_.leadership_lost();
    if (hold != 0)
        store_.revoke_lease(hold, attempt_s, [](store::Answer&&) {});
    if (hold != 0 && !successors.empty()) {
        ++handovers_;
        offer_leadership(Json{{"node", settings_.name}, {"term", term_}, {"hold", hold}}.dump(), successors);
    }
    watch_leader_key_after(settings_.report_s / 10);
}

// To the first that can be reached. It ends the store lease if this node could not.
void LeaderElection::offer_leadership(const std::string& body, std::vector<std::string> to) {
    if (to.empty())
        return;
    const auto first = to.front();
    to.erase(to.begin());
    peers_.request(Lane::control, first, "POST", peer_takeover, body, attempt_s,
                   [this, body, to = std::move(to)](HttpReply&& reply) mutable {
                       if (reply.status != 200)
                           offer_leadership(body, std::move(to));
                   });
}

// A leader that has stopped acting asks us to take its place, and to end its store lease if it still stands. Such
// a request may come minutes late or twice: what it names is ended only if the leadership still names all of
// it, and a store lease that is ended once never comes back.
void LeaderElection::handle_takeover_request(const HttpRequest& request, const Responder& res) {
    const auto json = codec::parse(request.body);
    const auto number = [&](const char* field) {
        return json.is_object() && json.contains(field) && json[field].is_number_unsigned()
                   ? json[field].get<std::uint64_t>()
                   : 0;
    };
    const auto term = number("term"), hold = number("hold");
    const auto node =
        json.is_object() && json.contains("node") && json["node"].is_string() ? json["node"].get<std::string>() : "";
    if (node.empty() || term == 0 || hold == 0)
        return res.send(400, codec::error_answer("node, term and hold are needed"));
    if (role_ != Role::follower)
        return res.send(409, codec::error_answer("not a standby"));
    store_.get(leader_key, settings_.report_s / 4, [this, node, term, hold, res](store::Answer&& answer) {
        const auto take = [this, res] {
            res.send(200, "{}");
            if (role_ != Role::follower)
                return;
            ++generation_; // instead of the watch under way
            watch_leader_key();
        };
        if (answer.status == 404)
            return take();
        const bool same = answer.item && answer.item->value.is_object() &&
                          answer.item->value.value("node", std::string()) == node &&
                          answer.item->value.value("term", std::uint64_t{0}) == term &&
                          answer.item->value.value("hold", std::uint64_t{0}) == hold;
        if (!same)
            return res.send(409, codec::error_answer("the office does not name this hold"));
        store_.revoke_lease(hold, settings_.report_s / 4, [take](store::Answer&&) { take(); });
    });
}

std::vector<metrics::Value> LeaderElection::metrics() const {
    const auto of = [](std::uint64_t n) { return static_cast<double>(n); };
    return {{"heronshift_office_held", "by this controller: 1", valid() ? 1.0 : 0.0},
            {"heronshift_office_taken_total", "times this controller took the office", of(acquisitions_)},
            {"heronshift_office_handed_over_total", "times it gave the office to a fitter one", of(handovers_)},
            {"heronshift_office_deaf_total", "times it gave the office up for want of workers",
             of(resignations_without_workers_)}};
}

} // namespace heronshift::leadership
