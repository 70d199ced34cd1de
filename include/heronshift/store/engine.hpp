// The operations of a state store, without threads, network or clock. The caller passes the current time, in
// milliseconds of a steady clock that all users of the same data share.
//
// Engine validates requests and enforces the limits. The data itself is behind the interface Data, which is implemented
// in memory (memory_data(), for tests and emulators) and in an SQLite file on one machine (store/file_data.hpp).
#pragma once

#include "heronshift/store/store.hpp"

#include <deque>
#include <map>
#include <memory>
#include <stdexcept>

namespace heronshift::store {

// Limits on requests, as in Settings.
struct Limits {
    double rps = 0, write_rps = 0; // requests and changes per second; 0: no limit
    int txn_ops = 16;              // changes in one transaction
    double value_kb = 16;          // length of a value, in KiB
};

// Number of changes that are kept for follow calls. Changes occur at a rate of at most write_rps, however many machines
// there are, so at 40 per second a reader may lag by 250 s. A reader that lags further is answered 410 and has to read
// all keys again.
inline constexpr std::size_t kept_changes = 10'000;
// Limits in bytes on a key, a transaction and a page, and in items on a page. A caller that lists items requests the
// next page as long as the answer says that there are more.
inline constexpr std::size_t max_key = 200, max_txn = 64UL * 1024, max_page = 512UL * 1024, max_items = 1000;
// Bounds on the duration of a lease.
inline constexpr std::int64_t min_lease_ms = 100, max_lease_ms = 600'000;

// The data cannot be used, at present or at all. The message names the file and the reason.
struct StoreError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// A change to a key, by a write or a deletion.
struct Change {
    std::string key;
    std::optional<std::string> data; // JSON; none: deleted
    std::uint64_t mod_revision = 0;
};

// Storage for the keys, changes and leases. All functions may throw StoreError, after which no change since begin() is
// in effect.
class Data {
public:
    virtual ~Data() = default;
    struct Row {
        std::string data;
        std::uint64_t mod_revision = 0, lease = 0;
    };
    // Calls between begin() and commit() form a transaction, which is atomic and, where the data is in a file, durable.
    // commit() returns false if it is unknown whether the transaction was applied. abandon() rolls an open transaction
    // back.
    virtual void begin() = 0;
    virtual bool commit() = 0;
    virtual void abandon() = 0;

    virtual std::uint64_t revision() = 0;
    virtual std::uint64_t next_revision() = 0; // increments the revision and returns it
    virtual std::optional<Row> get(const std::string& key) = 0;
    // Calls `callback` for the keys with the prefix `under` that come after `since`, in key order, until it returns
    // false.
    virtual void each(const std::string& under, const std::string& since,
                      const std::function<bool(const std::string&, const Row&)>& callback) = 0;
    virtual void put(const std::string& key, const Row& row) = 0;
    virtual void erase(const std::string& key) = 0;
    virtual void add_change(const Change& c) = 0; // drops the oldest if there are more than kept_changes
    // The changes after the revision `since` to keys with the prefix `under`; nothing if changes after `since` have
    // already been dropped.
    virtual std::optional<std::vector<Change>> changes(const std::string& under, std::uint64_t since) = 0;

    struct Lease {
        std::int64_t ttl_ms = 0, ends_ms = 0;
    };
    virtual std::uint64_t add_lease(const Lease& h) = 0;
    virtual std::optional<Lease> get_lease(std::uint64_t id) = 0;
    virtual void set_lease(std::uint64_t id, const Lease& h) = 0;
    virtual void erase_lease(std::uint64_t id) = 0;
    virtual std::vector<std::uint64_t> expired_leases(std::int64_t now_ms) = 0;
    virtual std::vector<std::string> keys_of(std::uint64_t lease) = 0;
    // Whether other users of the same data may have changed it since the last call.
    virtual bool changed_by_others() = 0;
};

class Engine {
public:
    Engine(std::unique_ptr<Data> data, Limits limits);

    Data& data() {
        return *data_;
    }
    // get() to revoke_lease() have to be called between data().begin() and data().commit().
    Answer get(const std::string& key, std::int64_t now_ms);
    Answer list(const std::string& under, const std::string& since, int most, std::int64_t now_ms);
    Answer transact(const std::vector<codec::Guard>& guards, const std::vector<codec::Write>& writes,
                    std::int64_t now_ms);
    Answer create_lease(std::int64_t ttl_ms, std::int64_t now_ms);
    Answer renew_lease(std::uint64_t lease, std::int64_t now_ms);
    Answer revoke_lease(std::uint64_t lease, std::int64_t now_ms);
    // Like follow(), but first counts the request against the limits, with the answer 429 if they are exceeded.
    Answer follow_opened(const std::string& under, std::uint64_t since, std::int64_t now_ms);
    // Returns the changes after `since` without waiting; no items: nothing has changed yet.
    Answer follow(const std::string& under, std::uint64_t since);
    // Executes any call except a Follow. To be called between data().begin() and data().commit().
    Answer run(const Call& call, std::int64_t now_ms);
    // A follow call that waits for changes.
    struct Waiting {
        Follow follow;
        std::int64_t until_ms = 0;
        bool opened = false;
    };
    // Checks whether a waiting follow call can be answered; no answer: it has to wait further. `changed` says that the
    // data may have changed since the last check. To be called outside of begin() and commit().
    std::optional<Answer> look(Waiting& w, bool changed, std::int64_t now_ms);
    // Ends the leases that have expired and deletes their keys. Returns whether there were any.
    bool expire(std::int64_t now_ms);
    // Renews all leases for their full duration, as after an outage of the store.
    void renew_all(std::int64_t now_ms);

private:
    // Counts requests and changes against the limits per second. Returns false, and counts nothing, if one of the
    // limits is exceeded.
    bool consume_quota(double n_requests, double n_writes, std::int64_t now_ms);
    // Ends a lease and deletes its keys.
    void delete_lease(std::uint64_t id);
    std::unique_ptr<Data> data_;
    Limits limits_;
    double requests_left_ = 0, writes_left_ = 0;
    std::int64_t refilled_at_ms_ = -1;
};

// Creates an empty store of keys in memory.
std::unique_ptr<Data> memory_data();

} // namespace heronshift::store
