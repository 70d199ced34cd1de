// The record of a case: what was sent, answered and run, and which rules were broken.
#pragma once

#include "net.hpp"

#include <cstdio>

namespace review {

class Record {
public:
    explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
        if (file_ == nullptr)
            std::exit(2);
    }
    void line(const std::string& text) {
        const std::lock_guard lock(mutex_);
        std::fprintf(file_, "%8.3f  %s\n", now(), text.c_str());
        std::fflush(file_);
    }
    void broken(const std::string& text) {
        ++broken_;
        line("RULE BROKEN: " + text);
        std::fprintf(stderr, "rule broken: %s\n", text.c_str());
    }
    [[nodiscard]] std::size_t count() const {
        return broken_;
    }

private:
    std::mutex mutex_;
    std::FILE* file_;
    std::atomic<std::size_t> broken_{0};
};

} // namespace review
