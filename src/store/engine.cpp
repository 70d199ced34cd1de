#include "heronshift/store/engine.hpp"

#include "overloaded.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace heronshift::store {
namespace {

using codec::Json;

Answer error_answer(int status, std::string why) {
    Answer answer;
    answer.status = status;
    answer.sent = true;
    answer.error = std::move(why);
    return answer;
}

Answer ok_answer(std::uint64_t revision) {
    Answer answer;
    answer.status = 200;
    answer.sent = true;
    answer.revision = revision;
    return answer;
}

bool valid_key(const std::string& key) {
    return !key.empty() && key.size() <= max_key &&
           std::none_of(key.begin(), key.end(), [](unsigned char c) { return c <= ' ' || c == 0x7f; });
}

} // namespace

Engine::Engine(std::unique_ptr<Data> data, Limits limits) : data_(std::move(data)), limits_(limits) {}

// Takes from the two token buckets for requests and writes, which allow bursts of one second's worth. Returns false and
// takes nothing if either has too little.
bool Engine::consume_quota(double n_requests, double n_writes, std::int64_t now_ms) {
    const double passed = refilled_at_ms_ < 0 ? 1 : static_cast<double>(now_ms - refilled_at_ms_) / 1000;
    refilled_at_ms_ = now_ms;
    requests_left_ = std::min(limits_.rps, requests_left_ + passed * limits_.rps);
    writes_left_ = std::min(limits_.write_rps, writes_left_ + passed * limits_.write_rps);
    if (limits_.rps > 0 && requests_left_ < n_requests)
        return false;
    if (limits_.write_rps > 0 && writes_left_ < n_writes)
        return false;
    requests_left_ -= n_requests;
    writes_left_ -= n_writes;
    return true;
}

Answer Engine::get(const std::string& key, std::int64_t now_ms) {
    if (!valid_key(key))
        return error_answer(400, "key: must be 1 to 200 bytes without spaces and control characters");
    if (!consume_quota(1, 0, now_ms))
        return error_answer(429, "too many requests");
    auto answer = ok_answer(data_->revision());
    const auto row = data_->get(key);
    if (!row) {
        answer.status = 404;
        return answer;
    }
    answer.item = codec::Item{key, Json::parse(row->data, nullptr, false), row->mod_revision, false, row->lease};
    return answer;
}

Answer Engine::list(const std::string& under, const std::string& since, int most, std::int64_t now_ms) {
    if (most < 1)
        return error_answer(400, "most: must be at least 1");
    if (!consume_quota(1, 0, now_ms))
        return error_answer(429, "too many requests");
    auto answer = ok_answer(data_->revision());
    const auto limit = std::min(static_cast<std::size_t>(most), max_items);
    std::size_t size = 0;
    data_->each(under, since, [&](const std::string& key, const Data::Row& row) {
        size += key.size() + row.data.size() + 60;
        if (answer.items.size() >= limit || (size > max_page && !answer.items.empty())) {
            answer.more = true;
            return false;
        }
        answer.items.push_back({key, Json::parse(row.data, nullptr, false), row.mod_revision, false, row.lease});
        return true;
    });
    return answer;
}

