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

const char* to_text(Reachability r) {
    return r == Reachability::reachable ? "works" : r == Reachability::unreachable ? "lost" : "unknown";
}

Reachability reach(const Json& j) {
    if (!j.is_string())
        return Reachability::unknown;
    const auto& s = j.get_ref<const std::string&>();
    return s == "works" ? Reachability::reachable : s == "lost" ? Reachability::unreachable : Reachability::unknown;
}

Json to_json(const std::map<std::string, Reachability>& all) {
    auto out = Json::object();
    for (const auto& [name, r] : all)
        out[name] = to_text(r);
    return out;
}

template <class F> void each(const Json& j, const char* field, F f) {
    const auto it = j.find(field);
    if (it == j.end() || !it->is_object())
        return;
    std::size_t n = 0;
    for (const auto& [name, value] : it->items()) {
        if (++n > max_entries)
            return;
        if (name.size() <= longest_name)
            f(name, value);
    }
}

std::string text(const Json& j, const char* field) {
    const auto it = j.find(field);
    return it != j.end() && it->is_string() && it->get_ref<const std::string&>().size() <= longest_name
               ? it->get<std::string>()
               : "";
}

bool flag(const Json& j, const char* field) {
    const auto it = j.find(field);
    return it != j.end() && it->is_boolean() && it->get<bool>();
}

} // namespace

std::string to_body(const PeerView& v) {
    return Json{{"node", v.node},
                {"sent", v.sent},
                {"store", to_text(v.store)},
                {"storeS", v.store_s},
                {"cloud", to_text(v.cloud)},
                {"cloudS", v.cloud_s},
                {"zones", to_json(v.zones)},
                {"peers", to_json(v.peers)},
                {"machines", v.machines},
                {"holder", v.leader},
                {"term", v.term},
                {"seesOffice", v.sees_leader},
                {"acts", v.is_active_leader}}
        .dump();
}

std::optional<PeerView> view(std::string_view body) {
    const auto j = codec::parse(body);
    if (!j.is_object())
        return {};
    PeerView v;
    v.node = text(j, "node");
    if (v.node.empty())
        return {};
    const auto number = [&](const char* name, double& into) {
        if (const auto t = j.find(name); t != j.end() && t->is_number())
            into = t->get<double>();
    };
    number("sent", v.sent);
    number("storeS", v.store_s);
    number("cloudS", v.cloud_s);
    const auto field = [&](const char* name) { return j.contains(name) ? reach(j[name]) : Reachability::unknown; };
    v.store = field("store");
    v.cloud = field("cloud");
    each(j, "zones", [&](const std::string& name, const Json& r) { v.zones[name] = reach(r); });
    each(j, "peers", [&](const std::string& name, const Json& r) { v.peers[name] = reach(r); });
    each(j, "machines", [&](const std::string& zone, const Json& list) {
        if (!list.is_array())
            return;
        for (const auto& a : list)
            if (a.is_string() && a.get_ref<const std::string&>().size() <= longest_name &&
                v.machines[zone].size() < max_samples)
                v.machines[zone].push_back(a.get<std::string>());
    });
    v.leader = text(j, "holder");
    if (const auto t = j.find("term"); t != j.end() && t->is_number_unsigned())
        v.term = t->get<std::uint64_t>();
    v.sees_leader = flag(j, "seesOffice");
    v.is_active_leader = flag(j, "acts");
    return v;
}

} // namespace heronshift::membership
