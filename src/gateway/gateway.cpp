#include "heronshift/gateway/gateway.hpp"

#include "heronshift/memory_share.hpp"
#include "heronshift/persistence/layout.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <spdlog/spdlog.h>

namespace heronshift::gateway {
namespace {

using codec::error_answer;
using codec::not_now;
using persistence::final_key;
using persistence::job_key;

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
constexpr double look_up_s = 2, submit_s = 5;             // that a user waits, says the protocol
constexpr double share_of_wait = 0.8;                     // for the others that are asked

std::size_t max_refused(const Settings& settings) {
    return entries_in_share(settings.memory_mb, refused_memory_share, job_bytes);
}

} // namespace

Gateway::Gateway(const Settings& settings, TimerQueue& timers, store::StateStore& store, Peers& peers,
                 const membership::Membership& members, metrics::Timings& took, Host& host)
    : settings_(settings), timers_(timers), store_(store), peers_(peers), members_(members), took_(took), host_(host),
      // What a user's read may take when this node is alone with the store.
      reads_(settings.state_rps / 4, settings.state_rps / 6, patience_leases * settings.lease_s, max_refused(settings)),
      submissions_(settings.state_write_rps / 5, settings.state_write_rps / 3, settings.lease_s, max_refused(settings)),
      max_lookups_(
          std::max(min_lookups, static_cast<std::size_t>(settings.state_rps / 4 * reads_per_lookup * look_up_s))),
      accepted_(entries_in_share(settings.memory_mb, accepted_memory_share, job_bytes)),
      finals_(entries_in_share(settings.memory_mb, finals_memory_share, final_bytes)) {}

void Gateway::serve(HttpRequest&& request, Responder res, bool forwarded) {
    const bool get = request.method == "GET", post = request.method == "POST";
    auto wrong_method = [&] { res.send(405, error_answer("wrong method")); };
    const std::string_view path = request.path;
    if (path == codec::path_jobs)
        return post ? submit(std::move(request), std::move(res), forwarded) : wrong_method();
    if (path.size() <= codec::path_jobs.size() + 1 || path[codec::path_jobs.size()] != '/')
        return res.send(404, error_answer("no such path"));
    auto rest = path.substr(codec::path_jobs.size() + 1);
    const auto slash = rest.find('/');
    const std::string id(rest.substr(0, slash));
    if (slash == std::string_view::npos) {
        if (!get)
            return wrong_method();
        // An id that can't have been accepted needs no reading.
        if (!codec::valid_job_id(id))
            return res.send(404, error_answer("no such job"));
        if (tell_final(id, res))
            return;
        if (forwarded || host_.active_core() != nullptr)
            return poll(id, std::move(res));
        return forward(std::make_shared<HttpRequest>(std::move(request)), std::move(res), ways(true, true), look_up_s,
                       [this, id](Responder responder) { poll(id, std::move(responder)); });
    }
    if (rest.substr(slash + 1) != codec::suffix_cancel)
        return res.send(404, error_answer("no such path"));
    if (!post)
        return wrong_method();
    if (!codec::valid_job_id(id))
        return res.send(404, error_answer("no such job"));
    cancel(id, std::move(request), std::move(res), forwarded);
}

void Gateway::tick() {
    // A cancellation that the store does not take in time is refused, not held back.
    for (auto it = cancels_.begin(); it != cancels_.end();) {
        if (timers_.now() - it->second.since < settings_.report_s / 2) {
            ++it;
            continue;
        }
        it->second.res.send(503, not_now, retry_soon_s);
        it = cancels_.erase(it);
    }
}

void Gateway::on_leadership_lost() {
    ++generation_;
    for (auto& [h, c] : std::exchange(cancels_, {}))
        c.res.send(503, not_now, retry_soon_s);
}

// Who else could answer: the leader; where the store does not serve this node, one that it serves.
std::vector<std::string> Gateway::ways(bool to_leader, bool to_store) const {
    std::vector<std::string> out;
    const auto& leader = host_.leader();
    if (to_leader && !leader.empty() && leader != settings_.name &&
        members_.peer(leader) != membership::Reachability::unreachable)
        out.push_back(leader);
    if (to_store && members_.store() == membership::Reachability::unreachable)
        if (const auto by = members_.with_store(leader); by && (out.empty() || *by != out.front()))
            out.push_back(*by);
    return out;
}

// Passes a request on, to one after the other; what none answers is handled here. Each can be asked again
// without harm: a job is accepted once, and cancelled by one.
void Gateway::forward(std::shared_ptr<const HttpRequest> request, Responder res, std::vector<std::string> to,
                      double wait_s, Otherwise otherwise) {
    if (to.empty())
        return otherwise(std::move(res));
    const double each_s = std::min(settings_.report_s / 3, share_of_wait * wait_s / static_cast<double>(to.size()));
    const auto first = to.front();
    to.erase(to.begin());
    const char* method = request->method == "GET" ? "GET" : "POST";
    const double left_s = wait_s - each_s;
    peers_.request(
        Lane::users, first, method, peer_prefix + request->path, request->body, each_s,
        [this, request, res, to = std::move(to), left_s, otherwise = std::move(otherwise)](HttpReply&& reply) mutable {
            if (reply.status == 0 || reply.status == 503)
                return forward(std::move(request), std::move(res), std::move(to), left_s, std::move(otherwise));
            if (const auto j = reply.status == 200 ? codec::job_answer_of(reply.body) : std::nullopt; j)
                remember_final(j->id, j->status);
            res.send(reply.status, reply.body, reply.status == 429 ? retry_soon_s : 0);
        });
}

void Gateway::remember_final(const std::string& id, const std::string& status) {
    if (status == codec::status_done || status == codec::status_cancelled)
        finals_.add(id, status);
}

bool Gateway::tell_final(const std::string& id, const Responder& res) const {
    const auto* status = finals_.find(id);
    if (status != nullptr)
        res.send(200, codec::job_answer(id, *status));
    return status != nullptr;
}

// The final state is read first, since most that the leader does not know are over, and last: it is never taken
// back, and it is there before the job's record goes. What cannot be found out is said at once.
void Gateway::look_up(const std::string& id, std::function<void(Found)> done) {
    const double now = timers_.now();
    const bool lost = members_.store() == membership::Reachability::unreachable;
    if (lost || lookups_ > max_lookups_ || !reads_.take(id, now)) {
        if (!lost)
            reads_.refused(id, now);
        ++took_.refused;
        return done({});
    }
    ++lookups_;
    auto end = [this, id, done = std::move(done)](const Found& found) {
        --lookups_;
        if (found.known)
            remember_final(id, found.status);
        done(std::move(found));
    };
    // Whether it said something: there is a final state, or there is none.
    const auto final_of = [](const store::Answer& answer, Found& found) {
        const auto final = answer.status == 200 && answer.item ? codec::stored_final(answer.item->value) : std::nullopt;
        if (final) {
            found.status = final->status;
            found.service = final->service;
        }
        found.known = final || answer.status == 404;
        return found.known;
    };
    const auto key = final_key(id);
    store_.get(key, settings_.report_s / 3, [this, id, final_of, end = std::move(end)](store::Answer&& first) {
        Found found;
        // A damaged one may be told by what is left of the job's record.
        if (!final_of(first, found) ? first.status != 200 : !found.status.empty())
            return end(std::move(found));
        reads_.spend(timers_.now(), 2);
        store_.get(job_key(id), settings_.report_s / 3, [this, id, final_of, end](store::Answer&& r) {
            Found g;
            g.job = std::move(r.item);
            if (r.status != 404 && !g.job)
                return end({});
            store_.get(final_key(id), settings_.report_s / 3,
                       [final_of, end, g = std::move(g)](store::Answer&& last) mutable {
                           if (!final_of(last, g) && last.status == 200 && g.job)
                               if (const auto j = codec::stored_job(g.job->value, 0); j && !j->final.empty()) {
                                   g.status = j->final;
                                   g.known = true;
                               }
                           if (g.known && g.status.empty() && g.job)
                               g.status = codec::status_pending;
                           end(std::move(g));
                       });
        });
    });
}

// From memory, where this node acts. Not while the transaction with the job's final state is under way: others may
// have read it and told it before its answer comes here. (Its answer was lost; a repeated submission was answered
// "done" by another controller, and a question a moment later "pending" by the leader.)
std::optional<JobView> Gateway::known_here(const std::string& id) const {
    const auto* core = host_.active_core();
    const auto v = core != nullptr ? core->view(id) : std::nullopt;
    return v && v->settling ? std::nullopt : v;
}

// The store's answer is as new as any: what was told was stored before.
void Gateway::poll(const std::string& id, const Responder& res) {
    if (const auto v = known_here(id); v)
        return res.send(200, codec::job_answer(id, v->status, v->done, v->running));
    look_up(id, [id, res](const Found& found) {
        if (!found.known)
            return res.send(503, not_now, retry_soon_s);
        if (found.status.empty())
            return res.send(404, error_answer("no such job"));
        res.send(200, codec::job_answer(id, found.status, 0, 0));
    });
}

void Gateway::cancel(const std::string& id, HttpRequest&& request, Responder res, bool forwarded) {
    if (host_.active_core() == nullptr) {
        if (forwarded)
            return res.send(503, not_now, retry_soon_s);
        // Only the leader decides, so that its answers from memory are never old.
        return forward(std::make_shared<HttpRequest>(std::move(request)), std::move(res), ways(true, false), look_up_s,
                       [](const Responder& responder) { responder.send(503, not_now, retry_soon_s); });
    }
    ask_core_to_cancel(id, std::move(res));
}

void Gateway::ask_core_to_cancel(const std::string& id, Responder res) {
    const auto h = ++handle_seq_;
    cancels_[h] = {std::move(res), id, timers_.now()};
    host_.push(CancellationRequested{id, h});
}

void Gateway::answered(const AnswerCancellation& effect) {
    const auto it = cancels_.find(effect.handle);
    if (it == cancels_.end())
        return;
    auto open = std::move(it->second);
    cancels_.erase(it);
    if (!effect.status.empty())
        return open.res.send(200, codec::job_answer(open.id, effect.status));
    look_up(open.id, [this, gen = generation_, open](const Found& found) {
        if (!found.known || gen != generation_)
            return open.res.send(503, not_now, retry_soon_s);
        if (found.status.empty())
            return open.res.send(404, error_answer("no such job"));
        if (found.status != codec::status_pending)
            return open.res.send(200, codec::job_answer(open.id, found.status));
        auto j = found.job ? codec::stored_job(found.job->value, timers_.wall()) : std::nullopt;
        // A damaged record: nobody can do anything with such a job.
        if (!j)
            return open.res.send(503, not_now, retry_soon_s);
        host_.push(job_stored(std::move(*j), timers_.wall()));
        ask_core_to_cancel(open.id, open.res);
    });
}

void Gateway::find(const std::string& id, std::function<void(JobFound&&)> done) {
    look_up(id, [this, id, done = std::move(done)](const Found& found) {
        JobFound command{id, Known::no_answer, std::nullopt};
        if (found.known)
            command.state = found.status.empty()                      ? Known::never
                            : found.status == codec::status_done      ? Known::done
                            : found.status == codec::status_cancelled ? Known::cancelled
                                                                      : Known::open;
        if (found.job)
            if (auto j = codec::stored_job(found.job->value, timers_.wall()); j)
                command.job = job_stored(std::move(*j), timers_.wall());
        done(std::move(command));
    });
}

std::string Gateway::impossible(const JobSpec& spec) const {
    const TeamLimits* team = nullptr;
    for (const auto& limits : settings_.teams)
        if (limits.name == spec.team)
            team = &limits;
    if (team == nullptr)
        return "owner: unknown team";
    const double n = spec.shape == Shape::array ? 1 : spec.tasks;
    if (team->cpus_max > 0 && spec.each.cpus * n > team->cpus_max + 1e-6)
        return "cpus: beyond the team's limit";
    if (team->gpus_max > 0 && spec.each.gpus * n > team->gpus_max + 1e-6)
        return "accelerators: beyond the team's limit";
    if (std::find(spec.dependencies.begin(), spec.dependencies.end(), spec.id) != spec.dependencies.end())
        return "waitsOn: names the job itself";
    // Its longest record, with the times written out.
    const auto record =
        codec::to_record({spec, 1e9 + 0.123456, 1e9 + 0.123456, !spec.dependencies.empty(), {}}).dump().size() + 40;
    if (record > static_cast<std::size_t>(settings_.value_kb * 1024))
        return fmt::format("the job's record is longer than the {} KiB that the state service takes",
                           settings_.value_kb);
    for (const auto& type : host_.types()) {
        if (!spec.types.empty() && std::find(spec.types.begin(), spec.types.end(), type.name) == spec.types.end())
            continue;
        if (!spec.zone.empty() && std::find(type.zones.begin(), type.zones.end(), spec.zone) == type.zones.end())
            continue;
        if (spec.each.fits(type.room))
            return {};
    }
    return "a task fits no allowed machine type";
}

void Gateway::submit(HttpRequest&& request, Responder res, bool forwarded) {
    // Where the store is known not to serve this node, nothing can be found out here.
    if (const auto others = forwarded ? std::vector<std::string>() : ways(false, true); !others.empty())
        return forward(std::make_shared<HttpRequest>(std::move(request)), std::move(res), others, submit_s,
                       [](const Responder& responder) { responder.send(503, not_now, retry_soon_s); });
    auto parsed = codec::submission(request.body);
    std::string refusal;
    int status = 0;
    std::string id;
    if (auto* bad = std::get_if<codec::Invalid>(&parsed)) {
        status = 400;
        refusal = bad->why;
        // Even then a known id gets its state.
        if (const auto json = codec::parse(request.body);
            json.is_object() && json.contains("id") && json["id"].is_string())
            id = json["id"].get<std::string>();
        if (!codec::valid_job_id(id))
            return res.send(400, error_answer(refusal));
    } else {
        id = std::get<JobSpec>(parsed).id;
    }
    if (tell_final(id, res))
        return;
    if (const auto v = known_here(id); v)
        return res.send(200, codec::job_answer(id, v->status));
    if (status == 0) {
        if (host_.types().empty())
            return res.send(503, not_now, retry_soon_s);
        refusal = impossible(std::get<JobSpec>(parsed));
        if (!refusal.empty())
            status = 422;
    }
    if (status != 0)
        return refuse_unless_known(id, status, refusal, res);
    auto s = std::make_shared<Submission>(Submission{std::move(std::get<JobSpec>(parsed)),
                                                     std::make_shared<HttpRequest>(std::move(request)), std::move(res),
                                                     forwarded, timers_.now(), 0, 0});
    s->spec.dependencies.empty() ? accept(s) : check_dependencies(s);
}

// A known id gets its state, whatever else is wrong.
void Gateway::refuse_unless_known(const std::string& id, int status, const std::string& why, const Responder& res) {
    look_up(id, [id, res, status, why](const Found& found) {
        if (!found.known)
            return res.send(503, not_now, retry_soon_s);
        if (!found.status.empty())
            return res.send(200, codec::job_answer(id, found.status));
        res.send(status, error_answer(why));
    });
}

void Gateway::accept(const Open& submission) {
    if (members_.store() == membership::Reachability::unreachable) {
        ++took_.refused;
        return submission->res.send(503, not_now, retry_soon_s);
    }
    if (!submissions_.take(submission->spec.id, timers_.now())) {
        ++took_.refused;
        spdlog::debug("submission of {} refused, too many at once", submission->spec.id);
        return submission->res.send(429, not_now, retry_soon_s);
    }
    store_job(submission);
}

// That a job was accepted stays true, so it is remembered; that it never was is said only after a
// fresh read. One need after the other, within the budget for reads.
void Gateway::check_dependencies(const Open& submission) {
    auto refuse = [this, submission](const std::string& why) {
        refuse_unless_known(submission->spec.id, 422, "waitsOn: " + why, submission->res);
    };
    for (; submission->next_dependency < submission->spec.dependencies.size(); ++submission->next_dependency) {
        const auto& id = submission->spec.dependencies[submission->next_dependency];
        if (accepted_.contains(id))
            continue;
        const auto* core = host_.active_core();
        if (const auto shape = core != nullptr ? core->shape_of(id) : std::nullopt; shape) {
            if (*shape == Shape::service)
                return refuse(id + " is a service");
            continue;
        }
        if (!reads_.would_take(id, timers_.now(), 1) || lookups_ > max_lookups_) {
            if (timers_.now() - submission->since > settings_.report_s / 2) {
                ++took_.refused;
                return submission->res.send(503, not_now, retry_soon_s);
            }
            return timers_.after(settings_.report_s / 60, [this, submission] { check_dependencies(submission); });
        }
        return look_up(id, [this, submission, id, refuse](const Found& found) {
            if (!found.known)
                return submission->res.send(503, not_now, retry_soon_s);
            if (found.status.empty())
                return refuse(id + " was never accepted");
            const auto j = found.job ? codec::stored_job(found.job->value, timers_.wall()) : std::nullopt;
            if (found.service || (j && j->spec.shape == Shape::service))
                return refuse(id + " is a service");
            accepted_.add(id, true);
            check_dependencies(submission);
        });
    }
    accept(submission);
}

void Gateway::store_job(const Open& submission) {
    const double at = timers_.wall(), began = timers_.now();
    const auto& id = submission->spec.id;
    const std::vector<codec::Guard> guards{{job_key(id), 0}, {final_key(id), 0}};
    const std::vector<codec::Write> writes{
        {job_key(id), codec::to_record({submission->spec, at, -1, !submission->spec.dependencies.empty(), {}}), 0}};
    // Where the store does not answer this node, another may still be served within the user's time.
    const double patience = submission->forwarded ? settings_.report_s / 2 : settings_.report_s / 10;
    store_.transact(guards, writes, patience, [this, submission, at, began](store::Answer&& answer) {
        stored(submission, std::move(answer), at, began);
    });
}

void Gateway::stored(const Open& submission, store::Answer&& answer, double at, double began) {
    const auto id = submission->spec.id;
    const bool waits = !submission->spec.dependencies.empty();
    if (answer.status == 200) {
        took_.submit.add(timers_.now() - began);
        if (submission->spec.shape != Shape::service)
            accepted_.add(id, true);
        host_.stored(JobStored{std::move(submission->spec), std::max(0.0, timers_.wall() - at), -1, waits});
        return submission->res.send(201, codec::job_answer(id, codec::status_pending));
    }
    if (answer.status == 409)
        return look_up(id, [id, res = submission->res](const Found& found) {
            if (!found.known || found.status.empty())
                return res.send(503, not_now, retry_soon_s);
            res.send(200, codec::job_answer(id, found.status));
        });
    // The budget is shared: a moment later there may be room.
    if (answer.status == 429 && submission->tries < max_store_tries)
        return timers_.after(0.05 * (1 + submission->tries++), [this, submission] { store_job(submission); });
    const auto refuse = [this, id, status = answer.status](const Responder& responder) {
        ++took_.refused;
        spdlog::debug("submission of {} refused, the store said {}", id, status);
        responder.send(503, not_now, retry_soon_s);
    };
    // A process of the version before would take a chained job for one that may start.
    if (submission->forwarded || waits || answer.status == 429)
        return refuse(submission->res);
    forward(submission->request, submission->res, ways(true, true), submit_s, refuse);
}

} // namespace heronshift::gateway
