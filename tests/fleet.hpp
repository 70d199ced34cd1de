// Several real controllers in one process, with the simulated machines and rules of `SimulatedCluster`, a state service
// and a cloud. All of them talk over a simulated network of directed links.
#pragma once

#include "heronshift/store/engine.hpp"
#include "node/controller.hpp"

#include "direct_commands.hpp"

namespace heronshift::testing {

struct Fleet : DirectCommands {
    static constexpr const char* state = "state";
    static constexpr const char* cloud = "cloud";
    static constexpr const char* users = "users";

    struct Node {
        std::string name;
        std::unique_ptr<heronshift::Controller> controller;
        std::shared_ptr<Clock> clock;
        std::uint64_t incarnation = 0; // counts the node's processes: what was sent to an earlier one is dropped
        bool frozen = false, refused_by_store = false, healthy = false;
        double restarts_at = -1, frozen_until = -1;
        double turn_delay_s = 0;                  // how long its event loop is paused after every turn
        int delayed_turns = 0;                    // how often `turn_delay_s` has paused it
        std::vector<std::function<void()>> inbox; // events that arrived while it is frozen
        // Consecutive successful and failed health checks (/up).
        int consecutive_successes = 0, consecutive_failures = 0;
    };
    explicit Fleet(unsigned seed, std::size_t count = 5) : DirectCommands(seed) {
        settings.zones = {"a", "b", "c"};
        settings.teams = {{"red", 400, 800, 0, 0}, {"blue", 400, 1200, 0, 0}};
        types[0].zones = settings.zones;
        engine = std::make_unique<store::Engine>(
            store::memory_data(), store::Limits{settings.state_rps, settings.state_write_rps, settings.txn_ops, 16});
        for (std::size_t i = 0; i < count; ++i) {
            nodes.emplace_back();
            nodes[i].name = fmt::format("berth-{}", i);
            nodes[i].clock = std::make_shared<SkewedClock>(*this, between(0.9995, 1.0005), between(0, 1000));
            begin(i);
        }
    }

    std::vector<MachineType> types = small_types();
    std::deque<Node> nodes;
    std::unique_ptr<store::Engine> engine;
    int expirations = 0;
    // Called for each request that a controller sends: `what` is a path under /peer for the node `to`, or the kind of a
    // request to the store (`to` is SIZE_MAX then).
    std::function<void(std::size_t from, std::size_t to, const std::string& what)> on_sent;
    std::vector<double> leader_changes; // times at which the leader changed
    std::size_t last_leader = SIZE_MAX;
    double recovery_bound_s = 2 * settings.lease_s; // after a path has existed for so long, no lease may expire

    // --- parties of the network ---
    static std::string zone(const std::string& name) {
        return "workers " + name;
    }
    void all_zones(const std::string& node, Mode m) {
        for (const auto& z : settings.zones)
            set_both(node, zone(z), m);
    }
    // A machine that is unreachable inbound has a party name of its own, so that its links can be cut separately.
    std::string party(const Worker& w) const {
        return inbound_unreachable.contains(w.id) ? "deaf " + w.id : zone(w.zone);
    }
    std::vector<std::string> names() const {
        std::vector<std::string> out;
        for (const auto& n : nodes)
            out.push_back(n.name);
        return out;
    }
    std::map<std::string, std::size_t> inbound_unreachable; // by machine: for how many controllers
    std::set<std::string> heartbeat_answers_lost; // machines that get no answers to heartbeats, but get orders
    // The machine's heartbeats arrive; what the controllers `to` answer or send to it does not.
    void make_inbound_unreachable(const std::string& machine, const std::vector<std::string>& to) {
        inbound_unreachable[machine] = to.size();
        for (const auto& name : to)
            set(name, "deaf " + machine, Mode::drop);
    }

