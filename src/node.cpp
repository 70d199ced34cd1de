#include "heronshift/node.hpp"

#include "heronshift/executor/http.hpp"
#include "heronshift/store/remote.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <spdlog/spdlog.h>

namespace heronshift {
namespace {

constexpr int retry_soon_s = 1;
constexpr double deaf_reports = 2.5; // intervals without a word from any worker: this node is cut off
constexpr std::size_t few_machines = 4;
constexpr std::size_t most_lookups = 100;     // under way
constexpr std::size_t most_remembered = 2000; // jobs accepted lately
constexpr const char* peer_prefix = "/peer";
constexpr const char* not_now = R"({"error":"not now, try again"})";

std::string error_body(const std::string& what) {
    return codec::Json{{"error", what}}.dump(-1, ' ', false, codec::Json::error_handler_t::replace);
}

} // namespace

bool RateBudget::would_take(double now, double n) {
    left_ = std::min(burst_, left_ + (now - at_) * rate_);
    at_ = now;
    return left_ >= n;
}

bool RateBudget::take(double now, double n) {
    if (!would_take(now, n)) return false;
    left_ -= n;
    return true;
}

Node::Node(uv_loop_t* loop, Settings settings, Parts parts)
    : s_(std::move(settings)), loop_(loop), clock_(parts.clock ? std::move(parts.clock) : std::make_shared<Clock>()),
      store_(parts.state ? std::move(parts.state) : std::make_unique<store::RemoteStore>(loop, s_.state)),
      executor_(parts.executor ? std::move(parts.executor) : std::make_unique<HttpExecutor>(loop, s_.cloud)),
      peer_client_(loop, 8, 64),
      // What a user's read may take when this node is alone with the store.
      store_budget_(s_.state_rps / 4, s_.state_rps / 6), submit_budget_(s_.state_write_rps / 5, s_.state_write_rps / 3),
      cloud_budget_(s_.cloud_rps * 0.8, std::max(1.0, s_.cloud_rps)),
      // Short, so that others take over soon: outages of the store are bridged by promises.
      tenancy_(std::min(s_.report_s, s_.lease_s / 5), s_.peers.size(), now()) {}

Node::~Node() {
    if (handles_ == nullptr) return;
    for (auto* h : {reinterpret_cast<uv_handle_t*>(&handles_->tick), reinterpret_cast<uv_handle_t*>(&handles_->wake),
                    reinterpret_cast<uv_handle_t*>(&handles_->check)}) {
        h->data = handles_;
        uv_close(h, [](uv_handle_t* x) {
            auto* all = static_cast<Handles*>(x->data);
            if (--all->open == 0) delete all;
        });
    }
}

int Node::start() {
    // Sockets: a part stays free for workers, peers, the store and the cloud.
    const auto fds = static_cast<std::size_t>(s_.fd_limit);
    users_ =
        std::make_unique<HttpServer>(loop_, fds * 7 / 10, 2 * s_.lease_s + 30,
                                     [this](HttpRequest&& r, Responder res) { on_user(std::move(r), std::move(res)); });
    peers_ = std::make_unique<HttpServer>(loop_, fds / 10, 2 * s_.lease_s + 30, [this](HttpRequest&& r, Responder res) {
        on_peer(std::move(r), std::move(res));
    });
    for (const auto& [server, at] : {std::pair{users_.get(), &s_.listen}, std::pair{peers_.get(), &s_.peer_listen}})
        if (!at->host.empty())
            if (const int e = server->listen(*at); e != 0) return e;
    executor_->reports_to([this](Report&& r, Executor::ReportDone done) { report(std::move(r), std::move(done)); });
    handles_ = new Handles;
    handles_->open = 3;
    uv_timer_init(loop_, &handles_->tick);
    uv_timer_init(loop_, &handles_->wake);
    uv_check_init(loop_, &handles_->check);
    handles_->tick.data = handles_->wake.data = handles_->check.data = this;
    const auto period = static_cast<std::uint64_t>(s_.report_s * 1000 / 30);
    uv_timer_start(
        &handles_->tick, [](uv_timer_t* t) { static_cast<Node*>(t->data)->tick(); }, 1, period);
    // Commands gather while the loop handles what has arrived, then the core takes them at once.
    uv_check_start(&handles_->check, [](uv_check_t* c) { static_cast<Node*>(c->data)->run_core(); });
    watch_office();
    learn_types();
    return 0;
}

void Node::stop() {
    if (office_ == Office::held) step_down("this node is ending");
    if (handles_ != nullptr) {
        uv_timer_stop(&handles_->tick);
        uv_check_stop(&handles_->check);
    }
    users_.reset();
    peers_.reset();
}

void Node::after(double delay_s, std::function<void()> f) {
    later_.push_back({now() + delay_s, std::move(f)});
    arm();
}

void Node::arm() {
    if (handles_ == nullptr) return;
    double at = now() + 1;
    for (const auto& l : later_) at = std::min(at, l.at);
    if (core_) at = queue_.empty() || !valid() ? std::min(at, core_->wake_at()) : 0;
    const double in = std::max(0.0, at - now());
    uv_timer_start(
        &handles_->wake, [](uv_timer_t* t) { static_cast<Node*>(t->data)->wake(); },
        // Never 0: libuv runs a timer that is due again at once for ever.
        std::max<std::uint64_t>(1, static_cast<std::uint64_t>(in * 1000 + 0.999)), 0);
}

void Node::wake() {
    std::vector<Later> due;
    const double t = now() + 0.0005;
    for (std::size_t i = 0; i < later_.size();) {
        if (later_[i].at > t) {
            ++i;
            continue;
        }
        due.push_back(std::move(later_[i]));
        later_[i] = std::move(later_.back());
        later_.pop_back();
    }
    for (auto& l : due) l.f();
    run_core();
    arm();
}

void Node::tick() {
    if (on_tick_) on_tick_();
    store_->sweep();
    executor_->sweep();
    peer_client_.sweep();
    const double t = now();
    if (t >= next_sweep_) {
        next_sweep_ = t + 1;
        users_->sweep();
        peers_->sweep();
    }
    if ((office_ == Office::held || office_ == Office::loading) && t >= next_renew_) renew();
    if (t >= next_types_) learn_types();
    if (office_ == Office::held && t >= next_list_) {
        next_list_ = t + std::max(s_.list_lag_s / 2, 2 / s_.cloud_rps);
        list_machines("");
    }
    cloud_pump();
    // Cut off from all workers at once, this node is the wrong holder: their leases would run out.
    if (valid() && core_ && t - std::max(workers_heard_, office_at_) > deaf_reports * s_.report_s &&
        core_->machines_up() >= few_machines) {
        resting_until_ = t + s_.lease_s;
        step_down("no worker has been heard of for a while");
    }
    // A cancellation that the store does not take in time is refused, not held back.
    for (auto it = cancels_.begin(); it != cancels_.end();) {
        if (t - it->second.since < s_.report_s / 2) {
            ++it;
            continue;
        }
        it->second.res.send(503, not_now, retry_soon_s);
        it = cancels_.erase(it);
    }
}

void Node::run_core() {
    if (!core_ || office_ != Office::held || running_core_) return;
    const double t = now();
    if ((queue_.empty() || !valid()) && t < core_->wake_at()) return;
    running_core_ = true;
    std::vector<Command> batch;
    batch.swap(queue_);
    const auto commands = batch.size();
    const double wall_now = wall();
    const bool entitled = valid();
    if (log_) log_->commands(batch, t, wall_now, entitled);
    auto effects = core_->step(batch, t, wall_now, entitled);
    if (log_) {
        log_->effects(effects);
        if (!log_->open()) {
            spdlog::warn("the command log ends here: {}", log_->why());
            log_.reset();
        }
    }
    const double took = now() - t;
    took_.step.add(took);
    if (took > s_.report_s / 100)
        spdlog::debug("a step took {:.0f} ms for {} commands and {} effects", took * 1000, commands, effects.size());
    queue_.insert(queue_.begin(), std::make_move_iterator(batch.begin()), std::make_move_iterator(batch.end()));
    const auto gen = generation_;
    for (auto& e : effects) {
        if (gen != generation_) break; // stepped down meanwhile
        perform(e);
    }
    running_core_ = false;
    arm();
}

void Node::perform(Effect& effect) {
    const auto gen = generation_;
    if (auto* e = std::get_if<Commit>(&effect)) {
        commit(std::move(*e), 0);
    } else if (auto* orders = std::get_if<SendOrders>(&effect)) {
        note_launches(orders->orders);
        executor_->command(*orders, s_.report_s / 2, [this, gen](OrdersAnswered&& a) {
            if (gen != generation_) return;
            if (a.status != 0) workers_heard_ = now();
            push(std::move(a));
            arm();
        });
    } else if (auto* reply = std::get_if<BeatAnswer>(&effect)) {
        const auto it = beats_.find(reply->handle);
        if (it == beats_.end()) return;
        // A 200 renews a lease, so it is sent only while nobody else can hold the office.
        const auto done = std::move(it->second.done);
        took_.report.add(now() - it->second.since);
        beats_.erase(it);
        note_launches(reply->orders);
        if (reply->status == 200 && valid())
            done({200, reply->fence, std::move(reply->orders), {}});
        else
            done({});
    } else if (auto* answer = std::get_if<CancelAnswer>(&effect)) {
        const auto it = cancels_.find(answer->handle);
        if (it == cancels_.end()) return;
        auto open = std::move(it->second);
        cancels_.erase(it);
        if (!answer->status.empty()) {
            open.res.send(200, codec::job_answer(open.id, answer->status));
            return;
        }
        look_up(open.id, [this, gen, open](Found f) {
            if (!f.known || gen != generation_) return open.res.send(503, not_now, retry_soon_s);
            if (f.status.empty()) return open.res.send(404, error_body("no such job"));
            if (f.status != codec::status_pending) return open.res.send(200, codec::job_answer(open.id, f.status));
            auto j = f.job ? codec::stored_job(f.job->value, wall()) : std::nullopt;
            // A damaged record: nobody can do anything with such a job.
            if (!j) return open.res.send(503, not_now, retry_soon_s);
            push(job_stored(std::move(*j), wall()));
            const auto h = ++handle_seq_;
            cancels_[h] = {open.res, open.id, now()};
            push(CancelAsked{open.id, h});
            arm();
        });
    } else if (auto* find = std::get_if<FindJob>(&effect)) {
        look_up(find->id, [this, gen, id = find->id](Found f) {
            if (gen != generation_) return;
            JobFound c{id, Known::no_answer, std::nullopt};
            if (f.known)
                c.state = f.status.empty()                      ? Known::never
                          : f.status == codec::status_done      ? Known::done
                          : f.status == codec::status_cancelled ? Known::cancelled
                                                                : Known::open;
            if (f.job)
                if (auto j = codec::stored_job(f.job->value, wall()); j) c.job = job_stored(std::move(*j), wall());
            push(std::move(c));
            arm();
        });
    } else if (auto* rent = std::get_if<Rent>(&effect)) {
        cloud_request([this, gen, ask = *rent](bool go) {
            auto done = [this, gen](Rented&& c) {
                if (gen != generation_) return;
                const double delay = c.outcome == RentOutcome::rented ? 0 : s_.report_s / 6;
                after(delay, [this, gen, c = std::move(c)]() mutable {
                    if (gen != generation_) return;
                    push(std::move(c));
                    arm();
                });
            };
            if (!go) return done({ask.claim, RentOutcome::failed, {}});
            executor_->rent(ask, s_.report_s * 2, done);
        });
    } else if (auto* release = std::get_if<Release>(&effect)) {
        cloud_request([this, gen, ask = *release](bool go) {
            auto done = [this, gen](Released&& c) {
                if (gen != generation_) return;
                push(std::move(c));
                arm();
            };
            if (!go) return done({ask.machines, false});
            executor_->release(ask, s_.report_s * 2, done);
        });
    } else if (auto* end = std::get_if<StepDown>(&effect)) {
        step_down(end->why);
    } else if (auto* line = std::get_if<Note>(&effect)) {
        spdlog::log(line->level == 0   ? spdlog::level::debug
                    : line->level == 1 ? spdlog::level::info
                                       : spdlog::level::warn,
                    "{}", line->text);
    }
}

store::Callback Node::watched(store::Callback done) {
    return [this, done = std::move(done)](store::Answer&& r) {
        if (r.status == 503 || (r.status == 0 && r.sent))
            store_fails_ = true;
        else if (r.status != 0)
            store_fails_ = false;
        done(std::move(r));
    };
}

void Node::cloud_request(std::function<void(bool)> ask) {
    cloud_queue_.push_back(std::move(ask));
    cloud_pump();
}

void Node::cloud_pump() {
    // What a holder asked for that may no longer act must not reach the cloud later.
    if (!valid())
        for (auto gone = std::move(cloud_queue_); !gone.empty(); gone.pop_front()) gone.front()(false);
    while (!cloud_queue_.empty() && cloud_budget_.take(now())) {
        const auto ask = std::move(cloud_queue_.front());
        cloud_queue_.pop_front();
        ask(true);
    }
}

void Node::list_machines(const std::string& since) {
    if (!core_ || cloud_queue_.size() > 4) return;
    const auto gen = generation_;
    if (since.empty()) {
        listing_.clear();
        listing_at_ = now();
    }
    cloud_request([this, gen, since](bool go) {
        if (!go) return;
        executor_->list(since, s_.report_s * 2, [this, gen](std::optional<codec::MachinePage>&& page) {
            if (gen != generation_ || !page) return;
            std::string last;
            for (auto& m : page->machines) {
                last = m.id;
                listing_.push_back(std::move(m));
            }
            if (page->more && !last.empty()) return list_machines(last);
            push(Listed{std::move(listing_), listing_at_});
            listing_.clear();
            arm();
        });
    });
}

// The types come from the cloud; the holder keeps a copy in the store for nodes that start while
// the cloud is in trouble.
void Node::learn_types() {
    next_types_ = now() + s_.report_s;
    if (learning_types_) return;
    const bool holder = office_ == Office::held;
    if (!types_.empty() && (!holder || now() - types_at_ < s_.lease_s)) return;
    learning_types_ = true;
    auto learned = [this](std::optional<std::vector<MachineType>>&& types) {
        learning_types_ = false;
        if (!types) return;
        const bool first = types_.empty();
        types_ = std::move(*types);
        types_at_ = now();
        if (first) spdlog::info("{} machine types known", types_.size());
        if (core_) {
            push(TypesKnown{types_});
            arm();
        }
        if (first) transact({{"types", 0}}, {{"types", codec::types_to_json(types_), 0}}, 1, [](store::Answer&&) {});
    };
    auto from_cloud = [this, learned] { executor_->types(s_.report_s * 2, learned); };
    if (!types_.empty()) return from_cloud();
    get("types", s_.report_s / 2, [this, learned, from_cloud](store::Answer&& r) {
        if (r.item) {
            if (auto types = codec::machine_types(r.item->value.dump()); types) {
                learning_types_ = false;
                types_ = std::move(*types);
                types_at_ = now();
                if (core_) push(TypesKnown{types_});
                return arm();
            }
        }
        from_cloud();
    });
}

void Node::on_user(HttpRequest&& r, Responder res) {
    call(std::move(r), std::move(res));
}

void Node::on_peer(HttpRequest&& r, Responder res) {
    if (!r.path.starts_with(peer_prefix)) return res.send(404, error_body("no such path"));
    r.path.erase(0, std::string_view(peer_prefix).size());
    if (r.path == "/promise") return asked_to_promise(r, res);
    if (r.path == "/office") return res.send(200, Json{{"holder", holder_}, {"term", office_term_}}.dump());
    serve(std::move(r), std::move(res), true);
}

void Node::serve(HttpRequest&& r, Responder res, bool forwarded) {
    const std::string_view path = r.path;
    const bool get = r.method == "GET", post = r.method == "POST";
    auto wrong_method = [&] { res.send(405, error_body("wrong method")); };
    if (path == codec::path_report) return post ? beat(r, res) : wrong_method();
    if (path == codec::path_health) {
        if (!get) return wrong_method();
        return types_.empty() ? res.send(503, not_now, retry_soon_s) : res.send(200, "{}");
    }
    if (path == "/metrics") {
        if (!get) return wrong_method();
        return res.send(200, metrics());
    }
    if (path == codec::path_jobs) return post ? submit(std::move(r), std::move(res), forwarded) : wrong_method();
    if (!path.starts_with(codec::path_jobs) || path.size() <= codec::path_jobs.size() + 1 ||
        path[codec::path_jobs.size()] != '/')
        return res.send(404, error_body("no such path"));
    auto rest = path.substr(codec::path_jobs.size() + 1);
    const auto slash = rest.find('/');
    const std::string id(rest.substr(0, slash));
    if (slash == std::string_view::npos) {
        if (!get) return wrong_method();
        // An id that can't have been accepted needs no reading.
        if (!codec::valid_job_id(id)) return res.send(404, error_body("no such job"));
        if (forwarded || valid()) return poll(id, std::move(res), forwarded);
        return forward(std::move(r), std::move(res), [this, id](Responder x) { poll(id, std::move(x), false); });
    }
    if (rest.substr(slash + 1) != codec::suffix_cancel) return res.send(404, error_body("no such path"));
    if (!post) return wrong_method();
    if (!codec::valid_job_id(id)) return res.send(404, error_body("no such job"));
    cancel(id, std::move(r), std::move(res), forwarded);
}

std::string Node::metrics() const {
    auto values = core_ ? core_->metrics() : std::vector<metrics::Value>{};
    values.push_back({"heronshift_requests_total", "from users and workers", static_cast<double>(requests_)});
    values.push_back({"heronshift_refused_total", "requests sent away for now", static_cast<double>(refused_)});
    return metrics::text(values, {{"heronshift_submit_seconds", "to store a job and answer", &took_.submit},
                                  {"heronshift_first_launch_seconds",
                                   "from when the holder knows a job to its first launch", &took_.launch},
                                  {"heronshift_report_seconds", "to answer a report", &took_.report},
                                  {"heronshift_commit_seconds", "to store a transaction", &took_.commit},
                                  {"heronshift_step_seconds", "of decisions", &took_.step}});
}

std::optional<ReportAnswer> Node::elsewhere() const {
    if (valid() && core_) return {};
    const bool other = !holder_.empty() && holder_ != s_.name;
    return ReportAnswer{other ? 421 : 503, 0, {}, other ? holder_ : ""};
}

void Node::beat(const HttpRequest& r, const Responder& res) {
    const auto answer = [res](const ReportAnswer& a) {
        if (a.status == 200) return res.send(200, codec::orders(a.fence, a.orders));
        if (a.status == 421) return res.send(421, codec::redirect(a.holder));
        res.send(a.status, "{}");
    };
    if (const auto other = elsewhere(); other) return answer(*other);
    auto read = codec::report(r.body);
    if (!read) {
        spdlog::warn("malformed report");
        return res.send(400, error_body("malformed report"));
    }
    report(std::move(*read), answer);
}

void Node::report(Report&& r, Executor::ReportDone done) {
    if (const auto other = elsewhere(); other) return done(*other);
    const auto h = ++handle_seq_;
    beats_[h] = {std::move(done), now()};
    workers_heard_ = now();
    push(Beat{std::move(r), h});
}

void Node::note_launches(const std::vector<Order>& orders) {
    for (const auto& o : orders)
        if (o.verb == Verb::launch) first_launches_.launched(o.job, now(), took_.launch);
}

// Passes a request on to the holder; what it does not answer is handled here.
void Node::forward(HttpRequest&& r, Responder res, std::function<void(Responder)> otherwise) {
    const Peer* to = nullptr;
    for (const auto& p : s_.peers)
        if (p.name == holder_) to = &p;
    if (to == nullptr) return otherwise(std::move(res));
    peer_client_.request(to->addr.str(), r.method == "GET" ? "GET" : "POST", peer_prefix + r.path, std::move(r.body),
                         s_.report_s / 3, [res, otherwise](HttpReply&& a) {
                             if (a.status == 0 || a.status == 503) return otherwise(res);
                             res.send(a.status, a.body, a.status == 429 ? retry_soon_s : 0);
                         });
}

void Node::look_up(const std::string& id, std::function<void(Found)> done) {
    if (!store_budget_.take(now(), 2) || lookups_ > most_lookups) {
        ++refused_;
        return done({});
    }
    ++lookups_;
    get("j/" + id, s_.report_s / 3, [this, id, done](store::Answer&& r) {
        Found f;
        f.job = std::move(r.item);
        if (r.status != 404 && !f.job) {
            --lookups_;
            return done({});
        }
        // The final state is read last: it is never taken back, and it is there before the job's
        // record goes.
        get("f/" + id, s_.report_s / 3, [this, done, f](store::Answer&& q) mutable {
            --lookups_;
            if (q.status == 200) {
                const auto final = q.item ? codec::stored_final(q.item->value) : std::nullopt;
                if (!final) return done({});
                f.status = final->status;
                f.service = final->service;
                f.known = true;
            } else if (q.status == 404) {
                f.known = true;
                if (f.job) f.status = codec::status_pending;
            }
            done(std::move(f));
        });
    });
}

void Node::poll(const std::string& id, Responder res, bool forwarded) {
    if (valid() && core_) {
        if (const auto v = core_->view(id); v)
            return res.send(200, codec::job_answer(id, v->status, v->done, v->running));
    } else if (forwarded) {
        return res.send(503, not_now, retry_soon_s);
    }
    look_up(id, [id, res](Found f) {
        if (!f.known) return res.send(503, not_now, retry_soon_s);
        if (f.status.empty()) return res.send(404, error_body("no such job"));
        res.send(200, codec::job_answer(id, f.status, 0, 0));
    });
}

void Node::cancel(const std::string& id, HttpRequest&& r, Responder res, bool forwarded) {
    if (!valid() || !core_) {
        if (forwarded) return res.send(503, not_now, retry_soon_s);
        // Only the holder decides, so that its answers from memory are never old.
        return forward(std::move(r), std::move(res), [](Responder x) { x.send(503, not_now, retry_soon_s); });
    }
    const auto h = ++handle_seq_;
    cancels_[h] = {std::move(res), id, now()};
    push(CancelAsked{id, h});
}

std::string Node::impossible(const JobSpec& s) const {
    const TeamLimits* team = nullptr;
    for (const auto& t : s_.teams)
        if (t.name == s.team) team = &t;
    if (team == nullptr) return "owner: unknown team";
    const double n = s.shape == Shape::array ? 1 : s.tasks;
    if (team->cpus_max > 0 && s.each.cpus * n > team->cpus_max + 1e-6) return "cpus: beyond the team's limit";
    if (team->gpus_max > 0 && s.each.gpus * n > team->gpus_max + 1e-6) return "accelerators: beyond the team's limit";
    if (std::find(s.needs.begin(), s.needs.end(), s.id) != s.needs.end()) return "waitsOn: names the job itself";
    // Its longest record, with the times written out.
    const auto record = codec::to_record({s, 1e9 + 0.123456, 1e9 + 0.123456, !s.needs.empty(), {}}).dump().size() + 40;
    if (record > static_cast<std::size_t>(s_.value_kb * 1024))
        return fmt::format("the job's record is longer than the {} KiB that the state service takes", s_.value_kb);
    for (const auto& t : types_) {
        if (!s.types.empty() && std::find(s.types.begin(), s.types.end(), t.name) == s.types.end()) continue;
        if (!s.zone.empty() && std::find(t.zones.begin(), t.zones.end(), s.zone) == t.zones.end()) continue;
        if (s.each.fits(t.room)) return {};
    }
    return "a task fits no allowed machine type";
}

void Node::submit(HttpRequest&& r, Responder res, bool forwarded) {
    auto parsed = codec::submission(r.body);
    std::string refusal;
    int status = 0;
    std::string id;
    if (auto* bad = std::get_if<codec::Invalid>(&parsed)) {
        status = 400;
        refusal = bad->why;
        // Even then a known id gets its state.
        if (const auto j = codec::parse(r.body); j.is_object() && j.contains("id") && j["id"].is_string())
            id = j["id"].get<std::string>();
        if (!codec::valid_job_id(id)) return res.send(400, error_body(refusal));
    } else {
        id = std::get<JobSpec>(parsed).id;
    }
    if (valid() && core_)
        if (const auto v = core_->view(id); v) return res.send(200, codec::job_answer(id, v->status));
    if (status == 0) {
        if (types_.empty()) return res.send(503, not_now, retry_soon_s);
        refusal = impossible(std::get<JobSpec>(parsed));
        if (!refusal.empty()) status = 422;
    }
    if (status != 0) return refuse_unless_known(id, status, refusal, res);
    auto spec = std::move(std::get<JobSpec>(parsed));
    if (!spec.needs.empty()) {
        auto c = std::make_shared<Chained>(Chained{std::move(spec), std::move(r), std::move(res), forwarded, now(), 0});
        return check_needs(c);
    }
    accept(std::move(spec), std::move(r), std::move(res), forwarded);
}

// A known id gets its state, whatever else is wrong.
void Node::refuse_unless_known(const std::string& id, int status, const std::string& why, const Responder& res) {
    look_up(id, [id, res, status, why](Found f) {
        if (!f.known) return res.send(503, not_now, retry_soon_s);
        if (!f.status.empty()) return res.send(200, codec::job_answer(id, f.status));
        res.send(status, error_body(why));
    });
}

void Node::accept(JobSpec spec, HttpRequest&& r, Responder res, bool forwarded) {
    if (!submit_budget_.take(now())) {
        ++refused_;
        spdlog::debug("submission of {} refused, too many at once", spec.id);
        return res.send(429, not_now, retry_soon_s);
    }
    store_job(std::move(spec), std::move(r), std::move(res), forwarded, 0);
}

// That a job was accepted stays true, so it is remembered; that it never was is said only after a
// fresh read. One need after the other, within the budget for reads.
void Node::check_needs(const std::shared_ptr<Chained>& c) {
    auto refuse = [this, c](const std::string& why) {
        refuse_unless_known(c->spec.id, 422, "waitsOn: " + why, c->res);
    };
    for (; c->next < c->spec.needs.size(); ++c->next) {
        const auto& id = c->spec.needs[c->next];
        if (accepted_.contains(id)) continue;
        if (const auto shape = valid() && core_ ? core_->shape_of(id) : std::nullopt; shape) {
            if (*shape == Shape::service) return refuse(id + " is a service");
            continue;
        }
        if (!store_budget_.would_take(now(), 2) || lookups_ > most_lookups) {
            if (now() - c->since > s_.report_s / 2) {
                ++refused_;
                return c->res.send(503, not_now, retry_soon_s);
            }
            return after(s_.report_s / 60, [this, c] { check_needs(c); });
        }
        return look_up(id, [this, c, id, refuse](Found f) {
            if (!f.known) return c->res.send(503, not_now, retry_soon_s);
            if (f.status.empty()) return refuse(id + " was never accepted");
            const auto j = f.job ? codec::stored_job(f.job->value, wall()) : std::nullopt;
            if (f.service || (j && j->spec.shape == Shape::service)) return refuse(id + " is a service");
            remember_accepted(id);
            check_needs(c);
        });
    }
    accept(std::move(c->spec), std::move(c->request), std::move(c->res), c->forwarded);
}

void Node::remember_accepted(const std::string& id) {
    if (!accepted_.insert(id).second) return;
    accepted_order_.push_back(id);
    if (accepted_order_.size() <= most_remembered) return;
    accepted_.erase(accepted_order_.front());
    accepted_order_.pop_front();
}

void Node::store_job(JobSpec spec, HttpRequest&& request, Responder res, bool forwarded, int tries) {
    const double at = wall(), began = now();
    const bool waits = !spec.needs.empty();
    const std::vector<codec::Guard> guards{{"j/" + spec.id, 0}, {"f/" + spec.id, 0}};
    const std::vector<codec::Write> writes{{"j/" + spec.id, codec::to_record({spec, at, -1, waits, {}}), 0}};
    // Where the store does not answer this node, another may still be served within the user's time.
    const double patience = forwarded ? s_.report_s / 2 : s_.report_s / 10;
    transact(guards, writes, patience,
             [this, spec = std::move(spec), request = std::move(request), res, forwarded, tries, at, began,
              waits](store::Answer&& r) mutable {
                 const auto id = spec.id;
                 if (r.status == 200) {
                     took_.submit.add(now() - began);
                     if (spec.shape != Shape::service) remember_accepted(id);
                     if (core_ && office_ == Office::held) {
                         first_launches_.known(id, now());
                         push(JobStored{std::move(spec), std::max(0.0, wall() - at), -1, waits});
                         arm();
                     }
                     return res.send(201, codec::job_answer(id, codec::status_pending));
                 }
                 if (r.status == 409) {
                     return look_up(id, [id, res](Found f) {
                         if (!f.known || f.status.empty()) return res.send(503, not_now, retry_soon_s);
                         res.send(200, codec::job_answer(id, f.status));
                     });
                 }
                 // The budget is shared: a moment later there may be room.
                 if (r.status == 429 && tries < 3) {
                     after(0.05 * (1 + tries), [this, spec = std::move(spec), request = std::move(request), res,
                                                forwarded, tries]() mutable {
                         store_job(std::move(spec), std::move(request), res, forwarded, tries + 1);
                     });
                     return;
                 }
                 const auto refuse = [this, id, status = r.status](const Responder& x) {
                     ++refused_;
                     spdlog::debug("submission of {} refused, the store said {}", id, status);
                     x.send(503, not_now, retry_soon_s);
                 };
                 // A process of the version before would take a chained job for one that may start.
                 if (forwarded || waits || r.status == 429) return refuse(res);
                 forward(std::move(request), res, refuse);
             });
}

} // namespace heronshift
