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
    if (each.heartbeat_bytes > 0)
        count = std::min(count, room.heartbeat_bytes / each.heartbeat_bytes);
    return std::floor(count + rounding);
}

double fragmentation(const Resources& free, const Resources& total, const Resources& common_shape) {
    if (common_shape.cpus <= 0 || total.cpus <= 0)
        return 0;
    const double used = std::max(0.0, fit_count(common_shape, free)) * common_shape.cpus;
    return std::max(0.0, free.cpus - used) / total.cpus;
}

namespace {

constexpr double unreachable = -std::numeric_limits<double>::infinity(); // value of a state that cannot be reached
// Value of placing one more task, in seconds. It outweighs any cost.
constexpr double placed_task_value = 1e9;

// Dynamic program over the bins, one after the other. A state is the number of tasks of each group that are placed so
// far, encoded as one mixed-radix number with a digit for each group. The tasks assigned to a bin are encoded in the
// same way, so the next state is the sum of both numbers.
class Matcher {
public:
    Matcher(const std::vector<Group>& groups, const std::vector<Bin>& bins, const Resources& common_shape)
        : groups_(groups), bins_(bins), common_shape_(common_shape) {
        list_digits();
        all_tasks_heartbeat_bytes_ = need_of(state_count_ - 1).heartbeat_bytes;
        best_.assign(state_count_, unreachable);
        best_[0] = 0;
        chosen_code_.resize(bins.size() * state_count_);
    }
    [[nodiscard]] Assignment run() {
        for (std::size_t bin = 0; bin < bins_.size(); ++bin)
            extend_by_bin(bin);
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
    struct SharedChoices {
        std::vector<Choice> choices;
        std::uint64_t no_gain_version = 0; // the version_ of best_ that the choices could not improve
    };

    void list_digits() {
        group_count_ = groups_.size();
        for (const auto& group : groups_)
            state_count_ *= static_cast<std::size_t>(group.count) + 1;
        digits_.resize(state_count_ * group_count_);
        std::size_t digit_weight = 1;
        for (std::size_t group = 0; group < group_count_; ++group) {
            const auto radix = static_cast<std::size_t>(groups_[group].count) + 1;
            for (std::size_t state = 0; state < state_count_; ++state)
                digits_[state * group_count_ + group] = static_cast<int>(state / digit_weight % radix);
            digit_weight *= radix;
        }
    }

    [[nodiscard]] int digit(std::size_t state, std::size_t group) const {
        return digits_[state * group_count_ + group];
    }

    [[nodiscard]] bool is_allowed(std::size_t code, std::size_t bin) const {
        for (std::size_t group = 0; group < group_count_; ++group)
            if (digit(code, group) > 0 && groups_[group].cost[bin] < 0)
                return false;
        return true;
    }

    [[nodiscard]] Resources need_of(std::size_t code) const {
        Resources need;
        for (std::size_t group = 0; group < group_count_; ++group)
            if (const int count = digit(code, group); count > 0)
                need += groups_[group].each * count;
        return need;
    }

    // The value of assigning these tasks to this bin, without the change in fragmentation.
    [[nodiscard]] double value_of(std::size_t code, std::size_t bin) const {
        double value = 0;
        for (std::size_t group = 0; group < group_count_; ++group)
            if (const int count = digit(code, group); count > 0)
                value += count * (placed_task_value - groups_[group].cost[bin]);
        return value;
    }

    [[nodiscard]] std::vector<Choice> list_choices(std::size_t at) const {
        std::vector<Choice> choices;
        const auto& bin = bins_[at];
        const double before = fragmentation(bin.free, bin.total, common_shape_);
        for (std::size_t code = 1; code < state_count_; ++code) {
            if (!is_allowed(code, at))
                continue;
            const auto need = need_of(code);
            if (!need.fits(bin.free))
                continue;
            const double added = fragmentation(bin.free - need, bin.total, common_shape_) - before;
            choices.push_back({code, value_of(code, at) - added});
        }
        return choices;
    }

    // The free bytes of the heartbeat if they can affect a choice, else a value above any limit. Otherwise machines
    // with the same free resources but a different number of tasks would not share their choices.
    [[nodiscard]] double limiting_heartbeat_bytes(const Resources& free) const {
        double enough = all_tasks_heartbeat_bytes_;
        if (common_shape_.cpus > 0)
            enough += std::max(0.0, free.cpus / common_shape_.cpus + 1) * common_shape_.heartbeat_bytes;
        return free.heartbeat_bytes < enough ? free.heartbeat_bytes : std::numeric_limits<double>::infinity();
    }

    [[nodiscard]] SharedChoices& shared_choices(std::size_t bin) {
        const auto& [free, total] = bins_[bin];
        key_.assign({free.cpus, free.gpus, free.memory_gb, total.cpus, total.gpus, total.memory_gb,
                     limiting_heartbeat_bytes(free)});
        for (const auto& group : groups_)
            key_.push_back(group.cost[bin]);
        const auto [found, fresh] = shared_choices_.try_emplace(key_);
        if (fresh)
            found->second.choices = list_choices(bin);
        return found->second;
    }

    // Whether every group has at least as many tasks as the state and the choice together use of it.
    [[nodiscard]] bool has_enough_tasks(std::size_t state, std::size_t code) const {
        for (std::size_t group = 0; group < group_count_; ++group)
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
            if (reached >= state_count_ || best_[state] + choice.value <= next_[reached] ||
                !has_enough_tasks(state, choice.code))
                continue;
            next_[reached] = best_[state] + choice.value;
            chosen_code_[bin * state_count_ + reached] = static_cast<std::int16_t>(choice.code);
            improved = true;
        }
        return improved;
    }

