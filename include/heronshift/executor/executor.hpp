/// @file
/// The interface through which a controller runs tasks: it sends orders to machines, receives their heartbeats, and
/// rents and releases machines. The daemon's executor speaks the platform's protocol (src/executor/http_executor.hpp);
/// a program that embeds the scheduler may supply its own.
///
/// An executor only transports messages. Whether an order may be given, and what a missing answer means, is decided in
/// src/cluster. So an executor must report only what it knows for certain: a lost answer is reported as no answer, not
/// as a refusal. A machine must refuse orders, and ignore answers to its heartbeats, whose fencing token is lower than
/// the highest one that it has seen or whose agent epoch is not its own: the network may deliver orders more than once,
/// and a late copy of a launch must not start a task that was reaped meanwhile.
/// All functions and callbacks are called on the loop's thread. Every callback is called exactly once, possibly before
/// the function returns, and at the latest when the timeout expires or the executor is destroyed. Nothing throws.
#pragma once

#include "heronshift/http_reply.hpp"
#include "heronshift/messages.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace heronshift {

/// A controller's answer to a heartbeat.
struct HeartbeatResponse {
    /// 200: fencing_token and orders are valid, and the machine's lease starts again from the time at which the
    /// heartbeat was sent; 421: this controller is not the leader, `leader` is; 503: no leader is known.
    int status = 503;
    /// The leader's fencing token.
    std::uint64_t fencing_token = 0;
    /// The orders that the machine is to carry out.
    std::vector<Order> orders;
    /// For 421: the name of the leader.
    std::string leader;
};

/// The interface between a controller and the machines and cloud that run its tasks. Timeouts are in seconds. Callbacks
/// and texts are passed by value, even where a default implementation only reads them, since overriding functions store
/// them.
class Executor {
public:
    /// Receives the answer to a heartbeat.
    using HeartbeatDone = std::function<void(const HeartbeatResponse&)>;
    /// Receives a heartbeat, on the loop's thread.
    using Heartbeats = std::function<void(Heartbeat&&, HeartbeatDone)>;

    Executor() = default;
    virtual ~Executor() = default;
    Executor(const Executor&) = delete;
    Executor& operator=(const Executor&) = delete;

    // NOLINTBEGIN(performance-unnecessary-value-param): see the class

    /// Sets the handler for heartbeats that arrive at the executor itself. Called before any other function.
    virtual void set_heartbeat_handler(Heartbeats) {}

    /// Sends orders to one machine. Its answer has status 200, or 409 if the machine refused the orders because the
    /// controller's fencing token or the agent epoch in the request is outdated; both come with the machine's
    /// heartbeat. Status 0 and all others mean that there was no valid answer.
    virtual void command(const SendOrders& orders, double timeout_s, std::function<void(OrdersAnswered&&)> done) = 0;
    /// Rents machines. Idempotent: a request with the claim of an earlier one returns the same machines again.
    virtual void rent(const Rent& ask, double timeout_s, std::function<void(Rented&&)> done) = 0;
    /// Releases machines. If the result is not ok, the machines may or may not have been released.
    virtual void release(const Release& ask, double timeout_s, std::function<void(Released&&)> done) = 0;
    /// Lists one page of the rented machines, ordered by id, beginning after the id `since`. Passes std::nullopt to
    /// `done` if there was no answer.
    virtual void list(const std::string& since, double timeout_s,
                      std::function<void(std::optional<codec::MachinePage>&&)> done) = 0;
    /// Lists the machine types. Passes std::nullopt to `done` if there was no answer.
    virtual void types(double timeout_s, std::function<void(std::optional<std::vector<MachineType>>&&)> done) = 0;

    /// Checks whether the machine at an address answers at all, for clusters of several controllers. Passes
    /// std::nullopt to `done` if this executor cannot check that.
    virtual void probe(const std::string& /*addr*/, double /*timeout_s*/,
                       std::function<void(std::optional<bool>)> done) {
        done(std::nullopt);
    }
    /// Forwards orders to a machine on behalf of another controller, with the request's body unchanged. Passes the
    /// machine's answer to `done` unchanged, with status 0 if there was none.
    virtual void forward(const std::string& /*addr*/, std::string /*body*/, double /*timeout_s*/,
                         std::function<void(HttpReply&&)> done) {
        done({});
    }
    // NOLINTEND(performance-unnecessary-value-param)

    /// Ends requests that have exceeded their timeouts. Called about thirty times per report_s of the settings.
    virtual void sweep() {}
};

} // namespace heronshift
