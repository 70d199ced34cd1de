/// @file
/// The state store as the scheduler uses it: keys with stamps, guarded transactions, leases, follow, as the
/// protocol's "Controller nodes -> state service" says. Errors are statuses, so that one caller serves every
/// implementation; see Answer.
#pragma once

#include "heronshift/codec.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/// State stores: the seam and its implementations.
namespace heronshift::store {

/// What a store says to a call.
struct Answer {
    /// 200 done; 404 no such key or lease; 409 a guard failed (the transaction did nothing); 400 not allowed, error
    /// says why; 410 the changes asked for are no longer kept; 429 above the limits; 503 surely not executed; 0 no
    /// answer: it may have been executed, or may be later, if sent; 502 an answer that cannot be read: it may have
    /// been executed.
    int status = 0;
    /// For status 0: whether the call may have reached the store.
    bool sent = false;
    /// What is wrong, for people; may be empty.
    std::string error;
    /// The store's revision: of a transaction, a page or a follow.
    std::uint64_t revision = 0;
    /// The lease that was granted or extended.
    std::uint64_t lease = 0;
    /// The item of a get.
    std::optional<codec::Item> item;
    /// The items of a list; the changes of a follow, deleted items marked.
    std::vector<codec::Item> items;
    /// A list goes on after the last of these items.
    bool more = false;
    /// The keys whose guards failed.
    std::vector<std::string> failed;
};
/// Takes an answer.
using Callback = std::function<void(Answer&&)>;

/// Asks for one item.
struct Get {
    /// Its key.
    std::string key;
};
/// Asks for a page of items, in key order.
struct List {
    /// The prefix of their keys.
    std::string under;
    /// The key after which the page begins; empty: the first.
    std::string since;
    /// Items at most.
    int most = 0;
};
/// Asks for changes that are made all or none, and only if all guards hold.
struct Transact {
    /// Stamps that keys must have; 0: there must be no such key.
    std::vector<codec::Guard> guards;
    /// The changes.
    std::vector<codec::Write> writes;
};
/// Asks for a lease, whose keys are deleted when it ends.
struct CreateLease {
    /// Its length, in seconds.
    double ttl_s = 0;
};
/// Asks for a lease's full time anew.
struct RenewLease {
    /// The lease.
    std::uint64_t lease = 0;
};
/// Asks for the end of a lease.
struct RevokeLease {
    /// The lease.
    std::uint64_t lease = 0;
};
/// Asks for changes as they come.
struct Follow {
    /// The prefix of the keys.
    std::string under;
    /// The revision after which they are wanted.
    std::uint64_t since = 0;
    /// For how long to wait for one, in seconds.
    double block_s = 0;
};
/// Any of these.
using Call = std::variant<Get, List, Transact, CreateLease, RenewLease, RevokeLease, Follow>;
/// The time for the answer to a follow beyond its own, in seconds.
inline constexpr double follow_slack_s = 2;

/// A state store. All calls are made on the loop's thread, and so are all callbacks, none before the call returns.
/// Every call is answered once, by timeout_s (seconds) at about the latest. After the store's end nothing is called.
/// Nothing throws: what fails is a status.
class StateStore {
public:
    StateStore() = default;
    StateStore(const StateStore&) = delete;
    StateStore& operator=(const StateStore&) = delete;
    virtual ~StateStore() = default;

    /// Reads one item: 200 or 404.
    void get(const std::string& key, double timeout_s, Callback done) {
        call(Get{key}, timeout_s, std::move(done));
    }
    /// Reads items in key order, after `since` if that is not empty; at most `most` items and 512 KiB.
    void list(const std::string& under, const std::string& since, int most, double timeout_s, Callback done) {
        call(List{under, since, most}, timeout_s, std::move(done));
    }
    /// Makes all changes or none: 200, or 409 if a guard failed.
    void transact(const std::vector<codec::Guard>& guards, const std::vector<codec::Write>& writes, double timeout_s,
                  Callback done) {
        call(Transact{guards, writes}, timeout_s, std::move(done));
    }
    /// Begins a lease of ttl_s seconds.
    void create_lease(double ttl_s, double timeout_s, Callback done) {
        call(CreateLease{ttl_s}, timeout_s, std::move(done));
    }
    /// Gives a lease its full time anew: 200, or 404 if it has ended.
    void renew_lease(std::uint64_t lease, double timeout_s, Callback done) {
        call(RenewLease{lease}, timeout_s, std::move(done));
    }
    /// Ends a lease and deletes its keys: 200, or 404 if it had ended.
    void revoke_lease(std::uint64_t lease, double timeout_s, Callback done) {
        call(RevokeLease{lease}, timeout_s, std::move(done));
    }
    /// Answers once a key under the prefix has changed after `since`, or with no items after block_s seconds or sooner.
    void follow(const std::string& under, std::uint64_t since, double block_s, Callback done) {
        call(Follow{under, since, block_s}, block_s + follow_slack_s, std::move(done));
    }
    /// Makes any of these calls.
    virtual void call(Call&& c, double timeout_s, Callback done) = 0;
    /// Times calls out; called about ten times a second.
    virtual void sweep() {}
};

} // namespace heronshift::store
