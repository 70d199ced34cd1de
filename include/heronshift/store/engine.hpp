// What a state store does, without a thread, a network or a clock: times are milliseconds of one
// steady clock that all users of the same data share.
//
// Two of them: MemoryEngine (tests, emulators) and FileEngine (one machine, SQLite). The limits and
// the form of requests are checked here for both.
#pragma once

#include "heronshift/store/store.hpp"

#include <deque>
#include <map>
#include <memory>
#include <stdexcept>

namespace heronshift::store {

// 0: no limit.
struct Limits {
    double rps = 0, write_rps = 0;
    int txn_ops = 16;
    double value_kb = 16;
};

// For follow. Changes come at write_rps whatever the number of machines: at 40 a second a reader may lag by 250 s.
// One that lags further is answered 410 and reads all keys again.
inline constexpr std::size_t kept_changes = 10'000;
// max_items and max_page bound a page; who lists goes on with the next until there is no more.
inline constexpr std::size_t max_key = 200, max_txn = 64UL * 1024, max_page = 512UL * 1024, max_items = 1000;
inline constexpr std::int64_t min_lease_ms = 100, max_lease_ms = 600'000;

// The data cannot be used, or not now: which file, and why.
struct StoreError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Change {
    std::string key;
    std::optional<std::string> data; // JSON; none: deleted
    std::uint64_t mod_revision = 0;
};

// The data itself. Calls may throw StoreError; then nothing since begin() has been done.
class Data {
public:
    virtual ~Data() = default;
    struct Row {
        std::string data;
        std::uint64_t mod_revision = 0, lease = 0;
    };
    // All until commit() is one step that survives whatever comes after. commit() false: the outcome is open.
    virtual void begin() = 0;
    virtual bool commit() = 0;
    virtual void abandon() = 0;

    virtual std::uint64_t revision() = 0;
    virtual std::uint64_t next_revision() = 0; // counts one up
    virtual std::optional<Row> get(const std::string& key) = 0;
    // In key order after `since`, until f returns false.
    virtual void each(const std::string& under, const std::string& since,
                      const std::function<bool(const std::string&, const Row&)>& callback) = 0;
    virtual void put(const std::string& key, const Row& row) = 0;
    virtual void erase(const std::string& key) = 0;
    virtual void add_change(const Change& c) = 0; // the oldest beyond kept_changes are forgotten
    // Those after `since`; nothing if some of these are forgotten.
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
    // Whether others may have changed something since the last call.
    virtual bool changed_by_others() = 0;
};

class Engine {
public:
    Engine(std::unique_ptr<Data> data, Limits limits);

    Data& data() {
        return *data_;
    }
    // Call inside data().begin() and commit().
    Answer get(const std::string& key, std::int64_t now_ms);
    Answer list(const std::string& under, const std::string& since, int most, std::int64_t now_ms);
    Answer transact(const std::vector<codec::Guard>& guards, const std::vector<codec::Write>& writes,
                    std::int64_t now_ms);
    Answer create_lease(std::int64_t ttl_ms, std::int64_t now_ms);
    Answer renew_lease(std::uint64_t lease, std::int64_t now_ms);
    Answer revoke_lease(std::uint64_t lease, std::int64_t now_ms);
    Answer follow_opened(const std::string& under, std::uint64_t since, std::int64_t now_ms); // 429, or as below
    Answer follow(const std::string& under, std::uint64_t since); // at once; no items: nothing has changed yet
    Answer run(const Call& call, std::int64_t now_ms);            // any but a follow, inside begin() and commit()
    // A follow that waits. Look at it outside of begin() and commit(); no answer: it goes on waiting.
    struct Waiting {
        Follow follow;
        std::int64_t until_ms = 0;
        bool opened = false;
    };
    std::optional<Answer> look(Waiting& w, bool changed, std::int64_t now_ms);
    // Ends the leases whose time is over. True: some did.
    bool expire(std::int64_t now_ms);
    // All leases have their full time again, as after an outage.
    void renew_all(std::int64_t now_ms);

private:
    bool take(double n_requests, double n_writes, std::int64_t now_ms);
    void drop_lease(std::uint64_t id);
    std::unique_ptr<Data> data_;
    Limits limits_;
    double requests_left_ = 0, writes_left_ = 0;
    std::int64_t at_ms_ = -1;
};

std::unique_ptr<Data> memory_data();

} // namespace heronshift::store
