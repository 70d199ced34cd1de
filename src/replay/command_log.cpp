#include "heronshift/replay/command_log.hpp"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <tuple>
#include <type_traits>
#include <xxhash.h>
#include <zstd.h>

// The keys of the log are written out here, so that recorded logs stay readable whatever the fields of the program are
// called. A key never changes while log_version stays the same.
namespace heronshift::replay {
namespace {

template <class T, class Member> struct LogField {
    const char* key;
    Member T::*member;
};
template <class T, class Member> constexpr LogField<T, Member> field(const char* key, Member T::*member) {
    return {key, member};
}

// Specialised for every type that occurs in a log: a tuple of its fields.
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
inline constexpr auto log_fields<Snapshot> =
    std::tuple{field("jobs", &Snapshot::jobs),         field("intents", &Snapshot::intents),
               field("progress", &Snapshot::progress), field("images", &Snapshot::images),
               field("learned", &Snapshot::learned),   field("earlier", &Snapshot::earlier)};
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
    std::tuple{field("report", &HeartbeatReceived::heartbeat), field("handle", &HeartbeatReceived::handle)};
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

template <class T>
concept Logged = !std::is_same_v<std::remove_cv_t<decltype(log_fields<T>)>, std::nullptr_t>;

} // namespace
} // namespace heronshift::replay

