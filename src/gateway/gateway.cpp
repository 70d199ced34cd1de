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

// Look-ups under way: those that the budget of reads lets begin while one waits for its three reads in vain. So the
// budget binds first, and the same happens then: 503 with Retry-After.
constexpr std::size_t min_lookups = 100;
constexpr double reads_per_lookup = 3;
// What is remembered of jobs; what was forgotten is read from the store again, within the budget of reads. At 72 MB
// 8,192 accepted jobs, 14,745 final states, and 8,192 who were refused for each of the two budgets: beyond, the one who
// has waited longest is treated like one who comes for the first time.
constexpr double accepted_memory_share = 1.0 / 64, finals_memory_share = 1.0 / 32, refused_memory_share = 1.0 / 64;
constexpr std::size_t job_bytes = 160, final_bytes = 160; // 144 and 160 were measured
constexpr double patience_leases = 2;                     // then who asks in vain has its turn
constexpr int max_store_tries = 3;                        // while the store's budget is spent
constexpr double store_retry_s = 0.05;                    // until the first of them; each next one waits longer
constexpr double look_up_s = 2, submit_s = 5;             // that a user waits, says the protocol
constexpr double share_of_wait = 0.8;                     // for the others that are asked
constexpr double rounding = 1e-6;                         // that a demand may exceed a team's limit by

std::size_t max_refused(const Settings& settings) {
    return entries_in_share(settings.memory_mb, refused_memory_share, job_bytes);
}

void try_later(const Responder& res) {
    res.send(http_status::service_unavailable, not_now, retry_soon_s);
}

void no_such_path(const Responder& res) {
    res.send(http_status::not_found, error_answer("no such path"));
}

void no_such_job(const Responder& res) {
    res.send(http_status::not_found, error_answer("no such job"));
}

void wrong_method(const Responder& res) {
    res.send(http_status::method_not_allowed, error_answer("wrong method"));
}

void tell_status(const std::string& id, const std::string& status, const Responder& res) {
    res.send(http_status::ok, codec::job_answer(id, status));
}

// The id that a submission names, even where all else of it cannot be read; empty: none.
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
      // What a user's read may take when this node is alone with the store.
      reads_(settings.state_rps / 4, settings.state_rps / 6, patience_leases * settings.lease_s, max_refused(settings)),
      submissions_(settings.state_write_rps / 5, settings.state_write_rps / 3, settings.lease_s, max_refused(settings)),
      max_lookups_(
          std::max(min_lookups, static_cast<std::size_t>(settings.state_rps / 4 * reads_per_lookup * look_up_s))),
      accepted_(entries_in_share(settings.memory_mb, accepted_memory_share, job_bytes)),
      finals_(entries_in_share(settings.memory_mb, finals_memory_share, final_bytes)) {}

void Gateway::serve(HttpRequest&& request, const Responder& res, bool forwarded) {
    const bool post = request.method == "POST";
    const std::string_view path = request.path;
    if (path == codec::path_jobs)
        return post ? submit(std::move(request), res, forwarded) : wrong_method(res);
    if (path.size() <= codec::path_jobs.size() + 1 || path[codec::path_jobs.size()] != '/')
        return no_such_path(res);
    const auto rest = path.substr(codec::path_jobs.size() + 1);
    const auto slash = rest.find('/');
    const std::string id(rest.substr(0, slash));
    if (slash == std::string_view::npos)
        return request.method == "GET" ? get(id, std::move(request), res, forwarded) : wrong_method(res);
    if (rest.substr(slash + 1) != codec::suffix_cancel)
        return no_such_path(res);
    return post ? cancel(id, std::move(request), res, forwarded) : wrong_method(res);
}

void Gateway::tick() {
    // A cancellation that the store does not take in time is refused, not held back.
    for (auto it = cancellations_.begin(); it != cancellations_.end();) {
        if (timers_.now() - it->second.since < settings_.report_s / 2) {
            ++it;
            continue;
        }
        try_later(it->second.res);
        it = cancellations_.erase(it);
    }
}

void Gateway::on_leadership_lost() {
    ++generation_;
    for (const auto& [handle, cancellation] : std::exchange(cancellations_, {}))
        try_later(cancellation.res);
}

// Who else could answer: the leader; where the store does not serve this node, one that it serves.
std::vector<std::string> Gateway::alternatives(bool to_leader, bool to_store) const {
    std::vector<std::string> out;
    const auto& leader = host_.leader();
    if (to_leader && !leader.empty() && leader != settings_.name &&
        membership_.peer(leader) != membership::Reachability::unreachable)
        out.push_back(leader);
    if (to_store && membership_.store() == membership::Reachability::unreachable)
        if (const auto by = membership_.relay_to_store(leader); by && (out.empty() || *by != out.front()))
            out.push_back(*by);
    return out;
}

