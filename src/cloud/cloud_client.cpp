#include "cloud/cloud_client.hpp"

#include <algorithm>
#include <spdlog/spdlog.h>

namespace heronshift::cloud {
namespace {

// Renting and releasing for the core take precedence over listing: while more requests than this are queued, a page of
// the machine list is not requested. If that happens to a page other than the first, the pages received so far are
// discarded, and the next listing, at its regular time, begins with the first page.
constexpr std::size_t max_queued_lists = 4;
constexpr double budget_share = 0.8; // this controller's share of the rate limit that all controllers share
constexpr const char* types_key = "types";
constexpr double types_write_s = 1; // short, since no request depends on this copy of the machine types

} // namespace

CloudClient::CloudClient(const Settings& settings, TimerQueue& timers, store::StateStore& store, Executor& executor,
                         Host& host)
    : settings_(settings), timers_(timers), store_(store), executor_(executor), host_(host),
      budget_(settings.cloud_rps * budget_share, std::max(1.0, settings.cloud_rps)) {}

void CloudClient::tick() {
    const double now = timers_.now();
    if (now >= next_types_)
        learn_types();
    if (host_.is_leader() && now >= next_list_) {
        next_list_ = now + std::max(settings_.list_lag_s / 2, 2 / settings_.cloud_rps);
        list_machines("");
    }
    pump();
}

void CloudClient::on_leadership_acquired() {
    if (!types_.empty())
        host_.push(MachineTypesKnown{types_});
    next_list_ = 0;
}

void CloudClient::request(Ask ask) {
    queue_.push_back(std::move(ask));
    pump();
}

void CloudClient::pump() {
    // Requests that were queued by a leader must not reach the cloud once it may no longer act.
    if (!host_.is_active_leader())
        for (auto gone = std::move(queue_); !gone.empty(); gone.pop_front())
            gone.front()(false);
    while (!queue_.empty() && budget_.take(timers_.now())) {
        const auto ask = std::move(queue_.front());
        queue_.pop_front();
        ask(true);
    }
}

void CloudClient::rent(const Rent& wanted) {
    request([this, generation = generation_, wanted](bool allowed) {
        auto done = [this, generation, allowed](Rented&& command) {
            if (allowed)
                host_.cloud_answered(command.outcome == RentOutcome::rented ||
                                     command.outcome == RentOutcome::no_capacity);
            if (generation != generation_)
                return;
            const double delay = command.outcome == RentOutcome::rented ? 0 : settings_.report_s / 6;
            timers_.after(delay, [this, generation, command = std::move(command)]() mutable {
                if (generation == generation_)
                    host_.push(std::move(command));
            });
        };
        if (!allowed)
            return done({wanted.claim, RentOutcome::failed, {}});
        executor_.rent(wanted, settings_.report_s * 2, done);
    });
}

void CloudClient::release(const Release& wanted) {
    request([this, generation = generation_, wanted](bool allowed) {
        auto done = [this, generation, allowed](Released&& command) {
            if (allowed)
                host_.cloud_answered(command.ok);
            if (generation == generation_)
                host_.push(std::move(command));
        };
        if (!allowed)
            return done({wanted.machines, false});
        executor_.release(wanted, settings_.report_s * 2, done);
    });
}

void CloudClient::list_machines(const std::string& since) {
    if (queue_.size() > max_queued_lists)
        return;
    if (since.empty()) {
        listing_.clear();
        listing_at_ = timers_.now();
    }
    request([this, generation = generation_, since](bool allowed) {
        if (!allowed)
            return;
        executor_.list(since, settings_.report_s * 2, [this, generation](std::optional<codec::MachinePage>&& page) {
            host_.cloud_answered(page.has_value());
            if (generation == generation_ && page)
                add_page(std::move(*page));
        });
    });
}

void CloudClient::add_page(codec::MachinePage&& page) {
    std::string last;
    for (auto& machine : page.machines) {
        last = machine.id;
        listing_.push_back(std::move(machine));
    }
    if (page.more && !last.empty())
        return list_machines(last);
    host_.push(MachinesListed{std::move(listing_), listing_at_});
    listing_.clear();
}

// Loads the machine types: at first from the copy in the store, so that a node can start during an outage of the cloud,
// or from the cloud if there is no copy, which is then written. Later the leader refreshes them from the cloud.
void CloudClient::learn_types() {
    next_types_ = timers_.now() + settings_.report_s;
    if (learning_types_)
        return;
    if (!types_.empty() && (!host_.is_leader() || timers_.now() - types_at_ < settings_.lease_s))
        return;
    learning_types_ = true;
    if (!types_.empty())
        return learn_types_from_cloud();
    store_.get(types_key, settings_.report_s / 2, [this](store::Answer&& answer) {
        if (answer.item)
            if (auto types = codec::machine_types(answer.item->value.dump()); types)
                return learned(std::move(*types));
        learn_types_from_cloud();
    });
}

void CloudClient::learn_types_from_cloud() {
    executor_.types(settings_.report_s * 2, [this](std::optional<std::vector<MachineType>>&& types) {
        host_.cloud_answered(types.has_value());
        learning_types_ = false;
        if (!types)
            return;
        const bool first = types_.empty();
        if (first)
            spdlog::info("machine types loaded count={}", types->size());
        learned(std::move(*types));
        if (first)
            store_.transact({{types_key, 0}}, {{types_key, codec::types_to_json(types_), 0}}, types_write_s,
                            [](store::Answer&&) {});
    });
}

void CloudClient::learned(std::vector<MachineType>&& types) {
    learning_types_ = false;
    types_ = std::move(types);
    types_at_ = timers_.now();
    if (host_.is_leader())
        host_.push(MachineTypesKnown{types_});
}

} // namespace heronshift::cloud
