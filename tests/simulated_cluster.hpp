// A simulated cluster for scenarios: a store, a cloud, workers that follow the protocol, a network that delays, loses
// and holds back messages, and either one controller whose test starts a new term by calling `acquire_leadership`, or
// several controllers that compete for the leadership. The rules are checked after every step.
#pragma once

#include "machines.hpp"

#include "core/core.hpp"
#include "leadership/leader_lease.hpp"
#include "persistence/stored_records.hpp"
#include "replay/command_log.hpp"

#include <memory>

namespace heronshift::testing {

struct SimulatedCluster : Machines {
    struct Message {
        double at = 0;
        std::function<void()> f;
    };

    struct Controller {
        std::string name;
        std::unique_ptr<Core> core; // set while it is the leader or takes itself for it
        std::vector<Command> queue;
        std::uint64_t incarnation = 0, term = 0, store_lease = 0; // answers to an earlier `incarnation` are dropped
        std::optional<LeaderLease> leader_lease;                  // none: the only controller, which may always act
        bool alive = true, acquiring = false, no_store = false, no_workers = false, no_peers = false;
        // Runs the version before job chains: `start_core`, `submit` and `perform` skip what it lacks.
        bool runs_old_version = false;
        double clock_rate = 1, restarts_at = 0, next_store_check = 0, next_renew = 0;
    };

    explicit SimulatedCluster(unsigned seed, std::size_t count = 1)
        : Machines(seed), controllers(count), core(controllers[0].core) {
        for (std::size_t i = 0; i < count; ++i) {
            controllers[i].name = fmt::format("berth-{}", i);
            if (count == 1)
                continue;
            controllers[i].clock_rate = between(0.9995, 1.0005); // the steady clocks of different hosts drift apart
            controllers[i].leader_lease.emplace(ttl_s(), count - 1, 0);
        }
    }
    Settings old_settings = settings;
    double heartbeat_loss = 0, order_loss = 0, delayed_share = 0;
    // `enforce_store_limits`: a transaction above the store's limits is a violation.
    bool store_down = false, enforce_store_limits = false;
    bool check_orphaned = true;
    std::map<std::string, codec::Json> store;
    struct LeaderRecord {
        std::size_t node = 0;
        std::uint64_t store_lease = 0, term = 0;
    };
    std::optional<LeaderRecord> leader_record;
    std::map<std::uint64_t, double> store_leases; // expiry time by lease
    std::uint64_t term = 0, store_lease_seq = 0;
    // `steps_on_votes_alone`: steps in which extension votes alone kept the leadership.
    int acquisitions = 0, steps_on_votes_alone = 0;
    std::map<std::string, double> submitted;
    std::set<std::string> cancellations_requested;   // jobs whose users requested the cancellation
    std::map<std::string, std::string> final_states; // final states that users were told, by job
    std::vector<Message> messages;
    std::vector<Controller> controllers;
    std::unique_ptr<Core>& core; // of the first controller
    std::map<std::uint64_t, std::function<void(int, std::uint64_t, std::vector<Order>)>> heartbeats;
    std::map<std::uint64_t, std::string> cancels;
    std::uint64_t handles = 0;
    int capacity = 6; // machines that can still be rented
    // If set: the number of on-demand machines that can still be rented; `capacity` counts spot machines only then.
    std::optional<int> on_demand_capacity;
    int machines = 0, steps = 0;
    std::set<std::string> rental_claims;
    std::function<void(const std::vector<codec::Write>&)> on_commit;
    replay::CommandLog* log = nullptr; // if set, records the commands and effects of the only controller

    void send(double delay, std::function<void()> f) {
        messages.push_back({now + delay, std::move(f)});
    }
    [[nodiscard]] double ttl_s() const {
        return std::min(settings.report_s, settings.lease_s / 5);
    }
    [[nodiscard]] bool several() const {
        return controllers.size() > 1;
    }
    [[nodiscard]] bool may_act(const Controller& c) const {
        return c.alive && c.core && (!c.leader_lease || c.leader_lease->valid(now * c.clock_rate));
    }

