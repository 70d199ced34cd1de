// A controller's requests to the cloud: rent machines, release machines, list the machines, list the machine types.
#pragma once

#include "heronshift/config.hpp"
#include "heronshift/executor/executor.hpp"
#include "heronshift/store/store.hpp"
#include "timer_queue.hpp"
#include "token_bucket.hpp"

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace heronshift::cloud {

/// Sends requests to the cloud within the rate limit that all controllers share. Its state: the requests queued for
/// this rate limit, the pages of the machine list received so far, and the machine types, of which the store has a
/// copy.
///
/// All calls and callbacks run on the thread of the node's loop.
class CloudClient {
public:
    /// What the client needs from its node.
    class Host {
    public:
        virtual ~Host() = default;
        /// Whether this node may act as the leader at this moment.
        [[nodiscard]] virtual bool is_active_leader() const = 0;
        /// Whether this node is the leader, even if it may not act at this moment.
        [[nodiscard]] virtual bool is_leader() const = 0;
        /// Hands a command to the core; drops it while this node has no core, since it is not the leader.
        virtual void push(Command command) = 0;
        /// A request to the cloud has ended; `ok`: with a valid answer.
        virtual void cloud_answered(bool ok) = 0;
    };
    CloudClient(const Settings& settings, TimerQueue& timers, store::StateStore& store, Executor& executor, Host& host);

    /// Begins to load the machine types.
    void start() {
        load_types();
    }
    /// Sends the requests that are due. To be called about thirty times per report_s.
    void tick();
    void on_leadership_acquired();
    /// Drops the queued requests. Answers to requests in flight are no longer passed to the core.
    void on_leadership_lost() {
        ++generation_;
        queue_.clear();
    }
    /// The machine types; empty until they are known.
    [[nodiscard]] const std::vector<MachineType>& types() const {
        return types_;
    }

    /// Rents machines for the core, which receives the result as a `Rented` command.
    void rent(const Rent& effect);
    /// Releases machines for the core, which receives the result as a `Released` command.
    void release(const Release& effect);

private:
    // A queued request. Called once: with true when the rate limit allows it to be sent, with false when it must not be
    // sent any more.
    using QueuedRequest = std::function<void(bool allowed)>;
    void enqueue(QueuedRequest queued_request);
    void send_queued();
    void list_machines(const std::string& after_id);
    void add_page(codec::MachinePage&& page);
    void load_types();
    void load_types_from_cloud();
    void set_types(std::vector<MachineType>&& types);

    const Settings& settings_;
    TimerQueue& timers_;
    store::StateStore& store_;
    Executor& executor_;
    Host& host_;
    TokenBucket rate_limit_;
    std::uint64_t generation_ =
        0; // incremented when the leadership is lost, so that answers for an earlier term are recognised
    std::deque<QueuedRequest> queue_;
    std::vector<ListedMachine> listed_machines_; // the machines of the pages received so far
    // Times are in seconds of the steady clock.
    double listing_requested_at_ = 0; // when the first page was requested
    double next_listing_at_ = 0, next_types_check_at_ = 0;
    double types_received_at_ = 0; // when `types_` was received; meaningless while it is empty
    std::vector<MachineType> types_;
    bool types_request_in_flight_ = false;
};

} // namespace heronshift::cloud
