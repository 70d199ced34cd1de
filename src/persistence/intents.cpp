#include "persistence/intents.hpp"

#include "heronshift/codec.hpp"

#include <charconv>
#include <fmt/format.h>

namespace heronshift::intents {
namespace {

constexpr std::string_view unknown_zone = "-";

// Removes a number from the front of the text and decodes it. Returns false if the text does not start with one.
template <class Number> bool parse_number(std::string_view& text, Number& out) {
    const auto [parsed, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    if (error != std::errc() || parsed == text.data())
        return false;
    text.remove_prefix(static_cast<std::size_t>(parsed - text.data()));
    return true;
}

// Removes the text before the next separator, and the separator, from the front of the text. Returns the former.
std::string_view next_word(std::string_view& text, char separator) {
    const auto at = text.find(separator);
    const auto word = text.substr(0, at);
    text.remove_prefix(at == std::string_view::npos ? text.size() : at + 1);
    return word;
}

// Decodes "JOB/FIRST-LAST:ATTEMPT", with the machine of `line`. Returns false if it is malformed.
bool parse_tasks(std::string_view word, const Intent& line, std::vector<Intent>& out) {
    const auto slash = word.find('/');
    const auto colon = word.rfind(':');
    if (slash == std::string_view::npos || colon == std::string_view::npos || colon < slash)
        return false;
    Intent intent = line;
    intent.job = word.substr(0, slash);
    auto range = word.substr(slash + 1, colon - slash - 1);
    auto attempt = word.substr(colon + 1);
    std::uint32_t first = 0, last = 0;
    if (!codec::valid_job_id(intent.job) || !parse_range(range, first, last) || !range.empty())
        return false;
    if (!parse_number(attempt, intent.attempt) || !attempt.empty())
        return false;
    for (intent.index = first; intent.index <= last; ++intent.index)
        out.push_back(intent);
    return true;
}

// Decodes a line, that is, a machine and its tasks. Returns false if any of it is malformed. `machine` receives what
// can be read of the machine.
bool parse_line(std::string_view line, Intent& machine, std::vector<Intent>& out) {
    machine.machine = next_word(line, ' ');
    machine.zone = next_word(line, ' ');
    if (machine.zone == unknown_zone)
        machine.zone.clear();
    auto agent_epoch = next_word(line, ' ');
    bool valid = parse_number(agent_epoch, machine.agent_epoch) && agent_epoch.empty() && !line.empty();
    while (valid && !line.empty())
        valid = parse_tasks(next_word(line, ' '), machine, out);
    return valid;
}

} // namespace

void Writer::end_range() {
    if (!range_open_)
        return;
    range_open_ = false;
    text_ += first_ == last_ ? fmt::format(" {}/{}:{}", job_, first_, attempt_)
                             : fmt::format(" {}/{}-{}:{}", job_, first_, last_, attempt_);
}

void Writer::add(std::string_view machine, std::string_view zone, std::uint64_t agent_epoch, std::string_view job,
                 std::uint32_t index, std::uint64_t attempt) {
    const bool same_machine = machine == machine_ && zone == zone_ && agent_epoch == agent_epoch_;
    if (range_open_ && same_machine && job == job_ && attempt == attempt_ && index == last_ + 1) {
        last_ = index;
        return;
    }
    end_range();
    if (!same_machine) {
        if (!text_.empty())
            text_ += '\n';
        text_ += fmt::format("{} {} {}", machine, zone.empty() ? unknown_zone : zone, agent_epoch);
        machine_ = machine;
        zone_ = zone;
        agent_epoch_ = agent_epoch;
    }
    job_ = job;
    attempt_ = attempt;
    first_ = last_ = index;
    range_open_ = true;
}

std::string Writer::take() {
    end_range();
    machine_.clear();
    return std::move(text_);
}

DecodedRecord read(std::string_view text) {
    DecodedRecord result;
    while (!text.empty()) {
        Intent machine;
        if (parse_line(next_word(text, '\n'), machine, result.intents))
            continue;
        if (machine.machine.empty())
            result.damaged = true;
        else
            result.unproven.push_back(machine.machine);
    }
    return result;
}

bool parse_range(std::string_view& text, std::uint32_t& first, std::uint32_t& last) {
    if (text.starts_with(','))
        text.remove_prefix(1);
    if (!parse_number(text, first))
        return false;
    last = first;
    if (text.starts_with('-')) {
        text.remove_prefix(1);
        if (!parse_number(text, last))
            return false;
    }
    return first <= last && last < codec::max_tasks;
}

std::string encode_ranges(const std::vector<bool>& bits, std::size_t max_bytes) {
    // Enough for a comma, a hyphen and two indices below `codec::max_tasks`.
    constexpr std::size_t max_range_bytes = 14;
    std::string out;
    for (std::size_t first = 0; first < bits.size();) {
        if (!bits[first]) {
            ++first;
            continue;
        }
        std::size_t last = first;
        while (last + 1 < bits.size() && bits[last + 1])
            ++last;
        if (out.size() + max_range_bytes > max_bytes)
            break;
        if (!out.empty())
            out += ',';
        out += first == last ? std::to_string(first) : fmt::format("{}-{}", first, last);
        first = last + 1;
    }
    return out;
}

} // namespace heronshift::intents
