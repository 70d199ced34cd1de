// The shipped schema says what the service says, and names the field.
#include "heronshift/cli/schema.hpp"
#include "heronshift/codec.hpp"

#include <gtest/gtest.h>

namespace heronshift::cli {
namespace {

using Json = codec::Json;

const Json good = {{"id", "wk-000412"},
                   {"jobclass", "train"},
                   {"owner", "vision"},
                   {"shape", "gang"},
                   {"rank", "high"},
                   {"shards", 16},
                   {"cpus", 8.0},
                   {"accelerators", 1.0},
                   {"memGb", 64.0},
                   {"bundle", "img-07"},
                   {"imageGb", 6.2},
                   {"flavors", {"g8"}},
                   {"yard", nullptr},
                   {"together", true},
                   {"dueS", 900.0},
                   {"waitsOn", {"wk-000398"}},
                   {"later", "unknown fields are ignored"}};

bool accepted(const Json& j) {
    const auto parsed = codec::submission(j.dump());
    return std::holds_alternative<JobSpec>(parsed);
}

TEST(Schema, AgreesWithTheService) {
    EXPECT_EQ(violation(submission_schema, good.dump()), "");
    EXPECT_TRUE(accepted(good));
    const std::vector<std::pair<const char*, Json>> wrong = {{"id", "412"},
                                                             {"id", "wk-x"},
                                                             {"jobclass", ""},
                                                             {"shape", "service"},
                                                             {"rank", "urgent"},
                                                             {"shards", 0},
                                                             {"shards", 100001},
                                                             {"shards", 1.5},
                                                             {"cpus", 0},
                                                             {"cpus", "8"},
                                                             {"memGb", -1},
                                                             {"imageGb", nullptr},
                                                             {"flavors", "g8"},
                                                             {"flavors", {1}},
                                                             {"flavors", Json::array()},
                                                             {"together", "yes"},
                                                             {"dueS", "tomorrow"},
                                                             {"waitsOn", {"x"}},
                                                             {"waitsOn", "wk-000398"},
                                                             {"accelerators", -1},
                                                             {"bundle", nullptr},
                                                             {"owner", 7},
                                                             {"expectedS", -0.5},
                                                             {"yard", 3}};
    for (const auto& [field, value] : wrong) {
        auto j = good;
        j[field] = value;
        const auto why = violation(submission_schema, j.dump());
        EXPECT_EQ(why.substr(0, std::string(field).size()), field) << why << " of " << value;
        EXPECT_FALSE(accepted(j)) << field << " " << value;
    }
    for (const auto* field :
         {"id", "jobclass", "owner", "shape", "rank", "shards", "cpus", "memGb", "bundle", "imageGb"}) {
        auto j = good;
        j.erase(field);
        EXPECT_NE(violation(submission_schema, j.dump()).find(field), std::string::npos);
        EXPECT_FALSE(accepted(j));
    }
    for (const auto* field : {"yard", "flavors", "together", "dueS", "waitsOn", "accelerators"}) {
        auto j = good;
        j[field] = nullptr; // may be left out, so it may be null
        EXPECT_EQ(violation(submission_schema, j.dump()), "");
        EXPECT_TRUE(accepted(j)) << field;
    }
}

TEST(Schema, NamesThePlaceInsideAList) {
    auto j = good;
    j["waitsOn"] = {"wk-000398", "nonsense"};
    EXPECT_EQ(violation(submission_schema, j.dump()).substr(0, 11), "waitsOn[1]:");
    EXPECT_EQ(violation(submission_schema, "{"), "not JSON");
    EXPECT_EQ(violation(submission_schema, "[]").substr(0, 13), "the document:");
}

} // namespace
} // namespace heronshift::cli
