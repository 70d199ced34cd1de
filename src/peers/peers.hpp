// Requests of a controller to the others.
#pragma once

#include "http.hpp"

#include <functional>
#include <string>
#include <unordered_map>

namespace heronshift {

/// What the paths of all requests between controllers begin with.
inline constexpr const char* peer_prefix = "/peer";

/// The kinds of requests. Those of one kind never wait behind those of another.
enum class Lane : std::uint8_t { control, users, relays };

/// Reaches other controllers by name, at their address for peers. An answer that does not come proves nothing about
/// them. All calls and callbacks on the thread of the node's loop.
class Peers {
public:
    using Done = std::function<void(HttpReply&&)>;

    Peers() = default;
    virtual ~Peers() = default;
    Peers(const Peers&) = delete;
    Peers& operator=(const Peers&) = delete;

    /// The path begins with peer_prefix. Calls back once, after timeout_s (seconds) at about the latest, and not after
    /// this was destroyed. Without an answer the status is http_status::no_answer, and `sent` says whether the request
    /// may have reached the peer.
    virtual void request(Lane lane, const std::string& name, const char* method, const std::string& path,
                         std::string body, double timeout_s, Done done) = 0;
    /// Ends what takes too long. To be called some thirty times in report_s.
    virtual void sweep() {}
};

/// Over HTTP, to the addresses of the settings.
class HttpPeers final : public Peers {
public:
    HttpPeers(uv_loop_t* loop, const std::vector<Peer>& all);
    void request(Lane lane, const std::string& name, const char* method, const std::string& path, std::string body,
                 double timeout_s, Done done) override;
    void sweep() override {
        for (auto* client : {&control_, &users_, &relays_})
            client->sweep();
    }

private:
    [[nodiscard]] HttpClient& client_of(Lane lane);

    std::unordered_map<std::string, std::string> addresses_; // by name
    HttpClient control_, users_, relays_;
};

} // namespace heronshift
