/// @file
/// The state store that the scheduler uses: keys with modification revisions, guarded transactions, leases and follow
/// calls that watch for changes, as specified in the protocol under "Controller nodes -> state service". Errors are
/// reported as status codes, so that callers treat all implementations alike; see Answer.
#pragma once

#include "heronshift/codec.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/// The interface of state stores and its implementations.
namespace heronshift::store {

/// A store's answer to a call.
struct Answer {
    /// 200: success; 404: no such key or lease; 409: a guard did not hold, and the transaction was not applied; 400:
    /// the call is not allowed, for the reason in `error`; 410: the requested changes are no longer kept; 429: limits
    /// exceeded; 503: the call was certainly not executed; 0: there was no answer, and if `sent` is true, the call may
    /// have been executed or may still be; 502: the answer is malformed, and the call may have been executed.
    int status = 0;
    /// With status 0: whether the call may have reached the store.
    bool sent = false;
    /// An error message for people; may be empty.
    std::string error;
    /// The store's revision, in answers to Transact, List and Follow.
    std::uint64_t revision = 0;
    /// The lease that was created or renewed.
    std::uint64_t lease = 0;
    /// The item requested by Get.
    std::optional<codec::Item> item;
    /// The items requested by List, or the changes requested by Follow, in which deleted items are marked.
    std::vector<codec::Item> items;
    /// There are more items after the last one of this page.
    bool more = false;
    /// The keys whose guards did not hold.
    std::vector<std::string> failed;
};
/// Receives the answer to a call.
using Callback = std::function<void(Answer&&)>;

/// Reads one item.
struct Get {
    /// The key of the item.
    std::string key;
};
/// Reads a page of items, in key order.
struct List {
    /// The prefix of the keys.
    std::string under;
    /// The page begins after this key; empty: at the first key with the prefix.
    std::string since;
    /// Maximum number of items.
    int most = 0;
};
/// Applies all writes atomically if all guards hold, otherwise none.
struct Transact {
    /// Modification revisions that keys must have; 0: the key must not exist.
    std::vector<codec::Guard> guards;
    /// The writes to apply.
    std::vector<codec::Write> writes;
};
/// Creates a lease. The keys attached to it are deleted when it ends.
struct CreateLease {
    /// Duration of the lease, in seconds.
    double ttl_s = 0;
};
/// Renews a lease for its full duration.
struct RenewLease {
    /// The id of the lease.
    std::uint64_t lease = 0;
};
/// Ends a lease before it expires.
struct RevokeLease {
    /// The id of the lease.
    std::uint64_t lease = 0;
};
/// Waits for changes to keys.
struct Follow {
    /// The prefix of the keys.
    std::string under;
    /// Only changes after this revision are returned.
    std::uint64_t since = 0;
    /// How long to wait for a change, in seconds.
    double block_s = 0;
};
/// A call to the store.
using Call = std::variant<Get, List, Transact, CreateLease, RenewLease, RevokeLease, Follow>;
/// Time that the answer to a Follow may take beyond its block_s, in seconds.
inline constexpr double follow_slack_s = 2;

/// A state store. All calls are made on the loop's thread. Callbacks are called on the same thread, never before the
/// call returns. Every call is answered exactly once, not much later than timeout_s seconds after it. After the store
/// has been destroyed no callback is called. Nothing throws: failures are reported as statuses.
class StateStore {
public:
    StateStore() = default;
    StateStore(const StateStore&) = delete;
    StateStore& operator=(const StateStore&) = delete;
    virtual ~StateStore() = default;

    /// Reads one item. Status 200, or 404 if the key does not exist.
    void get(const std::string& key, double timeout_s, Callback done) {
        call(Get{key}, timeout_s, std::move(done));
    }
    /// Reads items with the prefix `under` in key order, after `since` if that is not empty. Returns at most `most`
    /// items and 512 KiB.
    void list(const std::string& under, const std::string& since, int most, double timeout_s, Callback done) {
        call(List{under, since, most}, timeout_s, std::move(done));
    }
    /// Applies all writes or none. Status 200, or 409 if a guard did not hold.
    void transact(const std::vector<codec::Guard>& guards, const std::vector<codec::Write>& writes, double timeout_s,
                  Callback done) {
        call(Transact{guards, writes}, timeout_s, std::move(done));
    }
    /// Creates a lease of ttl_s seconds.
    void create_lease(double ttl_s, double timeout_s, Callback done) {
        call(CreateLease{ttl_s}, timeout_s, std::move(done));
    }
    /// Renews a lease for its full duration. Status 200, or 404 if it has ended.
    void renew_lease(std::uint64_t lease, double timeout_s, Callback done) {
        call(RenewLease{lease}, timeout_s, std::move(done));
    }
    /// Ends a lease and deletes its keys. Status 200, or 404 if it had already ended.
    void revoke_lease(std::uint64_t lease, double timeout_s, Callback done) {
        call(RevokeLease{lease}, timeout_s, std::move(done));
    }
    /// Waits until a key with the prefix `under` has changed after the revision `since`. Answers without items if none
    /// has changed within block_s seconds, or sooner.
    void follow(const std::string& under, std::uint64_t since, double block_s, Callback done) {
        call(Follow{under, since, block_s}, block_s + follow_slack_s, std::move(done));
    }
    /// Makes the call `c`. The functions above all end here.
    virtual void call(Call&& c, double timeout_s, Callback done) = 0;
    /// Ends calls that have exceeded their timeouts. Called about ten times per second.
    virtual void sweep() {}
};

} // namespace heronshift::store
