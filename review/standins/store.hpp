// A stand-in for the state service. Each controller reaches it at an address of its own, so that faults can concern one
// controller alone.
#pragma once

#include "net.hpp"

#include <condition_variable>
#include <cstring>
#include <deque>

namespace review {

class Store {
public:
    enum class Mode { serving, unavailable, silent };
    // The faults of one controller's way to the store.
    struct View {
        std::atomic<Mode> mode{Mode::serving};
        std::atomic<double> delay_s{0};        // before each answer
        std::atomic<double> late_share{0};     // of transactions: no answer, carried out late
        std::atomic<bool> late_at_once{false}; // of these: carried out at once
        std::unique_ptr<Server> server;
    };
    struct Limits {
        double rps = 200, write_rps = 80;
        std::size_t txn_ops = 24;
        double value_kb = 16;
    };

    Store(std::size_t views, const Limits& limits) : limits_(limits) {
        for (std::size_t i = 0; i < views; ++i) {
            auto& view = *views_.emplace_back(std::make_unique<View>());
            view.server =
                std::make_unique<Server>([this, &view](const Request& request) { return serve(view, request); });
        }
        std::thread([this] { expire_leases(); }).detach();
    }
    [[nodiscard]] View& view(std::size_t i) {
        return *views_[i];
    }
    [[nodiscard]] const Address& at(std::size_t i) const {
        return views_[i]->server->at();
    }
    // An outage concerns all controllers. When it ends, all leases have their full time again.
    void set_all(Mode mode) {
        const std::lock_guard lock(mutex_);
        outage_ = mode != Mode::serving;
        for (auto& view : views_)
            view->mode = mode;
        if (!outage_)
            for (auto& [id, lease] : leases_)
                lease.ends = now() + lease.ttl_s;
    }
    [[nodiscard]] std::optional<Json> get(const std::string& key) {
        const std::lock_guard lock(mutex_);
        const auto it = items_.find(key);
        return it == items_.end() ? std::nullopt : std::optional(it->second.value);
    }
    // Called with each change of a key; a null value is a deletion.
    std::function<void(const std::string& key, const Json& value)> on_change;

private:
    struct Item {
        Json value;
        std::uint64_t stamp = 0, lease = 0;
    };
    struct Lease {
        double ttl_s = 0, ends = 0;
    };
    struct Change {
        std::uint64_t stamp;
        std::string key;
        Json value; // null: deleted
    };
    struct Bucket {
        double tokens = 0, at = 0;
        bool take(double n, double rate) {
            tokens = std::min(rate, tokens + (now() - at) * rate);
            at = now();
            if (tokens < n)
                return false;
            tokens -= n;
            return true;
        }
    };

    static Reply error(int status, const char* what) {
        return {status, Json{{"error", what}}.dump()};
    }

    // Returns an answer if the store refuses or ignores the request.
    std::optional<Reply> refused(const View& view) {
        if (view.mode == Mode::unavailable)
            return error(503, "trouble");
        if (view.mode == Mode::silent)
            return Reply{};
        const std::lock_guard lock(mutex_);
        if (!requests_.take(1, limits_.rps))
            return error(429, "too many requests");
        return {};
    }

    Reply serve(View& view, const Request& request) {
        if (auto reply = refused(view))
            return *reply;
        sleep_s(view.delay_s);
        if (request.path == "/follow")
            return follow(view, request);
        if (request.path == "/txn") {
            const auto txn = request.json();
            if (!txn.is_object())
                return error(400, "malformed");
            if (view.late_share > 0 && random_between(0, 1) < view.late_share) {
                const double delay_s = view.late_at_once ? 0 : random_between(2, 12);
                std::thread([this, txn, delay_s, size = request.body.size()] {
                    sleep_s(delay_s);
                    transact(txn, size);
                }).detach();
                return {};
            }
            return transact(txn, request.body.size());
        }
        const std::lock_guard lock(mutex_);
        if (request.path == "/store")
            return list(request);
        if (request.path.rfind("/store/", 0) == 0) {
            const auto key = request.path.substr(7);
            const auto it = items_.find(key);
            return it == items_.end() ? Reply{404, Json{{"epoch", epoch_}}.dump()} : Reply{200, to_json(*it).dump()};
        }
        if (request.path.rfind("/holds", 0) == 0)
            return lease(request);
        return error(404, "no such path");
    }

    static Json to_json(const std::pair<const std::string, Item>& entry) {
        Json json{{"k", entry.first}, {"data", entry.second.value}, {"stamp", entry.second.stamp}};
        if (entry.second.lease != 0)
            json["lease"] = entry.second.lease;
        return json;
    }

    Reply list(const Request& request) {
        const auto under = request.parameter("under"), since = request.parameter("since");
        const auto most = request.parameter("most").empty() ? 1000 : std::stoul(request.parameter("most"));
        Json entries = Json::array();
        std::size_t bytes = 0;
        bool more = false;
        for (auto it = items_.lower_bound(under); it != items_.end() && it->first.rfind(under, 0) == 0; ++it) {
            if (it->first <= since)
                continue;
            auto json = to_json(*it);
            bytes += json.dump().size();
            if (entries.size() >= std::min<std::size_t>(most, 1000) || bytes > 512 * 1024) {
                more = true;
                break;
            }
            entries.push_back(std::move(json));
        }
        return {200, Json{{"entries", entries}, {"more", more}, {"epoch", epoch_}}.dump()};
    }

