// Users who reach a fleet through a load balancer, and the final checks of what they saw.
#pragma once

#include "answers.hpp"
#include "final_checks.hpp"
#include "fleet.hpp"

#include <fmt/ranges.h>

namespace heronshift::testing {

struct FleetWithUsers : Fleet {
    using Fleet::Fleet;

    struct User {
        ObservedJob observed;
        bool cancels = false, asking = false;
        double next_at = 0, last_answered_at = -1, resubmit_at = -1;
        [[nodiscard]] bool accepted() const {
            return observed.accepted_at >= 0;
        }
    };

    std::map<std::string, User> users_by_job; // each job's user, by job
    int answers_503 = 0, answers = 0;
    std::optional<std::size_t> cancellation_node; // the controller that gets the cancellations; none: any
    double next_health_check_at = 0;

    Answers history; // all answers, including those to `poll_all_controllers`
    // Whether users ask all controllers for a job's status within 0.4 s after it was accepted, done or cancelled,
    // repeat its submission, and cancel a share of the jobs (`poll_cancel_share`) at the same time.
    bool poll_after_changes = false;
    double poll_cancel_share = 0; // the share of jobs that `poll_all_controllers` cancels
    int polls = 0;

    void submit_as_user(const JobSpec& spec) {
        jobs[spec.id] = spec;
        history.submitted(spec.id);
        auto& u = users_by_job[spec.id];
        u.observed = {spec.id, spec.job_class, spec.team, spec.shape, spec.tasks * (spec.each.cpus + spec.each.gpus),
                      now};
        u.next_at = now;
    }
    void request_cancellation(const std::string& id) {
        if (!users_by_job.contains(id))
            return;
        users_by_job[id].cancels = true;
        cancellations_requested.insert(id);
        history.cancellation_requested(id);
    }
    void poll_all_controllers(const std::string& id) {
        const std::string path(codec::path_jobs);
        const bool cancels = chance() < poll_cancel_share && !users_by_job[id].cancels;
        if (cancels)
            request_cancellation(id);
        for (std::size_t to = 0; to < nodes.size(); ++to) {
            const auto poll = [this, id, to](HttpRequest r, bool cancel) {
                send(between(0, 0.4), [this, id, to, r, cancel] {
                    ++polls;
                    http(users, to, r, false, cancel || r.method == "POST" ? 5 : 2,
                         [this, id, to, asked_at = now](const std::optional<HttpReply>& a, bool) {
                             if (a)
                                 record_answer(id, nodes[to].name, asked_at, *a);
                         });
                });
            };
            for (int k = 0; k < 2; ++k)
                poll({"GET", path + "/" + id, "", ""}, false);
            poll({"POST", path, "", codec::to_body(jobs[id])}, false);
            if (cancels)
                poll({"POST", path + "/" + id + "/cancel", "", "{}"}, true);
        }
    }
    void record_answer(const std::string& id, const std::string& by, double asked_at, const HttpReply& a) {
        const auto j = codec::job_answer_of(a.body);
        const auto before = history.violations().size();
        history.answered(id, by, asked_at, now, a.status, j ? j->status : "");
        if (history.violations().size() > before)
            violations.push_back(history.violations().back());
        if (j && j->status == codec::status_cancelled)
            cancelled.emplace(id, now);
    }
    void on_task_running(const Worker::Run& t) override {
        if (const auto u = users_by_job.find(t.job); u != users_by_job.end() && u->second.observed.started_at < 0)
            u->second.observed.started_at = now;
    }
    std::optional<std::size_t> random_healthy_node() {
        std::vector<std::size_t> list;
        for (std::size_t i = 0; i < nodes.size(); ++i)
            if (nodes[i].healthy)
                list.push_back(i);
        if (list.empty())
            return {};
        return list[static_cast<std::size_t>(between(0, static_cast<double>(list.size()) - 0.01))];
    }
    void run_users() override {
        if (now >= next_health_check_at) {
            next_health_check_at = now + 1;
            for (std::size_t i = 0; i < nodes.size(); ++i)
                http(users, i, {"GET", "/up", "", ""}, false, 1, [this, i](const std::optional<HttpReply>& a, bool) {
                    auto& n = nodes[i];
                    const bool ok = a && a->status == 200;
                    n.consecutive_successes = ok ? n.consecutive_successes + 1 : 0;
                    n.consecutive_failures = ok ? 0 : n.consecutive_failures + 1;
                    if (n.consecutive_successes >= 2)
                        n.healthy = true;
                    if (n.consecutive_failures >= 2)
                        n.healthy = false;
                });
        }
        for (auto& [id, u] : users_by_job) {
            // The final checks ask for finished jobs, too.
            const bool over = u.observed.done_at >= 0 && final_checks_since < 0;
            if (u.asking || now < u.next_at || over)
                continue;
            auto to = random_healthy_node();
            u.next_at = now + 1;
            if (!to)
                continue;
            u.asking = true;
            const std::string path = std::string(codec::path_jobs);
            const bool cancel = u.accepted() && u.cancels && u.observed.done_at < 0;
            if (cancel && cancellation_node)
                to = cancellation_node;
            const bool post = !u.accepted() || (u.resubmit_at >= 0 && now >= u.resubmit_at);
            HttpRequest r = post     ? HttpRequest{"POST", path, "", codec::to_body(jobs[id])}
                            : cancel ? HttpRequest{"POST", path + "/" + id + "/cancel", "", "{}"}
                                     : HttpRequest{"GET", path + "/" + id, "", ""};
            if (!u.accepted())
                submitted.emplace(id, now);
            http(users, *to, std::move(r), false, post || cancel ? 5 : 2,
                 [this, id = id, post, to = *to, asked_at = now](const std::optional<HttpReply>& a, bool) {
                     if (a)
                         record_answer(id, nodes[to].name, asked_at, *a);
                     answered(id, post, a);
                 });
        }
    }
    void answered(const std::string& id, bool post, const std::optional<HttpReply>& a) {
        auto& u = users_by_job[id];
        u.asking = false;
        u.next_at = now + (final_checks_since >= 0 && u.accepted() && !post ? 5 : 1);
        ++answers;
        if (!a || a->status == 503 || a->status == 429) {
            answers_503 += a.has_value();
            return;
        }
        const auto j = codec::job_answer_of(a->body);
        if (u.accepted() && (a->status == 404 || (post && a->status != 200)))
            violations.push_back(fmt::format("forgotten {}: {}", id, a->status));
        if (!j || (a->status != 200 && a->status != 201))
            return;
        if (final_checks_since >= 0)
            u.observed.silent_s = std::max(u.observed.silent_s, now - std::max(u.last_answered_at, final_checks_since));
        u.last_answered_at = now;
        const bool news = !u.accepted() || Answers::is_final(j->status);
        if (!u.accepted())
            u.observed.accepted_at = now;
        if (post)
            u.resubmit_at = -1;
        if (!u.cancels && final_checks_since < 0)
            u.next_at = now + between(2, 5);
        record_status(id, j->status);
        if (final_states.contains(id) && u.observed.done_at < 0)
            u.observed.done_at = now;
        if (news && poll_after_changes && final_checks_since < 0)
            poll_all_controllers(id);
    }

