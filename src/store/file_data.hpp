// The state of one machine in one SQLite file, durable: what commit() has returned true for survives
// the end of the process and a loss of power (WAL, synchronous=FULL). Several processes may use the
// same file at once.
//
// Leases end by the machine's steady clock (CLOCK_MONOTONIC), which all its processes share, which no
// one sets and which stands still while the machine sleeps, as the leader's own does. After a new
// boot all leases have their full time again.
#pragma once

#include "heronshift/store/engine.hpp"

namespace heronshift::store {

inline constexpr int file_schema = 2; // the newest that this program knows

struct FileOptions {
    bool fsync = true;      // false: for measurements and throw-away clusters
    int schema = 0;         // 0: the newest; tests make older ones
    double busy_wait_s = 2; // for another process's transaction
};

// Opens or creates it; an older schema is migrated. Throws StoreError, naming the file and the reason:
// no such folder, not a database, damaged, of a newer version, of another program.
std::unique_ptr<Data> file_data(const std::string& path, const FileOptions& options = {});

// A copy of the whole file as it is at one moment, while others go on using it. Throws StoreError;
// an existing file is not written over.
void back_up(const std::string& path, const std::string& to);

} // namespace heronshift::store