    // Runs `f` in a node's process: not at all if that process has ended, later if it is frozen.
    void run_in_node(std::size_t i, std::uint64_t incarnation, std::function<void()> f) {
        auto& n = nodes[i];
        if (n.incarnation != incarnation || !n.controller)
            return;
        if (n.frozen)
            return n.inbox.push_back(std::move(f));
        f();
    }
    template <class R>
    void node_request(std::size_t i, const std::string& to, double timeout_s, std::function<void(Answer<R>)> serve,
                      Done<R> done) {
        request<R>(
            nodes[i].name, to, timeout_s, std::move(serve),
            [this, i, incarnation = nodes[i].incarnation, done = std::move(done)](std::optional<R> r, bool sent) {
                run_in_node(i, incarnation, [done, r = std::move(r), sent] { done(r, sent); });
            });
    }
    // An HTTP request to a node, from a user, a worker or (`peer`) another node.
    void http(const std::string& from, std::size_t to, HttpRequest r, bool peer, double timeout_s,
              Done<HttpReply> done) {
        request<HttpReply>(
            from, nodes[to].name, timeout_s,
            [this, to, r, peer](const Answer<HttpReply>& answer) {
                run_in_node(to, nodes[to].incarnation, [this, to, r, peer, answer] {
                    Responder res([answer](int status, std::string_view body, int) {
                        if (status != 0)
                            answer({status, std::string(body), true});
                    });
                    auto& c = *nodes[to].controller;
                    peer ? c.serve_peer(HttpRequest(r), std::move(res)) : c.serve(HttpRequest(r), std::move(res));
                });
            },
            std::move(done));
    }
    std::size_t index(const std::string& name) const {
        for (std::size_t i = 0; i < nodes.size(); ++i)
            if (nodes[i].name == name)
                return i;
        return SIZE_MAX;
    }

