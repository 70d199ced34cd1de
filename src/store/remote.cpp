#include "heronshift/store/remote.hpp"

#include "heronshift/overloaded.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace heronshift::store {
namespace {

constexpr std::size_t connections = 8, waiting = 200, follow_connections = 2, follow_waiting = 4;
constexpr double max_block_s = 60; // the state service refuses a longer one

// An answer that cannot be read is none: what was asked for may have been done.
void unreadable(Answer& a) {
    a.status = 502;
    a.error = "an answer that cannot be read";
}

void read_item(const std::string& body, Answer& a) {
    if (a.status != 200)
        return;
    a.item = codec::item(body);
    if (!a.item)
        unreadable(a);
}

void read_items(std::optional<codec::Page>&& page, Answer& a) {
    if (!page)
        return unreadable(a);
    a.items = std::move(page->items);
    a.more = page->more;
    a.revision = page->revision;
}

void read_page(const std::string& body, Answer& a) {
    if (a.status == 200)
        read_items(codec::page(body), a);
}

void read_events(const std::string& body, Answer& a) {
    if (a.status == 200)
        read_items(codec::events(body), a);
}

void read_outcome(const std::string& body, Answer& a) {
    if (a.status == 409)
        a.failed = codec::failed_guards(body).value_or(std::vector<std::string>());
    if (a.status != 200)
        return;
    const auto revision = codec::revision_of(body);
    if (!revision)
        return unreadable(a);
    a.revision = *revision;
}

void read_lease(const std::string& body, Answer& a) {
    if (a.status != 200)
        return;
    const auto lease = codec::lease_of(body);
    if (!lease)
        return unreadable(a);
    a.lease = *lease;
}

} // namespace

RemoteStore::RemoteStore(uv_loop_t* loop, const Endpoint& at)
    : at_(at.str()), calls_(loop, connections, waiting), follows_(loop, follow_connections, follow_waiting) {}

void RemoteStore::call(Call&& call, double timeout_s, Callback done) {
    using Read = void (*)(const std::string& body, Answer& a);
    const auto ask = [&](HttpClient& by, const char* method, const std::string& path, std::string body, Read read) {
        by.request(at_, method, path, std::move(body), timeout_s, [read, done = std::move(done)](HttpReply&& r) {
            Answer a;
            a.status = r.status;
            a.sent = r.sent;
            if (r.status >= 400)
                a.error = codec::store_error(r.body);
            if (read != nullptr)
                read(r.body, a);
            done(std::move(a));
        });
    };
    const auto lease_path = [](std::uint64_t lease) { return fmt::format("{}/{}", codec::path_leases, lease); };
    std::visit(
        Overloaded{
            [&](const Get& c) { ask(calls_, "GET", fmt::format("{}/{}", codec::path_store, c.key), "", read_item); },
            [&](const List& c) {
                auto path = fmt::format("{}?under={}&most={}", codec::path_store, c.under, c.most);
                if (!c.since.empty())
                    path += "&since=" + c.since;
                ask(calls_, "GET", path, "", read_page);
            },
            [&](const Transact& c) {
                ask(calls_, "POST", std::string(codec::path_txn), codec::txn(c.guards, c.writes), read_outcome);
            },
            [&](const CreateLease& c) {
                ask(calls_, "POST", std::string(codec::path_leases), codec::lease_request(c.ttl_s), read_lease);
            },
            [&](const RenewLease& c) {
                ask(calls_, "POST", lease_path(c.lease) + "/" + std::string(codec::suffix_renew), "{}", nullptr);
            },
            [&](const RevokeLease& c) { ask(calls_, "DELETE", lease_path(c.lease), "", nullptr); },
            [&](const Follow& c) {
                // With leases of three minutes every follow was refused, and the leader never heard of the jobs
                // that other nodes had stored.
                const double block_s = std::min(c.block_s, max_block_s);
                timeout_s -= c.block_s - block_s;
                ask(follows_, "GET",
                    fmt::format("{}?under={}&since={}&blockMs={}", codec::path_follow, c.under, c.since,
                                static_cast<int>(block_s * 1000)),
                    "", read_events);
            },
        },
        call);
}

} // namespace heronshift::store
