#include "heronshift/embed/scheduler.hpp"

#include "heronshift/codec.hpp"
#include "node/node.hpp"
#include "persistence/layout.hpp"
#include "store/local.hpp"

#include <atomic>
#include <deque>
#include <future>
#include <mutex>
#include <system_error>
#include <thread>

namespace heronshift {

// The implementation of Scheduler, which runs on the loop's thread. It is owned by the Scheduler and, until its async
// handle is closed, by itself, so that the Scheduler may be destroyed inside one of its own callbacks.
class Scheduler::Inner : public std::enable_shared_from_this<Inner> {
public:
    Inner(uv_loop_t* loop, SchedulerOptions options) : loop_(loop), options_(std::move(options)) {
        if (!options_.clock)
            options_.clock = std::make_shared<Clock>();
    }

    // To be called on the loop's thread. Throws what the constructors of Scheduler throw.
    void start() {
        Node::Parts parts;
        if (options_.state) {
            parts.state = options_.state(loop_);
        } else if (!options_.state_file.empty()) {
            parts.state =
                store::file_store(loop_, options_.state_file, options_.settings.txn_ops, options_.settings.value_kb);
        }
        if (options_.executor)
            parts.executor = options_.executor(loop_);
        parts.clock = options_.clock;
        node_ = std::make_unique<Node>(loop_, options_.settings, std::move(parts));
        if (!options_.command_log.empty())
            node_->record(std::make_unique<replay::CommandLog>(options_.command_log, replay::default_max_bytes));
        if (const int e = node_->start(); e != 0) {
            node_.reset();
            throw std::system_error(-e, std::generic_category(), "the scheduler cannot listen");
        }
        port_ = node_->port();
        node_->set_tick_callback([this] { active_until_ = node_->active_until(); });
        async_ = new uv_async_t;
        uv_async_init(loop_, async_, [](uv_async_t* a) {
            if (a->data != nullptr)
                static_cast<Inner*>(a->data)->run();
        });
        async_->data = this;
        self_ = shared_from_this();
    }

    // May be called on any thread. The callback runs on the loop's thread.
    void post(std::function<void(Inner&)> callback) {
        const std::lock_guard l(lock_);
        if (ended_)
            return;
        queue_.push_back(std::move(callback));
        uv_async_send(async_);
    }

    void call(const char* method, std::string path, std::string body, Done done) {
        post([method, path = std::move(path), body = std::move(body), done = std::move(done)](Inner& inner) mutable {
            if (!inner.node_)
                return inner.answer(done, 0, {}, 0);
            inner.node_->call({method, std::move(path), {}, std::move(body)},
                              Responder([&inner, done = std::move(done)](int status, std::string_view text, int after) {
                                  inner.answer(done, status, text, after);
                              }));
        });
    }

    void subscribe(Watch callback) {
        post([callback = std::move(callback)](Inner& inner) mutable {
            inner.watches_.push_back(std::move(callback));
            if (inner.watches_.size() == 1)
                inner.watch_from_now();
        });
    }

    void turn() {
        if (node_)
            node_->turn();
    }

    // Stops the node. With `end`, no callback is called any more, and all is torn down in a later iteration of the
    // loop.
    void finish(bool end) {
        if (end)
            callbacks_suppressed_ = true;
        post([end](Inner& inner) {
            if (inner.node_)
                inner.node_->stop();
            inner.stopping_ = true;
            inner.teardown_requested_ = inner.teardown_requested_ || end;
        });
    }

    [[nodiscard]] bool on_loop() const {
        return std::this_thread::get_id() == thread_id;
    }
    std::thread thread;
    std::atomic<std::thread::id> thread_id;
    [[nodiscard]] bool is_active_leader() const {
        return options_.clock->now() < active_until_;
    }
    [[nodiscard]] int port() const {
        return port_;
    }

private:
    void answer(const Done& done, int status, std::string_view body, int after) {
        if (callbacks_suppressed_ || !done)
            return;
        Reply reply;
        reply.status = status;
        reply.retry_after_s = after;
        if (const auto a = codec::job_answer_of(body); reply.ok() && a) {
            reply.id = a->id;
            reply.state = a->status;
            reply.done = a->done;
            reply.running = a->running;
        } else {
            reply.error = codec::store_error(body);
        }
        done(reply);
    }

    void run() {
        const auto keep = shared_from_this();
        std::deque<std::function<void(Inner&)>> list;
        {
            const std::lock_guard l(lock_);
            list.swap(queue_);
        }
        for (auto& callback : list)
            callback(*this);
        if (!stopping_ || (!node_ && !teardown_requested_))
            return;
        // The node may be destroyed here, since none of its functions is on the stack.
        node_.reset();
        active_until_ = 0;
        if (!teardown_requested_)
            return;
        {
            const std::lock_guard l(lock_);
            ended_ = true;
            queue_.clear();
        }
        uv_close(reinterpret_cast<uv_handle_t*>(std::exchange(async_, nullptr)), [](uv_handle_t* h) {
            const auto last = std::move(static_cast<Inner*>(h->data)->self_);
            delete reinterpret_cast<uv_async_t*>(h);
        });
    }

