// A store and peers that tell how each request went, so that links are known from ordinary use.
#pragma once

#include "heronshift/peers/peers.hpp"
#include "heronshift/store/store.hpp"

#include <memory>

namespace heronshift::membership {

class ObservedStore final : public store::StateStore {
public:
    explicit ObservedStore(std::unique_ptr<store::StateStore> inner) : inner_(std::move(inner)) {}
    std::function<void(bool ok)> on_answer;

    void call(store::Call&& c, double timeout_s, store::Callback done) override {
        // A follow that stays open proves nothing: during an outage it does, too.
        if (std::holds_alternative<store::Follow>(c))
            return inner_->call(std::move(c), timeout_s, std::move(done));
        inner_->call(std::move(c), timeout_s, [this, done = std::move(done)](store::Answer&& answer) {
            // 429 is an answer: the store is there. Without one the request may have failed here.
            if (on_answer)
                on_answer(answer.status != 0 && answer.status != 502 && answer.status != 503);
            done(std::move(answer));
        });
    }
    void sweep() override {
        inner_->sweep();
    }

private:
    std::unique_ptr<store::StateStore> inner_;
};

class ObservedPeers final : public Peers {
public:
    explicit ObservedPeers(std::unique_ptr<Peers> inner) : inner_(std::move(inner)) {}
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
