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
    const std::size_t width = groups.size();
    std::size_t states = 1;
    for (const auto& g : groups)
        states *= static_cast<std::size_t>(g.count) + 1;
    std::vector<int> digits(states * width); // of each state, by group
    for (std::size_t g = 0, step = 1; g < width; ++g) {
        const auto radix = static_cast<std::size_t>(groups[g].count) + 1;
        for (std::size_t s = 0; s < states; ++s)
            digits[s * width + g] = static_cast<int>(s / step % radix);
        step *= radix;
    }
    constexpr double never = -std::numeric_limits<double>::infinity();
    constexpr double per_task = 1e9; // one more task outweighs any cost
    std::vector<double> best(states, never), next;
    best[0] = 0;
    std::vector<std::int16_t> taken(bins.size() * states); // by bin and state

    struct Choice {
        std::size_t code;
        double value;
    };
    std::vector<Choice> choices;
    const auto list_choices = [&](std::size_t b) {
        choices.clear();
        const double before = fragmentation(bins[b].free, bins[b].whole, shape);
        for (std::size_t code = 1; code < states; ++code) {
            Choice c{code, 0};
            Resources need;
            bool allowed = true;
            for (std::size_t g = 0; g < width && allowed; ++g) {
                const int n = digits[code * width + g];
                if (n == 0)
                    continue;
                allowed = groups[g].cost[b] >= 0;
                need += groups[g].each * n;
                c.value += n * (per_task - groups[g].cost[b]);
            }
            if (!allowed || !need.fits(bins[b].free))
                continue;
            c.value -= fragmentation(bins[b].free - need, bins[b].whole, shape) - before;
            choices.push_back(c);
        }
    };
    const auto fits_beside = [&](std::size_t state, std::size_t code) {
        for (std::size_t g = 0; g < width; ++g)
            if (digits[state * width + g] + digits[code * width + g] > groups[g].count)
                return false;
        return true;
    };
    for (std::size_t b = 0; b < bins.size(); ++b) {
        list_choices(b);
        if (choices.empty())
            continue;
        next = best;
        for (std::size_t s = 0; s < states; ++s) {
            if (best[s] == never)
                continue;
            for (const auto& c : choices) {
                const auto to = s + c.code;
                if (to >= states || best[s] + c.value <= next[to] || !fits_beside(s, c.code))
                    continue;
                next[to] = best[s] + c.value;
                taken[b * states + to] = static_cast<std::int16_t>(c.code);
            }
        }
        best.swap(next);
    }
    std::vector<std::vector<int>> out(width, std::vector<int>(bins.size()));
    auto state = static_cast<std::size_t>(std::max_element(best.begin(), best.end()) - best.begin());
    for (std::size_t b = bins.size(); b-- > 0;) {
        const auto code = static_cast<std::size_t>(taken[b * states + state]);
        for (std::size_t g = 0; g < width; ++g)
            out[g][b] = digits[code * width + g];
        state -= code;
    }
    return out;
}

} // namespace heronshift::placement
