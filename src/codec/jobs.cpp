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
        const auto* json = field(j, name);
        if (json == nullptr) {
            if (required)
                complain(name, "is missing");
            return {};
        }
        if (!json->is_string())
            return complain(name, "must be a string"), std::string();
        auto s = json->get<std::string>();
        if (s.size() > most)
            complain(name, "is too long");
        if (required && s.empty())
            complain(name, "must not be empty");
        return s;
    }
    double number(const char* name, bool required, double fallback, bool positive = false) {
        const auto* json = field(j, name);
        if (json == nullptr) {
            if (required)
                complain(name, "is missing");
            return fallback;
        }
        if (!json->is_number())
            return complain(name, "must be a number"), fallback;
        const double v = json->get<double>();
        if (!std::isfinite(v) || v < 0 || v > 1e12)
            complain(name, "is out of range");
        else if (positive && v <= 0)
            complain(name, "must be above 0");
        return v;
    }
    bool flag(const char* name) {
        const auto* json = field(j, name);
        if (json == nullptr)
            return false;
        if (!json->is_boolean())
            return complain(name, "must be true or false"), false;
        return json->get<bool>();
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
bool read_dependencies(const Json& json, std::vector<std::string>& out) {
    const auto* f = field(json, "waitsOn");
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

std::variant<JobSpec, Invalid> read_spec(const Json& json) {
    FieldReader r{json, {}};
    JobSpec spec;
    spec.dependencies_damaged = !read_dependencies(json, spec.dependencies);
    spec.id = r.text("id", true);
    if (r.error.empty() && !valid_job_id(spec.id))
        r.complain("id", "must have the form wk-000412");
    spec.job_class = r.text("jobclass", true);
    spec.team = r.text("owner", true);
    if (const auto shape = shape_of(r.text("shape", true)); shape)
        spec.shape = *shape;
    else
        r.complain("shape", "must be array, gang or daemon");
    if (const auto priority = priority_of(r.text("rank", true)); priority)
        spec.priority = *priority;
    else
        r.complain("rank", "must be critical, high, normal or low");
    if (std::uint64_t n = 0; field(json, "shards") == nullptr)
        r.complain("shards", "is missing");
    else if (!count(json, "shards", n) || n < 1 || n > max_tasks)
        r.complain("shards", "must be a whole number from 1 to 100000");
    else
        spec.tasks = static_cast<std::uint32_t>(n);
    spec.each.cpus = r.number("cpus", true, 0, true);
    spec.each.gpus = r.number("accelerators", false, 0);
    spec.each.memory_gb = r.number("memGb", true, 0, true);
    spec.image = r.text("bundle", true);
    spec.image_gb = r.number("imageGb", true, 0);
    if (const auto* f = field(json, "flavors"); f != nullptr) {
        if (!f->is_array())
            r.complain("flavors", "must be an array of strings");
        else
            for (const auto& e : *f) {
                if (!e.is_string())
                    r.complain("flavors", "must be an array of strings");
                else
                    spec.types.push_back(e.get<std::string>());
            }
        if (f->is_array() && f->empty())
            r.complain("flavors", "must not be empty");
    }
    spec.zone = r.text("yard", false);
    spec.one_zone = r.flag("together");
    spec.spread = r.flag("scatter");
    spec.spot = r.flag("standby");
    spec.estimate_s = r.number("expectedS", false, 0);
    spec.checkpoint_s = r.number("snapshotEveryS", false, 0);
    spec.save_s = r.number("snapshotS", false, 0);
    spec.deadline_s = r.number("dueS", false, -1);
    if (!r.error.empty())
        return Invalid{r.error};
    return spec;
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
    const auto json = parse(body);
    if (json.is_discarded())
        return Invalid{"not JSON"};
    if (!json.is_object())
        return Invalid{"not an object"};
    auto r = read_spec(json);
    if (const auto* spec = std::get_if<JobSpec>(&r); spec != nullptr && spec->dependencies_damaged)
        return Invalid{"waitsOn: must be a list of job ids"};
    return r;
}

Json to_json(const JobSpec& spec) {
    Json json{{"id", spec.id},
              {"jobclass", spec.job_class},
              {"owner", spec.team},
              {"shape", name_of(spec.shape)},
              {"rank", name_of(spec.priority)},
              {"shards", spec.tasks},
              {"cpus", spec.each.cpus},
              {"memGb", spec.each.memory_gb},
              {"bundle", spec.image},
              {"imageGb", spec.image_gb}};
    if (spec.each.gpus > 0)
        json["accelerators"] = spec.each.gpus;
    if (!spec.types.empty())
        json["flavors"] = spec.types;
    if (!spec.zone.empty())
        json["yard"] = spec.zone;
    if (spec.one_zone)
        json["together"] = true;
    if (spec.spread)
        json["scatter"] = true;
    if (spec.spot)
        json["standby"] = true;
    if (spec.estimate_s > 0)
        json["expectedS"] = spec.estimate_s;
    if (spec.checkpoint_s > 0)
        json["snapshotEveryS"] = spec.checkpoint_s;
    if (spec.save_s > 0)
        json["snapshotS"] = spec.save_s;
    if (spec.deadline_s >= 0)
        json["dueS"] = spec.deadline_s;
    if (!spec.dependencies.empty())
        json["waitsOn"] = spec.dependencies;
    return json;
}

std::optional<JobSpec> spec_from_store(const Json& json) {
    if (!json.is_object())
        return {};
    auto r = read_spec(json);
    if (auto* spec = std::get_if<JobSpec>(&r))
        return std::move(*spec);
    return {};
}

Json to_record(const StoredJob& stored_job) {
    Json json{{stored_job.waits ? "chain" : "spec", to_json(stored_job.spec)}, {"at", stored_job.at}};
    if (stored_job.ready >= 0 && !stored_job.waits)
        json["ready"] = stored_job.ready;
    if (!stored_job.final.empty())
        json["final"] = stored_job.final;
    return json;
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

JobSpec remains_of(const JobSpec& spec) {
    JobSpec r;
    r.id = spec.id;
    r.job_class = r.image = "-";
    r.team = spec.team;
    r.shape = spec.shape;
    r.priority = spec.priority;
    r.tasks = spec.tasks;
    r.each = spec.each;
    return r;
}

Json final_record(std::string_view status, Shape shape) {
    Json json{{"s", status}};
    if (shape == Shape::service)
        json["shape"] = name_of(shape);
    return json;
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

std::string to_body(const JobSpec& spec) {
    return to_json(spec).dump();
}

std::optional<JobAnswer> job_answer_of(std::string_view body) {
    const auto json = parse(body);
    if (!json.is_object())
        return {};
    JobAnswer a{text(json, "id"), text(json, "status"), 0, 0};
    if (a.id.empty() || a.status.empty())
        return {};
    count(json, "done", a.done);
    count(json, "running", a.running);
    return a;
}

} // namespace heronshift::codec