    // Subscribers learn of ended jobs from the store's changes, which contain all of them: every final state is written
    // to the store before it is announced.
    void watch_from_now() {
        if (!node_)
            return;
        node_->state().list(std::string(persistence::final_prefix), "", 1, options_.settings.report_s,
                            [this](store::Answer&& answer) {
                                if (answer.status != 200)
                                    return resume_watch_later();
                                follow(answer.revision);
                            });
    }

    // Resumes watching after `report_s`, a pause long enough to keep the load on the store low.
    void resume_watch_later() {
        if (!node_)
            return;
        node_->after(options_.settings.report_s, [this] {
            for (const auto& callback : watches_)
                if (!callbacks_suppressed_)
                    callback({{}, {}, true});
            watch_from_now();
        });
    }

    void follow(std::uint64_t since) {
        if (!node_)
            return;
        node_->state().follow(std::string(persistence::final_prefix), since, options_.settings.lease_s,
                              [this, since](store::Answer&& answer) {
                                  if (answer.status != 200)
                                      return resume_watch_later();
                                  for (const auto& i : answer.items) {
                                      const auto final = i.deleted ? std::nullopt : codec::stored_final(i.value);
                                      if (!final)
                                          continue;
                                      for (const auto& callback : watches_)
                                          if (!callbacks_suppressed_)
                                              callback({i.key.substr(2), final->status, false});
                                  }
                                  follow(std::max(since, answer.revision));
                              });
    }

    uv_loop_t* loop_;
    SchedulerOptions options_;
    std::unique_ptr<Node> node_;
    uv_async_t* async_ = nullptr;
    std::shared_ptr<Inner> self_;
    std::mutex lock_;
    std::deque<std::function<void(Inner&)>> queue_;
    std::vector<Watch> watches_;
    std::atomic<bool> callbacks_suppressed_{false};
    bool ended_ = false, stopping_ = false, teardown_requested_ = false;
    int port_ = 0;
    std::atomic<double> active_until_{0};
};

Scheduler::Scheduler(uv_loop_t* loop, SchedulerOptions options)
    : inner_(std::make_shared<Inner>(loop, std::move(options))) {
    inner_->thread_id = std::this_thread::get_id();
    inner_->start();
}

Scheduler::Scheduler(SchedulerOptions options) {
    std::promise<std::shared_ptr<Inner>> started;
    auto result = started.get_future();
    std::thread t([o = std::move(options), started = std::move(started)]() mutable {
        uv_loop_t loop;
        uv_loop_init(&loop);
        auto inner = std::make_shared<Inner>(&loop, std::move(o));
        inner->thread_id = std::this_thread::get_id();
        try {
            inner->start();
            started.set_value(std::move(inner));
        } catch (...) {
            started.set_exception(std::current_exception());
        }
        inner.reset();
        uv_run(&loop, UV_RUN_DEFAULT); // Returns once the scheduler has ended and all handles are closed.
        uv_loop_close(&loop);
    });
    try {
        inner_ = result.get();
    } catch (...) {
        t.join();
        throw;
    }
    inner_->thread = std::move(t);
}

Scheduler::~Scheduler() {
    const bool on_loop_thread = inner_->on_loop();
    auto thread = std::move(inner_->thread);
    inner_->finish(true);
    inner_.reset();
    if (!thread.joinable())
        return;
    if (on_loop_thread)
        thread.detach(); // The loop ends by itself once its handles are closed.
    else
        thread.join();
}

void Scheduler::submit(const JobSpec& job, Done done) {
    submit(codec::to_body(job), std::move(done));
}

void Scheduler::submit(std::string json, Done done) {
    inner_->call("POST", std::string(codec::path_jobs), std::move(json), std::move(done));
}

void Scheduler::get(const std::string& id, Done done) {
    inner_->call("GET", std::string(codec::path_jobs) + "/" + id, {}, std::move(done));
}

void Scheduler::cancel(const std::string& id, Done done) {
    inner_->call("POST", std::string(codec::path_jobs) + "/" + id + "/" + std::string(codec::suffix_cancel), {},
                 std::move(done));
}

void Scheduler::subscribe(Watch watch) {
    inner_->subscribe(std::move(watch));
}

void Scheduler::stop() {
    inner_->finish(false);
}

void Scheduler::turn() {
    inner_->turn();
}

bool Scheduler::is_active_leader() const {
    return inner_->is_active_leader();
}

int Scheduler::port() const {
    return inner_->port();
}

} // namespace heronshift
