// How a controller reaches the others. What it says to them goes under /peer/ on their `back` address;
// an answer that does not come proves nothing about them.
#pragma once

#include "heronshift/http.hpp"

#include <functional>
#include <string>

namespace heronshift {

inline constexpr const char* peer_prefix = "/peer";

// Requests of one kind never wait behind those of another.
enum class Lane : std::uint8_t { control, users, relays };

class Peers {
public:
    using Done = std::function<void(HttpReply&&)>;

    Peers() = default;
    virtual ~Peers() = default;
    Peers(const Peers&) = delete;
    Peers& operator=(const Peers&) = delete;

    // The path begins with /peer. Called back once, by timeout_s at about the latest, not after the
    // end; status 0: no answer, and `sent` says whether it may have reached the peer.
    virtual void request(Lane lane, const std::string& name, const char* method, const std::string& path,
                         std::string body, double timeout_s, Done done) = 0;
    virtual void sweep() {} // ends what takes too long; some thirty times in report_s
};

// Over HTTP, to the addresses of the settings.
class HttpPeers final : public Peers {
public:
    HttpPeers(uv_loop_t* loop, const std::vector<Peer>& all);
    void request(Lane lane, const std::string& name, const char* method, const std::string& path, std::string body,
                 double timeout_s, Done done) override;
    void sweep() override {
        for (auto* c : {&control_, &users_, &relays_})
            c->sweep();
    }

private:
    std::unordered_map<std::string, std::string> addr_;
    HttpClient control_, users_, relays_;
};

} // namespace heronshift
