// A state store on the loop itself, in memory: for programs that simulate, and for those whose jobs need
// not outlive them. No thread and no time of its own; what can block or must last belongs in LocalStore.
#pragma once

#include "heronshift/clock.hpp"
#include "heronshift/store/engine.hpp"

#include <deque>
#include <list>

namespace heronshift::store {

class DirectStore final : public StateStore {
public:
    // The loop must run once more after the store is destroyed: a handle closes there.
    DirectStore(uv_loop_t* loop, std::unique_ptr<Engine> engine, std::shared_ptr<const Clock> clock = nullptr);
    ~DirectStore() override;

    void get(const std::string& key, double timeout_s, Callback done) override;
    void list(const std::string& under, const std::string& since, int most, double timeout_s, Callback done) override;
    void transact(const std::vector<codec::Guard>& guards, const std::vector<codec::Write>& writes, double timeout_s,
                  Callback done) override;
    void hold(double ttl_s, double timeout_s, Callback done) override;
    void extend(std::uint64_t hold, double timeout_s, Callback done) override;
    void end_hold(std::uint64_t hold, double timeout_s, Callback done) override;
    void follow(const std::string& under, std::uint64_t since, double block_s, Callback done) override;
    void sweep() override;
    [[nodiscard]] std::uint64_t calls() const {
        return calls_;
    }

private:
    struct Follow {
        std::string under;
        std::uint64_t since = 0;
        std::int64_t until_ms = 0;
        Callback done;
    };
    [[nodiscard]] std::int64_t now_ms() const;
    void answer(Callback done, const std::function<Answer(Engine&, std::int64_t)>& f);
    void later(Callback done, Answer&& a);
    void deliver();

    std::unique_ptr<Engine> engine_;
    std::shared_ptr<const Clock> clock_;
    std::deque<std::pair<Callback, Answer>> answers_;
    std::list<Follow> follows_;
    uv_async_t* async_;
    std::uint64_t calls_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace heronshift::store
