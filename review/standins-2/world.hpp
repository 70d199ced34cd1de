// Small stand-ins for the cases of review/REPORT-2.md: state service, cloud, workers, users and the start of
// controllers. They follow the protocol page and use threads and blocking sockets on loopback.
#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace world {

using Json = nlohmann::json;

inline double steady_s() {
    timespec t{};
    clock_gettime(CLOCK_MONOTONIC, &t);
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) * 1e-9;
}

inline void sleep_s(double s) {
    if (s > 0)
        usleep(static_cast<useconds_t>(s * 1e6));
}

// What was sent, answered and run, with seconds since the start. Also printed.
class Record {
public:
    explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")), start_(steady_s()) {}
    double now() const {
        return steady_s() - start_;
    }
    void line(const std::string& text) {
        const std::lock_guard lock(mutex_);
        for (auto* out : {file_, stdout})
            if (out != nullptr) {
                std::fprintf(out, "%7.2f  %s\n", now(), text.c_str());
                std::fflush(out);
            }
    }

private:
    std::mutex mutex_;
    std::FILE* file_;
    double start_;
};

// --- HTTP ---

struct Request {
    std::string method, path, query, body;
};
struct Response {
    int status = 200;
    std::string body = "{}";
    bool drop = false; // close the connection without an answer
};

// Reads one message; the first line goes to `start`. Returns false at the end of the stream, on an error or a timeout.
inline bool read_message(int fd, std::string& buffer, std::string& start, std::string& body, double deadline,
                         bool* close_after = nullptr) {
    const auto more = [&] {
        const double left = deadline - steady_s();
        pollfd p{fd, POLLIN, 0};
        if (left <= 0 || poll(&p, 1, static_cast<int>(left * 1000) + 1) <= 0)
            return false;
        char part[65536];
        const auto n = recv(fd, part, sizeof part, 0);
        if (n <= 0)
            return false;
        buffer.append(part, static_cast<std::size_t>(n));
        return true;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos)
        if (!more())
            return false;
    const auto head = buffer.substr(0, end);
    start = head.substr(0, head.find("\r\n"));
    std::string lower;
    for (const char c : head)
        lower += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    std::size_t length = 0;
    if (const auto at = lower.find("\r\ncontent-length:"); at != std::string::npos)
        length = std::strtoull(lower.c_str() + at + 17, nullptr, 10);
    if (close_after != nullptr)
        *close_after = lower.find("\r\nconnection: close") != std::string::npos;
    while (buffer.size() < end + 4 + length)
        if (!more())
            return false;
    body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return true;
}

inline bool send_all(int fd, const std::string& data) {
    std::size_t sent = 0;
    while (sent < data.size()) {
        const auto n = send(fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

inline sockaddr_in loopback(int port) {
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    a.sin_port = htons(static_cast<std::uint16_t>(port));
    return a;
}

inline int bound_socket(int& port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto a = loopback(0);
    socklen_t size = sizeof a;
    if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&a), size) != 0 ||
        getsockname(fd, reinterpret_cast<sockaddr*>(&a), &size) != 0)
        return -1;
    port = ntohs(a.sin_port);
    return fd;
}

// A port that is free now. The socket is closed again, for a process that is started later.
inline int free_port() {
    int port = 0;
    close(bound_socket(port));
    return port;
}

class Server {
public:
    using Handler = std::function<Response(const Request&)>;
    explicit Server(Handler handler) : handler_(std::move(handler)) {
        fd_ = bound_socket(port_);
        listen(fd_, 512);
        std::thread([this] { accept_all(); }).detach();
    }
    int port() const {
        return port_;
    }
    std::string address() const {
        return "127.0.0.1:" + std::to_string(port_);
    }
    // While set, connections are accepted and nothing is read or answered, as by a machine without power.
    std::atomic<bool> silent{false};

private:
    void accept_all() {
        while (true) {
            const int c = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (c < 0)
                continue;
            const int on = 1;
            setsockopt(c, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, c] { serve(c); }).detach();
        }
    }
    void serve(int c) {
        std::string buffer, start, body;
        bool last = false;
        while (!last && read_message(c, buffer, start, body, steady_s() + 600, &last)) {
            while (silent)
                sleep_s(0.05);
            Request r;
            const auto a = start.find(' '), b = start.rfind(' ');
            r.method = start.substr(0, a);
            r.path = start.substr(a + 1, b - a - 1);
            if (const auto q = r.path.find('?'); q != std::string::npos) {
                r.query = r.path.substr(q + 1);
                r.path.erase(q);
            }
            r.body = body;
            const auto answer = handler_(r);
            while (silent)
                sleep_s(0.05);
            if (answer.drop || !send_all(c, "HTTP/1.1 " + std::to_string(answer.status) +
                                                " X\r\nContent-Type: application/json\r\nContent-Length: " +
                                                std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body))
                break;
        }
        close(c);
    }
    Handler handler_;
    int fd_ = -1, port_ = 0;
};

