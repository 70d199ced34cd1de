/// A record of everything that went into a core and a digest of what came out, so that another build can be shown to
/// decide the same.
///
/// One JSON line for each beginning of a term and each batch of commands; a file whose name ends in ".zst" is
/// compressed as it is written. Times are those of the core, in seconds. None of the classes may be used by two threads
/// at once.
#pragma once

#include "core/core.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace heronshift::replay {

inline constexpr int log_version = 1;
inline constexpr std::uint64_t usual_size = 1024'000'000; ///< Bytes, before compression.

/// Says which file, which line and what is wrong with it.
struct LogError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Writes a log. Recording never stops the scheduler: a disk that is full, or the bound on the file's size, ends the
/// log, and why() says so.
class CommandLog {
public:
    /// Creates the file; "-" is standard error, which is written in parts and without a bound.
    /// @param max_bytes of the file, before compression
    /// @throws LogError if the file exists or cannot be created
    CommandLog(const std::string& path, std::uint64_t max_bytes);
    ~CommandLog();
    CommandLog(const CommandLog&) = delete;
    CommandLog& operator=(const CommandLog&) = delete;

    /// A core begins a term.
    void begin(const Settings& settings, std::uint64_t term, const Snapshot& stored, double now, double wall);
    /// What goes into Core::step(), to be called before it, since it consumes the commands.
    void commands(const std::vector<Command>& batch, double now, double wall, bool may_act);
    /// What came out of it.
    void effects(const std::vector<Effect>& list);

    /// Whether it still records.
    [[nodiscard]] bool open() const {
        return out_ != nullptr;
    }
    /// Why it ended; empty while it is open.
    [[nodiscard]] const std::string& why() const {
        return why_;
    }

private:
    struct Out;
    void line(const std::string& text);
    void line_in_parts(const std::string& text);
    void end(std::string why);
    std::unique_ptr<Out> out_;
    std::uint64_t left_; ///< Bytes until the bound.
    std::string pending_, why_;
};

/// Reads the lines of a log, compressed or not.
class LogReader {
public:
    /// @throws LogError if the file cannot be opened
    explicit LogReader(const std::string& path);
    ~LogReader();
    LogReader(const LogReader&) = delete;
    LogReader& operator=(const LogReader&) = delete;

    /// Reads the next line; false at the end of the file.
    /// @throws LogError if the file cannot be read or decompressed, or ends in the middle of a line (which is empty
    /// then)
    [[nodiscard]] bool next(std::string& line);
    /// The number of the line read last, from 1.
    [[nodiscard]] std::size_t number() const {
        return number_;
    }
    /// Throws a LogError about the line read last.
    [[noreturn]] void fail(const std::string& why) const;

private:
    struct In;
    std::string path_;
    std::unique_ptr<In> in_;
    std::size_t number_ = 0;
};

/// The first effect that this build decides differently.
struct Difference {
    std::size_t line = 0, effect = 0; ///< The line of the log; which of its effects, from 0.
    std::uint64_t term = 0;
    double now = 0;
    std::string what, got; ///< What differs, and the effect that this build produces (JSON).
};
struct Outcome {
    std::size_t terms = 0, batches = 0, commands = 0, effects = 0;
    std::unique_ptr<Difference> first; ///< None: all the same.
    bool cut = false;                  ///< The log ends in the middle of a line, which was allowed.
};
/// Feeds the log to cores of this build and compares, up to the first difference.
/// @throws LogError on a log that is malformed; the whole line is read before any of it is used
[[nodiscard]] Outcome replay(const std::string& path, bool allow_cut = false);

/// One effect as the digest sees it, for tests and readers of a log.
[[nodiscard]] std::string text_of(const Effect& effect);

} // namespace heronshift::replay
