#include "scheduling/batch_assignment.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <map>

namespace heronshift::placement {
namespace {

// Lower bound of the task size, which is used as a divisor. A task without memory would have size 0.
constexpr double min_task_size = 1e-9;
// Allowance for rounding errors: a quotient of two decimal amounts may be slightly below the whole number that it
// stands for.
constexpr double rounding = 1e-6;

} // namespace

double pool_gain(const Payoff& payoff, double on_pool, double tasks, double target) {
    if (tasks <= 0)
        return 0;
    return payoff((on_pool + 1) / tasks - target) - payoff(on_pool / tasks - target);
}

double task_size(const Resources& each, const Resources& pool) {
    if (pool.cpus <= 0 || pool.memory_gb <= 0)
        return 1;
    return std::max(min_task_size, std::sqrt(each.cpus / pool.cpus * each.memory_gb / pool.memory_gb));
}

double fit_count(const Resources& each, const Resources& room) {
    double count = room.cpus / each.cpus;
    if (each.memory_gb > 0)
        count = std::min(count, room.memory_gb / each.memory_gb);
    if (each.gpus > 0)
        count = std::min(count, room.gpus / each.gpus);
    return std::floor(count + rounding);
}

double fragmentation(const Resources& free, const Resources& whole, const Resources& shape) {
    if (shape.cpus <= 0 || whole.cpus <= 0)
        return 0;
    const double used = std::max(0.0, fit_count(shape, free)) * shape.cpus;
    return std::max(0.0, free.cpus - used) / whole.cpus;
}

namespace {

constexpr double unreachable = -std::numeric_limits<double>::infinity(); // value of a state that cannot be reached
// Value of placing one more task, in seconds. It outweighs any cost.
constexpr double task_value = 1e9;

// Dynamic program over the bins, one after the other. A state is the number of tasks of each group that are placed so
// far, encoded as one mixed-radix number with a digit for each group. The tasks assigned to a bin are encoded in the
// same way, so the next state is the sum of both numbers.
class Matcher {
public:
    Matcher(const std::vector<Group>& groups, const std::vector<Bin>& bins, const Resources& shape)
        : groups_(groups), bins_(bins), shape_(shape) {
        list_digits();
        best_.assign(states_, unreachable);
        best_[0] = 0;
        taken_.resize(bins.size() * states_);
    }
    [[nodiscard]] Assignment run() {
        for (std::size_t bin = 0; bin < bins_.size(); ++bin)
            try_bin(bin);
        return trace_back();
    }

private:
    // A number of tasks of each group to assign to one bin, and the value that this adds.
    struct Choice {
        std::size_t code;
        double value;
    };
    // The choices shared by all bins with the same resources and costs. If these choices did not improve any state for
    // one bin, and no state has improved since, they cannot improve one for the next bin either. So only a few of many
    // identical empty machines have to be tried.
    struct AlikeBins {
        std::vector<Choice> choices;
        std::uint64_t useless_at = 0; // the version_ of best_ that the choices could not improve
    };

    void list_digits() {
        width_ = groups_.size();
        for (const auto& group : groups_)
            states_ *= static_cast<std::size_t>(group.count) + 1;
        digits_.resize(states_ * width_);
        std::size_t step = 1;
        for (std::size_t group = 0; group < width_; ++group) {
            const auto radix = static_cast<std::size_t>(groups_[group].count) + 1;
            for (std::size_t state = 0; state < states_; ++state)
                digits_[state * width_ + group] = static_cast<int>(state / step % radix);
            step *= radix;
        }
    }

    [[nodiscard]] int digit(std::size_t state, std::size_t group) const {
        return digits_[state * width_ + group];
    }

    [[nodiscard]] bool is_allowed(std::size_t code, std::size_t bin) const {
        for (std::size_t group = 0; group < width_; ++group)
            if (digit(code, group) > 0 && groups_[group].cost[bin] < 0)
                return false;
        return true;
    }

    [[nodiscard]] Resources need_of(std::size_t code) const {
        Resources need;
        for (std::size_t group = 0; group < width_; ++group)
            if (const int count = digit(code, group); count > 0)
                need += groups_[group].each * count;
        return need;
    }

