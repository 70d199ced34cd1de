// Machines that the leader no longer tracks: given back, or lost and no longer listed. What was last heard of
// them tells late heartbeats and lists from news, so a record is never dropped to make room while such a message
// may still be on its way. See docs/safety.md, point 28.
#pragma once

#include "heronshift/config.hpp"

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

namespace heronshift::cluster {

/// How old a heartbeat, list or watch event can be when it arrives. A heartbeat's sender closes its connection
/// after 4 s, a fifth of the usual lease, and reports anew; what is left of it lives in buffers on the way, where
/// the longest delays seen were a few leases. A list is at most list_lag_s old when the cloud sends it.
[[nodiscard]] double max_message_age_s(const Settings& settings);

/// What is known of one of them.
struct DepartedMachine {
    /// Of its newest heartbeat.
    std::uint64_t agent_epoch = 0, counter = 0;
    /// It was given back, so it is surely gone: nothing that it seems to say is news.
    bool released = false;
    double since = 0;
};

/// Records younger than max_message_age_s are kept, whatever their number. Whoever would let more machines depart
/// than there is room for is to wait: a lost one stays tracked, one to be given back stays rented. The room is a
/// sixteenth of the process's memory: 18,432 machines at 72 MB, three fleets of 6,000 within max_message_age_s.
class DepartedMachines {
public:
    explicit DepartedMachines(const Settings& settings);

    [[nodiscard]] const DepartedMachine* find(const std::string& id) const;
    [[nodiscard]] bool released(const std::string& id) const;
    /// How many of `wanted` may depart now. Drops the oldest records for them, if those are old enough.
    [[nodiscard]] std::size_t room_for(std::size_t wanted, double now);
    void add(const std::string& id, const DepartedMachine& machine);
    /// The machine is tracked again.
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
    double keep_s_;
    std::size_t capacity_;
    std::unordered_map<std::string, Record> records_;
    std::list<std::string> order_; // the first to depart first
};

} // namespace heronshift::cluster
