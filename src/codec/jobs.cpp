// Jobs: submissions, their records in the store, and what users are answered.
#include "fields.hpp"

#include <charconv>
#include <cmath>
#include <fmt/format.h>
#include <set>

namespace heronshift::codec {

using fields::count;
using fields::field;
using fields::flag;
using fields::number;
using fields::text;

namespace {

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
std::optional<Priority> priority_of(const std::string& s) {
    if (s == "critical")
        return Priority::critical;
    if (s == "high")
        return Priority::high;
    if (s == "normal")
        return Priority::normal;
    if (s == "low")
        return Priority::low;
    return {};
}
const char* name_of(Priority r) {
    return r == Priority::critical ? "critical"
           : r == Priority::high   ? "high"
           : r == Priority::normal ? "normal"
                                   : "low";
}

// False if it is no list of job ids. Repeats count once.
bool read_dependencies(const Json& j, std::vector<std::string>& out) {
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
    s.dependencies_damaged = !read_dependencies(j, s.dependencies);
    s.id = r.text("id", true);
    if (r.error.empty() && !valid_job_id(s.id))
        r.complain("id", "must have the form wk-000412");
    s.job_class = r.text("jobclass", true);
    s.team = r.text("owner", true);
    if (const auto shape = shape_of(r.text("shape", true)); shape)
        s.shape = *shape;
    else
        r.complain("shape", "must be array, gang or daemon");
    if (const auto priority = priority_of(r.text("rank", true)); priority)
        s.priority = *priority;
    else
        r.complain("rank", "must be critical, high, normal or low");
    if (std::uint64_t n = 0; field(j, "shards") == nullptr)
        r.complain("shards", "is missing");
    else if (!count(j, "shards", n) || n < 1 || n > max_tasks)
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
    if (const auto* s = std::get_if<JobSpec>(&r); s != nullptr && s->dependencies_damaged)
        return Invalid{"waitsOn: must be a list of job ids"};
    return r;
}

Json to_json(const JobSpec& s) {
    Json j{{"id", s.id},
           {"jobclass", s.job_class},
           {"owner", s.team},
           {"shape", name_of(s.shape)},
           {"rank", name_of(s.priority)},
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
    if (!s.dependencies.empty())
        j["waitsOn"] = s.dependencies;
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
    r.priority = s.priority;
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
