// Client of the platform's state service, over HTTP.
#pragma once

#include "heronshift/store/store.hpp"
#include "http.hpp"

namespace heronshift::store {

class RemoteStore final : public StateStore {
public:
    RemoteStore(uv_loop_t* loop, const Endpoint& at);

    void call(Call&& c, double timeout_s, Callback done) override;
    void sweep() override {
        calls_.sweep();
        follows_.sweep();
    }

private:
    std::string address_;
    HttpClient calls_, follows_;
};

} // namespace heronshift::store
