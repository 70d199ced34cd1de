// The shipped JSON schemas accept and refuse what the service does, and name the wrong field. Also tests the metrics.
#include "cli/schema.hpp"
#include "heronshift/codec.hpp"
#include "heronshift/config.hpp"
#include "metrics/metrics.hpp"

#include <cmath>
#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>
#include <limits>

namespace heronshift::cli {
namespace {

using Json = codec::Json;

const Json valid = {{"id", "wk-000412"},
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
    EXPECT_EQ(violation(submission_schema, valid.dump()), "");
    EXPECT_TRUE(accepted(valid));
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
        auto j = valid;
        j[field] = value;
        const auto why = violation(submission_schema, j.dump());
        EXPECT_EQ(why.substr(0, std::string(field).size()), field) << why << " of " << value;
        EXPECT_FALSE(accepted(j)) << field << " " << value;
    }
    for (const auto* field :
         {"id", "jobclass", "owner", "shape", "rank", "shards", "cpus", "memGb", "bundle", "imageGb"}) {
        auto j = valid;
        j.erase(field);
        EXPECT_NE(violation(submission_schema, j.dump()).find(field), std::string::npos);
        EXPECT_FALSE(accepted(j));
    }
    for (const auto* field : {"yard", "flavors", "together", "dueS", "waitsOn", "accelerators"}) {
        auto j = valid;
        j[field] = nullptr; // optional fields may be null
        EXPECT_EQ(violation(submission_schema, j.dump()), "");
        EXPECT_TRUE(accepted(j)) << field;
    }
}

TEST(Schema, NamesThePlaceInsideAList) {
    auto j = valid;
    j["waitsOn"] = {"wk-000398", "nonsense"};
    EXPECT_EQ(violation(submission_schema, j.dump()).substr(0, 11), "waitsOn[1]:");
    EXPECT_EQ(violation(submission_schema, "{"), "not JSON");
    EXPECT_EQ(violation(submission_schema, "[]").substr(0, 13), "the document:");
}

// For a settings file with one wrong field, the error must name this field and not just the file.
TEST(Schema, OfTheSettingsNamesTheField) {
    const Json address = "127.0.0.1:7000";
    const Json team = {{"name", "red"}, {"cpus", 4}, {"cpus_max", 8}, {"gpus", 0}, {"gpus_max", 0}};
    const Json settings = {
        {"host_name", "berth-0"},
        {"zone", "a"},
        {"bind", address},
        {"back", address},
        {"others", {{{"host_name", "berth-1"}, {"zone", "b"}, {"peer_addr", address}}}},
        {"external", {{"cloud", address}, {"state", address}}},
        {"facts",
         {{"zones", {"a", "b"}},
          {"time_bound_ms", 250},
          {"teams", {team}},
          {"workers", {{"report_s", 1}, {"lease_s", 6.5}, {"gang_wait_s", 10}, {"gang_peer_s", 2}, {"cancel_s", 15}}},
          {"state", {{"rps", 100}, {"write_rps", 40}, {"value_kb", 16}, {"txn_ops", 16}}},
          {"cloud", {{"rps", 2}, {"list_lag_s", 5}}},
          {"resources", {{"cores", 0.3}, {"mem_mb", 96}, {"fd_limit", 512}}},
          {"later", "unknown fields are ignored"}}}};
    EXPECT_EQ(violation(settings_schema, settings.dump()), "");
    const std::vector<std::pair<const char*, Json>> wrong = {{"/facts/workers/report_s", "1"},
                                                             {"/facts/workers/lease_s", 0},
                                                             {"/facts/teams/0/cpus_max", -1},
                                                             {"/facts/state/txn_ops", 3},
                                                             {"/facts/resources/fd_limit", 10},
                                                             {"/others/0/peer_addr", "nowhere"},
                                                             {"/bind", 7000},
                                                             {"/external/cloud", "127.0.0.1:"},
                                                             {"/facts/zones", "a"},
                                                             {"/host_name", ""},
                                                             {"/facts/cloud/list_lag_s", nullptr}};
    for (const auto& [at, value] : wrong) {
        auto bad = settings;
        bad[Json::json_pointer(at)] = value;
        const auto error = violation(settings_schema, bad.dump());
        std::string field(at);
        field = field.substr(field.rfind('/') + 1);
        EXPECT_NE(error.find(field), std::string::npos) << at << ": " << error;
    }
    for (const auto* missing : {"host_name", "external", "facts"}) {
        auto bad = settings;
        bad.erase(missing);
        EXPECT_NE(violation(settings_schema, bad.dump()).find(missing), std::string::npos);
    }
}

// The schema of the operators' settings and the code that reads the file have the same names and limits.
TEST(Schema, OfTheOperatorsAgreesWithTheReader) {
    const auto path = ::testing::TempDir() + "operators.sx";
    const auto rules = Json::parse(operators_schema)["properties"];
    const auto reader_accepts = [&](const std::string& text) {
        std::ofstream(path) << text;
        try {
            load_operator_settings(path, 1);
        } catch (const SettingsError&) {
            return false;
        }
        return true;
    };
    const auto valid = [&](const std::string& text) {
        std::ofstream(path) << text;
        return violation(operators_schema, operators_as_json(path)).empty();
    };
    EXPECT_EQ(rules.size(), 11U);
    for (const auto& [name, rule] : rules.items()) {
        const auto allowed = "(heronshift (" + name + (name == "begin-s" ? " 100))" : " 1))");
        EXPECT_TRUE(reader_accepts(allowed) || name == "alpha" || name == "beta" || name == "gamma")
            << name; // these three must fit each other, so one alone may be refused
        EXPECT_TRUE(valid(allowed)) << name;
        for (const auto* bad : {"-1", "many", "(1)"}) {
            const auto text = "(heronshift (" + name + " " + bad + "))";
            EXPECT_FALSE(reader_accepts(text)) << text;
            EXPECT_FALSE(valid(text)) << text;
        }
        for (const auto* out_of_range : {"9", "100000"})
            EXPECT_FALSE(name == "begin-s" &&
                         reader_accepts("(heronshift (begin-s " + std::string(out_of_range) + "))"))
                << out_of_range;
        if (rule["type"] != "integer")
            continue;
        EXPECT_FALSE(reader_accepts("(heronshift (" + name + " 1.5))")) << name;
        EXPECT_FALSE(valid("(heronshift (" + name + " 1.5))")) << name;
    }
    EXPECT_FALSE(reader_accepts("(heronshift (bath 3))"));
    EXPECT_FALSE(valid("(heronshift (bath 3))"));
    std::remove(path.c_str());
}

TEST(Metrics, LatenciesFallIntoBins) {
    metrics::LatencyHistogram l;
    for (const double s : {0.0, 0.0005, 0.0015, 0.0015, 0.3, 100.0, -1.0})
        l.add(s);
    l.add(std::numeric_limits<double>::quiet_NaN()); // not counted
    EXPECT_EQ(l.count(), 7U);
    EXPECT_NEAR(l.sum(), 100.3035, 1e-9);
    const auto b = l.buckets();
    EXPECT_NEAR(b.front().upper_bound, 0.001, 1e-9);
    EXPECT_EQ(b.front().count, 3U); // 0, 0.0005 and -1
    EXPECT_NEAR(b[1].upper_bound, 0.002, 1e-9);
    EXPECT_EQ(b[1].count, 5U);
    EXPECT_EQ(b[b.size() - 2].count, 6U);
    EXPECT_EQ(b.back().count, 7U);
}

TEST(Metrics, TheFirstLaunchOfAJobCountsOnce) {
    metrics::LatencyHistogram l;
    metrics::FirstLaunchTracker f;
    f.record_known("wk-1", 10);
    f.record_known("wk-1", 11); // reported a second time, by a follower
    f.record_launch("wk-1", 12.5, l);
    f.record_launch("wk-1", 20, l);
    f.record_launch("wk-2", 20, l); // accepted before this term
    EXPECT_EQ(l.count(), 1U);
    EXPECT_DOUBLE_EQ(l.sum(), 2.5);
    f.limit(4999);
    for (int i = 0; i < 5000; ++i)
        f.record_known(std::to_string(i), 30);
    f.record_launch("0", 40, l); // evicted: the number of known jobs is limited
    EXPECT_EQ(l.count(), 1U);
    f.record_launch("4999", 40, l);
    EXPECT_EQ(l.count(), 2U);
}

TEST(Metrics, AreTextThatMonitoringReads) {
    metrics::LatencyHistogram l;
    l.add(0.0015);
    const auto t = metrics::text({{"a_total", "things", 3}, {"b", "now", 0.5}}, {{"c_seconds", "took", &l}});
    for (const auto* line :
         {"# HELP a_total things\n# TYPE a_total counter\na_total 3\n", "# TYPE b gauge\nb 0.5\n",
          "# TYPE c_seconds histogram\n", "c_seconds_count 1\n", "c_seconds_bucket{le=\"+Inf\"} 1\n"})
        EXPECT_NE(t.find(line), std::string::npos) << line << " not found in\n" << t;
}

} // namespace
} // namespace heronshift::cli
