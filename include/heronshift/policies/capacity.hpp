// Capacity: what to rent, keep, empty and give back. Owns how many machines gangs should find ready.
#pragma once

#include "heronshift/ledger/proposals.hpp"
#include "heronshift/policies/common.hpp"

namespace heronshift::policies {

class Capacity {
public:
    Capacity(const State& view, ledger::Proposals& out) : v_(view), s_(view.settings), out_(out) {}
    void plan_capacity();
    void plan_shrink();
    void return_machines();
    void watch_silent();
    void note_fleet(); // one line a kind of machine, for operators

private:
    struct Cpus {
        double all = 0, ordinary = 0; // of that: for work that may not use spot
    };
    [[nodiscard]] Cpus array_need() const;
    [[nodiscard]] Cpus offered() const;
    static double price_per_cpu(const MachineType& t, bool spot);
    std::string cheapest_source(const Job& j, const std::map<std::string, int>& in_zone, bool dear, Pending& out) const;
    const Machine* keep_again(const Job& j);
    static bool is_ready(const Machine& m);
    [[nodiscard]] bool deaf_for_long(const Machine& m, const std::map<int, std::pair<int, int>>& deaf_of) const;
    void queue_rentals(std::map<std::string, Pending>& wanted);

    const State& v_;
    const Settings& s_;
    ledger::Proposals& out_;
    double keep_ready_ = 0, next_silent_ = 0;
};

} // namespace heronshift::policies