    // Starts a new term on the first controller, which knows only what the store holds.
    void acquire_leadership() {
        ++term;
        start_core(controllers[0]);
    }

    void start_core(Controller& c) {
        ++c.incarnation;
        ++acquisitions;
        c.term = term;
        Snapshot s;
        for (const auto& [k, v] : store) {
            // The old version ignores job records without a spec, and does not know the keys q/ and x/.
            if (c.runs_old_version && (k.starts_with("q/") || (k.starts_with("j/") && !v.contains("spec"))))
                continue;
            codec::Item i{k, v, 1, false};
            if (k.starts_with("j/"))
                s.jobs.push_back(i);
            if (k.starts_with("i/"))
                s.intents.push_back(i);
            if (k.starts_with("p/") || k.starts_with("q/"))
                s.progress.push_back(i);
            if (k.starts_with("c/"))
                s.images.push_back(i);
            if (k.starts_with("l/"))
                s.learned.push_back(i);
            if (k.starts_with("x/") && !c.runs_old_version)
                s.cascades.push_back(i);
            if (k.starts_with("m/") || k.starts_with("d/"))
                s.legacy.push_back(i);
        }
        c.queue.clear();
        if (log != nullptr)
            log->begin(settings, c.term, s, now * c.clock_rate, now);
        c.core =
            std::make_unique<Core>(c.runs_old_version ? old_settings : settings, c.term, s, now * c.clock_rate, now);
        c.queue.push_back(MachineTypesKnown{small_types()});
        c.queue.push_back(list());
    }

    bool rent_one(bool spot) {
        auto& left = capacity_left(spot);
        if (left <= 0)
            return false;
        --left;
        return true;
    }
    int& capacity_left(bool spot) {
        return !spot && on_demand_capacity ? *on_demand_capacity : capacity;
    }
    void give_back(const std::string& id) {
        const auto it = workers.find(id);
        if (it == workers.end())
            return;
        ++capacity_left(it->second.spot);
        workers.erase(it);
    }

    MachinesListed list() const {
        MachinesListed l;
        for (const auto& [id, w] : workers)
            if (!w.dead)
                l.machines.push_back({w.id, w.addr, "m8", w.zone, "running", w.spot, now - w.rented_at});
        return l;
    }

    void submit(JobSpec spec) {
        jobs[spec.id] = spec;
        const bool waits = !spec.dependencies.empty();
        store["j/" + spec.id] = codec::to_record({spec, now, -1, waits, {}});
        submitted[spec.id] = now;
        for (auto& c : controllers)
            if (c.core && !(c.runs_old_version && waits))
                send(between(0, 0.3), [this, &c, incarnation = c.incarnation, spec, at = now, waits] {
                    if (c.incarnation == incarnation && c.core)
                        c.queue.push_back(JobStored{spec, now - at, -1, waits});
                });
    }

    void cancel(const std::string& id) {
        if (store.contains("f/" + id))
            return;
        cancellations_requested.insert(id);
        for (auto& c : controllers) {
            if (!may_act(c))
                continue;
            const auto h = ++handles;
            cancels[h] = id;
            c.queue.push_back(CancellationRequested{id, h});
        }
    }

    void crash(Controller& c, double for_s) {
        c.core.reset();
        ++c.incarnation;
        c.alive = c.acquiring = false;
        c.restarts_at = now + for_s;
    }

    void end_store_outage() {
        store_down = false;
        for (auto& [id, until] : store_leases)
            until = now + ttl_s(); // after an outage every lease gets its full time again
    }

    bool in_cascade_record(const std::string& id) const {
        for (auto it = store.lower_bound("x/"); it != store.end() && it->first.starts_with("x/"); ++it) {
            const auto jobs = persistence::decode_cascade(it->second);
            if (std::find(jobs.begin(), jobs.end(), id) != jobs.end())
                return true;
        }
        return false;
    }