Answer Engine::transact(const std::vector<codec::Guard>& guards, const std::vector<codec::Write>& writes,
                        std::int64_t now_ms) {
    const auto ops = static_cast<std::size_t>(limits_.txn_ops);
    if (writes.size() > ops)
        return error_answer(400, fmt::format("{} changes, at most {} are allowed", writes.size(), ops));
    if (guards.size() > 4 * ops)
        return error_answer(400, fmt::format("{} guards, at most {} are allowed", guards.size(), 4 * ops));
    std::vector<std::string> texts;
    std::size_t total = 0;
    for (const auto& guard : guards) {
        if (!valid_key(guard.key))
            return error_answer(400, "key of a guard: must be 1 to 200 bytes without spaces and control characters");
        total += guard.key.size() + 30;
    }
    for (const auto& write : writes) {
        if (!valid_key(write.key))
            return error_answer(400, "key of a change: must be 1 to 200 bytes without spaces and control characters");
        texts.push_back(write.value ? write.value->dump() : std::string());
        if (static_cast<double>(texts.back().size()) > limits_.value_kb * 1024)
            return error_answer(400, fmt::format("{}: value is longer than {} KiB", write.key, limits_.value_kb));
        total += write.key.size() + texts.back().size() + 30;
    }
    if (total > max_txn)
        return error_answer(400, "transaction is longer than 64 KiB");
    if (!consume_quota(1, static_cast<double>(writes.size()), now_ms))
        return error_answer(429, "too many requests or changes");
    for (const auto& write : writes)
        if (write.value && write.lease != 0 && !data_->get_lease(write.lease))
            return error_answer(400, "no such lease");
    auto answer = ok_answer(data_->revision());
    for (const auto& guard : guards) {
        const auto row = data_->get(guard.key);
        if ((row ? row->mod_revision : 0) != guard.mod_revision)
            answer.failed.push_back(guard.key);
    }
    if (!answer.failed.empty()) {
        answer.status = 409;
        return answer;
    }
    if (writes.empty())
        return answer;
    answer.revision = data_->next_revision();
    for (std::size_t i = 0; i < writes.size(); ++i) {
        const auto& write = writes[i];
        if (write.value) {
            data_->put(write.key, {texts[i], answer.revision, write.lease});
            data_->add_change({write.key, texts[i], answer.revision});
        } else if (data_->get(write.key)) {
            data_->erase(write.key);
            data_->add_change({write.key, std::nullopt, answer.revision});
        }
    }
    return answer;
}

Answer Engine::create_lease(std::int64_t ttl_ms, std::int64_t now_ms) {
    if (ttl_ms < min_lease_ms || ttl_ms > max_lease_ms)
        return error_answer(400, "ttlMs: must be 100 to 600000");
    if (!consume_quota(1, 0, now_ms))
        return error_answer(429, "too many requests");
    auto answer = ok_answer(data_->revision());
    answer.lease = data_->add_lease({ttl_ms, now_ms + ttl_ms});
    return answer;
}

Answer Engine::renew_lease(std::uint64_t lease, std::int64_t now_ms) {
    if (!consume_quota(1, 0, now_ms))
        return error_answer(429, "too many requests");
    auto record = data_->get_lease(lease);
    if (!record)
        return error_answer(404, "no such lease");
    record->ends_ms = now_ms + record->ttl_ms;
    data_->set_lease(lease, *record);
    auto answer = ok_answer(data_->revision());
    answer.lease = lease;
    return answer;
}

void Engine::delete_lease(std::uint64_t id) {
    const auto keys = data_->keys_of(id);
    data_->erase_lease(id);
    if (keys.empty())
        return;
    const auto revision = data_->next_revision();
    for (const auto& k : keys) {
        data_->erase(k);
        data_->add_change({k, std::nullopt, revision});
    }
}

Answer Engine::revoke_lease(std::uint64_t lease, std::int64_t now_ms) {
    if (!consume_quota(1, 0, now_ms))
        return error_answer(429, "too many requests");
    if (!data_->get_lease(lease))
        return error_answer(404, "no such lease");
    delete_lease(lease);
    return ok_answer(data_->revision());
}

Answer Engine::follow_opened(const std::string& under, std::uint64_t since, std::int64_t now_ms) {
    if (!consume_quota(1, 0, now_ms))
        return error_answer(429, "too many requests");
    return follow(under, since);
}

Answer Engine::follow(const std::string& under, std::uint64_t since) {
    const auto list = data_->changes(under, since);
    if (!list)
        return error_answer(410, "changes after this revision are no longer kept: read the keys again");
    auto answer = ok_answer(data_->revision());
    for (const auto& c : *list) {
        codec::Item i;
        i.key = c.key;
        i.mod_revision = c.mod_revision;
        i.deleted = !c.data;
        if (c.data)
            i.value = Json::parse(*c.data, nullptr, false);
        answer.items.push_back(std::move(i));
    }
    return answer;
}

Answer Engine::run(const Call& call, std::int64_t now_ms) {
    return std::visit(Overloaded{
                          [&](const Get& x) { return get(x.key, now_ms); },
                          [&](const List& x) { return list(x.under, x.since, x.most, now_ms); },
                          [&](const Transact& x) { return transact(x.guards, x.writes, now_ms); },
                          [&](const CreateLease& x) { return create_lease(std::llround(x.ttl_s * 1000), now_ms); },
                          [&](const RenewLease& x) { return renew_lease(x.lease, now_ms); },
                          [&](const RevokeLease& x) { return revoke_lease(x.lease, now_ms); },
                          [&](const Follow&) { return error_answer(400, "a follow cannot run in a transaction"); },
                      },
                      call);
}

