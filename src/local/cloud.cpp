#include "local/cloud.hpp"

#include "heronshift/codec.hpp"
#include "heronshift/loop_queue.hpp"
#include "protocol_times.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace heronshift::local {
namespace {

constexpr std::uint64_t tick_ms = 20, ticks_per_sweep = 5, ticks_per_second = 50;
constexpr double next_node_delay_s = 1, min_heartbeat_interval_s = 0.5;

std::string error_body(const std::string& what) {
    return codec::Json{{"error", what}}.dump();
}

} // namespace

EmulatedWorker::EmulatedWorker(Platform& p, std::string id, const MachineType& type, std::string zone, bool spot,
                               double up_at)
    : platform_(p), id_(std::move(id)), zone_(std::move(zone)), type_(type), spot_(spot), rented_at_(p.now()),
      up_at_(up_at), lease_start_(up_at), next_heartbeat_(up_at), speed_(p.random_between(0.95, 1.05)),
      server_(p.loop_, 64, 600,
              [this](HttpRequest&& request, const Responder& res) { handle(std::move(request), res); }) {}

int EmulatedWorker::start() {
    if (platform_.in_process_) {
        addr_ = id_;
        return 0;
    }
    if (const int e = server_.listen({"127.0.0.1", 0}); e != 0)
        return e;
    addr_ = fmt::format("127.0.0.1:{}", server_.port());
    if (!platform_.plan_.workers.nodes.empty() && !platform_.plan_.lockstep)
        node_ = platform_.rng_() % platform_.plan_.workers.nodes.size();
    return 0;
}

ListedMachine EmulatedWorker::list_entry(double now) const {
    return {id_, addr_, type_.name, zone_, up(now) ? "running" : "booting", spot_, now - rented_at_};
}

Heartbeat EmulatedWorker::heartbeat() {
    Heartbeat r{id_, addr_, type_.name, zone_, spot_, agent_epoch_, ++counter_, fencing_token_, -1, {}};
    for (const auto& x : runs_)
        r.tasks.push_back(x.t);
    return r;
}

void EmulatedWorker::end(Run& r, ExitCause cause, bool saved) {
    if (r.recorded)
        platform_.history_.task_ended(r.t.job, r.t.index, id_);
    if (cause == ExitCause::done)
        platform_.history_.task_done(r.t.job, r.t.index);
    r.recorded = false;
    r.t.state = TaskState::ended;
    r.t.cause = cause;
    r.t.saved = saved;
    changed_ = true;
}

void EmulatedWorker::drop_all_tasks() {
    for (auto& r : runs_)
        if (r.recorded)
            platform_.history_.task_ended(r.t.job, r.t.index, id_);
    runs_.clear();
}

void EmulatedWorker::launch(const Order& order, double now) {
    if (!platform_.jobs_.contains(order.job) && platform_.ask)
        if (const auto s = platform_.ask(order.job); s) {
            platform_.register_job(*s);
            platform_.history_.submitted(*s);
        }
    const auto& specs = platform_.jobs_;
    Run r;
    r.t = {order.job, order.index, order.attempt, TaskState::fetching, ExitCause::none, false};
    if (platform_.on_launch)
        platform_.on_launch(order, type_, zone_, spot_);
    const auto spec = specs.find(order.job);
    Resources used;
    bool other_attempt_active = false;
    for (const auto& x : runs_) {
        if (x.t.job == order.job && x.t.index == order.index) {
            if (x.t.attempt == order.attempt)
                return;
            other_attempt_active = other_attempt_active || x.t.state != TaskState::ended;
        }
        if (const auto s = specs.find(x.t.job); s != specs.end() && x.t.state != TaskState::ended)
            used += s->second.each;
    }
    if (spec == specs.end() || order.index >= spec->second.tasks)
        end(r, ExitCause::unknown);
    else if (other_attempt_active)
        end(r, ExitCause::busy);
    else if (!(used + spec->second.each).fits(type_.room))
        end(r, ExitCause::no_room);
    else
        r.until = now + (images_.contains(spec->second.image) ? 0 : spec->second.image_gb / type_.fetch_gb_per_s);
    runs_.push_back(std::move(r));
    changed_ = true;
}