    std::optional<codec::Json> stored(const std::string& key) override {
        const auto it = store.find(key);
        return it == store.end() ? std::nullopt : std::optional(it->second);
    }

    void heartbeat_if_due(Worker& w) override {
        if (now < w.next_heartbeat)
            return;
        w.next_heartbeat = now + settings.report_s * between(0.75, 1.25);
        if (w.cut)
            return;
        const double sent = now;
        auto r = heartbeat(w);
        const double delay = chance() < delayed_share ? between(5, 60) : between(0, 0.2);
        if (chance() < heartbeat_loss || !can_send(r))
            return;
        send(delay, [this, id = w.id, r, sent, agent_epoch = w.agent_epoch, node = w.node] {
            auto& c = controllers[node];
            auto refused = [this, id] {
                if (auto it = workers.find(id); it != workers.end())
                    it->second.node = chance() < 0.5 || !leader_record ? (it->second.node + 1) % controllers.size()
                                                                       : leader_record->node;
            };
            if (!c.core || c.no_workers)
                return refused();
            const auto h = ++handles;
            heartbeats[h] = [this, id, sent, agent_epoch, refused](int status, std::uint64_t fencing_token,
                                                                   std::vector<Order> orders) {
                if (status != 200)
                    return refused();
                check_length(orders, max_response_line_bytes);
                send(between(0, 0.2), [this, id, sent, agent_epoch, fencing_token, orders] {
                    auto it = workers.find(id);
                    if (it == workers.end() || it->second.dead || it->second.hung || it->second.cut)
                        return;
                    auto& x = it->second;
                    if (now > sent + 4 || x.agent_epoch != agent_epoch || fencing_token < x.fencing_token)
                        return;
                    x.fencing_token = fencing_token;
                    x.lease_from = std::max(x.lease_from, sent);
                    execute(x, orders);
                });
            };
            c.queue.push_back(HeartbeatReceived{r, h});
        });
    }