NLOHMANN_JSON_NAMESPACE_BEGIN
template <heronshift::replay::Logged T> struct adl_serializer<T> {
    static void to_json(json& j, const T& value) {
        j = json::object();
        std::apply([&](const auto&... f) { ((j[f.key] = value.*f.member), ...); }, heronshift::replay::log_fields<T>);
    }
    static void from_json(const json& j, T& value) {
        std::apply([&](const auto&... f) { (j.at(f.key).get_to(value.*f.member), ...); },
                   heronshift::replay::log_fields<T>);
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

namespace heronshift {
namespace replay {
namespace {

using Json = nlohmann::json;
// On standard error, which collectors of logs cut into lines of a few KiB: "@+ " before a part that goes
// on, "@ " before the last one.
constexpr std::size_t part_bytes = 4000;
constexpr std::uint64_t flush_bytes = 64UL * 1024; // before compression: the most that a kill loses

std::string dump(const Json& json) {
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// A variant as [which, value].
template <class V> Json to_json_of(const V& v) {
    return std::visit([&](const auto& x) { return Json::array({v.index(), x}); }, v);
}

template <class V, std::size_t I = 0> V variant_from(std::size_t which, const Json& json) {
    if constexpr (I == std::variant_size_v<V>) {
        throw std::invalid_argument("a command of an unknown kind");
    } else {
        if (which == I)
            return json.get<std::variant_alternative_t<I, V>>();
        return variant_from<V, I + 1>(which, json);
    }
}

std::uint64_t digest(std::string_view text) {
    return XXH3_64bits(text.data(), text.size());
}

// Of a batch: one short number an effect, so that the first that differs can be named.
std::string digest_of(const std::vector<Effect>& list) {
    std::string out;
    for (const auto& e : list)
        out += fmt::format("{:08x}", static_cast<std::uint32_t>(digest(text_of(e))));
    return out;
}

bool compressed(const std::string& path) {
    return path.ends_with(".zst");
}

} // namespace

std::string text_of(const Effect& effect) {
    return dump(to_json_of(effect));
}

struct CommandLog::Out {
    std::FILE* file = nullptr;
    bool owned = true;
    ZSTD_CCtx* zstd = nullptr;
    std::vector<char> buffer;
    std::uint64_t unflushed = 0;

    ~Out() {
        if (zstd != nullptr) {
            write({}, ZSTD_e_end);
            ZSTD_freeCCtx(zstd);
        }
        if (file != nullptr && owned)
            std::fclose(file);
    }
    bool put(const char* at, std::size_t n) {
        return std::fwrite(at, 1, n, file) == n;
    }
    bool write(std::string_view text, ZSTD_EndDirective how) {
        if (zstd == nullptr)
            return put(text.data(), text.size());
        ZSTD_inBuffer in{text.data(), text.size(), 0};
        for (;;) {
            ZSTD_outBuffer out{buffer.data(), buffer.size(), 0};
            const auto left = ZSTD_compressStream2(zstd, &out, &in, how);
            if (ZSTD_isError(left) != 0U || !put(buffer.data(), out.pos))
                return false;
            if (how == ZSTD_e_continue ? in.pos == in.size : left == 0)
                return true;
        }
    }
};

CommandLog::CommandLog(const std::string& path, std::uint64_t max_bytes)
    : out_(std::make_unique<Out>()), left_(max_bytes) {
    if (path == "-") {
        out_->file = stderr;
        out_->owned = false;
    } else {
        out_->file = std::fopen(path.c_str(), "wbx"); // an earlier record is never written over
        if (out_->file == nullptr)
            throw LogError(fmt::format("{}: {}", path, std::strerror(errno)));
    }
    if (compressed(path)) {
        out_->zstd = ZSTD_createCCtx();
        out_->buffer.resize(ZSTD_CStreamOutSize());
    }
    line(dump({{"heronshift", "command log"}, {"version", log_version}}));
}

CommandLog::~CommandLog() = default;

void CommandLog::line(const std::string& text) {
    if (!out_)
        return;
    if (!out_->owned) { // each part in a write of its own
        std::size_t at = 0;
        for (; text.size() - at > part_bytes; at += part_bytes)
            out_->write("@+ " + text.substr(at, part_bytes) + '\n', ZSTD_e_continue);
        out_->write("@ " + text.substr(at) + '\n', ZSTD_e_continue);
        return;
    }
    const auto whole = text + '\n';
    if (whole.size() > left_) {
        why_ = "its bound is reached";
        out_.reset();
        return;
    }
    left_ -= whole.size();
    out_->unflushed += whole.size();
    const bool flush = out_->unflushed >= flush_bytes;
    if (flush)
        out_->unflushed = 0;
    if (out_->write(whole, flush ? ZSTD_e_flush : ZSTD_e_continue) && (!flush || std::fflush(out_->file) == 0))
        return;
    why_ = std::strerror(errno);
    out_.reset();
}

void CommandLog::begin(const Settings& settings, std::uint64_t term, const Snapshot& stored, double now, double wall) {
    if (!out_)
        return;
    line(dump({{"begin", term}, {"now", now}, {"wall", wall}, {"settings", settings}, {"stored", stored}}));
}

void CommandLog::commands(const std::vector<Command>& batch, double now, double wall, bool may_act) {
    if (!out_)
        return;
    auto list = Json::array();
    for (const auto& c : batch)
        list.push_back(to_json_of(c));
    pending_ = dump({{"now", now}, {"wall", wall}, {"entitled", may_act}, {"commands", std::move(list)}});
}

void CommandLog::effects(const std::vector<Effect>& list) {
    if (!out_ || pending_.empty())
        return;
    pending_.back() = ','; // one more field
    line(pending_ + fmt::format(R"("effects":"{}"}})", digest_of(list)));
    pending_.clear();
}

struct LogReader::In {
    std::FILE* file = nullptr;
    ZSTD_DCtx* zstd = nullptr;
    std::vector<char> raw = std::vector<char>(1 << 16), plain = std::vector<char>(1 << 17);
    ZSTD_inBuffer in{nullptr, 0, 0};
    std::string text;
    std::size_t at = 0;
    bool inside = false; // a compressed frame that has not ended yet

    ~In() {
        if (zstd != nullptr)
            ZSTD_freeDCtx(zstd);
        if (file != nullptr)
            std::fclose(file);
    }
    // More text; false at the end of the file. Empty: what is wrong is said.
    bool more(std::string& wrong) {
        text.erase(0, at);
        at = 0;
        if (zstd == nullptr) {
            const auto n = std::fread(raw.data(), 1, raw.size(), file);
            if (n == 0 && std::ferror(file) != 0)
                wrong = std::strerror(errno);
            text.append(raw.data(), n);
            return n > 0;
        }
        for (;;) {
            if (in.pos == in.size) {
                const auto n = std::fread(raw.data(), 1, raw.size(), file);
                if (n == 0) {
                    if (std::ferror(file) != 0)
                        wrong = std::strerror(errno);
                    return false;
                }
                in = {raw.data(), n, 0};
            }
            ZSTD_outBuffer out{plain.data(), plain.size(), 0};
            const auto hint = ZSTD_decompressStream(zstd, &out, &in);
            if (ZSTD_isError(hint) != 0U) {
                wrong = fmt::format("not compressed as it should be: {}", ZSTD_getErrorName(hint));
                return false;
            }
            inside = hint != 0;
            text.append(plain.data(), out.pos);
            if (out.pos > 0)
                return true;
        }
    }
};

LogReader::LogReader(const std::string& path) : path_(path), in_(std::make_unique<In>()) {
    in_->file = std::fopen(path.c_str(), "rb");
    if (in_->file == nullptr)
        throw LogError(fmt::format("{}: {}", path, std::strerror(errno)));
    if (compressed(path))
        in_->zstd = ZSTD_createDCtx();
}

LogReader::~LogReader() = default;

void LogReader::fail(const std::string& why) const {
    throw LogError(fmt::format("{}:{}: {}", path_, number_, why));
}

bool LogReader::next(std::string& line) {
    ++number_;
    std::size_t looked = in_->at;
    for (;;) {
        const auto end = in_->text.find('\n', looked);
        if (end != std::string::npos) {
            line.assign(in_->text, in_->at, end - in_->at);
            in_->at = end + 1;
            return true;
        }
        looked = in_->text.size() - in_->at;
        std::string wrong;
        if (!in_->more(wrong)) {
            if (!wrong.empty())
                fail(wrong);
            if (in_->text.empty() && !in_->inside)
                return false;
            line.clear();
            fail("the file ends in the middle of a line");
        }
    }
}

namespace {

struct Batch {
    double now = 0, wall = 0;
    bool may_act = true;
    std::vector<Command> commands;
    std::string effects;
};

Batch read_batch(const Json& json) {
    Batch b;
    b.now = json.at("now").get<double>();
    b.wall = json.at("wall").get<double>();
    b.may_act = json.at("entitled").get<bool>();
    b.effects = json.at("effects").get<std::string>();
    if (b.effects.size() % 8 != 0)
        throw std::invalid_argument("effects: not a list of digests");
    for (const auto& c : json.at("commands")) {
        if (!c.is_array() || c.size() != 2)
            throw std::invalid_argument("commands: not a kind and a value");
        b.commands.push_back(variant_from<Command>(c[0].get<std::size_t>(), c[1]));
    }
    return b;
}

std::unique_ptr<Difference> compare(const std::string& recorded, const std::vector<Effect>& list) {
    const auto got = digest_of(list);
    if (got == recorded)
        return {};
    auto d = std::make_unique<Difference>();
    const auto same = std::mismatch(got.begin(), got.end(), recorded.begin(), recorded.end());
    d->effect = static_cast<std::size_t>(same.first - got.begin()) / 8;
    d->what = fmt::format("effect {} of {} differs ({} recorded)", d->effect, list.size(), recorded.size() / 8);
    if (d->effect < list.size())
        d->got = text_of(list[d->effect]);
    else
        d->got = "no more effects";
    return d;
}

} // namespace

Outcome replay(const std::string& path, bool allow_cut) {
    LogReader in(path);
    Outcome out;
    std::string line;
    Settings settings;
    std::unique_ptr<Core> core;
    std::uint64_t term = 0;
    auto next = [&] {
        try {
            return in.next(line);
        } catch (const LogError&) {
            if (!allow_cut || !line.empty())
                throw;
            out.cut = true;
            return false;
        }
    };
    if (!next())
        in.fail("it is empty");
    const auto head = Json::parse(line, nullptr, false);
    if (!head.is_object() || head.value("heronshift", Json()) != "command log")
        in.fail("this is no command log");
    if (head.value("version", Json()) != log_version)
        in.fail(fmt::format("its version is not {}, which this program reads", log_version));
    while (next()) {
        const auto json = Json::parse(line, nullptr, false);
        if (!json.is_object())
            in.fail("not a JSON object");
        try {
            if (json.contains("begin")) {
                auto s = json.at("settings").get<Settings>();
                const auto stored = json.at("stored").get<Snapshot>();
                const auto now = json.at("now").get<double>(), wall = json.at("wall").get<double>();
                term = json.at("begin").get<std::uint64_t>();
                core.reset(); // it refers to the settings
                settings = std::move(s);
                core = std::make_unique<Core>(settings, term, stored, now, wall);
                ++out.terms;
                continue;
            }
            auto b = read_batch(json);
            if (!core)
                in.fail("a batch before any term began");
            ++out.batches;
            out.commands += b.commands.size();
            const auto list = core->step(b.commands, b.now, b.wall, b.may_act);
            out.effects += list.size();
            if (out.first = compare(b.effects, list); !out.first)
                continue;
            out.first->line = in.number();
            out.first->term = term;
            out.first->now = b.now;
            return out;
        } catch (const LogError&) {
            throw;
        } catch (const std::exception& error) { // of the JSON library: a missing field, a wrong type
            in.fail(error.what());
        }
    }
    return out;
}

} // namespace replay
} // namespace heronshift
