// A record of everything that went into a core and a digest of what came out, so that another build
// can be shown to decide the same. One JSON line for each beginning of a term and each batch of
// commands; a file whose name ends in ".zst" is compressed as it is written.
//
// Owns: the file that it writes. Knows nothing of sockets or clocks: times are those of the core.
#pragma once

#include "heronshift/core/core.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace heronshift::replay {

inline constexpr int log_version = 1;
inline constexpr std::uint64_t usual_size = 1024'000'000; // bytes, before compression

// Says which file, which line and what is wrong with it.
struct LogError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Writes a log. Recording never stops the scheduler: a disk that is full, or the bound on the file's
// size, ends the log, and why() says so.
class CommandLog {
public:
    // Throws LogError if the file cannot be created. "-" is standard error, in parts (see
    // part_bytes) and without a bound.
    CommandLog(const std::string& path, std::uint64_t max_bytes);
    ~CommandLog();
    CommandLog(const CommandLog&) = delete;
    CommandLog& operator=(const CommandLog&) = delete;

    void begin(const Settings& settings, std::uint64_t term, const Snapshot& stored, double now, double wall);
    // Before step(), since that consumes the commands, and after it.
    void commands(const std::vector<Command>& batch, double now, double wall, bool may_act);
    void effects(const std::vector<Effect>& list);

    [[nodiscard]] bool open() const {
        return out_ != nullptr;
    }
    [[nodiscard]] const std::string& why() const { // it ended; empty while it is open
        return why_;
    }

private:
    struct Out;
    void line(const std::string& text);
    std::unique_ptr<Out> out_;
    std::uint64_t left_;
    std::string pending_, why_;
};

// Reads the lines of a log, compressed or not. Throws LogError.
class LogReader {
public:
    explicit LogReader(const std::string& path);
    ~LogReader();
    LogReader(const LogReader&) = delete;
    LogReader& operator=(const LogReader&) = delete;

    bool next(std::string& line); // false at the end; a last line without its end is an error
    [[nodiscard]] std::size_t number() const {
        return number_;
    }
    [[noreturn]] void fail(const std::string& why) const;

private:
    struct In;
    std::string path_;
    std::unique_ptr<In> in_;
    std::size_t number_ = 0;
};

struct Difference {
    std::size_t line = 0, effect = 0; // the line of the log; which of its effects, from 0
    std::uint64_t term = 0;
    double now = 0;
    std::string what, got; // what differs, and the effect that this build produces (JSON)
};
struct Outcome {
    std::size_t terms = 0, batches = 0, commands = 0, effects = 0;
    std::unique_ptr<Difference> first; // none: all the same
    bool cut = false;                  // the log ends in the middle of a line, which was allowed
};
// Feeds the log to cores of this build and compares, up to the first difference. Throws LogError on
// a log that is malformed; the whole line is read before any of it is used.
Outcome replay(const std::string& path, bool allow_cut = false);

// For tests and for readers of a log: one effect as the digest sees it.
std::string text_of(const Effect& effect);

} // namespace heronshift::replay