void EmulatedWorker::execute(const std::vector<Order>& list, double now) {
    for (const auto& order : list) {
        if (order.verb == Verb::launch) {
            launch(order, now);
            continue;
        }
        const auto it = std::find_if(runs_.begin(), runs_.end(), [&](const Run& r) {
            return r.t.job == order.job && r.t.index == order.index && r.t.attempt == order.attempt;
        });
        if (it == runs_.end())
            continue;
        if (order.verb == Verb::reap) {
            if (it->t.state == TaskState::ended)
                runs_.erase(it);
            continue;
        }
        if (it->t.state == TaskState::ended)
            continue;
        const auto& spec = platform_.jobs_[order.job];
        if (it->t.state == TaskState::running && spec.checkpoint_s > 0 && order.drain_s >= spec.save_s) {
            it->t.state = TaskState::saving;
            it->until = now + spec.save_s;
            changed_ = true;
        } else if (it->t.state != TaskState::saving || order.drain_s <= 0) {
            end(*it, ExitCause::stopped);
        }
    }
}

std::pair<int, std::optional<Heartbeat>>
EmulatedWorker::take_orders(std::uint64_t fencing_token, std::uint64_t agent_epoch, const std::vector<Order>& list) {
    const double now = platform_.now();
    ++platform_.message_count_;
    if (now < hung_until || now < cut_off_until || !up(now))
        return {0, {}};
    if (fencing_token < fencing_token_ || agent_epoch != agent_epoch_)
        return {409, heartbeat()};
    changed_ = changed_ || fencing_token > fencing_token_;
    fencing_token_ = fencing_token;
    execute(list, now);
    return {200, heartbeat()};
}

void EmulatedWorker::handle(HttpRequest&& request, const Responder& res) {
    const double now = platform_.now();
    if (now < hung_until || now < cut_off_until || !up(now))
        return; // No answer: the caller times out.
    if (request.method == "GET" && request.path == codec::path_status)
        return res.send(200, codec::to_body(heartbeat()));
    if (request.method != "POST" || request.path != codec::path_commands)
        return res.send(404, error_body("no such path"));
    const auto o = codec::read_orders(request.body);
    if (!o || !o->fencing_token || !o->agent_epoch)
        return res.send(400, error_body("fence and tenure are needed"));
    const auto take = [this, o = *o, responder = platform_.late_copies().copying(res, copy_of(*o))] {
        const auto [status, answer] = take_orders(*o.fencing_token, *o.agent_epoch, o.list);
        if (answer)
            responder.send(status, codec::to_body(*answer));
    };
    if (now < delayed_until)
        return delayed_messages_.push_back(take);
    take();
}

std::function<void()> EmulatedWorker::copy_of(const codec::Orders& orders) {
    return [&platform = platform_, id = id_, orders] {
        const auto it = platform.machines_.find(id);
        if (it == platform.machines_.end())
            return;
        const auto [status, answer] = it->second->take_orders(*orders.fencing_token, *orders.agent_epoch, orders.list);
        platform.late_copies().refused_orders += status == 409;
    };
}

void EmulatedWorker::next_node(double now) {
    const auto n = platform_.plan_.workers.nodes.size();
    if (n > 0)
        node_ = (node_ + 1) % n;
    next_heartbeat_ = now + next_node_delay_s;
}

