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

// All calls are made on the loop's thread, and so are all callbacks, none before the call returns.
// Every call is answered once, by timeout_s at about the latest. After the store's end nothing is called.
class StateStore {
public:
    StateStore() = default;
    StateStore(const StateStore&) = delete;
    StateStore& operator=(const StateStore&) = delete;
    virtual ~StateStore() = default;

    virtual void get(const std::string& key, double timeout_s, Callback done) = 0;
    // In key order, after `since` if that is not empty; at most `most` items and 512 KiB.
    virtual void list(const std::string& under, const std::string& since, int most, double timeout_s,
                      Callback done) = 0;
    virtual void transact(const std::vector<codec::Guard>& guards, const std::vector<codec::Write>& writes,
                          double timeout_s, Callback done) = 0;
    virtual void hold(double ttl_s, double timeout_s, Callback done) = 0;
    virtual void extend(std::uint64_t hold, double timeout_s, Callback done) = 0;
    virtual void end_hold(std::uint64_t hold, double timeout_s, Callback done) = 0;
    // Answers once a key under the prefix has changed after `since`, or with no items after block_s or sooner.
    virtual void follow(const std::string& under, std::uint64_t since, double block_s, Callback done) = 0;
    virtual void sweep() {} // times requests out; call about ten times a second
};

} // namespace heronshift::store
