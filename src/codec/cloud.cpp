// The cloud: machine types, rentals, releases and the list of machines.
#include "fields.hpp"

#include <fmt/format.h>

namespace heronshift::codec {

using fields::count;
using fields::field;
using fields::flag;
using fields::number;
using fields::text;

std::optional<std::vector<MachineType>> machine_types(std::string_view body) {
    const auto json = parse(body);
    if (!json.is_object())
        return {};
    const auto* list = field(json, "flavors");
    if (list == nullptr || !list->is_array())
        return {};
    std::vector<MachineType> out;
    for (const auto& e : *list) {
        if (!e.is_object())
            return {};
        MachineType type;
        type.name = text(e, "name");
        type.room = {number(e, "cpus"), number(e, "accelerators"), number(e, "memGb")};
        type.cache_gb = number(e, "cacheGb");
        type.fetch_gb_per_s = number(e, "fetchGbPerS", 1);
        type.price = number(e, "rate");
        type.spot_price = number(e, "lowPrice", type.price);
        type.boot_s = number(e, "bootS", 60);
        if (const auto* z = field(e, "yards"); z != nullptr && z->is_array())
            for (const auto& zone : *z)
                if (zone.is_string())
                    type.zones.push_back(zone.get<std::string>());
        if (type.name.empty() || !(type.room.cpus > 0) || !(type.fetch_gb_per_s > 0))
            return {};
        out.push_back(std::move(type));
    }
    if (out.empty())
        return {};
    return out;
}

Json types_to_json(const std::vector<MachineType>& types) {
    Json list = Json::array();
    for (const auto& type : types)
        list.push_back({{"name", type.name},
                        {"cpus", type.room.cpus},
                        {"accelerators", type.room.gpus},
                        {"memGb", type.room.memory_gb},
                        {"cacheGb", type.cache_gb},
                        {"fetchGbPerS", type.fetch_gb_per_s},
                        {"rate", type.price},
                        {"lowPrice", type.spot_price},
                        {"bootS", type.boot_s},
                        {"yards", type.zones}});
    return {{"flavors", list}};
}

std::string rental(const std::string& claim, const std::string& type, const std::string& zone, bool spot, int n) {
    return Json{{"claim", claim}, {"flavor", type}, {"yard", zone}, {"standby", spot}, {"number", n}}.dump();
}

std::optional<std::vector<std::string>> rented(std::string_view body) {
    const auto json = parse(body);
    if (!json.is_object())
        return {};
    const auto* list = field(json, "hosts");
    if (list == nullptr || !list->is_array())
        return {};
    std::vector<std::string> out;
    for (const auto& e : *list) {
        if (!e.is_string())
            return {};
        out.push_back(e.get<std::string>());
    }
    return out;
}

std::string release(const std::vector<std::string>& machines) {
    return Json{{"hosts", machines}}.dump();
}

std::optional<MachinePage> machine_page(std::string_view body) {
    const auto json = parse(body);
    if (!json.is_object())
        return {};
    const auto* list = field(json, "hosts");
    if (list == nullptr || !list->is_array())
        return {};
    MachinePage p;
    p.more = flag(json, "more");
    for (const auto& e : *list) {
        if (!e.is_object())
            return {};
        ListedMachine listed_machine{text(e, "id"),     text(e, "addr"),    text(e, "flavor"), text(e, "yard"),
                                     text(e, "status"), flag(e, "standby"), number(e, "ageS")};
        if (listed_machine.id.empty())
            return {};
        p.machines.push_back(std::move(listed_machine));
    }
    return p;
}

std::optional<RentalRequest> rental_request(std::string_view body) {
    const auto json = parse(body);
    if (!json.is_object())
        return {};
    RentalRequest r{text(json, "claim"), text(json, "flavor"), text(json, "yard"), flag(json, "standby"), 0};
    std::uint64_t n = 0;
    if (r.claim.empty() || r.type.empty() || r.zone.empty() || !count(json, "number", n) || n < 1 || n > 50)
        return {};
    r.count = static_cast<int>(n);
    return r;
}

std::string to_body(const MachinePage& p) {
    auto list = Json::array();
    for (const auto& listed_machine : p.machines)
        list.push_back({{"id", listed_machine.id},
                        {"addr", listed_machine.addr},
                        {"flavor", listed_machine.type},
                        {"yard", listed_machine.zone},
                        {"standby", listed_machine.spot},
                        {"status", listed_machine.status},
                        {"ageS", listed_machine.age_s}});
    return Json{{"hosts", std::move(list)}, {"more", p.more}}.dump();
}

} // namespace heronshift::codec
