/// The JSON encoding of typed messages in command logs.
///
/// Each member of a type is listed with its key in the log, so that members can be renamed while recorded logs stay
/// readable. A key must not change while log_version stays the same. Decoding throws nlohmann::json::exception if a
/// field is missing or of another type.
#pragma once

#include "replay/command_log.hpp"

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <tuple>
#include <type_traits>

namespace heronshift::replay {

/// A member of a type and its key in the log.
template <class T, class Member> struct LogField {
    const char* key;
    Member T::*member;
    bool is_optional = false; ///< The field may be missing, since logs of earlier builds don't contain it.
};
template <class T, class Member> constexpr LogField<T, Member> field(const char* key, Member T::*member) {
    return {key, member};
}
template <class T, class Member> constexpr LogField<T, Member> optional_field(const char* key, Member T::*member) {
    return {key, member, true};
}

/// The fields of a type, as a tuple of LogField. Specialised for every type that is written to a log.
template <class T> inline constexpr std::nullptr_t log_fields = nullptr;
template <>
inline constexpr auto log_fields<codec::Item> =
    std::tuple{field("key", &codec::Item::key), field("value", &codec::Item::value),
               field("stamp", &codec::Item::mod_revision), field("deleted", &codec::Item::deleted)};
template <>
inline constexpr auto log_fields<codec::Write> = std::tuple{
    field("key", &codec::Write::key), field("value", &codec::Write::value), field("hold", &codec::Write::lease)};
template <>
inline constexpr auto log_fields<Resources> = std::tuple{
    field("cpus", &Resources::cpus), field("gpus", &Resources::gpus), field("memory_gb", &Resources::memory_gb)};
template <>
inline constexpr auto log_fields<JobSpec> = std::tuple{field("id", &JobSpec::id),
                                                       field("job_class", &JobSpec::job_class),
                                                       field("team", &JobSpec::team),
                                                       field("shape", &JobSpec::shape),
                                                       field("rank", &JobSpec::priority),
                                                       field("tasks", &JobSpec::tasks),
                                                       field("each", &JobSpec::each),
                                                       field("image", &JobSpec::image),
                                                       field("image_gb", &JobSpec::image_gb),
                                                       field("types", &JobSpec::types),
                                                       field("zone", &JobSpec::zone),
                                                       field("one_zone", &JobSpec::one_zone),
                                                       field("spread", &JobSpec::spread),
                                                       field("spot", &JobSpec::spot),
                                                       field("estimate_s", &JobSpec::estimate_s),
                                                       field("checkpoint_s", &JobSpec::checkpoint_s),
                                                       field("save_s", &JobSpec::save_s),
                                                       field("deadline_s", &JobSpec::deadline_s),
                                                       field("needs", &JobSpec::dependencies),
                                                       field("needs_damaged", &JobSpec::dependencies_damaged)};
template <>
inline constexpr auto log_fields<MachineType> =
    std::tuple{field("name", &MachineType::name),         field("room", &MachineType::room),
               field("cache_gb", &MachineType::cache_gb), field("fetch_gb_per_s", &MachineType::fetch_gb_per_s),
               field("price", &MachineType::price),       field("spot_price", &MachineType::spot_price),
               field("boot_s", &MachineType::boot_s),     field("zones", &MachineType::zones)};
template <>
inline constexpr auto log_fields<ReportedTask> =
    std::tuple{field("job", &ReportedTask::job),        field("index", &ReportedTask::index),
               field("try_no", &ReportedTask::attempt), field("state", &ReportedTask::state),
               field("cause", &ReportedTask::cause),    field("saved", &ReportedTask::saved)};
template <>
inline constexpr auto log_fields<Heartbeat> =
    std::tuple{field("machine", &Heartbeat::machine),   field("addr", &Heartbeat::addr),
               field("type", &Heartbeat::type),         field("zone", &Heartbeat::zone),
               field("spot", &Heartbeat::spot),         field("tenure", &Heartbeat::agent_epoch),
               field("counter", &Heartbeat::counter),   field("fence", &Heartbeat::fencing_token),
               field("notice_s", &Heartbeat::notice_s), field("tasks", &Heartbeat::tasks)};
template <>
inline constexpr auto log_fields<Order> =
    std::tuple{field("verb", &Order::verb), field("job", &Order::job), field("index", &Order::index),
               field("try_no", &Order::attempt), field("drain_s", &Order::drain_s)};
template <>
inline constexpr auto log_fields<ListedMachine> =
    std::tuple{field("id", &ListedMachine::id),         field("addr", &ListedMachine::addr),
               field("type", &ListedMachine::type),     field("zone", &ListedMachine::zone),
               field("status", &ListedMachine::status), field("spot", &ListedMachine::spot),
               field("age_s", &ListedMachine::age_s)};
template <>
inline constexpr auto log_fields<TeamLimits> =
    std::tuple{field("name", &TeamLimits::name), field("cpus", &TeamLimits::cpus),
               field("cpus_max", &TeamLimits::cpus_max), field("gpus", &TeamLimits::gpus),
               field("gpus_max", &TeamLimits::gpus_max)};
template <>
inline constexpr auto log_fields<Endpoint> = std::tuple{field("host", &Endpoint::host), field("port", &Endpoint::port)};
template <>
inline constexpr auto log_fields<Peer> =
    std::tuple{field("name", &Peer::name), field("zone", &Peer::zone), field("addr", &Peer::addr)};
template <>
inline constexpr auto log_fields<Objective> =
    std::tuple{field("kind", &Objective::kind), field("job_class", &Objective::job_class),
               field("within_s", &Objective::within_s), field("share", &Objective::share),
               field("times", &Objective::times)};
template <>
inline constexpr auto log_fields<OperatorSettings> =
    std::tuple{field("alpha", &OperatorSettings::alpha),
               field("beta", &OperatorSettings::beta),
               field("gamma", &OperatorSettings::gamma),
               field("target_share", &OperatorSettings::target_share),
               field("pull_back_cap", &OperatorSettings::pull_back_cap),
               field("reorder_cap", &OperatorSettings::reorder_cap),
               field("round_s", &OperatorSettings::round_s),
               field("batch", &OperatorSettings::batch),
               field("headroom", &OperatorSettings::headroom),
               field("empty_s", &OperatorSettings::empty_s),
               field("begin_s", &OperatorSettings::begin_s)};
template <>
inline constexpr auto log_fields<Settings> = std::tuple{field("name", &Settings::name),
                                                        field("zone", &Settings::zone),
                                                        field("listen", &Settings::listen),
                                                        field("peer_listen", &Settings::peer_listen),
                                                        field("peers", &Settings::peers),
                                                        field("cloud", &Settings::cloud),
                                                        field("state", &Settings::state),
                                                        field("zones", &Settings::zones),
                                                        field("time_bound_s", &Settings::time_bound_s),
                                                        field("teams", &Settings::teams),
                                                        field("objectives", &Settings::objectives),
                                                        field("report_s", &Settings::report_s),
                                                        field("lease_s", &Settings::lease_s),
                                                        field("gang_wait_s", &Settings::gang_wait_s),
                                                        field("gang_peer_s", &Settings::gang_peer_s),
                                                        field("cancel_s", &Settings::cancel_s),
                                                        field("state_rps", &Settings::state_rps),
                                                        field("state_write_rps", &Settings::state_write_rps),
                                                        field("value_kb", &Settings::value_kb),
                                                        field("txn_ops", &Settings::txn_ops),
                                                        field("cloud_rps", &Settings::cloud_rps),
                                                        field("list_lag_s", &Settings::list_lag_s),
                                                        field("cores", &Settings::cores),
                                                        field("memory_mb", &Settings::memory_mb),
                                                        field("fd_limit", &Settings::fd_limit),
                                                        field("ops", &Settings::ops)};
template <>
inline constexpr auto log_fields<Snapshot> = std::tuple{field("jobs", &Snapshot::jobs),
                                                        field("intents", &Snapshot::intents),
                                                        field("progress", &Snapshot::progress),
                                                        field("images", &Snapshot::images),
                                                        field("learned", &Snapshot::learned),
                                                        field("earlier", &Snapshot::legacy),
                                                        optional_field("cascades", &Snapshot::cascades)};
template <>
inline constexpr auto log_fields<JobStored> =
    std::tuple{field("spec", &JobStored::spec), field("age_s", &JobStored::age_s),
               field("ready_age_s", &JobStored::ready_age_s), field("waits", &JobStored::waits)};
template <>
inline constexpr auto log_fields<JobFound> =
    std::tuple{field("id", &JobFound::id), field("state", &JobFound::state), field("job", &JobFound::job)};
template <>
inline constexpr auto log_fields<CancellationRequested> =
    std::tuple{field("id", &CancellationRequested::id), field("handle", &CancellationRequested::handle)};
template <>
inline constexpr auto log_fields<HeartbeatReceived> =
    std::tuple{field("report", &HeartbeatReceived::heartbeat), field("handle", &HeartbeatReceived::handle),
               optional_field("relayed", &HeartbeatReceived::relayed)};
template <>
inline constexpr auto log_fields<OrdersAnswered> =
    std::tuple{field("machine", &OrdersAnswered::machine), field("batch", &OrdersAnswered::batch),
               field("status", &OrdersAnswered::status), field("sent", &OrdersAnswered::sent),
               field("report", &OrdersAnswered::heartbeat)};
template <> inline constexpr auto log_fields<Committed> = std::tuple{field("outcome", &Committed::outcome)};
template <>
inline constexpr auto log_fields<Rented> = std::tuple{
    field("claim", &Rented::claim), field("outcome", &Rented::outcome), field("machines", &Rented::machines)};
template <>
inline constexpr auto log_fields<Released> =
    std::tuple{field("machines", &Released::machines), field("ok", &Released::ok)};
template <>
inline constexpr auto log_fields<MachinesListed> =
    std::tuple{field("machines", &MachinesListed::machines), field("asked_at", &MachinesListed::asked_at)};
template <> inline constexpr auto log_fields<MachineTypesKnown> = std::tuple{field("types", &MachineTypesKnown::types)};
template <> inline constexpr auto log_fields<Commit> = std::tuple{field("writes", &Commit::writes)};
template <>
inline constexpr auto log_fields<SendOrders> =
    std::tuple{field("machine", &SendOrders::machine),    field("addr", &SendOrders::addr),
               field("batch", &SendOrders::batch),        field("fence", &SendOrders::fencing_token),
               field("tenure", &SendOrders::agent_epoch), field("orders", &SendOrders::orders)};
template <>
inline constexpr auto log_fields<AnswerHeartbeat> =
    std::tuple{field("handle", &AnswerHeartbeat::handle), field("status", &AnswerHeartbeat::status),
               field("fence", &AnswerHeartbeat::fencing_token), field("orders", &AnswerHeartbeat::orders)};
template <>
inline constexpr auto log_fields<AnswerCancellation> =
    std::tuple{field("handle", &AnswerCancellation::handle), field("status", &AnswerCancellation::status)};
template <>
inline constexpr auto log_fields<Rent> =
    std::tuple{field("claim", &Rent::claim), field("type", &Rent::type), field("zone", &Rent::zone),
               field("spot", &Rent::spot), field("count", &Rent::count)};
template <> inline constexpr auto log_fields<Release> = std::tuple{field("machines", &Release::machines)};
template <> inline constexpr auto log_fields<FindJob> = std::tuple{field("id", &FindJob::id)};
template <> inline constexpr auto log_fields<Resign> = std::tuple{field("why", &Resign::why)};
template <>
inline constexpr auto log_fields<LogLine> = std::tuple{field("level", &LogLine::level), field("text", &LogLine::text)};

/// A type for which `log_fields` is specialised.
template <class T>
concept Logged = !std::is_same_v<std::remove_cv_t<decltype(log_fields<T>)>, std::nullptr_t>;

} // namespace heronshift::replay

NLOHMANN_JSON_NAMESPACE_BEGIN
template <heronshift::replay::Logged T> struct adl_serializer<T> {
    static void to_json(json& j, const T& value) {
        j = json::object();
        std::apply([&](const auto&... f) { ((j[f.key] = value.*f.member), ...); }, heronshift::replay::log_fields<T>);
    }
    static void from_json(const json& j, T& value) {
        const auto read = [&](const auto& f) {
            if (!f.is_optional || j.contains(f.key))
                j.at(f.key).get_to(value.*f.member);
        };
        std::apply([&](const auto&... f) { (read(f), ...); }, heronshift::replay::log_fields<T>);
    }
};
template <class T> struct adl_serializer<std::optional<T>> {
    static void to_json(json& j, const std::optional<T>& value) {
        j = value ? json(*value) : json();
    }
    static void from_json(const json& j, std::optional<T>& value) {
        if (j.is_null())
            value.reset();
        else
            value = j.get<T>();
    }
};
NLOHMANN_JSON_NAMESPACE_END
