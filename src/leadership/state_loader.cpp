#include "leadership/state_loader.hpp"

#include "leadership/store_outcome.hpp"
#include "persistence/layout.hpp"

#include <algorithm>
#include <utility>

namespace heronshift::leadership {
namespace {

constexpr int page_records = 500;
constexpr double page_timeout_s = 2;

} // namespace

void StateLoader::read_all(const Loaded& loaded) {
    ++epoch_;
    stored_ = {};
    // The prefixes are read concurrently. They need not be read at one revision: other nodes can only change jobs, and
    // changes of jobs are followed.
    const std::pair<std::string_view, std::vector<codec::Item>*> prefixes[] = {
        {persistence::job_prefix, &stored_.jobs},
        {persistence::intent_prefix, &stored_.intents},
        {persistence::previous_progress_prefix, &stored_.progress},
        {persistence::progress_prefix, &stored_.progress},
        {persistence::image_prefix, &stored_.images},
        {persistence::cascade_prefix, &stored_.cascades},
        {persistence::learned_prefix, &stored_.learned},
        {persistence::earlier_machine_prefix, &stored_.earlier},
        {persistence::earlier_job_prefix, &stored_.earlier},
    };
    prefixes_left_ = static_cast<int>(std::size(prefixes));
    for (const auto& [prefix, into] : prefixes)
        load(std::string(prefix), "", into, [this, loaded] {
            if (--prefixes_left_ == 0)
                loaded(std::exchange(stored_, {}));
        });
}

// Appends all items whose keys have the prefix and come after `since` to `into`, page by page; then calls `next`.
void StateLoader::load(const std::string& prefix, const std::string& since, std::vector<codec::Item>* into,
                       const std::function<void()>& next) {
    const auto epoch = epoch_;
    store_.list(prefix, since, page_records, page_timeout_s, [=, this](store::Answer&& page) {
        if (epoch != epoch_)
            return;
        if (store_outcome(page) != StoreOutcome::ok)
            return timers_.after(settings_.report_s / 10, [=, this] {
                if (epoch == epoch_)
                    load(prefix, since, into, next);
            });
        if (prefix == persistence::job_prefix && since.empty())
            revision_ = page.revision;
        std::string last;
        for (auto& item : page.items) {
            last = item.key;
            into->push_back(std::move(item));
        }
        if (page.more && !last.empty())
            return load(prefix, last, into, next);
        next();
    });
}

void StateLoader::report_jobs(const std::vector<codec::Item>& items) {
    std::vector<codec::StoredJob> jobs;
    for (const auto& item : items) {
        if (item.deleted)
            continue;
        if (auto job = codec::stored_job(item.value, timers_.wall()); job)
            jobs.push_back(std::move(*job));
    }
    jobs_stored_(std::move(jobs));
}

void StateLoader::follow_jobs(JobsStored jobs_stored) {
    jobs_stored_ = std::move(jobs_stored);
    follow();
}

void StateLoader::follow() {
    store_.follow(std::string(persistence::job_prefix), revision_, settings_.lease_s / 2,
                  [this, epoch = epoch_](store::Answer&& answer) {
                      if (epoch == epoch_)
                          handle_changes(std::move(answer));
                  });
}

void StateLoader::follow_after(double delay_s, std::uint64_t epoch) {
    timers_.after(delay_s, [this, epoch] {
        if (epoch == epoch_)
            follow();
    });
}

void StateLoader::handle_changes(store::Answer&& answer) {
    const auto epoch = epoch_; // kept because reporting jobs may end the term, which changes `epoch_`
    switch (store_outcome(answer)) {
    case StoreOutcome::ok:
        revision_ = std::max(revision_, answer.revision);
        report_jobs(answer.items);
        return follow_after(0, epoch);
    case StoreOutcome::compacted: // the store no longer has the changes since `revision_`: read all jobs again
        stored_ = {};
        return load(std::string(persistence::job_prefix), "", &stored_.jobs, [this, epoch] {
            report_jobs(std::exchange(stored_, {}).jobs);
            follow_after(0, epoch);
        });
    default:
        return follow_after(settings_.report_s / 10, epoch);
    }
}

} // namespace heronshift::leadership
