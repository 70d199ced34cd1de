// A controller's requests to the other controllers.
#pragma once

#include "http.hpp"

#include <functional>
#include <string>
#include <unordered_map>

namespace heronshift {

/// The prefix of the paths of all requests between controllers.
inline constexpr const char* peer_prefix = "/peer";

/// The classes of requests between controllers. Each class has its own connections, so that its requests never wait
/// behind those of another class.
enum class PeerRequestClass : std::uint8_t { control, users, relays };

/// Sends requests to other controllers, which are identified by name, at the addresses where they listen for peers. A
/// missing answer proves nothing about a peer's state. All calls and callbacks run on the thread of the node's loop.
class Peers {
public:
    using Done = std::function<void(HttpReply&&)>;

    Peers() = default;
    virtual ~Peers() = default;
    Peers(const Peers&) = delete;
    Peers& operator=(const Peers&) = delete;

    /// `path` begins with peer_prefix. Calls back once, after about `timeout_s` seconds at the latest, but never after
    /// this object was destroyed. Without an answer the status is http_status::no_answer, and `sent` says whether the
    /// request may have reached the peer.
    virtual void request(PeerRequestClass request_class, const std::string& name, const char* method,
                         const std::string& path, std::string body, double timeout_s, Done done) = 0;
    /// Ends the requests whose timeout has passed. To be called about thirty times per report_s.
    virtual void sweep() {}
};

/// Sends the requests over HTTP, to the addresses from the settings.
class HttpPeers final : public Peers {
public:
    HttpPeers(uv_loop_t* loop, const std::vector<Peer>& all);
    void request(PeerRequestClass request_class, const std::string& name, const char* method, const std::string& path,
                 std::string body, double timeout_s, Done done) override;
    void sweep() override {
        for (auto* client : {&control_, &users_, &relays_})
            client->sweep();
    }

private:
    [[nodiscard]] HttpClient& client_for(PeerRequestClass request_class);

    std::unordered_map<std::string, std::string> addresses_; // by name
    HttpClient control_, users_, relays_;
};

} // namespace heronshift
