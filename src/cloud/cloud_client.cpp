#include "cloud/cloud_client.hpp"

#include <algorithm>
#include <spdlog/spdlog.h>

namespace heronshift::cloud {
namespace {

// Renting and releasing for the core take precedence over listing: while more requests than this are queued, a page of
// the machine list is not requested. If that happens to a page other than the first, the pages received so far are
// discarded, and the next listing, at its regular time, begins with the first page.
constexpr std::size_t max_requests_before_list = 4;
constexpr double own_rate_share = 0.8; // this controller's share of the rate limit that all controllers share
constexpr const char* types_key = "types";
constexpr double types_write_timeout_s = 1; // short, since no request depends on this copy of the machine types

} // namespace

CloudClient::CloudClient(const Settings& settings, TimerQueue& timers, store::StateStore& store, Executor& executor,
                         Host& host)
    : settings_(settings), timers_(timers), store_(store), executor_(executor), host_(host),
      rate_limit_(settings.cloud_rps * own_rate_share, std::max(1.0, settings.cloud_rps)) {}

void CloudClient::tick() {
    const double now = timers_.now();
    if (now >= next_types_check_at_)
        load_types();
    if (host_.is_leader() && now >= next_listing_at_) {
        next_listing_at_ = now + std::max(settings_.list_lag_s / 2, 2 / settings_.cloud_rps);
        list_machines("");
    }
    send_queued();
}

void CloudClient::on_leadership_acquired() {
    if (!types_.empty())
        host_.push(MachineTypesKnown{types_});
    next_listing_at_ = 0;
}

void CloudClient::enqueue(QueuedRequest queued_request) {
    queue_.push_back(std::move(queued_request));
    send_queued();
}

void CloudClient::send_queued() {
    // Requests that were queued by a leader must not reach the cloud once it may no longer act.
    if (!host_.is_active_leader())
        for (auto dropped = std::move(queue_); !dropped.empty(); dropped.pop_front())
            dropped.front()(false);
    while (!queue_.empty() && rate_limit_.take(timers_.now())) {
        const auto queued_request = std::move(queue_.front());
        queue_.pop_front();
        queued_request(true);
    }
}

void CloudClient::rent(const Rent& effect) {
    enqueue([this, generation = generation_, effect](bool allowed) {
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
            return done({effect.claim, RentOutcome::failed, {}});
        executor_.rent(effect, settings_.report_s * 2, done);
    });
}

void CloudClient::release(const Release& effect) {
    enqueue([this, generation = generation_, effect](bool allowed) {
        auto done = [this, generation, allowed](Released&& command) {
            if (allowed)
                host_.cloud_answered(command.ok);
            if (generation == generation_)
                host_.push(std::move(command));
        };
        if (!allowed)
            return done({effect.machines, false});
        executor_.release(effect, settings_.report_s * 2, done);
    });
}

void CloudClient::list_machines(const std::string& after_id) {
    if (queue_.size() > max_requests_before_list)
        return;
    if (after_id.empty()) {
        listed_machines_.clear();
        listing_requested_at_ = timers_.now();
    }
    enqueue([this, generation = generation_, after_id](bool allowed) {
        if (!allowed)
            return;
        executor_.list(after_id, settings_.report_s * 2, [this, generation](std::optional<codec::MachinePage>&& page) {
            host_.cloud_answered(page.has_value());
            if (generation == generation_ && page)
                add_page(std::move(*page));
        });
    });
}

void CloudClient::add_page(codec::MachinePage&& page) {
    std::string last_id;
    for (auto& machine : page.machines) {
        last_id = machine.id;
        listed_machines_.push_back(std::move(machine));
    }
    if (page.more && !last_id.empty())
        return list_machines(last_id);
    host_.push(MachinesListed{std::move(listed_machines_), listing_requested_at_});
    listed_machines_.clear();
}

// Loads the machine types: at first from the copy in the store, so that a node can start during an outage of the cloud,
// or from the cloud if there is no copy, which is then written. Later the leader refreshes them from the cloud.
void CloudClient::load_types() {
    next_types_check_at_ = timers_.now() + settings_.report_s;
    if (types_request_in_flight_)
        return;
    if (!types_.empty() && (!host_.is_leader() || timers_.now() - types_received_at_ < settings_.lease_s))
        return;
    types_request_in_flight_ = true;
    if (!types_.empty())
        return load_types_from_cloud();
    store_.get(types_key, settings_.report_s / 2, [this](store::Answer&& answer) {
        if (answer.item)
            if (auto types = codec::machine_types(answer.item->value.dump()); types)
                return set_types(std::move(*types));
        load_types_from_cloud();
    });
}

void CloudClient::load_types_from_cloud() {
    executor_.types(settings_.report_s * 2, [this](std::optional<std::vector<MachineType>>&& types) {
        host_.cloud_answered(types.has_value());
        types_request_in_flight_ = false;
        if (!types)
            return;
        const bool first = types_.empty();
        if (first)
            spdlog::info("machine types loaded count={}", types->size());
        set_types(std::move(*types));
        if (first)
            store_.transact({{types_key, 0}}, {{types_key, codec::types_to_json(types_), 0}}, types_write_timeout_s,
                            [](store::Answer&&) {});
    });
}

void CloudClient::set_types(std::vector<MachineType>&& types) {
    types_request_in_flight_ = false;
    types_ = std::move(types);
    types_received_at_ = timers_.now();
    if (host_.is_leader())
        host_.push(MachineTypesKnown{types_});
}

} // namespace heronshift::cloud
