// A state store inside this process: an engine on a thread of its own, which takes what has gathered
// as one batch, with one commit. So a slow disk holds up no loop, and one sync serves many changes.
//
// Owns: the engine and its thread, who waits for changes, deadlines of calls.
#pragma once

#include "heronshift/store/engine.hpp"

#include <uv.h>

namespace heronshift::store {

class LocalStore final : public StateStore {
public:
    // The loop must run, or be run once more, after the store is destroyed: a handle closes there.
    LocalStore(uv_loop_t* loop, std::unique_ptr<Engine> engine, double poll_s = 0.02);
    ~LocalStore() override;

    void call(Call&& c, double timeout_s, Callback done) override;
    void sweep() override;

private:
    struct Shared;
    struct Asked;
    void deliver();
    struct Open {
        Callback done;
        double deadline = 0;
    };
    std::map<std::uint64_t, Open> open_;
    std::uint64_t last_ = 0;
    std::shared_ptr<Shared> shared_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// One on a file of this machine, see file_data.hpp. Throws StoreError.
std::unique_ptr<StateStore> file_store(uv_loop_t* loop, const std::string& path, int txn_ops, double value_kb);

} // namespace heronshift::store
