/// One transaction of the store while it is put together, most urgent records first.
#pragma once

#include "heronshift/messages.hpp"

#include <optional>
#include <string>
#include <utility>

namespace heronshift::persistence {

/// Counts writes and estimated bytes, so that a record kind can stop before the store would refuse the whole.
class TransactionBuilder {
public:
    explicit TransactionBuilder(std::size_t max_writes) : max_writes_(max_writes) {}

    /// Whether that many more writes are too many, or the bytes are used up.
    [[nodiscard]] bool full(std::size_t more) const {
        return commit_.writes.size() + more > max_writes_ || bytes_ > max_bytes;
    }
    /// @param size an estimate of the value's bytes
    void put(std::string key, codec::Json value, std::size_t size) {
        bytes_ += size + bytes_around_value;
        commit_.writes.push_back({std::move(key), std::move(value), 0});
    }
    void erase(std::string key) {
        bytes_ += bytes_around_value;
        commit_.writes.push_back({std::move(key), std::nullopt, 0});
    }
    [[nodiscard]] std::size_t writes() const {
        return commit_.writes.size();
    }
    [[nodiscard]] Commit take() {
        return std::move(commit_);
    }

private:
    static constexpr std::size_t max_bytes = 48UL * 1024;  // of the 64 KiB that a transaction may have
    static constexpr std::size_t bytes_around_value = 100; // the key and the names of the fields
    Commit commit_;
    std::size_t max_writes_, bytes_ = 0;
};

} // namespace heronshift::persistence
