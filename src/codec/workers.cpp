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
    const auto json = parse(body);
    if (!json.is_object())
        return {};
    Heartbeat r;
    r.machine = text(json, "host");
    r.addr = text(json, "addr");
    r.type = text(json, "flavor");
    r.zone = text(json, "yard");
    r.spot = flag(json, "standby");
    if (r.machine.empty() || r.machine.size() > 100 || !count(json, "tenure", r.agent_epoch) ||
        !count(json, "counter", r.counter))
        return {};
    count(json, "fence", r.fencing_token);
    r.notice_s = number(json, "evictionInS", -1);
    const auto* tasks = field(json, "shards");
    if (tasks == nullptr)
        return r;
    if (!tasks->is_array())
        return {};
    for (const auto& e : *tasks) {
        if (!e.is_object())
            return {};
        ReportedTask task;
        const auto state = state_of(text(e, "status"));
        if (!split_task(text(e, "shard"), task.job, task.index) || !count(e, "try", task.attempt) || !state)
            return {};
        task.state = *state;
        if (task.state == TaskState::ended)
            task.cause = cause_of(text(e, "exitCause"));
        task.saved = flag(e, "stored");
        r.tasks.push_back(std::move(task));
    }
    return r;
}

namespace {
void append_orders(std::string& out, const std::vector<Order>& list) {
    out += R"("orders":[)";
    bool first = true;
    for (const auto& order : list) {
        if (!first)
            out += ',';
        first = false;
        const char* verb = order.verb == Verb::launch ? "launch" : order.verb == Verb::stop ? "stop" : "reap";
        out += fmt::format(R"({{"verb":"{}","shard":"{}/{}","try":{})", verb, order.job, order.index, order.attempt);
        if (order.verb == Verb::stop)
            out += fmt::format(R"(,"drainS":{})", order.drain_s);
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

std::string to_body(const Heartbeat& heartbeat) {
    Json json{{"host", heartbeat.machine},    {"addr", heartbeat.addr},           {"flavor", heartbeat.type},
              {"yard", heartbeat.zone},       {"standby", heartbeat.spot},        {"tenure", heartbeat.agent_epoch},
              {"counter", heartbeat.counter}, {"fence", heartbeat.fencing_token}, {"evictionInS", nullptr},
              {"shards", Json::array()}};
    if (heartbeat.notice_s >= 0)
        json["evictionInS"] = heartbeat.notice_s;
    for (const auto& task : heartbeat.tasks) {
        Json e{{"shard", task_name(task.job, task.index)}, {"try", task.attempt}, {"status", name_of(task.state)}};
        if (task.state == TaskState::ended)
            e["exitCause"] = name_of(task.cause);
        if (task.saved)
            e["stored"] = true;
        json["shards"].push_back(std::move(e));
    }
    return json.dump();
}

std::optional<Orders> read_orders(std::string_view body) {
    const auto json = parse(body);
    if (!json.is_object())
        return {};
    Orders o;
    if (std::uint64_t n = 0; count(json, "fence", n))
        o.fencing_token = n;
    if (std::uint64_t n = 0; count(json, "tenure", n))
        o.agent_epoch = n;
    const auto* list = field(json, "orders");
    if (list == nullptr)
        return o;
    if (!list->is_array())
        return {};
    for (const auto& e : *list) {
        if (!e.is_object())
            return {};
        Order order;
        const auto verb = text(e, "verb");
        if (verb != "launch" && verb != "stop" && verb != "reap")
            return {};
        order.verb = verb == "launch" ? Verb::launch : verb == "stop" ? Verb::stop : Verb::reap;
        if (!split_task(text(e, "shard"), order.job, order.index) || !count(e, "try", order.attempt))
            return {};
        order.drain_s = number(e, "drainS");
        o.list.push_back(std::move(order));
    }
    return o;
}

std::string redirected_to(std::string_view body) {
    const auto json = parse(body);
    return json.is_object() ? text(json, "reportsTo") : std::string();
}

} // namespace heronshift::codec