    // The value of assigning these tasks to this bin, without the change in fragmentation.
    [[nodiscard]] double value_of(std::size_t code, std::size_t bin) const {
        double value = 0;
        for (std::size_t group = 0; group < width_; ++group)
            if (const int count = digit(code, group); count > 0)
                value += count * (task_value - groups_[group].cost[bin]);
        return value;
    }

    [[nodiscard]] std::vector<Choice> list_choices(std::size_t at) const {
        std::vector<Choice> choices;
        const auto& bin = bins_[at];
        const double before = fragmentation(bin.free, bin.whole, shape_);
        for (std::size_t code = 1; code < states_; ++code) {
            if (!is_allowed(code, at))
                continue;
            const auto need = need_of(code);
            if (!need.fits(bin.free))
                continue;
            const double added = fragmentation(bin.free - need, bin.whole, shape_) - before;
            choices.push_back({code, value_of(code, at) - added});
        }
        return choices;
    }

    [[nodiscard]] AlikeBins& alike_bins(std::size_t bin) {
        const auto& [free, whole] = bins_[bin];
        key_.assign({free.cpus, free.gpus, free.memory_gb, whole.cpus, whole.gpus, whole.memory_gb});
        for (const auto& group : groups_)
            key_.push_back(group.cost[bin]);
        const auto [found, fresh] = alike_.try_emplace(key_);
        if (fresh)
            found->second.choices = list_choices(bin);
        return found->second;
    }

    // Whether every group has at least as many tasks as the state and the choice together use of it.
    [[nodiscard]] bool are_enough(std::size_t state, std::size_t code) const {
        for (std::size_t group = 0; group < width_; ++group)
            if (digit(state, group) + digit(code, group) > groups_[group].count)
                return false;
        return true;
    }

    // Extends one state by each choice for the bin, and stores what is better in next_. Returns whether any state
    // improved.
    bool extend(std::size_t state, const std::vector<Choice>& choices, std::size_t bin) {
        bool improved = false;
        for (const auto& choice : choices) {
            const auto reached = state + choice.code;
            if (reached >= states_ || best_[state] + choice.value <= next_[reached] || !are_enough(state, choice.code))
                continue;
            next_[reached] = best_[state] + choice.value;
            taken_[bin * states_ + reached] = static_cast<std::int16_t>(choice.code);
            improved = true;
        }
        return improved;
    }

    void try_bin(std::size_t bin) {
        auto& alike = alike_bins(bin);
        if (alike.choices.empty() || alike.useless_at == version_)
            return;
        next_ = best_;
        bool improved = false;
        for (std::size_t state = 0; state < states_; ++state)
            if (best_[state] != unreachable && extend(state, alike.choices, bin))
                improved = true;
        if (!improved) {
            alike.useless_at = version_;
            return;
        }
        best_.swap(next_);
        ++version_;
    }

    // Follows the best assignment back from its final state to the empty one, bin by bin.
    [[nodiscard]] Assignment trace_back() const {
        Assignment assignment(width_, std::vector<int>(bins_.size()));
        auto state = static_cast<std::size_t>(std::max_element(best_.begin(), best_.end()) - best_.begin());
        for (std::size_t bin = bins_.size(); bin-- > 0;) {
            const auto code = static_cast<std::size_t>(taken_[bin * states_ + state]);
            for (std::size_t group = 0; group < width_; ++group)
                assignment[group][bin] = digit(code, group);
            state -= code;
        }
        return assignment;
    }

    const std::vector<Group>& groups_;
    const std::vector<Bin>& bins_;
    const Resources& shape_;
    std::size_t width_ = 0; // the digits of a state, one for each group
    std::size_t states_ = 1;
    std::vector<int> digits_;         // the digits of each state: [state * width_ + group]
    std::vector<double> best_;        // the highest value of each state with the bins tried so far
    std::vector<double> next_;        // the same, including the bin that is being tried
    std::uint64_t version_ = 1;       // incremented with each change of best_
    std::vector<std::int16_t> taken_; // by bin and state: the code assigned to the bin on the best way there
    std::map<std::vector<double>, AlikeBins> alike_;
    std::vector<double> key_; // lookup key for alike_; a member to reuse its memory
};

} // namespace

Assignment match_batch(const std::vector<Group>& groups, const std::vector<Bin>& bins, const Resources& shape) {
    return Matcher(groups, bins, shape).run();
}

} // namespace heronshift::placement
