/// The names of JSON fields and values on the wire, each under the term that the code uses for it.
///
/// The names on the wire are defined by the services that this scheduler communicates with, and they never change.
/// Encoders and decoders use the constants of this header. Only the format strings of frequent messages (orders and
/// answers about jobs) contain some of the names literally.
#pragma once

#include "heronshift/types.hpp"

#include <cstddef>
#include <optional>
#include <string_view>

namespace heronshift::codec::wire {

// Fields of several kinds of messages.
inline constexpr const char* id = "id";
inline constexpr const char* status = "status";
inline constexpr const char* error = "error"; // error message, in an answer
inline constexpr const char* more = "more";   // whether another page follows

// Machines and their types.
inline constexpr const char* machine = "host";
inline constexpr const char* machines = "hosts";
inline constexpr const char* address = "addr";
inline constexpr const char* machine_type = "flavor";
inline constexpr const char* machine_types = "flavors"; // the cloud's list; in a job: those that it may run on
inline constexpr const char* zone = "yard";             // availability zone
inline constexpr const char* zones = "yards";
inline constexpr const char* spot = "standby"; // the cloud may reclaim the machine; in a job: it may run on such
inline constexpr const char* age_s = "ageS";
inline constexpr const char* name = "name";
inline constexpr const char* cpus = "cpus";
inline constexpr const char* gpus = "accelerators";
inline constexpr const char* memory_gb = "memGb";
inline constexpr const char* cache_gb = "cacheGb"; // size of the image cache
inline constexpr const char* fetch_gb_per_s = "fetchGbPerS";
inline constexpr const char* price = "rate";
inline constexpr const char* spot_price = "lowPrice";
inline constexpr const char* boot_s = "bootS";
inline constexpr const char* claim = "claim"; // idempotency key of a rental
inline constexpr const char* count = "number";

// Workers.
inline constexpr const char* agent_epoch = "tenure"; // grows with each start of the agent
inline constexpr const char* counter = "counter";    // number of the heartbeat within the agent epoch
inline constexpr const char* fencing_token = "fence";
inline constexpr const char* notice_s = "evictionInS"; // time until the cloud reclaims the machine
inline constexpr const char* task = "shard";           // "JOB/INDEX"
inline constexpr const char* tasks = "shards";         // in a job: the number of tasks; in a heartbeat: the list
inline constexpr const char* attempt = "try";
inline constexpr const char* exit_cause = "exitCause";
inline constexpr const char* saved = "stored"; // a checkpoint was saved
inline constexpr const char* orders = "orders";
inline constexpr const char* verb = "verb";
inline constexpr const char* drain_s = "drainS";
inline constexpr const char* redirected_to = "reportsTo"; // the node that the worker's heartbeats have to go to

// Jobs.
inline constexpr const char* job_class = "jobclass";
inline constexpr const char* team = "owner";
inline constexpr const char* shape = "shape";
inline constexpr const char* priority = "rank";
inline constexpr const char* image = "bundle";
inline constexpr const char* image_gb = "imageGb";
inline constexpr const char* one_zone = "together"; // all tasks in one zone
inline constexpr const char* spread = "scatter";    // tasks in different zones
inline constexpr const char* estimate_s = "expectedS";
inline constexpr const char* checkpoint_s = "snapshotEveryS"; // interval between checkpoints
inline constexpr const char* save_s = "snapshotS";            // duration of a checkpoint
inline constexpr const char* deadline_s = "dueS";             // relative to the submission
inline constexpr const char* dependencies = "waitsOn";
inline constexpr const char* done = "done";       // number of tasks that are done
inline constexpr const char* running = "running"; // number of tasks that are running

// Records of jobs and final states.
inline constexpr const char* spec = "spec";
inline constexpr const char* waiting_spec = "chain"; // instead of `spec` while the job waits, see StoredJob
inline constexpr const char* submitted_at = "at";
inline constexpr const char* ready_at = "ready";
inline constexpr const char* final_state = "final";
inline constexpr const char* final_status = "s";

// The store.
inline constexpr const char* key = "k";
inline constexpr const char* mod_revision = "stamp";
inline constexpr const char* value = "data";
inline constexpr const char* put = "set";      // the key that a transaction writes, or that was written in a change
inline constexpr const char* erase = "delete"; // the key that a transaction deletes, or that was deleted in a change
inline constexpr const char* lease = "lease";
inline constexpr const char* ttl_ms = "ttlMs"; // duration of a lease
inline constexpr const char* revision = "epoch";
inline constexpr const char* guards = "guards"; // conditions of a transaction
inline constexpr const char* writes = "writes";
inline constexpr const char* failed_guards = "failed";
inline constexpr const char* items = "entries";
inline constexpr const char* changes = "events";

// Values of enumerations.
template <class Enum> struct WireName {
    Enum value;
    std::string_view wire_name;
};
inline constexpr WireName<Shape> shapes[] = {
    {Shape::array, "array"},
    {Shape::gang, "gang"},
    {Shape::service, "daemon"},
};
inline constexpr WireName<Priority> priorities[] = {
    {Priority::critical, "critical"},
    {Priority::high, "high"},
    {Priority::normal, "normal"},
    {Priority::low, "low"},
};
inline constexpr WireName<TaskState> task_states[] = {
    {TaskState::fetching, "fetching"},                                // the image is being fetched
    {TaskState::waiting, "gathering"},                                // for the other tasks of its gang
    {TaskState::running, "running"},   {TaskState::saving, "saving"}, // saving a checkpoint
    {TaskState::ended, "ended"},
};
inline constexpr WireName<ExitCause> exit_causes[] = {
    {ExitCause::done, "done"},        {ExitCause::stopped, "stopped"},
    {ExitCause::peers, "mates_gone"}, // another task of its gang has ended
    {ExitCause::alone, "incomplete"}, // its gang did not become complete in time
    {ExitCause::error, "error"},      {ExitCause::no_room, "no_room"},
    {ExitCause::busy, "in_use"},      {ExitCause::unknown, "unknown"},
};
inline constexpr WireName<Verb> verbs[] = {
    {Verb::launch, "launch"}, {Verb::stop, "stop"}, {Verb::reap, "reap"}, // discard an ended task
};

/// Returns the name on the wire of an enumerator. An enumerator that is not in the table (ExitCause::none) gets the
/// last name of the table.
template <class Enum, std::size_t entry_count>
[[nodiscard]] constexpr std::string_view wire_name_of(const WireName<Enum> (&table)[entry_count], Enum value) {
    for (const auto& entry : table)
        if (entry.value == value)
            return entry.wire_name;
    return table[entry_count - 1].wire_name;
}
/// Returns the enumerator with the name `wire_name` on the wire, or nothing if there is none.
template <class Enum, std::size_t entry_count>
[[nodiscard]] constexpr std::optional<Enum> enumerator_of(const WireName<Enum> (&table)[entry_count],
                                                          std::string_view wire_name) {
    for (const auto& entry : table)
        if (entry.wire_name == wire_name)
            return entry.value;
    return {};
}

} // namespace heronshift::codec::wire
