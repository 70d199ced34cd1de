// What was learned lately, by name. Bounded: of too many, the oldest is forgotten.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

namespace heronshift {

template <class V> class Remembered {
public:
    explicit Remembered(std::size_t most) : most_(most) {}

    [[nodiscard]] const V* find(const std::string& name) const {
        const auto it = known_.find(name);
        return it == known_.end() ? nullptr : &it->second.value;
    }
    [[nodiscard]] V* find(const std::string& name) {
        const auto it = known_.find(name);
        return it == known_.end() ? nullptr : &it->second.value;
    }
    [[nodiscard]] bool contains(const std::string& name) const {
        return known_.contains(name);
    }
    // False: it is known, and stays as it was.
    bool add(const std::string& name, V value) {
        if (!known_.try_emplace(name, Known{std::move(value), seq_}).second)
            return false;
        order_.emplace_back(seq_++, name);
        while (known_.size() > most_ || order_.size() > 2 * most_)
            drop_oldest();
        return true;
    }
    void erase(const std::string& name) {
        known_.erase(name);
    }
    [[nodiscard]] std::size_t size() const {
        return known_.size();
    }

private:
    struct Known {
        V value;
        std::uint64_t seq;
    };
    void drop_oldest() {
        const auto it = known_.find(order_.front().second);
        if (it != known_.end() && it->second.seq == order_.front().first)
            known_.erase(it); // else it was erased
        order_.pop_front();
    }
    std::size_t most_;
    std::uint64_t seq_ = 0;
    std::unordered_map<std::string, Known> known_;
    std::deque<std::pair<std::uint64_t, std::string>> order_;
};

} // namespace heronshift
