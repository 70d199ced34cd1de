// How large tables in memory may grow. Each has a share of the process's memory limit, so that none is bounded by a
// number that a larger fleet outgrows. All shares together are below two fifths of the limit.
#pragma once

#include <algorithm>
#include <cstddef>

namespace heronshift {

/// No table is held below this: a fleet may have 6,000 machines.
inline constexpr std::size_t min_table_entries = 8192;

/// Bytes that a share of the memory limit comes to.
[[nodiscard]] inline std::size_t bytes_in_share(double memory_mb, double share) {
    return static_cast<std::size_t>(memory_mb * 1024 * 1024 * share);
}

/// Entries of a table that fit into its share, each with its keys and the table's own overhead.
[[nodiscard]] inline std::size_t entries_in_share(double memory_mb, double share, std::size_t bytes_each) {
    return std::max(min_table_entries, bytes_in_share(memory_mb, share) / bytes_each);
}

} // namespace heronshift
