#include "heronshift/policies/matching.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>

namespace heronshift::placement {

double pool_gain(const Payoff& f, double on_pool, double tasks, double target) {
    if (tasks <= 0)
        return 0;
    return f((on_pool + 1) / tasks - target) - f(on_pool / tasks - target);
}

double task_size(const Resources& each, const Resources& pool) {
    if (pool.cpus <= 0 || pool.memory_gb <= 0)
        return 1;
    return std::max(1e-9, std::sqrt(each.cpus / pool.cpus * each.memory_gb / pool.memory_gb));
}

double fragmentation(const Resources& free, const Resources& whole, const Resources& shape) {
    if (shape.cpus <= 0 || whole.cpus <= 0)
        return 0;
    double fit = free.cpus / shape.cpus;
    if (shape.memory_gb > 0)
        fit = std::min(fit, free.memory_gb / shape.memory_gb);
    if (shape.gpus > 0)
        fit = std::min(fit, free.gpus / shape.gpus);
    const double used = std::max(0.0, std::floor(fit + 1e-6)) * shape.cpus;
    return std::max(0.0, free.cpus - used) / whole.cpus;
}

std::vector<std::vector<int>> match_batch(const std::vector<Group>& groups, const std::vector<Bin>& bins,
                                          const Resources& shape) {
    // A state says how many tasks of each group are placed so far, in mixed radix.
    std::vector<int> step(groups.size());
    int states = 1;
    for (std::size_t g = 0; g < groups.size(); ++g) {
        step[g] = states;
        states *= groups[g].count + 1;
    }
    constexpr double never = -std::numeric_limits<double>::infinity();
    constexpr double per_task = 1e9; // one more task outweighs any cost
    std::vector<double> best(static_cast<std::size_t>(states), never);
    best[0] = 0;
    std::vector<std::vector<std::int16_t>> taken(bins.size());
    auto digit = [&](int state, std::size_t g) { return state / step[g] % (groups[g].count + 1); };

    struct Choice {
        int code;
        double value;
        std::vector<int> n;
    };
    for (std::size_t b = 0; b < bins.size(); ++b) {
        const double before = fragmentation(bins[b].free, bins[b].whole, shape);
        std::vector<Choice> choices;
        for (int code = 1; code < states; ++code) {
            Choice c{code, 0, std::vector<int>(groups.size())};
            Resources need;
            bool allowed = true;
            for (std::size_t g = 0; g < groups.size() && allowed; ++g) {
                c.n[g] = digit(code, g);
                if (c.n[g] == 0)
                    continue;
                allowed = groups[g].cost[b] >= 0;
                need += groups[g].each * c.n[g];
                c.value += c.n[g] * (per_task - groups[g].cost[b]);
            }
            if (!allowed || !need.fits(bins[b].free))
                continue;
            c.value -= fragmentation(bins[b].free - need, bins[b].whole, shape) - before;
            choices.push_back(std::move(c));
        }
        taken[b].assign(static_cast<std::size_t>(states), 0);
        if (choices.empty())
            continue;
        auto next = best;
        for (int s = 0; s < states; ++s) {
            if (best[static_cast<std::size_t>(s)] == never)
                continue;
            for (const auto& c : choices) {
                bool room = true;
                for (std::size_t g = 0; g < groups.size() && room; ++g)
                    room = digit(s, g) + c.n[g] <= groups[g].count;
                if (!room)
                    continue;
                const auto to = static_cast<std::size_t>(s) + static_cast<std::size_t>(c.code);
                if (best[static_cast<std::size_t>(s)] + c.value > next[to]) {
                    next[to] = best[static_cast<std::size_t>(s)] + c.value;
                    taken[b][to] = static_cast<std::int16_t>(c.code);
                }
            }
        }
        best = std::move(next);
    }
    std::vector<std::vector<int>> out(groups.size(), std::vector<int>(bins.size()));
    int state = static_cast<int>(std::max_element(best.begin(), best.end()) - best.begin());
    for (std::size_t b = bins.size(); b-- > 0;) {
        const int code = taken[b][static_cast<std::size_t>(state)];
        for (std::size_t g = 0; g < groups.size(); ++g)
            out[g][b] = digit(code, g);
        state -= code;
    }
    return out;
}

} // namespace heronshift::placement
