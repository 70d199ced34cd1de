/// @file
/// The two store records on which leadership is based (invariants 1 and 2 of docs/safety.md): the leader record names
/// the leader, and the term counter counts terms and transactions. Their field names are part of the stored data and
/// must not change.
#pragma once

#include "heronshift/codec.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace heronshift::leadership {

/// Key of the LeaderRecord. It is attached to the leader's store lease and is deleted when the lease ends.
inline constexpr const char* leader_key = "office";
/// Key of the TermCounter. It is attached to no store lease, so it outlives all of them.
inline constexpr const char* term_counter_key = "round";

/// The leader and its term. The comment of each field gives the field's name in the stored JSON object.
struct LeaderRecord {
    std::string node;              ///< "node": the leader's name.
    std::uint64_t store_lease = 0; ///< "hold": the store lease to which the record is attached.
    std::uint64_t term = 0;        ///< "term": the leader's term.
    bool operator==(const LeaderRecord&) const = default;
};

/// The newest term and the number of its transactions. The comment of each field gives the field's name in the stored
/// JSON object.
struct TermCounter {
    std::uint64_t term = 0;         ///< "term": the newest term.
    std::uint64_t transactions = 0; ///< "n": how many transactions of this term were applied.
    bool operator==(const TermCounter&) const = default;
};

[[nodiscard]] codec::Json encode(const LeaderRecord& record);
[[nodiscard]] codec::Json encode(const TermCounter& counter);

/// Returns no value if the item is missing or its value is not a JSON object. A missing field is read as an empty
/// string or 0.
/// @throws nlohmann::json::type_error if a field has the wrong type, which no version of this software writes.
[[nodiscard]] std::optional<LeaderRecord> decode_leader_record(const std::optional<codec::Item>& item);
/// Treats missing items, values and fields, and wrong types, as decode_leader_record() does.
[[nodiscard]] std::optional<TermCounter> decode_term_counter(const std::optional<codec::Item>& item);

} // namespace heronshift::leadership
