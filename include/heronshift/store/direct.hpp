// A state store that runs on the loop's thread: for simulations, and for programs whose jobs need not outlive them. It
// has no thread, and takes the time from a Clock. An engine whose calls can block, or whose data must be durable,
// belongs in a LocalStore.
#pragma once

#include "heronshift/clock.hpp"
#include "heronshift/loop_queue.hpp"
#include "heronshift/store/engine.hpp"

namespace heronshift::store {

class DirectStore final : public StateStore {
public:
    // After the store is destroyed the loop must run once more, so that a libuv handle is closed. Without a clock the
    // store uses the system's clocks.
    DirectStore(uv_loop_t* loop, std::unique_ptr<Engine> engine, std::shared_ptr<const Clock> clock = nullptr);

    void call(Call&& c, double timeout_s, Callback done) override;
    void sweep() override;
    // For servers that give other processes access to the store.
    [[nodiscard]] Engine& engine() {
        return *engine_;
    }
    [[nodiscard]] std::int64_t now_ms() const {
        return static_cast<std::int64_t>(clock_->now() * 1000);
    }

private:
    void answer(Callback done, Answer&& a);
    std::unique_ptr<Engine> engine_;
    std::shared_ptr<const Clock> clock_;
    LoopQueue answers_;
    std::vector<std::pair<Engine::Waiting, Callback>> pending_follows_;
    std::uint64_t checked_revision_ = 0; // the revision up to which the waiting follow calls have been checked
};

} // namespace heronshift::store
