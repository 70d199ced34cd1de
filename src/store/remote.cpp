#include "store/remote.hpp"

#include "overloaded.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace heronshift::store {
namespace {

constexpr std::size_t max_connections = 8, max_waiting = 200, max_follow_connections = 2, max_follows_waiting = 4;
constexpr double max_block_s = 60; // the state service refuses a longer wait

// Marks an answer that cannot be parsed with status 502: the call may have been executed.
void mark_unreadable(Answer& answer) {
    answer.status = 502;
    answer.error = "the answer cannot be parsed";
}

void read_item(const std::string& body, Answer& answer) {
    if (answer.status != 200)
        return;
    answer.item = codec::item(body);
    if (!answer.item)
        mark_unreadable(answer);
}

void read_items(std::optional<codec::Page>&& page, Answer& answer) {
    if (!page)
        return mark_unreadable(answer);
    answer.items = std::move(page->items);
    answer.more = page->more;
    answer.revision = page->revision;
}

void read_page(const std::string& body, Answer& answer) {
    if (answer.status == 200)
        read_items(codec::page(body), answer);
}

void read_events(const std::string& body, Answer& answer) {
    if (answer.status == 200)
        read_items(codec::events(body), answer);
}

void read_outcome(const std::string& body, Answer& answer) {
    if (answer.status == 409)
        answer.failed = codec::failed_guards(body).value_or(std::vector<std::string>());
    if (answer.status != 200)
        return;
    const auto revision = codec::revision_of(body);
    if (!revision)
        return mark_unreadable(answer);
    answer.revision = *revision;
}

void read_lease(const std::string& body, Answer& answer) {
    if (answer.status != 200)
        return;
    const auto lease = codec::lease_of(body);
    if (!lease)
        return mark_unreadable(answer);
    answer.lease = *lease;
}

} // namespace

RemoteStore::RemoteStore(uv_loop_t* loop, const Endpoint& at)
    : address_(at.str()), calls_(loop, max_connections, max_waiting),
      follows_(loop, max_follow_connections, max_follows_waiting) {}

void RemoteStore::call(Call&& call, double timeout_s, Callback done) {
    using Read = void (*)(const std::string& body, Answer& answer);
    const auto send_request = [&](HttpClient& client, const char* method, const std::string& path, std::string body,
                                  Read read) {
        client.request(address_, method, path, std::move(body), timeout_s,
                       [read, done = std::move(done)](HttpReply&& reply) {
                           Answer answer;
                           answer.status = reply.status;
                           answer.sent = reply.sent;
                           if (reply.status >= 400)
                               answer.error = codec::store_error(reply.body);
                           if (read != nullptr)
                               read(reply.body, answer);
                           done(std::move(answer));
                       });
    };
    const auto lease_path = [](std::uint64_t lease) { return fmt::format("{}/{}", codec::path_leases, lease); };
    std::visit(Overloaded{
                   [&](const Get& c) {
                       send_request(calls_, "GET", fmt::format("{}/{}", codec::path_store, c.key), "", read_item);
                   },
                   [&](const List& c) {
                       auto path = fmt::format("{}?under={}&most={}", codec::path_store, c.under, c.most);
                       if (!c.since.empty())
                           path += "&since=" + c.since;
                       send_request(calls_, "GET", path, "", read_page);
                   },
                   [&](const Transact& c) {
                       send_request(calls_, "POST", std::string(codec::path_txn), codec::txn(c.guards, c.writes),
                                    read_outcome);
                   },
                   [&](const CreateLease& c) {
                       send_request(calls_, "POST", std::string(codec::path_leases), codec::lease_request(c.ttl_s),
                                    read_lease);
                   },
                   [&](const RenewLease& c) {
                       send_request(calls_, "POST", lease_path(c.lease) + "/" + std::string(codec::suffix_renew), "{}",
                                    nullptr);
                   },
                   [&](const RevokeLease& c) { send_request(calls_, "DELETE", lease_path(c.lease), "", nullptr); },
                   [&](const Follow& c) {
                       // Limited because block_s depends on the lease time: with leases of three minutes the state
                       // service would refuse every follow, and the leader would never see the jobs that other nodes
                       // have stored.
                       const double block_s = std::min(c.block_s, max_block_s);
                       timeout_s -= c.block_s - block_s;
                       send_request(follows_, "GET",
                                    fmt::format("{}?under={}&since={}&blockMs={}", codec::path_follow, c.under, c.since,
                                                static_cast<int>(block_s * 1000)),
                                    "", read_events);
                   },
               },
               call);
}

} // namespace heronshift::store
