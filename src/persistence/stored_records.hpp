/// Types for the values of stored records, with one encoder and one decoder for each kind of record. For records that
/// this version only reads there is just a decoder.
///
/// Job records and final records are in heronshift/codec.hpp, since nodes other than the leader use them as well.
/// Encoders produce the same bytes for the same record in all versions (tests/golden/records). Decoders return what can
/// be read of a damaged record; the comment of each decoder has the details.
#pragma once

#include "heronshift/codec.hpp"
#include "persistence/intents.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace heronshift::persistence {

/// i/NUMBER: write-ahead intents.
struct IntentRecord {
    intents::DecodedRecord content;
    std::size_t size = 0; ///< The bytes of the encoded text.
};
/// @param text the output of `intents::Writer`
[[nodiscard]] codec::Json encode_intents(std::string text);
/// Parts that cannot be read are reported in `content` (`unproven`, `damaged`) and never skipped silently, since the
/// tasks that they named may be running (invariant 5; ADamagedRecordKeepsItsMachineOccupiedUntilItIsProven).
[[nodiscard]] IntentRecord decode_intents(const codec::Json& value);

/// q/NUMBER and p/NUMBER: the done tasks of some jobs.
struct JobProgress {
    std::string job;
    std::string done; ///< Indices of tasks, in the format of `intents::encode_ranges`.
};
[[nodiscard]] codec::Json encode_progress(std::vector<JobProgress> jobs);
/// Returns the jobs in the order of their ids. Jobs whose ranges are not a string are left out, and a malformed record
/// gives no jobs. That is safe: tasks whose progress is lost are only run again.
[[nodiscard]] std::vector<JobProgress> decode_progress(const codec::Json& value);

/// x/NUMBER: the ids of jobs that were cancelled because a dependency was.
[[nodiscard]] codec::Json encode_cascade(const std::vector<std::string>& jobs);
/// Array elements that are not strings are left out, and a malformed record gives no jobs.
[[nodiscard]] std::vector<std::string> decode_cascade(const codec::Json& value);

/// c/NUMBER: which images some machines hold.
struct ImageRecord {
    struct Image {
        std::string name;
        double size_gb = 0;
    };
    std::vector<std::optional<Image>> images; ///< Empty if the image's entry is damaged.
    /// For each machine its id and the images that it holds, as indices in `images`.
    std::vector<std::pair<std::string, std::vector<std::size_t>>> held;
};
[[nodiscard]] codec::Json encode_images(const ImageRecord& record);
/// Returns the machines in the order of their ids. A malformed record gives an empty result. In `held`, indices are
/// left out if they are damaged or refer to no image or to a damaged one, so every remaining index refers to an image.
[[nodiscard]] ImageRecord decode_images(const codec::Json& value);

/// l/0: rates that a leader has measured, for the next leader.
struct LearnedRecord {
    double written_at = 0;                          ///< By the wall clock, in seconds since 1970.
    double offered_load = 0, offered_on_demand = 0; ///< Submitted work, averaged over time, decayed to `written_at`.
    double ran_s = 0, estimated_s = 0; ///< The run times of finished tasks, and what was estimated for them.
    double spot_losses = 0;            ///< Averaged over time, decayed to `written_at`.
};
[[nodiscard]] codec::Json encode_learned(const LearnedRecord& record);
/// Returns nothing if a number is missing, not finite, negative or beyond 1e12, or if `ran_s` or `estimated_s` is 0.
/// Only `offered_on_demand` becomes 0 instead, since earlier versions do not write it.
[[nodiscard]] std::optional<LearnedRecord> decode_learned(const codec::Json& value);

/// m/MACHINE of the earliest layout: which tasks may be on this machine.
struct LegacyMachineRecord {
    std::vector<intents::Intent> intents;
    bool damaged = false; ///< Whether there are tasks that could not be read and are missing from `intents`.
};
[[nodiscard]] LegacyMachineRecord decode_legacy_machine(const std::string& machine, const codec::Json& value);

/// d/JOB of the earliest layout: its done tasks and its final state.
struct LegacyJobRecord {
    std::string done; ///< Indices of tasks, in the format of `intents::encode_ranges`.
    /// `codec::status_done`, or any other text if the job was cancelled; empty if the job is not over.
    std::string final;
};
/// Returns nothing if the value is not an object.
/// @throws codec::Json::type_error if one of the fields is not a string
[[nodiscard]] std::optional<LegacyJobRecord> decode_legacy_job(const codec::Json& value);

} // namespace heronshift::persistence
