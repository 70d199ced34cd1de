// What a controller asks the cloud: rentals, returns, the list of machines, the machine types.
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

/// Sends requests to the cloud within the rate that all controllers share. It keeps the requests that wait for that
/// budget, the list of machines as far as it has come, and the machine types, of which the store has a copy.
///
/// All calls and callbacks on the thread of the node's loop.
class CloudClient {
public:
    /// What the client needs of the node around it.
    class Host {
    public:
        virtual ~Host() = default;
        /// This node may act as the leader at this moment.
        [[nodiscard]] virtual bool is_active_leader() const = 0;
        /// This node is the leader.
        [[nodiscard]] virtual bool is_leader() const = 0;
        /// Hands a command to the core, if there is one.
        virtual void push(Command command) = 0;
        /// ok: a request to the cloud was answered as it should be.
        virtual void cloud_answered(bool ok) = 0;
    };
    CloudClient(const Settings& settings, TimerQueue& timers, store::StateStore& store, Executor& executor, Host& host);

    /// Begins to learn the machine types.
    void start() {
        learn_types();
    }
    /// Does what has become due. To be called some thirty times in report_s.
    void tick();
    void on_leadership_acquired();
    /// Drops what waits; answers to what is under way are not passed on any more.
    void on_leadership_lost() {
        ++generation_;
        queue_.clear();
    }
    /// Empty: not known yet.
    [[nodiscard]] const std::vector<MachineType>& types() const {
        return types_;
    }

    /// Rents machines for the core, which hears of it as Rented.
    void rent(const Rent& wanted);
    /// Returns machines for the core, which hears of it as Released.
    void release(const Release& wanted);

private:
    // Called once: with true when the budget allows to ask the cloud, with false when it must not be asked any more.
    using Ask = std::function<void(bool allowed)>;
    void request(Ask ask);
    void pump();
    void list_machines(const std::string& since);
    void add_page(codec::MachinePage&& page);
    void learn_types();
    void learn_types_from_cloud();
    void learned(std::vector<MachineType>&& types);

    const Settings& settings_;
    TimerQueue& timers_;
    store::StateStore& store_;
    Executor& executor_;
    Host& host_;
    TokenBucket budget_;
    std::uint64_t generation_ = 0; // counts losses of the leadership
    std::deque<Ask> queue_;
    std::vector<ListedMachine> listing_; // the pages that have come
    // By the steady clock, in seconds.
    double listing_at_ = 0; // when the first page was asked for
    double next_list_ = 0, next_types_ = 0;
    double types_at_ = 0; // when types_ came; of no meaning while there are none
    std::vector<MachineType> types_;
    bool learning_types_ = false;
};

} // namespace heronshift::cloud
