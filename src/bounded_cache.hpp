// A map from names to values with a maximum size.
#pragma once

#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>
#include <utility>

namespace heronshift {

/// A map from names to values that evicts the oldest entry when it holds more than `max_size`. Use it only for data
/// that may be lost; cluster/departed_machines.hpp keeps entries that must not be evicted. Not synchronised.
template <class V> class BoundedCache {
public:
    explicit BoundedCache(std::size_t max_size) : max_size_(max_size) {}

    /// Null if there is no entry with this name. The pointer is valid until the next modification.
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
    /// Adds an entry as the newest. Returns false, and leaves the existing entry unchanged, if there is one already.
    bool add(const std::string& name, V value) {
        if (known_.contains(name))
            return false;
        const auto place = order_.insert(order_.end(), name);
        known_.emplace(name, Known{std::move(value), place});
        limit(max_size_);
        return true;
    }
    void erase(const std::string& name) {
        const auto it = known_.find(name);
        if (it == known_.end())
            return;
        order_.erase(it->second.place);
        known_.erase(it);
    }
    /// Changes the maximum size and evicts the oldest entries beyond it.
    void limit(std::size_t max_size) {
        max_size_ = max_size;
        while (known_.size() > max_size_) {
            known_.erase(order_.front());
            order_.pop_front();
        }
    }
    [[nodiscard]] std::size_t size() const {
        return known_.size();
    }

private:
    struct Known {
        V value;
        std::list<std::string>::iterator place;
    };
    std::size_t max_size_;
    std::unordered_map<std::string, Known> known_;
    std::list<std::string> order_; // oldest first
};

} // namespace heronshift
