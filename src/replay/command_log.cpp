// Writes command logs.
#include "replay/command_log.hpp"

#include "log_fields.hpp"
#include "log_format.hpp"

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fmt/format.h>
#include <string_view>
#include <utility>
#include <zstd.h>

namespace heronshift::replay {
namespace {

// Lines on standard error are written in parts of this length, since log collectors split lines that are longer than a
// few KiB. A part that is continued begins with "@+ ", the last part of a line with "@ ".
constexpr std::size_t part_bytes = 4000;
// The log is flushed after this many bytes before compression, so that a kill of the process loses no more than these.
constexpr std::uint64_t flush_bytes = 64UL * 1024;

} // namespace

// The open file, and the compressor if the file is compressed.
struct CommandLog::Out {
    std::FILE* file = nullptr;
    bool owns_file = true; // false for standard error, which must not be closed
    ZSTD_CCtx* zstd = nullptr;
    std::vector<char> buffer;
    std::uint64_t unflushed = 0;

    Out() = default;
    Out(const Out&) = delete;
    Out& operator=(const Out&) = delete;
    ~Out() {
        if (zstd != nullptr) {
            write({}, ZSTD_e_end);
            ZSTD_freeCCtx(zstd);
        }
        if (file != nullptr && owns_file)
            std::fclose(file);
    }
    bool write_bytes(const char* at, std::size_t bytes) {
        return std::fwrite(at, 1, bytes, file) == bytes;
    }
    // Returns false on an error, with the reason in errno.
    bool write(std::string_view text, ZSTD_EndDirective directive) {
        if (zstd == nullptr)
            return write_bytes(text.data(), text.size());
        ZSTD_inBuffer in{text.data(), text.size(), 0};
        for (;;) {
            ZSTD_outBuffer out{buffer.data(), buffer.size(), 0};
            const auto left = ZSTD_compressStream2(zstd, &out, &in, directive);
            if (ZSTD_isError(left) != 0U || !write_bytes(buffer.data(), out.pos))
                return false;
            if (directive == ZSTD_e_continue ? in.pos == in.size : left == 0)
                return true;
        }
    }
    bool write_line(std::string_view full_line) {
        unflushed += full_line.size();
        if (unflushed < flush_bytes)
            return write(full_line, ZSTD_e_continue);
        unflushed = 0;
        return write(full_line, ZSTD_e_flush) && std::fflush(file) == 0;
    }
};

CommandLog::CommandLog(const std::string& path, std::uint64_t max_bytes)
    : out_(std::make_unique<Out>()), remaining_bytes_(max_bytes) {
    if (path == "-") {
        out_->file = stderr;
        out_->owns_file = false;
    } else {
        out_->file = std::fopen(path.c_str(), "wbx"); // fails if the file exists: an earlier log is never overwritten
        if (out_->file == nullptr)
            throw LogError(fmt::format("{}: {}", path, std::strerror(errno)));
    }
    if (is_compressed(path)) {
        out_->zstd = ZSTD_createCCtx();
        out_->buffer.resize(ZSTD_CStreamOutSize());
    }
    line(dump({{"heronshift", log_kind}, {"version", log_version}}));
}

CommandLog::~CommandLog() = default;

void CommandLog::end(std::string why) {
    why_ = std::move(why);
    out_.reset();
}

// Writes each part with a separate call.
void CommandLog::write_line_in_parts(const std::string& text) {
    std::size_t at = 0;
    for (; text.size() - at > part_bytes; at += part_bytes)
        out_->write("@+ " + text.substr(at, part_bytes) + '\n', ZSTD_e_continue);
    out_->write("@ " + text.substr(at) + '\n', ZSTD_e_continue);
}

void CommandLog::line(const std::string& text) {
    if (!out_)
        return;
    if (!out_->owns_file)
        return write_line_in_parts(text);
    const auto full_line = text + '\n';
    if (full_line.size() > remaining_bytes_)
        return end("the limit on the file's size is reached");
    remaining_bytes_ -= full_line.size();
    if (!out_->write_line(full_line))
        end(std::strerror(errno));
}

void CommandLog::begin(const Settings& settings, std::uint64_t term, const Snapshot& stored, double now, double wall) {
    if (!out_)
        return;
    line(dump({{"begin", term}, {"now", now}, {"wall", wall}, {"settings", settings}, {"stored", stored}}));
}

void CommandLog::commands(const std::vector<Command>& batch, double now, double wall, bool may_act) {
    if (!out_)
        return;
    auto list = Json::array();
    for (const auto& command : batch)
        list.push_back(to_json_of(command));
    pending_line_ = dump({{"now", now}, {"wall", wall}, {"entitled", may_act}, {"commands", std::move(list)}});
}

void CommandLog::effects(const std::vector<Effect>& list) {
    if (!out_ || pending_line_.empty())
        return;
    pending_line_.back() = ','; // replaces the closing brace, so that the field "effects" can be added
    line(pending_line_ + fmt::format(R"("effects":"{}"}})", digest_of(list)));
    pending_line_.clear();
}

} // namespace heronshift::replay
