// Messages about jobs: submissions, records in the store, and answers to users.
#include "fields.hpp"

#include <charconv>
#include <cmath>
#include <fmt/format.h>
#include <set>

namespace heronshift::codec {

namespace {

constexpr std::size_t max_text = 200; // applies to each text in a submission
constexpr double max_number = 1e12;

// Reads the fields of a submission and keeps the first error.
class FieldReader {
public:
    explicit FieldReader(const Json& json) : json_(json) {}

    [[nodiscard]] const std::string& error() const {
        return error_;
    }
    void complain(const char* name, const char* what) {
        if (error_.empty())
            error_ = fmt::format("{}: {}", name, what);
    }
    // Returns the field `name`, or a null pointer if it is missing, which is an error if the field is required.
    const Json* find(const char* name, bool required) {
        const auto* found = field(json_, name);
        if (found == nullptr && required)
            complain(name, "is missing");
        return found;
    }
    std::string text(const char* name, bool required) {
        const auto* found = find(name, required);
        if (found == nullptr)
            return {};
        if (!found->is_string())
            return complain(name, "must be a string"), std::string();
        auto value = found->get<std::string>();
        if (value.size() > max_text)
            complain(name, "is too long");
        if (required && value.empty())
            complain(name, "must not be empty");
        return value;
    }
    double number(const char* name, bool required, double fallback, bool positive = false) {
        const auto* found = find(name, required);
        if (found == nullptr)
            return fallback;
        if (!found->is_number())
            return complain(name, "must be a number"), fallback;
        const double value = found->get<double>();
        if (!std::isfinite(value) || value < 0 || value > max_number)
            complain(name, "is out of range");
        else if (positive && value <= 0)
            complain(name, "must be above 0");
        return value;
    }
    bool flag(const char* name) {
        const auto* found = find(name, false);
        if (found == nullptr)
            return false;
        if (!found->is_boolean())
            return complain(name, "must be true or false"), false;
        return found->get<bool>();
    }
    // Reads a required enumeration value into `out`; `otherwise` is the error message for a value not in `table`.
    template <class Enum, std::size_t n>
    void word(const char* name, const words::Word<Enum> (&table)[n], const char* otherwise, Enum& out) {
        if (const auto value = words::value_of(table, text(name, true)); value)
            out = *value;
        else
            complain(name, otherwise);
    }

private:
    const Json& json_;
    std::string error_;
};

// Returns false if the field is not an array of job ids. Duplicate ids are dropped.
bool read_dependencies(const Json& json, std::vector<std::string>& out) {
    const auto* list = field(json, words::dependencies);
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
    if (reader.find(words::tasks, true) == nullptr)
        return;
    std::uint64_t tasks = 0;
    if (count(json, words::tasks, tasks) && tasks >= 1 && tasks <= max_tasks)
        spec.tasks = static_cast<std::uint32_t>(tasks);
    else
        reader.complain(words::tasks, "must be a whole number from 1 to 100000");
}

void read_machine_types(FieldReader& reader, JobSpec& spec) {
    const auto* list = reader.find(words::machine_types, false);
    if (list == nullptr)
        return;
    if (!list->is_array())
        return reader.complain(words::machine_types, "must be an array of strings");
    for (const auto& name : *list) {
        if (name.is_string())
            spec.types.push_back(name.get<std::string>());
        else
            reader.complain(words::machine_types, "must be an array of strings");
    }
    if (list->empty())
        reader.complain(words::machine_types, "must not be empty");
}

std::variant<JobSpec, Invalid> read_spec(const Json& json) {
    FieldReader reader(json);
    JobSpec spec;
    spec.dependencies_damaged = !read_dependencies(json, spec.dependencies);
    spec.id = reader.text(words::id, true);
    if (reader.error().empty() && !valid_job_id(spec.id))
        reader.complain(words::id, "must have the form wk-000412");
    spec.job_class = reader.text(words::job_class, true);
    spec.team = reader.text(words::team, true);
    reader.word(words::shape, words::shapes, "must be array, gang or daemon", spec.shape);
    reader.word(words::priority, words::priorities, "must be critical, high, normal or low", spec.priority);
    read_task_count(reader, json, spec);
    spec.each.cpus = reader.number(words::cpus, true, 0, true);
    spec.each.gpus = reader.number(words::gpus, false, 0);
    spec.each.memory_gb = reader.number(words::memory_gb, true, 0, true);
    spec.image = reader.text(words::image, true);
    spec.image_gb = reader.number(words::image_gb, true, 0);
    read_machine_types(reader, spec);
    spec.zone = reader.text(words::zone, false);
    spec.one_zone = reader.flag(words::one_zone);
    spec.spread = reader.flag(words::spread);
    spec.spot = reader.flag(words::spot);
    spec.estimate_s = reader.number(words::estimate_s, false, 0);
    spec.checkpoint_s = reader.number(words::checkpoint_s, false, 0);
    spec.save_s = reader.number(words::save_s, false, 0);
    spec.deadline_s = reader.number(words::deadline_s, false, -1);
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
    Json json{{words::id, spec.id},
              {words::job_class, spec.job_class},
              {words::team, spec.team},
              {words::shape, words::word_of(words::shapes, spec.shape)},
              {words::priority, words::word_of(words::priorities, spec.priority)},
              {words::tasks, spec.tasks},
              {words::cpus, spec.each.cpus},
              {words::memory_gb, spec.each.memory_gb},
              {words::image, spec.image},
              {words::image_gb, spec.image_gb}};
    if (spec.each.gpus > 0)
        json[words::gpus] = spec.each.gpus;
    if (!spec.types.empty())
        json[words::machine_types] = spec.types;
    if (!spec.zone.empty())
        json[words::zone] = spec.zone;
    if (spec.one_zone)
        json[words::one_zone] = true;
    if (spec.spread)
        json[words::spread] = true;
    if (spec.spot)
        json[words::spot] = true;
    if (spec.estimate_s > 0)
        json[words::estimate_s] = spec.estimate_s;
    if (spec.checkpoint_s > 0)
        json[words::checkpoint_s] = spec.checkpoint_s;
    if (spec.save_s > 0)
        json[words::save_s] = spec.save_s;
    if (spec.deadline_s >= 0)
        json[words::deadline_s] = spec.deadline_s;
    if (!spec.dependencies.empty())
        json[words::dependencies] = spec.dependencies;
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
    Json json{{stored_job.waits ? words::waiting_spec : words::spec, to_json(stored_job.spec)},
              {words::submitted_at, stored_job.at}};
    if (stored_job.ready >= 0 && !stored_job.waits)
        json[words::ready_at] = stored_job.ready;
    if (!stored_job.final.empty())
        json[words::final_state] = stored_job.final;
    return json;
}

std::optional<StoredJob> stored_job(const Json& value, double wall) {
    if (!value.is_object())
        return {};
    StoredJob job;
    const auto* spec = field(value, words::spec);
    if (spec == nullptr) {
        spec = field(value, words::waiting_spec);
        job.waits = true;
    }
    if (spec == nullptr)
        return {};
    auto decoded = spec_from_store(*spec);
    if (!decoded)
        return {};
    job.spec = std::move(*decoded);
    job.at = number(value, words::submitted_at, wall);
    job.ready = number(value, words::ready_at, -1);
    job.final = text(value, words::final_state);
    return job;
}

JobSpec remains_of(const JobSpec& spec) {
    JobSpec remains;
    remains.id = spec.id;
    remains.job_class = remains.image = "-";
    remains.team = spec.team;
    remains.shape = spec.shape;
    remains.priority = spec.priority;
    remains.tasks = spec.tasks;
    remains.each = spec.each;
    return remains;
}

Json final_record(std::string_view status, Shape shape) {
    Json json{{words::final_status, status}};
    if (shape == Shape::service)
        json[words::shape] = words::word_of(words::shapes, shape);
    return json;
}

std::optional<StoredFinal> stored_final(const Json& value) {
    if (!value.is_object())
        return {};
    StoredFinal final{text(value, words::final_status),
                      text(value, words::shape) == words::word_of(words::shapes, Shape::service)};
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
    JobAnswer answer{text(json, words::id), text(json, words::status), 0, 0};
    if (answer.id.empty() || answer.status.empty())
        return {};
    count(json, words::done, answer.done);
    count(json, words::running, answer.running);
    return answer;
}

} // namespace heronshift::codec