    void perform(Controller& c, const Effect& effect) {
        auto enqueue = [this, &c, incarnation = c.incarnation](Command a) {
            if (c.incarnation == incarnation && c.core)
                c.queue.push_back(std::move(a));
        };
        if (const auto* commit = std::get_if<Commit>(&effect)) {
            if (on_commit)
                on_commit(commit->writes);
            send(between(0.01, 0.5), [this, &c, enqueue, t = c.term, writes = commit->writes] {
                if (t != term || (several() && (!leader_record || leader_record->term != t)))
                    return; // the guards fail
                TxnOutcome out = TxnOutcome::refused;
                if (!store_down && !c.no_store) {
                    out = TxnOutcome::applied;
                    if (writes.size() + 1 > static_cast<std::size_t>(settings.txn_ops))
                        out = TxnOutcome::too_large;
                    for (const auto& w : writes)
                        if (w.value && w.value->dump().size() > settings.value_kb * 1024)
                            out = TxnOutcome::too_large;
                    if (out == TxnOutcome::too_large && enforce_store_limits) {
                        violations.push_back("transaction above the store's limits");
                        return enqueue(Committed{out});
                    }
                    out = TxnOutcome::applied;
                    for (const auto& w : writes) {
                        if (c.runs_old_version && w.key.starts_with("q/"))
                            continue;
                        if (w.value)
                            store[w.key] = *w.value;
                        else
                            store.erase(w.key);
                    }
                }
                enqueue(Committed{out});
            });
        } else if (const auto* o = std::get_if<SendOrders>(&effect)) {
            check_length(o->orders, max_request_body_bytes);
            const bool lost = chance() < order_loss, held = chance() < delayed_share;
            const double delay = held ? between(3, 90) : between(0, 0.1);
            auto answer = [enqueue](OrdersAnswered a) { enqueue(std::move(a)); };
            if (!lost && !c.no_workers)
                send(delay, [this, o = *o, answer, held] {
                    auto it = workers.find(o.machine);
                    if (it == workers.end() || it->second.dead || it->second.hung || it->second.cut)
                        return;
                    auto& w = it->second;
                    OrdersAnswered a{o.machine, o.batch, 409, true, std::nullopt};
                    if (o.fencing_token >= w.fencing_token && o.agent_epoch == w.agent_epoch) {
                        w.fencing_token = o.fencing_token;
                        execute(w, o.orders);
                        a.status = 200;
                    }
                    a.heartbeat = heartbeat(w);
                    if (!held)
                        send(between(0, 0.1), [answer, a] { answer(a); });
                });
            send(1.0, [answer, o = *o] { answer({o.machine, o.batch, 0, true, std::nullopt}); });
        } else if (const auto* b = std::get_if<AnswerHeartbeat>(&effect)) {
            if (auto it = heartbeats.find(b->handle); it != heartbeats.end()) {
                it->second(b->status, b->fencing_token, b->orders);
                heartbeats.erase(it);
            }
        } else if (const auto* a = std::get_if<AnswerCancellation>(&effect)) {
            if (a->status.empty())
                return;
            const auto& id = cancels[a->handle];
            record_status(id, a->status);
            if (a->status == codec::status_cancelled)
                cancelled.emplace(id, now);
        } else if (const auto* r = std::get_if<Rent>(&effect)) {
            if (!rental_claims.insert(r->claim).second)
                violations.push_back("claim used for a second rental: " + r->claim);
            Rented out{r->claim, RentOutcome::no_capacity, {}};
            for (int i = 0; i < r->count && rent_one(r->spot); ++i) {
                out.outcome = RentOutcome::rented;
                const auto id = fmt::format("n-{:04}", ++machines);
                out.machines.push_back(id);
                send(between(1, 5), [this, id, r = *r, at = now] {
                    Worker w;
                    w.rented_at = at;
                    w.id = id;
                    w.zone = r.zone;
                    w.addr = id;
                    w.spot = r.spot;
                    w.lease_from = w.next_heartbeat = now;
                    workers[id] = w;
                });
            }
            send(0.2, [enqueue, out] { enqueue(out); });
        } else if (const auto* r = std::get_if<Release>(&effect)) {
            send(0.2, [this, enqueue, list = r->machines] {
                for (const auto& m : list)
                    give_back(m);
                enqueue(Released{list, true});
            });
        } else if (const auto* f = std::get_if<FindJob>(&effect)) {
            send(between(0, 0.1), [this, &c, enqueue, id = f->id] {
                JobFound found{id, Known::no_answer, std::nullopt};
                if (store_down || c.no_store)
                    return enqueue(found);
                const auto j = store.find("j/" + id);
                found.state = j == store.end() ? Known::never : Known::open;
                if (j != store.end())
                    if (auto r = codec::stored_job(j->second, now); r)
                        found.job = job_stored(std::move(*r), now);
                if (in_cascade_record(id))
                    found.state = Known::cancelled;
                if (const auto x = store.find("f/" + id); x != store.end())
                    found.state = x->second["s"] == codec::status_done ? Known::done : Known::cancelled;
                enqueue(found);
            });
        } else if (std::get_if<Resign>(&effect) != nullptr) {
            c.core.reset();
            ++c.incarnation;
        }
    }

