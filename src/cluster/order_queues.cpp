#include "cluster/order_queues.hpp"

#include <algorithm>
#include <utility>

namespace heronshift::cluster {
namespace {

constexpr std::size_t min_concurrent_requests = 40;
// One request per 16 file descriptors of fd_limit, a fifth of which is available for outgoing requests.
constexpr int sockets_per_request = 16;

} // namespace

void DispatchQueue::add(Machine& machine) {
    if (machine.queued_for_orders)
        return;
    machine.queued_for_orders = true;
    queue_.push_back(&machine);
}

void DispatchQueue::forget(const Machine& machine) {
    std::erase(queue_, &machine);
}

void HeartbeatRequests::add(Machine& machine) {
    if (machine.heartbeat_request_queued)
        return;
    machine.heartbeat_request_queued = true;
    queue_.push_back(machine.id);
}

std::optional<std::string> HeartbeatRequests::next(std::size_t machines) {
    if (queue_.empty() || requests_in_flight_ >= max_concurrent_requests(machines))
        return {};
    auto id = std::move(queue_.front());
    queue_.pop_front();
    return id;
}

void HeartbeatRequests::sent(Machine& machine) {
    ++requests_in_flight_;
    machine.heartbeat_request_in_flight = true;
}

void HeartbeatRequests::answered(Machine& machine) {
    machine.heartbeat_request_in_flight = false;
    --requests_in_flight_;
}

void HeartbeatRequests::forget(const Machine& machine) {
    if (machine.heartbeat_request_in_flight)
        --requests_in_flight_;
}

// As many concurrent requests as are needed to ask all machines within one lease if every request runs into its
// timeout, but limited by the available sockets. With fd_limit 1024 the limit is 64 requests, and asking 2,000 machines
// that do not answer takes two and a half leases. Machines that can reach this leader do not depend on a request: they
// send a heartbeat by themselves within report_s.
std::size_t HeartbeatRequests::max_concurrent_requests(std::size_t machines) const {
    const double answer_s = settings_.report_s / 2;
    const auto within_lease = static_cast<std::size_t>(static_cast<double>(machines) * answer_s / settings_.lease_s);
    const auto sockets = static_cast<std::size_t>(settings_.fd_limit / sockets_per_request);
    return std::max(min_concurrent_requests, std::min(within_lease, sockets));
}

} // namespace heronshift::cluster