    // --- simulated replacements of a controller's clock, store, peers and executor ---
    struct SkewedClock final : Clock {
        SkewedClock(const Fleet& f, double rate, double start) : fleet(f), rate(rate), start(start) {}
        [[nodiscard]] double now() const override {
            return start + fleet.now * rate;
        }
        [[nodiscard]] double wall() const override {
            return 1.7e9 + fleet.now;
        }
        const Fleet& fleet;
        double rate, start;
    };
    struct SimStore final : store::StateStore {
        SimStore(Fleet& f, std::size_t i) : fleet(f), i(i) {}
        static std::string call_kind(const store::Call& c) {
            if (std::holds_alternative<store::CreateLease>(c))
                return "hold";
            const auto* t = std::get_if<store::Transact>(&c);
            if (t == nullptr)
                return "read";
            const bool claim =
                std::any_of(t->writes.begin(), t->writes.end(), [](const auto& w) { return w.key == "office"; });
            return claim ? "claim" : "commit";
        }
        void call(store::Call&& c, double timeout_s, store::Callback done) override {
            if (fleet.on_sent)
                fleet.on_sent(i, SIZE_MAX, call_kind(c));
            fleet.node_request<store::Answer>(
                i, state, timeout_s,
                [this_fleet = &fleet, i = i, c = std::move(c)](const Answer<store::Answer>& answer) {
                    this_fleet->handle_store_call(i, c, answer);
                },
                [done = std::move(done)](std::optional<store::Answer> a, bool sent) {
                    if (!a) {
                        a.emplace();
                        a->sent = sent;
                    }
                    done(std::move(*a));
                });
        }
        Fleet& fleet;
        std::size_t i;
    };
    struct SimPeers final : Peers {
        SimPeers(Fleet& f, std::size_t i) : fleet(f), i(i) {}
        void request(PeerRequestClass, const std::string& name, const char* method, const std::string& path,
                     std::string body, double timeout_s, Done done) override {
            if (fleet.on_sent)
                fleet.on_sent(i, fleet.index(name), path);
            if (path.starts_with("/peer/relay"))
                if (const auto o = codec::read_orders(body); o)
                    fleet.sent(o->list);
            const auto q = path.find('?');
            HttpRequest r{method, path.substr(0, q), q == std::string::npos ? "" : path.substr(q + 1), std::move(body)};
            fleet.http(fleet.nodes[i].name, fleet.index(name), std::move(r), true, timeout_s,
                       [this_fleet = &fleet, i = i, incarnation = fleet.nodes[i].incarnation,
                        done = std::move(done)](std::optional<HttpReply> a, bool sent) {
                           this_fleet->run_in_node(i, incarnation, [done, a, sent] {
                               done(a ? HttpReply(*a) : HttpReply{0, "", sent});
                           });
                       });
        }
        Fleet& fleet;
        std::size_t i;
    };
    struct SimExecutor final : Executor {
        SimExecutor(Fleet& f, std::size_t i) : fleet(f), i(i) {}
        void to_worker(const std::string& addr, std::uint64_t fencing_token, std::uint64_t agent_epoch,
                       std::vector<Order> orders, double timeout_s, Done<CommandAnswer> done) {
            const auto it = fleet.workers.find(addr);
            const auto to = it == fleet.workers.end() ? "nowhere" : fleet.party(it->second);
            auto command = std::make_shared<Command>(Command{addr, fencing_token, agent_epoch, std::move(orders)});
            fleet.node_request<CommandAnswer>(
                i, to, timeout_s,
                [f = &fleet, command](const Answer<CommandAnswer>& answer) { f->deliver(*command, answer); },
                std::move(done));
        }
        void command(const SendOrders& o, double timeout_s, std::function<void(OrdersAnswered&&)> done) override {
            fleet.sent(o.orders);
            to_worker(
                o.addr, o.fencing_token, o.agent_epoch, o.orders, timeout_s,
                [done = std::move(done), id = o.machine, batch = o.batch](std::optional<CommandAnswer> a, bool sent) {
                    OrdersAnswered out{id, batch, a ? a->first : 0, sent, std::nullopt};
                    if (a)
                        out.heartbeat = a->second;
                    done(std::move(out));
                });
        }
        void forward(const std::string& addr, std::string body, double timeout_s,
                     std::function<void(HttpReply&&)> done) override {
            const auto o = codec::read_orders(body);
            if (!o || !o->fencing_token || !o->agent_epoch)
                return done({400, "{}", true});
            to_worker(addr, *o->fencing_token, *o->agent_epoch, o->list, timeout_s,
                      [done = std::move(done)](std::optional<CommandAnswer> a, bool sent) {
                          done(a ? HttpReply{a->first, codec::to_body(a->second), true} : HttpReply{0, "", sent});
                      });
        }
        void probe(const std::string& addr, double timeout_s, std::function<void(std::optional<bool>)> done) override {
            to_worker(addr, UINT64_MAX, 0, {}, timeout_s,
                      [done = std::move(done)](const std::optional<CommandAnswer>& a, bool) { done(a.has_value()); });
        }
        void rent(const Rent& ask, double timeout_s, std::function<void(Rented&&)> done) override {
            fleet.node_request<Rented>(
                i, cloud, timeout_s, [f = &fleet, ask](const Answer<Rented>& answer) { answer(f->rent(ask)); },
                [done = std::move(done), claim = ask.claim](std::optional<Rented> a, bool sent) {
                    done(a ? *a : Rented{claim, sent ? RentOutcome::unknown : RentOutcome::failed, {}});
                });
        }
        void release(const Release& ask, double timeout_s, std::function<void(Released&&)> done) override {
            fleet.node_request<bool>(
                i, cloud, timeout_s,
                [f = &fleet, ask](const Answer<bool>& answer) {
                    for (const auto& m : ask.machines)
                        f->give_back(m);
                    answer(true);
                },
                [done = std::move(done), list = ask.machines](std::optional<bool> ok, bool) {
                    done({list, ok.has_value()});
                });
        }
        void list(const std::string&, double timeout_s,
                  std::function<void(std::optional<codec::MachinePage>&&)> done) override {
            fleet.node_request<codec::MachinePage>(
                i, cloud, timeout_s,
                [f = &fleet](const Answer<codec::MachinePage>& answer) {
                    answer({f->SimulatedCluster::list().machines, false});
                },
                [done = std::move(done)](std::optional<codec::MachinePage> p, bool) { done(std::move(p)); });
        }
        void types(double timeout_s, std::function<void(std::optional<std::vector<MachineType>>&&)> done) override {
            fleet.node_request<std::vector<MachineType>>(
                i, cloud, timeout_s, [f = &fleet](const Answer<std::vector<MachineType>>& answer) { answer(f->types); },
                [done = std::move(done)](std::optional<std::vector<MachineType>> t, bool) { done(std::move(t)); });
        }
        Fleet& fleet;
        std::size_t i;
    };

