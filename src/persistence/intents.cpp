#include "heronshift/persistence/intents.hpp"

#include "heronshift/codec.hpp"

#include <charconv>
#include <fmt/format.h>

namespace heronshift::intents {
namespace {

template <class N> bool take_number(std::string_view& text, N& out) {
    const auto [p, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
    if (ec != std::errc() || p == text.data())
        return false;
    text.remove_prefix(static_cast<std::size_t>(p - text.data()));
    return true;
}

std::string_view next_word(std::string_view& text, char separator) {
    const auto at = text.find(separator);
    const auto word = text.substr(0, at);
    text.remove_prefix(at == std::string_view::npos ? text.size() : at + 1);
    return word;
}

// "wk-000412/3-7:1234"
bool read_tasks(std::string_view word, const Intent& on, std::vector<Intent>& out) {
    const auto slash = word.find('/');
    const auto colon = word.rfind(':');
    if (slash == std::string_view::npos || colon == std::string_view::npos || colon < slash)
        return false;
    Intent i = on;
    i.job = word.substr(0, slash);
    auto range = word.substr(slash + 1, colon - slash - 1);
    auto attempt = word.substr(colon + 1);
    std::uint32_t first = 0, last = 0;
    if (!codec::valid_job_id(i.job) || !parse_range(range, first, last) || !range.empty())
        return false;
    if (!take_number(attempt, i.attempt) || !attempt.empty())
        return false;
    for (i.index = first; i.index <= last; ++i.index)
        out.push_back(i);
    return true;
}

} // namespace

void Writer::end_range() {
    if (!open_)
        return;
    open_ = false;
    text_ += first_ == last_ ? fmt::format(" {}/{}:{}", job_, first_, attempt_)
                             : fmt::format(" {}/{}-{}:{}", job_, first_, last_, attempt_);
}

void Writer::add(std::string_view machine, std::string_view zone, std::uint64_t agent_epoch, std::string_view job,
                 std::uint32_t index, std::uint64_t attempt) {
    const bool same_machine = machine == machine_ && zone == zone_ && agent_epoch == agent_epoch_;
    if (open_ && same_machine && job == job_ && attempt == attempt_ && index == last_ + 1) {
        last_ = index;
        return;
    }
    end_range();
    if (!same_machine) {
        if (!text_.empty())
            text_ += '\n';
        text_ += fmt::format("{} {} {}", machine, zone.empty() ? "-" : zone, agent_epoch);
        machine_ = machine;
        zone_ = zone;
        agent_epoch_ = agent_epoch;
    }
    job_ = job;
    attempt_ = attempt;
    first_ = last_ = index;
    open_ = true;
}

std::string Writer::take() {
    end_range();
    machine_.clear();
    return std::move(text_);
}

Read read(std::string_view text) {
    Read r;
    while (!text.empty()) {
        auto line = next_word(text, '\n');
        Intent on;
        on.machine = next_word(line, ' ');
        on.zone = next_word(line, ' ');
        if (on.zone == "-")
            on.zone.clear();
        auto agent_epoch = next_word(line, ' ');
        bool good = take_number(agent_epoch, on.agent_epoch) && agent_epoch.empty() && !line.empty();
        while (good && !line.empty())
            good = read_tasks(next_word(line, ' '), on, r.intents);
        if (good)
            continue;
        if (on.machine.empty())
            r.damaged = true;
        else
            r.unproven.push_back(on.machine);
    }
    return r;
}

bool parse_range(std::string_view& text, std::uint32_t& first, std::uint32_t& last) {
    if (text.starts_with(','))
        text.remove_prefix(1);
    if (!take_number(text, first))
        return false;
    last = first;
    if (text.starts_with('-')) {
        text.remove_prefix(1);
        if (!take_number(text, last))
            return false;
    }
    return first <= last && last < codec::max_tasks;
}

std::string ranges_of(const std::vector<bool>& bits, std::size_t max_bytes) {
    std::string out;
    for (std::size_t i = 0; i < bits.size();) {
        if (!bits[i]) {
            ++i;
            continue;
        }
        std::size_t j = i;
        while (j + 1 < bits.size() && bits[j + 1])
            ++j;
        if (out.size() + 14 > max_bytes)
            break; // what is left out is only run again
        if (!out.empty())
            out += ',';
        out += i == j ? std::to_string(i) : fmt::format("{}-{}", i, j);
        i = j + 1;
    }
    return out;
}

} // namespace heronshift::intents
