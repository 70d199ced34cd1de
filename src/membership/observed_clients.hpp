/// @file
/// A store and peers that tell how each request went, so that the state of the links is known from ordinary use. They
/// pass everything on unchanged; used on the loop's thread only.
#pragma once

#include "heronshift/store/store.hpp"
#include "peers/peers.hpp"

#include <functional>
#include <memory>
#include <utility>
#include <variant>

namespace heronshift::membership {

/// Whether the store service itself has answered. Refusals such as 429 are answers; no answer, a bad gateway and an
/// unavailable service are not, and the request may have failed on this side.
[[nodiscard]] inline bool is_from_store(const store::Answer& answer) {
    constexpr int no_answer = 0, bad_gateway = 502, unavailable = 503;
    return answer.status != no_answer && answer.status != bad_gateway && answer.status != unavailable;
}

/// A store that reports after each call whether it was answered.
class ObservedStore final : public store::StateStore {
public:
    explicit ObservedStore(std::unique_ptr<store::StateStore> inner) : inner_(std::move(inner)) {}
    /// Called before the caller gets the answer.
    std::function<void(bool ok)> on_answer;

    void call(store::Call&& call, double timeout_s, store::Callback done) override {
        // A follow that stays open proves nothing: it does so during an outage, too.
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

/// Peers that report after each request whether the peer answered.
class ObservedPeers final : public Peers {
public:
    explicit ObservedPeers(std::unique_ptr<Peers> inner) : inner_(std::move(inner)) {}
    /// Called before the caller gets the reply.
    std::function<void(const std::string& name, bool ok)> on_answer;

    void request(Lane lane, const std::string& name, const char* method, const std::string& path, std::string body,
                 double timeout_s, Done done) override {
        inner_->request(lane, name, method, path, std::move(body), timeout_s,
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
