// Workers: reports, commands and redirections.
#include "fields.hpp"

#include <charconv>
#include <fmt/format.h>

namespace heronshift::codec {

using fields::count;
using fields::field;
using fields::flag;
using fields::number;
using fields::text;

namespace {

std::optional<TaskState> state_of(const std::string& s) {
    if (s == "fetching")
        return TaskState::fetching;
    if (s == "gathering")
        return TaskState::waiting;
    if (s == "running")
        return TaskState::running;
    if (s == "saving")
        return TaskState::saving;
    if (s == "ended")
        return TaskState::ended;
    return {};
}

ExitCause cause_of(const std::string& s) {
    if (s == "done")
        return ExitCause::done;
    if (s == "stopped")
        return ExitCause::stopped;
    if (s == "mates_gone")
        return ExitCause::peers;
    if (s == "incomplete")
        return ExitCause::alone;
    if (s == "error")
        return ExitCause::error;
    if (s == "no_room")
        return ExitCause::no_room;
    if (s == "in_use")
        return ExitCause::busy;
    return ExitCause::unknown;
}

} // namespace

bool split_task(std::string_view text, std::string& job, std::uint32_t& index) {
    const auto slash = text.rfind('/');
    if (slash == std::string_view::npos)
        return false;
    const auto* end = text.data() + text.size();
    const auto [p, ec] = std::from_chars(text.data() + slash + 1, end, index);
    if (ec != std::errc() || p != end || index >= max_tasks)
        return false;
    job = text.substr(0, slash);
    return valid_job_id(job);
}

std::string task_name(const std::string& job, std::uint32_t index) {
    return job + "/" + std::to_string(index);
}

std::optional<Heartbeat> heartbeat(std::string_view body) {
    const auto j = parse(body);
    if (!j.is_object())
        return {};
    Heartbeat r;
    r.machine = text(j, "host");
    r.addr = text(j, "addr");
    r.type = text(j, "flavor");
    r.zone = text(j, "yard");
    r.spot = flag(j, "standby");
    if (r.machine.empty() || r.machine.size() > 100 || !count(j, "tenure", r.agent_epoch) ||
        !count(j, "counter", r.counter))
        return {};
    count(j, "fence", r.fencing_token);
    r.notice_s = number(j, "evictionInS", -1);
    const auto* tasks = field(j, "shards");
    if (tasks == nullptr)
        return r;
    if (!tasks->is_array())
        return {};
    for (const auto& e : *tasks) {
        if (!e.is_object())
            return {};
        ReportedTask t;
        const auto state = state_of(text(e, "status"));
        if (!split_task(text(e, "shard"), t.job, t.index) || !count(e, "try", t.attempt) || !state)
            return {};
        t.state = *state;
        if (t.state == TaskState::ended)
            t.cause = cause_of(text(e, "exitCause"));
        t.saved = flag(e, "stored");
        r.tasks.push_back(std::move(t));
    }
    return r;
}

namespace {
void append_orders(std::string& out, const std::vector<Order>& list) {
    out += R"("orders":[)";
    bool first = true;
    for (const auto& o : list) {
        if (!first)
            out += ',';
        first = false;
        const char* verb = o.verb == Verb::launch ? "launch" : o.verb == Verb::stop ? "stop" : "reap";
        out += fmt::format(R"({{"verb":"{}","shard":"{}/{}","try":{})", verb, o.job, o.index, o.attempt);
        if (o.verb == Verb::stop)
            out += fmt::format(R"(,"drainS":{})", o.drain_s);
        out += '}';
    }
    out += "]}";
}
} // namespace

std::string orders(std::uint64_t fencing_token, const std::vector<Order>& list) {
    auto out = fmt::format(R"({{"fence":{},)", fencing_token);
    append_orders(out, list);
    return out;
}

std::string commands(std::uint64_t fencing_token, std::uint64_t agent_epoch, const std::vector<Order>& list) {
    auto out = fmt::format(R"({{"fence":{},"tenure":{},)", fencing_token, agent_epoch);
    append_orders(out, list);
    return out;
}

std::string error_answer(const std::string& what) {
    return Json{{"error", what}}.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string redirect(const std::string& node) {
    return Json{{"reportsTo", node}}.dump();
}

namespace {
const char* name_of(TaskState s) {
    switch (s) {
    case TaskState::fetching:
        return "fetching";
    case TaskState::waiting:
        return "gathering";
    case TaskState::running:
        return "running";
    case TaskState::saving:
        return "saving";
    case TaskState::ended:
        break;
    }
    return "ended";
}
const char* name_of(ExitCause c) {
    switch (c) {
    case ExitCause::done:
        return "done";
    case ExitCause::stopped:
        return "stopped";
    case ExitCause::peers:
        return "mates_gone";
    case ExitCause::alone:
        return "incomplete";
    case ExitCause::error:
        return "error";
    case ExitCause::no_room:
        return "no_room";
    case ExitCause::busy:
        return "in_use";
    default:
        return "unknown";
    }
}
} // namespace

std::string to_body(const Heartbeat& r) {
    Json j{{"host", r.machine},      {"addr", r.addr},          {"flavor", r.type},     {"yard", r.zone},
           {"standby", r.spot},      {"tenure", r.agent_epoch}, {"counter", r.counter}, {"fence", r.fencing_token},
           {"evictionInS", nullptr}, {"shards", Json::array()}};
    if (r.notice_s >= 0)
        j["evictionInS"] = r.notice_s;
    for (const auto& t : r.tasks) {
        Json e{{"shard", task_name(t.job, t.index)}, {"try", t.attempt}, {"status", name_of(t.state)}};
        if (t.state == TaskState::ended)
            e["exitCause"] = name_of(t.cause);
        if (t.saved)
            e["stored"] = true;
        j["shards"].push_back(std::move(e));
    }
    return j.dump();
}

std::optional<Orders> read_orders(std::string_view body) {
    const auto j = parse(body);
    if (!j.is_object())
        return {};
    Orders o;
    if (std::uint64_t n = 0; count(j, "fence", n))
        o.fencing_token = n;
    if (std::uint64_t n = 0; count(j, "tenure", n))
        o.agent_epoch = n;
    const auto* list = field(j, "orders");
    if (list == nullptr)
        return o;
    if (!list->is_array())
        return {};
    for (const auto& e : *list) {
        if (!e.is_object())
            return {};
        Order x;
        const auto verb = text(e, "verb");
        if (verb != "launch" && verb != "stop" && verb != "reap")
            return {};
        x.verb = verb == "launch" ? Verb::launch : verb == "stop" ? Verb::stop : Verb::reap;
        if (!split_task(text(e, "shard"), x.job, x.index) || !count(e, "try", x.attempt))
            return {};
        x.drain_s = number(e, "drainS");
        o.list.push_back(std::move(x));
    }
    return o;
}

std::string redirected_to(std::string_view body) {
    const auto j = parse(body);
    return j.is_object() ? text(j, "reportsTo") : std::string();
}

} // namespace heronshift::codec
