#include "leadership/state_loader.hpp"

#include "leadership/store_outcome.hpp"
#include "persistence/layout.hpp"

#include <algorithm>
#include <utility>

namespace heronshift::leadership {
namespace {

constexpr int page_size = 500;
constexpr double page_timeout_s = 2;

} // namespace

void StateLoader::read_all(const LoadedCallback& loaded) {
    ++epoch_;
    snapshot_ = {};
    // The prefixes are read concurrently. They need not be read at one revision: other nodes can only change jobs, and
    // changes of jobs are followed.
    const std::pair<std::string_view, std::vector<codec::Item>*> prefixes[] = {
        {persistence::job_prefix, &snapshot_.jobs},
        {persistence::intent_prefix, &snapshot_.intents},
        {persistence::legacy_progress_prefix, &snapshot_.progress},
        {persistence::progress_prefix, &snapshot_.progress},
        {persistence::image_prefix, &snapshot_.images},
        {persistence::cascade_prefix, &snapshot_.cascades},
        {persistence::learned_prefix, &snapshot_.learned},
        {persistence::legacy_machine_prefix, &snapshot_.legacy},
        {persistence::legacy_job_prefix, &snapshot_.legacy},
    };
    pending_prefixes_ = static_cast<int>(std::size(prefixes));
    for (const auto& [prefix, destination] : prefixes)
        load(std::string(prefix), "", destination, [this, loaded] {
            if (--pending_prefixes_ == 0)
                loaded(std::exchange(snapshot_, {}));
        });
}

// Appends all items whose keys have the prefix and come after `after_key` to `destination`, page by page; then calls
// `on_complete`.
void StateLoader::load(const std::string& prefix, const std::string& after_key, std::vector<codec::Item>* destination,
                       const std::function<void()>& on_complete) {
    const auto epoch = epoch_;
    store_.list(prefix, after_key, page_size, page_timeout_s, [=, this](store::Answer&& page) {
        if (epoch != epoch_)
            return;
        if (store_outcome(page) != StoreOutcome::ok)
            return timers_.after(settings_.report_s / 10, [=, this] {
                if (epoch == epoch_)
                    load(prefix, after_key, destination, on_complete);
            });
        if (prefix == persistence::job_prefix && after_key.empty())
            revision_ = page.revision;
        std::string last_key;
        for (auto& item : page.items) {
            last_key = item.key;
            destination->push_back(std::move(item));
        }
        if (page.more && !last_key.empty())
            return load(prefix, last_key, destination, on_complete);
        on_complete();
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

void StateLoader::follow_jobs(JobsStoredCallback jobs_stored) {
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
        snapshot_ = {};
        return load(std::string(persistence::job_prefix), "", &snapshot_.jobs, [this, epoch] {
            report_jobs(std::exchange(snapshot_, {}).jobs);
            follow_after(0, epoch);
        });
    default:
        return follow_after(settings_.report_s / 10, epoch);
    }
}

} // namespace heronshift::leadership
