// Reads command logs line by line.
#include "replay/command_log.hpp"

#include "log_format.hpp"

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fmt/format.h>
#include <zstd.h>

namespace heronshift::replay {

// The open file, the text decompressed from it, and the position up to which that has been read.
struct LogReader::In {
    std::FILE* file = nullptr;
    ZSTD_DCtx* zstd = nullptr;
    std::vector<char> raw = std::vector<char>(1 << 16), plain = std::vector<char>(1 << 17);
    ZSTD_inBuffer in{nullptr, 0, 0};
    std::string text;
    std::size_t at = 0;
    bool inside = false; // the end of the current compressed frame has not been read yet

    In() = default;
    In(const In&) = delete;
    In& operator=(const In&) = delete;
    ~In() {
        if (zstd != nullptr)
            ZSTD_freeDCtx(zstd);
        if (file != nullptr)
            std::fclose(file);
    }
    // Reads bytes from the file into `raw` and returns their number. Returns 0 at the end of the file and on an error,
    // which is described in `wrong`.
    std::size_t read_raw(std::string& wrong) {
        const auto bytes = std::fread(raw.data(), 1, raw.size(), file);
        if (bytes == 0 && std::ferror(file) != 0)
            wrong = std::strerror(errno);
        return bytes;
    }
    // Appends to `text`. Returns false at the end of the file and on an error, which is described in `wrong`.
    bool more(std::string& wrong) {
        text.erase(0, at);
        at = 0;
        if (zstd != nullptr)
            return more_decompressed(wrong);
        const auto bytes = read_raw(wrong);
        text.append(raw.data(), bytes);
        return bytes > 0;
    }
    bool more_decompressed(std::string& wrong) {
        for (;;) {
            if (in.pos == in.size) {
                const auto bytes = read_raw(wrong);
                if (bytes == 0)
                    return false;
                in = {raw.data(), bytes, 0};
            }
            ZSTD_outBuffer out{plain.data(), plain.size(), 0};
            const auto hint = ZSTD_decompressStream(zstd, &out, &in);
            if (ZSTD_isError(hint) != 0U) {
                wrong = fmt::format("cannot be decompressed: {}", ZSTD_getErrorName(hint));
                return false;
            }
            inside = hint != 0;
            text.append(plain.data(), out.pos);
            if (out.pos > 0)
                return true;
        }
    }
};

LogReader::LogReader(const std::string& path) : path_(path), in_(std::make_unique<In>()) {
    in_->file = std::fopen(path.c_str(), "rb");
    if (in_->file == nullptr)
        throw LogError(fmt::format("{}: {}", path, std::strerror(errno)));
    if (compressed(path))
        in_->zstd = ZSTD_createDCtx();
}

LogReader::~LogReader() = default;

void LogReader::fail(const std::string& why) const {
    throw LogError(fmt::format("{}:{}: {}", path_, number_, why));
}

bool LogReader::next(std::string& line) {
    ++number_;
    std::size_t looked = in_->at;
    for (;;) {
        const auto end = in_->text.find('\n', looked);
        if (end != std::string::npos) {
            line.assign(in_->text, in_->at, end - in_->at);
            in_->at = end + 1;
            return true;
        }
        looked = in_->text.size() - in_->at;
        std::string wrong;
        if (in_->more(wrong))
            continue;
        if (!wrong.empty())
            fail(wrong);
        if (in_->text.empty() && !in_->inside)
            return false;
        line.clear();
        fail("the file ends in the middle of a line");
    }
}

} // namespace heronshift::replay