    // A controller's part in leader election, as src/leadership.cpp does it over the wire.
    void run_leader_lease(std::size_t i) {
        auto& c = controllers[i];
        const double t = now * c.clock_rate;
        if (!c.alive) {
            if (now < c.restarts_at)
                return;
            c.alive = true;
            c.leader_lease.emplace(ttl_s(), controllers.size() - 1, t);
        }
        for (auto it = store_leases.begin(); it != store_leases.end();) {
            const bool ended = !store_down && now > it->second + 0.05;
            if (ended && leader_record && leader_record->store_lease == it->first)
                leader_record.reset();
            it = ended ? store_leases.erase(it) : std::next(it);
        }
        const bool served = !store_down && !c.no_store;
        if (c.core && t >= c.next_renew) {
            c.next_renew = t + ttl_s() / 6;
            if (served && !store_leases.contains(c.store_lease)) {
                c.core.reset();
                ++c.incarnation;
                return;
            }
            if (served) {
                store_leases[c.store_lease] = now + ttl_s();
                c.leader_lease->store_lease_renewed(t);
            } else if (c.leader_lease->wants_extension_votes(t)) {
                request_extension_votes(i, t);
            }
        }
        if (c.core || c.acquiring || now < c.next_store_check)
            return;
        c.next_store_check = now + between(0.1, 0.3);
        c.leader_lease->record_store_answer(served, t);
        if (!served)
            return;
        if (leader_record && leader_record->node == i) { // held by its own previous process
            store_leases.erase(leader_record->store_lease);
            leader_record.reset();
            c.leader_lease->previous_process_was_leader();
        } else if (!leader_record && c.leader_lease->may_acquire(t)) {
            attempt_acquisition(i, t);
        }
    }

    void attempt_acquisition(std::size_t i, double sent) {
        auto& c = controllers[i];
        c.acquiring = true;
        const auto store_lease = ++store_lease_seq;
        store_leases[store_lease] = now + ttl_s();
        const double delay = chance() < delayed_share ? between(1, 20) : between(0.02, 0.2);
        send(std::min(delay, 1.0), [this, &c, incarnation = c.incarnation, delay] {
            if (c.incarnation != incarnation || !c.acquiring || delay < 1)
                return;
            c.acquiring = false;
            c.leader_lease->acquisition_in_doubt(); // the late transaction may still be applied
        });
        send(delay, [this, i, &c, incarnation = c.incarnation, store_lease, sent, read = term] {
            const bool applied =
                !store_down && !c.no_store && !leader_record && store_leases.contains(store_lease) && term == read;
            if (applied)
                leader_record = LeaderRecord{i, store_lease, ++term};
            if (c.incarnation != incarnation || !c.acquiring)
                return;
            c.acquiring = false;
            if (!applied)
                return;
            c.store_lease = store_lease;
            c.leader_lease->begin();
            c.leader_lease->store_lease_renewed(sent);
            start_core(c);
        });
    }

    void request_extension_votes(std::size_t i, double sent) {
        auto& c = controllers[i];
        for (std::size_t k = 0; k < controllers.size(); ++k) {
            if (k == i || c.no_peers)
                continue;
            send(between(0, 0.1), [this, k, &c, incarnation = c.incarnation, sent] {
                auto& p = controllers[k];
                if (!p.alive || p.no_peers)
                    return;
                const double t = now * p.clock_rate;
                const bool failed = store_down || p.no_store;
                p.leader_lease->record_store_answer(!failed, t);
                if (!p.leader_lease->grant_extension(c.leader_lease->extension_s(), t, !p.core && !p.acquiring, failed))
                    return;
                send(between(0, 0.1), [this, &c, incarnation, sent, name = p.name] {
                    if (c.incarnation == incarnation && c.core)
                        c.leader_lease->extension_granted(name, sent, now * c.clock_rate);
                });
            });
        }
    }

    // Whether the cancellation of a direct or indirect dependency of the job was requested. Lowers `since` to the
    // earliest time at which a user was told that one of them is cancelled.
    bool dependency_cancelled(const std::string& id, double& since) {
        bool any = false;
        std::vector<std::string> stack = jobs[id].dependencies;
        std::set<std::string> seen(stack.begin(), stack.end());
        while (!stack.empty()) {
            const auto n = stack.back();
            stack.pop_back();
            any = any || cancellations_requested.contains(n);
            if (const auto t = cancelled.find(n); t != cancelled.end())
                since = std::min(since, t->second);
            if (const auto j = jobs.find(n); j != jobs.end())
                for (const auto& k : j->second.dependencies)
                    if (seen.insert(k).second)
                        stack.push_back(k);
        }
        return any;
    }

