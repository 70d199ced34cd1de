// The state service: items, transactions, leases and watches, both as client and as emulator.
#include "fields.hpp"

#include <fmt/format.h>

namespace heronshift::codec {

using fields::count;
using fields::field;
using fields::flag;
using fields::number;
using fields::text;

std::string txn(const std::vector<Guard>& guards, const std::vector<Write>& writes) {
    Json json = Json::array(), w = Json::array();
    for (const auto& guard : guards)
        json.push_back({{"k", guard.key}, {"stamp", guard.mod_revision}});
    for (const auto& write : writes) {
        if (!write.value) {
            w.push_back({{"delete", write.key}});
            continue;
        }
        Json e{{"set", write.key}, {"data", *write.value}};
        if (write.lease != 0)
            e["lease"] = write.lease;
        w.push_back(std::move(e));
    }
    Json j{{"guards", std::move(json)}};
    if (!writes.empty())
        j["writes"] = std::move(w);
    return j.dump();
}

std::optional<std::uint64_t> revision_of(std::string_view body) {
    const auto json = parse(body);
    std::uint64_t e = 0;
    if (!json.is_object() || !count(json, "epoch", e))
        return {};
    return e;
}

std::optional<std::vector<std::string>> failed_guards(std::string_view body) {
    const auto json = parse(body);
    if (!json.is_object())
        return {};
    const auto* list = field(json, "failed");
    if (list == nullptr || !list->is_array())
        return {};
    std::vector<std::string> out;
    for (const auto& e : *list)
        if (e.is_string())
            out.push_back(e.get<std::string>());
    return out;
}

namespace {
std::optional<Item> read_item(const Json& json, const char* key_name) {
    if (!json.is_object())
        return {};
    Item i;
    i.key = text(json, key_name);
    if (i.key.empty() || !count(json, "stamp", i.mod_revision))
        return {};
    if (const auto* v = field(json, "data"); v != nullptr)
        i.value = *v;
    count(json, "lease", i.lease);
    return i;
}
} // namespace

std::optional<Item> item(std::string_view body) {
    return read_item(parse(body), "k");
}

std::optional<Page> page(std::string_view body) {
    const auto json = parse(body);
    if (!json.is_object())
        return {};
    const auto* list = field(json, "entries");
    Page p;
    if (list == nullptr || !list->is_array() || !count(json, "epoch", p.revision))
        return {};
    p.more = flag(json, "more");
    for (const auto& e : *list) {
        auto i = read_item(e, "k");
        if (!i)
            return {};
        p.items.push_back(std::move(*i));
    }
    return p;
}

std::optional<Page> events(std::string_view body) {
    const auto json = parse(body);
    if (!json.is_object())
        return {};
    const auto* list = field(json, "events");
    Page p;
    if (!count(json, "epoch", p.revision))
        return {};
    if (list == nullptr)
        return p;
    if (!list->is_array())
        return {};
    for (const auto& e : *list) {
        const bool gone = e.is_object() && e.contains("delete");
        auto i = read_item(e, gone ? "delete" : "set");
        if (!i)
            return {};
        i->deleted = gone;
        p.items.push_back(std::move(*i));
    }
    return p;
}

std::string lease_request(double ttl_s) {
    return Json{{"ttlMs", static_cast<std::uint64_t>(ttl_s * 1000)}}.dump();
}

std::optional<std::uint64_t> lease_of(std::string_view body) {
    const auto json = parse(body);
    std::uint64_t h = 0;
    if (!json.is_object() || !count(json, "lease", h))
        return {};
    return h;
}

namespace {
Json item_json(const Item& i) {
    Json json{{"k", i.key}, {"data", i.value}, {"stamp", i.mod_revision}};
    if (i.lease != 0)
        json["lease"] = i.lease;
    return json;
}
} // namespace

std::string item_answer(const Item& i) {
    return item_json(i).dump();
}

std::string page_answer(const Page& p) {
    auto list = Json::array();
    for (const auto& i : p.items)
        list.push_back(item_json(i));
    return Json{{"entries", std::move(list)}, {"more", p.more}, {"epoch", p.revision}}.dump();
}

std::string events_answer(const Page& p) {
    auto list = Json::array();
    for (const auto& i : p.items) {
        if (i.deleted)
            list.push_back({{"delete", i.key}, {"stamp", i.mod_revision}});
        else
            list.push_back({{"set", i.key}, {"data", i.value}, {"stamp", i.mod_revision}});
    }
    return Json{{"epoch", p.revision}, {"events", std::move(list)}}.dump();
}

std::string revision_answer(std::uint64_t revision) {
    return Json{{"epoch", revision}}.dump();
}

std::string failed_answer(const std::vector<std::string>& failed, std::uint64_t revision) {
    return Json{{"failed", failed}, {"epoch", revision}}.dump();
}

std::string lease_answer(std::uint64_t lease) {
    return Json{{"lease", lease}}.dump();
}

std::optional<TxnRequest> txn_request(std::string_view body) {
    const auto json = parse(body);
    if (!json.is_object())
        return {};
    TxnRequest t;
    if (const auto* list = field(json, "guards"); list != nullptr) {
        if (!list->is_array())
            return {};
        for (const auto& e : *list) {
            Guard guard;
            if (!e.is_object() || !count(e, "stamp", guard.mod_revision))
                return {};
            guard.key = text(e, "k");
            t.guards.push_back(std::move(guard));
        }
    }
    if (const auto* list = field(json, "writes"); list != nullptr) {
        if (!list->is_array())
            return {};
        for (const auto& e : *list) {
            if (!e.is_object())
                return {};
            Write write;
            if (e.contains("delete")) {
                write.key = text(e, "delete");
            } else {
                if (!e.contains("data"))
                    return {};
                write.key = text(e, "set");
                write.value = e["data"];
                if (e.contains("lease") && !count(e, "lease", write.lease))
                    return {};
            }
            t.writes.push_back(std::move(write));
        }
    }
    return t;
}

std::optional<std::int64_t> ttl_ms_of(std::string_view body) {
    const auto json = parse(body);
    std::uint64_t n = 0;
    if (!json.is_object() || !count(json, "ttlMs", n) || n > 1'000'000'000)
        return {};
    return static_cast<std::int64_t>(n);
}

std::string store_error(std::string_view body) {
    const auto json = parse(body);
    return json.is_object() ? text(json, "error") : std::string();
}

} // namespace heronshift::codec
