/// The text encoding of write-ahead intent records and of sets of done tasks.
///
/// Intents are encoded as text because JSON objects would be three times as long, and a record is written as a whole
/// whenever an intent is added to it. Each line is for one machine: "MACHINE ZONE AGENT-EPOCH", followed by its tasks
/// as "JOB/FIRST-LAST:ATTEMPT" or "JOB/INDEX:ATTEMPT". "-" stands for an unknown zone.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace heronshift::intents {

/// An attempt of a task that may be on a machine from the moment at which the record of the intent is stored.
struct Intent {
    std::string machine, zone; ///< `zone` is empty if it is unknown or not stored.
    std::uint64_t agent_epoch = 0;
    std::string job;
    std::uint32_t index = 0; ///< The index of the task in its job.
    std::uint64_t attempt = 0;
    friend bool operator==(const Intent&, const Intent&) = default;
};

/// Encodes one record. Tasks of one job and attempt that are added in the order of their indices, without a gap, become
/// a range. All tasks of a machine must be added one after the other.
class Writer {
public:
    void add(std::string_view machine, std::string_view zone, std::uint64_t agent_epoch, std::string_view job,
             std::uint32_t index, std::uint64_t attempt);
    /// Returns the text and leaves the writer empty.
    [[nodiscard]] std::string take();

private:
    void end_range();
    std::string text_, machine_, zone_, job_;
    std::uint64_t agent_epoch_ = 0, attempt_ = 0;
    std::uint32_t first_ = 0, last_ = 0;
    bool range_open_ = false;
};

/// The contents of a record, as far as they can be decoded.
struct DecodedRecord {
    std::vector<Intent> intents;
    std::vector<std::string> unproven; ///< Machines whose line is damaged, so that any task may be on them.
    bool damaged = false;              ///< Whether there are damaged lines from which not even the machine can be read.
};
/// Decodes a record. Of a damaged line, the tasks before the first damaged one are decoded, and its machine is added to
/// `unproven`.
[[nodiscard]] DecodedRecord read(std::string_view text);

/// Encodes the indices of the set bits as ranges, such as "0-3,7". Ranges that do not fit into `max_bytes` are left
/// out.
[[nodiscard]] std::string encode_ranges(const std::vector<bool>& bits, std::size_t max_bytes);
/// Removes the next range from the front of the text and decodes it. Returns false if the text is empty or the range is
/// malformed or reaches beyond `codec::max_tasks`.
[[nodiscard]] bool parse_range(std::string_view& text, std::uint32_t& first, std::uint32_t& last);

/// Calls `f` for each index in the ranges, up to the first malformed range.
template <class F> void for_each_in_ranges(std::string_view text, F f) {
    std::uint32_t first = 0, last = 0;
    while (parse_range(text, first, last))
        for (auto i = first; i <= last; ++i)
            f(i);
}

} // namespace heronshift::intents