// Passes a request on, to one after the other; what none answers is handled here. Each can be asked again
// without harm: a job is accepted once, and cancelled by one.
void Gateway::forward(SharedRequest request, const Responder& res, std::vector<std::string> to, double wait_s,
                      Otherwise otherwise) {
    if (to.empty())
        return otherwise(res);
    const double each_s = std::min(settings_.report_s / 3, share_of_wait * wait_s / static_cast<double>(to.size()));
    const auto first = to.front();
    to.erase(to.begin());
    const char* method = request->method == "GET" ? "GET" : "POST";
    const auto path = peer_prefix + request->path;
    auto body = request->body;
    auto on_reply = [this, request = std::move(request), res, to = std::move(to), left_s = wait_s - each_s,
                     otherwise = std::move(otherwise)](HttpReply&& reply) mutable {
        if (reply.status == http_status::no_answer || reply.status == http_status::service_unavailable)
            return forward(std::move(request), res, std::move(to), left_s, std::move(otherwise));
        if (const auto job = reply.status == http_status::ok ? codec::job_answer_of(reply.body) : std::nullopt; job)
            remember_final(job->id, job->status);
        res.send(reply.status, reply.body, reply.status == http_status::too_many_requests ? retry_soon_s : 0);
    };
    peers_.request(Lane::users, first, method, path, std::move(body), each_s, std::move(on_reply));
}

void Gateway::remember_final(const std::string& id, const std::string& status) {
    if (status == codec::status_done || status == codec::status_cancelled)
        finals_.add(id, status);
}

bool Gateway::tell_final(const std::string& id, const Responder& res) const {
    const auto* status = finals_.find(id);
    if (status != nullptr)
        tell_status(id, *status, res);
    return status != nullptr;
}

bool Gateway::tell_known(const std::string& id, const Responder& res) const {
    if (tell_final(id, res))
        return true;
    const auto view = known_here(id);
    if (view)
        res.send(http_status::ok, codec::job_answer(id, view->status));
    return view.has_value();
}

// Look-ups. The final state is read first, since most jobs that the leader does not know are over, and last: it is
// never taken back, and it is there before the job's record goes. What cannot be found out is said at once.

void Gateway::LookupResult::accepted_as(std::string_view known_status) {
    acceptance = Acceptance::accepted;
    status = known_status;
}

bool Gateway::may_look_up(const std::string& id) {
    if (membership_.store() == membership::Reachability::unreachable)
        return false;
    const double now = timers_.now();
    if (lookups_ <= max_lookups_ && reads_.take(id, now))
        return true;
    reads_.refused(id, now);
    return false;
}

void Gateway::look_up(const std::string& id, LookupDone done) {
    if (!may_look_up(id)) {
        ++timings_.refused;
        return done({});
    }
    ++lookups_;
    read_first(std::make_shared<Lookup>(Lookup{id, std::move(done), {}}));
}

void Gateway::end_lookup(const OpenLookup& lookup) {
    --lookups_;
    if (lookup->result.acceptance == Acceptance::accepted)
        remember_final(lookup->id, lookup->result.status);
    lookup->done(lookup->result);
}

Gateway::FinalState Gateway::read_final(const store::Answer& answer, LookupResult& result) {
    if (answer.status == http_status::not_found)
        return FinalState::none;
    if (answer.status != http_status::ok)
        return FinalState::unanswered;
    const auto final = answer.item ? codec::stored_final(answer.item->value) : std::nullopt;
    if (!final)
        return FinalState::damaged;
    result.accepted_as(final->status);
    result.service = final->service;
    return FinalState::read;
}

void Gateway::read_first(const OpenLookup& lookup) {
    store_.get(final_key(lookup->id), settings_.report_s / 3, [this, lookup](const store::Answer& answer) {
        const auto final = read_final(answer, lookup->result);
        if (final == FinalState::unanswered || final == FinalState::read)
            return end_lookup(lookup);
        // A damaged one may be told by what is left of the job's record.
        reads_.spend(timers_.now(), reads_per_lookup - 1);
        read_record(lookup);
    });
}

void Gateway::read_record(const OpenLookup& lookup) {
    store_.get(job_key(lookup->id), settings_.report_s / 3, [this, lookup](store::Answer&& answer) {
        if (answer.status != http_status::not_found && !answer.item)
            return end_lookup(lookup);
        lookup->result.job = std::move(answer.item);
        const auto& record = lookup->result.job;
        const auto job = record ? codec::stored_job(record->value, 0) : std::nullopt;
        const bool may_wait = record && (!job || job->waits);
        may_wait ? read_cascades(lookup) : read_last(lookup);
    });
}

