#include "heronshift/executor/http.hpp"

namespace heronshift {
namespace {

constexpr std::string_view no_capacity = "no capacity"; // in the cloud's answer: not an outage
constexpr int max_listed = 500;

} // namespace

void HttpExecutor::command(const SendOrders& o, double timeout_s, std::function<void(OrdersAnswered&&)> done) {
    agents_.request(o.addr, "POST", std::string(codec::path_commands),
                    codec::commands(o.fencing_token, o.agent_epoch, o.orders), timeout_s,
                    [done = std::move(done), id = o.machine, batch = o.batch](HttpReply&& r) {
                        OrdersAnswered a{id, batch, r.status, r.sent, std::nullopt};
                        if (r.status == 200 || r.status == 409)
                            a.heartbeat = codec::heartbeat(r.body);
                        done(std::move(a));
                    });
}

void HttpExecutor::probe(const std::string& addr, double timeout_s, std::function<void(std::optional<bool>)> done) {
    probes_.request(addr, "GET", std::string(codec::path_status), "", timeout_s,
                    [done = std::move(done)](HttpReply&& r) { done(r.status == 200); });
}

void HttpExecutor::forward(const std::string& addr, std::string body, double timeout_s,
                           std::function<void(HttpReply&&)> done) {
    agents_.request(addr, "POST", std::string(codec::path_commands), std::move(body), timeout_s, std::move(done));
}

void HttpExecutor::rent(const Rent& ask, double timeout_s, std::function<void(Rented&&)> done) {
    cloud_.request(cloud_at_, "POST", std::string(codec::path_rentals),
                   codec::rental(ask.claim, ask.type, ask.zone, ask.spot, ask.count), timeout_s,
                   [done = std::move(done), claim = ask.claim](HttpReply&& r) {
                       Rented a{claim, RentOutcome::unknown, {}};
                       if (r.status == 200) {
                           if (auto list = codec::rented(r.body); list) {
                               a.outcome = RentOutcome::rented;
                               a.machines = std::move(*list);
                           }
                       } else if (r.status == 503 && r.body.find(no_capacity) != std::string::npos) {
                           a.outcome = RentOutcome::no_capacity;
                       } else if (r.status == 503 || r.status == 429 || r.status == 400 || (r.status == 0 && !r.sent)) {
                           a.outcome = RentOutcome::failed;
                       }
                       done(std::move(a));
                   });
}

void HttpExecutor::release(const Release& ask, double timeout_s, std::function<void(Released&&)> done) {
    cloud_.request(cloud_at_, "POST", std::string(codec::path_release), codec::release(ask.machines), timeout_s,
                   [done = std::move(done), list = ask.machines](HttpReply&& r) {
                       done({list, r.status == 200});
                   });
}

void HttpExecutor::list(const std::string& since, double timeout_s,
                        std::function<void(std::optional<codec::MachinePage>&&)> done) {
    auto path = std::string(codec::path_rentals) + "?most=" + std::to_string(max_listed);
    if (!since.empty())
        path += "&since=" + since;
    cloud_.request(cloud_at_, "GET", path, "", timeout_s, [done = std::move(done)](HttpReply&& r) {
        done(r.status == 200 ? codec::machine_page(r.body) : std::nullopt);
    });
}

void HttpExecutor::types(double timeout_s, std::function<void(std::optional<std::vector<MachineType>>&&)> done) {
    cloud_.request(cloud_at_, "GET", std::string(codec::path_types), "", timeout_s,
                   [done = std::move(done)](HttpReply&& r) {
                       done(r.status == 200 ? codec::machine_types(r.body) : std::nullopt);
                   });
}

} // namespace heronshift
