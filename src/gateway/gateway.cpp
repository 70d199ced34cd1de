#include "gateway/gateway.hpp"

#include "http_status.hpp"
#include "memory_share.hpp"
#include "persistence/layout.hpp"
#include "persistence/stored_records.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <spdlog/spdlog.h>

namespace heronshift::gateway {
namespace {

using codec::error_answer;
using codec::not_now;
using persistence::cascade_prefix;
using persistence::final_key;
using persistence::job_key;
using persistence::max_cascade_records;

// The limit for look-ups in flight: as many as the rate limit of reads lets start while one look-up waits for three
// reads that are not answered. So the rate limit takes effect first. Beyond either limit, the answer is 503 with
// Retry-After.
constexpr std::size_t min_lookup_limit = 100;
constexpr double reads_per_lookup = 3;
// The sizes of the caches, as shares of the memory limit. What is no longer cached is read from the store again, within
// the rate limit of reads. At 72 MB the caches hold 8,192 accepted jobs, 14,745 final states, and 8,192 refused clients
// for each of the two token buckets. Beyond that, the client that was refused first is removed, and is then treated
// like one that was never refused. An accepted job takes 144 bytes, a final state 160.
constexpr double accepted_jobs_memory_share = 1.0 / 64, final_states_memory_share = 1.0 / 32,
                 refused_memory_share = 1.0 / 64;
constexpr std::size_t job_entry_bytes = 160, final_state_entry_bytes = 160;
constexpr double full_reserve_after_leases = 2;        // until a read that keeps being refused takes precedence
constexpr int max_store_retries = 3;                   // while the store's rate limit is exceeded
constexpr double store_retry_delay_s = 0.05;           // before the first of these; the delay grows with each
constexpr double lookup_time_s = 2, submit_time_s = 5; // how long users wait for an answer by the protocol
constexpr double forwarding_time_share = 0.8;          // for forwarding, shared by all attempts
constexpr double rounding_tolerance = 1e-6;            // by which a demand may exceed a team's limit

std::size_t max_refused_clients(const Settings& settings) {
    return entries_in_share(settings.memory_mb, refused_memory_share, job_entry_bytes);
}

void send_unavailable(const Responder& res) {
    res.send(http_status::service_unavailable, not_now, default_retry_after_s);
}

void send_no_such_path(const Responder& res) {
    res.send(http_status::not_found, error_answer("no such path"));
}

void send_no_such_job(const Responder& res) {
    res.send(http_status::not_found, error_answer("no such job"));
}

void send_wrong_method(const Responder& res) {
    res.send(http_status::method_not_allowed, error_answer("wrong method"));
}

void send_status(const std::string& id, const std::string& status, const Responder& res) {
    res.send(http_status::ok, codec::job_answer(id, status));
}

// The id of a submission, also if the rest of it is invalid; empty if it has none.
std::string submitted_id(const std::string& body) {
    const auto json = codec::parse(body);
    return json.is_object() && json.contains("id") && json["id"].is_string() ? json["id"].get<std::string>() : "";
}

template <class Values, class Value> bool contains(const Values& values, const Value& value) {
    return std::find(values.begin(), values.end(), value) != values.end();
}

} // namespace

Gateway::Gateway(const Settings& settings, TimerQueue& timers, store::StateStore& store, Peers& peers,
                 const membership::Membership& membership, metrics::Timings& timings, Host& host)
    : settings_(settings), timers_(timers), store_(store), peers_(peers), membership_(membership), timings_(timings),
      host_(host),
      // The rates available to users' requests while no other node uses the store.
      read_budget_(settings.state_rps / 4, settings.state_rps / 6, full_reserve_after_leases * settings.lease_s,
                   max_refused_clients(settings)),
      submission_budget_(settings.state_write_rps / 5, settings.state_write_rps / 3, settings.lease_s,
                         max_refused_clients(settings)),
      max_lookups_(std::max(min_lookup_limit,
                            static_cast<std::size_t>(settings.state_rps / 4 * reads_per_lookup * lookup_time_s))),
      accepted_jobs_(entries_in_share(settings.memory_mb, accepted_jobs_memory_share, job_entry_bytes)),
      final_states_(entries_in_share(settings.memory_mb, final_states_memory_share, final_state_entry_bytes)) {}

void Gateway::serve(HttpRequest&& request, const Responder& res, bool forwarded) {
    const bool post = request.method == "POST";
    const std::string_view path = request.path;
    if (path == codec::path_jobs)
        return post ? submit(std::move(request), res, forwarded) : send_wrong_method(res);
    if (path.size() <= codec::path_jobs.size() + 1 || path[codec::path_jobs.size()] != '/')
        return send_no_such_path(res);
    const auto rest = path.substr(codec::path_jobs.size() + 1);
    const auto slash = rest.find('/');
    const std::string id(rest.substr(0, slash));
    if (slash == std::string_view::npos)
        return request.method == "GET" ? get(id, std::move(request), res, forwarded) : send_wrong_method(res);
    if (rest.substr(slash + 1) != codec::suffix_cancel)
        return send_no_such_path(res);
    return post ? cancel(id, std::move(request), res, forwarded) : send_wrong_method(res);
}

void Gateway::tick() {
    // A cancellation that is not stored in time is refused, so that the user can retry, instead of waiting on.
    for (auto it = cancellations_.begin(); it != cancellations_.end();) {
        if (timers_.now() - it->second.received_at < settings_.report_s / 2) {
            ++it;
            continue;
        }
        send_unavailable(it->second.res);
        it = cancellations_.erase(it);
    }
}

void Gateway::on_leadership_lost() {
    ++generation_;
    for (const auto& [handle, cancellation] : std::exchange(cancellations_, {}))
        send_unavailable(cancellation.res);
}

// The controllers to which a request can be forwarded: the leader (`to_leader`), and a controller that reaches the
// store if this node does not (`to_store`).
std::vector<std::string> Gateway::forwarding_targets(bool to_leader, bool to_store) const {
    std::vector<std::string> out;
    const auto& leader = host_.leader();
    if (to_leader && !leader.empty() && leader != settings_.name &&
        membership_.peer(leader) != membership::Reachability::unreachable)
        out.push_back(leader);
    if (to_store && membership_.store() == membership::Reachability::unreachable)
        if (const auto relay = membership_.relay_to_store(leader); relay && (out.empty() || *relay != out.front()))
            out.push_back(*relay);
    return out;
}

// Forwards a request to the controllers in `targets`, one after the other, until one answers; if none does, `fallback`
// handles it. Repeating a request at several controllers is safe: a job is accepted only once, and only the leader
// cancels jobs.
void Gateway::forward(SharedRequest request, const Responder& res, std::vector<std::string> targets, double time_left_s,
                      Fallback fallback) {
    if (targets.empty())
        return fallback(res);
    const double attempt_timeout_s =
        std::min(settings_.report_s / 3, forwarding_time_share * time_left_s / static_cast<double>(targets.size()));
    const auto target = targets.front();
    targets.erase(targets.begin());
    const char* method = request->method == "GET" ? "GET" : "POST";
    const auto path = peer_prefix + request->path;
    auto body = request->body;
    auto on_reply = [this, request = std::move(request), res, targets = std::move(targets),
                     remaining_s = time_left_s - attempt_timeout_s,
                     fallback = std::move(fallback)](HttpReply&& reply) mutable {
        if (reply.status == http_status::no_answer || reply.status == http_status::service_unavailable)
            return forward(std::move(request), res, std::move(targets), remaining_s, std::move(fallback));
        if (const auto job = reply.status == http_status::ok ? codec::job_answer_of(reply.body) : std::nullopt; job)
            cache_final_state(job->id, job->status);
        res.send(reply.status, reply.body, reply.status == http_status::too_many_requests ? default_retry_after_s : 0);
    };
    peers_.request(PeerRequestClass::users, target, method, path, std::move(body), attempt_timeout_s,
                   std::move(on_reply));
}

void Gateway::cache_final_state(const std::string& id, const std::string& status) {
    if (status == codec::status_done || status == codec::status_cancelled)
        final_states_.add(id, status);
}

bool Gateway::send_cached_final_state(const std::string& id, const Responder& res) const {
    const auto* status = final_states_.find(id);
    if (status != nullptr)
        send_status(id, *status, res);
    return status != nullptr;
}

bool Gateway::send_status_if_known(const std::string& id, const Responder& res) const {
    if (send_cached_final_state(id, res))
        return true;
    const auto view = view_from_memory(id);
    if (view)
        res.send(http_status::ok, codec::job_answer(id, view->status));
    return view.has_value();
}

// Look-ups. The final state is read first, since most jobs that the leader does not know are over, and once more at the
// end: it may have been stored meanwhile, it is never removed, and it is stored before the job's record is removed. If
// a read fails, the look-up ends at once as `unanswered`.

void Gateway::LookupResult::set_accepted(std::string_view known_status) {
    acceptance = Acceptance::accepted;
    status = known_status;
}

bool Gateway::begin_lookup(const std::string& id) {
    if (membership_.store() == membership::Reachability::unreachable)
        return false;
    const double now = timers_.now();
    if (lookups_in_flight_ <= max_lookups_ && read_budget_.take(id, now))
        return true;
    read_budget_.refused(id, now);
    return false;
}

void Gateway::look_up(const std::string& id, LookupDone done) {
    if (!begin_lookup(id)) {
        ++timings_.refused;
        return done({});
    }
    ++lookups_in_flight_;
    read_final_state(std::make_shared<Lookup>(Lookup{id, std::move(done), {}}));
}

void Gateway::end_lookup(const LookupPtr& lookup) {
    --lookups_in_flight_;
    if (lookup->result.acceptance == Acceptance::accepted)
        cache_final_state(lookup->id, lookup->result.status);
    lookup->done(lookup->result);
}

Gateway::FinalStateRead Gateway::parse_final_state(const store::Answer& answer, LookupResult& result) {
    if (answer.status == http_status::not_found)
        return FinalStateRead::none;
    if (answer.status != http_status::ok)
        return FinalStateRead::unanswered;
    const auto final = answer.item ? codec::stored_final(answer.item->value) : std::nullopt;
    if (!final)
        return FinalStateRead::damaged;
    result.set_accepted(final->status);
    result.service = final->service;
    return FinalStateRead::read;
}

void Gateway::read_final_state(const LookupPtr& lookup) {
    store_.get(final_key(lookup->id), settings_.report_s / 3, [this, lookup](const store::Answer& answer) {
        const auto final = parse_final_state(answer, lookup->result);
        if (final == FinalStateRead::unanswered || final == FinalStateRead::read)
            return end_lookup(lookup);
        // If the final state is damaged, the job's record may still contain it.
        read_budget_.spend(timers_.now(), reads_per_lookup - 1);
        read_job_record(lookup);
    });
}

void Gateway::read_job_record(const LookupPtr& lookup) {
    store_.get(job_key(lookup->id), settings_.report_s / 3, [this, lookup](store::Answer&& answer) {
        if (answer.status != http_status::not_found && !answer.item)
            return end_lookup(lookup);
        lookup->result.job = std::move(answer.item);
        const auto& record = lookup->result.job;
        const auto job = record ? codec::stored_job(record->value, 0) : std::nullopt;
        const bool may_wait = record && (!job || job->waits);
        may_wait ? read_cascade_records(lookup) : reread_final_state(lookup);
    });
}

// A job that waits for dependencies may be cancelled with them before its own final state is stored. It is removed from
// its cascade record only after that, so the cascade records are read before the last read of the final state
// (invariant 15).
void Gateway::read_cascade_records(const LookupPtr& lookup) {
    read_budget_.spend(timers_.now(), 1);
    store_.list(std::string(cascade_prefix), "", max_cascade_records, settings_.report_s / 3,
                [this, lookup](const store::Answer& answer) {
                    if (answer.status != http_status::ok || answer.more)
                        return end_lookup(lookup);
                    const bool cancelled =
                        std::any_of(answer.items.begin(), answer.items.end(), [&](const codec::Item& item) {
                            return contains(persistence::decode_cascade(item.value), lookup->id);
                        });
                    if (!cancelled)
                        return reread_final_state(lookup);
                    lookup->result.set_accepted(codec::status_cancelled);
                    lookup->result.cancelled_by_cascade = true;
                    end_lookup(lookup);
                });
}

void Gateway::reread_final_state(const LookupPtr& lookup) {
    store_.get(final_key(lookup->id), settings_.report_s / 3, [this, lookup](const store::Answer& answer) {
        auto& result = lookup->result;
        const auto final = parse_final_state(answer, result);
        if (final == FinalStateRead::none && result.job)
            result.set_accepted(codec::status_pending);
        else if (final == FinalStateRead::none)
            result.acceptance = Acceptance::never_accepted;
        else if (final == FinalStateRead::damaged && result.job)
            if (const auto job = codec::stored_job(result.job->value, 0); job && !job->final.empty())
                result.set_accepted(job->final);
        end_lookup(lookup);
    });
}

// The job's status from memory, if this node is the active leader. Empty while the transaction with the job's final
// state is in flight: another controller may read that state and report it before the answer to the transaction arrives
// here, and this node would still report "pending".
std::optional<JobView> Gateway::view_from_memory(const std::string& id) const {
    const auto* core = host_.active_core();
    const auto view = core != nullptr ? core->view(id) : std::nullopt;
    return view && view->settling ? std::nullopt : view;
}

void Gateway::get(const std::string& id, HttpRequest&& request, const Responder& res, bool forwarded) {
    // A job with an invalid id cannot have been accepted, so the store need not be read.
    if (!codec::valid_job_id(id))
        return send_no_such_job(res);
    if (send_cached_final_state(id, res)) {
        ++timings_.answers_from_cache;
        return;
    }
    if (forwarded || host_.active_core() != nullptr)
        return answer_status(id, res);
    forward(std::make_shared<HttpRequest>(std::move(request)), res, forwarding_targets(true, true), lookup_time_s,
            [this, id](const Responder& responder) { answer_status(id, responder); });
}

// An answer from the store is never older than one given before: a status is stored before it is reported.
void Gateway::answer_status(const std::string& id, const Responder& res) {
    if (const auto view = view_from_memory(id); view) {
        ++timings_.answers_from_memory;
        return res.send(http_status::ok, codec::job_answer(id, view->status, view->done, view->running));
    }
    look_up(id, [this, id, res](const LookupResult& found) {
        switch (found.acceptance) {
        case Acceptance::unanswered:
            return send_unavailable(res);
        case Acceptance::never_accepted:
            return send_no_such_job(res);
        case Acceptance::accepted:
            ++(found.cancelled_by_cascade              ? timings_.answers_from_cascades
               : found.status == codec::status_pending ? timings_.answers_from_jobs
                                                       : timings_.answers_from_finals);
            return res.send(http_status::ok, codec::job_answer(id, found.status, 0, 0));
        }
    });
}

void Gateway::cancel(const std::string& id, HttpRequest&& request, const Responder& res, bool forwarded) {
    if (!codec::valid_job_id(id))
        return send_no_such_job(res);
    if (host_.active_core() != nullptr)
        return request_cancellation(id, res);
    if (forwarded)
        return send_unavailable(res);
    // Only the leader may cancel jobs, so that its answers from memory are never outdated.
    forward(std::make_shared<HttpRequest>(std::move(request)), res, forwarding_targets(true, false), lookup_time_s,
            send_unavailable);
}

void Gateway::request_cancellation(const std::string& id, const Responder& res) {
    const auto handle = ++handle_seq_;
    cancellations_[handle] = {res, id, timers_.now()};
    host_.push(CancellationRequested{id, handle});
}

void Gateway::answer_cancellation(const AnswerCancellation& effect) {
    const auto it = cancellations_.find(effect.handle);
    if (it == cancellations_.end())
        return;
    const auto cancellation = std::move(it->second);
    cancellations_.erase(it);
    if (!effect.status.empty())
        return send_status(cancellation.id, effect.status, cancellation.res);
    look_up(cancellation.id, [this, generation = generation_, cancellation](const LookupResult& found) {
        if (generation != generation_)
            return send_unavailable(cancellation.res);
        cancel_stored_job(cancellation, found);
    });
}

// Cancels a job that the core does not know: passes its stored record to the core first.
void Gateway::cancel_stored_job(const Cancellation& cancellation, const LookupResult& found) {
    const auto& res = cancellation.res;
    if (found.acceptance == Acceptance::unanswered)
        return send_unavailable(res);
    if (found.acceptance == Acceptance::never_accepted)
        return send_no_such_job(res);
    if (found.status != codec::status_pending)
        return send_status(cancellation.id, found.status, res);
    auto job = found.job ? codec::stored_job(found.job->value, timers_.wall()) : std::nullopt;
    // A job with a damaged record can be neither run nor cancelled.
    if (!job)
        return send_unavailable(res);
    host_.push(job_stored(std::move(*job), timers_.wall()));
    request_cancellation(cancellation.id, res);
}

void Gateway::find(const std::string& id, std::function<void(JobFound&&)> done) {
    look_up(id, [this, id, done = std::move(done)](const LookupResult& found) {
        JobFound command{id, Known::no_answer, std::nullopt};
        if (found.acceptance == Acceptance::never_accepted)
            command.state = Known::never;
        else if (found.acceptance == Acceptance::accepted)
            command.state = found.status == codec::status_done        ? Known::done
                            : found.status == codec::status_cancelled ? Known::cancelled
                                                                      : Known::open;
        if (found.job)
            if (auto job = codec::stored_job(found.job->value, timers_.wall()); job)
                command.job = job_stored(std::move(*job), timers_.wall());
        done(std::move(command));
    });
}

std::string Gateway::exceeded_team_limit(const JobSpec& spec) const {
    const auto team = std::find_if(settings_.teams.begin(), settings_.teams.end(),
                                   [&](const TeamLimits& limits) { return limits.name == spec.team; });
    if (team == settings_.teams.end())
        return "owner: unknown team";
    const double at_once = spec.shape == Shape::array ? 1 : spec.tasks;
    if (team->cpus_max > 0 && spec.each.cpus * at_once > team->cpus_max + rounding_tolerance)
        return "cpus: beyond the team's limit";
    if (team->gpus_max > 0 && spec.each.gpus * at_once > team->gpus_max + rounding_tolerance)
        return "accelerators: beyond the team's limit";
    return {};
}

bool Gateway::fits_any_type(const JobSpec& spec) const {
    const auto& types = host_.types();
    return std::any_of(types.begin(), types.end(), [&](const MachineType& type) {
        return (spec.types.empty() || contains(spec.types, type.name)) &&
               (spec.zone.empty() || contains(type.zones, spec.zone)) && spec.each.fits(type.room);
    });
}

std::string Gateway::infeasibility_reason(const JobSpec& spec) const {
    if (auto why = exceeded_team_limit(spec); !why.empty())
        return why;
    if (contains(spec.dependencies, spec.id))
        return "waitsOn: names the job itself";
    // The size of the job's longest possible record, with both times at full precision.
    const auto record =
        codec::to_record({spec, 1e9 + 0.123456, 1e9 + 0.123456, !spec.dependencies.empty(), {}}).dump().size() + 40;
    if (record > static_cast<std::size_t>(settings_.value_kb * 1024))
        return fmt::format("the job's record exceeds the state service's limit of {} KiB", settings_.value_kb);
    return fits_any_type(spec) ? "" : "a task fits no allowed machine type";
}

void Gateway::submit(HttpRequest&& request, const Responder& res, bool forwarded) {
    // While the store is unreachable, this node can neither check nor store a submission.
    if (auto others = forwarded ? std::vector<std::string>() : forwarding_targets(false, true); !others.empty())
        return forward(std::make_shared<HttpRequest>(std::move(request)), res, std::move(others), submit_time_s,
                       send_unavailable);
    auto parsed = codec::submission(request.body);
    if (const auto* invalid = std::get_if<codec::Invalid>(&parsed))
        return refuse_invalid(request.body, invalid->why, res);
    auto& spec = std::get<JobSpec>(parsed);
    if (send_status_if_known(spec.id, res))
        return;
    if (host_.types().empty())
        return send_unavailable(res);
    if (const auto why = infeasibility_reason(spec); !why.empty())
        return refuse_unless_known(spec.id, http_status::unprocessable_entity, why, res);
    const auto submission = std::make_shared<Submission>(Submission{
        std::move(spec), std::make_shared<HttpRequest>(std::move(request)), res, forwarded, timers_.now(), 0, 0});
    submission->spec.dependencies.empty() ? accept(submission) : check_dependencies(submission);
}

// If an invalid submission has the id of an accepted job, the answer is that job's status.
void Gateway::refuse_invalid(const std::string& body, const std::string& why, const Responder& res) {
    const auto id = submitted_id(body);
    if (!codec::valid_job_id(id))
        return res.send(http_status::bad_request, error_answer(why));
    if (!send_status_if_known(id, res))
        refuse_unless_known(id, http_status::bad_request, why, res);
}

// Refuses a submission, unless its id is that of an accepted job: then the answer is that job's status.
void Gateway::refuse_unless_known(const std::string& id, int status, const std::string& why, const Responder& res) {
    look_up(id, [id, res, status, why](const LookupResult& found) {
        switch (found.acceptance) {
        case Acceptance::unanswered:
            return send_unavailable(res);
        case Acceptance::never_accepted:
            return res.send(status, error_answer(why));
        case Acceptance::accepted:
            return send_status(id, found.status, res);
        }
    });
}

void Gateway::accept(const SubmissionPtr& submission) {
    if (membership_.store() == membership::Reachability::unreachable) {
        ++timings_.refused;
        return send_unavailable(submission->res);
    }
    if (!submission_budget_.take(submission->spec.id, timers_.now())) {
        ++timings_.refused;
        spdlog::debug("submission refused job={} reason=rate_limit", submission->spec.id);
        return submission->res.send(http_status::too_many_requests, not_now, default_retry_after_s);
    }
    store_job(submission);
}

// Checks the dependencies one after the other, within the rate limit of reads. That a job was accepted stays true, so
// it is cached; that a job was never accepted is reported only after a new read of the store.
void Gateway::check_dependencies(const SubmissionPtr& submission) {
    for (; submission->next_dependency < submission->spec.dependencies.size(); ++submission->next_dependency) {
        const auto& id = submission->spec.dependencies[submission->next_dependency];
        if (accepted_jobs_.contains(id))
            continue;
        const auto* core = host_.active_core();
        const auto shape = core != nullptr ? core->shape_of(id) : std::nullopt;
        if (!shape)
            return look_up_dependency(submission, id);
        if (*shape == Shape::service)
            return refuse_dependency(submission, id + " is a service");
    }
    accept(submission);
}

void Gateway::look_up_dependency(const SubmissionPtr& submission, const std::string& id) {
    if (!read_budget_.would_take(id, timers_.now(), 1) || lookups_in_flight_ > max_lookups_) {
        if (timers_.now() - submission->received_at > settings_.report_s / 2) {
            ++timings_.refused;
            return send_unavailable(submission->res);
        }
        return timers_.after(settings_.report_s / 60, [this, submission] { check_dependencies(submission); });
    }
    look_up(id, [this, submission, id](const LookupResult& found) {
        if (found.acceptance == Acceptance::unanswered)
            return send_unavailable(submission->res);
        if (found.acceptance == Acceptance::never_accepted)
            return refuse_dependency(submission, id + " was never accepted");
        const auto job = found.job ? codec::stored_job(found.job->value, timers_.wall()) : std::nullopt;
        if (found.service || (job && job->spec.shape == Shape::service))
            return refuse_dependency(submission, id + " is a service");
        accepted_jobs_.add(id, true);
        check_dependencies(submission);
    });
}

void Gateway::refuse_dependency(const SubmissionPtr& submission, const std::string& why) {
    refuse_unless_known(submission->spec.id, http_status::unprocessable_entity, "waitsOn: " + why, submission->res);
}

void Gateway::store_job(const SubmissionPtr& submission) {
    const double sent_at_wall = timers_.wall(), sent_at = timers_.now();
    const auto& id = submission->spec.id;
    const std::vector<codec::Guard> guards{{job_key(id), 0}, {final_key(id), 0}};
    const std::vector<codec::Write> writes{
        {job_key(id),
         codec::to_record({submission->spec, sent_at_wall, -1, !submission->spec.dependencies.empty(), {}}), 0}};
    // The timeout is short unless the request was forwarded: if the store does not answer this node, another controller
    // can still store the job while the user waits.
    const double store_timeout_s = submission->forwarded ? settings_.report_s / 2 : settings_.report_s / 10;
    store_.transact(guards, writes, store_timeout_s,
                    [this, submission, sent_at_wall, sent_at](const store::Answer& answer) {
                        stored(submission, answer, sent_at_wall, sent_at);
                    });
}

// `sent_at_wall` and `sent_at`: when the transaction was sent, by the wall clock and by the steady clock.
void Gateway::stored(const SubmissionPtr& submission, const store::Answer& answer, double sent_at_wall,
                     double sent_at) {
    const auto id = submission->spec.id;
    const bool waits = !submission->spec.dependencies.empty();
    if (answer.status == http_status::ok) {
        timings_.submit.add(timers_.now() - sent_at);
        if (submission->spec.shape != Shape::service)
            accepted_jobs_.add(id, true);
        host_.stored(JobStored{std::move(submission->spec), std::max(0.0, timers_.wall() - sent_at_wall), -1, waits});
        return submission->res.send(http_status::created, codec::job_answer(id, codec::status_pending));
    }
    if (answer.status == http_status::conflict)
        return look_up(id, [id, res = submission->res](const LookupResult& found) {
            if (found.acceptance != Acceptance::accepted)
                return send_unavailable(res);
            send_status(id, found.status, res);
        });
    // All controllers share the store's rate limit, so a retry a moment later may succeed.
    if (answer.status == http_status::too_many_requests && submission->store_retries < max_store_retries)
        return timers_.after(store_retry_delay_s * (1 + submission->store_retries++),
                             [this, submission] { store_job(submission); });
    const auto refuse = [this, id, status = answer.status](const Responder& responder) {
        ++timings_.refused;
        spdlog::debug("submission refused job={} reason=store store_status={}", id, status);
        send_unavailable(responder);
    };
    // A job with dependencies is not forwarded: a controller of the previous version would ignore its dependencies and
    // let it start.
    if (submission->forwarded || waits || answer.status == http_status::too_many_requests)
        return refuse(submission->res);
    forward(submission->request, submission->res, forwarding_targets(true, true), submit_time_s, refuse);
}

} // namespace heronshift::gateway