    void extend_by_bin(std::size_t bin) {
        auto& shared = shared_choices(bin);
        if (shared.choices.empty() || shared.no_gain_version == version_)
            return;
        next_ = best_;
        bool improved = false;
        for (std::size_t state = 0; state < state_count_; ++state)
            if (best_[state] != unreachable && extend(state, shared.choices, bin))
                improved = true;
        if (!improved) {
            shared.no_gain_version = version_;
            return;
        }
        best_.swap(next_);
        ++version_;
    }

    // Follows the best assignment back from its final state to the empty one, bin by bin.
    [[nodiscard]] Assignment trace_back() const {
        Assignment assignment(group_count_, std::vector<int>(bins_.size()));
        auto state = static_cast<std::size_t>(std::max_element(best_.begin(), best_.end()) - best_.begin());
        for (std::size_t bin = bins_.size(); bin-- > 0;) {
            const auto code = static_cast<std::size_t>(chosen_code_[bin * state_count_ + state]);
            for (std::size_t group = 0; group < group_count_; ++group)
                assignment[group][bin] = digit(code, group);
            state -= code;
        }
        return assignment;
    }

    const std::vector<Group>& groups_;
    const std::vector<Bin>& bins_;
    const Resources& common_shape_;
    std::size_t group_count_ = 0; // the digits of a state, one for each group
    std::size_t state_count_ = 1;
    double all_tasks_heartbeat_bytes_ = 0;  // of all tasks of all groups together
    std::vector<int> digits_;               // the digits of each state: [state * group_count_ + group]
    std::vector<double> best_;              // the highest value of each state with the bins tried so far
    std::vector<double> next_;              // the same, including the bin that is being tried
    std::uint64_t version_ = 1;             // incremented with each change of best_
    std::vector<std::int16_t> chosen_code_; // by bin and state: the code assigned to the bin on the best way there
    std::map<std::vector<double>, SharedChoices> shared_choices_;
    std::vector<double> key_; // lookup key for shared_choices_; a member to reuse its memory
};

} // namespace

Assignment match_batch(const std::vector<Group>& groups, const std::vector<Bin>& bins, const Resources& common_shape) {
    return Matcher(groups, bins, common_shape).run();
}

} // namespace heronshift::placement
