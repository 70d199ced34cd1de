// Messages about jobs: submissions, records in the store, and answers to users.
#include "fields.hpp"

#include <charconv>
#include <cmath>
#include <fmt/format.h>
#include <set>

namespace heronshift::codec {

namespace {

constexpr std::size_t max_text_bytes = 200; // applies to each text in a submission
constexpr double max_number = 1e12;

// Reads the fields of a submission and keeps the first error.
class FieldReader {
public:
    explicit FieldReader(const Json& json) : json_(json) {}

    [[nodiscard]] const std::string& error() const {
        return error_;
    }
    void set_error(const char* name, const char* what) {
        if (error_.empty())
            error_ = fmt::format("{}: {}", name, what);
    }
    // Returns the field `name`, or a null pointer if it is missing, which is an error if the field is required.
    const Json* find(const char* name, bool required) {
        const auto* found = field(json_, name);
        if (found == nullptr && required)
            set_error(name, "is missing");
        return found;
    }
    std::string text(const char* name, bool required) {
        const auto* found = find(name, required);
        if (found == nullptr)
            return {};
        if (!found->is_string())
            return set_error(name, "must be a string"), std::string();
        auto value = found->get<std::string>();
        if (value.size() > max_text_bytes)
            set_error(name, "is too long");
        if (required && value.empty())
            set_error(name, "must not be empty");
        return value;
    }
    double number(const char* name, bool required, double fallback, bool positive = false) {
        const auto* found = find(name, required);
        if (found == nullptr)
            return fallback;
        if (!found->is_number())
            return set_error(name, "must be a number"), fallback;
        const double value = found->get<double>();
        if (!std::isfinite(value) || value < 0 || value > max_number)
            set_error(name, "is out of range");
        else if (positive && value <= 0)
            set_error(name, "must be above 0");
        return value;
    }
    bool flag(const char* name) {
        const auto* found = find(name, false);
        if (found == nullptr)
            return false;
        if (!found->is_boolean())
            return set_error(name, "must be true or false"), false;
        return found->get<bool>();
    }
    // Reads a required enumeration value into `out`; `error_message` is the error message for a value not in `table`.
    template <class Enum, std::size_t entry_count>
    void enumeration(const char* name, const wire::WireName<Enum> (&table)[entry_count], const char* error_message,
                     Enum& out) {
        if (const auto value = wire::enumerator_of(table, text(name, true)); value)
            out = *value;
        else
            set_error(name, error_message);
    }

private:
    const Json& json_;
    std::string error_;
};

// Returns false if the field is not an array of job ids. Duplicate ids are dropped.
bool read_dependencies(const Json& json, std::vector<std::string>& out) {
    const auto* list = field(json, wire::dependencies);
    if (list == nullptr)
        return true;
    if (!list->is_array())
        return false;
    std::set<std::string_view> seen;
    for (const auto& entry : *list) {
        if (!entry.is_string() || !valid_job_id(entry.get_ref<const std::string&>()))
            return false;
        const auto& id = entry.get_ref<const std::string&>();
        if (seen.insert(id).second)
            out.push_back(id);
    }
    return true;
}

void read_task_count(FieldReader& reader, const Json& json, JobSpec& spec) {
    if (reader.find(wire::tasks, true) == nullptr)
        return;
    std::uint64_t tasks = 0;
    if (count(json, wire::tasks, tasks) && tasks >= 1 && tasks <= max_tasks)
        spec.tasks = static_cast<std::uint32_t>(tasks);
    else
        reader.set_error(wire::tasks, "must be a whole number from 1 to 100000");
}

void read_machine_types(FieldReader& reader, JobSpec& spec) {
    const auto* list = reader.find(wire::machine_types, false);
    if (list == nullptr)
        return;
    if (!list->is_array())
        return reader.set_error(wire::machine_types, "must be an array of strings");
    for (const auto& name : *list) {
        if (name.is_string())
            spec.types.push_back(name.get<std::string>());
        else
            reader.set_error(wire::machine_types, "must be an array of strings");
    }
    if (list->empty())
        reader.set_error(wire::machine_types, "must not be empty");
}

std::variant<JobSpec, Invalid> read_spec(const Json& json) {
    FieldReader reader(json);
    JobSpec spec;
    spec.dependencies_damaged = !read_dependencies(json, spec.dependencies);
    spec.id = reader.text(wire::id, true);
    if (reader.error().empty() && !valid_job_id(spec.id))
        reader.set_error(wire::id, "must have the form wk-000412");
    spec.job_class = reader.text(wire::job_class, true);
    spec.team = reader.text(wire::team, true);
    reader.enumeration(wire::shape, wire::shapes, "must be array, gang or daemon", spec.shape);
    reader.enumeration(wire::priority, wire::priorities, "must be critical, high, normal or low", spec.priority);
    read_task_count(reader, json, spec);
    spec.each.cpus = reader.number(wire::cpus, true, 0, true);
    spec.each.gpus = reader.number(wire::gpus, false, 0);
    spec.each.memory_gb = reader.number(wire::memory_gb, true, 0, true);
    spec.image = reader.text(wire::image, true);
    spec.image_gb = reader.number(wire::image_gb, true, 0);
    read_machine_types(reader, spec);
    spec.zone = reader.text(wire::zone, false);
    spec.one_zone = reader.flag(wire::one_zone);
    spec.spread = reader.flag(wire::spread);
    spec.spot = reader.flag(wire::spot);
    spec.estimate_s = reader.number(wire::estimate_s, false, 0);
    spec.checkpoint_s = reader.number(wire::checkpoint_s, false, 0);
    spec.save_s = reader.number(wire::save_s, false, 0);
    spec.deadline_s = reader.number(wire::deadline_s, false, -1);
    if (!reader.error().empty())
        return Invalid{reader.error()};
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
    auto result = read_spec(json);
    if (const auto* spec = std::get_if<JobSpec>(&result); spec != nullptr && spec->dependencies_damaged)
        return Invalid{"waitsOn: must be a list of job ids"};
    return result;
}

Json to_json(const JobSpec& spec) {
    Json json{{wire::id, spec.id},
              {wire::job_class, spec.job_class},
              {wire::team, spec.team},
              {wire::shape, wire::wire_name_of(wire::shapes, spec.shape)},
              {wire::priority, wire::wire_name_of(wire::priorities, spec.priority)},
              {wire::tasks, spec.tasks},
              {wire::cpus, spec.each.cpus},
              {wire::memory_gb, spec.each.memory_gb},
              {wire::image, spec.image},
              {wire::image_gb, spec.image_gb}};
    if (spec.each.gpus > 0)
        json[wire::gpus] = spec.each.gpus;
    if (!spec.types.empty())
        json[wire::machine_types] = spec.types;
    if (!spec.zone.empty())
        json[wire::zone] = spec.zone;
    if (spec.one_zone)
        json[wire::one_zone] = true;
    if (spec.spread)
        json[wire::spread] = true;
    if (spec.spot)
        json[wire::spot] = true;
    if (spec.estimate_s > 0)
        json[wire::estimate_s] = spec.estimate_s;
    if (spec.checkpoint_s > 0)
        json[wire::checkpoint_s] = spec.checkpoint_s;
    if (spec.save_s > 0)
        json[wire::save_s] = spec.save_s;
    if (spec.deadline_s >= 0)
        json[wire::deadline_s] = spec.deadline_s;
    if (!spec.dependencies.empty())
        json[wire::dependencies] = spec.dependencies;
    return json;
}

std::optional<JobSpec> spec_from_store(const Json& json) {
    if (!json.is_object())
        return {};
    auto result = read_spec(json);
    if (auto* spec = std::get_if<JobSpec>(&result))
        return std::move(*spec);
    return {};
}

Json to_record(const StoredJob& stored_job) {
    Json json{{stored_job.waits ? wire::waiting_spec : wire::spec, to_json(stored_job.spec)},
              {wire::submitted_at, stored_job.at}};
    if (stored_job.ready >= 0 && !stored_job.waits)
        json[wire::ready_at] = stored_job.ready;
    if (!stored_job.final.empty())
        json[wire::final_state] = stored_job.final;
    return json;
}

std::optional<StoredJob> stored_job(const Json& value, double wall) {
    if (!value.is_object())
        return {};
    StoredJob job;
    const auto* spec = field(value, wire::spec);
    if (spec == nullptr) {
        spec = field(value, wire::waiting_spec);
        job.waits = true;
    }
    if (spec == nullptr)
        return {};
    auto decoded = spec_from_store(*spec);
    if (!decoded)
        return {};
    job.spec = std::move(*decoded);
    job.at = number(value, wire::submitted_at, wall);
    job.ready = number(value, wire::ready_at, -1);
    job.final = text(value, wire::final_state);
    return job;
}

JobSpec remains_of(const JobSpec& spec) {
    JobSpec reduced;
    reduced.id = spec.id;
    reduced.job_class = reduced.image = "-";
    reduced.team = spec.team;
    reduced.shape = spec.shape;
    reduced.priority = spec.priority;
    reduced.tasks = spec.tasks;
    reduced.each = spec.each;
    return reduced;
}

Json final_record(std::string_view status, Shape shape) {
    Json json{{wire::final_status, status}};
    if (shape == Shape::service)
        json[wire::shape] = wire::wire_name_of(wire::shapes, shape);
    return json;
}

std::optional<StoredFinal> stored_final(const Json& value) {
    if (!value.is_object())
        return {};
    StoredFinal final{text(value, wire::final_status),
                      text(value, wire::shape) == wire::wire_name_of(wire::shapes, Shape::service)};
    if (final.status != status_done && final.status != status_cancelled)
        return {};
    return final;
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
    JobAnswer answer{text(json, wire::id), text(json, wire::status), 0, 0};
    if (answer.id.empty() || answer.status.empty())
        return {};
    count(json, wire::done, answer.done);
    count(json, wire::running, answer.running);
    return answer;
}

} // namespace heronshift::codec
