#include "node/controller.hpp"

#include "http_status.hpp"
#include "overloaded.hpp"

#include <algorithm>
#include <iterator>
#include <spdlog/spdlog.h>

namespace heronshift {

using gateway::default_retry_after_s;

namespace {

constexpr double oversized_log_interval_s = 1;

spdlog::level::level_enum level_of(const LogLine& line) {
    switch (line.level) {
    case LogLine::Level::debug:
        return spdlog::level::debug;
    case LogLine::Level::info:
        return spdlog::level::info;
    case LogLine::Level::warning:
        break;
    }
    return spdlog::level::warn;
}

} // namespace

Controller::Controller(Settings settings, Parts parts)
    : settings_(std::move(settings)), clock_(std::move(parts.clock)), timers_(clock_), store_(std::move(parts.state)),
      executor_(std::move(parts.executor)), peers_(std::move(parts.peers)),
      membership_(settings_, timers_, store_, *executor_, peers_, *this),
      election_(settings_, timers_, store_, peers_, membership_, timings_, *this),
      gateway_(settings_, timers_, store_, peers_, membership_, timings_, *this),
      heartbeat_handler_(settings_, timers_, *executor_, peers_, membership_, timings_, *this),
      cloud_(settings_, timers_, store_, *executor_, *this) {
    store_.on_answer = [this](bool ok) { membership_.store_answered(ok); };
    peers_.on_answer = [this](const std::string& name, bool ok) { membership_.peer_answered(name, ok); };
    timers_.on_change = [this] {
        if (on_wake_at)
            on_wake_at();
    };
}

void Controller::start() {
    election_.start();
    cloud_.start();
}

void Controller::stop() {
    election_.stop();
}

void Controller::tick() {
    store_.sweep();
    executor_->sweep();
    peers_.sweep();
    membership_.tick();
    election_.tick();
    cloud_.tick();
    heartbeat_handler_.retry_pending_heartbeats();
    gateway_.tick();
}

void Controller::wake() {
    timers_.run();
    run_core();
}

double Controller::wake_at() const {
    const double at = timers_.next_at();
    if (!core_)
        return at;
    return queue_.empty() || !election_.valid() ? std::min(at, core_->wake_at()) : 0;
}

void Controller::push(Command command) {
    if (!core_)
        return;
    if (const auto* released = std::get_if<Released>(&command); released != nullptr && released->ok)
        stop_probing(released->machines); // again, since a heartbeat after the request resumes the probing
    queue_.push_back(std::move(command));
    if (on_wake_at)
        on_wake_at();
}

void Controller::leadership_acquired(std::uint64_t term, Snapshot&& stored) {
    const double at = timers_.now(), wall_at = timers_.wall();
    ++core_generation_;
    queue_.clear();
    if (log_)
        log_->begin(settings_, term, stored, at, wall_at);
    core_ = std::make_unique<Core>(settings_, term, stored, at, wall_at);
    spdlog::info("state loaded term={} jobs={} records={}", term, stored.jobs.size(),
                 stored.intents.size() + stored.progress.size() + stored.legacy.size());
    cloud_.on_leadership_acquired();
    heartbeat_handler_.retry_pending_heartbeats();
    if (on_wake_at)
        on_wake_at();
}

void Controller::leadership_lost() {
    ++core_generation_;
    core_.reset();
    queue_.clear();
    cloud_.on_leadership_lost();
    heartbeat_handler_.on_leadership_lost();
    gateway_.on_leadership_lost();
}

void Controller::jobs_stored_by_others(std::vector<codec::StoredJob>&& jobs) {
    for (auto& stored_job : jobs)
        push(job_stored(std::move(stored_job), timers_.wall()));
}

void Controller::committed(TxnOutcome outcome) {
    push(Committed{outcome});
}

void Controller::stored(JobStored&& command) {
    if (!core_)
        return;
    timings_.first_launches.record_known(command.spec.id, timers_.now());
    push(std::move(command));
}

void Controller::run_core() {
    if (!core_ || running_core_)
        return;
    const double now = timers_.now();
    if ((queue_.empty() || !election_.valid()) && now < core_->wake_at())
        return;
    running_core_ = true;
    std::vector<Command> batch;
    batch.swap(queue_);
    auto effects = step_core(batch, now);
    // The commands that the core has left in the batch go before those that were queued meanwhile.
    queue_.insert(queue_.begin(), std::make_move_iterator(batch.begin()), std::make_move_iterator(batch.end()));
    const auto generation = core_generation_;
    for (auto& effect : effects) {
        if (generation != core_generation_)
            break; // an earlier effect has ended the leadership
        perform(effect);
    }
    running_core_ = false;
    if (on_wake_at)
        on_wake_at();
}

std::vector<Effect> Controller::step_core(std::vector<Command>& batch, double now) {
    const auto commands = batch.size();
    const double wall_now = timers_.wall();
    const bool may_act = election_.valid();
    if (log_)
        log_->commands(batch, now, wall_now, may_act);
    auto effects = core_->step(batch, now, wall_now, may_act);
    record_effects(effects);
    const double duration_s = timers_.now() - now;
    timings_.step.add(duration_s);
    if (duration_s > settings_.report_s / 100)
        spdlog::debug("slow core step duration_ms={:.0f} commands={} effects={}", duration_s * 1000, commands,
                      effects.size());
    return effects;
}

void Controller::record_effects(const std::vector<Effect>& effects) {
    if (!log_)
        return;
    log_->effects(effects);
    if (log_->open())
        return;
    spdlog::warn("command log ended reason=\"{}\"", log_->why());
    log_.reset();
}

void Controller::perform(Effect& effect) {
    const auto to_core = [this, generation = core_generation_](auto&& command) {
        if (generation == core_generation_)
            push(std::forward<decltype(command)>(command));
    };
    std::visit(Overloaded{
                   [this](Commit& e) { election_.commit(std::move(e)); },
                   [&](SendOrders& e) { heartbeat_handler_.send(e, to_core); },
                   [this](AnswerHeartbeat& e) { heartbeat_handler_.answer(std::move(e)); },
                   [this](AnswerCancellation& e) { gateway_.answer_cancellation(e); },
                   [&](FindJob& e) { gateway_.find(e.id, to_core); },
                   [this](Rent& e) { cloud_.rent(e); },
                   [this](Release& e) {
                       stop_probing(e.machines);
                       cloud_.release(e);
                   },
                   [this](Resign& e) { election_.resign(e.why); },
                   [](LogLine& e) { spdlog::log(level_of(e), "{}", e.text); },
               },
               effect);
}

// Stops the probing of machines that are being released.
void Controller::stop_probing(const std::vector<std::string>& machines) {
    const auto& all = core_->state().machines;
    for (const auto& id : machines)
        if (const auto it = all.find(id); it != all.end())
            membership_.stop_probing(it->second->zone_name, it->second->addr);
}

void Controller::serve_peer(HttpRequest&& request, const Responder& res) {
    if (!request.path.starts_with(peer_prefix))
        return res.send(http_status::not_found, codec::error_answer("no such path"));
    request.path.erase(0, std::string_view(peer_prefix).size());
    if (request.path == "/view")
        return membership_.handle_view(request, res);
    if (request.path == "/promise")
        return election_.handle_extension_vote_request(request, res);
    if (request.path == "/take")
        return election_.handle_takeover_request(request, res);
    if (request.path == "/relay")
        return heartbeat_handler_.forward(std::move(request), res);
    if (request.path == "/office") // used by versions that do not exchange views
        return res.send(http_status::ok,
                        codec::Json{{"holder", election_.leader()}, {"term", election_.leader_term()}}.dump());
    serve(std::move(request), res, true);
}

void Controller::serve(HttpRequest&& request, const Responder& res) {
    ++timings_.requests;
    serve(std::move(request), res, false);
}

void Controller::serve(HttpRequest&& request, const Responder& res, bool forwarded) {
    const std::string_view path = request.path;
    const bool get = request.method == "GET", post = request.method == "POST";
    const auto send_wrong_method = [&] {
        res.send(http_status::method_not_allowed, codec::error_answer("wrong method"));
    };
    if (path == codec::path_heartbeat)
        return post ? heartbeat_handler_.handle_heartbeat(std::move(request), res, forwarded) : send_wrong_method();
    if (path == codec::path_health)
        return get ? serve_health(res) : send_wrong_method();
    if (path == "/metrics")
        return get ? res.send(http_status::ok, metrics()) : send_wrong_method();
    if (path.starts_with(codec::path_jobs))
        return gateway_.serve(std::move(request), res, forwarded);
    res.send(http_status::not_found, codec::error_answer("no such path"));
}

// A worker whose heartbeat is too long repeats it every second, so only one line a second is logged.
void Controller::record_oversized_request(std::string_view path) {
    ++timings_.oversized_requests;
    if (timers_.now() < next_oversized_log_at_)
        return;
    next_oversized_log_at_ = timers_.now() + oversized_log_interval_s;
    spdlog::warn("request rejected reason=\"body too long\" path={} total={}", path, timings_.oversized_requests);
}

void Controller::serve_health(const Responder& res) const {
    if (types().empty() || !membership_.can_serve_users())
        return res.send(http_status::service_unavailable, codec::not_now, default_retry_after_s);
    res.send(http_status::ok, "{}");
}

std::string Controller::zone_of(const std::string& machine) const {
    if (!core_)
        return {};
    const auto& all = core_->state().machines;
    const auto it = all.find(machine);
    return it == all.end() ? "" : it->second->zone_name;
}

bool Controller::is_inbound_unreachable(const std::string& machine) const {
    if (!core_)
        return false;
    const auto& all = core_->state().machines;
    const auto it = all.find(machine);
    return it != all.end() && it->second->inbound_unreachable();
}

std::map<std::string, std::size_t> Controller::machines_by_zone() const {
    std::map<std::string, std::size_t> out;
    if (core_)
        for (const auto& [id, machine] : core_->state().machines)
            if (machine->status == cluster::MachineStatus::up && !machine->releasing)
                ++out[machine->zone_name];
    return out;
}

std::string Controller::metrics() const {
    auto values = core_ ? core_->metrics() : std::vector<metrics::Value>{};
    for (auto&& part : {election_.metrics(), membership_.metrics()})
        values.insert(values.end(), part.begin(), part.end());
    values.push_back(
        {"heronshift_relayed_total", "reports and orders passed on for others", static_cast<double>(timings_.relayed)});
    values.push_back({"heronshift_sent_by_others_total", "orders that another passed on for this controller",
                      static_cast<double>(timings_.relayed_by_others)});
    values.push_back({"heronshift_requests_total", "from users and workers", static_cast<double>(timings_.requests)});
    values.push_back({"heronshift_refused_total", "requests sent away for now", static_cast<double>(timings_.refused)});
    values.push_back({"heronshift_oversized_requests_total", "requests refused because of their length",
                      static_cast<double>(timings_.oversized_requests)});
    const std::pair<const char*, std::uint64_t> answers[] = {{"memory", timings_.answers_from_memory},
                                                             {"remembered final state", timings_.answers_from_cache},
                                                             {"final state", timings_.answers_from_finals},
                                                             {"cascade record", timings_.answers_from_cascades},
                                                             {"job record", timings_.answers_from_jobs}};
    for (const auto& [source, count] : answers)
        values.push_back({"heronshift_answers_total",
                          "to questions about jobs, by what they were read from",
                          static_cast<double>(count),
                          {{"source", source}}});
    return metrics::text(values, {{"heronshift_submit_seconds", "to store a job and answer", &timings_.submit},
                                  {"heronshift_first_launch_seconds",
                                   "from when the holder knows a job to its first launch", &timings_.launch},
                                  {"heronshift_report_seconds", "to answer a report", &timings_.heartbeat},
                                  {"heronshift_commit_seconds", "to store a transaction", &timings_.commit},
                                  {"heronshift_step_seconds", "of decisions", &timings_.step}});
}

} // namespace heronshift
