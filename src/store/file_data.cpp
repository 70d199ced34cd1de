#include "store/file_data.hpp"

#include <array>
#include <chrono>
#include <fmt/format.h>
#include <fstream>
#include <sqlite3.h>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

namespace heronshift::store {
namespace {

constexpr int sqlite_application_id = 0x48535354; // "HSST", in the header of the SQLite file
constexpr std::size_t changes_per_trim = 1000;

// Migrations: each one upgrades the file from one schema to the next. A migration is never changed after its release.
constexpr std::array<const char*, file_schema> migrations = {
    "CREATE TABLE meta(k TEXT PRIMARY KEY, v) WITHOUT ROWID;"
    "INSERT INTO meta VALUES('epoch', 0), ('boot', '');"
    "CREATE TABLE kv(k TEXT PRIMARY KEY, data TEXT NOT NULL, stamp INTEGER NOT NULL, lease INTEGER NOT NULL)"
    " WITHOUT ROWID;"
    "CREATE TABLE holds(id INTEGER PRIMARY KEY AUTOINCREMENT, ttl INTEGER NOT NULL, ends INTEGER NOT NULL);"
    "CREATE TABLE changes(n INTEGER PRIMARY KEY AUTOINCREMENT, stamp INTEGER NOT NULL, k TEXT NOT NULL, data TEXT);",
    // The index kv_lease finds the keys of a store lease, which took a scan of all keys without it.
    "CREATE INDEX kv_lease ON kv(lease) WHERE lease <> 0;"
    "CREATE INDEX changes_stamp ON changes(stamp);"
    "INSERT INTO meta VALUES('forgotten', 0);",
};

std::string boot_id() {
    std::string id;
    std::getline(std::ifstream("/proc/sys/kernel/random/boot_id"), id);
    return id;
}

class FileData final : public Data {
public:
    FileData(const std::string& path, const FileOptions& options) : path_(path) {
        try {
            open(options);
        } catch (...) {
            close();
            throw;
        }
    }
    ~FileData() override {
        close();
    }
    FileData(const FileData&) = delete;
    FileData& operator=(const FileData&) = delete;

    void begin() override {
        // SQLite goes on writing to a file that was removed or replaced, and nobody could read what it writes.
        struct stat s {};
        if (::stat(path_.c_str(), &s) != 0 || s.st_ino != inode_ || s.st_dev != device_)
            throw StoreError(fmt::format("{}: the file was removed or replaced", path_));
        run("BEGIN IMMEDIATE");
        in_transaction_ = true;
    }
    bool commit() override {
        in_transaction_ = false;
        reset_all();
        const int e = sqlite3_exec(db_, "COMMIT", nullptr, nullptr, nullptr);
        if (e == SQLITE_OK)
            return true;
        const std::string why = sqlite3_errmsg(db_);
        sqlite3_exec(db_, "ROLLBACK", nullptr, nullptr, nullptr);
        if (e == SQLITE_IOERR)
            return false; // the outcome is unknown: the sync may have failed after the write
        throw StoreError(fmt::format("{}: {}", path_, why));
    }
    void abandon() override {
        reset_all();
        if (in_transaction_)
            sqlite3_exec(db_, "ROLLBACK", nullptr, nullptr, nullptr);
        in_transaction_ = false;
    }

