/// The text of write-ahead intent records and of done tasks.
///
/// Text rather than JSON objects, which would be three times as long: every byte is written again when its
/// record is. One line for a machine: "MACHINE ZONE AGENT-EPOCH" and then its tasks, "JOB/FIRST-LAST:ATTEMPT" or
/// "JOB/INDEX:ATTEMPT"; "-" stands for an unknown zone.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace heronshift::intents {

/// One task that may be on a machine from the moment its record is stored.
struct Intent {
    std::string machine, zone; ///< The zone is empty where it is unknown.
    std::uint64_t agent_epoch = 0;
    std::string job;
    std::uint32_t index = 0; ///< Of the task in its job.
    std::uint64_t attempt = 0;
    friend bool operator==(const Intent&, const Intent&) = default;
};

/// Encodes one record line by line; neighbouring tasks of one attempt become a range. The tasks of a machine must
/// be added one after the other.
class Writer {
public:
    void add(std::string_view machine, std::string_view zone, std::uint64_t agent_epoch, std::string_view job,
             std::uint32_t index, std::uint64_t attempt);
    /// The text; the writer is empty then.
    [[nodiscard]] std::string take();

private:
    void end_range();
    std::string text_, machine_, zone_, job_;
    std::uint64_t agent_epoch_ = 0, attempt_ = 0;
    std::uint32_t first_ = 0, last_ = 0;
    bool open_ = false;
};

/// What a record said, as far as it can be read.
struct Read {
    std::vector<Intent> intents;
    std::vector<std::string> unproven; ///< Machines whose line is damaged: they may hold any task.
    bool damaged = false;              ///< There are lines that do not even name a machine.
};
/// Decodes a record. A line is read up to its first damaged task; its machine is then unproven as well.
[[nodiscard]] Read read(std::string_view text);

/// Set bits as ranges, "0-3,7"; what does not fit into max_bytes is left out.
[[nodiscard]] std::string ranges_of(const std::vector<bool>& bits, std::size_t max_bytes);
/// Takes the next range off the front of the text. False at its end, and where it is malformed or beyond
/// codec::max_tasks.
[[nodiscard]] bool parse_range(std::string_view& text, std::uint32_t& first, std::uint32_t& last);

/// Calls f for each index in the ranges, up to the first malformed one.
template <class F> void each_in_ranges(std::string_view text, F f) {
    std::uint32_t first = 0, last = 0;
    while (parse_range(text, first, last))
        for (auto i = first; i <= last; ++i)
            f(i);
}

} // namespace heronshift::intents