// A job that waits for others may be cancelled with them before it has a final state of its own. It leaves its cascade
// record only after that is stored, so this comes before the last read (invariant 15).
void Gateway::read_cascades(const OpenLookup& lookup) {
    reads_.spend(timers_.now(), 1);
    store_.list(std::string(cascade_prefix), "", max_cascade_records, settings_.report_s / 3,
                [this, lookup](const store::Answer& answer) {
                    if (answer.status != http_status::ok || answer.more)
                        return end_lookup(lookup);
                    const bool cancelled =
                        std::any_of(answer.items.begin(), answer.items.end(), [&](const codec::Item& item) {
                            return contains(persistence::decode_cascade(item.value), lookup->id);
                        });
                    if (!cancelled)
                        return read_last(lookup);
                    lookup->result.accepted_as(codec::status_cancelled);
                    lookup->result.cascaded = true;
                    end_lookup(lookup);
                });
}

void Gateway::read_last(const OpenLookup& lookup) {
    store_.get(final_key(lookup->id), settings_.report_s / 3, [this, lookup](const store::Answer& answer) {
        auto& result = lookup->result;
        const auto final = read_final(answer, result);
        if (final == FinalState::none && result.job)
            result.accepted_as(codec::status_pending);
        else if (final == FinalState::none)
            result.acceptance = Acceptance::never_accepted;
        else if (final == FinalState::damaged && result.job)
            if (const auto job = codec::stored_job(result.job->value, 0); job && !job->final.empty())
                result.accepted_as(job->final);
        end_lookup(lookup);
    });
}

// From memory, where this node acts. Not while the transaction with the job's final state is under way: another
// controller may read that state and tell it before the answer to the transaction comes here, and this node would
// still say "pending".
std::optional<JobView> Gateway::known_here(const std::string& id) const {
    const auto* core = host_.active_core();
    const auto view = core != nullptr ? core->view(id) : std::nullopt;
    return view && view->settling ? std::nullopt : view;
}

void Gateway::get(const std::string& id, HttpRequest&& request, const Responder& res, bool forwarded) {
    // An id that can't have been accepted needs no reading.
    if (!codec::valid_job_id(id))
        return no_such_job(res);
    if (tell_final(id, res)) {
        ++timings_.answers_from_cache;
        return;
    }
    if (forwarded || host_.active_core() != nullptr)
        return poll(id, res);
    forward(std::make_shared<HttpRequest>(std::move(request)), res, alternatives(true, true), look_up_s,
            [this, id](const Responder& responder) { poll(id, responder); });
}

// The store's answer is as new as any: what was told was stored before.
void Gateway::poll(const std::string& id, const Responder& res) {
    if (const auto view = known_here(id); view) {
        ++timings_.answers_from_memory;
        return res.send(http_status::ok, codec::job_answer(id, view->status, view->done, view->running));
    }
    look_up(id, [this, id, res](const LookupResult& found) {
        switch (found.acceptance) {
        case Acceptance::unanswered:
            return try_later(res);
        case Acceptance::never_accepted:
            return no_such_job(res);
        case Acceptance::accepted:
            ++(found.cascaded                          ? timings_.answers_from_cascades
               : found.status == codec::status_pending ? timings_.answers_from_jobs
                                                       : timings_.answers_from_finals);
            return res.send(http_status::ok, codec::job_answer(id, found.status, 0, 0));
        }
    });
}

void Gateway::cancel(const std::string& id, HttpRequest&& request, const Responder& res, bool forwarded) {
    if (!codec::valid_job_id(id))
        return no_such_job(res);
    if (host_.active_core() != nullptr)
        return ask_core_to_cancel(id, res);
    if (forwarded)
        return try_later(res);
    // Only the leader decides, so that its answers from memory are never old.
    forward(std::make_shared<HttpRequest>(std::move(request)), res, alternatives(true, false), look_up_s, try_later);
}

void Gateway::ask_core_to_cancel(const std::string& id, const Responder& res) {
    const auto handle = ++handle_seq_;
    cancellations_[handle] = {res, id, timers_.now()};
    host_.push(CancellationRequested{id, handle});
}

void Gateway::answered(const AnswerCancellation& effect) {
    const auto it = cancellations_.find(effect.handle);
    if (it == cancellations_.end())
        return;
    const auto cancellation = std::move(it->second);
    cancellations_.erase(it);
    if (!effect.status.empty())
        return tell_status(cancellation.id, effect.status, cancellation.res);
    look_up(cancellation.id, [this, generation = generation_, cancellation](const LookupResult& found) {
        if (generation != generation_)
            return try_later(cancellation.res);
        cancel_stored(cancellation, found);
    });
}