    void record_status(const std::string& id, std::string_view status) {
        if (final_states.contains(id) && final_states[id] == status)
            return;
        double since = 1e18;
        const bool cancelled_with_dependency =
            !cancellations_requested.empty() && !jobs[id].dependencies.empty() && dependency_cancelled(id, since);
        if (status == codec::status_cancelled && !cancellations_requested.contains(id) && !cancelled_with_dependency)
            violations.push_back("went_back " + id + ": cancelled without a request");
        if (check_orphaned && status != codec::status_cancelled && status != codec::status_done &&
            now > std::max(since, submitted[id]) + settings.cancel_s)
            violations.push_back("orphaned " + id);
        if (status != codec::status_done && status != codec::status_cancelled) {
            if (final_states.contains(id))
                violations.push_back("went_back " + id);
            return;
        }
        const auto [it, fresh] = final_states.emplace(id, status);
        if (!fresh && it->second != status)
            violations.push_back("went_back " + id);
        if (status == codec::status_done)
            for (std::uint32_t i = 0; i < jobs[id].tasks; ++i)
                if (!done_tasks.contains(fmt::format("{}/{}", id, i)))
                    violations.push_back("not_done " + id);
    }

    void step(double dt = 0.05) {
        now += dt;
        std::vector<Message> due;
        for (std::size_t i = 0; i < messages.size();) {
            if (messages[i].at > now) {
                ++i;
                continue;
            }
            due.push_back(std::move(messages[i]));
            messages[i] = std::move(messages.back());
            messages.pop_back();
        }
        std::shuffle(due.begin(), due.end(), rng);
        for (auto& m : due)
            m.f();
        run_machines();
        const int leaders = run_controllers();
        // Every controller can answer status requests from the store.
        if (!store_down && ++steps % 20 == 0)
            read_all();
        if (leaders > 1)
            violations.push_back("two active leaders");
        for (const auto& [id, w] : workers)
            for (const auto& t : w.tasks)
                if (!w.dead && (t.state == TaskState::running || t.state == TaskState::waiting) &&
                    cancelled.contains(t.job) && now > cancelled[t.job] + settings.cancel_s)
                    violations.push_back("ran_cancelled " + t.job);
    }

    virtual int run_controllers() { // returns how many controllers may act as the leader
        int leaders = 0;
        for (std::size_t i = 0; i < controllers.size(); ++i) {
            auto& c = controllers[i];
            if (several())
                run_leader_lease(i);
            if (!c.core)
                continue;
            const bool may = may_act(c);
            leaders += may;
            steps_on_votes_alone += may && several() && store_down;
            if (log != nullptr)
                log->commands(c.queue, now * c.clock_rate, now, may);
            const auto effects = c.core->step(c.queue, now * c.clock_rate, now, may);
            if (log != nullptr)
                log->effects(effects);
            for (const auto& e : effects)
                if (c.core)
                    perform(c, e);
            if (!c.core || !may)
                continue;
            for (const auto& [id, spec] : jobs)
                if (const auto v = c.core->view(id); v)
                    record_status(id, v->status);
        }
        return leaders;
    }

    virtual void read_all() {
        for (const auto& [id, spec] : jobs) {
            const auto f = store.find("f/" + id);
            if (f != store.end())
                record_status(id, f->second["s"].get<std::string>());
            else if (in_cascade_record(id))
                record_status(id, codec::status_cancelled);
            else if (store.contains("j/" + id))
                record_status(id, codec::status_pending);
            else
                violations.push_back("forgotten " + id);
        }
    }

    void run(double seconds) {
        for (const double end = now + seconds; now < end && violations.empty();)
            step();
    }
};

} // namespace heronshift::testing
