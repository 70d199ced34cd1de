// Random faults, drawn by seed, for a fleet under load: cut links of every kind, crashed and paused controllers, store
// outages, machines that die, hang or are cut off; and a second set (`inject_later_fault`) of machines that are
// unreachable inbound, duplicated heartbeats, isolated controllers, restarts within a moment
// and lost spot machines.
#pragma once

#include "working.hpp"

namespace heronshift::testing {

struct FaultInjection : FleetUnderLoad {
    using FleetUnderLoad::FleetUnderLoad;

    std::size_t random_index(std::size_t n) {
        return static_cast<std::size_t>(between(0, static_cast<double>(n) - 0.01));
    }
    // The leader with a probability of 0.5, otherwise the node `i`.
    std::size_t leader_or(std::size_t i) {
        return chance() < 0.5 ? leader().value_or(i) : i;
    }
    Mode random_mode() {
        return std::array{Mode::drop, Mode::hold, Mode::refuse, Mode::slow}[random_index(4)];
    }
    void cut(const std::string& a, const std::string& b, Mode mode, bool one_way, double for_s) {
        set(a, b, mode);
        if (!one_way)
            set(b, a, mode);
        send(for_s, [this, a, b] { set_both(a, b, Mode::open); });
    }

    // Injects a random fault of the first set, which the tests of cut links draw from.
    void inject_fault(double for_s) {
        last_severe_fault_at = now;
        const double c = chance();
        const auto i = random_index(nodes.size());
        const auto& name = nodes[i].name;
        const auto mode = random_mode();
        const bool one_way = chance() < 0.3;
        const auto cut_off = [&](const std::string& from, const std::string& to) {
            cut(from, to, mode, one_way, for_s);
        };
        if (c < 0.2) {
            cut_off(name, state);
        } else if (c < 0.4) {
            for (const auto& z : settings.zones)
                cut_off(name, zone(z));
        } else if (c < 0.5) {
            cut_off(name, zone(settings.zones[random_index(3)]));
        } else if (c < 0.65) {
            const auto k = random_index(nodes.size());
            for (std::size_t o = 0; o < nodes.size(); ++o)
                if (o != i && (o == k || chance() < 0.3))
                    cut_off(name, nodes[o].name);
        } else if (c < 0.7) {
            cut_off(name, cloud);
        } else if (c < 0.75) {
            cut_off(users, name);
        } else if (c < 0.8) {
            nodes[i].refused_by_store = true;
            send(for_s, [this, i] { nodes[i].refused_by_store = false; });
        } else if (c < 0.85) {
            crash(leader_or(i), 3);
        } else if (c < 0.92) {
            freeze(leader_or(i), std::min(for_s, 30.0));
        } else if (c < 0.95) {
            store_down = true;
            send(std::min(for_s, 30.0), [this] { end_outage(); });
        } else {
            for (auto& [id, w] : workers)
                if (chance() < 0.05)
                    (chance() < 0.3 ? w.dead : chance() < 0.5 ? w.hung : w.cut) = true;
            send(for_s, [this] {
                for (auto& [id, w] : workers)
                    w.hung = w.cut = false;
            });
        }
    }

    // --- the second set ---

    // Makes a share of the machines (of one zone, if `zone_only` names one) and at least one machine unreachable
    // inbound: their heartbeats arrive, but nothing that the controllers `to` send to them does.
    void make_some_inbound_unreachable(double share, const std::string& zone_only, const std::vector<std::size_t>& to,
                                       double for_s) {
        std::vector<std::string> names, list;
        for (const auto i : to)
            names.push_back(nodes[i].name);
        for (const auto& [id, w] : workers)
            if ((zone_only.empty() || w.zone == zone_only) && chance() < share)
                list.push_back(id);
        if (list.empty() && !workers.empty())
            list.push_back(std::next(workers.begin(), static_cast<long>(random_index(workers.size())))->first);
        for (const auto& id : list)
            make_inbound_unreachable(id, names);
        send(for_s, [this, list] {
            for (const auto& id : list)
                inbound_unreachable.erase(id);
        });
    }
    std::vector<std::size_t> all_nodes() const {
        std::vector<std::size_t> out(nodes.size());
        for (std::size_t i = 0; i < out.size(); ++i)
            out[i] = i;
        return out;
    }
    // Cuts a controller off from the store and from all other controllers; workers and users still reach it.
    void isolate(std::size_t i, Mode mode, double for_s) {
        cut(nodes[i].name, state, mode, false, for_s);
        for (std::size_t o = 0; o < nodes.size(); ++o)
            if (o != i)
                cut(nodes[i].name, nodes[o].name, mode, false, for_s);
    }
    double short_downtime_s() {
        return between(0.05, 0.5);
    }
    void inject_later_fault(double for_s) {
        last_severe_fault_at = now;
        const double c = chance();
        const auto i = random_index(nodes.size());
        if (c < 0.2) {
            const auto to = chance() < 0.4 ? std::vector{leader().value_or(i)} : all_nodes();
            const double kind = chance();
            make_some_inbound_unreachable(kind < 0.4   ? 0
                                          : kind < 0.7 ? 0.33
                                                       : 1,
                                          kind < 0.7 ? "" : settings.zones[random_index(3)], to, for_s);
        } else if (c < 0.3) {
            late_copy_share = 0.3;
            send(2 * for_s, [this] { late_copy_share = 0; });
        } else if (c < 0.5) {
            isolate(leader_or(i), random_mode(), for_s);
            if (chance() < 0.3)
                isolate(random_index(nodes.size()), random_mode(), for_s);
        } else if (c < 0.7) {
            crash(leader_or(i), short_downtime_s());
        } else if (c < 0.8) {
            for (std::size_t o = 0; o < nodes.size(); ++o)
                send(between(0, 1), [this, o] { crash(o, short_downtime_s()); });
        } else if (c < 0.9) {
            for (auto& [id, w] : workers)
                if (chance() < 0.3)
                    restart(id);
        } else {
            for (auto& [id, w] : workers)
                if (w.spot && chance() < 0.3)
                    w.dead = true;
        }
    }
    // A machine that is back within a moment: either its process was paused, or it is a new process with a new agent
    // epoch and without tasks.
    void restart(const std::string& id) {
        auto& w = workers[id];
        if (chance() < 0.5) {
            w.hung = true;
            send(short_downtime_s(), [this, id] {
                if (const auto it = workers.find(id); it != workers.end())
                    it->second.hung = false;
            });
            return;
        }
        w.tasks.clear();
        ++w.agent_epoch;
        w.lease_from = now;
    }
};

} // namespace heronshift::testing
