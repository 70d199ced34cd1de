// The state service over HTTP, as the platform has it.
#pragma once

#include "heronshift/http.hpp"
#include "heronshift/store/store.hpp"

namespace heronshift::store {

class RemoteStore final : public StateStore {
public:
    RemoteStore(uv_loop_t* loop, const Endpoint& at);

    void get(const std::string& key, double timeout_s, Callback done) override;
    void list(const std::string& under, const std::string& since, int most, double timeout_s, Callback done) override;
    void transact(const std::vector<codec::Guard>& guards, const std::vector<codec::Write>& writes, double timeout_s,
                  Callback done) override;
    void hold(double ttl_s, double timeout_s, Callback done) override;
    void extend(std::uint64_t hold, double timeout_s, Callback done) override;
    void end_hold(std::uint64_t hold, double timeout_s, Callback done) override;
    void follow(const std::string& under, std::uint64_t since, double block_s, Callback done) override;
    void sweep() override {
        calls_.sweep();
        follows_.sweep();
    }

private:
    void request(const char* method, const std::string& path, std::string body, double timeout_s,
                 std::function<void(const std::string& body, Answer& a)> read, Callback done);
    std::string at_;
    HttpClient calls_, follows_;
};

} // namespace heronshift::store
