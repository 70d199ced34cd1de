// A state store inside this process. Its engine runs on a separate thread, which executes the queued calls in batches
// with one commit each. A slow disk therefore does not block the event loop, and one sync covers many changes.
//
// Owns the engine and its thread, the waiting follows and the deadlines of calls.
#pragma once

#include "heronshift/store/engine.hpp"

#include <uv.h>

namespace heronshift::store {

class LocalStore final : public StateStore {
public:
    // The loop must run at least once more after the store is destroyed, to close a libuv handle.
    LocalStore(uv_loop_t* loop, std::unique_ptr<Engine> engine, double poll_s = 0.02);
    ~LocalStore() override;

    void call(Call&& c, double timeout_s, Callback done) override;
    void sweep() override;

private:
    struct Shared;
    struct QueuedCall;
    void deliver();
    struct UnansweredCall {
        Callback done;
        double deadline = 0;
    };
    std::map<std::uint64_t, UnansweredCall> unanswered_;
    std::uint64_t last_id_ = 0;
    std::shared_ptr<Shared> shared_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// Creates a store on a file of this machine, see file_data.hpp. Throws StoreError.
std::unique_ptr<StateStore> file_store(uv_loop_t* loop, const std::string& path, int txn_ops, double value_kb);

} // namespace heronshift::store
