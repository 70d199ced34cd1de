#include "executor/http_executor.hpp"

#include "heronshift/codec.hpp"
#include "http_status.hpp"

#include <utility>

namespace heronshift {
namespace {

constexpr std::string_view no_capacity = "no capacity"; // in a 503 of the cloud that is not an outage
constexpr int max_machines_per_page = 500;

// Limits for each address: connections, and requests that wait for a connection.
constexpr std::size_t max_connections_to_cloud = 2, max_waiting_for_cloud = 16;
constexpr std::size_t max_connections_per_agent = 1, max_waiting_per_agent = 4;
constexpr std::size_t max_probe_connections_per_agent = 1, max_waiting_probes_per_agent = 1;

// The outcome of a rental request that the cloud did not answer with 200: `no_capacity` or `failed` if the request was
// certainly not executed, `unknown` if it may have been.
RentOutcome outcome_of_failure(const HttpReply& reply) {
    switch (reply.status) {
    case http_status::service_unavailable:
        return reply.body.find(no_capacity) != std::string::npos ? RentOutcome::no_capacity : RentOutcome::failed;
    case http_status::too_many_requests:
    case http_status::bad_request:
        return RentOutcome::failed;
    case http_status::no_answer:
        return reply.sent ? RentOutcome::unknown : RentOutcome::failed;
    default:
        return RentOutcome::unknown;
    }
}

Rented to_rented(const std::string& claim, const HttpReply& reply) {
    if (reply.status != http_status::ok)
        return {claim, outcome_of_failure(reply), {}};
    auto machines = codec::rented(reply.body);
    if (!machines)
        return {claim, RentOutcome::unknown, {}};
    return {claim, RentOutcome::rented, std::move(*machines)};
}

} // namespace

HttpExecutor::HttpExecutor(uv_loop_t* loop, const Endpoint& cloud, std::size_t max_agent_connections)
    : cloud_addr_(cloud.str()), cloud_(loop, max_connections_to_cloud, max_waiting_for_cloud),
      agents_(loop, max_connections_per_agent, max_waiting_per_agent, max_agent_connections),
      probes_(loop, max_probe_connections_per_agent, max_waiting_probes_per_agent) {}

void HttpExecutor::command(const SendOrders& effect, double timeout_s, std::function<void(OrdersAnswered&&)> done) {
    agents_.request(effect.addr, "POST", std::string(codec::path_commands),
                    codec::commands(effect.fencing_token, effect.agent_epoch, effect.orders), timeout_s,
                    [done = std::move(done), id = effect.machine, batch = effect.batch](HttpReply&& reply) {
                        OrdersAnswered answer{id, batch, reply.status, reply.sent, std::nullopt};
                        if (reply.status == http_status::ok || reply.status == http_status::conflict)
                            answer.heartbeat = codec::heartbeat(reply.body);
                        done(std::move(answer));
                    });
}

void HttpExecutor::probe(const std::string& addr, double timeout_s, std::function<void(std::optional<bool>)> done) {
    probes_.request(addr, "GET", std::string(codec::path_status), "", timeout_s,
                    [done = std::move(done)](HttpReply&& reply) { done(reply.status == http_status::ok); });
}

void HttpExecutor::forward(const std::string& addr, std::string body, double timeout_s,
                           std::function<void(HttpReply&&)> done) {
    agents_.request(addr, "POST", std::string(codec::path_commands), std::move(body), timeout_s, std::move(done));
}

void HttpExecutor::rent(const Rent& effect, double timeout_s, std::function<void(Rented&&)> done) {
    cloud_.request(
        cloud_addr_, "POST", std::string(codec::path_rentals),
        codec::rental(effect.claim, effect.type, effect.zone, effect.spot, effect.count), timeout_s,
        [done = std::move(done), claim = effect.claim](HttpReply&& reply) { done(to_rented(claim, reply)); });
}

void HttpExecutor::release(const Release& effect, double timeout_s, std::function<void(Released&&)> done) {
    cloud_.request(cloud_addr_, "POST", std::string(codec::path_release), codec::release(effect.machines), timeout_s,
                   [done = std::move(done), list = effect.machines](HttpReply&& reply) {
                       done({list, reply.status == http_status::ok});
                   });
}

void HttpExecutor::list(const std::string& since, double timeout_s,
                        std::function<void(std::optional<codec::MachinePage>&&)> done) {
    auto path = std::string(codec::path_rentals) + "?most=" + std::to_string(max_machines_per_page);
    if (!since.empty())
        path += "&since=" + since;
    cloud_.request(cloud_addr_, "GET", path, "", timeout_s, [done = std::move(done)](HttpReply&& reply) {
        done(reply.status == http_status::ok ? codec::machine_page(reply.body) : std::nullopt);
    });
}

void HttpExecutor::types(double timeout_s, std::function<void(std::optional<std::vector<MachineType>>&&)> done) {
    cloud_.request(cloud_addr_, "GET", std::string(codec::path_types), "", timeout_s,
                   [done = std::move(done)](HttpReply&& reply) {
                       done(reply.status == http_status::ok ? codec::machine_types(reply.body) : std::nullopt);
                   });
}

} // namespace heronshift
