#include "heronshift/executor/http.hpp"

namespace heronshift {
namespace {

constexpr std::string_view no_capacity = "no capacity"; // in the cloud's answer: not an outage
constexpr int max_listed = 500;

} // namespace

void HttpExecutor::command(const SendOrders& effect, double timeout_s, std::function<void(OrdersAnswered&&)> done) {
    agents_.request(effect.addr, "POST", std::string(codec::path_commands),
                    codec::commands(effect.fencing_token, effect.agent_epoch, effect.orders), timeout_s,
                    [done = std::move(done), id = effect.machine, batch = effect.batch](HttpReply&& reply) {
                        OrdersAnswered a{id, batch, reply.status, reply.sent, std::nullopt};
                        if (reply.status == 200 || reply.status == 409)
                            a.heartbeat = codec::heartbeat(reply.body);
                        done(std::move(a));
                    });
}

void HttpExecutor::probe(const std::string& addr, double timeout_s, std::function<void(std::optional<bool>)> done) {
    probes_.request(addr, "GET", std::string(codec::path_status), "", timeout_s,
                    [done = std::move(done)](HttpReply&& reply) { done(reply.status == 200); });
}

void HttpExecutor::forward(const std::string& addr, std::string body, double timeout_s,
                           std::function<void(HttpReply&&)> done) {
    agents_.request(addr, "POST", std::string(codec::path_commands), std::move(body), timeout_s, std::move(done));
}

void HttpExecutor::rent(const Rent& ask, double timeout_s, std::function<void(Rented&&)> done) {
    cloud_.request(cloud_at_, "POST", std::string(codec::path_rentals),
                   codec::rental(ask.claim, ask.type, ask.zone, ask.spot, ask.count), timeout_s,
                   [done = std::move(done), claim = ask.claim](HttpReply&& reply) {
                       Rented command{claim, RentOutcome::unknown, {}};
                       if (reply.status == 200) {
                           if (auto list = codec::rented(reply.body); list) {
                               command.outcome = RentOutcome::rented;
                               command.machines = std::move(*list);
                           }
                       } else if (reply.status == 503 && reply.body.find(no_capacity) != std::string::npos) {
                           command.outcome = RentOutcome::no_capacity;
                       } else if (reply.status == 503 || reply.status == 429 || reply.status == 400 ||
                                  (reply.status == 0 && !reply.sent)) {
                           command.outcome = RentOutcome::failed;
                       }
                       done(std::move(command));
                   });
}

void HttpExecutor::release(const Release& ask, double timeout_s, std::function<void(Released&&)> done) {
    cloud_.request(cloud_at_, "POST", std::string(codec::path_release), codec::release(ask.machines), timeout_s,
                   [done = std::move(done), list = ask.machines](HttpReply&& reply) {
                       done({list, reply.status == 200});
                   });
}

void HttpExecutor::list(const std::string& since, double timeout_s,
                        std::function<void(std::optional<codec::MachinePage>&&)> done) {
    auto path = std::string(codec::path_rentals) + "?most=" + std::to_string(max_listed);
    if (!since.empty())
        path += "&since=" + since;
    cloud_.request(cloud_at_, "GET", path, "", timeout_s, [done = std::move(done)](HttpReply&& reply) {
        done(reply.status == 200 ? codec::machine_page(reply.body) : std::nullopt);
    });
}

void HttpExecutor::types(double timeout_s, std::function<void(std::optional<std::vector<MachineType>>&&)> done) {
    cloud_.request(cloud_at_, "GET", std::string(codec::path_types), "", timeout_s,
                   [done = std::move(done)](HttpReply&& reply) {
                       done(reply.status == 200 ? codec::machine_types(reply.body) : std::nullopt);
                   });
}

} // namespace heronshift
