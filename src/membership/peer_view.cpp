#include "membership/peer_view.hpp"

#include "heronshift/codec.hpp"
#include "membership/machine_samples.hpp"

namespace heronshift::membership {
namespace {

using codec::Json;

// Limits on received views. Even the largest fleets have only a handful of zones and controllers; entries beyond the
// limit are ignored.
constexpr std::size_t max_entries = 64;
constexpr std::size_t max_name_length = 128;

// Stands in the JSON for an age that is not known.
constexpr double unknown_age = -1;

constexpr std::string_view text_reachable = "works", text_unreachable = "lost", text_unknown = "unknown";

std::string_view to_text(Reachability reachability) {
    switch (reachability) {
    case Reachability::reachable:
        return text_reachable;
    case Reachability::unreachable:
        return text_unreachable;
    case Reachability::unknown:
        break;
    }
    return text_unknown;
}

Json to_json(const std::map<std::string, Reachability>& links) {
    auto out = Json::object();
    for (const auto& [name, reachability] : links)
        out[name] = to_text(reachability);
    return out;
}

bool is_name(const Json& json) {
    return json.is_string() && json.get_ref<const std::string&>().size() <= max_name_length;
}

Reachability read_reachability(const Json& json) {
    if (!json.is_string())
        return Reachability::unknown;
    const auto& text = json.get_ref<const std::string&>();
    return text == text_reachable     ? Reachability::reachable
           : text == text_unreachable ? Reachability::unreachable
                                      : Reachability::unknown;
}

Reachability read_reachability(const Json& json, const char* field) {
    const auto it = json.find(field);
    return it != json.end() ? read_reachability(*it) : Reachability::unknown;
}

std::optional<double> read_number(const Json& json, const char* field) {
    const auto it = json.find(field);
    return it != json.end() && it->is_number() ? std::optional(it->get<double>()) : std::nullopt;
}

std::optional<double> read_age(const Json& json, const char* field) {
    const auto age = read_number(json, field);
    return age && *age >= 0 ? age : std::nullopt;
}

std::string read_name(const Json& json, const char* field) {
    const auto it = json.find(field);
    return it != json.end() && is_name(*it) ? it->get<std::string>() : "";
}

bool read_flag(const Json& json, const char* field) {
    const auto it = json.find(field);
    return it != json.end() && it->is_boolean() && it->get<bool>();
}

// Calls visit(name, value) for each entry of the object in this field, within the limits.
template <class Visit> void for_each_entry(const Json& json, const char* field, Visit visit) {
    const auto it = json.find(field);
    if (it == json.end() || !it->is_object())
        return;
    std::size_t entries = 0;
    for (const auto& [name, value] : it->items()) {
        if (++entries > max_entries)
            return;
        if (name.size() <= max_name_length)
            visit(name, value);
    }
}

std::map<std::string, Reachability> read_links(const Json& json, const char* field) {
    std::map<std::string, Reachability> out;
    for_each_entry(json, field,
                   [&](const std::string& name, const Json& value) { out[name] = read_reachability(value); });
    return out;
}

std::map<std::string, std::vector<std::string>> read_machines(const Json& json, const char* field) {
    std::map<std::string, std::vector<std::string>> out;
    for_each_entry(json, field, [&](const std::string& zone, const Json& list) {
        if (!list.is_array())
            return;
        for (const auto& address : list)
            if (is_name(address) && out[zone].size() < max_samples)
                out[zone].push_back(address.get<std::string>());
    });
    return out;
}

} // namespace

Reachability zone_reachability(const PeerView& view, const std::string& zone) {
    const auto it = view.zones.find(zone);
    return it == view.zones.end() ? Reachability::unknown : it->second;
}

std::string to_body(const PeerView& view) {
    return Json{{"node", view.node},
                {"sent", view.sent},
                {"store", to_text(view.store)},
                {"storeS", view.store_s.value_or(unknown_age)},
                {"cloud", to_text(view.cloud)},
                {"cloudS", view.cloud_s.value_or(unknown_age)},
                {"zones", to_json(view.zones)},
                {"peers", to_json(view.peers)},
                {"machines", view.machines},
                {"holder", view.leader},
                {"term", view.term},
                {"seesOffice", view.sees_leader},
                {"acts", view.is_active_leader}}
        .dump();
}

std::optional<PeerView> view(std::string_view body) {
    const auto json = codec::parse(body);
    if (!json.is_object())
        return {};
    PeerView view;
    view.node = read_name(json, "node");
    if (view.node.empty())
        return {};
    view.sent = read_number(json, "sent").value_or(0);
    view.store = read_reachability(json, "store");
    view.cloud = read_reachability(json, "cloud");
    view.store_s = read_age(json, "storeS");
    view.cloud_s = read_age(json, "cloudS");
    view.zones = read_links(json, "zones");
    view.peers = read_links(json, "peers");
    view.machines = read_machines(json, "machines");
    view.leader = read_name(json, "holder");
    if (const auto term = json.find("term"); term != json.end() && term->is_number_unsigned())
        view.term = term->get<std::uint64_t>();
    view.sees_leader = read_flag(json, "seesOffice");
    view.is_active_leader = read_flag(json, "acts");
    return view;
}

} // namespace heronshift::membership
