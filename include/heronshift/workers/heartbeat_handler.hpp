// What machines say and are told: reports and their answers, orders sent to them; both also by way of
// another controller, where the direct way is cut.
//
// Owns: the answers still owed to machines, who was sent to the leader lately, the budget of relays. May
// call the executor, the peers and membership; the leadership and the core only through its Host. It carries:
// what a heartbeat means and which orders there are, the core decides. A relay is only a longer way: it never
// answers by itself, keeps, repeats or merges, and is never relayed once more. See docs/safety.md.
#pragma once

#include "heronshift/executor/executor.hpp"
#include "heronshift/http.hpp"
#include "heronshift/membership/membership.hpp"
#include "heronshift/metrics/timings.hpp"
#include "heronshift/peers/peers.hpp"
#include "heronshift/timer_queue.hpp"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace heronshift::workers {

class HeartbeatHandler {
public:
    class Host {
    public:
        virtual ~Host() = default;
        [[nodiscard]] virtual bool is_active_leader() const = 0;     // at this moment
        [[nodiscard]] virtual bool is_acquiring() const = 0;         // the leadership, which takes a moment
        [[nodiscard]] virtual const std::string& leader() const = 0; // a hint, may be empty
        [[nodiscard]] virtual bool is_of_leader_term(std::uint64_t fencing_token) const = 0;
        [[nodiscard]] virtual std::string zone_of(const std::string& machine) const = 0; // empty: not known
        virtual void push(Command command) = 0;                                          // to the core
    };
    HeartbeatHandler(const Settings& settings, TimerQueue& timers, Executor& executor, Peers& peers,
                     membership::Membership& members, metrics::Timings& took, Host& host);

    void handle_heartbeat(HttpRequest&& request, const Responder& res, bool relayed); // POST /agent/beat
    void forward(HttpRequest&& request, const Responder& res); // POST /peer/relay: orders for a machine
    void retry_pending_heartbeats(); // reports that came while the leadership changed hands; often, and once it is ours
    void on_leadership_lost();       // who waits for an answer is sent away

    // From the core.
    void answer(AnswerHeartbeat&& effect);
    void send(const SendOrders& effect, std::function<void(OrdersAnswered&&)> done);

private:
    struct RawRequest { // a heartbeat as it came, so that it can be passed on
        std::string body;
        Responder res;
    };
    struct PendingHeartbeat { // a heartbeat that came while the leadership changed hands
        Heartbeat heartbeat;
        bool relayed = false;
        Executor::HeartbeatDone done;
        double since = 0;
        std::optional<RawRequest> whole; // none: it may not be passed on, or was already
        std::string refused_by;          // a leader that did not take it
        [[nodiscard]] std::size_t bytes() const;
    };
    void take(PendingHeartbeat&& pending);
    void keep_waiting(PendingHeartbeat&& pending);
    bool make_room_for_sent_away();
    [[nodiscard]] HeartbeatResponse
    not_leader_response() const; // what a heartbeat is told that this node must not take
    enum class Route : std::uint8_t { leader, relay, next };
    [[nodiscard]] Route route_of(const Heartbeat& heartbeat);
    void relay(Heartbeat&& heartbeat, RawRequest&& whole, double since);
    void send_by(const std::string& peer, const SendOrders& effect, std::function<void(OrdersAnswered&&)> done);
    void record_launches(const std::vector<Order>& orders);

    const Settings& settings_;
    TimerQueue& timers_;
    Executor& executor_;
    Peers& peers_;
    membership::Membership& members_;
    metrics::Timings& took_;
    Host& host_;
    std::uint64_t handle_seq_ = 0;
    struct Open {
        Executor::HeartbeatDone done;
        double since = 0;
        std::string zone, addr;
        bool relayed = false;
    };
    std::map<std::uint64_t, Open> open_;
    std::vector<PendingHeartbeat> pending_heartbeats_;
    std::size_t early_bytes_ = 0;
    // To whom, when (below zero: it came back since), until when it is relayed, and its last heartbeat.
    struct Redirected {
        std::string leader;
        double at = -1, relay_until = -1, came_at = -1;
    };
    std::unordered_map<std::string, Redirected> redirected_;
    double next_sent_away_sweep_ = 0;
    std::size_t max_sent_away_, max_early_bytes_;
    std::size_t max_relays_, relaying_ = 0; // reports and orders of others, under way
};

} // namespace heronshift::workers
