// Store data in an SQLite file on one machine. It is durable: a transaction for which commit() has returned true
// survives the end of the process and a loss of power (WAL, synchronous=FULL). Several processes may use the same file
// at once.
//
// Leases expire by the machine's steady clock (CLOCK_MONOTONIC). All processes of the machine share this clock, nobody
// can set it, and it stops while the machine is suspended, like the clock by which the leader measures its own lease.
// After a boot of the machine, all leases get their full time again.
#pragma once

#include "heronshift/store/engine.hpp"

namespace heronshift::store {

inline constexpr int file_schema = 2; // the newest schema that this program knows

struct FileOptions {
    bool fsync = true;      // false only for measurements and for clusters whose data may be lost
    int schema = 0;         // schema to create or migrate to; 0: the newest. Tests create older ones
    double busy_wait_s = 2; // how long to wait for a transaction of another process
};

// Opens or creates the file and migrates an older schema. Throws StoreError with the path and the reason: the folder
// does not exist, the file is not a database, is damaged, was written by a newer version or belongs to another program.
std::unique_ptr<Data> file_data(const std::string& path, const FileOptions& options = {});

// Copies a consistent snapshot of the file at `path` to a new file `to`, while other processes go on using `path`.
// Throws StoreError, also if `to` exists already: it is not overwritten.
void back_up(const std::string& path, const std::string& to);

} // namespace heronshift::store
