#include "heronshift/membership/peer_view.hpp"

#include "heronshift/codec.hpp"

namespace heronshift::membership {
namespace {

using codec::Json;

// Of each list, whatever a peer says: zones and controllers, of which there are a handful for any number of machines.
// What is beyond counts as not said.
constexpr std::size_t max_entries = 64;

// Bounds on what comes from outside: names are short.
constexpr std::size_t longest_name = 128;

const char* to_text(Reachability reachability) {
    return reachability == Reachability::reachable     ? "works"
           : reachability == Reachability::unreachable ? "lost"
                                                       : "unknown";
}

Reachability reach(const Json& json) {
    if (!json.is_string())
        return Reachability::unknown;
    const auto& s = json.get_ref<const std::string&>();
    return s == "works" ? Reachability::reachable : s == "lost" ? Reachability::unreachable : Reachability::unknown;
}

Json to_json(const std::map<std::string, Reachability>& all) {
    auto out = Json::object();
    for (const auto& [name, reachability] : all)
        out[name] = to_text(reachability);
    return out;
}

template <class F> void each(const Json& json, const char* field, F f) {
    const auto it = json.find(field);
    if (it == json.end() || !it->is_object())
        return;
    std::size_t n = 0;
    for (const auto& [name, value] : it->items()) {
        if (++n > max_entries)
            return;
        if (name.size() <= longest_name)
            f(name, value);
    }
}

std::string text(const Json& json, const char* field) {
    const auto it = json.find(field);
    return it != json.end() && it->is_string() && it->get_ref<const std::string&>().size() <= longest_name
               ? it->get<std::string>()
               : "";
}

bool flag(const Json& json, const char* field) {
    const auto it = json.find(field);
    return it != json.end() && it->is_boolean() && it->get<bool>();
}

} // namespace

std::string to_body(const PeerView& view) {
    return Json{{"node", view.node},
                {"sent", view.sent},
                {"store", to_text(view.store)},
                {"storeS", view.store_s},
                {"cloud", to_text(view.cloud)},
                {"cloudS", view.cloud_s},
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
    PeerView v;
    v.node = text(json, "node");
    if (v.node.empty())
        return {};
    const auto number = [&](const char* name, double& into) {
        if (const auto t = json.find(name); t != json.end() && t->is_number())
            into = t->get<double>();
    };
    number("sent", v.sent);
    number("storeS", v.store_s);
    number("cloudS", v.cloud_s);
    const auto field = [&](const char* name) {
        return json.contains(name) ? reach(json[name]) : Reachability::unknown;
    };
    v.store = field("store");
    v.cloud = field("cloud");
    each(json, "zones", [&](const std::string& name, const Json& r) { v.zones[name] = reach(r); });
    each(json, "peers", [&](const std::string& name, const Json& r) { v.peers[name] = reach(r); });
    each(json, "machines", [&](const std::string& zone, const Json& list) {
        if (!list.is_array())
            return;
        for (const auto& a : list)
            if (a.is_string() && a.get_ref<const std::string&>().size() <= longest_name &&
                v.machines[zone].size() < max_samples)
                v.machines[zone].push_back(a.get<std::string>());
    });
    v.leader = text(json, "holder");
    if (const auto t = json.find("term"); t != json.end() && t->is_number_unsigned())
        v.term = t->get<std::uint64_t>();
    v.sees_leader = flag(json, "seesOffice");
    v.is_active_leader = flag(json, "acts");
    return v;
}

} // namespace heronshift::membership
