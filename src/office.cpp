// Leadership: one store key, held under a hold, names the holder; a second key, the round, counts
// terms and transactions and outlives the hold. See docs/safety.md.
#include "heronshift/node.hpp"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

namespace heronshift {
namespace {

constexpr const char* office_key = "office";
constexpr const char* round_key = "round";
constexpr const char* peer_promise = "/peer/promise";
constexpr const char* peer_office = "/peer/office";
constexpr int records_a_page = 500;

} // namespace

// Waits for a change of the office, then looks at it afresh.
void Node::watch_office() {
    if (office_ != Office::standby) return;
    const auto gen = generation_;
    get(office_key, s_.report_s / 2, [this, gen](store::Answer&& r) {
        if (gen != generation_ || office_ != Office::standby) return;
        office_seen(r);
    });
}

void Node::office_seen(const store::Answer& r) {
    const auto gen = generation_;
    auto again = [this, gen](double delay) {
        after(delay, [this, gen] {
            if (gen == generation_) watch_office();
        });
    };
    tenancy_.store_read(r.status == 200 || r.status == 404, now());
    if (r.status == 404) {
        holder_.clear();
        spdlog::debug("the office is free{}", tenancy_.may_take(now()) ? "" : ", but we promised to wait");
        if (!tenancy_.may_take(now())) return again(std::max(0.01, tenancy_.not_before() - now()));
        if (now() < resting_until_) return again(s_.report_s / 6);
        acquire();
        return;
    }
    const auto& item = r.item;
    if (!item || !item->value.is_object()) {
        ask_for_holder();
        return again(s_.report_s / 6);
    }
    const auto name = item->value.value("node", std::string());
    if (name == s_.name) {
        // We have just started: the process that held the office under our name is dead.
        const auto hold = item->value.value("hold", std::uint64_t{0});
        tenancy_.found_own_name();
        spdlog::info("the office is held by an earlier process of this node, ending its hold {}", hold);
        end_hold(hold, s_.report_s / 2, [again](store::Answer&&) { again(0.01); });
        return;
    }
    if (name != holder_) spdlog::info("the office is held by {}", name);
    holder_ = name;
    office_term_ = item->value.value("term", std::uint64_t{0});
    const double block = s_.report_s;
    store_->follow(office_key, item->stamp, block, [this, gen, again](store::Answer&& f) {
        if (gen != generation_) return;
        again(f.status == 200 ? 0 : s_.report_s / 6);
    });
}

// While the store does not answer this node, the others may know who holds the office. It is only a
// hint, for passing on requests and sending workers to the right place.
void Node::ask_for_holder() {
    for (const auto& p : s_.peers)
        peer_client_.request(p.addr.str(), "GET", peer_office, "", s_.report_s / 4, [this](HttpReply&& r) {
            const auto j = r.status == 200 ? codec::parse(r.body) : Json();
            if (!j.is_object() || !j.contains("holder") || !j["holder"].is_string()) return;
            const auto name = j["holder"].get<std::string>();
            const auto term = j.value("term", std::uint64_t{0});
            if (office_ != Office::standby || name.empty() || name == s_.name || term < office_term_) return;
            if (name != holder_) spdlog::info("the office is held by {}, says a peer", name);
            holder_ = name;
            office_term_ = term;
        });
}

void Node::acquire() {
    office_ = Office::acquiring;
    const auto gen = ++generation_;
    hold_ = 0;
    auto fail = [this, gen] {
        if (gen != generation_) return;
        spdlog::debug("the office was not to be had");
        if (hold_ != 0) end_hold(hold_, 1, [](store::Answer&&) {});
        office_ = Office::standby;
        ++generation_;
        after(s_.report_s / 10, [this, g = generation_] {
            if (g == generation_) watch_office();
        });
    };
    hold_sent_ = now();
    store_->hold(tenancy_.ttl_s(), 1, watched([this, gen, fail](store::Answer&& r) {
                     if (gen != generation_) return;
                     if (r.status != 200) return fail();
                     hold_ = r.lease;
                     get(round_key, 1, [this, gen, fail](store::Answer&& q) {
                         if (gen != generation_) return;
                         std::uint64_t term = 0, stamp = 0;
                         if (q.status == 200) {
                             if (!q.item || !q.item->value.is_object()) return fail();
                             term = q.item->value.value("term", std::uint64_t{0});
                             stamp = q.item->stamp;
                         } else if (q.status != 404) {
                             return fail();
                         }
                         term_ = term + 1;
                         transact({{office_key, 0}, {round_key, stamp}},
                                  {{office_key, Json{{"node", s_.name}, {"hold", hold_}, {"term", term_}}, hold_},
                                   {round_key, Json{{"term", term_}, {"n", 0}}, 0}},
                                  1, [this, gen, fail](store::Answer&& t) {
                                      // An answer that cannot be read settles nothing either.
                                      if ((t.status == 0 && t.sent) || t.status == 502) tenancy_.attempt_unresolved();
                                      if (gen != generation_) return;
                                      if (t.status != 200) return fail();
                                      office_stamp_ = round_stamp_ = t.epoch;
                                      round_seq_ = 0;
                                      take_office();
                                  });
                     });
                 }));
}

// Reads everything below a prefix, page by page.
void Node::load(const std::string& prefix, const std::string& since, std::vector<codec::Item>* into,
                std::function<void()> next) {
    const auto gen = generation_;
    store_->list(prefix, since, records_a_page, 2, watched([=, this](store::Answer&& page) {
                     if (gen != generation_) return;
                     if (page.status != 200) {
                         after(s_.report_s / 10, [=, this] {
                             if (gen == generation_) load(prefix, since, into, next);
                         });
                         return;
                     }
                     if (prefix == "j/" && since.empty()) follow_epoch_ = page.epoch;
                     std::string last;
                     for (auto& i : page.items) {
                         last = i.key;
                         into->push_back(std::move(i));
                     }
                     if (page.more && !last.empty()) return load(prefix, last, into, next);
                     next();
                 }));
}

void Node::take_office() {
    office_ = Office::loading;
    holder_ = s_.name;
    office_term_ = term_;
    office_at_ = now();
    tenancy_.begin();
    tenancy_.hold_extended(hold_sent_); // counted from when it was asked for
    carried_ = false;
    next_renew_ = 0;
    spdlog::info("took office, term {}", term_);
    snapshot_ = {};
    // All at once: only jobs can still change, by other nodes, and those changes are followed.
    loads_left_ = 8;
    auto read = [this] {
        if (--loads_left_ > 0) return;
        const double at = now(), wall_at = wall();
        if (log_) log_->begin(s_, term_, snapshot_, at, wall_at);
        core_ = std::make_unique<Core>(s_, term_, snapshot_, at, wall_at);
        spdlog::info("term {}: {} jobs and {} records read", term_, snapshot_.jobs.size(),
                     snapshot_.intents.size() + snapshot_.progress.size() + snapshot_.earlier.size());
        snapshot_ = {};
        office_ = Office::held;
        queue_.clear();
        if (!types_.empty()) push(TypesKnown{types_});
        next_list_ = 0;
        follow_jobs();
        arm();
    };
    load("j/", "", &snapshot_.jobs, read);
    load("i/", "", &snapshot_.intents, read);
    load("p/", "", &snapshot_.progress, read); // as the versions before wrote it
    load("q/", "", &snapshot_.progress, read);
    load("c/", "", &snapshot_.images, read);
    load("l/", "", &snapshot_.learned, read);
    load("m/", "", &snapshot_.earlier, read);
    load("d/", "", &snapshot_.earlier, read);
}

void Node::renew() {
    const auto gen = generation_;
    const double sent = now(), ttl = tenancy_.ttl_s();
    next_renew_ = sent + ttl / 6;
    store_->extend(hold_, ttl / 5, watched([this, gen, sent](store::Answer&& r) {
                       if (gen != generation_) return;
                       if (r.status == 200)
                           tenancy_.hold_extended(sent);
                       else if (r.status == 404)
                           step_down("the hold has ended");
                   }));
    if (office_ != Office::held || !tenancy_.wants_promises(sent)) return;
    const auto body = Json{{"node", s_.name}, {"term", term_}, {"forS", tenancy_.promise_s()}}.dump();
    for (const auto& p : s_.peers)
        peer_client_.request(p.addr.str(), "POST", peer_promise, body, ttl / 5,
                             [this, gen, sent, name = p.name](HttpReply&& r) {
                                 if (gen != generation_ || r.status != 200) return;
                                 if (!tenancy_.promised(name, sent, now()) || carried_) return;
                                 carried_ = true;
                                 spdlog::info("the store does not answer; all others promise to wait");
                             });
}

// A peer that holds the office cannot renew its hold and asks us to leave it alone for a while. A
// read of our own tells whether it is the store or only that peer.
void Node::asked_to_promise(const HttpRequest& r, const Responder& res) {
    const auto j = codec::parse(r.body);
    const auto length = j.is_object() && j.contains("forS") && j["forS"].is_number() ? j["forS"].get<double>() : -1;
    if (!(length > 0)) return res.send(400, R"({"error":"forS is needed"})");
    get(office_key, tenancy_.ttl_s() / 10, [this, res, length](store::Answer&& a) {
        const bool failed = a.status == 503 || a.status == 0;
        tenancy_.store_read(!failed, now());
        if (tenancy_.promise(length, now(), office_ == Office::standby, failed)) return res.send(200, "{}");
        res.send(409, R"({"error":"the store answers here, or an attempt is under way"})");
    });
}

void Node::step_down(const std::string& why) {
    if (office_ == Office::standby) return;
    spdlog::warn("term {} ends here: {}", term_, why);
    if (hold_ != 0) end_hold(hold_, 1, [](store::Answer&&) {});
    ++generation_;
    office_ = Office::standby;
    tenancy_.begin();
    hold_ = 0;
    holder_.clear();
    queue_.clear();
    core_.reset();
    cloud_queue_.clear();
    for (const auto& [h, open] : std::exchange(beats_, {})) open.done({});
    for (auto& [h, o] : cancels_) o.res.send(503, "{}", 1);
    cancels_.clear();
    after(s_.report_s / 10, [this, g = generation_] {
        if (g == generation_) watch_office();
    });
}

// Other nodes accept jobs too; the holder learns of them here.
void Node::follow_jobs() {
    const auto gen = generation_;
    const double block = s_.lease_s / 2;
    store_->follow("j/", follow_epoch_, block, [this, gen](store::Answer&& r) {
        if (gen != generation_ || !core_) return;
        auto again = [this, gen](double delay) {
            after(delay, [this, gen] {
                if (gen == generation_) follow_jobs();
            });
        };
        if (r.status == 410) { // too far behind: everything is read again
            snapshot_ = {};
            load("j/", "", &snapshot_.jobs, [this, again] {
                for (auto& i : snapshot_.jobs)
                    if (auto j = codec::stored_job(i.value, wall()); j) push(job_stored(std::move(*j), wall()));
                snapshot_ = {};
                arm();
                again(0);
            });
            return;
        }
        if (r.status != 200) return again(s_.report_s / 10);
        follow_epoch_ = std::max(follow_epoch_, r.epoch);
        for (auto& i : r.items) {
            if (i.deleted) continue;
            if (auto j = codec::stored_job(i.value, wall()); j) push(job_stored(std::move(*j), wall()));
        }
        arm();
        again(0);
    });
}

// Every transaction of a term guards the office and continues the round's count, so that each
// makes all earlier ones that are still under way fail.
void Node::commit(Commit c, int tries) {
    const auto gen = generation_;
    auto writes = c.writes;
    writes.push_back({round_key, Json{{"term", term_}, {"n", round_seq_ + 1}}, 0});
    transact({{office_key, office_stamp_}, {round_key, round_stamp_}}, writes, s_.report_s / 3,
             [this, gen, c = std::move(c), tries, began = now()](store::Answer&& r) mutable {
                 if (gen != generation_ || !core_) return;
                 if (r.status == 200) {
                     took_.commit.add(now() - began);
                     round_stamp_ = r.epoch;
                     ++round_seq_;
                     push(Committed{TxnOutcome::applied});
                     return arm();
                 }
                 if ((r.status == 429 || r.status == 503 || r.status == 400) && tries == 0) {
                     // Surely not executed.
                     if (r.status == 400) spdlog::error("the state service calls a transaction malformed: {}", r.error);
                     const auto outcome = r.status == 400 ? TxnOutcome::too_large : TxnOutcome::refused;
                     after(s_.report_s / 20, [this, gen, outcome] {
                         if (gen != generation_) return;
                         push(Committed{outcome});
                         arm();
                     });
                     return;
                 }
                 resolve_commit(std::move(c), tries + 1);
             });
}

// The outcome is open, or a guard failed: the round says whether the transaction was applied.
void Node::resolve_commit(Commit c, int tries) {
    const auto gen = generation_;
    get(round_key, s_.report_s / 3, [this, gen, c = std::move(c), tries](store::Answer&& r) mutable {
        if (gen != generation_ || !core_) return;
        const auto& item = r.item;
        if (!item || !item->value.is_object()) {
            after(s_.report_s / 10, [this, gen, c = std::move(c), tries]() mutable {
                if (gen == generation_) resolve_commit(std::move(c), tries);
            });
            return;
        }
        if (item->value.value("term", std::uint64_t{0}) != term_) return step_down("another term has begun");
        if (item->value.value("n", std::uint64_t{0}) == round_seq_ + 1) {
            round_stamp_ = item->stamp;
            ++round_seq_;
            push(Committed{TxnOutcome::applied});
            return arm();
        }
        if (tries > 3 && office_ == Office::held && !valid()) return step_down("no office and no answer");
        commit(std::move(c), tries);
    });
}

} // namespace heronshift