void EmulatedWorker::handle_response(const HeartbeatResponse& a, double sent, std::uint64_t agent_epoch) {
    in_flight_ = false;
    const double now = platform_.now();
    if (now < cut_off_until || now < hung_until)
        return;
    const auto& nodes = platform_.plan_.workers.nodes;
    if (a.status == 421) {
        for (std::size_t i = 0; i < nodes.size(); ++i)
            if (nodes[i].first == a.leader && i != node_) {
                node_ = i;
                next_heartbeat_ = now + (platform_.plan_.lockstep ? 0 : platform_.random_between(0, 0.5));
                return;
            }
        return next_node(now);
    }
    if (a.status != 200)
        return next_node(now);
    if (a.fencing_token < fencing_token_ || agent_epoch != agent_epoch_)
        return; // The response is outdated. The next heartbeat goes to the same controller.
    changed_ = changed_ || a.fencing_token > fencing_token_;
    fencing_token_ = a.fencing_token;
    lease_start_ = std::max(lease_start_, sent);
    execute(a.orders, now);
}

void EmulatedWorker::heartbeat(double now) {
    const auto& w = platform_.plan_.workers;
    if (in_flight_ || w.nodes.empty())
        return;
    const bool due = now >= next_heartbeat_ || (changed_ && now >= last_heartbeat_at_ + min_heartbeat_interval_s &&
                                                next_heartbeat_ - now < w.report_s);
    if (!due)
        return;
    next_heartbeat_ = now + w.report_s * (platform_.plan_.lockstep ? 1 : platform_.random_between(0.75, 1.25));
    last_heartbeat_at_ = now;
    changed_ = false;
    if (now < cut_off_until)
        return;
    if (now < delayed_until) { // Sent later, when this worker no longer waits for the response.
        delayed_messages_.emplace_back(
            [this, r = heartbeat()] { platform_.send(*this, r, [](const HeartbeatResponse&) {}); });
        return;
    }
    in_flight_ = true;
    platform_.send(*this, heartbeat(),
                   [&p = platform_, id = id_, now, agent_epoch = agent_epoch_](const HeartbeatResponse& a) {
                       ++p.message_count_;
                       const auto it = p.machines_.find(id);
                       if (it != p.machines_.end())
                           it->second->handle_response(a, now, agent_epoch);
                   });
}

void Platform::send(EmulatedWorker& w, Heartbeat heartbeat, std::function<void(const HeartbeatResponse&)> done) {
    ++message_count_;
    if (in_process_)
        return heartbeat_handler_ ? heartbeat_handler_(std::move(heartbeat), std::move(done)) : done({});
    // A copy arrives at any controller.
    auto copy = [this, body = codec::to_body(heartbeat)] {
        const auto& nodes = plan_.workers.nodes;
        client_.request(nodes[ticks_ % nodes.size()].second, "POST", std::string(codec::path_heartbeat), body,
                        heartbeat_answer_timeout_s, [](HttpReply&&) {});
    };
    auto on_reply = [done = std::move(done)](HttpReply&& reply) {
        HeartbeatResponse a;
        auto o = reply.status == 200 ? codec::read_orders(reply.body) : std::nullopt;
        if (reply.status == 421) {
            a = {421, 0, {}, codec::redirected_to(reply.body)};
        } else if (reply.status == 200) {
            // A missing fencing token counts as 0, which is older than any other.
            a = {200, o && o->fencing_token ? *o->fencing_token : 0, {}, {}};
            if (a.fencing_token > 0)
                a.orders = std::move(o->list);
        }
        done(a);
    };
    client_.request(plan_.workers.nodes[w.node_].second, "POST", std::string(codec::path_heartbeat),
                    codec::to_body(heartbeat), heartbeat_answer_timeout_s,
                    late_copies_->copying(std::move(on_reply), std::move(copy)));
}

