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
struct File {
    explicit File(const std::string& ending)
        : path(fmt::format("{}replay-{}{}", ::testing::TempDir(),
                           ::testing::UnitTest::GetInstance()->current_test_info()->name(), ending)) {
        std::remove(path.c_str());
    }
    ~File() {
        std::remove(path.c_str());
    }
    File(const File&) = delete;
    File& operator=(const File&) = delete;

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
void play(SimulatedCluster& w, const std::string& path, std::uint64_t max_bytes = 1 << 30) {
    CommandLog log(path, max_bytes);
    w.log = &log;
    w.heartbeat_loss = w.order_loss = 0.1;
    w.acquire_leadership();
    w.submit(job(1, Shape::array, 12, 2));
    w.submit(job(2, Shape::gang, 3, 4));
    w.submit(job(3, Shape::service, 3, 1, "blue"));
    auto next = job(4, Shape::array, 4, 1, "blue");
    next.dependencies = {"wk-000001"};
    w.submit(next);
    w.run(15);
    w.cancel("wk-000003");
    w.run(10);
    w.acquire_leadership();
    w.run(40);
    w.log = nullptr;
    EXPECT_EQ(w.broken.empty() ? "" : w.broken.front(), "");
}

std::string error_of(const std::string& path, bool allow_cut = false) {
    try {
        (void)replay::replay(path, allow_cut);
    } catch (const LogError& e) {
        return e.what();
    }
    return "none";
}

TEST(Replay, ARecordedDayComesOutTheSame) {
    for (const std::string ending : {".log", ".log.zst"}) {
        File f(ending);
        SimulatedCluster w(11);
        play(w, f.path);
        const auto r = replay::replay(f.path);
        EXPECT_FALSE(r.first) << r.first->what << " " << r.first->got;
        EXPECT_EQ(r.terms, 2U);
        EXPECT_GT(r.batches, 1000U);
        EXPECT_GT(r.effects, 200U);
        EXPECT_FALSE(r.cut);
    }
}

// The replay detects a difference: after one setting is changed, it reports the first decision that differs.
TEST(Replay, AChangedPayoffIsFoundAndPlaced) {
    File f(".log");
    SimulatedCluster w(11);
    play(w, f.path);
    auto text = f.text();
    const auto at = text.find(R"("headroom":0.25)");
    ASSERT_NE(at, std::string::npos);
    text.replace(at, 15, R"("headroom":9.25)");
    f.write(text);
    const auto r = replay::replay(f.path);
    ASSERT_TRUE(r.first);
    EXPECT_GT(r.first->line, 2U);
    EXPECT_FALSE(r.first->got.empty());
}

TEST(Replay, ADamagedLogIsRefusedWithItsPlace) {
    File f(".log");
    EXPECT_NE(error_of(f.path).find("No such file"), std::string::npos);
    SimulatedCluster w(12);
    play(w, f.path);
    const auto text = f.text();
    const auto damaged = [&](const std::string& from, const std::string& to) {
        auto t = text;
        const auto at = t.find(from, t.find("\"commands\""));
        if (at == std::string::npos)
            return std::string("nothing to damage");
        f.write(t.replace(at, from.size(), to));
        return error_of(f.path);
    };
    EXPECT_NE(damaged(R"("entitled")", R"("untitled")").find(":3: "), std::string::npos);
    EXPECT_NE(damaged(R"("commands":[[)", R"("commands":[[7)").find(":3: "), std::string::npos);
    EXPECT_NE(damaged(R"("effects":")", R"("effects":"0)").find("effects: not a list"), std::string::npos);
    f.write("");
    EXPECT_NE(error_of(f.path).find(":1: the file is empty"), std::string::npos);
    f.write("{}\n");
    EXPECT_NE(error_of(f.path).find("not a command log"), std::string::npos);
    f.write(R"({"heronshift":"command log","version":99})"
            "\n");
    EXPECT_NE(error_of(f.path).find("version"), std::string::npos);
}

// A writer that is killed leaves half a line. Such a log is refused unless the caller allows it.
TEST(Replay, ALogThatIsCutOffIsUsedOnlyWhenAskedFor) {
    for (const std::string ending : {".log", ".log.zst"}) {
        File f(ending);
        SimulatedCluster w(13);
        play(w, f.path);
        const auto text = f.text();
        f.write(text.substr(0, text.size() * 2 / 3));
        EXPECT_NE(error_of(f.path).find("in the middle of a line"), std::string::npos) << ending;
        const auto r = replay::replay(f.path, true);
        EXPECT_TRUE(r.cut);
        EXPECT_FALSE(r.first);
        EXPECT_GT(r.batches, 100U);
    }
}

TEST(Replay, ALogEndsAtItsBoundAndNeverOverwrites) {
    File f(".log");
    SimulatedCluster w(14);
    play(w, f.path, 100'000);
    EXPECT_LE(f.text().size(), 100'000U);
    EXPECT_EQ(error_of(f.path), "none"); // no line is cut off
    EXPECT_THROW(CommandLog(f.path, 1000), LogError);
    EXPECT_THROW(CommandLog("/nowhere/at/all", 1000), LogError);
}

// A full disk closes the log and leaves the scheduler running.
TEST(Replay, AFullDiskEndsTheLog) {
    File f(".log");
    rlimit before{};
    getrlimit(RLIMIT_FSIZE, &before);
    auto* const handler = std::signal(SIGXFSZ, SIG_IGN);
    const rlimit small{100'000, before.rlim_max};
    setrlimit(RLIMIT_FSIZE, &small);
    SimulatedCluster w(15);
    {
        CommandLog log(f.path, 1 << 30);
        for (int i = 0; i < 1000 && log.open(); ++i)
            log.begin(w.settings, 1, {}, 0, 0);
        EXPECT_FALSE(log.open());
        EXPECT_EQ(log.why(), "File too large");
        log.begin(w.settings, 1, {}, 0, 0); // has no effect once the log is closed
    }
    setrlimit(RLIMIT_FSIZE, &before);
    std::signal(SIGXFSZ, handler);
}

} // namespace
} // namespace heronshift::testing