    std::uint64_t revision() override {
        auto& statement = prepared("SELECT v FROM meta WHERE k='epoch'");
        statement.row();
        return statement.number(0);
    }
    std::uint64_t next_revision() override {
        prepared("UPDATE meta SET v=v+1 WHERE k='epoch'").run();
        return revision();
    }
    std::optional<Row> get(const std::string& key) override {
        auto& statement = prepared("SELECT data, stamp, lease FROM kv WHERE k=?1").bind(1, key);
        if (!statement.row())
            return {};
        return Row{statement.text(0), statement.number(1), statement.number(2)};
    }
    void each(const std::string& under, const std::string& since,
              const std::function<bool(const std::string&, const Row&)>& callback) override {
        const bool from_start = since < under;
        auto& statement = from_start
                              ? prepared("SELECT k, data, stamp, lease FROM kv WHERE k>=?1 ORDER BY k").bind(1, under)
                              : prepared("SELECT k, data, stamp, lease FROM kv WHERE k>?1 ORDER BY k").bind(1, since);
        while (statement.row()) {
            const auto key = statement.text(0);
            if (!key.starts_with(under) ||
                !callback(key, {statement.text(1), statement.number(2), statement.number(3)}))
                return;
        }
    }
    void put(const std::string& key, const Row& row) override {
        prepared("INSERT INTO kv VALUES(?1,?2,?3,?4) ON CONFLICT(k) DO UPDATE SET data=?2, stamp=?3, lease=?4")
            .bind(1, key)
            .bind(2, row.data)
            .bind(3, row.mod_revision)
            .bind(4, row.lease)
            .run();
    }
    void erase(const std::string& key) override {
        prepared("DELETE FROM kv WHERE k=?1").bind(1, key).run();
    }
    void add_change(const Change& c) override {
        auto& statement =
            prepared("INSERT INTO changes(stamp, k, data) VALUES(?1,?2,?3)").bind(1, c.mod_revision).bind(2, c.key);
        if (c.data)
            statement.bind(3, *c.data);
        else
            statement.bind_null(3);
        statement.run();
        if (++changes_added_ % changes_per_trim != 0)
            return;
        const std::string old = fmt::format("(SELECT max(n)-{} FROM changes)", kept_changes);
        prepared("UPDATE meta SET v=max(v, ifnull((SELECT max(stamp) FROM changes WHERE n<=" + old +
                 "),0)) WHERE k='forgotten'")
            .run();
        prepared("DELETE FROM changes WHERE n<=" + old).run();
    }
    std::optional<std::vector<Change>> changes(const std::string& under, std::uint64_t since) override {
        auto& old = prepared("SELECT v FROM meta WHERE k='forgotten'");
        old.row();
        if (since < old.number(0))
            return {};
        auto& statement = prepared("SELECT k, data, stamp FROM changes WHERE stamp>?1 ORDER BY n").bind(1, since);
        std::vector<Change> out;
        while (statement.row()) {
            Change c{statement.text(0), std::nullopt, statement.number(2)};
            if (!c.key.starts_with(under))
                continue;
            if (!statement.null(1))
                c.data = statement.text(1);
            out.push_back(std::move(c));
        }
        return out;
    }
    std::uint64_t add_lease(const Lease& record) override {
        prepared("INSERT INTO holds(ttl, ends) VALUES(?1,?2)")
            .bind(1, number(record.ttl_ms))
            .bind(2, number(record.ends_ms))
            .run();
        return static_cast<std::uint64_t>(sqlite3_last_insert_rowid(db_));
    }
    std::optional<Lease> get_lease(std::uint64_t id) override {
        auto& statement = prepared("SELECT ttl, ends FROM holds WHERE id=?1").bind(1, id);
        if (!statement.row())
            return {};
        return Lease{static_cast<std::int64_t>(statement.number(0)), static_cast<std::int64_t>(statement.number(1))};
    }
    void set_lease(std::uint64_t id, const Lease& record) override {
        prepared("UPDATE holds SET ttl=?2, ends=?3 WHERE id=?1")
            .bind(1, id)
            .bind(2, number(record.ttl_ms))
            .bind(3, number(record.ends_ms))
            .run();
    }
    void erase_lease(std::uint64_t id) override {
        prepared("DELETE FROM holds WHERE id=?1").bind(1, id).run();
    }
    std::vector<std::uint64_t> expired_leases(std::int64_t now_ms) override {
        auto& statement = prepared("SELECT id FROM holds WHERE ends<?1").bind(1, number(now_ms));
        std::vector<std::uint64_t> out;
        while (statement.row())
            out.push_back(statement.number(0));
        return out;
    }
    std::vector<std::string> keys_of(std::uint64_t lease) override {
        auto& statement = prepared("SELECT k FROM kv WHERE lease=?1 AND lease<>0").bind(1, lease);
        std::vector<std::string> out;
        while (statement.row())
            out.push_back(statement.text(0));
        return out;
    }
    bool changed_by_others() override {
        auto& statement = prepared("PRAGMA data_version");
        statement.row();
        const auto v = statement.number(0);
        statement.reset();
        return std::exchange(data_version_, v) != v;
    }

private:
    // A prepared statement.
    class Statement {
    public:
        Statement(sqlite3* db, const std::string& path, const std::string& sql) : db_(db), path_(path) {
            check(sqlite3_prepare_v3(db, sql.c_str(), -1, SQLITE_PREPARE_PERSISTENT, &statement_, nullptr), SQLITE_OK);
        }
        ~Statement() {
            sqlite3_finalize(statement_);
        }
        Statement(const Statement&) = delete;
        Statement& operator=(const Statement&) = delete;