void EmulatedWorker::tick(double now) {
    if (!up(now))
        return;
    const auto& w = platform_.plan_.workers;
    // Applies to hung machines too: once the lease has expired, the tasks must not continue.
    if (now > lease_start_ + w.lease_s) {
        drop_all_tasks();
        ++agent_epoch_;
        lease_start_ = now;
        changed_ = true;
    }
    if (now < hung_until)
        return;
    if (now >= delayed_until && now >= cut_off_until)
        for (const auto& callback : std::exchange(delayed_messages_, {}))
            callback();
    for (auto& r : runs_) {
        const auto& spec = platform_.jobs_[r.t.job];
        if (r.t.state == TaskState::fetching && now >= r.until) {
            images_.insert(spec.image);
            if (fails_all_tasks) {
                end(r, ExitCause::error);
                continue;
            }
            platform_.history_.task_started(r.t.job, r.t.index, {id_, type_.name, zone_, spot_}, now);
            r.recorded = true;
            r.t.state = spec.shape == Shape::gang && spec.tasks > 1 ? TaskState::waiting : TaskState::running;
            const double run = platform_.run_s(spec, r.t) / speed_;
            r.until = now + (r.t.state == TaskState::waiting ? w.gang_wait_s : run);
            changed_ = true;
        } else if (r.t.state == TaskState::waiting) {
            const auto all = platform_.gang_tasks(r.t.job, r.t.attempt);
            const bool ready = all.size() == spec.tasks && std::all_of(all.begin(), all.end(), [](const auto& x) {
                                   return x.run->t.state == TaskState::waiting;
                               });
            const double run = platform_.run_s(spec, all.empty() ? r.t : all.front().run->t);
            for (const auto& x : all) {
                if (!ready)
                    break;
                x.run->t.state = TaskState::running;
                x.run->until = now + run;
                x.worker->changed_ = true;
            }
            changed_ = changed_ || ready;
            if (!ready && now >= r.until)
                end(r, ExitCause::alone);
        } else if (r.t.state == TaskState::running && spec.shape == Shape::gang && spec.tasks > 1) {
            const auto all = platform_.gang_tasks(r.t.job, r.t.attempt);
            if (all.size() < spec.tasks) {
                if (r.peer_missing_since < 0)
                    r.peer_missing_since = now;
                if (now > r.peer_missing_since + w.gang_peer_s)
                    end(r, ExitCause::peers);
            } else if (now >= r.until) {
                for (const auto& x : all) // The tasks of a gang complete together.
                    if (x.run->t.state == TaskState::running)
                        x.worker->end(*x.run, ExitCause::done);
            }
        } else if (r.t.state == TaskState::running && spec.shape != Shape::service && now >= r.until) {
            end(r, ExitCause::done);
        } else if (r.t.state == TaskState::saving && now >= r.until) {
            end(r, ExitCause::stopped, true);
        }
    }
    heartbeat(now);
}

Platform::Platform(uv_loop_t* loop, PlatformPlan plan, History& history)
    : loop_(loop), plan_(std::move(plan)), history_(history), rng_(plan_.seed),
      server_(loop, 64, 600,
              [this](HttpRequest&& request, const Responder& res) {
                  const auto responder =
                      late_copies_->copying(res, [this, copy = request] { handle(HttpRequest(copy), Responder()); });
                  handle(std::move(request), responder);
              }),
      client_(loop, 128, 4096) {
    if (!plan_.clock)
        plan_.clock = std::make_shared<Clock>();
    late_copies_ = std::make_unique<LateCopies>(plan_.clock, plan_.seed);
}

int Platform::start(const Endpoint& cloud_at) {
    if (const int e = server_.listen(cloud_at); e != 0)
        return e;
    return plan_.lockstep ? 0 : timer_.start(loop_, tick_ms, [this] { turn(); });
}

