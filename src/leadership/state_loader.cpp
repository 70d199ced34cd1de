#include "heronshift/leadership/state_loader.hpp"

#include <algorithm>

namespace heronshift::leadership {
namespace {

constexpr int records_a_page = 500;
constexpr double page_s = 2; // for one page to come

} // namespace

void StateLoader::read_all(const std::function<void(Snapshot&&)>& done) {
    ++generation_;
    stored_ = {};
    // All at once: only jobs can still change, by other nodes, and those changes are followed.
    const std::pair<const char*, std::vector<codec::Item>*> prefixes[] = {
        {"j/", &stored_.jobs},     {"i/", &stored_.intents}, {"p/", &stored_.progress}, // of the versions before
        {"q/", &stored_.progress}, {"c/", &stored_.images},  {"l/", &stored_.learned},
        {"m/", &stored_.earlier},  {"d/", &stored_.earlier},
    };
    left_ = static_cast<int>(std::size(prefixes));
    for (const auto& [prefix, into] : prefixes)
        load(prefix, "", into, [this, done] {
            if (--left_ == 0)
                done(std::exchange(stored_, {}));
        });
}

// Everything below a prefix, page by page.
void StateLoader::load(const std::string& prefix, const std::string& since, std::vector<codec::Item>* into,
                       const std::function<void()>& next) {
    const auto gen = generation_;
    store_.list(prefix, since, records_a_page, page_s, [=, this](store::Answer&& page) {
        if (gen != generation_)
            return;
        if (page.status != 200)
            return timers_.after(settings_.report_s / 10, [=, this] {
                if (gen == generation_)
                    load(prefix, since, into, next);
            });
        if (prefix == "j/" && since.empty())
            revision_ = page.revision;
        std::string last;
        for (auto& i : page.items) {
            last = i.key;
            into->push_back(std::move(i));
        }
        if (page.more && !last.empty())
            return load(prefix, last, into, next);
        next();
    });
}

void StateLoader::tell(const std::vector<codec::Item>& items) {
    std::vector<codec::StoredJob> jobs;
    for (const auto& i : items) {
        if (i.deleted)
            continue;
        if (auto j = codec::stored_job(i.value, timers_.wall()); j)
            jobs.push_back(std::move(*j));
    }
    seen_(std::move(jobs));
}

void StateLoader::follow_jobs(std::function<void(std::vector<codec::StoredJob>&&)> handle_leader_read) {
    seen_ = std::move(handle_leader_read);
    follow();
}

// Other nodes accept jobs too; the leader learns of them here.
void StateLoader::follow() {
    const auto gen = generation_;
    store_.follow("j/", revision_, settings_.lease_s / 2, [this, gen](store::Answer&& answer) {
        if (gen != generation_)
            return;
        auto again = [this, gen](double delay_s) {
            timers_.after(delay_s, [this, gen] {
                if (gen == generation_)
                    follow();
            });
        };
        if (answer.status == 410) { // too far behind: everything is read again
            stored_ = {};
            return load("j/", "", &stored_.jobs, [this, again] {
                tell(std::exchange(stored_, {}).jobs);
                again(0);
            });
        }
        if (answer.status != 200)
            return again(settings_.report_s / 10);
        revision_ = std::max(revision_, answer.revision);
        tell(answer.items);
        again(0);
    });
}

} // namespace heronshift::leadership
