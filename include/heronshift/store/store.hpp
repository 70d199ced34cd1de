// The state store as the scheduler uses it: keys with stamps, guarded transactions, holds, follow, as
// the protocol's "Controller nodes -> state service" says. Answers come as its statuses, so that one
// caller serves every implementation:
//   200 done; 404 no such key or hold; 409 a guard failed (the transaction did nothing); 400 not
//   allowed, error says why; 410 the changes asked for are no longer kept; 429 above the limits;
//   503 surely not executed; 0 no answer: it may have been executed, or may be later, if sent;
//   502 an answer that cannot be read: it may have been executed.
#pragma once

#include "heronshift/codec.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace heronshift::store {

struct Answer {
    int status = 0;
    bool sent = false; // 0: whether it may have reached the store
    std::string error;
    std::uint64_t epoch = 0; // of a transaction, a page or a follow
    std::uint64_t lease = 0;
    std::optional<codec::Item> item; // get
    std::vector<codec::Item> items;  // list; follow: the changes, deleted ones marked
    bool more = false;               // list
    std::vector<std::string> failed; // guards
};
using Callback = std::function<void(Answer&&)>;

// What a store is asked; StateStore says what each means.
struct Get {
    std::string key;
};
struct List {
    std::string under, since;
    int most = 0;
};
struct Transact {
    std::vector<codec::Guard> guards;
    std::vector<codec::Write> writes;
};
struct Hold {
    double ttl_s = 0;
};
struct Extend {
    std::uint64_t hold = 0;
};
struct EndHold {
    std::uint64_t hold = 0;
};
struct Follow {
    std::string under;
    std::uint64_t since = 0;
    double block_s = 0;
};
using Call = std::variant<Get, List, Transact, Hold, Extend, EndHold, Follow>;
inline constexpr double follow_slack_s = 2; // for the answer to a follow, after its time

// All calls are made on the loop's thread, and so are all callbacks, none before the call returns.
// Every call is answered once, by timeout_s at about the latest. After the store's end nothing is called.
class StateStore {
public:
    StateStore() = default;
    StateStore(const StateStore&) = delete;
    StateStore& operator=(const StateStore&) = delete;
    virtual ~StateStore() = default;

    void get(const std::string& key, double timeout_s, Callback done) {
        call(Get{key}, timeout_s, std::move(done));
    }
    // In key order, after `since` if that is not empty; at most `most` items and 512 KiB.
    void list(const std::string& under, const std::string& since, int most, double timeout_s, Callback done) {
        call(List{under, since, most}, timeout_s, std::move(done));
    }
    void transact(const std::vector<codec::Guard>& guards, const std::vector<codec::Write>& writes, double timeout_s,
                  Callback done) {
        call(Transact{guards, writes}, timeout_s, std::move(done));
    }
    void hold(double ttl_s, double timeout_s, Callback done) {
        call(Hold{ttl_s}, timeout_s, std::move(done));
    }
    void extend(std::uint64_t hold, double timeout_s, Callback done) {
        call(Extend{hold}, timeout_s, std::move(done));
    }
    void end_hold(std::uint64_t hold, double timeout_s, Callback done) {
        call(EndHold{hold}, timeout_s, std::move(done));
    }
    // Answers once a key under the prefix has changed after `since`, or with no items after block_s or sooner.
    void follow(const std::string& under, std::uint64_t since, double block_s, Callback done) {
        call(Follow{under, since, block_s}, block_s + follow_slack_s, std::move(done));
    }
    virtual void call(Call&& c, double timeout_s, Callback done) = 0; // any of these
    virtual void sweep() {} // times requests out; call about ten times a second
};

} // namespace heronshift::store