std::optional<Answer> Engine::look(Waiting& w, bool changed, std::int64_t now_ms) {
    if (!changed && w.opened && now_ms < w.until_ms)
        return {};
    Answer answer;
    try {
        answer =
            w.opened ? follow(w.follow.under, w.follow.since) : follow_opened(w.follow.under, w.follow.since, now_ms);
    } catch (const std::exception& error) {
        answer = error_answer(503, error.what());
    }
    data_->abandon();
    w.opened = true;
    // While the data cannot be used (503), follows that are open go on waiting, as with the state service.
    if ((answer.status == 503 || (answer.status == 200 && answer.items.empty())) && now_ms < w.until_ms)
        return {};
    return answer;
}

bool Engine::expire(std::int64_t now_ms) {
    const auto ended = data_->expired_leases(now_ms);
    for (const auto id : ended)
        delete_lease(id);
    return !ended.empty();
}

void Engine::renew_all(std::int64_t now_ms) {
    for (const auto id : data_->expired_leases(INT64_MAX)) {
        auto record = data_->get_lease(id);
        record->ends_ms = now_ms + record->ttl_ms;
        data_->set_lease(id, *record);
    }
}

namespace {

class MemoryData final : public Data {
public:
    void begin() override {}
    bool commit() override {
        return true;
    }
    void abandon() override {}
    std::uint64_t revision() override {
        return revision_;
    }
    std::uint64_t next_revision() override {
        return ++revision_;
    }
    std::optional<Row> get(const std::string& key) override {
        const auto it = rows_.find(key);
        if (it == rows_.end())
            return {};
        return it->second;
    }
    void each(const std::string& under, const std::string& since,
              const std::function<bool(const std::string&, const Row&)>& callback) override {
        auto it = since < under ? rows_.lower_bound(under) : rows_.upper_bound(since);
        for (; it != rows_.end() && it->first.starts_with(under); ++it)
            if (!callback(it->first, it->second))
                return;
    }
    void put(const std::string& key, const Row& row) override {
        rows_[key] = row;
    }
    void erase(const std::string& key) override {
        rows_.erase(key);
    }
    void add_change(const Change& c) override {
        changes_.push_back(c);
        if (changes_.size() <= kept_changes)
            return;
        last_trimmed_revision_ = changes_.front().mod_revision;
        changes_.pop_front();
    }
    std::optional<std::vector<Change>> changes(const std::string& under, std::uint64_t since) override {
        if (since < last_trimmed_revision_)
            return {};
        std::vector<Change> out;
        const auto from = std::upper_bound(changes_.begin(), changes_.end(), since,
                                           [](std::uint64_t s, const Change& c) { return s < c.mod_revision; });
        for (auto it = from; it != changes_.end(); ++it)
            if (it->key.starts_with(under))
                out.push_back(*it);
        return out;
    }
    std::uint64_t add_lease(const Lease& record) override {
        leases_[++last_lease_id_] = record;
        return last_lease_id_;
    }
    std::optional<Lease> get_lease(std::uint64_t id) override {
        const auto it = leases_.find(id);
        if (it == leases_.end())
            return {};
        return it->second;
    }
    void set_lease(std::uint64_t id, const Lease& record) override {
        leases_[id] = record;
    }
    void erase_lease(std::uint64_t id) override {
        leases_.erase(id);
    }
    std::vector<std::uint64_t> expired_leases(std::int64_t now_ms) override {
        std::vector<std::uint64_t> out;
        for (const auto& [id, record] : leases_)
            if (record.ends_ms < now_ms)
                out.push_back(id);
        return out;
    }
    std::vector<std::string> keys_of(std::uint64_t lease) override {
        std::vector<std::string> out;
        for (const auto& [k, row] : rows_)
            if (row.lease == lease)
                out.push_back(k);
        return out;
    }
    bool changed_by_others() override {
        return false;
    }

private:
    std::map<std::string, Row> rows_;
    std::deque<Change> changes_;
    std::map<std::uint64_t, Lease> leases_;
    std::uint64_t revision_ = 0, last_lease_id_ = 0, last_trimmed_revision_ = 0;
};

} // namespace

std::unique_ptr<Data> memory_data() {
    return std::make_unique<MemoryData>();
}

} // namespace heronshift::store
