#include "heronshift/store/direct.hpp"

#include <utility>

namespace heronshift::store {

DirectStore::DirectStore(uv_loop_t* loop, std::unique_ptr<Engine> engine, std::shared_ptr<const Clock> clock)
    : engine_(std::move(engine)), clock_(clock ? std::move(clock) : std::make_shared<Clock>()), async_(new uv_async_t) {
    uv_async_init(loop, async_, [](uv_async_t* a) {
        if (a->data != nullptr) static_cast<DirectStore*>(a->data)->deliver();
    });
    async_->data = this;
}

DirectStore::~DirectStore() {
    *alive_ = false;
    async_->data = nullptr;
    uv_close(reinterpret_cast<uv_handle_t*>(async_), [](uv_handle_t* h) { delete reinterpret_cast<uv_async_t*>(h); });
}

std::int64_t DirectStore::now_ms() const {
    return static_cast<std::int64_t>(clock_->now() * 1000);
}

void DirectStore::later(Callback done, Answer&& a) {
    answers_.emplace_back(std::move(done), std::move(a));
    uv_async_send(async_);
}

void DirectStore::answer(Callback done, const std::function<Answer(Engine&, std::int64_t)>& f) {
    ++calls_;
    Answer a;
    try {
        auto& data = engine_->data();
        data.begin();
        engine_->expire(now_ms());
        a = f(*engine_, now_ms());
        data.commit();
    } catch (const StoreError& e) {
        engine_->data().abandon();
        a = {};
        a.status = 503;
        a.error = e.what();
    }
    a.sent = true;
    later(std::move(done), std::move(a));
    sweep();
}

void DirectStore::get(const std::string& key, double, Callback done) {
    answer(std::move(done), [&](Engine& e, std::int64_t t) { return e.get(key, t); });
}

void DirectStore::list(const std::string& under, const std::string& since, int most, double, Callback done) {
    answer(std::move(done), [&](Engine& e, std::int64_t t) { return e.list(under, since, most, t); });
}

void DirectStore::transact(const std::vector<codec::Guard>& guards, const std::vector<codec::Write>& writes, double,
                           Callback done) {
    answer(std::move(done), [&](Engine& e, std::int64_t t) { return e.transact(guards, writes, t); });
}

void DirectStore::hold(double ttl_s, double, Callback done) {
    answer(std::move(done),
           [&](Engine& e, std::int64_t t) { return e.hold(static_cast<std::int64_t>(ttl_s * 1000), t); });
}

void DirectStore::extend(std::uint64_t hold, double, Callback done) {
    answer(std::move(done), [&](Engine& e, std::int64_t t) { return e.extend(hold, t); });
}

void DirectStore::end_hold(std::uint64_t hold, double, Callback done) {
    answer(std::move(done), [&](Engine& e, std::int64_t t) { return e.end_hold(hold, t); });
}

void DirectStore::follow(const std::string& under, std::uint64_t since, double block_s, Callback done) {
    ++calls_;
    const auto now = now_ms();
    auto a = engine_->follow_opened(under, since, now);
    a.sent = true;
    if (a.status != 200 || !a.items.empty()) return later(std::move(done), std::move(a));
    follows_.push_back({under, since, now + static_cast<std::int64_t>(block_s * 1000), std::move(done)});
}

void DirectStore::sweep() {
    const auto now = now_ms();
    engine_->expire(now);
    for (auto it = follows_.begin(); it != follows_.end();) {
        auto a = engine_->follow(it->under, it->since);
        if (a.status == 200 && a.items.empty() && now < it->until_ms) {
            ++it;
            continue;
        }
        a.sent = true;
        later(std::move(it->done), std::move(a));
        it = follows_.erase(it);
    }
}

void DirectStore::deliver() {
    const auto alive = alive_;
    for (auto list = std::exchange(answers_, {}); !list.empty() && *alive; list.pop_front())
        list.front().first(std::move(list.front().second));
}

} // namespace heronshift::store
