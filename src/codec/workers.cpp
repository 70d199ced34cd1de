// Messages exchanged with workers: heartbeats, orders and redirects.
#include "fields.hpp"

#include <algorithm>
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

constexpr std::size_t max_machine_id_bytes = 100; // bytes

std::optional<ReportedTask> read_task(const Json& json) {
    if (!json.is_object())
        return {};
    ReportedTask task;
    const auto state = wire::enumerator_of(wire::task_states, text(json, wire::status));
    if (!split_task(text(json, wire::task), task.job, task.index) || !count(json, wire::attempt, task.attempt) ||
        !state)
        return {};
    task.state = *state;
    if (task.state == TaskState::ended)
        task.cause = wire::enumerator_of(wire::exit_causes, text(json, wire::exit_cause)).value_or(ExitCause::unknown);
    task.saved = flag(json, wire::saved);
    return task;
}

} // namespace

std::optional<Heartbeat> heartbeat(std::string_view body) {
    const auto json = parse(body);
    if (!json.is_object())
        return {};
    Heartbeat heartbeat;
    heartbeat.machine = text(json, wire::machine);
    heartbeat.addr = text(json, wire::address);
    heartbeat.type = text(json, wire::machine_type);
    heartbeat.zone = text(json, wire::zone);
    heartbeat.spot = flag(json, wire::spot);
    if (heartbeat.machine.empty() || heartbeat.machine.size() > max_machine_id_bytes ||
        !count(json, wire::agent_epoch, heartbeat.agent_epoch) || !count(json, wire::counter, heartbeat.counter))
        return {};
    count(json, wire::fencing_token, heartbeat.fencing_token);
    heartbeat.notice_s = number(json, wire::notice_s, -1);
    if (!read_list(json, wire::tasks, read_task, heartbeat.tasks))
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
        const auto verb = wire::wire_name_of(wire::verbs, order.verb);
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
    return Json{{wire::error, what}}.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string redirect(const std::string& node) {
    return Json{{wire::redirected_to, node}}.dump();
}

namespace {

Json task_to_json(const ReportedTask& task) {
    Json json{{wire::task, task_name(task.job, task.index)},
              {wire::attempt, task.attempt},
              {wire::status, wire::wire_name_of(wire::task_states, task.state)}};
    if (task.state == TaskState::ended)
        json[wire::exit_cause] = wire::wire_name_of(wire::exit_causes, task.cause);
    if (task.saved)
        json[wire::saved] = true;
    return json;
}

// The bytes of a listed task and the comma after it, with a space after each separator, as some encoders write it.
std::size_t spaced_bytes(const ReportedTask& task) {
    const auto text = task_to_json(task).dump() + ",";
    const auto is_separator = [](char c) { return c == ',' || c == ':'; };
    return text.size() + static_cast<std::size_t>(std::count_if(text.begin(), text.end(), is_separator));
}

// The most bytes that a listed task takes besides the job, the index and the attempt.
std::size_t max_bytes_beside_name_and_attempt(bool may_save) {
    constexpr std::size_t index_and_attempt_bytes = 2; // both are 0 here
    std::size_t most = 0;
    for (const auto& state : wire::task_states)
        most = std::max(most, spaced_bytes({"", 0, 0, state.value, ExitCause::done, false}));
    for (const auto& cause : wire::exit_causes)
        most = std::max(most, spaced_bytes({"", 0, 0, TaskState::ended, cause.value, false}));
    if (may_save)
        most = std::max(most, spaced_bytes({"", 0, 0, TaskState::ended, ExitCause::stopped, true}));
    return most - index_and_attempt_bytes;
}

} // namespace

std::string to_body(const Heartbeat& heartbeat) {
    Json json{{wire::machine, heartbeat.machine},
              {wire::address, heartbeat.addr},
              {wire::machine_type, heartbeat.type},
              {wire::zone, heartbeat.zone},
              {wire::spot, heartbeat.spot},
              {wire::agent_epoch, heartbeat.agent_epoch},
              {wire::counter, heartbeat.counter},
              {wire::fencing_token, heartbeat.fencing_token},
              {wire::notice_s, nullptr},
              {wire::tasks, Json::array()}};
    if (heartbeat.notice_s >= 0)
        json[wire::notice_s] = heartbeat.notice_s;
    for (const auto& task : heartbeat.tasks)
        json[wire::tasks].push_back(task_to_json(task));
    return json.dump();
}

std::size_t max_listed_task_bytes(std::string_view job, std::uint32_t index, std::uint64_t attempt, bool may_save) {
    static const std::size_t without_save = max_bytes_beside_name_and_attempt(false);
    static const std::size_t with_save = max_bytes_beside_name_and_attempt(true);
    return job.size() + fmt::formatted_size("{}{}", index, attempt) + (may_save ? with_save : without_save);
}

namespace {

std::optional<Order> read_order(const Json& json) {
    if (!json.is_object())
        return {};
    const auto verb = wire::enumerator_of(wire::verbs, text(json, wire::verb));
    if (!verb)
        return {};
    Order order;
    order.verb = *verb;
    if (!split_task(text(json, wire::task), order.job, order.index) || !count(json, wire::attempt, order.attempt))
        return {};
    order.drain_s = number(json, wire::drain_s);
    return order;
}

} // namespace

std::optional<Orders> read_orders(std::string_view body) {
    const auto json = parse(body);
    if (!json.is_object())
        return {};
    Orders orders;
    if (std::uint64_t value = 0; count(json, wire::fencing_token, value))
        orders.fencing_token = value;
    if (std::uint64_t value = 0; count(json, wire::agent_epoch, value))
        orders.agent_epoch = value;
    if (!read_list(json, wire::orders, read_order, orders.list))
        return {};
    return orders;
}

std::string redirected_to(std::string_view body) {
    const auto json = parse(body);
    return json.is_object() ? text(json, wire::redirected_to) : std::string();
}

} // namespace heronshift::codec
