/// @file
/// A network fault of the emulators: messages that were carried out and answered arrive once more, seconds later.
#pragma once

#include "heronshift/clock.hpp"
#include "heronshift/http_reply.hpp"
#include "http.hpp"

#include <functional>
#include <memory>
#include <random>
#include <vector>

namespace heronshift::local {

/// Draws the messages of which late copies arrive, keeps the copies and delivers them when they are due. Nobody waits
/// for the answer to a copy.
class LateCopies {
public:
    /// Delivers a message once more.
    using Delivery = std::function<void()>;

    LateCopies(std::shared_ptr<const Clock> clock, unsigned seed) : clock_(std::move(clock)), rng_(seed) {}

    /// The share of messages of which a copy arrives.
    double share = 0;
    /// The number of copied orders that machines refused because of their fencing token or agent epoch.
    std::uint64_t refused_orders = 0;

    /// For a server: the responder to be used in place of `responder`, which queues a copy once there is an answer.
    [[nodiscard]] Responder copying(const Responder& responder, Delivery delivery);
    /// For a client: the callback to be used in place of `callback`, which queues a copy once there is an answer.
    [[nodiscard]] HttpClient::Callback copying(HttpClient::Callback callback, Delivery delivery);
    /// Delivers the copies that are due.
    void deliver_due();
    /// The number of copies delivered so far.
    [[nodiscard]] std::uint64_t delivered() const {
        return delivered_;
    }

private:
    struct Copy {
        double due_at = 0; // on `clock_`
        Delivery delivery;
    };
    [[nodiscard]] bool draw();
    void queue(Delivery delivery);

    std::shared_ptr<const Clock> clock_;
    std::mt19937 rng_;
    std::vector<Copy> copies_;
    std::uint64_t delivered_ = 0;
};

} // namespace heronshift::local
