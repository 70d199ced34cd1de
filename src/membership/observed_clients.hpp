/// @file
/// Decorators of the store client and the peer client that report whether each request was answered, so that the state
/// of the links is known from ordinary traffic. They pass requests and answers on unchanged. To be used on the loop's
/// thread only.
#pragma once

#include "heronshift/store/store.hpp"
#include "peers/peers.hpp"

#include <functional>
#include <memory>
#include <utility>
#include <variant>

namespace heronshift::membership {

/// Whether the answer came from the store service itself. A refusal such as 429 does. A missing answer, 502 (bad
/// gateway) and 503 (unavailable) don't: the request may have failed on this side of the link.
[[nodiscard]] inline bool is_from_store(const store::Answer& answer) {
    constexpr int no_answer = 0, bad_gateway = 502, unavailable = 503;
    return answer.status != no_answer && answer.status != bad_gateway && answer.status != unavailable;
}

/// Wraps a store client and reports after each call whether the store answered it.
class ObservedStore final : public store::StateStore {
public:
    explicit ObservedStore(std::unique_ptr<store::StateStore> inner) : inner_(std::move(inner)) {}
    /// Called with the result of each call, before the caller gets the answer.
    std::function<void(bool ok)> on_answer;

    void call(store::Call&& call, double timeout_s, store::Callback done) override {
        // The result of a `Follow` call is not reported: such a call also stays open during an outage, so it proves
        // nothing about the link.
        if (std::holds_alternative<store::Follow>(call))
            return inner_->call(std::move(call), timeout_s, std::move(done));
        inner_->call(std::move(call), timeout_s, [this, done = std::move(done)](store::Answer&& answer) {
            if (on_answer)
                on_answer(is_from_store(answer));
            done(std::move(answer));
        });
    }
    void sweep() override {
        inner_->sweep();
    }

private:
    std::unique_ptr<store::StateStore> inner_;
};

/// Wraps a peer client and reports after each request whether the peer answered.
class ObservedPeers final : public Peers {
public:
    explicit ObservedPeers(std::unique_ptr<Peers> inner) : inner_(std::move(inner)) {}
    /// Called with the peer's name and the result of each request, before the caller gets the reply.
    std::function<void(const std::string& name, bool ok)> on_answer;

    void request(PeerRequestClass request_class, const std::string& name, const char* method, const std::string& path,
                 std::string body, double timeout_s, Done done) override {
        inner_->request(request_class, name, method, path, std::move(body), timeout_s,
                        [this, name, done = std::move(done)](HttpReply&& reply) {
                            if (on_answer)
                                on_answer(name, reply.status != 0);
                            done(std::move(reply));
                        });
    }
    void sweep() override {
        inner_->sweep();
    }

private:
    std::unique_ptr<Peers> inner_;
};

} // namespace heronshift::membership
