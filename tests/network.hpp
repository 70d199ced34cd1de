// Simulated network: directed links between any two parties, by name. Each link may drop, hold back, refuse or slow
// down the messages that pass over it.
#pragma once

#include "simulated_cluster.hpp"

#include <utility>

namespace heronshift::testing {

enum class Mode : std::uint8_t { open, drop, hold, refuse, slow };

struct Network : SimulatedCluster {
    using SimulatedCluster::SimulatedCluster;

    struct Link {
        Mode mode = Mode::open;
        std::vector<std::function<void()>> held;
    };
    std::map<std::pair<std::string, std::string>, Link> links;

    // Copies of requests that were carried out and answered: the share of requests of which each copy arrives, how many
    // there are at most, the range of the delay after the answer, and the links to which that applies (empty: all).
    struct LateCopies {
        double share = 0;
        int max_copies = 2;
        double shortest_s = 0.5, longest_s = 40;
        std::function<bool(const std::string& from, const std::string& to)> on_link;
        int arrived = 0;
    } late_copies;

    void set(const std::string& from, const std::string& to, Mode m) {
        auto& l = links[{from, to}];
        l.mode = m;
        if (m == Mode::hold)
            return;
        double delay = 0.01;
        for (auto& f : std::exchange(l.held, {}))
            send(delay += 0.001, std::move(f));
    }
    void set_both(const std::string& a, const std::string& b, Mode m) {
        set(a, b, m);
        set(b, a, m);
    }
    bool open(const std::string& a, const std::string& b) {
        const auto is_open = [&](const std::string& x, const std::string& y) {
            const auto it = links.find({x, y});
            return it == links.end() || it->second.mode == Mode::open;
        };
        return is_open(a, b) && is_open(b, a);
    }
    void transmit(const std::string& from, const std::string& to, std::function<void()> f,
                  std::function<void()> refused = {}) {
        auto& l = links[{from, to}];
        const double delay = chance() < delayed_share ? between(0.3, 2) : between(0.001, 0.03);
        switch (l.mode) {
        case Mode::open:
            return send(delay, std::move(f));
        case Mode::slow:
            return send(between(0.5, 8), std::move(f));
        case Mode::hold:
            l.held.push_back(std::move(f));
            return;
        case Mode::refuse:
            if (refused)
                send(delay, std::move(refused));
            return;
        case Mode::drop:
            return;
        }
    }

    template <class R> using Answer = std::function<void(R)>;
    template <class R> using Done = std::function<void(std::optional<R>, bool sent)>;
    template <class R>
    void request(const std::string& from, const std::string& to, double timeout_s, std::function<void(Answer<R>)> serve,
                 Done<R> done) {
        auto once = std::make_shared<Done<R>>(std::move(done));
        const auto finish = [once](std::optional<R> r, bool sent) {
            if (const auto f = std::exchange(*once, nullptr); f)
                f(std::move(r), sent);
        };
        transmit(
            from, to,
            [this, from, to, serve = std::move(serve), finish] {
                serve([this, from, to, serve, finish](R r) {
                    transmit(to, from, [finish, r] { finish(r, true); });
                    send_late_copies<R>(from, to, serve);
                });
            },
            [finish] { finish({}, false); });
        send(timeout_s, [finish] { finish({}, true); });
    }

    // The copies of one request; nobody waits for their answers.
    template <class R>
    void send_late_copies(const std::string& from, const std::string& to, const std::function<void(Answer<R>)>& serve) {
        const auto& plan = late_copies;
        if (plan.share <= 0 || (plan.on_link && !plan.on_link(from, to)))
            return;
        for (int copy = 0; copy < plan.max_copies && chance() < plan.share; ++copy)
            send(between(plan.shortest_s, plan.longest_s), [this, from, to, serve] {
                transmit(from, to, [this, serve] {
                    ++late_copies.arrived;
                    serve([](R) {});
                });
            });
    }

    void heal() {
        for (const auto& [link, l] : std::map(links))
            set(link.first, link.second, Mode::open);
    }
};

} // namespace heronshift::testing
