// Receives the machines' heartbeats and sends them orders, directly or through another controller.
#pragma once

#include "heronshift/executor/executor.hpp"
#include "http.hpp"
#include "membership/membership.hpp"
#include "metrics/timings.hpp"
#include "peers/peers.hpp"
#include "timer_queue.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace heronshift::workers {

/// Passes heartbeats to the core and orders to machines, both through another controller if the direct path is cut. It
/// doesn't interpret them: the core decides what a heartbeat means and which orders are sent.
///
/// A controller that relays a message only lengthens its path: it doesn't answer it by itself, and doesn't store,
/// repeat or merge what it relays. No message is relayed twice (docs/safety.md).
///
/// Its state: the heartbeats whose answer is outstanding, the machines that were recently redirected to the leader, and
/// the number of relays in flight. It uses the executor, the peers and the membership; what it needs to know of the
/// leadership and the core it asks its `Host`.
///
/// All calls and callbacks run on the thread of the node's loop.
class HeartbeatHandler {
public:
    /// What the handler needs to know from its node.
    class Host {
    public:
        virtual ~Host() = default;
        /// Whether this node may act as the leader at this moment.
        [[nodiscard]] virtual bool is_active_leader() const = 0;
        /// Whether this node is acquiring the leadership, which takes a short time.
        [[nodiscard]] virtual bool is_acquiring() const = 0;
        /// The name of the leader as far as this node knows: a hint, empty if not known.
        [[nodiscard]] virtual const std::string& leader() const = 0;
        /// Whether the fencing token was issued in the term of the leader that this node knows of.
        [[nodiscard]] virtual bool is_of_leader_term(std::uint64_t fencing_token) const = 0;
        /// The zone of the machine; empty if not known.
        [[nodiscard]] virtual std::string zone_of(const std::string& machine) const = 0;
        /// Whether no answer or order of any controller reaches the machine, although its heartbeats arrive.
        [[nodiscard]] virtual bool is_inbound_unreachable(const std::string& machine) const = 0;
        /// Hands a command to the core.
        virtual void push(Command command) = 0;
    };
    HeartbeatHandler(const Settings& settings, TimerQueue& timers, Executor& executor, Peers& peers,
                     membership::Membership& membership, metrics::Timings& timings, Host& host);

    /// Handles a machine's heartbeat (POST to `codec::path_heartbeat`); `relayed`: another controller has relayed it.
    void handle_heartbeat(HttpRequest&& request, const Responder& res, bool relayed);
    /// Forwards orders of another controller to a machine (POST to /peer/relay).
    void forward(HttpRequest&& request, const Responder& res);
    /// Retries the heartbeats that arrived during a change of leadership. To be called about thirty times per report_s,
    /// and when this node has acquired the leadership.
    void retry_pending_heartbeats();
    /// Answers the heartbeats that wait for the core's answer with 503.
    void on_leadership_lost();

    /// Sends the core's answer to a `HeartbeatReceived` command to the machine.
    void answer(AnswerHeartbeat&& effect);
    /// Sends the core's orders to a machine, directly or through another controller.
    void send(const SendOrders& effect, std::function<void(OrdersAnswered&&)> done);

private:
    struct RawRequest { // a heartbeat's unparsed request, so that it can be relayed
        std::string body;
        Responder res;
    };
    struct PendingHeartbeat { // a heartbeat that arrived during a change of leadership
        Heartbeat heartbeat;
        bool relayed = false;
        Executor::HeartbeatDone done;
        double since = 0;                // when it arrived, in seconds of the steady clock
        std::optional<RawRequest> raw;   // empty if it must not be relayed, or has been relayed already
        std::string failed_relay_target; // the leader to which it was relayed in vain, if any
        [[nodiscard]] std::size_t bytes() const;
    };
    // What happens to a heartbeat that this node must not handle because another node leads: its machine is redirected
    // to the leader (`leader`), this node relays it to the leader (`relay`), or its machine is answered 503 and tries
    // the next controller (`next`).
    enum class Route : std::uint8_t { leader, relay, next };
    // A machine that was redirected to a leader. Times are in seconds of the steady clock.
    struct Redirected {
        std::string leader;
        std::optional<double> redirected_at; // when it was last redirected; empty if it has returned since
        double relay_until = 0;              // until when its heartbeats are relayed
        double seen_at = 0;                  // when its last heartbeat arrived here
    };
    struct UnansweredHeartbeat { // a heartbeat that was handed to the core and is not answered yet
        Executor::HeartbeatDone done;
        double since = 0; // when it was handed to the core, in seconds of the steady clock
        std::string machine, zone, addr;
        bool relayed = false;
    };

    void handle_or_enqueue(PendingHeartbeat&& pending);
    void retry(PendingHeartbeat&& pending);
    void enqueue_pending(PendingHeartbeat&& pending);
    [[nodiscard]] HeartbeatResponse not_leader_response() const;
    [[nodiscard]] Route route_of(const Heartbeat& heartbeat);
    [[nodiscard]] static std::string_view name_of(Route route);
    [[nodiscard]] bool has_returned(Redirected& machine, double now) const;
    [[nodiscard]] bool make_room_for_redirected();
    [[nodiscard]] bool begin_relay();
    void relay(Heartbeat&& heartbeat, RawRequest&& raw, double since);
    [[nodiscard]] std::optional<std::string> relay_peer_for(const SendOrders& effect) const;
    void send_through(const std::string& peer, const SendOrders& effect, std::function<void(OrdersAnswered&&)> done);
    void record_path(const UnansweredHeartbeat& heartbeat);
    void record_launches(const std::vector<Order>& orders);

    const Settings& settings_;
    TimerQueue& timers_;
    Executor& executor_;
    Peers& peers_;
    membership::Membership& membership_;
    metrics::Timings& timings_;
    Host& host_;
    std::uint64_t handle_seq_ = 0;
    std::map<std::uint64_t, UnansweredHeartbeat> unanswered_heartbeats_; // by handle
    std::vector<PendingHeartbeat> pending_heartbeats_;
    std::size_t pending_bytes_ = 0; // memory held by pending_heartbeats_
    std::unordered_map<std::string, Redirected> redirected_;
    double next_redirected_sweep_ = 0; // in seconds of the steady clock
    std::size_t max_redirected_, max_pending_bytes_;
    std::size_t max_relays_, relays_in_flight_ = 0; // relays in flight: heartbeats, and orders of other controllers
    // How long a redirected machine is remembered after its last heartbeat: one lease, or the time that a machine needs
    // to try all controllers if that is longer.
    double redirect_retention_s_;
};

} // namespace heronshift::workers
