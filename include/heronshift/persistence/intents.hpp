// What the store holds of placements and progress: a ring of records, each naming launches by
// machine, and a few records of which tasks are done. Texts, since JSON objects would be three times
// as long and every byte is written again when its record comes round.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace heronshift::intents {

// One task that may be on a machine from the moment its record is stored.
struct Intent {
    std::string machine, zone;
    std::uint64_t agent_epoch = 0;
    std::string job;
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;
    friend bool operator==(const Intent&, const Intent&) = default;
};

// Writes one record line by line: a machine, its zone and agent epoch, then its tasks, neighbours of one
// attempt as a range. Give the tasks of a machine one after the other.
class Writer {
public:
    void add(std::string_view machine, std::string_view zone, std::uint64_t agent_epoch, std::string_view job,
             std::uint32_t index, std::uint64_t attempt);
    [[nodiscard]] std::size_t size() const {
        return text_.size() + 64;
    }
    std::string take();

private:
    void end_range();
    std::string text_, machine_, zone_, job_;
    std::uint64_t agent_epoch_ = 0, attempt_ = 0;
    std::uint32_t first_ = 0, last_ = 0;
    bool open_ = false;
};

struct Read {
    std::vector<Intent> intents;
    std::vector<std::string> unproven; // machines whose line is damaged: they may hold anything
    bool damaged = false;              // and lines that do not even name a machine
};
Read read(std::string_view text);

// Done tasks as ranges, "0-3,7"; what does not fit into the given length is left out.
std::string ranges_of(const std::vector<bool>& bits, std::size_t max_bytes);
template <class F> void each_in_ranges(std::string_view text, F f);
bool parse_range(std::string_view& text, std::uint32_t& first, std::uint32_t& last);

template <class F> void each_in_ranges(std::string_view text, F f) {
    std::uint32_t first = 0, last = 0;
    while (parse_range(text, first, last))
        for (auto i = first; i <= last; ++i)
            f(i);
}

} // namespace heronshift::intents
