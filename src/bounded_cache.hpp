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
        const auto it = entries_.find(name);
        return it == entries_.end() ? nullptr : &it->second.value;
    }
    [[nodiscard]] V* find(const std::string& name) {
        const auto it = entries_.find(name);
        return it == entries_.end() ? nullptr : &it->second.value;
    }
    [[nodiscard]] bool contains(const std::string& name) const {
        return entries_.contains(name);
    }
    /// Adds an entry as the newest. Returns false, and leaves the existing entry unchanged, if there is one already.
    bool add(const std::string& name, V value) {
        if (entries_.contains(name))
            return false;
        const auto order_position = insertion_order_.insert(insertion_order_.end(), name);
        entries_.emplace(name, Entry{std::move(value), order_position});
        set_max_size(max_size_);
        return true;
    }
    void erase(const std::string& name) {
        const auto it = entries_.find(name);
        if (it == entries_.end())
            return;
        insertion_order_.erase(it->second.order_position);
        entries_.erase(it);
    }
    /// Changes the maximum size and evicts the oldest entries beyond it.
    void set_max_size(std::size_t max_size) {
        max_size_ = max_size;
        while (entries_.size() > max_size_) {
            entries_.erase(insertion_order_.front());
            insertion_order_.pop_front();
        }
    }
    [[nodiscard]] std::size_t size() const {
        return entries_.size();
    }

private:
    struct Entry {
        V value;
        std::list<std::string>::iterator order_position;
    };
    std::size_t max_size_;
    std::unordered_map<std::string, Entry> entries_;
    std::list<std::string> insertion_order_; // oldest first
};

} // namespace heronshift
