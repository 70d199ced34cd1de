// What machines say and are told: reports and their answers, orders sent to them.
//
// Owns: the answers still owed to machines. May call the executor; the office and the core only through
// its Host. It carries: what a report means and which orders there are, the core decides.
#pragma once

#include "heronshift/executor/executor.hpp"
#include "heronshift/http.hpp"
#include "heronshift/later.hpp"
#include "heronshift/metrics/timings.hpp"

#include <map>
#include <optional>
#include <string>

namespace heronshift::agents {

class Desk {
public:
    class Host {
    public:
        virtual ~Host() = default;
        [[nodiscard]] virtual bool acts() const = 0;                 // at this moment
        [[nodiscard]] virtual const std::string& holder() const = 0; // a hint, may be empty
        virtual void push(Command c) = 0;                            // to the core
        virtual void worker_heard() = 0;
    };
    Desk(const Settings& s, Later& later, Executor& executor, metrics::Timings& took, Host& host);

    void beat(const HttpRequest& r, const Responder& res); // POST /agent/beat
    void report(Report&& r, Executor::ReportDone done);
    void left_office(); // who waits for an answer is sent away

    // From the core.
    void answer(BeatAnswer&& a);
    void send(const SendOrders& o, std::function<void(OrdersAnswered&&)> done);

private:
    [[nodiscard]] std::optional<ReportAnswer> elsewhere() const; // what a report is told that this node must not take
    void note_launches(const std::vector<Order>& orders);

    const Settings& s_;
    Later& later_;
    Executor& executor_;
    metrics::Timings& took_;
    Host& host_;
    std::uint64_t handle_seq_ = 0;
    struct Open {
        Executor::ReportDone done;
        double since = 0;
    };
    std::map<std::uint64_t, Open> open_;
};

} // namespace heronshift::agents