        Statement& reset() {
            sqlite3_reset(statement_);
            return *this;
        }
        Statement& bind(int index, const std::string& text) {
            check(sqlite3_bind_text(statement_, index, text.data(), static_cast<int>(text.size()), SQLITE_TRANSIENT),
                  SQLITE_OK);
            return *this;
        }
        Statement& bind(int index, std::uint64_t n) {
            check(sqlite3_bind_int64(statement_, index, static_cast<sqlite3_int64>(n)), SQLITE_OK);
            return *this;
        }
        void bind_null(int index) {
            sqlite3_bind_null(statement_, index);
        }
        bool row() {
            const int e = sqlite3_step(statement_);
            if (e == SQLITE_ROW)
                return true;
            check(e, SQLITE_DONE);
            sqlite3_reset(statement_);
            return false;
        }
        void run() {
            while (row()) {
            }
        }
        std::string text(int index) {
            const auto* p = reinterpret_cast<const char*>(sqlite3_column_text(statement_, index));
            return p == nullptr ? ""
                                : std::string(p, static_cast<std::size_t>(sqlite3_column_bytes(statement_, index)));
        }
        std::uint64_t number(int index) {
            return static_cast<std::uint64_t>(sqlite3_column_int64(statement_, index));
        }
        bool null(int index) {
            return sqlite3_column_type(statement_, index) == SQLITE_NULL;
        }

    private:
        void check(int e, int expected) {
            if (e != expected)
                throw StoreError(fmt::format("{}: {}", path_, sqlite3_errmsg(db_)));
        }
        sqlite3* db_;
        const std::string& path_;
        sqlite3_stmt* statement_ = nullptr;
    };

    static std::uint64_t number(std::int64_t n) {
        return static_cast<std::uint64_t>(n);
    }
    Statement& prepared(const std::string& sql) {
        auto& statement = statements_[sql];
        if (!statement)
            statement = std::make_unique<Statement>(db_, path_, sql);
        return statement->reset();
    }
    // To be called at the end of a transaction. A statement whose rows were not all read keeps its read snapshot open,
    // and the next write transaction could not begin on an outdated snapshot.
    void reset_all() {
        for (auto& [sql, statement] : statements_)
            statement->reset();
    }
    void run(const char* sql) {
        if (sqlite3_exec(db_, sql, nullptr, nullptr, nullptr) != SQLITE_OK)
            fail();
    }
    std::uint64_t query_number(const char* sql) {
        Statement statement(db_, path_, sql);
        return statement.row() ? statement.number(0) : 0;
    }
    [[noreturn]] void fail() const {
        throw StoreError(fmt::format("{}: {}", path_, sqlite3_errmsg(db_)));
    }
    void close() {
        statements_.clear();
        sqlite3_close(db_);
        db_ = nullptr;
    }

