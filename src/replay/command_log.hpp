/// Command logs: records of all commands that a core received, with digests of the effects that it returned. Replaying
/// a log with another build shows whether that build decides the same.
///
/// A log has one JSON line for the beginning of each term and one for each batch of commands. A file whose name ends in
/// ".zst" is compressed while it is written. Times are those that the core was given, in seconds. The classes are not
/// thread-safe.
#pragma once

#include "core/core.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace heronshift::replay {

/// Version of the log's format.
inline constexpr int log_version = 1;
/// Default limit on the size of a log before compression.
inline constexpr std::uint64_t default_max_bytes = 1024'000'000;

/// A command log cannot be written or read. The message names the file, the line if there is one, and the reason.
struct LogError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Writes a command log. A failure to record never stops the scheduler: if the disk is full or the limit on the file's
/// size is reached, the log ends, and why() gives the reason.
class CommandLog {
public:
    /// Creates the file. The path "-" stands for standard error, to which lines are written in parts and without a
    /// limit on the size.
    /// @param max_bytes limit on the file's size, before compression
    /// @throws LogError if the file exists or cannot be created
    CommandLog(const std::string& path, std::uint64_t max_bytes);
    ~CommandLog();
    CommandLog(const CommandLog&) = delete;
    CommandLog& operator=(const CommandLog&) = delete;

    /// Records the beginning of a term: the arguments of the core's constructor.
    void begin(const Settings& settings, std::uint64_t term, const Snapshot& stored, double now, double wall);
    /// Records the arguments of Core::step(). To be called before step(), which consumes the commands.
    void commands(const std::vector<Command>& batch, double now, double wall, bool may_act);
    /// Records the digest of the effects that Core::step() returned, and writes the line of the batch.
    void effects(const std::vector<Effect>& list);

    /// Whether the log still records.
    [[nodiscard]] bool open() const {
        return out_ != nullptr;
    }
    /// Why the log has ended; empty while it is open.
    [[nodiscard]] const std::string& why() const {
        return why_;
    }

private:
    struct Out;
    void line(const std::string& text);
    void write_line_in_parts(const std::string& text);
    void end(std::string why);
    std::unique_ptr<Out> out_;
    std::uint64_t remaining_bytes_;  ///< Number of bytes that may still be written.
    std::string pending_line_, why_; ///< The line of a batch whose effects are still missing; why the log has ended.
};

/// Reads the lines of a command log, compressed or not.
class LogReader {
public:
    /// @throws LogError if the file cannot be opened
    explicit LogReader(const std::string& path);
    ~LogReader();
    LogReader(const LogReader&) = delete;
    LogReader& operator=(const LogReader&) = delete;

    /// Reads the next line into `line`. Returns false at the end of the file.
    /// @throws LogError if the file cannot be read or decompressed, or if it ends in the middle of a line; `line` is
    /// empty afterwards in the latter case, and unchanged in the others
    [[nodiscard]] bool next(std::string& line);
    /// The number of the line read last, counted from 1.
    [[nodiscard]] std::size_t number() const {
        return number_;
    }
    /// Throws a LogError that names the line read last.
    [[noreturn]] void fail(const std::string& why) const;

private:
    struct In;
    std::string path_;
    std::unique_ptr<In> in_;
    std::size_t number_ = 0;
};

/// The first effect in which this build differs from the recorded one.
struct Difference {
    std::size_t line = 0, effect = 0; ///< The line of the log, and the index of the effect in its batch, from 0.
    std::uint64_t term = 0;
    double now = 0;
    std::string what, got; ///< A description of the difference, and the effect that this build returns (JSON).
};
/// The result of a replay.
struct Outcome {
    std::size_t terms = 0, batches = 0, commands = 0, effects = 0; ///< Numbers of those that were replayed.
    std::unique_ptr<Difference> first;                             ///< The first difference; null if there is none.
    bool truncated = false; ///< The log ends in the middle of a line, which the caller had allowed.
};
/// Replays a log with cores of this build and compares their effects with the recorded digests, up to the first
/// difference.
/// @param allow_truncated accept a log that ends in the middle of a line, as after a kill of its writer
/// @throws LogError if the log is malformed; a line is decoded completely before any of it is applied
[[nodiscard]] Outcome replay(const std::string& path, bool allow_truncated = false);

/// The JSON text of an effect from which its digest is computed, for tests and for readers of a log.
[[nodiscard]] std::string json_text_of(const Effect& effect);

} // namespace heronshift::replay