    // --- processes ---
    Settings settings_of(std::size_t i) const {
        auto s = settings;
        s.name = nodes[i].name;
        s.zone = s.zones[i % s.zones.size()];
        for (const auto& n : nodes)
            if (n.name != s.name)
                s.peers.push_back({n.name, "", {}});
        return s;
    }
    void begin(std::size_t i) {
        auto& n = nodes[i];
        ++n.incarnation;
        all_started_ = false;
    }
    // Starts all nodes that are due; requires that the names of all nodes are set.
    void start_due_nodes() {
        all_started_ = true;
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            auto& n = nodes[i];
            if (n.controller || now < n.restarts_at)
                continue;
            ++n.incarnation;
            heronshift::Controller::Parts p;
            p.state = std::make_unique<SimStore>(*this, i);
            p.executor = std::make_unique<SimExecutor>(*this, i);
            p.peers = std::make_unique<SimPeers>(*this, i);
            p.clock = n.clock;
            n.controller = std::make_unique<heronshift::Controller>(settings_of(i), std::move(p));
            n.controller->start();
        }
    }
    void crash(std::size_t i, double for_s) {
        auto& n = nodes[i];
        ++n.incarnation;
        n.controller.reset();
        n.inbox.clear();
        n.frozen = n.healthy = false;
        n.restarts_at = now + for_s;
        all_started_ = false;
        // A new process knows nothing yet: the time from which `recovery_bound_s` counts restarts.
        service_paths.clear();
    }
    void freeze(std::size_t i, double for_s) { // its clocks keep running
        nodes[i].frozen = true;
        nodes[i].frozen_until = now + for_s;
        service_paths.clear();
    }
    void run_node(std::size_t i) {
        auto& n = nodes[i];
        if (!n.controller) {
            all_started_ = all_started_ && now < n.restarts_at;
            return;
        }
        if (n.frozen) {
            if (now < n.frozen_until)
                return;
            n.frozen = false;
            // The process resumes: it first handles, in random order, what arrived while it was frozen.
            auto list = std::exchange(n.inbox, {});
            std::shuffle(list.begin(), list.end(), rng);
            for (auto& f : list)
                run_in_node(i, n.incarnation, std::move(f));
        }
        n.controller->tick();
        for (int k = 0; k < 4 && n.controller->wake_at() <= n.clock->now(); ++k)
            n.controller->wake();
        if (n.turn_delay_s > 0) {
            ++n.delayed_turns;
            n.frozen = true;
            n.frozen_until = now + n.turn_delay_s;
        }
    }
    bool is_active_leader(std::size_t i) const {
        const auto& n = nodes[i];
        return n.controller && n.controller->active_until() > n.clock->now();
    }
    std::optional<std::size_t> leader() const {
        for (std::size_t i = 0; i < nodes.size(); ++i)
            if (is_active_leader(i))
                return i;
        return {};
    }

    // --- the state service ---
    struct Waiting {
        std::size_t node;
        store::Engine::Waiting w;
        Answer<store::Answer> answer;
    };
    std::vector<Waiting> waiting;
    std::uint64_t seen_revision = 0;
    std::int64_t now_ms() const {
        return static_cast<std::int64_t>(now * 1000);
    }
    bool refuses(std::size_t i) const {
        return store_down || nodes[i].refused_by_store;
    }
    void handle_store_call(std::size_t i, const store::Call& c, const Answer<store::Answer>& answer) {
        if (const auto* f = std::get_if<store::Follow>(&c); f != nullptr) {
            store::Engine::Waiting w{*f, 0, false};
            w.until_ms = now_ms() + static_cast<std::int64_t>(f->block_s * 1000);
            if (!refuses(i))
                if (auto a = engine->look(w, true, now_ms()); a)
                    return answer(std::move(*a));
            waiting.push_back({i, std::move(w), answer});
            return;
        }
        const bool writes = std::holds_alternative<store::Transact>(c);
        if (writes && chance() < late_write_share) // gets no answer, and is applied after newer transactions
            return send(between(2, 12), [this, i, c] {
                if (!refuses(i))
                    apply_store_call(c);
            });
        store::Answer a;
        a.status = 503;
        if (!refuses(i))
            a = apply_store_call(c);
        if (!writes || chance() >= lost_answer_share)
            answer(std::move(a));
    }
    double late_write_share = 0, lost_answer_share = 0; // shares of the transactions
    store::Answer apply_store_call(const store::Call& c) {
        engine->data().begin();
        engine->expire(now_ms());
        auto a = engine->run(c, now_ms());
        engine->data().commit();
        return a;
    }
    void run_store() {
        if (store_down)
            return;
        engine->expire(now_ms());
        const bool changed = std::exchange(seen_revision, engine->data().revision()) != engine->data().revision();
        for (std::size_t k = 0; k < waiting.size();) {
            auto a = refuses(waiting[k].node) ? std::nullopt : engine->look(waiting[k].w, changed, now_ms());
            if (!a) {
                ++k;
                continue;
            }
            waiting[k].answer(std::move(*a));
            waiting.erase(waiting.begin() + static_cast<long>(k));
        }
    }
    void end_outage() {
        store_down = false;
        engine->renew_all(now_ms());
    }
    std::optional<codec::Json> stored(const std::string& key) override {
        const auto row = engine->data().get(key);
        return row ? std::optional(codec::parse(row->data)) : std::nullopt;
    }

