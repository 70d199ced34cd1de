// Machines that the leader no longer tracks: released to the cloud, or lost and absent from the cloud's list. A record
// of each one's newest heartbeat allows the leader to recognize stale heartbeats and lists, so a record is never
// evicted while such a message may still be in transit. See docs/safety.md, point 28.
#pragma once

#include "heronshift/config.hpp"

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

namespace heronshift::cluster {

/// The maximum age in seconds of a heartbeat, list or watch event when it arrives. The sender of a heartbeat closes its
/// connection after 4 s, a fifth of the usual lease, and sends a new one; copies of the old one may remain in network
/// buffers, where the longest observed delays were a few leases. A list is at most list_lag_s old when the cloud sends
/// it.
[[nodiscard]] double max_message_age_s(const Settings& settings);

/// What the leader remembers of a departed machine.
struct DepartedMachine {
    /// Agent epoch and counter of its newest heartbeat.
    std::uint64_t agent_epoch = 0, counter = 0;
    /// The machine was released, so it no longer exists: any further message from it is stale.
    bool released = false;
    /// When the leader stopped tracking it.
    double since = 0;
};

/// The records of departed machines. Records younger than max_message_age_s are never evicted. While there is no
/// capacity for another record, callers must keep the machine: a lost one stays tracked, one to be released stays
/// rented. The capacity is a sixteenth of the process's memory: 18,432 machines at 72 MB, which is three fleets of
/// 6,000 within max_message_age_s.
class DepartedMachines {
public:
    explicit DepartedMachines(const Settings& settings);

    [[nodiscard]] const DepartedMachine* find(const std::string& id) const;
    [[nodiscard]] bool released(const std::string& id) const;
    /// How many of `wanted` more records fit now. Evicts the oldest records to make room, if they are older than
    /// max_message_age_s.
    [[nodiscard]] std::size_t make_room_for(std::size_t wanted, double now);
    void add(const std::string& id, const DepartedMachine& machine);
    /// To be called when the machine is tracked again.
    void erase(const std::string& id);
    [[nodiscard]] std::size_t size() const {
        return records_.size();
    }
    [[nodiscard]] std::size_t capacity() const {
        return capacity_;
    }

private:
    struct Record {
        DepartedMachine machine;
        std::list<std::string>::iterator place;
    };
    double retention_s_;
    std::size_t capacity_;
    std::unordered_map<std::string, Record> records_;
    std::list<std::string> order_; // oldest departure first
};

} // namespace heronshift::cluster
