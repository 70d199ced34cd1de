/// @file
/// The two records of the store that leadership rests on (invariants 1 and 2 of docs/safety.md): who the leader is, and
/// how many terms and transactions there have been. Field names are part of the stored data and do not change.
#pragma once

#include "heronshift/codec.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace heronshift::leadership {

/// Key of the LeaderRecord; it hangs on the leader's store lease and is deleted with it.
inline constexpr const char* leader_key = "office";
/// Key of the TermCounter; it outlives every store lease.
inline constexpr const char* term_counter_key = "round";

/// Names the leader.
struct LeaderRecord {
    std::string node;              ///< "node": the leader's name.
    std::uint64_t store_lease = 0; ///< "hold": the store lease that the record hangs on.
    std::uint64_t term = 0;        ///< "term".
    bool operator==(const LeaderRecord&) const = default;
};

/// Counts terms, and the transactions of the newest one.
struct TermCounter {
    std::uint64_t term = 0;         ///< "term".
    std::uint64_t transactions = 0; ///< "n": how many of this term were applied.
    bool operator==(const TermCounter&) const = default;
};

[[nodiscard]] codec::Json encode(const LeaderRecord& record);
[[nodiscard]] codec::Json encode(const TermCounter& counter);

/// None if the item is missing or its value is no object. A missing field reads as empty or 0.
/// @throws nlohmann::json::type_error if a field has another type, which no version writes.
[[nodiscard]] std::optional<LeaderRecord> decode_leader_record(const std::optional<codec::Item>& item);
/// As decode_leader_record().
[[nodiscard]] std::optional<TermCounter> decode_term_counter(const std::optional<codec::Item>& item);

} // namespace heronshift::leadership
