#include "cluster/departed_machines.hpp"

#include "memory_share.hpp"

namespace heronshift::cluster {
namespace {

constexpr double max_message_age_leases = 30; // ten minutes with the usual lease
constexpr double max_message_age_lags = 4;    // in units of list_lag_s, the age of the cloud's list
constexpr double memory_share = 1.0 / 16;
constexpr std::size_t record_bytes = 256; // 224 bytes with a machine id of 21 characters

} // namespace

double max_message_age_s(const Settings& settings) {
    return max_message_age_leases * settings.lease_s + max_message_age_lags * settings.list_lag_s;
}

DepartedMachines::DepartedMachines(const Settings& settings)
    : retention_s_(max_message_age_s(settings)),
      capacity_(entries_in_share(settings.memory_mb, memory_share, record_bytes)) {}

const DepartedMachine* DepartedMachines::find(const std::string& id) const {
    const auto it = records_.find(id);
    return it == records_.end() ? nullptr : &it->second.machine;
}

bool DepartedMachines::released(const std::string& id) const {
    const auto* machine = find(id);
    return machine != nullptr && machine->released;
}

std::size_t DepartedMachines::make_room_for(std::size_t wanted, double now) {
    while (!order_.empty() && records_.size() + wanted > capacity_) {
        const auto oldest = records_.find(order_.front());
        if (now - oldest->second.machine.since <= retention_s_)
            break;
        records_.erase(oldest);
        order_.pop_front();
    }
    const auto room = capacity_ > records_.size() ? capacity_ - records_.size() : 0;
    return std::min(wanted, room);
}

void DepartedMachines::add(const std::string& id, const DepartedMachine& machine) {
    erase(id);
    const auto place = order_.insert(order_.end(), id);
    records_.emplace(id, Record{machine, place});
}

void DepartedMachines::erase(const std::string& id) {
    const auto it = records_.find(id);
    if (it == records_.end())
        return;
    order_.erase(it->second.place);
    records_.erase(it);
}

} // namespace heronshift::cluster