    Reply lease(const Request& request) {
        if (request.path == "/holds") {
            const auto json = request.json();
            const double ttl_s = json.value("ttlMs", 0.0) / 1000;
            if (ttl_s < 0.1 || ttl_s > 600)
                return error(400, "ttlMs");
            leases_[++last_lease_] = {ttl_s, now() + ttl_s};
            return {200, Json{{"lease", last_lease_}}.dump()};
        }
        const auto id = std::strtoull(request.path.c_str() + std::strlen("/holds/"), nullptr, 10);
        const auto it = leases_.find(id);
        if (it == leases_.end() || it->second.ends < now())
            return error(404, "no such lease");
        if (request.method == "DELETE")
            end_lease(id);
        else
            it->second.ends = now() + it->second.ttl_s;
        return {200, Json{{"lease", id}}.dump()};
    }

    void end_lease(std::uint64_t id) {
        leases_.erase(id);
        std::vector<std::string> keys;
        for (const auto& [key, item] : items_)
            if (item.lease == id)
                keys.push_back(key);
        if (keys.empty())
            return;
        ++epoch_;
        for (const auto& key : keys)
            change(key, nullptr, 0);
    }

    void change(const std::string& key, const Json& value, std::uint64_t lease) {
        if (value.is_null())
            items_.erase(key);
        else
            items_[key] = {value, epoch_, lease};
        changes_.push_back({epoch_, key, value});
        if (changes_.size() > 10'000) {
            forgotten_ = changes_.front().stamp;
            changes_.pop_front();
        }
        changed_.notify_all();
        if (on_change)
            on_change(key, value);
    }

    Reply transact(const Json& txn, std::size_t size) {
        const std::lock_guard lock(mutex_);
        const auto guards = txn.value("guards", Json::array()), writes = txn.value("writes", Json::array());
        if (writes.size() > limits_.txn_ops || guards.size() > 4 * limits_.txn_ops || size > 64 * 1024)
            return error(400, "too large");
        for (const auto& write : writes)
            if (write.contains("data") && static_cast<double>(write["data"].dump().size()) > limits_.value_kb * 1024)
                return error(400, "value too large");
        if (!writes_.take(static_cast<double>(writes.size()), limits_.write_rps))
            return error(429, "too many changes");
        for (const auto& write : writes)
            if (const auto lease = write.value("lease", std::uint64_t{0});
                lease != 0 && (!leases_.contains(lease) || leases_[lease].ends < now()))
                return error(400, "no such lease");
        Json failed = Json::array();
        for (const auto& guard : guards) {
            const auto it = items_.find(guard["k"].get<std::string>());
            if ((it == items_.end() ? 0 : it->second.stamp) != guard["stamp"].get<std::uint64_t>())
                failed.push_back(guard["k"]);
        }
        if (!failed.empty())
            return {409, Json{{"failed", failed}, {"epoch", epoch_}}.dump()};
        if (!writes.empty())
            ++epoch_;
        for (const auto& write : writes) {
            if (write.contains("delete"))
                change(write["delete"].get<std::string>(), nullptr, 0);
            else
                change(write["set"].get<std::string>(), write["data"], write.value("lease", std::uint64_t{0}));
        }
        return {200, Json{{"epoch", epoch_}}.dump()};
    }

    Reply follow(const View& view, const Request& request) {
        const auto under = request.parameter("under");
        const auto since = std::strtoull(request.parameter("since").c_str(), nullptr, 10);
        const double until = now() + std::strtod(request.parameter("blockMs").c_str(), nullptr) / 1000;
        std::unique_lock lock(mutex_);
        while (true) {
            if (since < forgotten_)
                return error(410, "too old");
            Json events = Json::array();
            if (view.mode == Mode::serving)
                for (auto it = changes_.rbegin(); it != changes_.rend() && it->stamp > since; ++it)
                    if (it->key.rfind(under, 0) == 0)
                        events.insert(events.begin(),
                                      it->value.is_null()
                                          ? Json{{"delete", it->key}, {"stamp", it->stamp}}
                                          : Json{{"set", it->key}, {"data", it->value}, {"stamp", it->stamp}});
            if (!events.empty() || (now() >= until && view.mode == Mode::serving))
                return {200, Json{{"epoch", epoch_}, {"events", events}}.dump()};
            if (now() >= until + 60)
                return {};
            changed_.wait_for(lock, std::chrono::milliseconds(20));
        }
    }

    void expire_leases() {
        while (true) {
            sleep_s(0.01);
            const std::lock_guard lock(mutex_);
            std::vector<std::uint64_t> ended;
            for (const auto& [id, lease] : leases_)
                if (!outage_ && lease.ends < now())
                    ended.push_back(id);
            for (const auto id : ended)
                end_lease(id);
        }
    }

    const Limits limits_;
    std::vector<std::unique_ptr<View>> views_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Item> items_;
    std::map<std::uint64_t, Lease> leases_;
    std::deque<Change> changes_;
    std::uint64_t epoch_ = 0, forgotten_ = 0, last_lease_ = 0;
    bool outage_ = false;
    Bucket requests_, writes_;
};

} // namespace review
