/// The values of stored records as types, with one encoder and one decoder for each kind.
///
/// Jobs and final states are in heronshift/codec.hpp, since nodes that do not lead use them as well. Encoders give the
/// same bytes for the same record in all versions (tests/golden/records). Decoders keep what they can read of a
/// damaged record, as each one says.
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
    intents::Read content;
    std::size_t size = 0; ///< Of its text, bytes.
};
/// @param text made by intents::Writer
[[nodiscard]] codec::Json encode_intents(std::string text);
/// What cannot be read is marked in the content (unproven, damaged), never dropped in silence: the tasks that it
/// named may be running (invariant 5; ADamagedRecordKeepsItsMachineOccupiedUntilItIsProven).
[[nodiscard]] IntentRecord decode_intents(const codec::Json& value);

/// q/NUMBER and p/NUMBER: the done tasks of some jobs.
struct JobProgress {
    std::string job;
    std::string done; ///< Ranges of indices, see intents::ranges_of().
};
[[nodiscard]] codec::Json encode_progress(std::vector<JobProgress> jobs);
/// In the order of the jobs' ids. Leaves out jobs whose ranges are not a string; a malformed record has no jobs: what
/// is lost is only run again.
[[nodiscard]] std::vector<JobProgress> decode_progress(const codec::Json& value);

/// x/NUMBER: the ids of jobs that are cancelled since a job that they need is.
[[nodiscard]] codec::Json encode_cascade(const std::vector<std::string>& jobs);
/// Leaves out what is no string; a malformed record names nobody.
[[nodiscard]] std::vector<std::string> decode_cascade(const codec::Json& value);

/// c/NUMBER: which images some machines hold.
struct ImageRecord {
    struct Image {
        std::string name;
        double size_gb = 0;
    };
    std::vector<std::optional<Image>> images;                           ///< None: damaged.
    std::vector<std::pair<std::string, std::vector<std::size_t>>> held; ///< Per machine: indices into images.
};
[[nodiscard]] codec::Json encode_images(const ImageRecord& record);
/// In the order of the machines' ids. A malformed record is empty; damaged images and indices are left out, so that
/// every index is that of an image.
[[nodiscard]] ImageRecord decode_images(const codec::Json& value);

/// l/0: rates that a leader has measured, for the next one.
struct LearnedRecord {
    double written_at = 0;                         ///< Wall clock, seconds since 1970.
    double offered_load = 0, offered_ordinary = 0; ///< Work that comes in, decayed to written_at.
    double ran_s = 0, estimated_s = 0;             ///< Of finished tasks: run times, and their estimates.
    double spot_losses = 0;                        ///< Decayed to written_at.
};
[[nodiscard]] codec::Json encode_learned(const LearnedRecord& record);
/// Empty if a number is missing, not finite, negative or beyond 1e12; offered_ordinary is 0 where it is missing, since
/// earlier versions do not write it.
[[nodiscard]] std::optional<LearnedRecord> decode_learned(const codec::Json& value);

/// m/MACHINE of the earliest layout: which tasks may be on this machine.
struct EarlierMachineRecord {
    std::vector<intents::Intent> intents;
    bool damaged = false; ///< Tasks that could not be read are missing.
};
[[nodiscard]] EarlierMachineRecord decode_earlier_machine(const std::string& machine, const codec::Json& value);

/// d/JOB of the earliest layout: its done tasks and its final state.
struct EarlierJobRecord {
    std::string done;  ///< Ranges of indices.
    std::string final; ///< codec::status_done or another word for cancelled; empty: none yet.
};
/// Empty if it is no object.
/// @throws codec::Json::type_error if one of the fields is not a string
[[nodiscard]] std::optional<EarlierJobRecord> decode_earlier_job(const codec::Json& value);

} // namespace heronshift::persistence
