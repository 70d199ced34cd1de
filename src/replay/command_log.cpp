#include "heronshift/replay/command_log.hpp"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <xxhash.h>
#include <zstd.h>

// The words of the log are the names of the fields: it is read by the same project only, and its
// version says when they change.
NLOHMANN_JSON_NAMESPACE_BEGIN
template <class T> struct adl_serializer<std::optional<T>> {
    static void to_json(json& j, const std::optional<T>& v) {
        j = v ? json(*v) : json();
    }
    static void from_json(const json& j, std::optional<T>& v) {
        if (j.is_null())
            v.reset();
        else
            v = j.get<T>();
    }
};
NLOHMANN_JSON_NAMESPACE_END

namespace heronshift {

namespace codec {
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Item, key, value, stamp, deleted)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Write, key, value, hold)
} // namespace codec

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Resources, cpus, gpus, memory_gb)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobSpec, id, job_class, team, shape, rank, tasks, each, image, image_gb, types, zone,
                                   one_zone, spread, spot, estimate_s, checkpoint_s, save_s, deadline_s, needs,
                                   needs_damaged)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(MachineType, name, room, cache_gb, fetch_gb_per_s, price, spot_price, boot_s, zones)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ReportedTask, job, index, try_no, state, cause, saved)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Report, machine, addr, type, zone, spot, tenure, counter, fence, notice_s, tasks)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Order, verb, job, index, try_no, drain_s)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ListedMachine, id, addr, type, zone, status, spot, age_s)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TeamLimits, name, cpus, cpus_max, gpus, gpus_max)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Endpoint, host, port)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Peer, name, zone, addr)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Objective, kind, job_class, within_s, share, times)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(OperatorSettings, alpha, beta, gamma, target_share, pull_back_cap, reorder_cap,
                                   round_s, batch, headroom, empty_s, begin_s)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Settings, name, zone, listen, peer_listen, peers, cloud, state, zones, time_bound_s,
                                   teams, objectives, report_s, lease_s, gang_wait_s, gang_peer_s, cancel_s, state_rps,
                                   state_write_rps, value_kb, txn_ops, cloud_rps, list_lag_s, cores, memory_mb,
                                   fd_limit, ops)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Snapshot, jobs, intents, progress, images, learned, earlier)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobStored, spec, age_s, ready_age_s, waits)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobFound, id, state, job)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CancelAsked, id, handle)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Beat, report, handle)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(OrdersAnswered, machine, batch, status, sent, report)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Committed, outcome)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Rented, claim, outcome, machines)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Released, machines, ok)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Listed, machines, asked_at)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TypesKnown, types)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Commit, writes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SendOrders, machine, addr, batch, fence, tenure, orders)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(BeatAnswer, handle, status, fence, orders)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CancelAnswer, handle, status)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Rent, claim, type, zone, spot, count)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Release, machines)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(FindJob, id)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StepDown, why)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Note, level, text)

namespace replay {
namespace {

using Json = nlohmann::json;
// On standard error, which collectors of logs cut into lines of a few KiB: "@+ " before a part that goes
// on, "@ " before the last one.
constexpr std::size_t part_bytes = 4000;
constexpr std::uint64_t flush_bytes = 64UL * 1024; // before compression: the most that a kill loses

std::string dump(const Json& j) {
    return j.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// A variant as [which, value].
template <class V> Json to_json_of(const V& v) {
    return std::visit([&](const auto& x) { return Json::array({v.index(), x}); }, v);
}

template <class V, std::size_t I = 0> V variant_from(std::size_t which, const Json& j) {
    if constexpr (I == std::variant_size_v<V>) {
        throw std::invalid_argument("a command of an unknown kind");
    } else {
        if (which == I)
            return j.get<std::variant_alternative_t<I, V>>();
        return variant_from<V, I + 1>(which, j);
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

std::string text_of(const Effect& e) {
    return dump(to_json_of(e));
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

CommandLog::CommandLog(const std::string& path, std::uint64_t most_bytes)
    : out_(std::make_unique<Out>()), left_(most_bytes) {
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

void CommandLog::begin(const Settings& s, std::uint64_t term, const Snapshot& stored, double now, double wall) {
    if (!out_)
        return;
    line(dump({{"begin", term}, {"now", now}, {"wall", wall}, {"settings", s}, {"stored", stored}}));
}

void CommandLog::commands(const std::vector<Command>& batch, double now, double wall, bool entitled) {
    if (!out_)
        return;
    auto list = Json::array();
    for (const auto& c : batch)
        list.push_back(to_json_of(c));
    pending_ = dump({{"now", now}, {"wall", wall}, {"entitled", entitled}, {"commands", std::move(list)}});
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
    bool entitled = true;
    std::vector<Command> commands;
    std::string effects;
};

Batch read_batch(const Json& j) {
    Batch b;
    b.now = j.at("now").get<double>();
    b.wall = j.at("wall").get<double>();
    b.entitled = j.at("entitled").get<bool>();
    b.effects = j.at("effects").get<std::string>();
    if (b.effects.size() % 8 != 0)
        throw std::invalid_argument("effects: not a list of digests");
    for (const auto& c : j.at("commands")) {
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
        const auto j = Json::parse(line, nullptr, false);
        if (!j.is_object())
            in.fail("not a JSON object");
        try {
            if (j.contains("begin")) {
                auto s = j.at("settings").get<Settings>();
                const auto stored = j.at("stored").get<Snapshot>();
                const auto now = j.at("now").get<double>(), wall = j.at("wall").get<double>();
                term = j.at("begin").get<std::uint64_t>();
                core.reset(); // it refers to the settings
                settings = std::move(s);
                core = std::make_unique<Core>(settings, term, stored, now, wall);
                ++out.terms;
                continue;
            }
            auto b = read_batch(j);
            if (!core)
                in.fail("a batch before any term began");
            ++out.batches;
            out.commands += b.commands.size();
            const auto list = core->step(b.commands, b.now, b.wall, b.entitled);
            out.effects += list.size();
            if (out.first = compare(b.effects, list); !out.first)
                continue;
            out.first->line = in.number();
            out.first->term = term;
            out.first->now = b.now;
            return out;
        } catch (const LogError&) {
            throw;
        } catch (const std::exception& e) { // of the JSON library: a missing field, a wrong type
            in.fail(e.what());
        }
    }
    return out;
}

} // namespace replay
} // namespace heronshift
