// Messages of the store: items, transactions, leases and watches, for clients of the store and for servers.
#include "fields.hpp"

#include <fmt/format.h>

namespace heronshift::codec {

std::string txn(const std::vector<Guard>& guards, const std::vector<Write>& writes) {
    auto guard_list = Json::array();
    for (const auto& guard : guards)
        guard_list.push_back({{wire::key, guard.key}, {wire::mod_revision, guard.mod_revision}});
    auto write_list = Json::array();
    for (const auto& write : writes) {
        if (!write.value) {
            write_list.push_back({{wire::erase, write.key}});
            continue;
        }
        Json put{{wire::put, write.key}, {wire::value, *write.value}};
        if (write.lease != 0)
            put[wire::lease] = write.lease;
        write_list.push_back(std::move(put));
    }
    Json json{{wire::guards, std::move(guard_list)}};
    if (!writes.empty())
        json[wire::writes] = std::move(write_list);
    return json.dump();
}

std::optional<std::uint64_t> revision_of(std::string_view body) {
    const auto json = parse(body);
    std::uint64_t revision = 0;
    if (!count(json, wire::revision, revision))
        return {};
    return revision;
}

std::optional<std::vector<std::string>> failed_guards(std::string_view body) {
    const auto json = parse(body);
    const auto* list = array_field(json, wire::failed_guards);
    if (list == nullptr)
        return {};
    std::vector<std::string> keys;
    for (const auto& key : *list)
        if (key.is_string())
            keys.push_back(key.get<std::string>());
    return keys;
}

namespace {
std::optional<Item> read_item(const Json& json, const char* key_name) {
    if (!json.is_object())
        return {};
    Item item;
    item.key = text(json, key_name);
    if (item.key.empty() || !count(json, wire::mod_revision, item.mod_revision))
        return {};
    if (const auto* value = field(json, wire::value); value != nullptr)
        item.value = *value;
    count(json, wire::lease, item.lease);
    return item;
}
} // namespace

std::optional<Item> item(std::string_view body) {
    return read_item(parse(body), wire::key);
}

std::optional<Page> page(std::string_view body) {
    const auto json = parse(body);
    if (!json.is_object())
        return {};
    const auto* list = field(json, wire::items);
    Page page;
    if (list == nullptr || !list->is_array() || !count(json, wire::revision, page.revision))
        return {};
    page.more = flag(json, wire::more);
    for (const auto& entry : *list) {
        auto item = read_item(entry, wire::key);
        if (!item)
            return {};
        page.items.push_back(std::move(*item));
    }
    return page;
}

std::optional<Page> events(std::string_view body) {
    const auto json = parse(body);
    if (!json.is_object())
        return {};
    const auto* list = field(json, wire::changes);
    Page page;
    if (!count(json, wire::revision, page.revision))
        return {};
    if (list == nullptr)
        return page;
    if (!list->is_array())
        return {};
    for (const auto& entry : *list) {
        const bool is_deletion = entry.is_object() && entry.contains(wire::erase);
        auto item = read_item(entry, is_deletion ? wire::erase : wire::put);
        if (!item)
            return {};
        item->deleted = is_deletion;
        page.items.push_back(std::move(*item));
    }
    return page;
}

std::string lease_request(double ttl_s) {
    return Json{{wire::ttl_ms, static_cast<std::uint64_t>(ttl_s * 1000)}}.dump();
}

std::optional<std::uint64_t> lease_of(std::string_view body) {
    const auto json = parse(body);
    std::uint64_t lease = 0;
    if (!count(json, wire::lease, lease))
        return {};
    return lease;
}

namespace {
Json item_json(const Item& item) {
    Json json{{wire::key, item.key}, {wire::value, item.value}, {wire::mod_revision, item.mod_revision}};
    if (item.lease != 0)
        json[wire::lease] = item.lease;
    return json;
}
} // namespace

std::string item_answer(const Item& item) {
    return item_json(item).dump();
}

std::string page_answer(const Page& page) {
    auto list = Json::array();
    for (const auto& item : page.items)
        list.push_back(item_json(item));
    return Json{{wire::items, std::move(list)}, {wire::more, page.more}, {wire::revision, page.revision}}.dump();
}

std::string events_answer(const Page& page) {
    auto list = Json::array();
    for (const auto& item : page.items) {
        if (item.deleted)
            list.push_back({{wire::erase, item.key}, {wire::mod_revision, item.mod_revision}});
        else
            list.push_back({{wire::put, item.key}, {wire::value, item.value}, {wire::mod_revision, item.mod_revision}});
    }
    return Json{{wire::revision, page.revision}, {wire::changes, std::move(list)}}.dump();
}

std::string revision_answer(std::uint64_t revision) {
    return Json{{wire::revision, revision}}.dump();
}

std::string failed_answer(const std::vector<std::string>& failed, std::uint64_t revision) {
    return Json{{wire::failed_guards, failed}, {wire::revision, revision}}.dump();
}

std::string lease_answer(std::uint64_t lease) {
    return Json{{wire::lease, lease}}.dump();
}

namespace {

std::optional<Guard> read_guard(const Json& json) {
    Guard guard;
    if (!json.is_object() || !count(json, wire::mod_revision, guard.mod_revision))
        return {};
    guard.key = text(json, wire::key);
    return guard;
}

std::optional<Write> read_write(const Json& json) {
    if (!json.is_object())
        return {};
    Write write;
    if (json.contains(wire::erase)) {
        write.key = text(json, wire::erase);
        return write;
    }
    if (!json.contains(wire::value))
        return {};
    write.key = text(json, wire::put);
    write.value = json[wire::value];
    if (json.contains(wire::lease) && !count(json, wire::lease, write.lease))
        return {};
    return write;
}

} // namespace

std::optional<TxnRequest> txn_request(std::string_view body) {
    const auto json = parse(body);
    if (!json.is_object())
        return {};
    TxnRequest request;
    if (!read_list(json, wire::guards, read_guard, request.guards) ||
        !read_list(json, wire::writes, read_write, request.writes))
        return {};
    return request;
}

std::optional<std::int64_t> ttl_ms_of(std::string_view body) {
    constexpr std::uint64_t max_ttl_ms = 1'000'000'000;
    const auto json = parse(body);
    std::uint64_t ttl_ms = 0;
    if (!json.is_object() || !count(json, wire::ttl_ms, ttl_ms) || ttl_ms > max_ttl_ms)
        return {};
    return static_cast<std::int64_t>(ttl_ms);
}

std::string store_error(std::string_view body) {
    const auto json = parse(body);
    return json.is_object() ? text(json, wire::error) : std::string();
}

} // namespace heronshift::codec
