#include "peers/peers.hpp"

namespace heronshift {
namespace {

// To each peer, and for each kind of request. What finds no place is not sent, which is said at once. Four peers with
// all their connections are 72, below the tenth of fd_limit 1024 that a controller accepts from its peers. Relays are
// bounded before by workers::HeartbeatHandler (51 under way); eight connections carry 167 relayed heartbeats a second,
// a quarter of what 2,000 machines send in report_s 3, if each is answered within 48 ms on average.
constexpr std::size_t connections = 8, waiting = 64, control_connections = 2, control_waiting = 8;

} // namespace

HttpPeers::HttpPeers(uv_loop_t* loop, const std::vector<Peer>& all)
    : control_(loop, control_connections, control_waiting), users_(loop, connections, waiting),
      relays_(loop, connections, waiting) {
    for (const auto& peer : all)
        addresses_[peer.name] = peer.addr.str();
}

HttpClient& HttpPeers::client_of(Lane lane) {
    switch (lane) {
    case Lane::control:
        return control_;
    case Lane::users:
        return users_;
    case Lane::relays:
        break;
    }
    return relays_;
}

void HttpPeers::request(Lane lane, const std::string& name, const char* method, const std::string& path,
                        std::string body, double timeout_s, Done done) {
    const auto it = addresses_.find(name);
    if (it == addresses_.end())
        return done({});
    client_of(lane).request(it->second, method, path, std::move(body), timeout_s, std::move(done));
}

} // namespace heronshift