// Sends one request on a connection of its own. Status 0: no answer.
inline Response call(int port, const std::string& method, const std::string& path, const std::string& body,
                     double timeout_s) {
    const double deadline = steady_s() + timeout_s;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    Response out{0, "", false};
    auto a = loopback(port);
    if (connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 && errno == EINPROGRESS) {
        pollfd p{fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (poll(&p, 1, static_cast<int>(timeout_s * 1000)) <= 0 ||
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            close(fd);
            return out;
        }
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    std::string head = method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n";
    if (method != "GET")
        head += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    std::string buffer, start, answer;
    if (send_all(fd, head + "\r\n" + body) && read_message(fd, buffer, start, answer, deadline)) {
        out.status = std::atoi(start.c_str() + start.find(' '));
        out.body = answer;
    }
    close(fd);
    return out;
}

inline std::string parameter(const std::string& query, const std::string& name) {
    const auto key = "&" + name + "=";
    const auto all = "&" + query;
    const auto at = all.find(key);
    if (at == std::string::npos)
        return "";
    const auto from = at + key.size();
    return all.substr(from, all.find('&', from) - from);
}

inline Json parse(const std::string& text) {
    auto json = Json::parse(text, nullptr, false);
    return json.is_discarded() ? Json() : json;
}

// --- the state service ---

class State {
public:
    State() : server_([this](const Request& r) { return serve(r); }) {
        std::thread([this] {
            while (true) {
                sleep_s(0.02);
                const std::lock_guard lock(mutex_);
                end_leases();
            }
        }).detach();
    }
    std::string address() const {
        return server_.address();
    }
    // While the service is out, each request is answered 503, open watches wait and leases stand still; afterwards all
    // leases have their full time again.
    void set_outage(bool out) {
        const std::lock_guard lock(mutex_);
        out_ = out;
        if (!out)
            for (auto& [id, lease] : leases_)
                lease.until = steady_s() + lease.ttl_s;
    }
    // Called with each transaction that was answered 503.
    std::function<void(const std::string& body)> on_refused;
    // A late copy of a transaction arrives; nobody waits for the answer. Returns its status.
    int late_copy(const std::string& body) {
        {
            const std::lock_guard lock(mutex_);
            if (out_)
                return 503;
        }
        return transact(parse(body)).status;
    }

private:
    struct Row {
        Json data;
        std::uint64_t stamp = 0, lease = 0;
    };
    struct Change {
        std::uint64_t stamp;
        std::string key;
        Json event;
    };
    struct Lease {
        double ttl_s, until;
    };
    void end_leases() {
        if (out_)
            return;
        for (auto it = leases_.begin(); it != leases_.end();) {
            if (steady_s() <= it->second.until + 0.02) {
                ++it;
                continue;
            }
            drop(it->first);
            it = leases_.erase(it);
        }
    }
    void drop(std::uint64_t lease) {
        std::vector<std::string> keys;
        for (const auto& [key, row] : rows_)
            if (row.lease == lease)
                keys.push_back(key);
        if (keys.empty())
            return;
        ++epoch_;
        for (const auto& key : keys) {
            rows_.erase(key);
            note({{"delete", key}, {"stamp", epoch_}}, key);
        }
        changed_.notify_all();
    }
    void note(Json event, const std::string& key) {
        changes_.push_back({epoch_, key, std::move(event)});
        if (changes_.size() > 10000) {
            forgotten_ = changes_.front().stamp;
            changes_.pop_front();
        }
    }
    Json item(const std::string& key, const Row& row) {
        Json j{{"k", key}, {"data", row.data}, {"stamp", row.stamp}};
        if (row.lease != 0)
            j["lease"] = row.lease;
        return j;
    }
    Response serve(const Request& r) {
        if (is_out()) {
            if (r.path == "/txn" && on_refused)
                on_refused(r.body);
            return {503, R"({"error":"trouble"})"};
        }
        if (r.method == "GET" && r.path.starts_with("/store/")) {
            const std::lock_guard lock(mutex_);
            const auto it = rows_.find(r.path.substr(7));
            if (it == rows_.end())
                return {404, Json{{"epoch", epoch_}}.dump()};
            return {200, item(it->first, it->second).dump()};
        }
        if (r.method == "GET" && r.path == "/store")
            return list(r);
        if (r.method == "POST" && r.path == "/txn")
            return transact(parse(r.body));
        if (r.path.starts_with("/holds"))
            return hold(r);
        if (r.method == "GET" && r.path == "/follow")
            return follow(r);
        return {400, "{}"};
    }
    bool is_out() {
        const std::lock_guard lock(mutex_);
        return out_;
    }
    Response list(const Request& r) {
        const std::lock_guard lock(mutex_);
        const auto under = parameter(r.query, "under"), since = parameter(r.query, "since");
        const auto most = std::min<std::size_t>(1000, std::strtoull(parameter(r.query, "most").c_str(), nullptr, 10));
        Json entries = Json::array();
        std::size_t bytes = 0;
        bool more = false;
        for (auto it = rows_.lower_bound(under); it != rows_.end() && it->first.starts_with(under); ++it) {
            if (!since.empty() && it->first <= since)
                continue;
            auto entry = item(it->first, it->second);
            bytes += entry.dump().size();
            if (entries.size() >= most || bytes > 500 * 1024) {
                more = true;
                break;
            }
            entries.push_back(std::move(entry));
        }
        return {200, Json{{"entries", entries}, {"more", more}, {"epoch", epoch_}}.dump()};
    }
    Response transact(const Json& txn) {
        const std::lock_guard lock(mutex_);
        end_leases();
        for (const auto& w : txn.value("writes", Json::array()))
            if (w.contains("lease") && !leases_.contains(w["lease"].get<std::uint64_t>()))
                return {400, R"({"error":"no such lease"})"};
        Json failed = Json::array();
        for (const auto& g : txn.value("guards", Json::array())) {
            const auto it = rows_.find(g["k"].get<std::string>());
            if ((it == rows_.end() ? 0 : it->second.stamp) != g["stamp"].get<std::uint64_t>())
                failed.push_back(g["k"]);
        }
        if (!failed.empty())
            return {409, Json{{"failed", failed}, {"epoch", epoch_}}.dump()};
        const auto writes = txn.value("writes", Json::array());
        if (!writes.empty())
            ++epoch_;
        for (const auto& w : writes) {
            if (w.contains("delete")) {
                const auto key = w["delete"].get<std::string>();
                if (rows_.erase(key) > 0)
                    note({{"delete", key}, {"stamp", epoch_}}, key);
                continue;
            }
            const auto key = w["set"].get<std::string>();
            rows_[key] = {w["data"], epoch_, w.value("lease", std::uint64_t{0})};
            note({{"set", key}, {"data", w["data"]}, {"stamp", epoch_}}, key);
        }
        changed_.notify_all();
        return {200, Json{{"epoch", epoch_}}.dump()};
    }
    Response hold(const Request& r) {
        const std::lock_guard lock(mutex_);
        end_leases();
        if (r.path == "/holds") {
            const double ttl_s = parse(r.body).value("ttlMs", 0) / 1000.0;
            leases_[++last_lease_] = {ttl_s, steady_s() + ttl_s};
            return {200, Json{{"lease", last_lease_}}.dump()};
        }
        const auto id = std::strtoull(r.path.c_str() + 7, nullptr, 10);
        const auto it = leases_.find(id);
        if (it == leases_.end())
            return {404, "{}"};
        if (r.method == "DELETE") {
            drop(id);
            leases_.erase(id);
        } else {
            it->second.until = steady_s() + it->second.ttl_s;
        }
        return {200, "{}"};
    }
    Response follow(const Request& r) {
        std::unique_lock lock(mutex_);
        const auto under = parameter(r.query, "under");
        const auto since = std::strtoull(parameter(r.query, "since").c_str(), nullptr, 10);
        const double until = steady_s() + std::atof(parameter(r.query, "blockMs").c_str()) / 1000;
        while (true) {
            if (since < forgotten_)
                return {410, "{}"};
            Json events = Json::array();
            for (const auto& c : changes_)
                if (c.stamp > since && c.key.starts_with(under))
                    events.push_back(c.event);
            const double left = until - steady_s();
            if (!out_ && (!events.empty() || left <= 0))
                return {200, Json{{"epoch", epoch_}, {"events", events}}.dump()};
            changed_.wait_for(lock, std::chrono::milliseconds(out_ ? 50 : static_cast<int>(left * 1000) + 1));
        }
    }
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Row> rows_;
    std::deque<Change> changes_;
    std::map<std::uint64_t, Lease> leases_;
    std::uint64_t epoch_ = 0, forgotten_ = 0, last_lease_ = 0;
    bool out_ = false;
    Server server_;
};

// --- workers and the cloud ---

struct Times {
    double report_s = 1, lease_s = 6, gang_wait_s = 20, gang_peer_s = 4, cancel_s = 15;
};

struct MachineType {
    std::string name;
    double cpus, gpus, memory_gb, rate, low_rate, boot_s;
    std::vector<std::string> zones;
    Json json() const {
        return {{"name", name},       {"cpus", cpus}, {"accelerators", gpus}, {"memGb", memory_gb}, {"cacheGb", 50.0},
                {"fetchGbPerS", 1.0}, {"rate", rate}, {"lowPrice", low_rate}, {"bootS", boot_s},    {"yards", zones}};
    }
};

struct Job {
    Json spec;
    std::set<int> done;
};

class Platform;

class Worker {
public:
    Worker(Platform& platform, std::string id, const MachineType& type, std::string zone, bool spot, double up_at);
    // The machine stops with all that is on it.
    void stop();
    const std::string id, zone;
    const bool spot;
    const MachineType& type;
    const double asked_at, up_at;
    std::atomic<double> stopped_at{-1}; // the time at which it stopped by itself; negative: it has not
    std::atomic<bool> gone{false};      // deleted or taken back
    bool alive() const {
        return !gone && stopped_at < 0;
    }
    bool up() const {
        return alive() && steady_s() >= up_at;
    }
    std::string address() const {
        return server_.address();
    }
    struct Task {
        std::string name, status = "fetching", cause;
        std::uint64_t attempt = 0;
        double until = 0;
        bool stored = false;
    };
    // The caller holds the platform's lock.
    double free_cpus() const;
    std::vector<Task> tasks;

private:
    friend class Platform;
    Json report();
    void execute(const Json& orders);
    void launch(const std::string& name, std::uint64_t attempt);
    void end(Task& task, const std::string& cause);
    void advance();
    void run();
    Response serve(const Request& r);
    Platform& platform_;
    std::uint64_t tenure_ = 1, counter_ = 0, fence_ = 0;
    double lease_from_;
    bool changed_ = false;
    std::set<std::string> images_;
    Server server_;
};

class Platform {
public:
    Platform(Record& record, Times times, std::vector<MachineType> types)
        : record(record), times(times), types(std::move(types)),
          server_([this](const Request& r) { return serve(r); }) {
        std::thread([this] {
            while (true) {
                sleep_s(0.02);
                const std::lock_guard lock(mutex);
                advance_gangs();
            }
        }).detach();
    }
    std::string address() const {
        return server_.address();
    }
    // Adds a machine; one that is up at the start if `up`.
    Worker& add(const std::string& type_name, const std::string& zone, bool spot, bool up) {
        const std::lock_guard lock(mutex);
        return add_locked(type_name, zone, spot, up);
    }
    std::vector<std::pair<std::string, int>> nodes; // names and user ports of the controllers
    // How many more machines of this type, zone and kind can be had.
    std::function<int(const std::string& type, const std::string& zone, bool spot)> capacity =
        [](const std::string&, const std::string&, bool) { return 50; };
    Record& record;
    const Times times;
    const std::vector<MachineType> types;
    std::recursive_mutex mutex;
    std::map<std::string, std::unique_ptr<Worker>> machines;
    std::map<std::string, Job> jobs; // uploaded by the users
    // Starts of tasks, by task, with the time and the machine.
    struct Start {
        std::string task, machine;
        double at;
    };
    std::vector<Start> starts;
    std::vector<std::string> broken; // rules that the workers saw broken
    bool quiet = false;              // do not record each task

    bool runs(const std::string& job) {
        const std::lock_guard lock(mutex);
        for (const auto& [id, m] : machines)
            if (m->alive())
                for (const auto& t : m->tasks)
                    if (t.name.starts_with(job + "/") && t.status == "running")
                        return true;
        return false;
    }
    void task_started(const std::string& task, const Worker& on) {
        for (const auto& [id, m] : machines)
            if (m.get() != &on && m->alive())
                for (const auto& t : m->tasks)
                    if (t.name == task && t.status != "ended" && t.status != "fetching")
                        broken.push_back("ran_twice: " + task + " on " + id + " and " + on.id);
        starts.push_back({task, on.id, record.now()});
        if (!quiet)
            record.line("worker " + on.id + " (" + on.zone + (on.spot ? ", spot" : "") + "): " + task + " starts");
    }

private:
    friend class Worker;
    Worker& add_locked(const std::string& type_name, const std::string& zone, bool spot, bool up) {
        for (const auto& type : types)
            if (type.name == type_name) {
                char id[32];
                std::snprintf(id, sizeof id, "n-%06d", ++last_id_);
                auto& m = machines[id];
                m = std::make_unique<Worker>(*this, id, type, zone, spot, steady_s() + (up ? 0 : type.boot_s));
                return *m;
            }
        std::abort();
    }
    // A gang's tasks start together once all have their image, and complete together.
    void advance_gangs() {
        std::map<std::pair<std::string, std::uint64_t>, std::vector<std::pair<Worker*, std::size_t>>> gangs;
        for (auto& [id, m] : machines)
            if (m->up())
                for (std::size_t i = 0; i < m->tasks.size(); ++i) {
                    const auto& t = m->tasks[i];
                    const auto job = t.name.substr(0, t.name.find('/'));
                    if ((t.status == "gathering" || t.status == "running") && jobs[job].spec["shape"] == "gang")
                        gangs[{job, t.attempt}].emplace_back(m.get(), i);
                }
        for (auto& [key, members] : gangs) {
            const auto& spec = jobs[key.first].spec;
            const bool whole = members.size() == spec["shards"].get<std::size_t>();
            bool running = false, over = false;
            for (const auto& [m, i] : members) {
                running = running || m->tasks[i].status == "running";
                over = over || (m->tasks[i].status == "running" && steady_s() >= m->tasks[i].until);
            }
            for (const auto& [m, i] : members) {
                auto& t = m->tasks[i];
                if (!running && whole) {
                    t.status = "running";
                    t.until = steady_s() + spec["expectedS"].get<double>();
                    m->changed_ = true;
                    if (i == members.front().second && m == members.front().first)
                        record.line("gang " + key.first + " runs, all " + std::to_string(members.size()) + " tasks");
                } else if (!running && steady_s() > t.until) {
                    m->end(t, "incomplete");
                } else if (running && whole && over) {
                    m->end(t, "done");
                } else if (running && !whole && steady_s() < t.until + 1e6) {
                    auto& since = missing_[key];
                    if (since == 0)
                        since = steady_s();
                    if (steady_s() > since + times.gang_peer_s)
                        m->end(t, "mates_gone");
                }
            }
        }
    }
    Response serve(const Request& r) {
        const std::lock_guard lock(mutex);
        if (r.method == "GET" && r.path == "/machine_types") {
            Json list = Json::array();
            for (const auto& t : types)
                list.push_back(t.json());
            return {200, Json{{"flavors", list}}.dump()};
        }
        const auto body = parse(r.body);
        if (r.method == "POST" && r.path == "/rentals")
            return rent(body);
        if (r.method == "POST" && r.path == "/rentals/release") {
            for (const auto& id : body.value("hosts", Json::array()))
                if (const auto it = machines.find(id.get<std::string>()); it != machines.end() && !it->second->gone) {
                    it->second->gone = true;
                    it->second->stop();
                    record.line("cloud: " + it->first + " is returned");
                }
            return {200, "{}"};
        }
        if (r.method == "GET" && r.path == "/rentals")
            return list(parameter(r.query, "since"));
        return {400, "{}"};
    }
    Response rent(const Json& ask) {
        const auto claim = ask["claim"].get<std::string>();
        if (const auto it = claims_.find(claim); it != claims_.end())
            return {200, Json{{"hosts", it->second}}.dump()};
        const auto type = ask["flavor"].get<std::string>(), zone = ask["yard"].get<std::string>();
        const bool spot = ask["standby"].get<bool>();
        const int n = std::min(ask["number"].get<int>(), capacity(type, zone, spot));
        const auto what = type + " in " + zone + (spot ? " (spot)" : "");
        if (n <= 0) {
            if (refused_.insert(what).second)
                record.line("cloud: no capacity for " + what + " (told once)");
            return {503, R"({"error":"no capacity"})"};
        }
        Json hosts = Json::array();
        for (int i = 0; i < n; ++i)
            hosts.push_back(add_locked(type, zone, spot, false).id);
        record.line("cloud: rents " + hosts.dump() + " " + what);
        claims_[claim] = hosts;
        return {200, Json{{"hosts", hosts}}.dump()};
    }
    Response list(const std::string& since) {
        Json hosts = Json::array();
        bool more = false;
        for (auto it = machines.upper_bound(since); it != machines.end(); ++it) {
            const auto& m = *it->second;
            if (m.gone)
                continue;
            if (hosts.size() == 500) {
                more = true;
                break;
            }
            const bool failed = m.stopped_at >= 0 && steady_s() > m.stopped_at + 30;
            hosts.push_back({{"id", m.id},
                             {"addr", m.address()},
                             {"flavor", m.type.name},
                             {"yard", m.zone},
                             {"standby", m.spot},
                             {"status", failed                  ? "failed"
                                        : steady_s() >= m.up_at ? "running"
                                                                : "booting"},
                             {"ageS", steady_s() - m.asked_at}});
        }
        return {200, Json{{"hosts", hosts}, {"more", more}}.dump()};
    }
    int last_id_ = 0;
    std::map<std::string, Json> claims_;
    std::set<std::string> refused_;
    std::map<std::pair<std::string, std::uint64_t>, double> missing_;
    Server server_;
};

inline Worker::Worker(Platform& platform, std::string id, const MachineType& type, std::string zone, bool spot,
                      double up_at)
    : id(std::move(id)), zone(std::move(zone)), spot(spot), type(type), asked_at(steady_s()), up_at(up_at),
      platform_(platform), lease_from_(up_at), server_([this](const Request& r) { return serve(r); }) {
    std::thread([this] { run(); }).detach();
}

inline void Worker::stop() {
    const std::lock_guard lock(platform_.mutex);
    if (!gone && stopped_at < 0)
        stopped_at = steady_s();
    server_.silent = true;
    tasks.clear();
}

inline Json Worker::report() {
    Json shards = Json::array();
    for (const auto& t : tasks) {
        Json j{{"shard", t.name}, {"try", t.attempt}, {"status", t.status}};
        if (t.status == "ended")
            j["exitCause"] = t.cause;
        if (t.stored)
            j["stored"] = true;
        shards.push_back(std::move(j));
    }
    return {{"host", id},
            {"addr", address()},
            {"flavor", type.name},
            {"yard", zone},
            {"standby", spot},
            {"tenure", tenure_},
            {"counter", ++counter_},
            {"fence", fence_},
            {"evictionInS", nullptr},
            {"shards", shards}};
}

inline double Worker::free_cpus() const {
    double free = type.cpus;
    for (const auto& t : tasks)
        if (t.status != "ended")
            free -= platform_.jobs[t.name.substr(0, t.name.find('/'))].spec["cpus"].get<double>();
    return free;
}

inline void Worker::launch(const std::string& name, std::uint64_t attempt) {
    const auto job = name.substr(0, name.find('/'));
    bool busy = false;
    for (const auto& t : tasks) {
        if (t.name == name && t.attempt == attempt)
            return;
        busy = busy || (t.name == name && t.status != "ended");
    }
    const auto known = platform_.jobs.find(job);
    Task task;
    task.name = name;
    task.attempt = attempt;
    tasks.push_back(task);
    auto& t = tasks.back();
    changed_ = true;
    if (known == platform_.jobs.end())
        return end(t, "unknown");
    const auto& spec = known->second.spec;
    if (busy)
        return end(t, "in_use");
    double cpus = 0, gpus = 0, memory = 0;
    for (const auto& x : tasks)
        if (x.status != "ended") {
            const auto& s = platform_.jobs[x.name.substr(0, x.name.find('/'))].spec;
            cpus += s["cpus"].get<double>();
            gpus += s.value("accelerators", 0.0);
            memory += s["memGb"].get<double>();
        }
    if (cpus > type.cpus + 1e-6 || gpus > type.gpus + 1e-6 || memory > type.memory_gb + 1e-6)
        return end(t, "no_room");
    t.until = steady_s() + (images_.contains(spec["bundle"]) ? 0 : spec["imageGb"].get<double>());
}

inline void Worker::end(Task& task, const std::string& cause) {
    task.status = "ended";
    task.cause = cause;
    changed_ = true;
    if (cause == "done") {
        const auto slash = task.name.find('/');
        platform_.jobs[task.name.substr(0, slash)].done.insert(std::atoi(task.name.c_str() + slash + 1));
    }
    if (!platform_.quiet)
        platform_.record.line("worker " + id + ": " + task.name + " ends, " + cause);
}

inline void Worker::execute(const Json& orders) {
    for (const auto& o : orders) {
        const auto verb = o["verb"].get<std::string>(), name = o["shard"].get<std::string>();
        const auto attempt = o["try"].get<std::uint64_t>();
        if (verb == "launch") {
            launch(name, attempt);
            continue;
        }
        for (std::size_t i = 0; i < tasks.size(); ++i) {
            auto& t = tasks[i];
            if (t.name != name || t.attempt != attempt)
                continue;
            if (verb == "reap" && t.status == "ended") {
                tasks.erase(tasks.begin() + static_cast<std::ptrdiff_t>(i));
                break;
            }
            if (verb == "stop" && t.status != "ended")
                end(t, "stopped");
        }
    }
}

inline void Worker::advance() {
    const double now = steady_s();
    if (now > lease_from_ + platform_.times.lease_s) {
        if (!tasks.empty())
            platform_.record.line("worker " + id + ": its lease has ended, all its " + std::to_string(tasks.size()) +
                                  " tasks are killed");
        tasks.clear();
        ++tenure_;
        lease_from_ = now;
        changed_ = true;
    }
    for (auto& t : tasks) {
        const auto& spec = platform_.jobs[t.name.substr(0, t.name.find('/'))].spec;
        if (t.status == "fetching" && now >= t.until) {
            images_.insert(spec["bundle"]);
            const bool gang = spec["shape"] == "gang";
            platform_.task_started(t.name, *this);
            t.status = gang ? "gathering" : "running";
            t.until = now + (gang ? platform_.times.gang_wait_s : spec["expectedS"].get<double>());
            changed_ = true;
        } else if (t.status == "running" && spec["shape"] == "array" && now >= t.until) {
            end(t, "done");
        }
    }
}

inline void Worker::run() {
    while (steady_s() < up_at)
        sleep_s(0.01);
    std::size_t node = 0;
    double next = steady_s(), last = 0;
    bool told = false;
    while (alive()) {
        sleep_s(0.02);
        Json body;
        std::uint64_t tenure = 0;
        double sent = 0;
        {
            const std::lock_guard lock(platform_.mutex);
            if (!alive())
                return;
            advance();
            const double now = steady_s();
            if (platform_.nodes.empty() || !(now >= next || (changed_ && now >= last + 0.5)))
                continue;
            node %= platform_.nodes.size();
            changed_ = false;
            body = report();
            tenure = tenure_;
            sent = last = now;
            next = now + platform_.times.report_s;
        }
        const auto text = body.dump();
        // A request body may be at most 64 KiB, so such a report cannot be sent.
        if (text.size() > 64 * 1024) {
            if (!told)
                platform_.record.line("worker " + id + ": cannot report, its " + std::to_string(body["shards"].size()) +
                                      " tasks take " + std::to_string(text.size()) + " bytes");
            told = true;
            continue;
        }
        told = false;
        const auto answer = call(platform_.nodes[node].second, "POST", "/agent/beat", text, 4);
        const std::lock_guard lock(platform_.mutex);
        if (!alive())
            return;
        const auto j = parse(answer.body);
        if (answer.status == 200) {
            const auto fence = j.value("fence", std::uint64_t{0});
            if (fence < fence_ || fence == 0 || tenure != tenure_)
                continue;
            changed_ = changed_ || fence > fence_;
            fence_ = fence;
            lease_from_ = std::max(lease_from_, sent);
            execute(j.value("orders", Json::array()));
            continue;
        }
        std::size_t to = node;
        if (answer.status == 421 && j.is_object())
            for (std::size_t i = 0; i < platform_.nodes.size(); ++i)
                if (platform_.nodes[i].first == j.value("reportsTo", ""))
                    to = i;
        next = steady_s() + (to == node ? 1 : 0.1);
        node = to == node ? node + 1 : to;
    }
}

inline Response Worker::serve(const Request& r) {
    const std::lock_guard lock(platform_.mutex);
    if (!up())
        return {0, "", true};
    advance();
    if (r.method == "GET" && r.path == "/status")
        return {200, report().dump()};
    const auto j = parse(r.body);
    if (!j.contains("fence") || !j.contains("tenure"))
        return {400, "{}"};
    const auto fence = j["fence"].get<std::uint64_t>();
    if (fence < fence_ || j["tenure"].get<std::uint64_t>() != tenure_)
        return {409, report().dump()};
    changed_ = changed_ || fence > fence_;
    fence_ = fence;
    execute(j.value("orders", Json::array()));
    return {200, report().dump()};
}

// --- controllers ---

struct Team {
    std::string name;
    double cpus, cpus_max, gpus, gpus_max;
};

class Controllers {
public:
    Controllers(Record& record, const std::string& program, int count, const std::vector<std::string>& zones,
                const Times& t, const std::vector<Team>& teams, const std::string& state, const std::string& cloud,
                int initial_size)
        : record_(record), program_(program) {
        const char* tmp = std::getenv("TMPDIR");
        folder_ = std::string(tmp != nullptr ? tmp : "/tmp") + "/heronshift-review-XXXXXX";
        if (mkdtemp(folder_.data()) == nullptr)
            std::exit(2);
        for (int i = 0; i < count; ++i)
            all.push_back({"berth-" + std::to_string(i), free_port(), free_port(), -1});
        for (int i = 0; i < count; ++i) {
            std::ofstream f(folder_ + "/" + all[static_cast<std::size_t>(i)].name + ".toml");
            const auto& me = all[static_cast<std::size_t>(i)];
            f << "host_name = \"" << me.name << "\"\nzone = \"" << zones[static_cast<std::size_t>(i) % zones.size()]
              << "\"\nbind = \"127.0.0.1:" << me.port << "\"\nback = \"127.0.0.1:" << me.peer_port << "\"\n";
            for (int k = 0; k < count; ++k)
                if (k != i)
                    f << "[[others]]\nhost_name = \"" << all[static_cast<std::size_t>(k)].name << "\"\nzone = \""
                      << zones[static_cast<std::size_t>(k) % zones.size()]
                      << "\"\npeer_addr = \"127.0.0.1:" << all[static_cast<std::size_t>(k)].peer_port << "\"\n";
            f << "[external]\ncloud = \"" << cloud << "\"\nstate = \"" << state
              << "\"\n[facts]\ninitial_size = " << initial_size << "\nzones = " << Json(zones).dump()
              << "\ntime_bound_ms = 100.0\n";
            for (const auto& team : teams)
                f << "[[facts.teams]]\nname = \"" << team.name << "\"\ncpus = " << team.cpus
                  << "\ncpus_max = " << team.cpus_max << "\ngpus = " << team.gpus << "\ngpus_max = " << team.gpus_max
                  << "\n";
            f << "[facts.workers]\nreport_s = " << t.report_s << "\nlease_s = " << t.lease_s
              << "\ngang_wait_s = " << t.gang_wait_s << "\ngang_peer_s = " << t.gang_peer_s
              << "\ncancel_s = " << t.cancel_s
              << "\n[facts.state]\nrps = 200.0\nwrite_rps = 80.0\nvalue_kb = 16.0\ntxn_ops = 24\n"
                 "[facts.cloud]\nrps = 8.0\nlist_lag_s = 3.0\n"
                 "[facts.resources]\ncores = 1.0\nmem_mb = 104.0\nfd_limit = 1000\n";
        }
    }
    ~Controllers() {
        for (auto& c : all)
            kill_one(c);
        if (std::getenv("KEEP") == nullptr) {
            for (const auto& c : all)
                for (const char* end : {".toml", ".log"})
                    unlink((folder_ + "/" + c.name + end).c_str());
            rmdir(folder_.c_str());
        } else {
            record_.line("logs are kept in " + folder_);
        }
    }
    struct One {
        std::string name;
        int port, peer_port;
        pid_t pid;
    };
    std::vector<One> all;
    void start_all() {
        for (auto& c : all)
            start(c);
    }
    void start(One& c) {
        const auto config = folder_ + "/" + c.name + ".toml", log = folder_ + "/" + c.name + ".log";
        c.pid = fork();
        if (c.pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // no controller outlives the case
            const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(fd, 2);
            dup2(fd, 1);
            execl(program_.c_str(), program_.c_str(), "--config", config.c_str(), static_cast<char*>(nullptr));
            _exit(127);
        }
        record_.line("controller " + c.name + " started");
    }
    void kill_one(One& c) {
        if (c.pid <= 0)
            return;
        kill(c.pid, SIGCONT);
        kill(c.pid, SIGKILL);
        waitpid(c.pid, nullptr, 0);
        c.pid = -1;
    }
    // Whether the process has ended by itself.
    bool ended(One& c) {
        int status = 0;
        if (c.pid <= 0 || waitpid(c.pid, &status, WNOHANG) != c.pid)
            return false;
        record_.line("controller " + c.name + " ended by itself, status " + std::to_string(status));
        c.pid = -1;
        return true;
    }
    // The controller whose metrics say that it leads; null: none.
    One* leader() {
        for (auto& c : all) {
            const auto m = call(c.port, "GET", "/metrics", "", 1);
            if (m.status == 200 && m.body.find("heronshift_office_held 1") != std::string::npos)
                return &c;
        }
        return nullptr;
    }
    bool wait_until_up(double timeout_s) {
        const double until = steady_s() + timeout_s;
        while (steady_s() < until) {
            bool up = true;
            for (const auto& c : all)
                up = up && call(c.port, "GET", "/up", "", 1).status == 200;
            if (up)
                return true;
            sleep_s(0.2);
        }
        return false;
    }

private:
    Record& record_;
    std::string program_, folder_;
};

// --- users ---

inline Json job(const std::string& id, const std::string& shape, int tasks, double cpus, double gpus, double run_s) {
    return {{"id", id},         {"jobclass", shape},  {"owner", "red"},        {"shape", shape},    {"rank", "normal"},
            {"shards", tasks},  {"cpus", cpus},       {"accelerators", gpus},  {"memGb", 4.0},      {"bundle", "img-1"},
            {"imageGb", 0.5},   {"flavors", nullptr}, {"yard", nullptr},       {"together", false}, {"scatter", false},
            {"standby", false}, {"expectedS", run_s}, {"snapshotEveryS", 0.0}, {"snapshotS", 0.0},  {"dueS", nullptr}};
}

// Submits a job as the protocol says, at all controllers in turn. Returns the last status.
inline int submit(Platform& platform, const Json& spec, double for_s = 20) {
    {
        const std::lock_guard lock(platform.mutex);
        platform.jobs[spec["id"]].spec = spec;
    }
    const double until = steady_s() + for_s;
    Response answer;
    std::size_t node = 0;
    while (true) {
        answer = call(platform.nodes[node++ % platform.nodes.size()].second, "POST", "/v2/runs", spec.dump(), 5);
        platform.record.line("user: submits " + spec["id"].get<std::string>() + " -> " + std::to_string(answer.status) +
                             " " + answer.body);
        const bool again = answer.status != 200 && answer.status != 201 && answer.status != 400 && answer.status != 422;
        if (!again || steady_s() > until)
            return answer.status;
        sleep_s(1);
    }
}

// The status that the controllers tell for a job, "" if there is no answer with 200.
inline std::string poll(Platform& platform, const std::string& id, bool quiet = false) {
    static std::atomic<std::size_t> node{0};
    const auto& to = platform.nodes[node++ % platform.nodes.size()];
    const auto answer = call(to.second, "GET", "/v2/runs/" + id, "", 2);
    if (!quiet)
        platform.record.line("user: asks " + to.first + " for " + id + " -> " + std::to_string(answer.status) + " " +
                             answer.body);
    return answer.status == 200 ? parse(answer.body).value("status", "") : "";
}

} // namespace world
