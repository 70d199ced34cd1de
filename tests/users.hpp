// Users who reach a fleet through a load balancer, and the final checks of what they saw.
#pragma once

#include "answers.hpp"
#include "final_checks.hpp"
#include "fleet.hpp"

#include <fmt/ranges.h>

namespace heronshift::testing {

struct Populated : Fleet {
    using Fleet::Fleet;

    struct User {
        Seen seen;
        bool cancels = false, asking = false;
        double next_at = 0, last_answered_at = -1, repeat_at = -1;
        [[nodiscard]] bool accepted() const {
            return seen.accepted_at >= 0;
        }
    };

    std::map<std::string, User> asks; // each job's user, by job
    int answers_503 = 0, answers = 0;
    std::optional<std::size_t> cancels_at; // the controller that gets the cancellations; none: any
    double next_health = 0;

    Answers history; // all answers, including those to `look_closely`
    // Whether users ask all controllers for a job's status within 0.4 s after it was accepted, done or cancelled,
    // repeat its submission, and cancel a share of the jobs (`looks_cancel`) at the same time.
    bool close_looks = false;
    double looks_cancel = 0; // the share of jobs that `look_closely` cancels
    int looks = 0;

    void ask(const JobSpec& spec) {
        jobs[spec.id] = spec;
        history.submitted(spec.id);
        auto& u = asks[spec.id];
        u.seen = {spec.id, spec.job_class, spec.team, spec.shape, spec.tasks * (spec.each.cpus + spec.each.gpus), now};
        u.next_at = now;
    }
    void request_cancellation(const std::string& id) {
        if (!asks.contains(id))
            return;
        asks[id].cancels = true;
        asked.insert(id);
        history.cancel_asked(id);
    }
    void look_closely(const std::string& id) {
        const std::string path(codec::path_jobs);
        const bool cancels = chance() < looks_cancel && !asks[id].cancels;
        if (cancels)
            request_cancellation(id);
        for (std::size_t to = 0; to < nodes.size(); ++to) {
            const auto look = [this, id, to](HttpRequest r, bool cancel) {
                send(between(0, 0.4), [this, id, to, r, cancel] {
                    ++looks;
                    http(users, to, r, false, cancel || r.method == "POST" ? 5 : 2,
                         [this, id, to, asked_at = now](const std::optional<HttpReply>& a, bool) {
                             if (a)
                                 heard(id, nodes[to].name, asked_at, *a);
                         });
                });
            };
            for (int k = 0; k < 2; ++k)
                look({"GET", path + "/" + id, "", ""}, false);
            look({"POST", path, "", codec::to_body(jobs[id])}, false);
            if (cancels)
                look({"POST", path + "/" + id + "/cancel", "", "{}"}, true);
        }
    }
    void heard(const std::string& id, const std::string& by, double asked_at, const HttpReply& a) {
        const auto j = codec::job_answer_of(a.body);
        const auto before = history.broken().size();
        history.answered(id, by, asked_at, now, a.status, j ? j->status : "");
        if (history.broken().size() > before)
            broken.push_back(history.broken().back());
        if (j && j->status == codec::status_cancelled)
            cancelled.emplace(id, now);
    }
    void begun(const Worker::Run& t) override {
        if (const auto u = asks.find(t.job); u != asks.end() && u->second.seen.begun_at < 0)
            u->second.seen.begun_at = now;
    }
    std::optional<std::size_t> balanced() {
        std::vector<std::size_t> list;
        for (std::size_t i = 0; i < nodes.size(); ++i)
            if (nodes[i].healthy)
                list.push_back(i);
        if (list.empty())
            return {};
        return list[static_cast<std::size_t>(between(0, static_cast<double>(list.size()) - 0.01))];
    }
    void run_users() override {
        if (now >= next_health) {
            next_health = now + 1;
            for (std::size_t i = 0; i < nodes.size(); ++i)
                http(users, i, {"GET", "/up", "", ""}, false, 1, [this, i](const std::optional<HttpReply>& a, bool) {
                    auto& n = nodes[i];
                    const bool ok = a && a->status == 200;
                    n.good = ok ? n.good + 1 : 0;
                    n.bad = ok ? 0 : n.bad + 1;
                    if (n.good >= 2)
                        n.healthy = true;
                    if (n.bad >= 2)
                        n.healthy = false;
                });
        }
        for (auto& [id, u] : asks) {
            // The final checks ask for finished jobs, too.
            const bool over = u.seen.done_at >= 0 && over_at < 0;
            if (u.asking || now < u.next_at || over)
                continue;
            auto to = balanced();
            u.next_at = now + 1;
            if (!to)
                continue;
            u.asking = true;
            const std::string path = std::string(codec::path_jobs);
            const bool cancel = u.accepted() && u.cancels && u.seen.done_at < 0;
            if (cancel && cancels_at)
                to = cancels_at;
            const bool post = !u.accepted() || (u.repeat_at >= 0 && now >= u.repeat_at);
            HttpRequest r = post     ? HttpRequest{"POST", path, "", codec::to_body(jobs[id])}
                            : cancel ? HttpRequest{"POST", path + "/" + id + "/cancel", "", "{}"}
                                     : HttpRequest{"GET", path + "/" + id, "", ""};
            if (!u.accepted())
                submitted.emplace(id, now);
            http(users, *to, std::move(r), false, post || cancel ? 5 : 2,
                 [this, id = id, post, to = *to, asked_at = now](const std::optional<HttpReply>& a, bool) {
                     if (a)
                         heard(id, nodes[to].name, asked_at, *a);
                     answered(id, post, a);
                 });
        }
    }
    void answered(const std::string& id, bool post, const std::optional<HttpReply>& a) {
        auto& u = asks[id];
        u.asking = false;
        u.next_at = now + (over_at >= 0 && u.accepted() && !post ? 5 : 1);
        ++answers;
        if (!a || a->status == 503 || a->status == 429) {
            answers_503 += a.has_value();
            return;
        }
        const auto j = codec::job_answer_of(a->body);
        if (u.accepted() && (a->status == 404 || (post && a->status != 200)))
            broken.push_back(fmt::format("forgotten {}: {}", id, a->status));
        if (!j || (a->status != 200 && a->status != 201))
            return;
        if (over_at >= 0)
            u.seen.silent_s = std::max(u.seen.silent_s, now - std::max(u.last_answered_at, over_at));
        u.last_answered_at = now;
        const bool news = !u.accepted() || Answers::is_final(j->status);
        if (!u.accepted())
            u.seen.accepted_at = now;
        if (post)
            u.repeat_at = -1;
        if (!u.cancels && over_at < 0)
            u.next_at = now + between(2, 5);
        hear(id, j->status);
        if (told.contains(id) && u.seen.done_at < 0)
            u.seen.done_at = now;
        if (news && close_looks && over_at < 0)
            look_closely(id);
    }

