#include "heronshift/config.hpp"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>

namespace heronshift {
namespace {

const char* const valid_settings = R"(host_name = "berth-0"
zone = "a"
bind = "10.0.0.1:8080"
back = "10.0.0.1:8081"
surprise = 1
[[others]]
host_name = "berth-1"
zone = "b"
peer_addr = "10.0.0.2:8081"
[external]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[facts]
zones = ["a", "b"]
time_bound_ms = 1000.0
[[facts.teams]]
name = "red"
cpus = 10.0
cpus_max = 20.0
gpus = 0.0
gpus_max = 0.0
[facts.workers]
report_s = 3.0
lease_s = 21.0
gang_wait_s = 40.0
gang_peer_s = 8.0
cancel_s = 46.0
[facts.state]
rps = 90.0
write_rps = 35.0
value_kb = 16.0
txn_ops = 16
[facts.cloud]
rps = 2.0
list_lag_s = 6.0
[facts.resources]
cores = 0.32
mem_mb = 104.0
fd_limit = 2000
)";

class ConfigFile : public ::testing::Test {
protected:
    std::string write(const std::string& text, const char* name = "settings") {
        const auto* info = ::testing::UnitTest::GetInstance()->current_test_info();
        const auto path =
            std::filesystem::temp_directory_path() / (std::string("heronshift-") + info->name() + "-" + name);
        std::ofstream(path) << text;
        written_files_.push_back(path);
        return path.string();
    }
    void TearDown() override {
        for (const auto& p : written_files_)
            std::filesystem::remove(p);
    }
    template <class F> static std::string error_of(F f) {
        try {
            f();
        } catch (const SettingsError& e) {
            return e.what();
        }
        return "";
    }

private:
    std::vector<std::filesystem::path> written_files_;
};

TEST_F(ConfigFile, OfThePlatformIsReadAndUnknownFieldsAreIgnored) {
    const auto s = load_settings(write(valid_settings));
    EXPECT_EQ(s.peers.at(0).addr.str(), "10.0.0.2:8081");
    EXPECT_EQ(s.teams.at(0).cpus_max, 20);
    EXPECT_EQ(s.ops.pull_back_cap, OperatorSettings{}.pull_back_cap);
}

TEST_F(ConfigFile, TheSmallerOfTheStoresLimitsIsInForceFromTheStart) {
    std::string text = valid_settings;
    text.insert(text.find("[facts.cloud]"), "[facts.state.next]\nwrite_rps = 24.0\nvalue_kb = 2.0\ntxn_ops = 40\n");
    const auto s = load_settings(write(text));
    EXPECT_EQ(s.state_write_rps, 24);
    EXPECT_EQ(s.value_kb, 2);
    EXPECT_EQ(s.txn_ops, 16);
    for (const char* wrong : {"write_rps = 0.0", "value_kb = \"2\"", "txn_ops = 3"}) {
        auto bad = std::string(valid_settings);
        bad.insert(bad.find("[facts.cloud]"), std::string("[facts.state.next]\n") + wrong + "\n");
        const auto field = "facts.state.next." + std::string(wrong).substr(0, std::string(wrong).find(' '));
        EXPECT_NE(error_of([&] { load_settings(write(bad)); }).find(field), std::string::npos) << wrong;
    }
}

TEST_F(ConfigFile, ErrorsNameFileAndField) {
    const std::tuple<const char*, const char*, const char*> cases[] = {
        {"report_s = 3.0", "report_s = -3.0", "facts.workers.report_s"},
        {"lease_s = 21.0", "lease_s = \"long\"", "facts.workers.lease_s"},
        {"lease_s = 21.0", "lease_s = 4.0", "facts.workers.lease_s"},
        {"cancel_s = 46.0", "cancel_s = 21.0", "facts.workers.cancel_s"},
        {"rps = 90.0", "rps = nan", "facts.state.rps"},
        {"bind = \"10.0.0.1:8080\"", "bind = \"10.0.0.1\"", "bind"},
        {"host_name = \"berth-0\"", "", "host_name"},
        {"cpus = 10.0", "cpus = 30.0", "facts.teams[0].cpus"},
        {"txn_ops = 16", "txn_ops = 1", "facts.state.txn_ops"},
        {"state = \"10.2.0.1:2379\"", "state = \"10.2.0.1:99999\"", "external.state"}};
    for (const auto& [from, to, field] : cases) {
        std::string text = valid_settings;
        text.replace(text.find(from), std::string(from).size(), to);
        const auto path = write(text);
        const auto e = error_of([&] { load_settings(path); });
        EXPECT_NE(e.find(path), std::string::npos) << e;
        EXPECT_NE(e.find(field), std::string::npos) << e;
    }
    EXPECT_NE(error_of([] { load_settings("/nonexistent/file"); }), "");
    EXPECT_NE(error_of([&] { load_settings(write("a = [")); }), "");
}

TEST_F(ConfigFile, OfTheOperatorsIsCheckedFieldByField) {
    const auto o = load_operator_settings(
        write("; our cluster\n(heronshift (alpha 2) (beta 0.5) (gamma 20) (pull-back-cap 5))\n"), 3);
    EXPECT_EQ(o.alpha, 2);
    EXPECT_EQ(o.pull_back_cap, 5);
    const std::pair<const char*, const char*> cases[] = {{"(heronshift (pull-back-cap -1))", "pull-back-cap"},
                                                         {"(heronshift (beta 1))", "beta"},
                                                         {"(heronshift (gamma 2))", "gamma"},
                                                         {"(heronshift (round-s 1))", "round-s"},
                                                         {"(heronshift (alpha nan))", "alpha"},
                                                         {"(heronshift (reorder-cap 1.5))", "reorder-cap"},
                                                         {"(heronshift (colour 1))", "colour"},
                                                         {"(heronshift (alpha 1) (alpha 1))", "alpha"},
                                                         {"(heronshift (alpha))", "alpha"},
                                                         {"(heronshift (alpha 1)", "parentheses"},
                                                         {"(other)", "heronshift"},
                                                         {"(heronshift (batch 9))", "batch"}};
    for (const auto& [text, field] : cases) {
        const auto e = error_of([&, t = text] { load_operator_settings(write(t), 3); });
        EXPECT_NE(e.find(field), std::string::npos) << text << ": " << e;
    }
}

} // namespace
} // namespace heronshift
