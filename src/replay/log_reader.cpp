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
    std::size_t read_position = 0;
    bool in_frame = false; // the end of the current compressed frame has not been read yet

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
    // which is described in `error`.
    std::size_t read_raw(std::string& error) {
        const auto bytes = std::fread(raw.data(), 1, raw.size(), file);
        if (bytes == 0 && std::ferror(file) != 0)
            error = std::strerror(errno);
        return bytes;
    }
    // Appends to `text`. Returns false at the end of the file and on an error, which is described in `error`.
    bool read_more(std::string& error) {
        text.erase(0, read_position);
        read_position = 0;
        if (zstd != nullptr)
            return read_more_decompressed(error);
        const auto bytes = read_raw(error);
        text.append(raw.data(), bytes);
        return bytes > 0;
    }
    bool read_more_decompressed(std::string& error) {
        for (;;) {
            if (in.pos == in.size) {
                const auto bytes = read_raw(error);
                if (bytes == 0)
                    return false;
                in = {raw.data(), bytes, 0};
            }
            ZSTD_outBuffer out{plain.data(), plain.size(), 0};
            const auto hint = ZSTD_decompressStream(zstd, &out, &in);
            if (ZSTD_isError(hint) != 0U) {
                error = fmt::format("cannot be decompressed: {}", ZSTD_getErrorName(hint));
                return false;
            }
            in_frame = hint != 0;
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
    if (is_compressed(path))
        in_->zstd = ZSTD_createDCtx();
}

LogReader::~LogReader() = default;

void LogReader::fail(const std::string& why) const {
    throw LogError(fmt::format("{}:{}: {}", path_, number_, why));
}

bool LogReader::next(std::string& line) {
    ++number_;
    std::size_t search_from = in_->read_position;
    for (;;) {
        const auto end = in_->text.find('\n', search_from);
        if (end != std::string::npos) {
            line.assign(in_->text, in_->read_position, end - in_->read_position);
            in_->read_position = end + 1;
            return true;
        }
        search_from = in_->text.size() - in_->read_position;
        std::string error;
        if (in_->read_more(error))
            continue;
        if (!error.empty())
            fail(error);
        if (in_->text.empty() && !in_->in_frame)
            return false;
        line.clear();
        fail("the file ends in the middle of a line");
    }
}

} // namespace heronshift::replay