// Connects a scheduler in this process to the platform by function calls instead of HTTP. As with HTTP, answers arrive
// in a later turn of the loop.
class Platform::InProcessExecutor final : public Executor {
public:
    explicit InProcessExecutor(Platform& p) : platform_(p), answers_(p.loop_) {}
    ~InProcessExecutor() override {
        platform_.heartbeat_handler_ = nullptr;
    }
    void set_heartbeat_handler(Heartbeats callback) override {
        platform_.heartbeat_handler_ = std::move(callback);
    }
    void command(const SendOrders& effect, double, std::function<void(OrdersAnswered&&)> done) override {
        const auto it = platform_.machines_.find(effect.machine);
        OrdersAnswered a{effect.machine, effect.batch, 0, it != platform_.machines_.end(), std::nullopt};
        if (it != platform_.machines_.end())
            std::tie(a.status, a.heartbeat) =
                it->second->take_orders(effect.fencing_token, effect.agent_epoch, effect.orders);
        post_answer(std::move(done), std::move(a));
    }
    void rent(const Rent& ask, double, std::function<void(Rented&&)> done) override {
        post_answer(std::move(done), platform_.out ? Rented{ask.claim, RentOutcome::failed, {}} : platform_.rent(ask));
    }
    void release(const Release& ask, double, std::function<void(Released&&)> done) override {
        if (!platform_.out)
            platform_.release(ask.machines);
        post_answer(std::move(done), Released{ask.machines, !platform_.out});
    }
    void list(const std::string& since, double,
              std::function<void(std::optional<codec::MachinePage>&&)> done) override {
        post_answer(std::move(done), platform_.out ? std::nullopt : std::optional(platform_.page(since)));
    }
    void types(double, std::function<void(std::optional<std::vector<MachineType>>&&)> done) override {
        post_answer(std::move(done), platform_.out ? std::nullopt : std::optional(platform_.plan_.types));
    }

private:
    template <class F, class A> void post_answer(F done, A answer) {
        answers_.post([done = std::move(done), answer = std::move(answer)]() mutable { done(std::move(answer)); });
    }
    Platform& platform_;
    LoopQueue answers_;
};

std::unique_ptr<Executor> Platform::executor() {
    in_process_ = true;
    if (plan_.workers.nodes.empty())
        plan_.workers.nodes.emplace_back("direct", "");
    if (!plan_.lockstep)
        timer_.start(loop_, tick_ms, [this] { turn(); });
    return std::make_unique<InProcessExecutor>(*this);
}

void Platform::turn() {
    const double t = now();
    removed_machines_.clear();
    late_copies_->deliver_due();
    for (auto& [id, m] : machines_)
        m->tick(t);
    if (++ticks_ % ticks_per_sweep == 0)
        client_.sweep();
    if (ticks_ % ticks_per_second == 0)
        server_.sweep();
    history_.check(t);
}

std::vector<Platform::GangTask> Platform::gang_tasks(const std::string& job, std::uint64_t attempt) {
    std::vector<GangTask> out;
    for (auto& [id, m] : machines_)
        for (auto& r : m->runs_)
            if (r.t.job == job && r.t.attempt == attempt &&
                (r.t.state != TaskState::ended || r.t.cause == ExitCause::done))
                out.push_back({m.get(), &r});
    return out;
}

double Platform::run_s(const JobSpec& spec, const ReportedTask& task) const {
    std::string name = fmt::format("{} {}/{} {}", plan_.seed, task.job, task.index, task.attempt);
    std::seed_seq from(name.begin(), name.end());
    std::minstd_rand rng(from);
    return std::max(0.05, spec.estimate_s * plan_.run_share * std::uniform_real_distribution<double>(0.67, 1.33)(rng));
}

EmulatedWorker* Platform::random_worker() {
    std::vector<EmulatedWorker*> list;
    for (auto& [id, m] : machines_)
        if (m->up(now()))
            list.push_back(m.get());
    return list.empty() ? nullptr : list[rng_() % list.size()];
}

void Platform::kill(EmulatedWorker& w) {
    w.drop_all_tasks();
    const auto it = machines_.find(w.id_);
    removed_machines_.push_back(std::move(it->second));
    machines_.erase(it);
}

