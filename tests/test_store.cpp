// The contract that every state store fulfils (in memory, in a file, over HTTP, called directly), then faults that only
// a file store has.
#include "heronshift/store/direct.hpp"
#include "store/file_data.hpp"
#include "store/local.hpp"
#include "store/remote.hpp"
#include "store/server.hpp"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <fmt/format.h>
#include <fstream>
#include <gtest/gtest.h>
#include <mutex>
#include <random>
#include <set>
#include <sqlite3.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace heronshift::store {
namespace {

using codec::Guard;
using codec::Json;
using codec::Write;

// Longer than any scenario takes: only a store that hangs times out.
constexpr double call_timeout_s = 30;

std::string file_name() {
    const auto* test = ::testing::UnitTest::GetInstance()->current_test_info();
    auto name = fmt::format("{}-{}", test->test_suite_name(), test->name());
    std::replace(name.begin(), name.end(), '/', '-');
    return ::testing::TempDir() + name + ".db";
}

void remove_file(const std::string& path) {
    for (const auto* end : {"", "-wal", "-shm"})
        std::remove((path + end).c_str());
}

struct Loop {
    uv_loop_t loop{};
    Loop() {
        uv_loop_init(&loop);
    }
    ~Loop() {
        uv_run(&loop, UV_RUN_DEFAULT); // lets handles close
        uv_loop_close(&loop);
    }
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    Answer ask(StateStore& s, const std::function<void(StateStore&, Callback)>& call) {
        std::optional<Answer> got;
        call(s, [&](Answer&& a) { got = std::move(a); });
        EXPECT_FALSE(got) << "answered before the call returned";
        wait([&] { return got.has_value(); }, s);
        return got.value_or(Answer{});
    }
    void wait(const std::function<bool()>& condition, StateStore& s) {
        const auto end = uv_hrtime() + static_cast<std::uint64_t>(call_timeout_s * 1e9);
        while (!condition() && uv_hrtime() < end) {
            uv_run(&loop, UV_RUN_NOWAIT);
            s.sweep();
            usleep(1000);
        }
        EXPECT_TRUE(condition());
    }
};

// Blocking calls to a store.
struct BlockingStore {
    Loop& l;
    StateStore& s;
    Answer get(const std::string& k) {
        return l.ask(s, [&](auto& x, auto d) { x.get(k, call_timeout_s, d); });
    }
    Answer list(const std::string& under, const std::string& since = "", int most = 200) {
        return l.ask(s, [&](auto& x, auto d) { x.list(under, since, most, call_timeout_s, d); });
    }
    Answer txn(const std::vector<Guard>& g, const std::vector<Write>& w) {
        return l.ask(s, [&](auto& x, auto d) { x.transact(g, w, call_timeout_s, d); });
    }
    Answer create_lease(double ttl) {
        return l.ask(s, [&](auto& x, auto d) { x.create_lease(ttl, call_timeout_s, d); });
    }
    Answer renew_lease(std::uint64_t h) {
        return l.ask(s, [&](auto& x, auto d) { x.renew_lease(h, call_timeout_s, d); });
    }
    Answer revoke_lease(std::uint64_t h) {
        return l.ask(s, [&](auto& x, auto d) { x.revoke_lease(h, call_timeout_s, d); });
    }
    Answer follow(const std::string& under, std::uint64_t since, double block) {
        return l.ask(s, [&](auto& x, auto d) { x.follow(under, since, block, d); });
    }
};

enum class Kind { memory, file, remote, direct };

struct StoreFixture {
    explicit StoreFixture(Kind kind, const Limits& limits = {}) {
        if (kind == Kind::remote) {
            server = std::make_unique<StoreServer>(&loop.loop, std::make_unique<Engine>(memory_data(), limits));
            EXPECT_EQ(server->start({"127.0.0.1", 0}), 0);
            store = std::make_unique<RemoteStore>(&loop.loop, Endpoint{"127.0.0.1", server->port()});
            return;
        }
        if (kind == Kind::direct) {
            store = std::make_unique<DirectStore>(&loop.loop, std::make_unique<Engine>(memory_data(), limits));
            return;
        }
        path = file_name();
        remove_file(path);
        auto data = kind == Kind::file ? file_data(path) : memory_data();
        store = std::make_unique<LocalStore>(&loop.loop, std::make_unique<Engine>(std::move(data), limits));
    }
    ~StoreFixture() {
        store.reset();
        server.reset();
        if (!path.empty())
            remove_file(path);
    }
    StoreFixture(const StoreFixture&) = delete;
    StoreFixture& operator=(const StoreFixture&) = delete;
    BlockingStore blocking_store() {
        return {loop, *store};
    }
    std::string path;
    Loop loop;
    std::unique_ptr<StoreServer> server;
    std::unique_ptr<StateStore> store;
};

class Contract : public ::testing::TestWithParam<Kind> {};

TEST_P(Contract, AKeyHasTheRevisionOfItsLastChange) {
    StoreFixture r(GetParam());
    auto s = r.blocking_store();
    EXPECT_EQ(s.get("a/b").status, 404);
    const auto first = s.txn({{"a/b", 0}}, {{"a/b", Json{{"n", 1}}, 0}, {"a/c", Json("x"), 0}});
    ASSERT_EQ(first.status, 200);
    const auto b = s.get("a/b"), c = s.get("a/c");
    ASSERT_TRUE(b.item && c.item);
    EXPECT_EQ(b.item->value, (Json{{"n", 1}}));
    EXPECT_EQ(b.item->mod_revision, first.revision);
    EXPECT_EQ(c.item->mod_revision, first.revision); // all changes of a transaction have the same revision
    const auto second = s.txn({}, {{"a/c", std::nullopt, 0}});
    EXPECT_GT(second.revision, first.revision);
    EXPECT_EQ(s.get("a/c").status, 404);
    EXPECT_EQ(s.get("a/b").item->mod_revision, first.revision);
}

TEST_P(Contract, AGuardThatFailsStopsAll) {
    StoreFixture r(GetParam());
    auto s = r.blocking_store();
    const auto a = s.txn({}, {{"a", Json(1), 0}});
    const auto refused = s.txn({{"a", a.revision}, {"b", 7}}, {{"a", Json(2), 0}, {"c", Json(3), 0}});
    EXPECT_EQ(refused.status, 409);
    EXPECT_EQ(refused.failed, std::vector<std::string>{"b"});
    EXPECT_EQ(s.get("a").item->value, Json(1));
    EXPECT_EQ(s.get("c").status, 404);
    EXPECT_EQ(s.txn({{"a", a.revision}}, {}).status, 200); // a transaction without writes only checks its guards
    EXPECT_EQ(s.txn({{"a", 0}}, {}).status, 409);          // the key exists
}

TEST_P(Contract, AListComesInPagesInTheOrderOfKeys) {
    StoreFixture r(GetParam());
    auto s = r.blocking_store();
    for (int i = 0; i < 30; ++i)
        s.txn({}, {{fmt::format("j/{:02}", i), Json(i), 0}, {fmt::format("k/{}", i), Json(i), 0}});
    std::string since;
    int n = 0;
    for (bool more = true; more;) {
        const auto page = s.list("j/", since, 7);
        ASSERT_EQ(page.status, 200);
        for (const auto& i : page.items)
            EXPECT_EQ(i.value, Json(n++));
        more = page.more;
        ASSERT_FALSE(page.items.empty());
        since = page.items.back().key;
    }
    EXPECT_EQ(n, 30);
    EXPECT_TRUE(s.list("nothing/").items.empty());
}

TEST_P(Contract, KeysGoWithTheirLease) {
    StoreFixture r(GetParam());
    auto s = r.blocking_store();
    const auto h = s.create_lease(60);
    ASSERT_EQ(h.status, 200);
    ASSERT_EQ(s.txn({}, {{"on", Json(1), h.lease}, {"off", Json(1), h.lease}}).status, 200);
    EXPECT_EQ(s.get("on").item->lease, h.lease);
    ASSERT_EQ(s.txn({}, {{"off", Json(2), 0}}).status, 200); // a write without a lease detaches the key from its lease
    EXPECT_EQ(s.renew_lease(h.lease).status, 200);
    const auto before = s.list("").revision;
    EXPECT_EQ(s.revoke_lease(h.lease).status, 200);
    EXPECT_EQ(s.get("on").status, 404);
    EXPECT_EQ(s.get("off").status, 200);
    EXPECT_EQ(s.renew_lease(h.lease).status, 404);
    const auto refused = s.txn({{"off", 99}}, {{"x", Json(1), h.lease}}); // takes precedence over a failed guard
    EXPECT_EQ(refused.status, 400);
    EXPECT_EQ(refused.error, "no such lease");
    const auto gone = s.follow("on", before, 0);
    ASSERT_EQ(gone.items.size(), 1U);
    EXPECT_TRUE(gone.items[0].deleted);
    // A lease that is not renewed expires.
    const auto brief = s.create_lease(0.1);
    s.txn({}, {{"brief", Json(1), brief.lease}});
    r.loop.wait([&] { return s.get("brief").status == 404; }, *r.store);
    EXPECT_EQ(s.create_lease(0.05).status, 400);
}

TEST_P(Contract, AFollowWaitsForAChange) {
    StoreFixture r(GetParam());
    auto s = r.blocking_store();
    const auto at = s.txn({}, {{"c/1", Json(1), 0}}).revision;
    std::optional<Answer> got;
    r.store->follow("c/", at, call_timeout_s, [&](Answer&& a) { got = std::move(a); });
    s.txn({}, {{"d/1", Json(1), 0}}); // not under the followed prefix
    EXPECT_FALSE(got);
    s.txn({}, {{"c/2", Json("x"), 0}, {"c/1", std::nullopt, 0}});
    r.loop.wait([&] { return got.has_value(); }, *r.store);
    ASSERT_EQ(got->items.size(), 2U);
    EXPECT_EQ(got->items[0].key, "c/2");
    EXPECT_EQ(got->items[0].value, Json("x"));
    EXPECT_TRUE(got->items[1].deleted);
    EXPECT_EQ(s.follow("c/", at, 0).items.size(), 2U); // earlier changes are returned at once
    EXPECT_EQ(s.follow("c/", got->revision, 0.05).items.size(),
              0U); // without a change it returns an empty list after the timeout
}

TEST_P(Contract, DiscardedChangesMustBeReadAgain) {
    StoreFixture r(GetParam(), {0, 0, 4000, 16});
    auto s = r.blocking_store();
    const auto start = s.txn({}, {{"a", Json(0), 0}}).revision;
    for (int i = 0; i < 12; ++i) {
        std::vector<Write> many;
        many.reserve(1000);
        for (int k = 0; k < 1000; ++k)
            many.push_back({fmt::format("k{}", k), Json(i), 0});
        ASSERT_EQ(s.txn({}, many).status, 200);
    }
    EXPECT_EQ(s.follow("", start - 1, 0).status, 410);
    EXPECT_EQ(s.follow("", s.list("nothing/").revision, 0).status, 200);
}

TEST_P(Contract, WhatIsNotAllowedIsRefused) {
    StoreFixture r(GetParam(), {0, 0, 3, 1});
    auto s = r.blocking_store();
    EXPECT_EQ(s.txn({}, {{"a", Json(1), 0}, {"b", Json(1), 0}, {"c", Json(1), 0}, {"d", Json(1), 0}}).status, 400);
    EXPECT_EQ(s.txn({}, {{"a", Json(std::string(1100, 'x')), 0}}).status, 400);
    EXPECT_EQ(s.txn({}, {{std::string(201, 'k'), Json(1), 0}}).status, 400);
    EXPECT_EQ(s.txn({}, {{"with space", Json(1), 0}}).status, 400);
    EXPECT_EQ(s.txn(std::vector<Guard>(13, Guard{"a", 0}), {}).status, 400);
    EXPECT_EQ(s.list("").items.size(), 0U);
}

TEST_P(Contract, AboveTheLimitsComes429) {
    StoreFixture r(GetParam(), {5, 2, 16, 16});
    auto s = r.blocking_store();
    int refused = 0;
    for (int i = 0; i < 40; ++i)
        refused += s.txn({}, {{"a", Json(i), 0}}).status == 429;
    EXPECT_GT(refused, 0);
    EXPECT_LT(refused, 40);
}

INSTANTIATE_TEST_SUITE_P(Stores, Contract, ::testing::Values(Kind::memory, Kind::file, Kind::remote, Kind::direct),
                         [](const auto& i) {
                             return i.param == Kind::memory   ? "Memory"
                                    : i.param == Kind::file   ? "File"
                                    : i.param == Kind::remote ? "Remote"
                                                              : "Direct";
                         });

TEST(RemoteStore, AnOutageIs503AndSilenceIsNoAnswer) {
    StoreFixture r(Kind::remote);
    auto s = r.blocking_store();
    const auto h = s.create_lease(0.2);
    s.txn({}, {{"a", Json(1), h.lease}});
    r.server->set_fault_mode(StoreServer::FaultMode::unavailable);
    EXPECT_EQ(s.get("a").status, 503);
    usleep(400'000); // longer than the store lease
    r.server->set_fault_mode(StoreServer::FaultMode::none);
    EXPECT_EQ(s.get("a").status, 200); // the end of the outage renewed the lease
    r.server->set_fault_mode(StoreServer::FaultMode::rate_limited);
    EXPECT_EQ(s.get("a").status, 429);
    EXPECT_EQ(s.renew_lease(h.lease).status, 429);
    r.server->set_fault_mode(StoreServer::FaultMode::silent);
    const auto silent = r.loop.ask(*r.store, [](auto& x, auto d) { x.get("a", 0.1, d); });
    EXPECT_EQ(silent.status, 0);
    EXPECT_TRUE(silent.sent); // the request may have been executed
    r.server->set_fault_mode(StoreServer::FaultMode::none);
    EXPECT_NE(s.get("a").status, 0);
}

// A leader stays active until its store lease has expired by its own clock, so the store must not expire the lease any
// sooner for any reader. No other scenario detects shortened leases.
TEST(StoreLeases, LiveTheirWholeTimeAndNoLonger) {
    const auto path = file_name();
    for (const bool in_file : {false, true}) {
        remove_file(path);
        Engine e(in_file ? file_data(path) : memory_data(), Limits{});
        const auto held = [&](std::int64_t now) {
            e.data().begin();
            e.expire(now);
            const auto status = e.get("office", now).status;
            e.data().commit();
            return status == 200;
        };
        e.data().begin();
        const auto lease = e.create_lease(1000, 5000).lease;
        ASSERT_EQ(e.transact({}, {{"office", Json("us"), lease}}, 5000).status, 200);
        e.data().commit();
        EXPECT_TRUE(held(5999));
        e.data().begin();
        EXPECT_EQ(e.renew_lease(lease, 5999).status, 200); // the lease time restarts at 5999
        e.data().commit();
        EXPECT_TRUE(held(6998));
        EXPECT_FALSE(held(7001));
    }
    remove_file(path);
}

// --- files

std::unique_ptr<StateStore> open_file(Loop& l, const std::string& path) {
    return std::make_unique<LocalStore>(&l.loop, std::make_unique<Engine>(file_data(path), Limits{}));
}

std::string open_error(const std::string& path) {
    try {
        file_data(path);
    } catch (const StoreError& e) {
        return e.what();
    }
    return "opened";
}

void run_sql(const std::string& path, const std::string& text) {
    sqlite3* db = nullptr;
    ASSERT_EQ(sqlite3_open(path.c_str(), &db), SQLITE_OK);
    EXPECT_EQ(sqlite3_exec(db, text.c_str(), nullptr, nullptr, nullptr), SQLITE_OK) << sqlite3_errmsg(db);
    sqlite3_close(db);
}

struct FileStore : ::testing::Test {
    std::string path = file_name();
    FileStore() {
        remove_file(path);
    }
    ~FileStore() override {
        remove_file(path);
    }
    FileStore(const FileStore&) = delete;
    FileStore& operator=(const FileStore&) = delete;
};

// Several programs start at once on a file that does not exist yet. Guards against a race in which one of them
// sometimes exits because the file seems to be locked or to belong to another program.
TEST_F(FileStore, ManyMayCreateItAtOnce) {
    constexpr int rounds = 40, openers = 8;
    std::atomic<int> opened = 0;
    std::mutex lock;
    std::set<std::string> reported;
    for (int r = 0; r < rounds; ++r) {
        remove_file(path);
        std::vector<std::thread> list;
        list.reserve(openers);
        std::atomic<bool> go = false;
        for (int n = 0; n < openers; ++n)
            list.emplace_back([&] {
                while (!go)
                    std::this_thread::yield();
                const auto why = open_error(path);
                const std::lock_guard l(lock);
                if (why == "opened")
                    ++opened;
                else
                    reported.insert(why);
            });
        go = true;
        for (auto& t : list)
            t.join();
    }
    EXPECT_EQ(reported, std::set<std::string>{});
    EXPECT_EQ(opened, rounds * openers);
}

TEST_F(FileStore, TwoProcessesSeeEachOther) {
    Loop l;
    auto one = open_file(l, path), two = open_file(l, path);
    BlockingStore a{l, *one}, b{l, *two};
    const auto at = a.txn({{"office", 0}}, {{"office", Json("one"), 0}}).revision;
    EXPECT_EQ(b.get("office").item->value, Json("one"));
    EXPECT_EQ(b.txn({{"office", 0}}, {{"office", Json("two"), 0}}).status, 409);
    std::optional<Answer> got;
    two->follow("office", at, call_timeout_s, [&](Answer&& x) { got = std::move(x); });
    a.txn({}, {{"office", Json("again"), 0}});
    l.wait([&] { return got.has_value(); }, *two);
    ASSERT_EQ(got->items.size(), 1U);
    EXPECT_EQ(got->items[0].value, Json("again"));
    // A store lease that one process no longer renews is expired by the other.
    const auto h = a.create_lease(0.1);
    a.txn({}, {{"held", Json(1), h.lease}});
    one.reset();
    l.wait([&] { return b.get("held").status == 404; }, *two);
    two.reset();
}

TEST_F(FileStore, WhatCannotBeUsedIsRefusedWithTheReason) {
    EXPECT_NE(open_error("/no/such/folder/x.db").find("unable to open"), std::string::npos);
    std::ofstream(path) << std::string(4096, 'x');
    EXPECT_NE(open_error(path).find("not a database"), std::string::npos);
    remove_file(path);
    run_sql(path, "CREATE TABLE theirs(x)");
    EXPECT_NE(open_error(path).find("another program"), std::string::npos);
    remove_file(path);
    file_data(path);
    run_sql(path, "PRAGMA user_version=99");
    EXPECT_NE(open_error(path).find("newer version (schema 99, this one knows 2)"), std::string::npos);
    remove_file(path);
    {
        auto d = file_data(path);
        d->begin();
        for (int i = 0; i < 2000; ++i)
            d->put(fmt::format("key/{}", i), {std::string(100, 'v'), 1, 0});
        ASSERT_TRUE(d->commit());
    }
    std::fstream f(path, std::ios::in | std::ios::out | std::ios::binary);
    f.seekp(40'000);
    f << std::string(30'000, '\x5a');
    f.close();
    const auto why = open_error(path);
    EXPECT_TRUE(why.find("damaged") != std::string::npos || why.find("malformed") != std::string::npos) << why;
}

TEST_F(FileStore, AnEarlierSchemaIsMigratedAndKeepsItsData) {
    {
        auto d = file_data(path, {true, 1, 2});
        d->begin();
        d->put("old", {"7", 3, 0});
        ASSERT_TRUE(d->commit());
    }
    auto d = file_data(path);
    EXPECT_EQ(d->get("old")->data, "7");
    ASSERT_TRUE(d->changes("", 0));
    d.reset();
    sqlite3* db = nullptr;
    sqlite3_open(path.c_str(), &db);
    sqlite3_stmt* q = nullptr;
    sqlite3_prepare_v2(db, "PRAGMA user_version", -1, &q, nullptr);
    sqlite3_step(q);
    EXPECT_EQ(sqlite3_column_int(q, 0), file_schema);
    sqlite3_finalize(q);
    sqlite3_close(db);
}

TEST_F(FileStore, AFullDiskConfirmsNothingAndRecoversWhenItClears) {
    Loop l;
    auto store = open_file(l, path);
    BlockingStore s{l, *store};
    ASSERT_EQ(s.txn({}, {{"a", Json(1), 0}}).status, 200);
    rlimit before{};
    getrlimit(RLIMIT_FSIZE, &before);
    auto* const handler = std::signal(SIGXFSZ, SIG_IGN);
    const rlimit small{64UL * 1024, before.rlim_max};
    setrlimit(RLIMIT_FSIZE, &small);
    int confirmed = 0, refused = 0;
    for (int i = 0; i < 40; ++i) {
        const auto a = s.txn({}, {{fmt::format("k{}", i), Json(std::string(8000, 'x')), 0}});
        confirmed += a.status == 200;
        refused += a.status == 503 || a.status == 0;
        EXPECT_EQ(a.status == 200, a.error.empty());
    }
    EXPECT_EQ(confirmed + refused, 40);
    EXPECT_GT(refused, 0);
    setrlimit(RLIMIT_FSIZE, &before);
    std::signal(SIGXFSZ, handler);
    EXPECT_EQ(s.txn({}, {{"b", Json(2), 0}}).status, 200);
    store.reset();
    auto d = file_data(path);
    int kept = 0;
    d->each("k", "", [&](const auto&, const auto&) { return ++kept, true; });
    EXPECT_GE(kept, confirmed);
    EXPECT_TRUE(d->get("b"));
}

TEST_F(FileStore, ARemovedFileAcceptsNoWrites) {
    Loop l;
    auto store = open_file(l, path);
    BlockingStore s{l, *store};
    ASSERT_EQ(s.txn({}, {{"a", Json(1), 0}}).status, 200);
    const auto moved_path = path + ".aside";
    std::rename(path.c_str(), moved_path.c_str());
    const auto gone = s.txn({}, {{"a", Json(2), 0}});
    EXPECT_EQ(gone.status, 503);
    EXPECT_NE(gone.error.find("removed or replaced"), std::string::npos);
    std::ofstream(path) << "not the file";
    EXPECT_EQ(s.get("a").status, 503);
    std::rename(moved_path.c_str(), path.c_str());
    EXPECT_EQ(s.get("a").item->value, Json(1)); // the file is back with its old content
    EXPECT_EQ(s.txn({}, {{"a", Json(3), 0}}).status, 200);
}

TEST_F(FileStore, ABackupIsWholeAndOverwritesNothing) {
    Loop l;
    auto store = open_file(l, path);
    BlockingStore s{l, *store};
    s.txn({}, {{"a", Json(1), 0}});
    const auto copy = path + ".copy";
    remove_file(copy);
    back_up(path, copy);
    s.txn({}, {{"a", Json(2), 0}});
    EXPECT_EQ(file_data(copy)->get("a")->data, "1");
    EXPECT_THROW(back_up(path, copy), StoreError);
    remove_file(copy);
    EXPECT_THROW(back_up(path + ".none", copy), StoreError);
}

// A child process stores increasing numbers and writes each committed one to a pipe; it is killed at random moments.
// Every number that it wrote to the pipe is stored, and none was skipped.
TEST_F(FileStore, WhatWasAnsweredSurvivesAKill) {
    std::mt19937 rng(20261201);
    std::uint32_t last = 0;
    for (int round = 0; round < 25; ++round) {
        int out[2];
        ASSERT_EQ(pipe(out), 0);
        const auto child = fork();
        if (child == 0) {
            close(out[0]);
            Engine e(file_data(path), {});
            for (;;) {
                e.data().begin();
                const auto row = e.data().get("n");
                const std::uint32_t n = row ? static_cast<std::uint32_t>(std::stoul(row->data)) + 1 : 1;
                const auto a = e.transact({{"n", row ? row->mod_revision : 0}}, {{"n", Json(n), 0}}, 0);
                if (a.status != 200 || !e.data().commit() || write(out[1], &n, sizeof n) != sizeof n)
                    _exit(1);
            }
        }
        close(out[1]);
        std::uint32_t reported = 0, n = 0;
        const auto stop_after = last + std::uniform_int_distribution<std::uint32_t>(1, 20)(rng);
        while (read(out[0], &n, sizeof n) == sizeof n) {
            EXPECT_EQ(n, std::max(reported, last) + 1);
            reported = n;
            if (n < stop_after)
                continue;
            usleep(std::uniform_int_distribution<useconds_t>(0, 3000)(rng));
            kill(child, SIGKILL);
            break;
        }
        while (read(out[0], &n, sizeof n) == sizeof n)
            reported = n; // written to the pipe before the child died
        close(out[0]);
        int status = 0;
        waitpid(child, &status, 0);
        ASSERT_TRUE(WIFSIGNALED(status));
        const auto row = file_data(path)->get("n");
        ASSERT_TRUE(row);
        last = static_cast<std::uint32_t>(std::stoul(row->data));
        EXPECT_GE(last, reported);
        EXPECT_LE(last, reported + 1); // killed between the commit and the write to the pipe
    }
}

} // namespace
} // namespace heronshift::store
