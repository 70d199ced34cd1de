// What a controller asks the cloud, within the rate that all controllers share: rentals, returns, the
// list of machines, the machine types.
//
// Owns: the requests that wait for the budget, the list as far as it has come, the types. May call the
// executor and, for the copy of the types, the store.
#pragma once

#include "heronshift/config.hpp"
#include "heronshift/executor/executor.hpp"
#include "heronshift/store/store.hpp"
#include "heronshift/timer_queue.hpp"
#include "heronshift/token_bucket.hpp"

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace heronshift::cloud {

class CloudClient {
public:
    class Host {
    public:
        virtual ~Host() = default;
        [[nodiscard]] virtual bool is_active_leader() const = 0; // at this moment
        [[nodiscard]] virtual bool is_leader() const = 0;        // this node is the leader
        virtual void push(Command command) = 0;                  // to the core, if there is one
        virtual void cloud_answered(bool ok) = 0;
    };
    CloudClient(const Settings& settings, TimerQueue& timers, store::StateStore& store, Executor& executor, Host& host)
        : settings_(settings), timers_(timers), store_(store), executor_(executor), host_(host),
          budget_(settings.cloud_rps * 0.8, std::max(1.0, settings.cloud_rps)) {}

    void start() {
        learn_types();
    }
    void tick();
    void on_leadership_acquired();
    void on_leadership_lost() {
        ++generation_;
        queue_.clear();
    }
    [[nodiscard]] const std::vector<MachineType>& types() const {
        return types_;
    }

    // From the core.
    void rent(const Rent& ask);
    void release(const Release& ask);

private:
    void pump();
    void request(std::function<void(bool)> ask); // ask(true) reaches the cloud as the budget allows; ask(false): never
    void list_machines(const std::string& since);
    void learn_types();
    void from_cloud();
    void learned(std::vector<MachineType>&& types);

    const Settings& settings_;
    TimerQueue& timers_;
    store::StateStore& store_;
    Executor& executor_;
    Host& host_;
    TokenBucket budget_;
    std::uint64_t generation_ = 0; // of the time as leader
    std::deque<std::function<void(bool)>> queue_;
    std::vector<ListedMachine> listing_;
    double listing_at_ = 0, next_list_ = 0, next_types_ = 0, types_at_ = -1e9;
    std::vector<MachineType> types_;
    bool learning_types_ = false;
};

} // namespace heronshift::cloud
