/// The keys of the records of jobs and of the cluster in the store.
///
/// The two keys of the leader election are not part of this layout; see src/leadership. The values are encoded and
/// decoded by heronshift/codec.hpp (jobs and final states) and by src/persistence/stored_records.hpp (all others).
/// The prefixes, and the format of the values below each of them, are stored data. A new format therefore needs a new
/// prefix, and records that a version no longer writes must stay readable.
///
/// | prefix | key           | value                                                | written by                       |
/// |--------|---------------|------------------------------------------------------|----------------------------------|
/// | j/     | j/JOB         | a job: specification, times, final state             | the node it is submitted to; the |
/// |        |               |                                                      | leader when it is ready or over  |
/// | f/     | f/JOB         | the final state of a job, never changed or removed   | the leader                       |
/// | i/     | i/NUMBER      | write-ahead intents: which tasks may be on which     | the leader, before it sends the  |
/// |        |               | machines                                             | launches                         |
/// | q/     | q/0 to q/63   | the done tasks of a part of the jobs                 | the leader                       |
/// | c/     | c/NUMBER      | which images a part of the machines holds (a hint)   | the leader                       |
/// | l/     | l/0           | rates that a leader has measured (a hint)            | the leader                       |
/// | x/     | x/0 to x/31   | jobs that were cancelled because a dependency was    | the leader                       |
/// |        |               | and whose own f/JOB is not written yet               |                                  |
/// | p/     | p/0 to p/15   | as q/, fewer and longer records                      | versions before q/; only read    |
/// | m/     | m/MACHINE     | which tasks may be on this machine                   | versions before i/; read, then   |
/// | d/     | d/JOB         | the done tasks of a job and its final state          | removed                          |
///
/// Version 0.1.0, the only numbered one so far, has j/, f/, i/, q/, c/ and l/. During its development, i/ and p/
/// replaced m/ and d/; then q/ replaced p/, when jobs got dependencies. l/ and x/ were added after that, so a store may
/// be without them.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace heronshift::persistence {

inline constexpr std::string_view job_prefix = "j/";
inline constexpr std::string_view final_prefix = "f/";
inline constexpr std::string_view intent_prefix = "i/";
inline constexpr std::string_view progress_prefix = "q/";
inline constexpr std::string_view image_prefix = "c/";
inline constexpr std::string_view learned_prefix = "l/";
inline constexpr std::string_view cascade_prefix = "x/";
inline constexpr std::string_view legacy_progress_prefix = "p/"; ///< Such records are read but never written.
inline constexpr std::string_view legacy_machine_prefix = "m/";  ///< Such records are read and then removed.
inline constexpr std::string_view legacy_job_prefix = "d/";      ///< Such records are read and then removed.

inline constexpr std::size_t initial_intent_records = 32; ///< More records are added when these are full.
/// Never changed, since the number of a job's progress record is a hash of its id modulo this number.
inline constexpr std::size_t progress_record_count = 64;

/// All cascade records have to fit into one read of the store, which returns at most 512 KiB.
inline constexpr std::size_t max_cascade_records = 32;

[[nodiscard]] inline std::string record_key(std::string_view prefix, std::string_view name) {
    std::string key(prefix);
    key += name;
    return key;
}
[[nodiscard]] inline std::string job_key(std::string_view job) {
    return record_key(job_prefix, job);
}
[[nodiscard]] inline std::string final_key(std::string_view job) {
    return record_key(final_prefix, job);
}
[[nodiscard]] inline std::string intent_key(std::size_t number) {
    return record_key(intent_prefix, std::to_string(number));
}
[[nodiscard]] inline std::string progress_key(std::size_t number) {
    return record_key(progress_prefix, std::to_string(number));
}
[[nodiscard]] inline std::string image_key(std::size_t number) {
    return record_key(image_prefix, std::to_string(number));
}
[[nodiscard]] inline std::string cascade_key(std::size_t number) {
    return record_key(cascade_prefix, std::to_string(number));
}
[[nodiscard]] inline std::string learned_key() {
    return record_key(learned_prefix, "0");
}

/// Returns the number in the key of an intent, image or cascade record. Returns nothing if the key has no number, or
/// one that is larger than any that a leader writes.
[[nodiscard]] std::optional<std::size_t> record_number(const std::string& key);

/// Returns the part of a key that follows its prefix.
[[nodiscard]] inline std::string name_in_key(const std::string& key) {
    return key.substr(job_prefix.size()); // All prefixes have the same length.
}

} // namespace heronshift::persistence
