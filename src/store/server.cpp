#include "heronshift/store/server.hpp"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace heronshift::store {
namespace {

constexpr std::uint64_t poll_ms = 20;
constexpr std::uint64_t polls_a_sweep = 50;
constexpr std::int64_t longest_block_ms = 60'000;

std::string error_of(const Answer& a) {
    return codec::Json{{"error", a.error}}.dump();
}

std::string field_of(const std::string& query, std::string_view name) {
    std::size_t at = 0;
    while (at <= query.size()) {
        const auto end = std::min(query.find('&', at), query.size());
        const std::string_view part(query.data() + at, end - at);
        if (const auto eq = part.find('='); eq != std::string_view::npos && part.substr(0, eq) == name)
            return std::string(part.substr(eq + 1));
        at = end + 1;
    }
    return {};
}

template <class N> bool number(std::string_view text, N& out) {
    const auto [p, e] = std::from_chars(text.data(), text.data() + text.size(), out);
    return e == std::errc() && p == text.data() + text.size();
}

codec::Page page_of(Answer&& a) {
    return {std::move(a.items), a.more, a.epoch};
}

} // namespace

StoreServer::StoreServer(uv_loop_t* loop, std::unique_ptr<Engine> engine)
    : loop_(loop), engine_(std::move(engine)),
      server_(loop, 10'000, 600, [this](HttpRequest&& r, Responder res) { handle(std::move(r), res); }) {}

std::int64_t StoreServer::now_ms() const {
    return static_cast<std::int64_t>(uv_hrtime() / 1'000'000);
}

int StoreServer::start(const Endpoint& at) {
    if (const int e = server_.listen(at); e != 0) return e;
    return timer_.start(loop_, poll_ms, [this] { poll(); });
}

void StoreServer::set_mood(Mood m) {
    if (mood_ != Mood::well && m == Mood::well) engine_->renew_all(now_ms());
    mood_ = m;
    if (m != Mood::silent) unanswered_.clear(); // their callers have given up
}

void StoreServer::poll() {
    if (++polls_ % polls_a_sweep == 0) server_.sweep();
    if (mood_ != Mood::well) return; // open watches stay open
    const auto now = now_ms();
    engine_->expire(now);
    const bool changed = seen_ != engine_->data().epoch();
    seen_ = engine_->data().epoch();
    std::erase_if(follows_, [&](Follow& f) {
        if (!changed && now < f.until_ms) return false;
        auto a = engine_->follow(f.under, f.since);
        if (a.status == 200 && a.items.empty() && now < f.until_ms) return false;
        f.res.send(a.status, a.status == 200 ? codec::events_answer(page_of(std::move(a))) : error_of(a));
        return true;
    });
}

void StoreServer::handle(HttpRequest&& r, const Responder& res) {
    ++requests_;
    if (mood_ == Mood::silent) {
        unanswered_.push_back(res);
        return;
    }
    if (mood_ == Mood::out) return res.send(503, R"({"error":"trouble"})");
    if (mood_ == Mood::busy) return res.send(429, R"({"error":"too many requests"})", 1);
    const auto now = now_ms();
    engine_->expire(now);
    const auto bad = [&](const char* what) { res.send(400, error_of({400, true, what, 0, 0, {}, {}, false, {}})); };
    const auto answer = [&](const Answer& a, const std::string& body) {
        res.send(a.status, a.status == 200 || a.status == 409 ? body : error_of(a));
    };
    const bool get = r.method == "GET", post = r.method == "POST";
    const std::string store(codec::path_store), holds(codec::path_holds);
    if (get && r.path.starts_with(store + "/")) {
        const auto a = engine_->get(r.path.substr(store.size() + 1), now);
        if (a.status == 404) return res.send(404, codec::epoch_answer(a.epoch));
        return answer(a, a.item ? codec::item_answer(*a.item) : "");
    }
    if (get && r.path == store) {
        int most = static_cast<int>(most_items);
        if (const auto text = field_of(r.query, "most"); !text.empty() && !number(text, most)) return bad("most");
        auto a = engine_->list(field_of(r.query, "under"), field_of(r.query, "since"), most, now);
        return answer(a, a.status == 200 ? codec::page_answer(page_of(Answer(a))) : "");
    }
    if (post && r.path == codec::path_txn) {
        const auto t = codec::txn_request(r.body);
        if (!t) return bad("not a transaction");
        const auto a = engine_->transact(t->guards, t->writes, now);
        return answer(a, a.status == 409 ? codec::failed_answer(a.failed, a.epoch) : codec::epoch_answer(a.epoch));
    }
    if (post && r.path == holds) {
        const auto ttl = codec::ttl_ms_of(r.body);
        if (!ttl) return bad("ttlMs");
        const auto a = engine_->hold(*ttl, now);
        return answer(a, codec::hold_answer(a.lease));
    }
    if (r.path.starts_with(holds + "/")) {
        auto rest = r.path.substr(holds.size() + 1);
        const std::string extend = "/" + std::string(codec::suffix_extend);
        const bool extends = post && rest.ends_with(extend);
        if (extends) rest.resize(rest.size() - extend.size());
        std::uint64_t id = 0;
        if (!number(rest, id) || (!extends && r.method != "DELETE")) return res.send(404, error_of({}));
        const auto a = extends ? engine_->extend(id, now) : engine_->end_hold(id, now);
        return answer(a, extends ? codec::hold_answer(id) : "{}");
    }
    if (get && r.path == codec::path_follow) {
        std::uint64_t since = 0;
        std::int64_t block = 0;
        if (!number(field_of(r.query, "since"), since)) return bad("since");
        if (const auto text = field_of(r.query, "blockMs"); !text.empty() && !number(text, block))
            return bad("blockMs");
        if (block < 0 || block > longest_block_ms) return bad("blockMs");
        const auto under = field_of(r.query, "under");
        auto a = engine_->follow_opened(under, since, now);
        if (a.status == 200 && a.items.empty() && block > 0) {
            follows_.push_back({res, under, since, now + block});
            return;
        }
        return answer(a, a.status == 200 ? codec::events_answer(page_of(Answer(a))) : "");
    }
    res.send(404, R"({"error":"no such path"})");
}

} // namespace heronshift::store
