#include "heronshift/store/engine.hpp"

#include "heronshift/overloaded.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace heronshift::store {
namespace {

using codec::Json;

Answer refused(int status, std::string why) {
    Answer a;
    a.status = status;
    a.sent = true;
    a.error = std::move(why);
    return a;
}

Answer good(std::uint64_t revision) {
    Answer a;
    a.status = 200;
    a.sent = true;
    a.revision = revision;
    return a;
}

bool valid_key(const std::string& key) {
    return !key.empty() && key.size() <= max_key &&
           std::none_of(key.begin(), key.end(), [](unsigned char c) { return c <= ' ' || c == 0x7f; });
}

} // namespace

Engine::Engine(std::unique_ptr<Data> data, Limits limits) : data_(std::move(data)), limits_(limits) {}

// Bursts of one second's worth.
bool Engine::take(double n_requests, double n_writes, std::int64_t now_ms) {
    const double passed = at_ms_ < 0 ? 1 : static_cast<double>(now_ms - at_ms_) / 1000;
    at_ms_ = now_ms;
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
        return refused(400, "the key");
    if (!take(1, 0, now_ms))
        return refused(429, "too many requests");
    auto a = good(data_->revision());
    const auto row = data_->get(key);
    if (!row) {
        a.status = 404;
        return a;
    }
    a.item = codec::Item{key, Json::parse(row->data, nullptr, false), row->mod_revision, false, row->lease};
    return a;
}

Answer Engine::list(const std::string& under, const std::string& since, int most, std::int64_t now_ms) {
    if (most < 1)
        return refused(400, "most");
    if (!take(1, 0, now_ms))
        return refused(429, "too many requests");
    auto a = good(data_->revision());
    const auto limit = std::min(static_cast<std::size_t>(most), max_items);
    std::size_t size = 0;
    data_->each(under, since, [&](const std::string& key, const Data::Row& row) {
        size += key.size() + row.data.size() + 60;
        if (a.items.size() >= limit || (size > max_page && !a.items.empty())) {
            a.more = true;
            return false;
        }
        a.items.push_back({key, Json::parse(row.data, nullptr, false), row.mod_revision, false, row.lease});
        return true;
    });
    return a;
}

Answer Engine::transact(const std::vector<codec::Guard>& guards, const std::vector<codec::Write>& writes,
                        std::int64_t now_ms) {
    const auto ops = static_cast<std::size_t>(limits_.txn_ops);
    if (writes.size() > ops)
        return refused(400, fmt::format("{} changes, {} are allowed", writes.size(), ops));
    if (guards.size() > 4 * ops)
        return refused(400, fmt::format("{} guards, {} are allowed", guards.size(), 4 * ops));
    std::vector<std::string> texts;
    std::size_t total = 0;
    for (const auto& g : guards) {
        if (!valid_key(g.key))
            return refused(400, "a guard's key");
        total += g.key.size() + 30;
    }
    for (const auto& w : writes) {
        if (!valid_key(w.key))
            return refused(400, "a change's key");
        texts.push_back(w.value ? w.value->dump() : std::string());
        if (static_cast<double>(texts.back().size()) > limits_.value_kb * 1024)
            return refused(400, fmt::format("{}: a value longer than {} KiB", w.key, limits_.value_kb));
        total += w.key.size() + texts.back().size() + 30;
    }
    if (total > max_txn)
        return refused(400, "longer than 64 KiB");
    if (!take(1, static_cast<double>(writes.size()), now_ms))
        return refused(429, "too many requests or changes");
    for (const auto& w : writes)
        if (w.value && w.lease != 0 && !data_->get_lease(w.lease))
            return refused(400, "no such lease");
    auto a = good(data_->revision());
    for (const auto& g : guards) {
        const auto row = data_->get(g.key);
        if ((row ? row->mod_revision : 0) != g.mod_revision)
            a.failed.push_back(g.key);
    }
    if (!a.failed.empty()) {
        a.status = 409;
        return a;
    }
    if (writes.empty())
        return a;
    a.revision = data_->next_revision();
    for (std::size_t i = 0; i < writes.size(); ++i) {
        const auto& w = writes[i];
        if (w.value) {
            data_->put(w.key, {texts[i], a.revision, w.lease});
            data_->add_change({w.key, texts[i], a.revision});
        } else if (data_->get(w.key)) {
            data_->erase(w.key);
            data_->add_change({w.key, std::nullopt, a.revision});
        }
    }
    return a;
}

Answer Engine::create_lease(std::int64_t ttl_ms, std::int64_t now_ms) {
    if (ttl_ms < min_lease_ms || ttl_ms > max_lease_ms)
        return refused(400, "ttlMs");
    if (!take(1, 0, now_ms))
        return refused(429, "too many requests");
    auto a = good(data_->revision());
    a.lease = data_->add_lease({ttl_ms, now_ms + ttl_ms});
    return a;
}

