#include "heronshift/store/remote.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace heronshift::store {
namespace {

constexpr std::size_t connections = 8, waiting = 200, follow_connections = 2, follow_waiting = 4;
constexpr double follow_slack_s = 2;
constexpr double longest_block_s = 60; // the state service refuses a longer one

// An answer that cannot be read is none: what was asked for may have been done.
void unreadable(Answer& a) {
    a.status = 502;
    a.error = "an answer that cannot be read";
}

void read_epoch(const std::string& body, Answer& a) {
    if (a.status != 200) return;
    const auto epoch = codec::epoch_of(body);
    if (!epoch) return unreadable(a);
    a.epoch = *epoch;
}

void read_hold(const std::string& body, Answer& a) {
    if (a.status != 200) return;
    const auto hold = codec::hold_of(body);
    if (!hold) return unreadable(a);
    a.lease = *hold;
}

} // namespace

RemoteStore::RemoteStore(uv_loop_t* loop, const Endpoint& at)
    : at_(at.str()), calls_(loop, connections, waiting), follows_(loop, follow_connections, follow_waiting) {}

void RemoteStore::request(const char* method, const std::string& path, std::string body, double timeout_s,
                          std::function<void(const std::string& body, Answer& a)> read, Callback done) {
    calls_.request(at_, method, path, std::move(body), timeout_s,
                   [read = std::move(read), done = std::move(done)](HttpReply&& r) {
                       Answer a;
                       a.status = r.status;
                       a.sent = r.sent;
                       if (r.status >= 400) a.error = codec::store_error(r.body);
                       read(r.body, a);
                       done(std::move(a));
                   });
}

void RemoteStore::get(const std::string& key, double timeout_s, Callback done) {
    request(
        "GET", fmt::format("{}/{}", codec::path_store, key), "", timeout_s,
        [](const std::string& body, Answer& a) {
            if (a.status != 200) return;
            a.item = codec::item(body);
            if (!a.item) unreadable(a);
        },
        std::move(done));
}

void RemoteStore::list(const std::string& under, const std::string& since, int most, double timeout_s, Callback done) {
    auto path = fmt::format("{}?under={}&most={}", codec::path_store, under, most);
    if (!since.empty()) path += "&since=" + since;
    request(
        "GET", path, "", timeout_s,
        [](const std::string& body, Answer& a) {
            if (a.status != 200) return;
            auto page = codec::page(body);
            if (!page) return unreadable(a);
            a.items = std::move(page->items);
            a.more = page->more;
            a.epoch = page->epoch;
        },
        std::move(done));
}

void RemoteStore::transact(const std::vector<codec::Guard>& guards, const std::vector<codec::Write>& writes,
                           double timeout_s, Callback done) {
    request(
        "POST", std::string(codec::path_txn), codec::txn(guards, writes), timeout_s,
        [](const std::string& body, Answer& a) {
            read_epoch(body, a);
            if (a.status == 409) a.failed = codec::failed_guards(body).value_or(std::vector<std::string>());
        },
        std::move(done));
}

void RemoteStore::hold(double ttl_s, double timeout_s, Callback done) {
    request("POST", std::string(codec::path_holds), codec::hold_request(ttl_s), timeout_s, read_hold, std::move(done));
}

void RemoteStore::extend(std::uint64_t hold, double timeout_s, Callback done) {
    request(
        "POST", fmt::format("{}/{}/{}", codec::path_holds, hold, codec::suffix_extend), "{}", timeout_s,
        [](const std::string& /*body*/, Answer& /*a*/) {}, std::move(done));
}

void RemoteStore::end_hold(std::uint64_t hold, double timeout_s, Callback done) {
    request(
        "DELETE", fmt::format("{}/{}", codec::path_holds, hold), "", timeout_s,
        [](const std::string& /*body*/, Answer& /*a*/) {}, std::move(done));
}

void RemoteStore::follow(const std::string& under, std::uint64_t since, double block_s, Callback done) {
    // With leases of three minutes every follow was refused, and the holder never heard of the jobs that
    // other nodes had stored.
    block_s = std::min(block_s, longest_block_s);
    follows_.request(at_, "GET",
                     fmt::format("{}?under={}&since={}&blockMs={}", codec::path_follow, under, since,
                                 static_cast<int>(block_s * 1000)),
                     "", block_s + follow_slack_s, [done = std::move(done)](HttpReply&& r) {
                         Answer a;
                         a.status = r.status;
                         a.sent = r.sent;
                         if (r.status == 200) {
                             if (auto page = codec::events(r.body); page) {
                                 a.items = std::move(page->items);
                                 a.epoch = page->epoch;
                             } else {
                                 unreadable(a);
                             }
                         }
                         done(std::move(a));
                     });
}

} // namespace heronshift::store