    // --- final checks ---
    double final_checks_since = -1; // when the final checks began; below zero: not yet
    // Ends all faults, and submits no new jobs. For `seconds`, every user asks for the status of their job and submits
    // it once more. Returns the failed checks, one a line.
    std::string final_checks(double seconds, double excused_s = 0) {
        heal();
        inbound_unreachable.clear();
        heartbeat_answers_lost.clear();
        outbound_unreachable.clear();
        late_copy_share = replay_share = late_write_share = lost_answer_share = late_commands.share = 0;
        if (store_down)
            end_outage();
        for (auto& n : nodes) {
            n.refused_by_store = false;
            n.frozen_until = std::min(n.frozen_until, now);
        }
        for (auto& [id, w] : workers)
            w.hung = w.cut = w.sick = false;
        final_checks_since = now;
        for (auto& [id, u] : users_by_job)
            if (u.accepted())
                u.resubmit_at = now + between(0, seconds / 2);
        for (const double end = now + seconds; now < end && violations.empty();)
            step(0.1);
        if (!violations.empty())
            return violations.front();
        std::set<std::string> running;
        for (const auto& [id, w] : workers)
            for (const auto& t : w.tasks)
                if (!w.dead && t.state == TaskState::running)
                    running.insert(t.job);
        std::vector<ObservedJob> all;
        for (auto& [id, u] : users_by_job) {
            u.observed.silent_s = std::max(u.observed.silent_s, now - std::max(u.last_answered_at, final_checks_since));
            u.observed.resubmission_ok = u.resubmit_at < 0;
            u.observed.cancelled = u.cancels;
            u.observed.running = running.contains(id);
            u.observed.excused_s = excused_s;
            all.push_back(u.observed);
        }
        FinalChecks end;
        end.now = now;
        end.begin_s = settings.ops.begin_s;
        return fmt::format("{}", fmt::join(end.failed_checks(all), "\n"));
    }
};

} // namespace heronshift::testing
