// Size limits of in-memory tables. The limit of each table is a share of the process's memory limit rather than a fixed
// number of entries, which a larger fleet would exceed. All shares together are below two fifths of the memory limit.
#pragma once

#include <algorithm>
#include <cstddef>

namespace heronshift {

/// Lower bound of every table's limit, since a fleet may have 6,000 machines.
inline constexpr std::size_t min_table_entries = 8192;

/// Converts a share of the memory limit, 0 to 1, to bytes.
[[nodiscard]] inline std::size_t bytes_in_share(double memory_mb, double share) {
    return static_cast<std::size_t>(memory_mb * 1024 * 1024 * share);
}

/// How many entries a table may hold within its share of the memory limit. `bytes_per_entry` is the size of an entry,
/// including its keys and the table's overhead.
[[nodiscard]] inline std::size_t entries_in_share(double memory_mb, double share, std::size_t bytes_per_entry) {
    return std::max(min_table_entries, bytes_in_share(memory_mb, share) / bytes_per_entry);
}

} // namespace heronshift
