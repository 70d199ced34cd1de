/// Builds one transaction for the store. The most urgent records are added first.
#pragma once

#include "heronshift/messages.hpp"

#include <optional>
#include <string>
#include <utility>

namespace heronshift::persistence {

/// Counts the writes and the estimated bytes of the transaction, so that no kind of record adds so much that the store
/// would refuse the transaction.
class TransactionBuilder {
public:
    explicit TransactionBuilder(std::size_t max_writes) : max_writes_(max_writes) {}

    /// Whether `more_writes` further writes would exceed the maximum, or the maximum of bytes is exceeded already.
    [[nodiscard]] bool would_overflow(std::size_t more_writes) const {
        return commit_.writes.size() + more_writes > max_writes_ || bytes_ > max_bytes;
    }
    /// @param size the estimated bytes of the encoded value
    void put(std::string key, codec::Json value, std::size_t size) {
        bytes_ += size + write_overhead_bytes;
        commit_.writes.push_back({std::move(key), std::move(value), 0});
    }
    void erase(std::string key) {
        bytes_ += write_overhead_bytes;
        commit_.writes.push_back({std::move(key), std::nullopt, 0});
    }
    [[nodiscard]] std::size_t writes() const {
        return commit_.writes.size();
    }
    [[nodiscard]] Commit take() {
        return std::move(commit_);
    }

private:
    // A transaction may have 64 KiB. The sizes are estimates, and the limit is checked only before a write is added.
    static constexpr std::size_t max_bytes = 48UL * 1024;
    // The key and the field names of one write.
    static constexpr std::size_t write_overhead_bytes = 100;
    Commit commit_;
    std::size_t max_writes_, bytes_ = 0;
};

} // namespace heronshift::persistence