Answer Engine::renew_lease(std::uint64_t lease, std::int64_t now_ms) {
    if (!take(1, 0, now_ms))
        return refused(429, "too many requests");
    auto h = data_->get_lease(lease);
    if (!h)
        return refused(404, "no such lease");
    h->ends_ms = now_ms + h->ttl_ms;
    data_->set_lease(lease, *h);
    auto a = good(data_->revision());
    a.lease = lease;
    return a;
}

void Engine::drop_lease(std::uint64_t id) {
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
    if (!take(1, 0, now_ms))
        return refused(429, "too many requests");
    if (!data_->get_lease(lease))
        return refused(404, "no such lease");
    drop_lease(lease);
    return good(data_->revision());
}

Answer Engine::follow_opened(const std::string& under, std::uint64_t since, std::int64_t now_ms) {
    if (!take(1, 0, now_ms))
        return refused(429, "too many requests");
    return follow(under, since);
}

Answer Engine::follow(const std::string& under, std::uint64_t since) {
    const auto list = data_->changes(under, since);
    if (!list)
        return refused(410, "no longer kept: read the keys again");
    auto a = good(data_->revision());
    for (const auto& c : *list) {
        codec::Item i;
        i.key = c.key;
        i.mod_revision = c.mod_revision;
        i.deleted = !c.data;
        if (c.data)
            i.value = Json::parse(*c.data, nullptr, false);
        a.items.push_back(std::move(i));
    }
    return a;
}

Answer Engine::run(const Call& c, std::int64_t now_ms) {
    return std::visit(Overloaded{
                          [&](const Get& x) { return get(x.key, now_ms); },
                          [&](const List& x) { return list(x.under, x.since, x.most, now_ms); },
                          [&](const Transact& x) { return transact(x.guards, x.writes, now_ms); },
                          [&](const CreateLease& x) { return create_lease(std::llround(x.ttl_s * 1000), now_ms); },
                          [&](const RenewLease& x) { return renew_lease(x.lease, now_ms); },
                          [&](const RevokeLease& x) { return revoke_lease(x.lease, now_ms); },
                          [&](const Follow&) { return refused(400, "a follow waits"); },
                      },
                      c);
}

std::optional<Answer> Engine::look(Waiting& w, bool changed, std::int64_t now_ms) {
    if (!changed && w.opened && now_ms < w.until_ms)
        return {};
    Answer a;
    try {
        a = w.opened ? follow(w.follow.under, w.follow.since) : follow_opened(w.follow.under, w.follow.since, now_ms);
    } catch (const std::exception& e) {
        a = refused(503, e.what());
    }
    data_->abandon();
    w.opened = true;
    // During fault open watches stay open, as with the state service.
    if ((a.status == 503 || (a.status == 200 && a.items.empty())) && now_ms < w.until_ms)
        return {};
    return a;
}

bool Engine::expire(std::int64_t now_ms) {
    const auto ended = data_->expired_leases(now_ms);
    for (const auto id : ended)
        drop_lease(id);
    return !ended.empty();
}

void Engine::renew_all(std::int64_t now_ms) {
    for (const auto id : data_->expired_leases(INT64_MAX)) {
        auto h = data_->get_lease(id);
        h->ends_ms = now_ms + h->ttl_ms;
        data_->set_lease(id, *h);
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
              const std::function<bool(const std::string&, const Row&)>& f) override {
        auto it = since < under ? rows_.lower_bound(under) : rows_.upper_bound(since);
        for (; it != rows_.end() && it->first.starts_with(under); ++it)
            if (!f(it->first, it->second))
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
        forgotten_ = changes_.front().mod_revision;
        changes_.pop_front();
    }
    std::optional<std::vector<Change>> changes(const std::string& under, std::uint64_t since) override {
        if (since < forgotten_)
            return {};
        std::vector<Change> out;
        const auto from = std::upper_bound(changes_.begin(), changes_.end(), since,
                                           [](std::uint64_t s, const Change& c) { return s < c.mod_revision; });
        for (auto it = from; it != changes_.end(); ++it)
            if (it->key.starts_with(under))
                out.push_back(*it);
        return out;
    }
    std::uint64_t add_lease(const CreateLease& h) override {
        leases_[++last_hold_] = h;
        return last_hold_;
    }
    std::optional<CreateLease> get_lease(std::uint64_t id) override {
        const auto it = leases_.find(id);
        if (it == leases_.end())
            return {};
        return it->second;
    }
    void set_lease(std::uint64_t id, const CreateLease& h) override {
        leases_[id] = h;
    }
    void erase_lease(std::uint64_t id) override {
        leases_.erase(id);
    }
    std::vector<std::uint64_t> expired_leases(std::int64_t now_ms) override {
        std::vector<std::uint64_t> out;
        for (const auto& [id, h] : leases_)
            if (h.ends_ms < now_ms)
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
    std::map<std::uint64_t, CreateLease> leases_;
    std::uint64_t revision_ = 0, last_hold_ = 0, forgotten_ = 0;
};

} // namespace

std::unique_ptr<Data> memory_data() {
    return std::make_unique<MemoryData>();
}

} // namespace heronshift::store