    // --- final checks ---
    double over_at = -1; // when the final checks began; below zero: not yet
    // Ends all faults, and submits no new jobs. For `seconds`, every user asks for the status of their job and submits
    // it once more. Returns the failed checks, one a line.
    std::string final_checks(double seconds, double excused_s = 0) {
        heal();
        inbound_unreachable.clear();
        misses_answers.clear();
        outbound_unreachable.clear();
        copies = kept_copies = late_writes = lost_answers = late_commands.share = 0;
        if (store_down)
            end_outage();
        for (auto& n : nodes) {
            n.refused_by_store = false;
            n.frozen_until = std::min(n.frozen_until, now);
        }
        for (auto& [id, w] : workers)
            w.hung = w.cut = w.sick = false;
        over_at = now;
        for (auto& [id, u] : asks)
            if (u.accepted())
                u.repeat_at = now + between(0, seconds / 2);
        for (const double end = now + seconds; now < end && broken.empty();)
            step(0.1);
        if (!broken.empty())
            return broken.front();
        std::set<std::string> running;
        for (const auto& [id, w] : workers)
            for (const auto& t : w.tasks)
                if (!w.dead && t.state == TaskState::running)
                    running.insert(t.job);
        std::vector<Seen> all;
        for (auto& [id, u] : asks) {
            u.seen.silent_s = std::max(u.seen.silent_s, now - std::max(u.last_answered_at, over_at));
            u.seen.repeated_ok = u.repeat_at < 0;
            u.seen.cancelled = u.cancels;
            u.seen.running = running.contains(id);
            u.seen.excused_s = excused_s;
            all.push_back(u.seen);
        }
        FinalChecks end;
        end.now = now;
        end.begin_s = settings.ops.begin_s;
        return fmt::format("{}", fmt::join(end.wrong(all), "\n"));
    }
};

} // namespace heronshift::testing
