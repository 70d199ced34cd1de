#include "store/server.hpp"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace heronshift::store {
namespace {

constexpr std::uint64_t poll_ms = 20;
constexpr std::uint64_t polls_per_sweep = 50;
constexpr const char* no_such_path = R"({"error":"no such path"})";
constexpr std::int64_t max_block_ms = 60'000;

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

template <class N> bool parse_number(std::string_view text, N& out) {
    const auto [p, e] = std::from_chars(text.data(), text.data() + text.size(), out);
    return e == std::errc() && p == text.data() + text.size();
}

} // namespace

StoreServer::StoreServer(uv_loop_t* loop, std::unique_ptr<Engine> engine)
    : loop_(loop), store_(loop, std::move(engine)),
      server_(loop, 10'000, 600, [this](HttpRequest&& request, const Responder& responder) {
          const auto intercepted = interceptor_ ? interceptor_(request, responder) : responder;
          handle(std::move(request), intercepted);
      }) {}

int StoreServer::start(const Endpoint& at) {
    if (const int e = server_.listen(at); e != 0)
        return e;
    return timer_.start(loop_, poll_ms, [this] { poll(); });
}

void StoreServer::set_fault_mode(FaultMode m) {
    if (fault_mode_ != FaultMode::none && m == FaultMode::none)
        engine().renew_all(store_.now_ms());
    fault_mode_ = m;
    if (m != FaultMode::silent)
        unanswered_.clear(); // the clients have timed out by now
}

void StoreServer::poll() {
    if (++polls_ % polls_per_sweep == 0)
        server_.sweep();
    if (fault_mode_ == FaultMode::none)
        store_.sweep(); // during a fault, open follows stay open
}

void StoreServer::handle(HttpRequest&& request, const Responder& responder) {
    ++requests_;
    if (fault_mode_ == FaultMode::silent) {
        unanswered_.push_back(responder);
        return;
    }
    if (fault_mode_ == FaultMode::unavailable)
        return responder.send(503, R"({"error":"trouble"})");
    if (fault_mode_ == FaultMode::rate_limited)
        return responder.send(429, R"({"error":"too many requests"})", 1);
    const auto bad_request = [&](const char* what) { responder.send(400, codec::Json{{"error", what}}.dump()); };
    // Executes a call. `text` formats the body of an answer with status 200; other answers contain the error.
    const auto run = [&](Call&& call, std::string (*text)(Answer &&)) {
        store_.call(std::move(call), 0, [responder, text](Answer&& answer) {
            const int status = answer.status;
            if (status == 200)
                return responder.send(status, text(std::move(answer)));
            if (status == 404 && answer.error.empty())
                return responder.send(status, codec::revision_answer(answer.revision));
            if (status == 409)
                return responder.send(status, codec::failed_answer(answer.failed, answer.revision));
            responder.send(status, codec::Json{{"error", answer.error}}.dump());
        });
    };
    const bool get = request.method == "GET", post = request.method == "POST";
    const std::string store(codec::path_store), leases(codec::path_leases);
    if (get && request.path.starts_with(store + "/"))
        return run(Get{request.path.substr(store.size() + 1)},
                   [](Answer&& answer) { return codec::item_answer(*answer.item); });
    if (get && request.path == store) {
        int most = static_cast<int>(max_items);
        if (const auto text = field_of(request.query, "most"); !text.empty() && !parse_number(text, most))
            return bad_request("most: must be an integer");
        return run(List{field_of(request.query, "under"), field_of(request.query, "since"), most}, [](Answer&& answer) {
            return codec::page_answer({std::move(answer.items), answer.more, answer.revision});
        });
    }
    if (post && request.path == codec::path_txn) {
        auto t = codec::txn_request(request.body);
        if (!t)
            return bad_request("the body is not a transaction");
        return run(Transact{std::move(t->guards), std::move(t->writes)},
                   [](Answer&& answer) { return codec::revision_answer(answer.revision); });
    }
    if (post && request.path == leases) {
        const auto ttl = codec::ttl_ms_of(request.body);
        if (!ttl)
            return bad_request("ttlMs: must be a non-negative integer");
        return run(CreateLease{static_cast<double>(*ttl) / 1000},
                   [](Answer&& answer) { return codec::lease_answer(answer.lease); });
    }
    if (request.path.starts_with(leases + "/")) {
        auto rest = request.path.substr(leases.size() + 1);
        const std::string renew_lease = "/" + std::string(codec::suffix_renew);
        const bool renews = post && rest.ends_with(renew_lease);
        if (renews)
            rest.resize(rest.size() - renew_lease.size());
        std::uint64_t id = 0;
        if (!parse_number(rest, id) || (!renews && request.method != "DELETE"))
            return responder.send(404, no_such_path);
        if (renews)
            return run(RenewLease{id}, [](Answer&& answer) { return codec::lease_answer(answer.lease); });
        return run(RevokeLease{id}, [](Answer&&) { return std::string("{}"); });
    }
    if (get && request.path == codec::path_follow) {
        std::uint64_t since = 0;
        std::int64_t block = 0;
        if (!parse_number(field_of(request.query, "since"), since))
            return bad_request("since: must be a revision number");
        if (const auto text = field_of(request.query, "blockMs"); !text.empty() && !parse_number(text, block))
            return bad_request("blockMs: must be an integer");
        if (block < 0 || block > max_block_ms)
            return bad_request("blockMs: must be 0 to 60000");
        return run(Follow{field_of(request.query, "under"), since, static_cast<double>(block) / 1000},
                   [](Answer&& answer) {
                       return codec::events_answer({std::move(answer.items), answer.more, answer.revision});
                   });
    }
    responder.send(404, no_such_path);
}

} // namespace heronshift::store
