/// @file
/// What runs tasks for a controller: machines that take orders and report, and whoever gives machines
/// and takes them back. The daemon's speaks the platform's protocol (executor/http.hpp); a program that
/// embeds the scheduler may bring its own.
///
/// An executor only carries: whether an order may be given, and what silence means, is decided elsewhere (src/cluster).
/// So it must say what it knows and no more: an answer that was lost is "no answer", not "no".
/// All calls and callbacks on the loop's thread. A callback may come before the call returns; each
/// comes once, at the latest when the executor is destroyed or the time given is over. Nothing throws.
#pragma once

#include "heronshift/http_reply.hpp"
#include "heronshift/messages.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace heronshift {

/// What a controller says to a heartbeat.
struct HeartbeatResponse {
    /// 200: fencing token and orders are valid and the machine's lease runs anew from when the heartbeat was sent; 421:
    /// not here, the controller named leads; 503: nobody known does.
    int status = 503;
    /// The leader's fencing token.
    std::uint64_t fencing_token = 0;
    /// What the machine is to do.
    std::vector<Order> orders;
    /// For 421: the name of the leader.
    std::string leader;
};

/// The interface between a controller and what runs tasks. Times given are in seconds. Functions and texts come by
/// value, also where a default here only reads them: those that override keep them.
class Executor {
public:
    /// Takes the answer to a heartbeat.
    using HeartbeatDone = std::function<void(const HeartbeatResponse&)>;
    /// Takes a heartbeat, on the loop's thread.
    using Heartbeats = std::function<void(Heartbeat&&, HeartbeatDone)>;

    Executor() = default;
    virtual ~Executor() = default;
    Executor(const Executor&) = delete;
    Executor& operator=(const Executor&) = delete;

    // NOLINTBEGIN(performance-unnecessary-value-param): see the class

    /// Says where heartbeats that reach the executor itself are to go; called before any other function.
    virtual void set_heartbeat_handler(Heartbeats) {}

    /// Sends orders to one machine: status 200 or 409 with its heartbeat (409: refused, our fencing token or its epoch
    /// is old), 0 or another: no answer.
    virtual void command(const SendOrders& orders, double timeout_s, std::function<void(OrdersAnswered&&)> done) = 0;
    /// Rents machines. A claim that was made before gets the same machines once more.
    virtual void rent(const Rent& ask, double timeout_s, std::function<void(Rented&&)> done) = 0;
    /// Returns machines; not ok: it may or may not have been done.
    virtual void release(const Release& ask, double timeout_s, std::function<void(Released&&)> done) = 0;
    /// Lists a page of the machines rented, in order of id after `since`; none: no answer.
    virtual void list(const std::string& since, double timeout_s,
                      std::function<void(std::optional<codec::MachinePage>&&)> done) = 0;
    /// Lists the types of machines; none: no answer.
    virtual void types(double timeout_s, std::function<void(std::optional<std::vector<MachineType>>&&)> done) = 0;

    /// For several controllers that help each other: whether the machine at an address answers at all; none:
    /// that cannot be asked here.
    virtual void probe(const std::string& /*addr*/, double /*timeout_s*/,
                       std::function<void(std::optional<bool>)> done) {
        done(std::nullopt);
    }
    /// Passes on orders that another controller has written, as they are: the machine's answer as it is, status 0
    /// for none.
    virtual void forward(const std::string& /*addr*/, std::string /*body*/, double /*timeout_s*/,
                         std::function<void(HttpReply&&)> done) {
        done({});
    }
    // NOLINTEND(performance-unnecessary-value-param)

    /// Ends what takes too long; called some thirty times in the settings' report_s.
    virtual void sweep() {}
};

} // namespace heronshift