    // --- the cloud ---
    std::map<std::string, Rented> rentals;
    Rented rent(const Rent& r) {
        if (const auto it = rentals.find(r.claim); it != rentals.end())
            return it->second;
        Rented out{r.claim, RentOutcome::no_capacity, {}};
        for (int k = 0; k < r.count && rent_one(r.spot); ++k) {
            out.outcome = RentOutcome::rented;
            Worker w;
            w.id = w.addr = fmt::format("n-{:04}", ++machines);
            w.zone = r.zone;
            w.spot = r.spot;
            w.rented_at = now;
            w.dead = true; // until it has booted
            workers[w.id] = w;
            out.machines.push_back(w.id);
            send(between(0.5, 3), [this, id = w.id] {
                const auto it = workers.find(id);
                if (it == workers.end())
                    return;
                it->second.dead = false;
                it->second.lease_from = it->second.next_heartbeat = now;
                it->second.node = static_cast<std::size_t>(between(0, static_cast<double>(nodes.size()) - 0.01));
            });
        }
        if (out.outcome == RentOutcome::rented)
            rentals[r.claim] = out;
        return out;
    }

    // --- machines, which follow the worker protocol ---
    void heartbeat_if_due(Worker& w) override {
        if (w.in_flight || w.cut || now < w.next_heartbeat)
            return;
        if (outbound_unreachable.contains(w.id)) {
            w.node = (w.node + 1) % nodes.size();
            w.next_heartbeat = now + 5; // the request times out after 4 s
            return;
        }
        w.in_flight = true;
        const double sent = now;
        const auto body = codec::to_body(heartbeat(w));
        if (late_copy_share > 0 && chance() < late_copy_share)
            send_late_copies(zone(w.zone), body);
        if (replay_share > 0 && chance() < replay_share)
            kept.emplace_back(zone(w.zone), body);
        http(party(w), w.node, {"POST", std::string(codec::path_heartbeat), "", body}, false, 4,
             [this, id = w.id, sent, agent_epoch = w.agent_epoch](const std::optional<HttpReply>& a, bool) {
                 const auto it = workers.find(id);
                 if (it == workers.end() || it->second.dead)
                     return;
                 auto& x = it->second;
                 x.in_flight = false;
                 if (heartbeat_answers_lost.contains(id)) {
                     x.node = (x.node + 1) % nodes.size();
                     x.next_heartbeat = now + 5; // the request times out after 4 s
                     return;
                 }
                 const int status = a && !x.cut && !x.hung ? a->status : 0;
                 if (status == 421) {
                     const auto to = index(codec::redirected_to(a->body));
                     if (to != SIZE_MAX && to != x.node) {
                         x.node = to;
                         x.next_heartbeat = now + between(0, 0.5);
                         return;
                     }
                 }
                 if (status != 200) {
                     x.node = (x.node + 1) % nodes.size();
                     x.next_heartbeat = now + 1;
                     return;
                 }
                 x.next_heartbeat = sent + settings.report_s * between(0.75, 1.25);
                 const auto o = codec::read_orders(a->body);
                 if (!o || !o->fencing_token || *o->fencing_token < x.fencing_token || x.agent_epoch != agent_epoch)
                     return;
                 x.fencing_token = *o->fencing_token;
                 x.lease_from = std::max(x.lease_from, sent);
                 execute(x, o->list);
             });
    }
    double late_copy_share = 0; // the share of heartbeats of which copies arrive late
    double replay_share = 0;    // the share of heartbeats of which every controller gets a copy when the leader changes
    std::vector<std::pair<std::string, std::string>> kept; // sender's party and body of the heartbeat
    void replay_kept() {
        for (const auto& [from, body] : std::exchange(kept, {}))
            for (std::size_t to = 0; to < nodes.size(); ++to)
                http(from, to, {"POST", std::string(codec::path_heartbeat), "", body}, false, 4,
                     [](const std::optional<HttpReply>&, bool) {});
    }
    std::set<std::string> outbound_unreachable; // machines that reach no controller, but get orders
    // Sends three late copies of a heartbeat to random controllers, some of them as if relayed by another controller.
    void send_late_copies(const std::string& from, const std::string& body) {
        for (int k = 0; k < 3; ++k)
            send(chance() < 0.5 ? between(0.2, settings.lease_s) : between(1, 300), [this, from, body] {
                const auto to = static_cast<std::size_t>(between(0, static_cast<double>(nodes.size()) - 0.01));
                const bool relayed = chance() < 0.3;
                const std::string path = (relayed ? peer_prefix : "") + std::string(codec::path_heartbeat);
                http(from, to, {"POST", path, "", body}, relayed, 4, [](const std::optional<HttpReply>&, bool) {});
            });
    }
    void expired(Worker& w) override {
        ++expirations;
        // A machine needs 5 s to find out that a node does not answer: with more than two such nodes its lease may
        // expire whatever the controllers do.
        const bool avoidable = now - last_severe_fault_at > settings.lease_s;
        if (!w.cut && !w.hung && avoidable && service_path_since >= 0 && now - service_path_since > recovery_bound_s &&
            now - w.healthy_since > recovery_bound_s)
            violations.push_back(
                fmt::format("the lease of {} expired although a leader could have answered it since t={:.1f} s", w.id,
                            service_path_since));
    }

