#include "local/late_copies.hpp"

#include "http_status.hpp"

#include <algorithm>
#include <iterator>

namespace heronshift::local {
namespace {

constexpr double min_delay_s = 0.2, max_delay_s = 8;

} // namespace

bool LateCopies::draw() {
    return share > 0 && std::uniform_real_distribution<double>(0, 1)(rng_) < share;
}

void LateCopies::queue(Delivery delivery) {
    const double delay_s = std::uniform_real_distribution<double>(min_delay_s, max_delay_s)(rng_);
    copies_.push_back({clock_->now() + delay_s, std::move(delivery)});
}

Responder LateCopies::copying(const Responder& responder, Delivery delivery) {
    if (!draw())
        return responder;
    return Responder([this, responder, delivery = std::move(delivery)](int status, std::string_view body,
                                                                       int retry_after_s) mutable {
        if (status == http_status::no_answer)
            return;
        responder.send(status, body, retry_after_s);
        queue(std::move(delivery));
    });
}

HttpClient::Callback LateCopies::copying(HttpClient::Callback callback, Delivery delivery) {
    if (!draw())
        return callback;
    return [this, callback = std::move(callback), delivery = std::move(delivery)](HttpReply&& reply) mutable {
        if (reply.status != http_status::no_answer)
            queue(std::move(delivery));
        callback(std::move(reply));
    };
}

void LateCopies::deliver_due() {
    const auto is_pending = [now = clock_->now()](const Copy& copy) { return copy.due_at > now; };
    const auto due = std::stable_partition(copies_.begin(), copies_.end(), is_pending);
    std::vector<Copy> deliveries(std::make_move_iterator(due), std::make_move_iterator(copies_.end()));
    copies_.erase(due, copies_.end());
    for (const auto& copy : deliveries) {
        ++delivered_;
        copy.delivery();
    }
}

} // namespace heronshift::local
