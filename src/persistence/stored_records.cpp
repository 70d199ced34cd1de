#include "stored_records.hpp"

#include "persistence/layout.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fmt/format.h>

namespace heronshift::persistence {

using codec::Json;

namespace {

// The largest record number that is taken as valid. The number of intent records grows with the number of tasks on
// machines: 60,000 tasks on 6,000 machines take about 200 records of 15 KiB, or 5,000 of the smallest size
// (`min_record_bytes` in cluster_records.cpp). A key with a larger number was not written by a leader. The intents in
// such a record are loaded all the same, and the record is removed after they are stored in another one.
constexpr std::size_t max_record_number = 100'000;

// The names of fields in stored records. They must not change.
constexpr const char* field_intents = "t";
constexpr const char* field_cancelled = "cancelled";
constexpr const char* field_image_names = "names";
constexpr const char* field_images_held = "held";
constexpr const char* field_written_at = "at";
constexpr const char* field_offered_load = "offered";
constexpr const char* field_offered_ordinary = "offeredOrdinary";
constexpr const char* field_ran = "ran";
constexpr const char* field_estimated = "estimated";
constexpr const char* field_spot_losses = "spotLosses";
constexpr const char* field_legacy_tasks = "tasks";
constexpr const char* field_legacy_zone = "yard";
constexpr const char* field_legacy_agent_epoch = "tenure";
constexpr const char* field_legacy_done = "done";
constexpr const char* field_legacy_final = "final";

std::optional<ImageRecord::Image> decode_image(const Json& json) {
    const bool valid = json.is_array() && json.size() == 2 && json[0].is_string() && json[1].is_number();
    if (!valid)
        return {};
    return ImageRecord::Image{json[0].get<std::string>(), json[1].get<double>()};
}

std::vector<std::size_t> decode_held(const Json& list, const ImageRecord& record) {
    std::vector<std::size_t> out;
    for (const auto& json : list) {
        if (!json.is_number_unsigned())
            continue;
        const auto index = json.get<std::size_t>();
        if (index < record.images.size() && record.images[index])
            out.push_back(index);
    }
    return out;
}

// Reads a measured quantity. Returns -1 if it is missing or invalid.
double read_quantity(const Json& value, const char* name) {
    constexpr double limit = 1e12;
    const auto it = value.is_object() ? value.find(name) : value.end();
    const double number = it != value.end() && it->is_number() ? it->get<double>() : -1;
    return std::isfinite(number) && number >= 0 && number < limit ? number : -1;
}

} // namespace

std::optional<std::size_t> record_number(const std::string& key) {
    const auto prefix = intent_prefix.size();
    if (key.size() <= prefix)
        return {};
    std::size_t number = 0;
    const auto* end = key.data() + key.size();
    const auto [parsed, error] = std::from_chars(key.data() + prefix, end, number);
    if (error != std::errc() || parsed != end || number > max_record_number)
        return {};
    return number;
}

Json encode_intents(std::string text) {
    return Json{{field_intents, std::move(text)}};
}

IntentRecord decode_intents(const Json& value) {
    IntentRecord record;
    if (!value.is_object() || !value.contains(field_intents) || !value[field_intents].is_string()) {
        record.content.damaged = true;
        return record;
    }
    const auto& text = value[field_intents].get_ref<const std::string&>();
    record.content = intents::read(text);
    record.size = text.size();
    return record;
}

Json encode_progress(std::vector<JobProgress> jobs) {
    auto value = Json::object();
    for (auto& progress : jobs)
        value[progress.job] = std::move(progress.done);
    return value;
}

std::vector<JobProgress> decode_progress(const Json& value) {
    std::vector<JobProgress> out;
    if (!value.is_object())
        return out;
    for (const auto& [job, done] : value.items())
        if (done.is_string())
            out.push_back({job, done.get<std::string>()});
    return out;
}

Json encode_cascade(const std::vector<std::string>& jobs) {
    return Json{{field_cancelled, jobs}};
}

std::vector<std::string> decode_cascade(const Json& value) {
    std::vector<std::string> jobs;
    if (!value.is_object() || !value.contains(field_cancelled) || !value[field_cancelled].is_array())
        return jobs;
    for (const auto& job : value[field_cancelled])
        if (job.is_string())
            jobs.push_back(job.get<std::string>());
    return jobs;
}

Json encode_images(const ImageRecord& record) {
    auto names = Json::array();
    for (const auto& image : record.images)
        names.push_back({image->name, image->size_gb});
    auto held = Json::object();
    for (const auto& [machine, indices] : record.held)
        held[machine] = indices;
    return Json{{field_image_names, std::move(names)}, {field_images_held, std::move(held)}};
}

ImageRecord decode_images(const Json& value) {
    ImageRecord record;
    if (!value.is_object() || !value.contains(field_image_names) || !value.contains(field_images_held))
        return record;
    const auto& names = value[field_image_names];
    const auto& held = value[field_images_held];
    if (!names.is_array() || !held.is_object())
        return record;
    for (const auto& name : names)
        record.images.push_back(decode_image(name));
    for (const auto& [machine, list] : held.items())
        if (list.is_array())
            record.held.emplace_back(machine, decode_held(list, record));
    return record;
}

Json encode_learned(const LearnedRecord& record) {
    return Json{{field_written_at, record.written_at},
                {field_offered_load, record.offered_load},
                {field_offered_ordinary, record.offered_on_demand},
                {field_ran, record.ran_s},
                {field_estimated, record.estimated_s},
                {field_spot_losses, record.spot_losses}};
}

std::optional<LearnedRecord> decode_learned(const Json& value) {
    LearnedRecord record;
    record.written_at = read_quantity(value, field_written_at);
    record.offered_load = read_quantity(value, field_offered_load);
    record.offered_on_demand = std::max(0.0, read_quantity(value, field_offered_ordinary));
    record.ran_s = read_quantity(value, field_ran);
    record.estimated_s = read_quantity(value, field_estimated);
    record.spot_losses = read_quantity(value, field_spot_losses);
    if (record.written_at < 0 || record.offered_load < 0 || record.ran_s <= 0 || record.estimated_s <= 0 ||
        record.spot_losses < 0)
        return {};
    return record;
}

LegacyMachineRecord decode_legacy_machine(const std::string& machine, const Json& value) {
    LegacyMachineRecord record;
    if (!value.is_object() || !value.contains(field_legacy_tasks) || !value[field_legacy_tasks].is_array()) {
        record.damaged = true;
        return record;
    }
    const auto text = [&](const char* name) {
        return value.contains(name) && value[name].is_string() ? value[name].get<std::string>() : std::string();
    };
    const auto number = [&](const char* name) {
        return value.contains(name) && value[name].is_number_integer() ? value[name].get<std::uint64_t>() : 0;
    };
    const auto line_prefix =
        fmt::format("{} {} {} ", machine, text(field_legacy_zone), number(field_legacy_agent_epoch));
    for (const auto& task : value[field_legacy_tasks]) {
        const auto line = task.is_string() ? line_prefix + task.get<std::string>() : std::string();
        auto read = intents::read(line);
        record.damaged = record.damaged || read.intents.size() != 1;
        for (auto& intent : read.intents)
            record.intents.push_back(std::move(intent));
    }
    return record;
}

std::optional<LegacyJobRecord> decode_legacy_job(const Json& value) {
    if (!value.is_object())
        return {};
    return LegacyJobRecord{value.value(field_legacy_done, std::string()),
                           value.value(field_legacy_final, std::string())};
}

} // namespace heronshift::persistence