    // --- paths between the parties, and one step of the controllers ---
    double service_path_since = -1, last_severe_fault_at = -1e9;
    // Pairs of a controller that reaches the store and the cloud, and a relay (the same controller: none) through which
    // it reaches those workers and users that it does not reach itself; and since when the pair could serve everybody
    // without interruption. `service_path_since` is the earliest of these times; below zero: no pair can at present.
    std::map<std::pair<std::size_t, std::size_t>, double> service_paths;
    void update_service_paths() {
        const auto up = [&](std::size_t i) { return nodes[i].controller && !nodes[i].frozen; };
        for (const auto& name : settings.zones)
            if (std::count_if(nodes.begin(), nodes.end(), [&](const Node& n) {
                    return !n.controller || n.frozen || !open(n.name, zone(name));
                }) > 2)
                last_severe_fault_at = now;
        std::map<std::pair<std::size_t, std::size_t>, double> kept;
        service_path_since = -1;
        for (std::size_t h = 0; h < nodes.size(); ++h) {
            if (!up(h) || refuses(h) || !open(nodes[h].name, state) || !open(nodes[h].name, cloud))
                continue;
            for (std::size_t p = 0; p < nodes.size(); ++p) {
                const bool helps = p != h && up(p) && open(nodes[h].name, nodes[p].name);
                const auto by = [&](const std::string& to) {
                    return open(nodes[h].name, to) || (helps && open(nodes[p].name, to));
                };
                const auto& z = settings.zones;
                if (!by(users) || !std::all_of(z.begin(), z.end(), [&](const auto& name) { return by(zone(name)); }))
                    continue;
                const auto was = service_paths.find({h, p});
                const double since = kept[{h, p}] = was == service_paths.end() ? now : was->second;
                if (service_path_since < 0 || since < service_path_since)
                    service_path_since = since;
            }
        }
        service_paths.swap(kept);
    }
    virtual void run_users() {}
    int run_controllers() override {
        if (!all_started_)
            start_due_nodes();
        run_store();
        run_users();
        for (auto& [id, w] : workers) {
            const auto d = inbound_unreachable.find(id);
            const bool hears = (d == inbound_unreachable.end() || d->second < nodes.size()) &&
                               !heartbeat_answers_lost.contains(id) && !outbound_unreachable.contains(id);
            if (w.cut || w.hung || w.dead || w.healthy_since < 0 || !hears)
                w.healthy_since = now;
        }
        int leaders = 0;
        for (std::size_t i = 0; i < nodes.size(); ++i)
            run_node(i);
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (!is_active_leader(i))
                continue;
            ++leaders;
            if (last_leader != i) {
                leader_changes.push_back(now);
                replay_kept();
            }
            last_leader = i;
        }
        update_service_paths();
        return leaders;
    }
    void read_all() override {} // the simulated users read the jobs' states instead

private:
    bool all_started_ = false;
};

} // namespace heronshift::testing
