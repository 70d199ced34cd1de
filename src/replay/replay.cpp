// Replays a command log with cores of this build.
#include "replay/command_log.hpp"

#include "log_fields.hpp"
#include "log_format.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <stdexcept>
#include <utility>
#include <variant>

namespace heronshift::replay {
namespace {

struct Batch {
    double now = 0, wall = 0;
    bool may_act = true;
    std::vector<Command> commands;
    std::string effects; // the digest of the effects
};

template <class Variant, std::size_t index = 0> Variant variant_from(std::size_t which, const Json& json) {
    if constexpr (index == std::variant_size_v<Variant>) {
        throw std::invalid_argument("commands: unknown kind of command");
    } else {
        if (which == index)
            return json.get<std::variant_alternative_t<index, Variant>>();
        return variant_from<Variant, index + 1>(which, json);
    }
}

Batch read_batch(const Json& json) {
    Batch batch;
    batch.now = json.at("now").get<double>();
    batch.wall = json.at("wall").get<double>();
    batch.may_act = json.at("entitled").get<bool>();
    batch.effects = json.at("effects").get<std::string>();
    if (batch.effects.size() % digest_digits != 0)
        throw std::invalid_argument("effects: not a list of digests");
    for (const auto& command : json.at("commands")) {
        if (!command.is_array() || command.size() != 2)
            throw std::invalid_argument("commands: a command must be an array of its kind and its value");
        batch.commands.push_back(variant_from<Command>(command[0].get<std::size_t>(), command[1]));
    }
    return batch;
}

std::unique_ptr<Difference> compare(const std::string& recorded, const std::vector<Effect>& list) {
    const auto got = digest_of(list);
    if (got == recorded)
        return {};
    auto difference = std::make_unique<Difference>();
    const auto first_mismatch = std::mismatch(got.begin(), got.end(), recorded.begin(), recorded.end());
    difference->effect = static_cast<std::size_t>(first_mismatch.first - got.begin()) / digest_digits;
    difference->what = fmt::format("effect {} of {} differs ({} recorded)", difference->effect, list.size(),
                                   recorded.size() / digest_digits);
    if (difference->effect < list.size())
        difference->got = json_text_of(list[difference->effect]);
    else
        difference->got = "no more effects";
    return difference;
}

// The replay of one log, with a new core for each term.
class Replay {
public:
    Replay(const std::string& path, bool allow_truncated) : in_(path), allow_truncated_(allow_truncated) {}

    Outcome run() {
        read_header();
        while (!outcome_.first && next())
            process_line();
        return std::move(outcome_);
    }

private:
    bool next() {
        try {
            return in_.next(line_);
        } catch (const LogError&) {
            if (!allow_truncated_ || !line_.empty())
                throw;
            outcome_.truncated = true;
            return false;
        }
    }

    void read_header() {
        if (!next())
            in_.fail("the file is empty");
        const auto header = Json::parse(line_, nullptr, false);
        if (!header.is_object() || header.value("heronshift", Json()) != log_kind)
            in_.fail("the file is not a command log");
        if (header.value("version", Json()) != log_version)
            in_.fail(fmt::format("unsupported version of the log format: this program reads version {}", log_version));
    }

    void process_line() {
        const auto json = Json::parse(line_, nullptr, false);
        if (!json.is_object())
            in_.fail("not a JSON object");
        try {
            if (json.contains("begin"))
                begin_term(json);
            else
                replay_batch(json);
        } catch (const LogError&) {
            throw;
        } catch (const std::exception& error) { // from the JSON library (a missing field, a wrong type) or read_batch()
            in_.fail(error.what());
        }
    }

    void begin_term(const Json& json) {
        auto settings = json.at("settings").get<Settings>();
        const auto stored = json.at("stored").get<Snapshot>();
        const auto now = json.at("now").get<double>(), wall = json.at("wall").get<double>();
        term_ = json.at("begin").get<std::uint64_t>();
        core_.reset(); // must not outlive the settings, which are replaced in the next line
        settings_ = std::move(settings);
        core_ = std::make_unique<Core>(settings_, term_, stored, now, wall);
        ++outcome_.terms;
    }

    void replay_batch(const Json& json) {
        auto batch = read_batch(json);
        if (!core_)
            in_.fail("a batch of commands before any term has begun");
        ++outcome_.batches;
        outcome_.commands += batch.commands.size();
        const auto effects = core_->step(batch.commands, batch.now, batch.wall, batch.may_act);
        outcome_.effects += effects.size();
        outcome_.first = compare(batch.effects, effects);
        if (!outcome_.first)
            return;
        outcome_.first->line = in_.number();
        outcome_.first->term = term_;
        outcome_.first->now = batch.now;
    }

    LogReader in_;
    bool allow_truncated_;
    Outcome outcome_;
    std::string line_;
    Settings settings_;
    std::unique_ptr<Core> core_;
    std::uint64_t term_ = 0;
};

} // namespace

Outcome replay(const std::string& path, bool allow_truncated) {
    return Replay(path, allow_truncated).run();
}

} // namespace heronshift::replay
