#include "heronshift/agents/desk.hpp"

#include "heronshift/codec.hpp"

#include <spdlog/spdlog.h>

namespace heronshift::agents {

Desk::Desk(const Settings& s, Later& later, Executor& executor, metrics::Timings& took, Host& host)
    : s_(s), later_(later), executor_(executor), took_(took), host_(host) {
    executor_.reports_to([this](Report&& r, Executor::ReportDone done) { report(std::move(r), std::move(done)); });
}

std::optional<ReportAnswer> Desk::elsewhere() const {
    if (host_.acts()) return {};
    const auto& holder = host_.holder();
    const bool other = !holder.empty() && holder != s_.name;
    return ReportAnswer{other ? 421 : 503, 0, {}, other ? holder : ""};
}

void Desk::beat(const HttpRequest& r, const Responder& res) {
    const auto answer = [res](const ReportAnswer& a) {
        if (a.status == 200) return res.send(200, codec::orders(a.fence, a.orders));
        if (a.status == 421) return res.send(421, codec::redirect(a.holder));
        res.send(a.status, "{}");
    };
    if (const auto other = elsewhere(); other) return answer(*other);
    auto read = codec::report(r.body);
    if (!read) {
        spdlog::warn("malformed report");
        return res.send(400, codec::error_answer("malformed report"));
    }
    report(std::move(*read), answer);
}

void Desk::report(Report&& r, Executor::ReportDone done) {
    if (const auto other = elsewhere(); other) return done(*other);
    const auto h = ++handle_seq_;
    open_[h] = {std::move(done), later_.now()};
    host_.worker_heard();
    host_.push(Beat{std::move(r), h});
}

void Desk::left_office() {
    for (const auto& [h, open] : std::exchange(open_, {})) open.done({});
}

void Desk::note_launches(const std::vector<Order>& orders) {
    for (const auto& o : orders)
        if (o.verb == Verb::launch) took_.first_launches.launched(o.job, later_.now(), took_.launch);
}

void Desk::answer(BeatAnswer&& a) {
    const auto it = open_.find(a.handle);
    if (it == open_.end()) return;
    const auto open = std::move(it->second);
    open_.erase(it);
    took_.report.add(later_.now() - open.since);
    note_launches(a.orders);
    // A 200 renews a lease, so it is sent only while nobody else can hold the office.
    if (a.status == 200 && host_.acts())
        open.done({200, a.fence, std::move(a.orders), {}});
    else
        open.done({});
}

void Desk::send(const SendOrders& o, std::function<void(OrdersAnswered&&)> done) {
    note_launches(o.orders);
    executor_.command(o, s_.report_s / 2, [this, done = std::move(done)](OrdersAnswered&& a) {
        if (a.status != 0) host_.worker_heard();
        done(std::move(a));
    });
}

} // namespace heronshift::agents