// Cancels a job that the core does not know, by what the store says of it.
void Gateway::cancel_stored(const Cancellation& cancellation, const LookupResult& found) {
    const auto& res = cancellation.res;
    if (found.acceptance == Acceptance::unanswered)
        return try_later(res);
    if (found.acceptance == Acceptance::never_accepted)
        return no_such_job(res);
    if (found.status != codec::status_pending)
        return tell_status(cancellation.id, found.status, res);
    auto job = found.job ? codec::stored_job(found.job->value, timers_.wall()) : std::nullopt;
    // A damaged record: nobody can do anything with such a job.
    if (!job)
        return try_later(res);
    host_.push(job_stored(std::move(*job), timers_.wall()));
    ask_core_to_cancel(cancellation.id, res);
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

std::string Gateway::beyond_team_limits(const JobSpec& spec) const {
    const auto team = std::find_if(settings_.teams.begin(), settings_.teams.end(),
                                   [&](const TeamLimits& limits) { return limits.name == spec.team; });
    if (team == settings_.teams.end())
        return "owner: unknown team";
    const double at_once = spec.shape == Shape::array ? 1 : spec.tasks;
    if (team->cpus_max > 0 && spec.each.cpus * at_once > team->cpus_max + rounding)
        return "cpus: beyond the team's limit";
    if (team->gpus_max > 0 && spec.each.gpus * at_once > team->gpus_max + rounding)
        return "accelerators: beyond the team's limit";
    return {};
}

bool Gateway::fits_a_type(const JobSpec& spec) const {
    const auto& types = host_.types();
    return std::any_of(types.begin(), types.end(), [&](const MachineType& type) {
        return (spec.types.empty() || contains(spec.types, type.name)) &&
               (spec.zone.empty() || contains(type.zones, spec.zone)) && spec.each.fits(type.room);
    });
}

std::string Gateway::impossible(const JobSpec& spec) const {
    if (auto why = beyond_team_limits(spec); !why.empty())
        return why;
    if (contains(spec.dependencies, spec.id))
        return "waitsOn: names the job itself";
    // Its longest record, with the times written out.
    const auto record =
        codec::to_record({spec, 1e9 + 0.123456, 1e9 + 0.123456, !spec.dependencies.empty(), {}}).dump().size() + 40;
    if (record > static_cast<std::size_t>(settings_.value_kb * 1024))
        return fmt::format("the job's record is longer than the {} KiB that the state service takes",
                           settings_.value_kb);
    return fits_a_type(spec) ? "" : "a task fits no allowed machine type";
}

void Gateway::submit(HttpRequest&& request, const Responder& res, bool forwarded) {
    // Where the store is known not to serve this node, nothing can be found out here.
    if (auto others = forwarded ? std::vector<std::string>() : alternatives(false, true); !others.empty())
        return forward(std::make_shared<HttpRequest>(std::move(request)), res, std::move(others), submit_s, try_later);
    auto parsed = codec::submission(request.body);
    if (const auto* invalid = std::get_if<codec::Invalid>(&parsed))
        return refuse_invalid(request.body, invalid->why, res);
    auto& spec = std::get<JobSpec>(parsed);
    if (tell_known(spec.id, res))
        return;
    if (host_.types().empty())
        return try_later(res);
    if (const auto why = impossible(spec); !why.empty())
        return refuse_unless_known(spec.id, http_status::unprocessable_entity, why, res);
    const auto submission = std::make_shared<Submission>(Submission{
        std::move(spec), std::make_shared<HttpRequest>(std::move(request)), res, forwarded, timers_.now(), 0, 0});
    submission->spec.dependencies.empty() ? accept(submission) : check_dependencies(submission);
}

// Even where nothing else of a submission can be read, a known id gets its state.
void Gateway::refuse_invalid(const std::string& body, const std::string& why, const Responder& res) {
    const auto id = submitted_id(body);
    if (!codec::valid_job_id(id))
        return res.send(http_status::bad_request, error_answer(why));
    if (!tell_known(id, res))
        refuse_unless_known(id, http_status::bad_request, why, res);
}

// A known id gets its state, whatever else is wrong.
void Gateway::refuse_unless_known(const std::string& id, int status, const std::string& why, const Responder& res) {
    look_up(id, [id, res, status, why](const LookupResult& found) {
        switch (found.acceptance) {
        case Acceptance::unanswered:
            return try_later(res);
        case Acceptance::never_accepted:
            return res.send(status, error_answer(why));
        case Acceptance::accepted:
            return tell_status(id, found.status, res);
        }
    });
}

void Gateway::accept(const OpenSubmission& submission) {
    if (membership_.store() == membership::Reachability::unreachable) {
        ++timings_.refused;
        return try_later(submission->res);
    }
    if (!submissions_.take(submission->spec.id, timers_.now())) {
        ++timings_.refused;
        spdlog::debug("submission of {} refused, too many at once", submission->spec.id);
        return submission->res.send(http_status::too_many_requests, not_now, retry_soon_s);
    }
    store_job(submission);
}

// That a job was accepted stays true, so it is remembered; that it never was is said only after a
// fresh read. One dependency after the other, within the budget for reads.
void Gateway::check_dependencies(const OpenSubmission& submission) {
    for (; submission->next_dependency < submission->spec.dependencies.size(); ++submission->next_dependency) {
        const auto& id = submission->spec.dependencies[submission->next_dependency];
        if (accepted_.contains(id))
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

void Gateway::look_up_dependency(const OpenSubmission& submission, const std::string& id) {
    if (!reads_.would_take(id, timers_.now(), 1) || lookups_ > max_lookups_) {
        if (timers_.now() - submission->since > settings_.report_s / 2) {
            ++timings_.refused;
            return try_later(submission->res);
        }
        return timers_.after(settings_.report_s / 60, [this, submission] { check_dependencies(submission); });
    }
    look_up(id, [this, submission, id](const LookupResult& found) {
        if (found.acceptance == Acceptance::unanswered)
            return try_later(submission->res);
        if (found.acceptance == Acceptance::never_accepted)
            return refuse_dependency(submission, id + " was never accepted");
        const auto job = found.job ? codec::stored_job(found.job->value, timers_.wall()) : std::nullopt;
        if (found.service || (job && job->spec.shape == Shape::service))
            return refuse_dependency(submission, id + " is a service");
        accepted_.add(id, true);
        check_dependencies(submission);
    });
}

void Gateway::refuse_dependency(const OpenSubmission& submission, const std::string& why) {
    refuse_unless_known(submission->spec.id, http_status::unprocessable_entity, "waitsOn: " + why, submission->res);
}

void Gateway::store_job(const OpenSubmission& submission) {
    const double at = timers_.wall(), began = timers_.now();
    const auto& id = submission->spec.id;
    const std::vector<codec::Guard> guards{{job_key(id), 0}, {final_key(id), 0}};
    const std::vector<codec::Write> writes{
        {job_key(id), codec::to_record({submission->spec, at, -1, !submission->spec.dependencies.empty(), {}}), 0}};
    // Where the store does not answer this node, another may still be served within the user's time.
    const double patience = submission->forwarded ? settings_.report_s / 2 : settings_.report_s / 10;
    store_.transact(guards, writes, patience, [this, submission, at, began](const store::Answer& answer) {
        stored(submission, answer, at, began);
    });
}

// at: by the wall clock, began: by the steady clock; when the transaction was sent.
void Gateway::stored(const OpenSubmission& submission, const store::Answer& answer, double at, double began) {
    const auto id = submission->spec.id;
    const bool waits = !submission->spec.dependencies.empty();
    if (answer.status == http_status::ok) {
        timings_.submit.add(timers_.now() - began);
        if (submission->spec.shape != Shape::service)
            accepted_.add(id, true);
        host_.stored(JobStored{std::move(submission->spec), std::max(0.0, timers_.wall() - at), -1, waits});
        return submission->res.send(http_status::created, codec::job_answer(id, codec::status_pending));
    }
    if (answer.status == http_status::conflict)
        return look_up(id, [id, res = submission->res](const LookupResult& found) {
            if (found.acceptance != Acceptance::accepted)
                return try_later(res);
            tell_status(id, found.status, res);
        });
    // The budget is shared: a moment later there may be room.
    if (answer.status == http_status::too_many_requests && submission->tries < max_store_tries)
        return timers_.after(store_retry_s * (1 + submission->tries++), [this, submission] { store_job(submission); });
    const auto refuse = [this, id, status = answer.status](const Responder& responder) {
        ++timings_.refused;
        spdlog::debug("submission of {} refused, the store said {}", id, status);
        try_later(responder);
    };
    // A process of the version before would take a chained job for one that may start.
    if (submission->forwarded || waits || answer.status == http_status::too_many_requests)
        return refuse(submission->res);
    forward(submission->request, submission->res, alternatives(true, true), submit_s, refuse);
}

} // namespace heronshift::gateway
