// The platform's machine agents and cloud, reached over HTTP.
#pragma once

#include "heronshift/executor/executor.hpp"
#include "http.hpp"

namespace heronshift {

/// Implements the platform's protocol. Heartbeats arrive at the controller's own port, not here. All calls and
/// callbacks run on the loop's thread.
class HttpExecutor final : public Executor {
public:
    /// `cloud`: the address of the cloud. `max_agent_connections`: limit for the agents of all machines together.
    HttpExecutor(uv_loop_t* loop, const Endpoint& cloud, std::size_t max_agent_connections);

    void command(const SendOrders& orders, double timeout_s, std::function<void(OrdersAnswered&&)> done) override;
    void rent(const Rent& effect, double timeout_s, std::function<void(Rented&&)> done) override;
    void release(const Release& effect, double timeout_s, std::function<void(Released&&)> done) override;
    void list(const std::string& since, double timeout_s,
              std::function<void(std::optional<codec::MachinePage>&&)> done) override;
    void types(double timeout_s, std::function<void(std::optional<std::vector<MachineType>>&&)> done) override;
    void probe(const std::string& addr, double timeout_s, std::function<void(std::optional<bool>)> done) override;
    void forward(const std::string& addr, std::string body, double timeout_s,
                 std::function<void(HttpReply&&)> done) override;
    void sweep() override {
        for (auto* client : {&cloud_, &agents_, &probes_})
            client->sweep();
    }

private:
    std::string cloud_addr_;
    HttpClient cloud_, agents_, probes_;
};

} // namespace heronshift
