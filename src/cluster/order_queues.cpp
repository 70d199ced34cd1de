#include "cluster/order_queues.hpp"

#include <algorithm>
#include <utility>

namespace heronshift::cluster {
namespace {

constexpr std::size_t min_asked_at_once = 40;
// One request per 16 file descriptors of fd_limit, a fifth of which is available for outgoing requests.
constexpr int sockets_per_asked = 16;

} // namespace

void DispatchQueue::add(Machine& machine) {
    if (machine.wants_orders)
        return;
    machine.wants_orders = true;
    queue_.push_back(&machine);
}

void DispatchQueue::forget(const Machine& machine) {
    std::erase(queue_, &machine);
}

void HeartbeatRequests::add(Machine& machine) {
    if (machine.to_be_asked)
        return;
    machine.to_be_asked = true;
    queue_.push_back(machine.id);
}

std::optional<std::string> HeartbeatRequests::next(std::size_t machines) {
    if (queue_.empty() || under_way_ >= max_at_once(machines))
        return {};
    auto id = std::move(queue_.front());
    queue_.pop_front();
    return id;
}

void HeartbeatRequests::sent(Machine& machine) {
    ++under_way_;
    machine.asked = true;
}

void HeartbeatRequests::answered(Machine& machine) {
    machine.asked = false;
    --under_way_;
}

void HeartbeatRequests::forget(const Machine& machine) {
    if (machine.asked)
        --under_way_;
}

// As many concurrent requests as are needed to ask all machines within one lease if every request runs into its
// timeout, but limited by the available sockets. With fd_limit 1024 the limit is 64 requests, and asking 2,000 machines
// that do not answer takes two and a half leases. Machines that can reach this leader do not depend on a request: they
// send a heartbeat by themselves within report_s.
std::size_t HeartbeatRequests::max_at_once(std::size_t machines) const {
    const double answer_s = settings_.report_s / 2;
    const auto within_lease = static_cast<std::size_t>(static_cast<double>(machines) * answer_s / settings_.lease_s);
    const auto sockets = static_cast<std::size_t>(settings_.fd_limit / sockets_per_asked);
    return std::max(min_asked_at_once, std::min(within_lease, sockets));
}

} // namespace heronshift::cluster