Platform::Totals Platform::totals() const {
    Totals s;
    s.machines = machines_.size();
    s.rented = rented_count_;
    s.returned = returned_count_;
    for (const auto& [id, m] : machines_) {
        s.up += m->up(now());
        s.fencing_token = std::max(s.fencing_token, m->fencing_token_);
        s.running += static_cast<std::size_t>(std::count_if(
            m->runs_.begin(), m->runs_.end(), [](const auto& r) { return r.t.state == TaskState::running; }));
    }
    return s;
}

void Platform::handle(HttpRequest&& request, const Responder& res) {
    if (out)
        return res.send(503, error_body("trouble"));
    const bool get = request.method == "GET", post = request.method == "POST";
    if (get && request.path == codec::path_types)
        return res.send(200, codec::types_to_json(plan_.types).dump());
    if (get && request.path == codec::path_rentals) {
        const auto at = request.query.find("since=");
        return res.send(200,
                        codec::to_body(page(at == std::string::npos
                                                ? ""
                                                : request.query.substr(at + 6, request.query.find('&', at) - at - 6))));
    }
    if (post && request.path == codec::path_release) {
        const auto list = codec::rented(request.body);
        if (!list || list->size() > 100)
            return res.send(400, error_body("hosts"));
        release(*list);
        return res.send(200, "{}");
    }
    if (!post || request.path != codec::path_rentals)
        return res.send(404, error_body("no such path"));
    const auto ask = codec::rental_request(request.body);
    if (!ask)
        return res.send(400, error_body("malformed"));
    const auto command = rent({ask->claim, ask->type, ask->zone, ask->spot, ask->count});
    if (command.outcome == RentOutcome::failed)
        return res.send(400, error_body("malformed"));
    if (command.outcome == RentOutcome::no_capacity)
        return res.send(503, error_body("no capacity"));
    res.send(200, codec::release(command.machines));
}

codec::MachinePage Platform::page(const std::string& since) {
    ++message_count_;
    codec::MachinePage page;
    for (auto it = machines_.upper_bound(since); it != machines_.end(); ++it) {
        if (page.machines.size() >= 500) {
            page.more = true;
            break;
        }
        page.machines.push_back(it->second->list_entry(now()));
    }
    return page;
}

void Platform::release(const std::vector<std::string>& machines) {
    ++message_count_;
    for (const auto& id : machines)
        if (const auto it = machines_.find(id); it != machines_.end()) {
            ++returned_count_;
            kill(*it->second);
        }
}

Rented Platform::rent(const Rent& ask) {
    ++message_count_;
    const MachineType* type = nullptr;
    for (const auto& x : plan_.types)
        if (x.name == ask.type && std::find(x.zones.begin(), x.zones.end(), ask.zone) != x.zones.end())
            type = &x;
    if (type == nullptr)
        return {ask.claim, RentOutcome::failed, {}};
    if (const auto known = claims_.find(ask.claim); known != claims_.end())
        return {ask.claim, RentOutcome::rented, known->second};
    const auto have = std::count_if(machines_.begin(), machines_.end(), [&](const auto& m) {
        const auto& x = *m.second;
        return x.type_.name == type->name && x.zone_ == ask.zone && x.spot_ == ask.spot;
    });
    const int n = std::min(ask.count, plan_.capacity - static_cast<int>(have));
    if (n <= 0)
        return {ask.claim, RentOutcome::no_capacity, {}};
    auto& names = claims_[ask.claim];
    for (int i = 0; i < n; ++i) {
        auto id = fmt::format("n-{:06}", ++rented_count_);
        auto w = std::make_unique<EmulatedWorker>(*this, id, *type, ask.zone, ask.spot,
                                                  now() + type->boot_s * random_between(0.6, 1.5));
        if (w->start() != 0)
            break;
        machines_[id] = std::move(w);
        names.push_back(std::move(id));
    }
    return {ask.claim, RentOutcome::rented, names};
}

} // namespace heronshift::local
