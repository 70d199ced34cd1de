/// How much of one kind of record waits for the store, for metrics and logs.
#pragma once

#include <cstddef>

namespace heronshift::persistence {

/// The records of one kind that are due and not stored.
struct Backlog {
    const char* kind = ""; ///< As metrics and logs name it.
    std::size_t count = 0;
    double oldest_s = 0; ///< Since when the oldest is due; 0: none is.
};

} // namespace heronshift::persistence
