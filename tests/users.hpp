// Users of a fleet behind their load balancer, and what they must find at the end of every day.
#pragma once

#include "day_end.hpp"
#include "fleet.hpp"

#include <fmt/ranges.h>

namespace heronshift::testing {

struct Populated : Fleet {
    using Fleet::Fleet;

    struct User {
        Seen seen;
        bool cancels = false, asking = false;
        double next_at = 0, answered_at = -1, repeat_at = -1;
        [[nodiscard]] bool accepted() const {
            return seen.accepted_at >= 0;
        }
    };

    std::map<std::string, User> asks; // by job
    int answers_503 = 0, answers = 0;
    double next_health = 0;

    void ask(const JobSpec& spec) {
        jobs[spec.id] = spec;
        auto& u = asks[spec.id];
        u.seen = {spec.id, spec.job_class, spec.team, spec.shape, spec.tasks * (spec.each.cpus + spec.each.gpus), now};
        u.next_at = now;
    }
    void withdraw(const std::string& id) {
        if (!asks.contains(id)) return;
        asks[id].cancels = true;
        asked.insert(id);
    }
    void begun(const Worker::Run& t) override {
        if (const auto u = asks.find(t.job); u != asks.end() && u->second.seen.begun_at < 0)
            u->second.seen.begun_at = now;
    }
    std::optional<std::size_t> balanced() {
        std::vector<std::size_t> list;
        for (std::size_t i = 0; i < nodes.size(); ++i)
            if (nodes[i].healthy) list.push_back(i);
        if (list.empty()) return {};
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
                    if (n.good >= 2) n.healthy = true;
                    if (n.bad >= 2) n.healthy = false;
                });
        }
        for (auto& [id, u] : asks) {
            const bool over = u.seen.done_at >= 0 && over_at < 0; // at the end users ask for those, too
            if (u.asking || now < u.next_at || over) continue;
            const auto to = balanced();
            u.next_at = now + 1;
            if (!to) continue;
            u.asking = true;
            const std::string path = std::string(codec::path_jobs);
            const bool cancel = u.accepted() && u.cancels && u.seen.done_at < 0;
            const bool post = !u.accepted() || (u.repeat_at >= 0 && now >= u.repeat_at);
            HttpRequest r = post     ? HttpRequest{"POST", path, "", codec::to_body(jobs[id])}
                            : cancel ? HttpRequest{"POST", path + "/" + id + "/cancel", "", "{}"}
                                     : HttpRequest{"GET", path + "/" + id, "", ""};
            if (!u.accepted()) submitted.emplace(id, now);
            http(users, *to, std::move(r), false, post || cancel ? 5 : 2,
                 [this, id = id, cancel, post](const std::optional<HttpReply>& a, bool) {
                     answered(id, cancel, post, a);
                 });
        }
    }
    void answered(const std::string& id, bool cancel, bool post, const std::optional<HttpReply>& a) {
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
        if (!j || (a->status != 200 && a->status != 201)) return;
        if (over_at >= 0) u.seen.silent_s = std::max(u.seen.silent_s, now - std::max(u.answered_at, over_at));
        u.answered_at = now;
        if (!u.accepted()) u.seen.accepted_at = now;
        if (post) u.repeat_at = -1;
        if (!u.cancels && over_at < 0) u.next_at = now + between(2, 5);
        if (cancel && j->status == codec::status_cancelled) cancelled.emplace(id, now);
        hear(id, j->status);
        if (told.contains(id) && u.seen.done_at < 0) u.seen.done_at = now;
    }

    // --- the end of the day ---
    double over_at = -1; // since when no trouble is left; below zero: the day goes on
    // All troubles are over and nothing new is asked for; everybody asks for every job, and each is submitted
    // once more. After so many seconds: what is wrong.
    std::string day_end(double seconds, double excused_s = 0) {
        heal();
        deaf.clear();
        misses_answers.clear();
        copies = 0;
        if (store_down) end_outage();
        for (auto& n : nodes) {
            n.refused_by_store = false;
            n.frozen_until = std::min(n.frozen_until, now);
        }
        for (auto& [id, w] : workers) w.hung = w.cut = w.sick = false;
        over_at = now;
        for (auto& [id, u] : asks)
            if (u.accepted()) u.repeat_at = now + between(0, seconds / 2);
        for (const double end = now + seconds; now < end && broken.empty();) step(0.1);
        if (!broken.empty()) return broken.front();
        std::set<std::string> running;
        for (const auto& [id, w] : workers)
            for (const auto& t : w.tasks)
                if (!w.dead && t.state == TaskState::running) running.insert(t.job);
        std::vector<Seen> all;
        for (auto& [id, u] : asks) {
            u.seen.silent_s = std::max(u.seen.silent_s, now - std::max(u.answered_at, over_at));
            u.seen.repeated_ok = u.repeat_at < 0;
            u.seen.cancelled = u.cancels;
            u.seen.running = running.contains(id);
            u.seen.excused_s = excused_s;
            all.push_back(u.seen);
        }
        DayEnd end;
        end.now = now;
        end.begin_s = settings.ops.begin_s;
        return fmt::format("{}", fmt::join(end.wrong(all), "\n"));
    }
};

} // namespace heronshift::testing
