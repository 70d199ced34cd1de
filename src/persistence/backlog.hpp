/// The backlog of records that are not stored yet, for metrics and log lines.
#pragma once

#include <cstddef>

namespace heronshift::persistence {

/// The records of one kind that are due to be stored and are not stored yet.
struct Backlog {
    const char* kind = ""; ///< The name of the kind in metrics and log lines.
    std::size_t count = 0;
    double oldest_age_s = 0; ///< Seconds for which the oldest of these records has been due; 0 if `count` is 0.
};

} // namespace heronshift::persistence
