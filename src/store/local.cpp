#include "heronshift/store/local.hpp"

#include "heronshift/store/file_data.hpp"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace heronshift::store {
namespace {

std::int64_t steady_ms() {
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

double steady_s() {
    return static_cast<double>(uv_hrtime()) * 1e-9;
}

Answer failed(int status, std::string why) {
    Answer a;
    a.status = status;
    a.sent = true;
    a.error = std::move(why);
    return a;
}

constexpr std::size_t most_waiting = 1000; // calls; beyond, 503 at once
constexpr std::size_t most_batch = 200;

} // namespace

struct LocalStore::Call {
    std::uint64_t id = 0;
    bool writes = false;
    std::function<Answer(Engine&, std::int64_t)> run;
    // Of a follow:
    bool follow = false, opened = false;
    std::string under;
    std::uint64_t since = 0;
    std::int64_t until_ms = 0;
};

// What the loop and the thread share. The thread owns the engine.
struct LocalStore::Shared {
    std::mutex lock;
    std::condition_variable wake;
    std::deque<std::unique_ptr<Call>> queue;
    std::vector<std::pair<std::uint64_t, Answer>> answers;
    bool stop = false;
    std::unique_ptr<Engine> engine;
    double poll_s = 0;
    uv_async_t* async = nullptr;
    std::thread thread;
    std::vector<std::unique_ptr<Call>> follows; // the thread's

    void run() {
        std::unique_lock l(lock);
        while (!stop || !queue.empty()) { // what was asked for before the end is done, such as giving a hold up
            if (queue.empty()) wake.wait_for(l, std::chrono::duration<double>(poll_s));
            std::vector<std::unique_ptr<Call>> batch;
            while (!queue.empty() && batch.size() < most_batch) {
                batch.push_back(std::move(queue.front()));
                queue.pop_front();
            }
            l.unlock();
            auto done = take(batch);
            l.lock();
            if (done.empty()) continue;
            for (auto& a : done) answers.push_back(std::move(a));
            uv_async_send(async);
        }
    }

    std::vector<std::pair<std::uint64_t, Answer>> take(std::vector<std::unique_ptr<Call>>& batch) {
        std::vector<std::pair<std::uint64_t, Answer>> out;
        const auto now = steady_ms();
        bool changed = false;
        std::string wrong;
        bool open_outcome = false;
        try {
            changed = engine->data().changed_by_others();
            const bool expires = !engine->data().ended_holds(now).empty();
            engine->data().abandon();
            if (!batch.empty() || expires) {
                engine->data().begin();
                if (expires) changed = engine->expire(now) || changed;
                for (auto& c : batch) {
                    if (c->follow) continue;
                    out.emplace_back(c->id, c->run(*engine, now));
                    changed = changed || (c->writes && out.back().second.status == 200);
                }
                open_outcome = !engine->data().commit();
                if (open_outcome) wrong = "the disk failed, the outcome is open";
            }
        } catch (const std::exception& e) {
            wrong = e.what();
            engine->data().abandon();
        }
        if (!wrong.empty()) {
            // Nothing of the batch is told that is not surely stored.
            out.clear();
            for (const auto& c : batch)
                if (!c->follow) out.emplace_back(c->id, failed(open_outcome && c->writes ? 0 : 503, wrong));
        }
        for (auto& c : batch)
            if (c->follow) follows.push_back(std::move(c));
        look_at_follows(out, changed, now);
        return out;
    }

