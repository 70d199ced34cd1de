#include "heronshift/codec.hpp"

#include <charconv>
#include <cmath>
#include <fmt/format.h>
#include <set>

namespace heronshift::codec {
namespace {

const Json* field(const Json& j, const char* name) {
    const auto it = j.find(name);
    return it == j.end() || it->is_null() ? nullptr : &*it;
}

std::string text(const Json& j, const char* name, std::string fallback = {}) {
    const auto* f = field(j, name);
    return f != nullptr && f->is_string() ? f->get<std::string>() : fallback;
}

bool flag(const Json& j, const char* name) {
    const auto* f = field(j, name);
    return f != nullptr && f->is_boolean() && f->get<bool>();
}

double number(const Json& j, const char* name, double fallback = 0) {
    const auto* f = field(j, name);
    return f != nullptr && f->is_number() ? f->get<double>() : fallback;
}

bool count(const Json& j, const char* name, std::uint64_t& out) {
    const auto* f = field(j, name);
    if (f == nullptr || !f->is_number_unsigned())
        return false;
    out = f->get<std::uint64_t>();
    return true;
}

// Reads a submission field by field; the first complaint is kept.
struct FieldReader {
    const Json& j;
    std::string error;

    void complain(const char* name, const char* what) {
        if (error.empty())
            error = fmt::format("{}: {}", name, what);
    }
    std::string text(const char* name, bool required, std::size_t most = 200) {
        const auto* f = field(j, name);
        if (f == nullptr) {
            if (required)
                complain(name, "is missing");
            return {};
        }
        if (!f->is_string())
            return complain(name, "must be a string"), std::string();
        auto s = f->get<std::string>();
        if (s.size() > most)
            complain(name, "is too long");
        if (required && s.empty())
            complain(name, "must not be empty");
        return s;
    }
    double number(const char* name, bool required, double fallback, bool positive = false) {
        const auto* f = field(j, name);
        if (f == nullptr) {
            if (required)
                complain(name, "is missing");
            return fallback;
        }
        if (!f->is_number())
            return complain(name, "must be a number"), fallback;
        const double v = f->get<double>();
        if (!std::isfinite(v) || v < 0 || v > 1e12)
            complain(name, "is out of range");
        else if (positive && v <= 0)
            complain(name, "must be above 0");
        return v;
    }
    bool flag(const char* name) {
        const auto* f = field(j, name);
        if (f == nullptr)
            return false;
        if (!f->is_boolean())
            return complain(name, "must be true or false"), false;
        return f->get<bool>();
    }
};

std::optional<Shape> shape_of(const std::string& s) {
    if (s == "array")
        return Shape::array;
    if (s == "gang")
        return Shape::gang;
    if (s == "daemon")
        return Shape::service;
    return {};
}
const char* name_of(Shape s) {
    return s == Shape::array ? "array" : s == Shape::gang ? "gang" : "daemon";
}
std::optional<Rank> rank_of(const std::string& s) {
    if (s == "critical")
        return Rank::critical;
    if (s == "high")
        return Rank::high;
    if (s == "normal")
        return Rank::normal;
    if (s == "low")
        return Rank::low;
    return {};
}
const char* name_of(Rank r) {
    return r == Rank::critical ? "critical" : r == Rank::high ? "high" : r == Rank::normal ? "normal" : "low";
}

std::optional<TaskState> state_of(const std::string& s) {
    if (s == "fetching")
        return TaskState::fetching;
    if (s == "gathering")
        return TaskState::waiting;
    if (s == "running")
        return TaskState::running;
    if (s == "saving")
        return TaskState::saving;
    if (s == "ended")
        return TaskState::ended;
    return {};
}

ExitCause cause_of(const std::string& s) {
    if (s == "done")
        return ExitCause::done;
    if (s == "stopped")
        return ExitCause::stopped;
    if (s == "mates_gone")
        return ExitCause::peers;
    if (s == "incomplete")
        return ExitCause::alone;
    if (s == "error")
        return ExitCause::error;
    if (s == "no_room")
        return ExitCause::no_room;
    if (s == "in_use")
        return ExitCause::busy;
    return ExitCause::unknown;
}

// False if it is no list of job ids. Repeats count once.
bool read_needs(const Json& j, std::vector<std::string>& out) {
    const auto* f = field(j, "waitsOn");
    if (f == nullptr)
        return true;
    if (!f->is_array())
        return false;
    std::set<std::string_view> seen;
    for (const auto& e : *f) {
        if (!e.is_string() || !valid_job_id(e.get_ref<const std::string&>()))
            return false;
        const auto& id = e.get_ref<const std::string&>();
        if (seen.insert(id).second)
            out.push_back(id);
    }
    return true;
}

std::variant<JobSpec, Invalid> read_spec(const Json& j) {
    FieldReader r{j, {}};
    JobSpec s;
    s.needs_damaged = !read_needs(j, s.needs);
    s.id = r.text("id", true);
    if (r.error.empty() && !valid_job_id(s.id))
        r.complain("id", "must have the form wk-000412");
    s.job_class = r.text("jobclass", true);
    s.team = r.text("owner", true);
    if (const auto shape = shape_of(r.text("shape", true)); shape)
        s.shape = *shape;
    else
        r.complain("shape", "must be array, gang or daemon");
    if (const auto rank = rank_of(r.text("rank", true)); rank)
        s.rank = *rank;
    else
        r.complain("rank", "must be critical, high, normal or low");
    if (std::uint64_t n = 0; field(j, "shards") == nullptr)
        r.complain("shards", "is missing");
    else if (!count(j, "shards", n) || n < 1 || n > most_tasks)
        r.complain("shards", "must be a whole number from 1 to 100000");
    else
        s.tasks = static_cast<std::uint32_t>(n);
    s.each.cpus = r.number("cpus", true, 0, true);
    s.each.gpus = r.number("accelerators", false, 0);
    s.each.memory_gb = r.number("memGb", true, 0, true);
    s.image = r.text("bundle", true);
    s.image_gb = r.number("imageGb", true, 0);
    if (const auto* f = field(j, "flavors"); f != nullptr) {
        if (!f->is_array())
            r.complain("flavors", "must be an array of strings");
        else
            for (const auto& e : *f) {
                if (!e.is_string())
                    r.complain("flavors", "must be an array of strings");
                else
                    s.types.push_back(e.get<std::string>());
            }
        if (f->is_array() && f->empty())
            r.complain("flavors", "must not be empty");
    }
    s.zone = r.text("yard", false);
    s.one_zone = r.flag("together");
    s.spread = r.flag("scatter");
    s.spot = r.flag("standby");
    s.estimate_s = r.number("expectedS", false, 0);
    s.checkpoint_s = r.number("snapshotEveryS", false, 0);
    s.save_s = r.number("snapshotS", false, 0);
    s.deadline_s = r.number("dueS", false, -1);
    if (!r.error.empty())
        return Invalid{r.error};
    return s;
}

} // namespace

Json parse(std::string_view text) {
    return Json::parse(text.begin(), text.end(), nullptr, false);
}

bool valid_job_id(std::string_view id) {
    if (!id.starts_with("wk-") || id.size() < 4 || id.size() > 40)
        return false;
    for (const char c : id.substr(3))
        if (c < '0' || c > '9')
            return false;
    return true;
}

std::variant<JobSpec, Invalid> submission(std::string_view body) {
    const auto j = parse(body);
    if (j.is_discarded())
        return Invalid{"not JSON"};
    if (!j.is_object())
        return Invalid{"not an object"};
    auto r = read_spec(j);
    if (const auto* s = std::get_if<JobSpec>(&r); s != nullptr && s->needs_damaged)
        return Invalid{"waitsOn: must be a list of job ids"};
    return r;
}

Json to_json(const JobSpec& s) {
    Json j{{"id", s.id},
           {"jobclass", s.job_class},
           {"owner", s.team},
           {"shape", name_of(s.shape)},
           {"rank", name_of(s.rank)},
           {"shards", s.tasks},
           {"cpus", s.each.cpus},
           {"memGb", s.each.memory_gb},
           {"bundle", s.image},
           {"imageGb", s.image_gb}};
    if (s.each.gpus > 0)
        j["accelerators"] = s.each.gpus;
    if (!s.types.empty())
        j["flavors"] = s.types;
    if (!s.zone.empty())
        j["yard"] = s.zone;
    if (s.one_zone)
        j["together"] = true;
    if (s.spread)
        j["scatter"] = true;
    if (s.spot)
        j["standby"] = true;
    if (s.estimate_s > 0)
        j["expectedS"] = s.estimate_s;
    if (s.checkpoint_s > 0)
        j["snapshotEveryS"] = s.checkpoint_s;
    if (s.save_s > 0)
        j["snapshotS"] = s.save_s;
    if (s.deadline_s >= 0)
        j["dueS"] = s.deadline_s;
    if (!s.needs.empty())
        j["waitsOn"] = s.needs;
    return j;
}

std::optional<JobSpec> spec_from_store(const Json& j) {
    if (!j.is_object())
        return {};
    auto r = read_spec(j);
    if (auto* s = std::get_if<JobSpec>(&r))
        return std::move(*s);
    return {};
}

Json to_record(const StoredJob& j) {
    Json r{{j.waits ? "chain" : "spec", to_json(j.spec)}, {"at", j.at}};
    if (j.ready >= 0 && !j.waits)
        r["ready"] = j.ready;
    if (!j.final.empty())
        r["final"] = j.final;
    return r;
}

std::optional<StoredJob> stored_job(const Json& value, double wall) {
    if (!value.is_object())
        return {};
    StoredJob j;
    const auto* spec = field(value, "spec");
    if (spec == nullptr) {
        spec = field(value, "chain");
        j.waits = true;
    }
    if (spec == nullptr)
        return {};
    auto s = spec_from_store(*spec);
    if (!s)
        return {};
    j.spec = std::move(*s);
    j.at = number(value, "at", wall);
    j.ready = number(value, "ready", -1);
    j.final = text(value, "final");
    return j;
}

JobSpec remains_of(const JobSpec& s) {
    JobSpec r;
    r.id = s.id;
    r.job_class = r.image = "-";
    r.team = s.team;
    r.shape = s.shape;
    r.rank = s.rank;
    r.tasks = s.tasks;
    r.each = s.each;
    return r;
}

Json final_record(std::string_view status, Shape shape) {
    Json r{{"s", status}};
    if (shape == Shape::service)
        r["shape"] = name_of(shape);
    return r;
}

std::optional<StoredFinal> stored_final(const Json& value) {
    if (!value.is_object())
        return {};
    StoredFinal f{text(value, "s"), text(value, "shape") == name_of(Shape::service)};
    if (f.status != status_done && f.status != status_cancelled)
        return {};
    return f;
}

std::string job_answer(const std::string& id, std::string_view status) {
    return fmt::format(R"({{"id":"{}","status":"{}"}})", id, status);
}

std::string job_answer(const std::string& id, std::string_view status, std::uint64_t done, std::uint64_t running) {
    return fmt::format(R"({{"id":"{}","status":"{}","done":{},"running":{}}})", id, status, done, running);
}

bool split_task(std::string_view text, std::string& job, std::uint32_t& index) {
    const auto slash = text.rfind('/');
    if (slash == std::string_view::npos)
        return false;
    const auto* end = text.data() + text.size();
    const auto [p, ec] = std::from_chars(text.data() + slash + 1, end, index);
    if (ec != std::errc() || p != end || index >= most_tasks)
        return false;
    job = text.substr(0, slash);
    return valid_job_id(job);
}

std::string task_name(const std::string& job, std::uint32_t index) {
    return job + "/" + std::to_string(index);
}

std::optional<Report> report(std::string_view body) {
    const auto j = parse(body);
    if (!j.is_object())
        return {};
    Report r;
    r.machine = text(j, "host");
    r.addr = text(j, "addr");
    r.type = text(j, "flavor");
    r.zone = text(j, "yard");
    r.spot = flag(j, "standby");
    if (r.machine.empty() || r.machine.size() > 100 || !count(j, "tenure", r.tenure) || !count(j, "counter", r.counter))
        return {};
    count(j, "fence", r.fence);
    r.notice_s = number(j, "evictionInS", -1);
    const auto* tasks = field(j, "shards");
    if (tasks == nullptr)
        return r;
    if (!tasks->is_array())
        return {};
    for (const auto& e : *tasks) {
        if (!e.is_object())
            return {};
        ReportedTask t;
        const auto state = state_of(text(e, "status"));
        if (!split_task(text(e, "shard"), t.job, t.index) || !count(e, "try", t.try_no) || !state)
            return {};
        t.state = *state;
        if (t.state == TaskState::ended)
            t.cause = cause_of(text(e, "exitCause"));
        t.saved = flag(e, "stored");
        r.tasks.push_back(std::move(t));
    }
    return r;
}

namespace {
void append_orders(std::string& out, const std::vector<Order>& list) {
    out += R"("orders":[)";
    bool first = true;
    for (const auto& o : list) {
        if (!first)
            out += ',';
        first = false;
        const char* verb = o.verb == Verb::launch ? "launch" : o.verb == Verb::stop ? "stop" : "reap";
        out += fmt::format(R"({{"verb":"{}","shard":"{}/{}","try":{})", verb, o.job, o.index, o.try_no);
        if (o.verb == Verb::stop)
            out += fmt::format(R"(,"drainS":{})", o.drain_s);
        out += '}';
    }
    out += "]}";
}
} // namespace

std::string orders(std::uint64_t fence, const std::vector<Order>& list) {
    auto out = fmt::format(R"({{"fence":{},)", fence);
    append_orders(out, list);
    return out;
}

std::string commands(std::uint64_t fence, std::uint64_t tenure, const std::vector<Order>& list) {
    auto out = fmt::format(R"({{"fence":{},"tenure":{},)", fence, tenure);
    append_orders(out, list);
    return out;
}

std::string error_answer(const std::string& what) {
    return Json{{"error", what}}.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string redirect(const std::string& node) {
    return Json{{"reportsTo", node}}.dump();
}

std::optional<std::vector<MachineType>> machine_types(std::string_view body) {
    const auto j = parse(body);
    if (!j.is_object())
        return {};
    const auto* list = field(j, "flavors");
    if (list == nullptr || !list->is_array())
        return {};
    std::vector<MachineType> out;
    for (const auto& e : *list) {
        if (!e.is_object())
            return {};
        MachineType t;
        t.name = text(e, "name");
        t.room = {number(e, "cpus"), number(e, "accelerators"), number(e, "memGb")};
        t.cache_gb = number(e, "cacheGb");
        t.fetch_gb_per_s = number(e, "fetchGbPerS", 1);
        t.price = number(e, "rate");
        t.spot_price = number(e, "lowPrice", t.price);
        t.boot_s = number(e, "bootS", 60);
        if (const auto* z = field(e, "yards"); z != nullptr && z->is_array())
            for (const auto& zone : *z)
                if (zone.is_string())
                    t.zones.push_back(zone.get<std::string>());
        if (t.name.empty() || !(t.room.cpus > 0) || !(t.fetch_gb_per_s > 0))
            return {};
        out.push_back(std::move(t));
    }
    if (out.empty())
        return {};
    return out;
}

Json types_to_json(const std::vector<MachineType>& types) {
    Json list = Json::array();
    for (const auto& t : types)
        list.push_back({{"name", t.name},
                        {"cpus", t.room.cpus},
                        {"accelerators", t.room.gpus},
                        {"memGb", t.room.memory_gb},
                        {"cacheGb", t.cache_gb},
                        {"fetchGbPerS", t.fetch_gb_per_s},
                        {"rate", t.price},
                        {"lowPrice", t.spot_price},
                        {"bootS", t.boot_s},
                        {"yards", t.zones}});
    return {{"flavors", list}};
}

std::string rental(const std::string& claim, const std::string& type, const std::string& zone, bool spot, int n) {
    return Json{{"claim", claim}, {"flavor", type}, {"yard", zone}, {"standby", spot}, {"number", n}}.dump();
}

std::optional<std::vector<std::string>> rented(std::string_view body) {
    const auto j = parse(body);
    if (!j.is_object())
        return {};
    const auto* list = field(j, "hosts");
    if (list == nullptr || !list->is_array())
        return {};
    std::vector<std::string> out;
    for (const auto& e : *list) {
        if (!e.is_string())
            return {};
        out.push_back(e.get<std::string>());
    }
    return out;
}

std::string release(const std::vector<std::string>& machines) {
    return Json{{"hosts", machines}}.dump();
}

std::optional<MachinePage> machine_page(std::string_view body) {
    const auto j = parse(body);
    if (!j.is_object())
        return {};
    const auto* list = field(j, "hosts");
    if (list == nullptr || !list->is_array())
        return {};
    MachinePage p;
    p.more = flag(j, "more");
    for (const auto& e : *list) {
        if (!e.is_object())
            return {};
        ListedMachine m{text(e, "id"),     text(e, "addr"),    text(e, "flavor"), text(e, "yard"),
                        text(e, "status"), flag(e, "standby"), number(e, "ageS")};
        if (m.id.empty())
            return {};
        p.machines.push_back(std::move(m));
    }
    return p;
}

std::string txn(const std::vector<Guard>& guards, const std::vector<Write>& writes) {
    Json g = Json::array(), w = Json::array();
    for (const auto& x : guards)
        g.push_back({{"k", x.key}, {"stamp", x.stamp}});
    for (const auto& x : writes) {
        if (!x.value) {
            w.push_back({{"delete", x.key}});
            continue;
        }
        Json e{{"set", x.key}, {"data", *x.value}};
        if (x.hold != 0)
            e["lease"] = x.hold;
        w.push_back(std::move(e));
    }
    Json j{{"guards", std::move(g)}};
    if (!writes.empty())
        j["writes"] = std::move(w);
    return j.dump();
}

std::optional<std::uint64_t> epoch_of(std::string_view body) {
    const auto j = parse(body);
    std::uint64_t e = 0;
    if (!j.is_object() || !count(j, "epoch", e))
        return {};
    return e;
}

std::optional<std::vector<std::string>> failed_guards(std::string_view body) {
    const auto j = parse(body);
    if (!j.is_object())
        return {};
    const auto* list = field(j, "failed");
    if (list == nullptr || !list->is_array())
        return {};
    std::vector<std::string> out;
    for (const auto& e : *list)
        if (e.is_string())
            out.push_back(e.get<std::string>());
    return out;
}

namespace {
std::optional<Item> read_item(const Json& e, const char* key_name) {
    if (!e.is_object())
        return {};
    Item i;
    i.key = text(e, key_name);
    if (i.key.empty() || !count(e, "stamp", i.stamp))
        return {};
    if (const auto* v = field(e, "data"); v != nullptr)
        i.value = *v;
    count(e, "lease", i.hold);
    return i;
}
} // namespace

std::optional<Item> item(std::string_view body) {
    return read_item(parse(body), "k");
}

std::optional<Page> page(std::string_view body) {
    const auto j = parse(body);
    if (!j.is_object())
        return {};
    const auto* list = field(j, "entries");
    Page p;
    if (list == nullptr || !list->is_array() || !count(j, "epoch", p.epoch))
        return {};
    p.more = flag(j, "more");
    for (const auto& e : *list) {
        auto i = read_item(e, "k");
        if (!i)
            return {};
        p.items.push_back(std::move(*i));
    }
    return p;
}

std::optional<Page> events(std::string_view body) {
    const auto j = parse(body);
    if (!j.is_object())
        return {};
    const auto* list = field(j, "events");
    Page p;
    if (!count(j, "epoch", p.epoch))
        return {};
    if (list == nullptr)
        return p;
    if (!list->is_array())
        return {};
    for (const auto& e : *list) {
        const bool gone = e.is_object() && e.contains("delete");
        auto i = read_item(e, gone ? "delete" : "set");
        if (!i)
            return {};
        i->deleted = gone;
        p.items.push_back(std::move(*i));
    }
    return p;
}

std::string hold_request(double ttl_s) {
    return Json{{"ttlMs", static_cast<std::uint64_t>(ttl_s * 1000)}}.dump();
}

std::optional<std::uint64_t> hold_of(std::string_view body) {
    const auto j = parse(body);
    std::uint64_t h = 0;
    if (!j.is_object() || !count(j, "lease", h))
        return {};
    return h;
}

namespace {
Json item_json(const Item& i) {
    Json j{{"k", i.key}, {"data", i.value}, {"stamp", i.stamp}};
    if (i.hold != 0)
        j["lease"] = i.hold;
    return j;
}
} // namespace

std::string item_answer(const Item& i) {
    return item_json(i).dump();
}

std::string page_answer(const Page& p) {
    auto list = Json::array();
    for (const auto& i : p.items)
        list.push_back(item_json(i));
    return Json{{"entries", std::move(list)}, {"more", p.more}, {"epoch", p.epoch}}.dump();
}

std::string events_answer(const Page& p) {
    auto list = Json::array();
    for (const auto& i : p.items) {
        if (i.deleted)
            list.push_back({{"delete", i.key}, {"stamp", i.stamp}});
        else
            list.push_back({{"set", i.key}, {"data", i.value}, {"stamp", i.stamp}});
    }
    return Json{{"epoch", p.epoch}, {"events", std::move(list)}}.dump();
}

std::string epoch_answer(std::uint64_t epoch) {
    return Json{{"epoch", epoch}}.dump();
}

std::string failed_answer(const std::vector<std::string>& failed, std::uint64_t epoch) {
    return Json{{"failed", failed}, {"epoch", epoch}}.dump();
}

std::string hold_answer(std::uint64_t hold) {
    return Json{{"lease", hold}}.dump();
}

std::optional<TxnRequest> txn_request(std::string_view body) {
    const auto j = parse(body);
    if (!j.is_object())
        return {};
    TxnRequest t;
    if (const auto* list = field(j, "guards"); list != nullptr) {
        if (!list->is_array())
            return {};
        for (const auto& e : *list) {
            Guard g;
            if (!e.is_object() || !count(e, "stamp", g.stamp))
                return {};
            g.key = text(e, "k");
            t.guards.push_back(std::move(g));
        }
    }
    if (const auto* list = field(j, "writes"); list != nullptr) {
        if (!list->is_array())
            return {};
        for (const auto& e : *list) {
            if (!e.is_object())
                return {};
            Write w;
            if (e.contains("delete")) {
                w.key = text(e, "delete");
            } else {
                if (!e.contains("data"))
                    return {};
                w.key = text(e, "set");
                w.value = e["data"];
                if (e.contains("lease") && !count(e, "lease", w.hold))
                    return {};
            }
            t.writes.push_back(std::move(w));
        }
    }
    return t;
}

std::optional<std::int64_t> ttl_ms_of(std::string_view body) {
    const auto j = parse(body);
    std::uint64_t n = 0;
    if (!j.is_object() || !count(j, "ttlMs", n) || n > 1'000'000'000)
        return {};
    return static_cast<std::int64_t>(n);
}

std::string store_error(std::string_view body) {
    const auto j = parse(body);
    return j.is_object() ? text(j, "error") : std::string();
}

namespace {
const char* name_of(TaskState s) {
    switch (s) {
    case TaskState::fetching:
        return "fetching";
    case TaskState::waiting:
        return "gathering";
    case TaskState::running:
        return "running";
    case TaskState::saving:
        return "saving";
    case TaskState::ended:
        break;
    }
    return "ended";
}
const char* name_of(ExitCause c) {
    switch (c) {
    case ExitCause::done:
        return "done";
    case ExitCause::stopped:
        return "stopped";
    case ExitCause::peers:
        return "mates_gone";
    case ExitCause::alone:
        return "incomplete";
    case ExitCause::error:
        return "error";
    case ExitCause::no_room:
        return "no_room";
    case ExitCause::busy:
        return "in_use";
    default:
        return "unknown";
    }
}
} // namespace

std::string to_body(const Report& r) {
    Json j{{"host", r.machine},      {"addr", r.addr},         {"flavor", r.type},     {"yard", r.zone},
           {"standby", r.spot},      {"tenure", r.tenure},     {"counter", r.counter}, {"fence", r.fence},
           {"evictionInS", nullptr}, {"shards", Json::array()}};
    if (r.notice_s >= 0)
        j["evictionInS"] = r.notice_s;
    for (const auto& t : r.tasks) {
        Json e{{"shard", task_name(t.job, t.index)}, {"try", t.try_no}, {"status", name_of(t.state)}};
        if (t.state == TaskState::ended)
            e["exitCause"] = name_of(t.cause);
        if (t.saved)
            e["stored"] = true;
        j["shards"].push_back(std::move(e));
    }
    return j.dump();
}

std::optional<Orders> read_orders(std::string_view body) {
    const auto j = parse(body);
    if (!j.is_object())
        return {};
    Orders o;
    if (std::uint64_t n = 0; count(j, "fence", n))
        o.fence = n;
    if (std::uint64_t n = 0; count(j, "tenure", n))
        o.tenure = n;
    const auto* list = field(j, "orders");
    if (list == nullptr)
        return o;
    if (!list->is_array())
        return {};
    for (const auto& e : *list) {
        if (!e.is_object())
            return {};
        Order x;
        const auto verb = text(e, "verb");
        if (verb != "launch" && verb != "stop" && verb != "reap")
            return {};
        x.verb = verb == "launch" ? Verb::launch : verb == "stop" ? Verb::stop : Verb::reap;
        if (!split_task(text(e, "shard"), x.job, x.index) || !count(e, "try", x.try_no))
            return {};
        x.drain_s = number(e, "drainS");
        o.list.push_back(std::move(x));
    }
    return o;
}

std::string redirected_to(std::string_view body) {
    const auto j = parse(body);
    return j.is_object() ? text(j, "reportsTo") : std::string();
}

std::optional<RentalRequest> rental_request(std::string_view body) {
    const auto j = parse(body);
    if (!j.is_object())
        return {};
    RentalRequest r{text(j, "claim"), text(j, "flavor"), text(j, "yard"), flag(j, "standby"), 0};
    std::uint64_t n = 0;
    if (r.claim.empty() || r.type.empty() || r.zone.empty() || !count(j, "number", n) || n < 1 || n > 50)
        return {};
    r.count = static_cast<int>(n);
    return r;
}

std::string to_body(const MachinePage& p) {
    auto list = Json::array();
    for (const auto& m : p.machines)
        list.push_back({{"id", m.id},
                        {"addr", m.addr},
                        {"flavor", m.type},
                        {"yard", m.zone},
                        {"standby", m.spot},
                        {"status", m.status},
                        {"ageS", m.age_s}});
    return Json{{"hosts", std::move(list)}, {"more", p.more}}.dump();
}

std::string to_body(const JobSpec& s) {
    return to_json(s).dump();
}

std::optional<JobAnswer> job_answer_of(std::string_view body) {
    const auto j = parse(body);
    if (!j.is_object())
        return {};
    JobAnswer a{text(j, "id"), text(j, "status"), 0, 0};
    if (a.id.empty() || a.status.empty())
        return {};
    count(j, "done", a.done);
    count(j, "running", a.running);
    return a;
}

} // namespace heronshift::codec
