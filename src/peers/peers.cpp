#include "heronshift/peers/peers.hpp"

namespace heronshift {
namespace {

constexpr std::size_t connections = 8, waiting = 64; // to each peer

} // namespace

HttpPeers::HttpPeers(uv_loop_t* loop, const std::vector<Peer>& all) : client_(loop, connections, waiting) {
    for (const auto& p : all) addr_[p.name] = p.addr.str();
}

void HttpPeers::request(const std::string& name, const char* method, const std::string& path, std::string body,
                        double timeout_s, Done done) {
    const auto it = addr_.find(name);
    if (it == addr_.end()) return done({});
    client_.request(it->second, method, path, std::move(body), timeout_s, std::move(done));
}

} // namespace heronshift
