#include "heronshift/store/direct.hpp"

#include <utility>

namespace heronshift::store {

DirectStore::DirectStore(uv_loop_t* loop, std::unique_ptr<Engine> engine, std::shared_ptr<const Clock> clock)
    : engine_(std::move(engine)), clock_(clock ? std::move(clock) : std::make_shared<Clock>()), answers_(loop) {}

void DirectStore::answer(Callback done, Answer&& a) {
    a.sent = true;
    answers_.post([done = std::move(done), a = std::move(a)]() mutable { done(std::move(a)); });
}

void DirectStore::call(Call&& c, double, Callback done) {
    const auto now = now_ms();
    if (auto* f = std::get_if<Follow>(&c); f != nullptr) {
        Engine::Waiting w{std::move(*f), 0, false};
        w.until_ms = now + static_cast<std::int64_t>(w.follow.block_s * 1000);
        if (auto a = engine_->look(w, true, now); a)
            return answer(std::move(done), std::move(*a));
        pending_follows_.emplace_back(std::move(w), std::move(done));
        return;
    }
    Answer a;
    try {
        engine_->data().begin();
        engine_->expire(now);
        a = engine_->run(c, now);
        engine_->data().commit();
    } catch (const StoreError& error) {
        engine_->data().abandon();
        a = {};
        a.status = 503;
        a.error = error.what();
    }
    answer(std::move(done), std::move(a));
    sweep();
}

void DirectStore::sweep() {
    const auto now = now_ms();
    engine_->expire(now);
    const bool changed = std::exchange(checked_revision_, engine_->data().revision()) != engine_->data().revision();
    std::erase_if(pending_follows_, [&](auto& f) {
        auto a = engine_->look(f.first, changed, now);
        if (a)
            answer(std::move(f.second), std::move(*a));
        return a.has_value();
    });
}

} // namespace heronshift::store
