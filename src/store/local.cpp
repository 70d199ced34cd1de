#include "store/local.hpp"

#include "store/file_data.hpp"

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

Answer error_answer(int status, std::string why) {
    Answer answer;
    answer.status = status;
    answer.sent = true;
    answer.error = std::move(why);
    return answer;
}

bool is_follow(const Call& call) {
    return std::holds_alternative<Follow>(call);
}

bool may_write(const Call& call) {
    return !is_follow(call) && !std::holds_alternative<Get>(call) && !std::holds_alternative<List>(call);
}

// Maximum number of queued calls; further ones are answered 503 at once. All are calls of one controller, since
// machines do not call the store: the leader has one transaction in progress, and look-ups and submissions of users
// have their own limits (gateway/gateway.cpp).
constexpr std::size_t max_waiting = 1000;
constexpr std::size_t max_batch = 200; // calls per commit of the file; the rest goes into the next batch

} // namespace

struct LocalStore::QueuedCall {
    std::uint64_t id = 0;
    Call call;
    std::int64_t until_ms = 0; // when a follow is answered at the latest; unused for other calls
};

// The state shared by the loop's thread and the engine's thread. Only the latter uses the engine.
struct LocalStore::Shared {
    std::mutex lock;
    std::condition_variable wake;
    std::deque<QueuedCall> queue;
    std::vector<std::pair<std::uint64_t, Answer>> answers;
    bool stop = false;
    std::unique_ptr<Engine> engine;
    double poll_s = 0;
    uv_async_t* async = nullptr;
    std::thread thread;
    struct Waiting {
        std::uint64_t id;
        Engine::Waiting w;
    };
    std::vector<Waiting> follows; // used by the engine's thread only

    void run() {
        std::unique_lock l(lock);
        // Calls that were queued before the store is destroyed, such as the revocation of a store lease, are executed.
        while (!stop || !queue.empty()) {
            if (queue.empty())
                wake.wait_for(l, std::chrono::duration<double>(poll_s));
            std::vector<QueuedCall> batch;
            while (!queue.empty() && batch.size() < max_batch) {
                batch.push_back(std::move(queue.front()));
                queue.pop_front();
            }
            l.unlock();
            auto done = execute_batch(batch);
            l.lock();
            if (done.empty())
                continue;
            for (auto& a : done)
                answers.push_back(std::move(a));
            uv_async_send(async);
        }
    }

    std::vector<std::pair<std::uint64_t, Answer>> execute_batch(std::vector<QueuedCall>& batch) {
        std::vector<std::pair<std::uint64_t, Answer>> out;
        const auto now = steady_ms();
        bool changed = false;
        std::string error_text;
        bool outcome_unknown = false;
        try {
            changed = engine->data().changed_by_others();
            const bool expires = !engine->data().expired_leases(now).empty();
            engine->data().abandon();
            if (!batch.empty() || expires) {
                engine->data().begin();
                if (expires)
                    changed = engine->expire(now) || changed;
                for (auto& c : batch) {
                    if (is_follow(c.call))
                        continue;
                    out.emplace_back(c.id, engine->run(c.call, now));
                    changed = changed || (may_write(c.call) && out.back().second.status == 200);
                }
                outcome_unknown = !engine->data().commit();
                if (outcome_unknown)
                    error_text = "I/O error during commit, the outcome is unknown";
            }
        } catch (const std::exception& error) {
            error_text = error.what();
            engine->data().abandon();
        }
        if (!error_text.empty()) {
            // Discards all answers of the batch, since nothing in it is known to be stored.
            out.clear();
            for (const auto& c : batch)
                if (!is_follow(c.call))
                    out.emplace_back(c.id, error_answer(outcome_unknown && may_write(c.call) ? 0 : 503, error_text));
        }
        for (auto& c : batch)
            if (auto* f = std::get_if<Follow>(&c.call); f != nullptr)
                follows.push_back({c.id, {std::move(*f), c.until_ms}});
        std::erase_if(follows, [&](Waiting& f) {
            auto answer = engine->look(f.w, changed, now);
            if (answer)
                out.emplace_back(f.id, std::move(*answer));
            return answer.has_value();
        });
        return out;
    }
};

LocalStore::LocalStore(uv_loop_t* loop, std::unique_ptr<Engine> engine, double poll_s)
    : shared_(std::make_shared<Shared>()) {
    shared_->engine = std::move(engine);
    shared_->poll_s = poll_s;
    shared_->async = new uv_async_t;
    shared_->async->data = this;
    uv_async_init(loop, shared_->async, [](uv_async_t* a) {
        if (auto* s = static_cast<LocalStore*>(a->data); s != nullptr)
            s->deliver();
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

void LocalStore::call(Call&& c, double timeout_s, Callback done) {
    const auto id = ++last_id_;
    unanswered_[id] = {std::move(done), steady_s() + timeout_s};
    const auto* f = std::get_if<Follow>(&c);
    const auto until = f != nullptr ? steady_ms() + static_cast<std::int64_t>(f->block_s * 1000) : 0;
    const std::lock_guard l(shared_->lock);
    if (shared_->queue.size() >= max_waiting) {
        shared_->answers.emplace_back(id, error_answer(503, "too many calls are queued"));
        uv_async_send(shared_->async);
        return;
    }
    shared_->queue.push_back({id, std::move(c), until});
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
        const auto it = unanswered_.find(id);
        if (it == unanswered_.end())
            continue; // has timed out
        const auto done = std::move(it->second.done);
        unanswered_.erase(it);
        done(std::move(answer));
        if (!*alive)
            return;
    }
}

void LocalStore::sweep() {
    const double now = steady_s();
    std::vector<Callback> timed_out;
    for (auto it = unanswered_.begin(); it != unanswered_.end();) {
        if (now < it->second.deadline) {
            ++it;
            continue;
        }
        timed_out.push_back(std::move(it->second.done));
        it = unanswered_.erase(it);
    }
    const auto alive = alive_;
    for (const auto& done : timed_out) {
        done(error_answer(0, "timed out"));
        if (!*alive)
            return;
    }
}

std::unique_ptr<StateStore> file_store(uv_loop_t* loop, const std::string& path, int txn_ops, double value_kb) {
    return std::make_unique<LocalStore>(loop,
                                        std::make_unique<Engine>(file_data(path), Limits{0, 0, txn_ops, value_kb}));
}

} // namespace heronshift::store
