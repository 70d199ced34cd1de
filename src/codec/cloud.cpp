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
    const auto j = parse(body);
    if (!j.is_object())
        return {};
    const auto* list = field(j, "flavors");
    if (list == nullptr || !list->is_array())
        return {};
    std::vector<MachineType> out;
    for (const auto& e : *list) {
        if (!e.is_object())
            return {};
        MachineType t;
        t.name = text(e, "name");
        t.room = {number(e, "cpus"), number(e, "accelerators"), number(e, "memGb")};
        t.cache_gb = number(e, "cacheGb");
        t.fetch_gb_per_s = number(e, "fetchGbPerS", 1);
        t.price = number(e, "rate");
        t.spot_price = number(e, "lowPrice", t.price);
        t.boot_s = number(e, "bootS", 60);
        if (const auto* z = field(e, "yards"); z != nullptr && z->is_array())
            for (const auto& zone : *z)
                if (zone.is_string())
                    t.zones.push_back(zone.get<std::string>());
        if (t.name.empty() || !(t.room.cpus > 0) || !(t.fetch_gb_per_s > 0))
            return {};
        out.push_back(std::move(t));
    }
    if (out.empty())
        return {};
    return out;
}

Json types_to_json(const std::vector<MachineType>& types) {
    Json list = Json::array();
    for (const auto& t : types)
        list.push_back({{"name", t.name},
                        {"cpus", t.room.cpus},
                        {"accelerators", t.room.gpus},
                        {"memGb", t.room.memory_gb},
                        {"cacheGb", t.cache_gb},
                        {"fetchGbPerS", t.fetch_gb_per_s},
                        {"rate", t.price},
                        {"lowPrice", t.spot_price},
                        {"bootS", t.boot_s},
                        {"yards", t.zones}});
    return {{"flavors", list}};
}

std::string rental(const std::string& claim, const std::string& type, const std::string& zone, bool spot, int n) {
    return Json{{"claim", claim}, {"flavor", type}, {"yard", zone}, {"standby", spot}, {"number", n}}.dump();
}

std::optional<std::vector<std::string>> rented(std::string_view body) {
    const auto j = parse(body);
    if (!j.is_object())
        return {};
    const auto* list = field(j, "hosts");
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
    const auto j = parse(body);
    if (!j.is_object())
        return {};
    const auto* list = field(j, "hosts");
    if (list == nullptr || !list->is_array())
        return {};
    MachinePage p;
    p.more = flag(j, "more");
    for (const auto& e : *list) {
        if (!e.is_object())
            return {};
        ListedMachine m{text(e, "id"),     text(e, "addr"),    text(e, "flavor"), text(e, "yard"),
                        text(e, "status"), flag(e, "standby"), number(e, "ageS")};
        if (m.id.empty())
            return {};
        p.machines.push_back(std::move(m));
    }
    return p;
}

std::optional<RentalRequest> rental_request(std::string_view body) {
    const auto j = parse(body);
    if (!j.is_object())
        return {};
    RentalRequest r{text(j, "claim"), text(j, "flavor"), text(j, "yard"), flag(j, "standby"), 0};
    std::uint64_t n = 0;
    if (r.claim.empty() || r.type.empty() || r.zone.empty() || !count(j, "number", n) || n < 1 || n > 50)
        return {};
    r.count = static_cast<int>(n);
    return r;
}

std::string to_body(const MachinePage& p) {
    auto list = Json::array();
    for (const auto& m : p.machines)
        list.push_back({{"id", m.id},
                        {"addr", m.addr},
                        {"flavor", m.type},
                        {"yard", m.zone},
                        {"standby", m.spot},
                        {"status", m.status},
                        {"ageS", m.age_s}});
    return Json{{"hosts", std::move(list)}, {"more", p.more}}.dump();
}

} // namespace heronshift::codec
