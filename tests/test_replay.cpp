// A run of the simulated cluster is recorded as a command log and replayed: every effect must be the same.
#include "simulated_cluster.hpp"

#include <csignal>
#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <sys/resource.h>

namespace heronshift::testing {
namespace {

using replay::CommandLog;
using replay::LogError;

// A temporary file of the current test, removed by the destructor.
struct TempFile {
    explicit TempFile(const std::string& ending)
        : path(fmt::format("{}replay-{}{}", ::testing::TempDir(),
                           ::testing::UnitTest::GetInstance()->current_test_info()->name(), ending)) {
        std::remove(path.c_str());
    }
    ~TempFile() {
        std::remove(path.c_str());
    }
    TempFile(const TempFile&) = delete;
    TempFile& operator=(const TempFile&) = delete;

    [[nodiscard]] std::string text() const {
        std::ifstream in(path, std::ios::binary);
        std::stringstream s;
        s << in.rdbuf();
        return s.str();
    }
    void write(const std::string& text) const {
        std::ofstream(path, std::ios::binary) << text;
    }
    std::string path;
};

// Runs jobs of all shapes, a dependency, a cancellation, lost messages and a change of leader.
void record_run(SimulatedCluster& cluster, const std::string& path, std::uint64_t max_bytes = 1 << 30) {
    CommandLog log(path, max_bytes);
    cluster.log = &log;
    cluster.heartbeat_loss = cluster.order_loss = 0.1;
    cluster.acquire_leadership();
    cluster.submit(job(1, Shape::array, 12, 2));
    cluster.submit(job(2, Shape::gang, 3, 4));
    cluster.submit(job(3, Shape::service, 3, 1, "blue"));
    auto next = job(4, Shape::array, 4, 1, "blue");
    next.dependencies = {"wk-000001"};
    cluster.submit(next);
    cluster.run(15);
    cluster.cancel("wk-000003");
    cluster.run(10);
    cluster.acquire_leadership();
    cluster.run(40);
    cluster.log = nullptr;
    EXPECT_EQ(cluster.violations.empty() ? "" : cluster.violations.front(), "");
}

std::string error_of(const std::string& path, bool allow_truncated = false) {
    try {
        (void)replay::replay(path, allow_truncated);
    } catch (const LogError& e) {
        return e.what();
    }
    return "none";
}

TEST(Replay, ARecordedDayComesOutTheSame) {
    for (const std::string ending : {".log", ".log.zst"}) {
        TempFile file(ending);
        SimulatedCluster cluster(11);
        record_run(cluster, file.path);
        const auto result = replay::replay(file.path);
        EXPECT_FALSE(result.first) << result.first->what << " " << result.first->got;
        EXPECT_EQ(result.terms, 2U);
        EXPECT_GT(result.batches, 1000U);
        EXPECT_GT(result.effects, 200U);
        EXPECT_FALSE(result.truncated);
    }
}

// The replay detects a difference: after one setting is changed, it reports the first decision that differs.
TEST(Replay, AChangedSettingIsDetectedAndLocated) {
    TempFile file(".log");
    SimulatedCluster cluster(11);
    record_run(cluster, file.path);
    auto text = file.text();
    const auto at = text.find(R"("headroom":0.25)");
    ASSERT_NE(at, std::string::npos);
    text.replace(at, 15, R"("headroom":9.25)");
    file.write(text);
    const auto result = replay::replay(file.path);
    ASSERT_TRUE(result.first);
    EXPECT_GT(result.first->line, 2U);
    EXPECT_FALSE(result.first->got.empty());
}

TEST(Replay, ADamagedLogIsRefusedWithItsLine) {
    TempFile file(".log");
    EXPECT_NE(error_of(file.path).find("No such file"), std::string::npos);
    SimulatedCluster cluster(12);
    record_run(cluster, file.path);
    const auto text = file.text();
    const auto error_of_damaged = [&](const std::string& from, const std::string& to) {
        auto t = text;
        const auto at = t.find(from, t.find("\"commands\""));
        if (at == std::string::npos)
            return std::string("nothing to damage");
        file.write(t.replace(at, from.size(), to));
        return error_of(file.path);
    };
    EXPECT_NE(error_of_damaged(R"("entitled")", R"("untitled")").find(":3: "), std::string::npos);
    EXPECT_NE(error_of_damaged(R"("commands":[[)", R"("commands":[[7)").find(":3: "), std::string::npos);
    EXPECT_NE(error_of_damaged(R"("effects":")", R"("effects":"0)").find("effects: not a list"), std::string::npos);
    file.write("");
    EXPECT_NE(error_of(file.path).find(":1: the file is empty"), std::string::npos);
    file.write("{}\n");
    EXPECT_NE(error_of(file.path).find("not a command log"), std::string::npos);
    file.write(R"({"heronshift":"command log","version":99})"
               "\n");
    EXPECT_NE(error_of(file.path).find("version"), std::string::npos);
}

// A writer that is killed leaves half a line. Such a log is refused unless the caller allows it.
TEST(Replay, ALogThatIsCutOffIsUsedOnlyWhenAskedFor) {
    for (const std::string ending : {".log", ".log.zst"}) {
        TempFile file(ending);
        SimulatedCluster cluster(13);
        record_run(cluster, file.path);
        const auto text = file.text();
        file.write(text.substr(0, text.size() * 2 / 3));
        EXPECT_NE(error_of(file.path).find("in the middle of a line"), std::string::npos) << ending;
        const auto result = replay::replay(file.path, true);
        EXPECT_TRUE(result.truncated);
        EXPECT_FALSE(result.first);
        EXPECT_GT(result.batches, 100U);
    }
}

TEST(Replay, ALogEndsAtItsBoundAndNeverOverwrites) {
    TempFile file(".log");
    SimulatedCluster cluster(14);
    record_run(cluster, file.path, 100'000);
    EXPECT_LE(file.text().size(), 100'000U);
    EXPECT_EQ(error_of(file.path), "none"); // no line is cut off
    EXPECT_THROW(CommandLog(file.path, 1000), LogError);
    EXPECT_THROW(CommandLog("/nowhere/at/all", 1000), LogError);
}

// A full disk closes the log and leaves the scheduler running.
TEST(Replay, AFullDiskEndsTheLog) {
    TempFile file(".log");
    rlimit before{};
    getrlimit(RLIMIT_FSIZE, &before);
    auto* const handler = std::signal(SIGXFSZ, SIG_IGN);
    const rlimit small{100'000, before.rlim_max};
    setrlimit(RLIMIT_FSIZE, &small);
    SimulatedCluster cluster(15);
    {
        CommandLog log(file.path, 1 << 30);
        for (int i = 0; i < 1000 && log.open(); ++i)
            log.begin(cluster.settings, 1, {}, 0, 0);
        EXPECT_FALSE(log.open());
        EXPECT_EQ(log.why(), "File too large");
        log.begin(cluster.settings, 1, {}, 0, 0); // has no effect once the log is closed
    }
    setrlimit(RLIMIT_FSIZE, &before);
    std::signal(SIGXFSZ, handler);
}

} // namespace
} // namespace heronshift::testing