    void look_at_follows(std::vector<std::pair<std::uint64_t, Answer>>& out, bool changed, std::int64_t now) {
        std::erase_if(follows, [&](const std::unique_ptr<Call>& c) {
            if (!changed && c->opened && now < c->until_ms) return false;
            Answer a;
            try {
                a = c->opened ? engine->follow(c->under, c->since) : engine->follow_opened(c->under, c->since, now);
                engine->data().abandon();
            } catch (const std::exception& e) {
                a = failed(503, e.what());
                engine->data().abandon();
            }
            c->opened = true;
            // During trouble open watches stay open, as with the state service.
            if (a.status == 503 && now < c->until_ms) return false;
            if (a.status == 200 && a.items.empty() && now < c->until_ms) return false;
            out.emplace_back(c->id, std::move(a));
            return true;
        });
    }
};

LocalStore::LocalStore(uv_loop_t* loop, std::unique_ptr<Engine> engine, double poll_s)
    : shared_(std::make_shared<Shared>()) {
    shared_->engine = std::move(engine);
    shared_->poll_s = poll_s;
    shared_->async = new uv_async_t;
    shared_->async->data = this;
    uv_async_init(loop, shared_->async, [](uv_async_t* a) {
        if (auto* s = static_cast<LocalStore*>(a->data); s != nullptr) s->deliver();
    });
    shared_->thread = std::thread([s = shared_.get()] { s->run(); });
}

LocalStore::~LocalStore() {
    *alive_ = false;
    {
        const std::lock_guard l(shared_->lock);
        shared_->stop = true;
    }
    shared_->wake.notify_one();
    shared_->thread.join();
    shared_->async->data = nullptr;
    uv_close(reinterpret_cast<uv_handle_t*>(shared_->async),
             [](uv_handle_t* h) { delete reinterpret_cast<uv_async_t*>(h); });
}

void LocalStore::submit(std::unique_ptr<Call> c, double timeout_s, Callback done) {
    const auto id = c->id = ++last_;
    open_[id] = {std::move(done), steady_s() + timeout_s};
    const std::lock_guard l(shared_->lock);
    if (shared_->queue.size() >= most_waiting) {
        shared_->answers.emplace_back(id, failed(503, "too many calls wait"));
        uv_async_send(shared_->async);
        return;
    }
    shared_->queue.push_back(std::move(c));
    shared_->wake.notify_one();
}

void LocalStore::deliver() {
    std::vector<std::pair<std::uint64_t, Answer>> list;
    {
        const std::lock_guard l(shared_->lock);
        list.swap(shared_->answers);
    }
    // A callback may destroy this store.
    const auto alive = alive_;
    for (auto& [id, answer] : list) {
        const auto it = open_.find(id);
        if (it == open_.end()) continue; // given up
        const auto done = std::move(it->second.done);
        open_.erase(it);
        done(std::move(answer));
        if (!*alive) return;
    }
}

void LocalStore::sweep() {
    const double now = steady_s();
    std::vector<Callback> late;
    for (auto it = open_.begin(); it != open_.end();) {
        if (now < it->second.deadline) {
            ++it;
            continue;
        }
        late.push_back(std::move(it->second.done));
        it = open_.erase(it);
    }
    const auto alive = alive_;
    for (const auto& done : late) {
        done(failed(0, "no answer in time"));
        if (!*alive) return;
    }
}

void LocalStore::get(const std::string& key, double timeout_s, Callback done) {
    auto c = std::make_unique<Call>();
    c->run = [key](Engine& e, std::int64_t now) { return e.get(key, now); };
    submit(std::move(c), timeout_s, std::move(done));
}

void LocalStore::list(const std::string& under, const std::string& since, int most, double timeout_s, Callback done) {
    auto c = std::make_unique<Call>();
    c->run = [=](Engine& e, std::int64_t now) { return e.list(under, since, most, now); };
    submit(std::move(c), timeout_s, std::move(done));
}

void LocalStore::transact(const std::vector<codec::Guard>& guards, const std::vector<codec::Write>& writes,
                          double timeout_s, Callback done) {
    auto c = std::make_unique<Call>();
    c->writes = true;
    c->run = [=](Engine& e, std::int64_t now) { return e.transact(guards, writes, now); };
    submit(std::move(c), timeout_s, std::move(done));
}

void LocalStore::hold(double ttl_s, double timeout_s, Callback done) {
    auto c = std::make_unique<Call>();
    c->writes = true;
    c->run = [ttl = static_cast<std::int64_t>(ttl_s * 1000)](Engine& e, std::int64_t now) { return e.hold(ttl, now); };
    submit(std::move(c), timeout_s, std::move(done));
}

void LocalStore::extend(std::uint64_t hold, double timeout_s, Callback done) {
    auto c = std::make_unique<Call>();
    c->writes = true;
    c->run = [hold](Engine& e, std::int64_t now) { return e.extend(hold, now); };
    submit(std::move(c), timeout_s, std::move(done));
}

void LocalStore::end_hold(std::uint64_t hold, double timeout_s, Callback done) {
    auto c = std::make_unique<Call>();
    c->writes = true;
    c->run = [hold](Engine& e, std::int64_t now) { return e.end_hold(hold, now); };
    submit(std::move(c), timeout_s, std::move(done));
}

void LocalStore::follow(const std::string& under, std::uint64_t since, double block_s, Callback done) {
    auto c = std::make_unique<Call>();
    c->follow = true;
    c->under = under;
    c->since = since;
    c->until_ms = steady_ms() + static_cast<std::int64_t>(block_s * 1000);
    submit(std::move(c), block_s + 2, std::move(done));
}

std::unique_ptr<StateStore> file_store(uv_loop_t* loop, const std::string& path, int txn_ops, double value_kb) {
    return std::make_unique<LocalStore>(loop,
                                        std::make_unique<Engine>(file_data(path), Limits{0, 0, txn_ops, value_kb}));
}

} // namespace heronshift::store
