#include "peers/peers.hpp"

namespace heronshift {
namespace {

// Limits for each peer and each class of requests: connections, and requests that wait for a connection. A request
// beyond these limits is not sent, and its callback is called at once. Four peers with all their connections have 72,
// fewer than the tenth of fd_limit 1024 that a controller accepts from its peers. Relays do not reach these limits:
// workers::HeartbeatHandler allows at most 51 in flight. Eight connections carry 167 relayed heartbeats per second, a
// quarter of those that 2,000 machines send at a report_s of 3, if each is answered within 48 ms on average.
constexpr std::size_t max_connections = 8, max_waiting = 64, max_control_connections = 2, max_control_waiting = 8;

} // namespace

HttpPeers::HttpPeers(uv_loop_t* loop, const std::vector<Peer>& all)
    : control_(loop, max_control_connections, max_control_waiting), users_(loop, max_connections, max_waiting),
      relays_(loop, max_connections, max_waiting) {
    for (const auto& peer : all)
        addresses_[peer.name] = peer.addr.str();
}

HttpClient& HttpPeers::client_for(PeerRequestClass request_class) {
    switch (request_class) {
    case PeerRequestClass::control:
        return control_;
    case PeerRequestClass::users:
        return users_;
    case PeerRequestClass::relays:
        break;
    }
    return relays_;
}

void HttpPeers::request(PeerRequestClass request_class, const std::string& name, const char* method,
                        const std::string& path, std::string body, double timeout_s, Done done) {
    const auto it = addresses_.find(name);
    if (it == addresses_.end())
        return done({});
    client_for(request_class).request(it->second, method, path, std::move(body), timeout_s, std::move(done));
}

} // namespace heronshift
