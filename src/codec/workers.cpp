// Messages exchanged with workers: heartbeats, orders and redirects.
#include "fields.hpp"

#include <charconv>
#include <fmt/format.h>

namespace heronshift::codec {

bool split_task(std::string_view text, std::string& job, std::uint32_t& index) {
    const auto slash = text.rfind('/');
    if (slash == std::string_view::npos)
        return false;
    const auto* end = text.data() + text.size();
    const auto [parsed, error] = std::from_chars(text.data() + slash + 1, end, index);
    if (error != std::errc() || parsed != end || index >= max_tasks)
        return false;
    job = text.substr(0, slash);
    return valid_job_id(job);
}

std::string task_name(const std::string& job, std::uint32_t index) {
    return job + "/" + std::to_string(index);
}

namespace {

constexpr std::size_t max_machine_id = 100; // bytes

std::optional<ReportedTask> read_task(const Json& json) {
    if (!json.is_object())
        return {};
    ReportedTask task;
    const auto state = words::value_of(words::task_states, text(json, words::status));
    if (!split_task(text(json, words::task), task.job, task.index) || !count(json, words::attempt, task.attempt) ||
        !state)
        return {};
    task.state = *state;
    if (task.state == TaskState::ended)
        task.cause = words::value_of(words::exit_causes, text(json, words::exit_cause)).value_or(ExitCause::unknown);
    task.saved = flag(json, words::saved);
    return task;
}

} // namespace

std::optional<Heartbeat> heartbeat(std::string_view body) {
    const auto json = parse(body);
    if (!json.is_object())
        return {};
    Heartbeat heartbeat;
    heartbeat.machine = text(json, words::machine);
    heartbeat.addr = text(json, words::address);
    heartbeat.type = text(json, words::machine_type);
    heartbeat.zone = text(json, words::zone);
    heartbeat.spot = flag(json, words::spot);
    if (heartbeat.machine.empty() || heartbeat.machine.size() > max_machine_id ||
        !count(json, words::agent_epoch, heartbeat.agent_epoch) || !count(json, words::counter, heartbeat.counter))
        return {};
    count(json, words::fencing_token, heartbeat.fencing_token);
    heartbeat.notice_s = number(json, words::notice_s, -1);
    if (!read_list(json, words::tasks, read_task, heartbeat.tasks))
        return {};
    return heartbeat;
}

namespace {
void append_orders(std::string& out, const std::vector<Order>& list) {
    out += R"("orders":[)";
    bool first = true;
    for (const auto& order : list) {
        if (!first)
            out += ',';
        first = false;
        const auto verb = words::word_of(words::verbs, order.verb);
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
    return Json{{words::error, what}}.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string redirect(const std::string& node) {
    return Json{{words::redirected_to, node}}.dump();
}

std::string to_body(const Heartbeat& heartbeat) {
    Json json{{words::machine, heartbeat.machine},
              {words::address, heartbeat.addr},
              {words::machine_type, heartbeat.type},
              {words::zone, heartbeat.zone},
              {words::spot, heartbeat.spot},
              {words::agent_epoch, heartbeat.agent_epoch},
              {words::counter, heartbeat.counter},
              {words::fencing_token, heartbeat.fencing_token},
              {words::notice_s, nullptr},
              {words::tasks, Json::array()}};
    if (heartbeat.notice_s >= 0)
        json[words::notice_s] = heartbeat.notice_s;
    for (const auto& task : heartbeat.tasks) {
        Json entry{{words::task, task_name(task.job, task.index)},
                   {words::attempt, task.attempt},
                   {words::status, words::word_of(words::task_states, task.state)}};
        if (task.state == TaskState::ended)
            entry[words::exit_cause] = words::word_of(words::exit_causes, task.cause);
        if (task.saved)
            entry[words::saved] = true;
        json[words::tasks].push_back(std::move(entry));
    }
    return json.dump();
}

namespace {

std::optional<Order> read_order(const Json& json) {
    if (!json.is_object())
        return {};
    const auto verb = words::value_of(words::verbs, text(json, words::verb));
    if (!verb)
        return {};
    Order order;
    order.verb = *verb;
    if (!split_task(text(json, words::task), order.job, order.index) || !count(json, words::attempt, order.attempt))
        return {};
    order.drain_s = number(json, words::drain_s);
    return order;
}

} // namespace

std::optional<Orders> read_orders(std::string_view body) {
    const auto json = parse(body);
    if (!json.is_object())
        return {};
    Orders orders;
    if (std::uint64_t value = 0; count(json, words::fencing_token, value))
        orders.fencing_token = value;
    if (std::uint64_t value = 0; count(json, words::agent_epoch, value))
        orders.agent_epoch = value;
    if (!read_list(json, words::orders, read_order, orders.list))
        return {};
    return orders;
}

std::string redirected_to(std::string_view body) {
    const auto json = parse(body);
    return json.is_object() ? text(json, words::redirected_to) : std::string();
}

} // namespace heronshift::codec
