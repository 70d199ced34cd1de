// A state store on the loop itself, in memory: for programs that simulate, and for those whose jobs need
// not outlive them. No thread and no time of its own; what can block or must last belongs in LocalStore.
#pragma once

#include "heronshift/clock.hpp"
#include "heronshift/loop_queue.hpp"
#include "heronshift/store/engine.hpp"

namespace heronshift::store {

class DirectStore final : public StateStore {
public:
    // The loop must run once more after the store is destroyed: a handle closes there.
    DirectStore(uv_loop_t* loop, std::unique_ptr<Engine> engine, std::shared_ptr<const Clock> clock = nullptr);

    void call(Call&& c, double timeout_s, Callback done) override;
    void sweep() override;
    // For who serves it to others.
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
    std::vector<std::pair<Engine::Waiting, Callback>> follows_;
    std::uint64_t seen_ = 0; // epoch that all who wait know of
};

} // namespace heronshift::store
