// The platform's agents and cloud over HTTP. Reports come to the controller's own port, not here.
#pragma once

#include "heronshift/executor/executor.hpp"
#include "heronshift/http.hpp"

namespace heronshift {

class HttpExecutor final : public Executor {
public:
    // To all agents together at most so many connections.
    HttpExecutor(uv_loop_t* loop, const Endpoint& cloud, std::size_t max_agent_connections)
        : cloud_at_(cloud.str()), cloud_(loop, 2, 16), agents_(loop, 1, 4, max_agent_connections), probes_(loop, 1, 1) {
    }

    void command(const SendOrders& orders, double timeout_s, std::function<void(OrdersAnswered&&)> done) override;
    void rent(const Rent& ask, double timeout_s, std::function<void(Rented&&)> done) override;
    void release(const Release& ask, double timeout_s, std::function<void(Released&&)> done) override;
    void list(const std::string& since, double timeout_s,
              std::function<void(std::optional<codec::MachinePage>&&)> done) override;
    void types(double timeout_s, std::function<void(std::optional<std::vector<MachineType>>&&)> done) override;
    void probe(const std::string& addr, double timeout_s, std::function<void(std::optional<bool>)> done) override;
    void forward(const std::string& addr, std::string body, double timeout_s,
                 std::function<void(HttpReply&&)> done) override;
    void sweep() override {
        for (auto* c : {&cloud_, &agents_, &probes_})
            c->sweep();
    }

private:
    std::string cloud_at_;
    HttpClient cloud_, agents_, probes_;
};

} // namespace heronshift
