// Messages exchanged with the cloud: machine types, rentals, releases and the list of machines.
#include "fields.hpp"

#include <fmt/format.h>

namespace heronshift::codec {

namespace {

constexpr double usual_boot_s = 60;      // boot time of a machine type if the cloud doesn't give one
constexpr std::uint64_t max_rental = 50; // machines in one rental

std::optional<MachineType> read_type(const Json& json) {
    if (!json.is_object())
        return {};
    MachineType type;
    type.name = text(json, words::name);
    type.room = {number(json, words::cpus), number(json, words::gpus), number(json, words::memory_gb)};
    type.cache_gb = number(json, words::cache_gb);
    type.fetch_gb_per_s = number(json, words::fetch_gb_per_s, 1);
    type.price = number(json, words::price);
    type.spot_price = number(json, words::spot_price, type.price);
    type.boot_s = number(json, words::boot_s, usual_boot_s);
    if (const auto* zones = array_field(json, words::zones); zones != nullptr)
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
    const auto* list = array_field(json, words::machine_types);
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
        list.push_back({{words::name, type.name},
                        {words::cpus, type.room.cpus},
                        {words::gpus, type.room.gpus},
                        {words::memory_gb, type.room.memory_gb},
                        {words::cache_gb, type.cache_gb},
                        {words::fetch_gb_per_s, type.fetch_gb_per_s},
                        {words::price, type.price},
                        {words::spot_price, type.spot_price},
                        {words::boot_s, type.boot_s},
                        {words::zones, type.zones}});
    return {{words::machine_types, list}};
}

std::string rental(const std::string& claim, const std::string& type, const std::string& zone, bool spot, int count) {
    return Json{{words::claim, claim},
                {words::machine_type, type},
                {words::zone, zone},
                {words::spot, spot},
                {words::count, count}}
        .dump();
}

std::optional<std::vector<std::string>> rented(std::string_view body) {
    const auto json = parse(body);
    const auto* list = array_field(json, words::machines);
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
    return Json{{words::machines, machines}}.dump();
}

std::optional<MachinePage> machine_page(std::string_view body) {
    const auto json = parse(body);
    const auto* list = array_field(json, words::machines);
    if (list == nullptr)
        return {};
    MachinePage page;
    page.more = flag(json, words::more);
    for (const auto& entry : *list) {
        if (!entry.is_object())
            return {};
        ListedMachine machine{text(entry, words::id),     text(entry, words::address), text(entry, words::machine_type),
                              text(entry, words::zone),   text(entry, words::status),  flag(entry, words::spot),
                              number(entry, words::age_s)};
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
    RentalRequest request{text(json, words::claim), text(json, words::machine_type), text(json, words::zone),
                          flag(json, words::spot), 0};
    std::uint64_t count_of_machines = 0;
    if (request.claim.empty() || request.type.empty() || request.zone.empty() ||
        !count(json, words::count, count_of_machines) || count_of_machines < 1 || count_of_machines > max_rental)
        return {};
    request.count = static_cast<int>(count_of_machines);
    return request;
}

std::string to_body(const MachinePage& page) {
    auto list = Json::array();
    for (const auto& machine : page.machines)
        list.push_back({{words::id, machine.id},
                        {words::address, machine.addr},
                        {words::machine_type, machine.type},
                        {words::zone, machine.zone},
                        {words::spot, machine.spot},
                        {words::status, machine.status},
                        {words::age_s, machine.age_s}});
    return Json{{words::machines, std::move(list)}, {words::more, page.more}}.dump();
}

} // namespace heronshift::codec
