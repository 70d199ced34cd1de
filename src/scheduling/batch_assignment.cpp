#include "heronshift/scheduling/batch_assignment.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <map>

namespace heronshift::placement {

double pool_gain(const Payoff& payoff, double on_pool, double tasks, double target) {
    if (tasks <= 0)
        return 0;
    return payoff((on_pool + 1) / tasks - target) - payoff(on_pool / tasks - target);
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

namespace {

constexpr double never = -std::numeric_limits<double>::infinity();
constexpr double per_task = 1e9; // one more task outweighs any cost

// The dynamic program over bins. A state says how many tasks of each group are placed so far, in mixed radix.
class Matcher {
public:
    Matcher(const std::vector<Group>& groups, const std::vector<Bin>& bins, const Resources& shape)
        : groups_(groups), bins_(bins), shape_(shape) {
        list_digits();
        best_.assign(states_, never);
        best_[0] = 0;
        taken_.resize(bins.size() * states_);
    }
    std::vector<std::vector<int>> run() {
        for (std::size_t b = 0; b < bins_.size(); ++b)
            try_bin(b);
        return plan();
    }

private:
    struct Choice { // so many tasks of each group in one bin
        std::size_t code;
        double value;
    };
    // Bins with the same room and costs have the same choices. Where those last changed nothing, and nothing
    // has changed since, they change nothing again: of many empty machines only a few have to be tried.
    struct Alike {
        std::vector<Choice> choices;
        std::uint64_t useless_at = 0; // the version of best_
    };

    void list_digits() {
        width_ = groups_.size();
        for (const auto& group : groups_)
            states_ *= static_cast<std::size_t>(group.count) + 1;
        digits_.resize(states_ * width_);
        std::size_t step = 1;
        for (std::size_t g = 0; g < width_; ++g) {
            const auto radix = static_cast<std::size_t>(groups_[g].count) + 1;
            for (std::size_t s = 0; s < states_; ++s)
                digits_[s * width_ + g] = static_cast<int>(s / step % radix);
            step *= radix;
        }
    }

    [[nodiscard]] std::vector<Choice> list_choices(std::size_t b) const {
        std::vector<Choice> choices;
        const auto& bin = bins_[b];
        const double before = fragmentation(bin.free, bin.whole, shape_);
        for (std::size_t code = 1; code < states_; ++code) {
            Choice c{code, 0};
            Resources need;
            bool allowed = true;
            for (std::size_t g = 0; g < width_ && allowed; ++g) {
                const int n = digits_[code * width_ + g];
                if (n == 0)
                    continue;
                allowed = groups_[g].cost[b] >= 0;
                need += groups_[g].each * n;
                c.value += n * (per_task - groups_[g].cost[b]);
            }
            if (!allowed || !need.fits(bin.free))
                continue;
            c.value -= fragmentation(bin.free - need, bin.whole, shape_) - before;
            choices.push_back(c);
        }
        return choices;
    }

    Alike& alike(std::size_t b) {
        const auto& [free, whole] = bins_[b];
        key_.assign({free.cpus, free.gpus, free.memory_gb, whole.cpus, whole.gpus, whole.memory_gb});
        for (const auto& group : groups_)
            key_.push_back(group.cost[b]);
        const auto [it, fresh] = alike_.try_emplace(key_);
        if (fresh)
            it->second.choices = list_choices(b);
        return it->second;
    }

    [[nodiscard]] bool fits_beside(std::size_t state, std::size_t code) const {
        for (std::size_t g = 0; g < width_; ++g)
            if (digits_[state * width_ + g] + digits_[code * width_ + g] > groups_[g].count)
                return false;
        return true;
    }

    void try_bin(std::size_t b) {
        auto& a = alike(b);
        if (a.choices.empty() || a.useless_at == version_)
            return;
        next_ = best_;
        bool changed = false;
        for (std::size_t s = 0; s < states_; ++s) {
            if (best_[s] == never)
                continue;
            for (const auto& c : a.choices) {
                const auto to = s + c.code;
                if (to >= states_ || best_[s] + c.value <= next_[to] || !fits_beside(s, c.code))
                    continue;
                next_[to] = best_[s] + c.value;
                taken_[b * states_ + to] = static_cast<std::int16_t>(c.code);
                changed = true;
            }
        }
        if (changed) {
            best_.swap(next_);
            ++version_;
        } else {
            a.useless_at = version_;
        }
    }

    // Back from the best state: what each bin took.
    [[nodiscard]] std::vector<std::vector<int>> plan() const {
        std::vector<std::vector<int>> out(width_, std::vector<int>(bins_.size()));
        auto state = static_cast<std::size_t>(std::max_element(best_.begin(), best_.end()) - best_.begin());
        for (std::size_t b = bins_.size(); b-- > 0;) {
            const auto code = static_cast<std::size_t>(taken_[b * states_ + state]);
            for (std::size_t g = 0; g < width_; ++g)
                out[g][b] = digits_[code * width_ + g];
            state -= code;
        }
        return out;
    }

    const std::vector<Group>& groups_;
    const std::vector<Bin>& bins_;
    const Resources& shape_;
    std::size_t width_ = 0, states_ = 1;
    std::vector<int> digits_; // of each state, by group
    std::vector<double> best_, next_;
    std::uint64_t version_ = 1;       // of best_
    std::vector<std::int16_t> taken_; // by bin and state
    std::map<std::vector<double>, Alike> alike_;
    std::vector<double> key_;
};

} // namespace

std::vector<std::vector<int>> match_batch(const std::vector<Group>& groups, const std::vector<Bin>& bins,
                                          const Resources& shape) {
    return Matcher(groups, bins, shape).run();
}

} // namespace heronshift::placement
