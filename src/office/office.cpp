#include "heronshift/office/office.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <spdlog/spdlog.h>

namespace heronshift::office {
namespace {

using codec::Json;

constexpr const char* peer_promise = "/peer/promise";
constexpr const char* peer_office = "/peer/office";
constexpr double attempt_s = 1;      // for each step of taking the office
constexpr double deaf_reports = 2.5; // intervals without a word from any worker: this node is cut off
constexpr std::size_t few_machines = 4;

} // namespace

Office::Office(const Settings& s, Later& later, store::StateStore& store, Peers& peers, metrics::Timings& took,
               Host& host)
    : s_(s), later_(later), store_(store), peers_(peers), host_(host),
      // Short, so that others take over soon: outages of the store are bridged by promises.
      tenancy_(std::min(s.report_s, s.lease_s / 5), s.peers.size(), later.now()), reader_(s, later, store),
      commits_(s, later, store, took,
               {[this](TxnOutcome o) { host_.committed(o); }, [this](const std::string& why) { step_down(why); },
                [this] { return valid(); }}) {}

void Office::start() {
    watch();
}

void Office::stop() {
    if (held()) step_down("this node is ending");
}

void Office::tick() {
    const double t = later_.now();
    if ((state_ == State::held || state_ == State::loading) && t >= next_renew_) renew();
    // Cut off from all workers at once, this node is the wrong holder: their leases would run out.
    if (valid() && t - std::max(workers_heard_, taken_at_) > deaf_reports * s_.report_s &&
        host_.machines_up() >= few_machines) {
        resting_until_ = t + s_.lease_s;
        step_down("no worker has been heard of for a while");
    }
}

// Waits for a change of the office, then looks at it afresh.
void Office::watch() {
    if (state_ != State::standby) return;
    const auto gen = generation_;
    store_.get(office_key, s_.report_s / 2, [this, gen](store::Answer&& r) {
        if (gen == generation_ && state_ == State::standby) seen(r);
    });
}

void Office::watch_again(double delay_s) {
    const auto gen = generation_;
    later_.after(delay_s, [this, gen] {
        if (gen == generation_) watch();
    });
}

void Office::seen(const store::Answer& r) {
    const double t = later_.now();
    tenancy_.store_read(r.status == 200 || r.status == 404, t);
    if (r.status == 404) {
        holder_.clear();
        spdlog::debug("the office is free{}", tenancy_.may_take(t) ? "" : ", but we promised to wait");
        if (!tenancy_.may_take(t)) return watch_again(std::max(0.01, tenancy_.not_before() - t));
        if (t < resting_until_) return watch_again(s_.report_s / 6);
        acquire();
        return;
    }
    const auto& item = r.item;
    if (!item || !item->value.is_object()) {
        ask_for_holder();
        return watch_again(s_.report_s / 6);
    }
    const auto name = item->value.value("node", std::string());
    if (name == s_.name) {
        // We have just started: the process that held the office under our name is dead.
        const auto hold = item->value.value("hold", std::uint64_t{0});
        tenancy_.found_own_name();
        spdlog::info("the office is held by an earlier process of this node, ending its hold {}", hold);
        const auto gen = generation_;
        store_.end_hold(hold, s_.report_s / 2, [this, gen](store::Answer&&) {
            if (gen == generation_) watch_again(0.01);
        });
        return;
    }
    if (name != holder_) spdlog::info("the office is held by {}", name);
    holder_ = name;
    holder_term_ = item->value.value("term", std::uint64_t{0});
    const auto gen = generation_;
    store_.follow(office_key, item->stamp, s_.report_s, [this, gen](store::Answer&& f) {
        if (gen == generation_) watch_again(f.status == 200 ? 0 : s_.report_s / 6);
    });
}

// While the store does not answer this node, the others may know who holds the office. It is only a
// hint, for passing on requests and sending workers to the right place.
void Office::ask_for_holder() {
    for (const auto& p : s_.peers)
        peers_.request(p.name, "GET", peer_office, "", s_.report_s / 4, [this](HttpReply&& r) {
            const auto j = r.status == 200 ? codec::parse(r.body) : Json();
            if (!j.is_object() || !j.contains("holder") || !j["holder"].is_string()) return;
            const auto name = j["holder"].get<std::string>();
            const auto term = j.value("term", std::uint64_t{0});
            if (state_ != State::standby || name.empty() || name == s_.name || term < holder_term_) return;
            if (name != holder_) spdlog::info("the office is held by {}, says a peer", name);
            holder_ = name;
            holder_term_ = term;
        });
}

void Office::acquire_failed() {
    spdlog::debug("the office was not to be had");
    if (hold_ != 0) store_.end_hold(hold_, attempt_s, [](store::Answer&&) {});
    state_ = State::standby;
    ++generation_;
    watch_again(s_.report_s / 10);
}

void Office::acquire() {
    state_ = State::acquiring;
    const auto gen = ++generation_;
    hold_ = 0;
    hold_sent_ = later_.now();
    store_.hold(tenancy_.ttl_s(), attempt_s, [this, gen](store::Answer&& r) {
        if (gen != generation_) return;
        if (r.status != 200) return acquire_failed();
        hold_ = r.lease;
        store_.get(round_key, attempt_s, [this, gen](store::Answer&& q) {
            if (gen != generation_) return;
            if (q.status == 404) return claim(1, 0);
            if (q.status != 200 || !q.item || !q.item->value.is_object()) return acquire_failed();
            claim(q.item->value.value("term", std::uint64_t{0}) + 1, q.item->stamp);
        });
    });
}

void Office::claim(std::uint64_t term, std::uint64_t round_stamp) {
    const auto gen = generation_;
    term_ = term;
    store_.transact({{office_key, 0}, {round_key, round_stamp}},
                    {{office_key, Json{{"node", s_.name}, {"hold", hold_}, {"term", term_}}, hold_},
                     {round_key, Json{{"term", term_}, {"n", 0}}, 0}},
                    attempt_s, [this, gen](store::Answer&& t) {
                        // An answer that cannot be read settles nothing either.
                        if ((t.status == 0 && t.sent) || t.status == 502) tenancy_.attempt_unresolved();
                        if (gen != generation_) return;
                        if (t.status != 200) return acquire_failed();
                        commits_.begin(term_, t.epoch);
                        took();
                    });
}

void Office::took() {
    state_ = State::loading;
    holder_ = s_.name;
    holder_term_ = term_;
    taken_at_ = later_.now();
    tenancy_.begin();
    tenancy_.hold_extended(hold_sent_); // counted from when it was asked for
    carried_ = false;
    next_renew_ = 0;
    spdlog::info("took office, term {}", term_);
    reader_.read_all([this](Snapshot&& stored) {
        state_ = State::held;
        host_.entered(term_, std::move(stored));
        reader_.follow_jobs([this](std::vector<codec::StoredJob>&& jobs) { host_.jobs_seen(std::move(jobs)); });
    });
}

void Office::renew() {
    const auto gen = generation_;
    const double sent = later_.now(), ttl = tenancy_.ttl_s();
    next_renew_ = sent + ttl / 6;
    store_.extend(hold_, ttl / 5, [this, gen, sent](store::Answer&& r) {
        if (gen != generation_) return;
        if (r.status == 200)
            tenancy_.hold_extended(sent);
        else if (r.status == 404)
            step_down("the hold has ended");
    });
    if (!held() || !tenancy_.wants_promises(sent)) return;
    const auto body = Json{{"node", s_.name}, {"term", term_}, {"forS", tenancy_.promise_s()}}.dump();
    for (const auto& p : s_.peers)
        peers_.request(p.name, "POST", peer_promise, body, ttl / 5, [this, gen, sent, name = p.name](HttpReply&& r) {
            if (gen != generation_ || r.status != 200) return;
            if (!tenancy_.promised(name, sent, later_.now()) || carried_) return;
            carried_ = true;
            spdlog::info("the store does not answer; all others promise to wait");
        });
}

// A peer that holds the office cannot renew its hold and asks us to leave it alone for a while. A
// read of our own tells whether it is the store or only that peer.
void Office::asked_to_promise(const HttpRequest& r, const Responder& res) {
    const auto j = codec::parse(r.body);
    const auto length = j.is_object() && j.contains("forS") && j["forS"].is_number() ? j["forS"].get<double>() : -1;
    if (!(length > 0)) return res.send(400, R"({"error":"forS is needed"})");
    store_.get(office_key, tenancy_.ttl_s() / 10, [this, res, length](store::Answer&& a) {
        const bool failed = a.status == 503 || a.status == 0;
        tenancy_.store_read(!failed, later_.now());
        if (tenancy_.promise(length, later_.now(), state_ == State::standby, failed)) return res.send(200, "{}");
        res.send(409, R"({"error":"the store answers here, or an attempt is under way"})");
    });
}

void Office::step_down(const std::string& why) {
    if (state_ == State::standby) return;
    spdlog::warn("term {} ends here: {}", term_, why);
    if (hold_ != 0) store_.end_hold(hold_, attempt_s, [](store::Answer&&) {});
    ++generation_;
    state_ = State::standby;
    tenancy_.begin();
    hold_ = 0;
    holder_.clear();
    reader_.stop();
    commits_.stop();
    host_.left();
    watch_again(s_.report_s / 10);
}

} // namespace heronshift::office
