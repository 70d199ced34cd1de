// Golden files in tests/golden hold texts that went over the wire or into a store. What the code writes is compared
// with them byte for byte, so that no renaming or rewrite changes a format that other programs read.
//
// After an intended change of a format, run the tests with HERONSHIFT_WRITE_GOLDEN=1, which rewrites the files and
// fails the tests, and review the changes with `git diff`. Files under golden/production came from released versions
// and are never rewritten.
#pragma once

#include "heronshift/codec.hpp"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <string>

namespace heronshift::testing {

class Golden : public ::testing::Test {
protected:
    // The text of a golden file without its trailing newline.
    static std::string golden(const std::string& name) {
        std::ifstream file(path_of(name), std::ios::binary);
        EXPECT_TRUE(file) << path_of(name) << " cannot be read";
        std::stringstream text;
        text << file.rdbuf();
        auto out = text.str();
        if (out.ends_with('\n'))
            out.pop_back();
        return out;
    }

    static codec::Json golden_json(const std::string& name) {
        auto out = codec::parse(golden(name));
        EXPECT_FALSE(out.is_discarded()) << name << " is not JSON";
        return out;
    }

    static void expect_golden(const std::string& name, const std::string& text) {
        if (std::getenv("HERONSHIFT_WRITE_GOLDEN") == nullptr) {
            EXPECT_EQ(golden(name), text) << name;
            return;
        }
        const std::filesystem::path path = path_of(name);
        std::filesystem::create_directories(path.parent_path());
        std::ofstream(path, std::ios::binary) << text << '\n';
        ADD_FAILURE() << name << " was rewritten because HERONSHIFT_WRITE_GOLDEN is set";
    }

private:
    static std::string path_of(const std::string& name) {
        return std::string(HERONSHIFT_GOLDEN_DIR) + "/" + name;
    }
};

} // namespace heronshift::testing