    void open(const FileOptions& options) {
        if (sqlite3_open_v2(path_.c_str(), &db_, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX,
                            nullptr) != SQLITE_OK)
            fail();
        sqlite3_extended_result_codes(db_, 0);
        sqlite3_busy_timeout(db_, static_cast<int>(options.busy_wait_s * 1000));
        const int newest = options.schema > 0 ? options.schema : file_schema;
        // All three are read in one transaction. Between separate reads, another process could create the schema, and
        // the file would look like a database of another program.
        run("BEGIN");
        const auto owner = query_number("PRAGMA application_id");
        const auto tables = query_number("SELECT count(*) FROM sqlite_master");
        const auto schema = query_number("PRAGMA user_version");
        run("COMMIT");
        if (owner != sqlite_application_id && (owner != 0 || tables != 0))
            throw StoreError(fmt::format("{}: not a heronshift store but a database of another program", path_));
        if (schema > static_cast<std::uint64_t>(file_schema))
            throw StoreError(fmt::format("{}: written by a newer version (schema {}, this one knows {})", path_, schema,
                                         file_schema));
        if (tables != 0) {
            Statement statement(db_, path_, "PRAGMA quick_check(1)");
            if (!statement.row() || statement.text(0) != "ok")
                throw StoreError(fmt::format("{}: damaged: {}", path_, statement.text(0)));
        }
        enable_wal(options.busy_wait_s);
        run(options.fsync ? "PRAGMA synchronous=FULL" : "PRAGMA synchronous=OFF");
        run("BEGIN IMMEDIATE");
        try {
            // Reads the schema again, since another process may have migrated the file meanwhile.
            for (auto k = query_number("PRAGMA user_version"); k < static_cast<std::uint64_t>(newest); ++k)
                run(migrations[k]);
            run(fmt::format("PRAGMA application_id={}", sqlite_application_id).c_str());
            if (query_number("PRAGMA user_version") < static_cast<std::uint64_t>(newest))
                run(fmt::format("PRAGMA user_version={}", newest).c_str());
            renew_after_boot();
            run("COMMIT");
        } catch (...) {
            sqlite3_exec(db_, "ROLLBACK", nullptr, nullptr, nullptr);
            throw;
        }
        struct stat s {};
        if (::stat(path_.c_str(), &s) != 0)
            throw StoreError(fmt::format("{}: the file was removed", path_));
        inode_ = s.st_ino;
        device_ = s.st_dev;
    }

    // Switches the file to WAL mode. Retries for up to `wait_s`, because SQLite's busy time-out does not apply when
    // another process is switching the mode at the same time.
    void enable_wal(double wait_s) {
        constexpr auto pause = std::chrono::milliseconds(5);
        const auto end = std::chrono::steady_clock::now() + std::chrono::duration<double>(wait_s);
        for (;;) {
            const int e = sqlite3_exec(db_, "PRAGMA journal_mode=WAL", nullptr, nullptr, nullptr);
            if (e == SQLITE_OK)
                return;
            if (e != SQLITE_BUSY || std::chrono::steady_clock::now() >= end)
                fail();
            std::this_thread::sleep_for(pause);
        }
    }

    // Gives all leases their full time again after a boot of the machine, since the steady clock that they expire by
    // has started anew.
    void renew_after_boot() {
        const auto boot = boot_id();
        Statement statement(db_, path_, "SELECT v FROM meta WHERE k='boot'");
        if (statement.row() && statement.text(0) == boot)
            return;
        statement.reset();
        using namespace std::chrono;
        const auto now = duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
        Statement(db_, path_, "UPDATE holds SET ends=?1+ttl").bind(1, number(now)).run();
        Statement(db_, path_, "UPDATE meta SET v=?1 WHERE k='boot'").bind(1, boot).run();
    }

    std::string path_;
    sqlite3* db_ = nullptr;
    std::map<std::string, std::unique_ptr<Statement>> statements_;
    bool in_transaction_ = false;
    std::uint64_t data_version_ = 0, changes_added_ = 0;
    ino_t inode_ = 0;
    dev_t device_ = 0;
};

} // namespace

std::unique_ptr<Data> file_data(const std::string& path, const FileOptions& options) {
    return std::make_unique<FileData>(path, options);
}

void back_up(const std::string& path, const std::string& to) {
    struct stat s {};
    if (::stat(to.c_str(), &s) == 0)
        throw StoreError(fmt::format("{}: already exists", to));
    sqlite3 *from = nullptr, *into = nullptr;
    int e = sqlite3_open_v2(path.c_str(), &from, SQLITE_OPEN_READONLY, nullptr);
    std::string why = e == SQLITE_OK ? "" : fmt::format("{}: {}", path, sqlite3_errmsg(from));
    if (why.empty()) {
        sqlite3_busy_timeout(from, 2000);
        e = sqlite3_open(to.c_str(), &into);
        if (auto* b = e == SQLITE_OK ? sqlite3_backup_init(into, "main", from, "main") : nullptr; b != nullptr) {
            sqlite3_backup_step(b, -1);
            sqlite3_backup_finish(b);
        }
        if (sqlite3_errcode(into) != SQLITE_OK)
            why = fmt::format("{}: {}", to, sqlite3_errmsg(into));
    }
    sqlite3_close(from);
    sqlite3_close(into);
    if (why.empty())
        return;
    ::unlink(to.c_str());
    throw StoreError(why);
}

} // namespace heronshift::store
