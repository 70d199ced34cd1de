// Messages exchanged with the cloud: machine types, rentals, releases and the list of machines.
#include "fields.hpp"

#include <fmt/format.h>

namespace heronshift::codec {

namespace {

constexpr double default_boot_s = 60;                 // boot time of a machine type if the cloud doesn't give one
constexpr std::uint64_t max_machines_per_rental = 50; // machines in one rental

std::optional<MachineType> read_type(const Json& json) {
    if (!json.is_object())
        return {};
    MachineType type;
    type.name = text(json, wire::name);
    type.room = {number(json, wire::cpus), number(json, wire::gpus), number(json, wire::memory_gb)};
    type.cache_gb = number(json, wire::cache_gb);
    type.fetch_gb_per_s = number(json, wire::fetch_gb_per_s, 1);
    type.price = number(json, wire::price);
    type.spot_price = number(json, wire::spot_price, type.price);
    type.boot_s = number(json, wire::boot_s, default_boot_s);
    if (const auto* zones = array_field(json, wire::zones); zones != nullptr)
        for (const auto& zone : *zones)
            if (zone.is_string())
                type.zones.push_back(zone.get<std::string>());
    if (type.name.empty() || !(type.room.cpus > 0) || !(type.fetch_gb_per_s > 0))
        return {};
    return type;
}

} // namespace

std::optional<std::vector<MachineType>> machine_types(std::string_view body) {
    const auto json = parse(body);
    const auto* list = array_field(json, wire::machine_types);
    if (list == nullptr)
        return {};
    std::vector<MachineType> out;
    for (const auto& entry : *list) {
        auto type = read_type(entry);
        if (!type)
            return {};
        out.push_back(std::move(*type));
    }
    if (out.empty())
        return {};
    return out;
}

Json types_to_json(const std::vector<MachineType>& types) {
    Json list = Json::array();
    for (const auto& type : types)
        list.push_back({{wire::name, type.name},
                        {wire::cpus, type.room.cpus},
                        {wire::gpus, type.room.gpus},
                        {wire::memory_gb, type.room.memory_gb},
                        {wire::cache_gb, type.cache_gb},
                        {wire::fetch_gb_per_s, type.fetch_gb_per_s},
                        {wire::price, type.price},
                        {wire::spot_price, type.spot_price},
                        {wire::boot_s, type.boot_s},
                        {wire::zones, type.zones}});
    return {{wire::machine_types, list}};
}

std::string rental(const std::string& claim, const std::string& type, const std::string& zone, bool spot, int count) {
    return Json{
        {wire::claim, claim}, {wire::machine_type, type}, {wire::zone, zone}, {wire::spot, spot}, {wire::count, count}}
        .dump();
}

std::optional<std::vector<std::string>> rented(std::string_view body) {
    const auto json = parse(body);
    const auto* list = array_field(json, wire::machines);
    if (list == nullptr)
        return {};
    std::vector<std::string> machines;
    for (const auto& machine : *list) {
        if (!machine.is_string())
            return {};
        machines.push_back(machine.get<std::string>());
    }
    return machines;
}

std::string release(const std::vector<std::string>& machines) {
    return Json{{wire::machines, machines}}.dump();
}

std::optional<MachinePage> machine_page(std::string_view body) {
    const auto json = parse(body);
    const auto* list = array_field(json, wire::machines);
    if (list == nullptr)
        return {};
    MachinePage page;
    page.more = flag(json, wire::more);
    for (const auto& entry : *list) {
        if (!entry.is_object())
            return {};
        ListedMachine machine{text(entry, wire::id),     text(entry, wire::address), text(entry, wire::machine_type),
                              text(entry, wire::zone),   text(entry, wire::status),  flag(entry, wire::spot),
                              number(entry, wire::age_s)};
        if (machine.id.empty())
            return {};
        page.machines.push_back(std::move(machine));
    }
    return page;
}

std::optional<RentalRequest> rental_request(std::string_view body) {
    const auto json = parse(body);
    if (!json.is_object())
        return {};
    RentalRequest request{text(json, wire::claim), text(json, wire::machine_type), text(json, wire::zone),
                          flag(json, wire::spot), 0};
    std::uint64_t machine_count = 0;
    if (request.claim.empty() || request.type.empty() || request.zone.empty() ||
        !count(json, wire::count, machine_count) || machine_count < 1 || machine_count > max_machines_per_rental)
        return {};
    request.count = static_cast<int>(machine_count);
    return request;
}

std::string to_body(const MachinePage& page) {
    auto list = Json::array();
    for (const auto& machine : page.machines)
        list.push_back({{wire::id, machine.id},
                        {wire::address, machine.addr},
                        {wire::machine_type, machine.type},
                        {wire::zone, machine.zone},
                        {wire::spot, machine.spot},
                        {wire::status, machine.status},
                        {wire::age_s, machine.age_s}});
    return Json{{wire::machines, std::move(list)}, {wire::more, page.more}}.dump();
}

} // namespace heronshift::codec
