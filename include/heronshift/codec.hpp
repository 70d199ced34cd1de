/// Encoders and decoders between JSON bodies and typed messages, for users, workers, the cloud and the store.
///
/// The names and values of JSON fields appear only in this header and in src/codec. No function throws on malformed
/// input: the decoder of submissions returns the first invalid field (Invalid), and every other decoder returns an
/// empty optional or an empty string for the whole body, which the caller treats like a missing answer. Unknown fields
/// are ignored. An optional field that is missing or of another JSON type takes its default, except where a function
/// says otherwise. All functions are pure and may be called on any thread.
#pragma once

#include "heronshift/types.hpp"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace heronshift::codec {

using Json = nlohmann::json;

inline constexpr std::uint32_t max_tasks = 100'000; ///< Maximum number of tasks of one job.

/// Paths of HTTP requests.
inline constexpr std::string_view path_jobs = "/v2/runs", path_health = "/up", path_heartbeat = "/agent/beat",
                                  path_commands = "/commands", path_status = "/status", path_types = "/machine_types",
                                  path_rentals = "/rentals", path_release = "/rentals/release", path_store = "/store",
                                  path_txn = "/txn", path_leases = "/holds", path_follow = "/follow",
                                  suffix_cancel = "cancel", suffix_renew = "extend";

/// Why a submission is refused, as an error message for the user.
struct Invalid {
    std::string why; ///< "FIELD: problem" for an invalid field; a text without a field if the body is no JSON object.
};

/// Parses a JSON text without throwing. Returns a discarded value, which has no fields, if the text is not valid JSON.
[[nodiscard]] Json parse(std::string_view text);

/// Whether the id consists of "wk-" and 1 to 37 digits.
[[nodiscard]] bool valid_job_id(std::string_view id);

// Jobs.

/// Decodes a job submitted by a user. Returns Invalid with the first field that is missing or wrong. A malformed list
/// of dependencies makes the submission invalid as well.
[[nodiscard]] std::variant<JobSpec, Invalid> submission(std::string_view body);
/// Encodes a specification, in the same form for submissions and for the store. Optional fields with default values
/// are left out.
[[nodiscard]] Json to_json(const JobSpec& spec);
/// Decodes a stored specification. Returns nothing if a field is missing or wrong. A malformed list of dependencies is
/// not an error: dependencies_damaged is set, and the job waits for ever, since it must not start before its
/// dependencies are done.
[[nodiscard]] std::optional<JobSpec> spec_from_store(const Json& json);

/// The record of a job. While a job waits for its dependencies, its record holds the specification in the field
/// `words::waiting_spec` instead of `words::spec`. Versions without support for dependencies don't treat a record
/// without `words::spec` as a job to run, so a leader of such a version answers requests about the job but starts none
/// of its tasks.
struct StoredJob {
    JobSpec spec;
    double at = 0;      ///< When the job was submitted: wall clock, seconds since 1970.
    double ready = -1;  ///< When its dependencies were done: wall clock, seconds since 1970; below 0: when submitted.
    bool waits = false; ///< The job waits for its dependencies.
    std::string final;  ///< The final status, status_done or status_cancelled; empty if the job has not ended.
};
[[nodiscard]] Json to_record(const StoredJob& stored_job);
/// Decodes the record of a job. Returns nothing if it contains no valid specification. If the time of submission is
/// missing, `wall` is used, the current wall clock in seconds since 1970.
[[nodiscard]] std::optional<StoredJob> stored_job(const Json& value, double wall);
/// Reduces the specification of a job that has ended to the fields that are still needed, such as its team, its
/// number of tasks and their resources. The result is short, so that the record never exceeds the store's limit on
/// values.
[[nodiscard]] JobSpec remains_of(const JobSpec& spec);

/// The record of a final state.
struct StoredFinal {
    std::string status;   ///< status_done or status_cancelled.
    bool service = false; ///< Whether the job is a service; false in records of versions that didn't write the shape.
};
[[nodiscard]] Json final_record(std::string_view status, Shape shape);
/// Decodes the record of a final state. Returns nothing if the status is neither status_done nor status_cancelled.
[[nodiscard]] std::optional<StoredFinal> stored_final(const Json& value);

/// Values of a job's status.
inline constexpr std::string_view status_pending = "pending", status_running = "running", status_done = "done",
                                  status_cancelled = "withdrawn";
/// Encodes the answer to a user's request about a job, without and with the numbers of done and running tasks.
[[nodiscard]] std::string job_answer(const std::string& id, std::string_view status);
[[nodiscard]] std::string job_answer(const std::string& id, std::string_view status, std::uint64_t done,
                                     std::uint64_t running);
/// Encodes a submission, for clients.
[[nodiscard]] std::string to_body(const JobSpec& spec);
struct JobAnswer {
    std::string id, status;
    std::uint64_t done = 0, running = 0; ///< Numbers of tasks; 0 if the answer doesn't contain them.
};
/// Decodes job_answer(), for clients. Returns nothing if the id or the status is missing.
[[nodiscard]] std::optional<JobAnswer> job_answer_of(std::string_view body);

/// The name of a task: the job's id and the task's index, such as "wk-000412/3".
[[nodiscard]] std::string task_name(const std::string& job, std::uint32_t index);
/// Decodes task_name(). Returns false if the text is malformed or the index is not below max_tasks; `job` and `index`
/// are then unspecified.
[[nodiscard]] bool split_task(std::string_view text, std::string& job, std::uint32_t& index);

// Workers.

/// Decodes a heartbeat. Returns nothing if the machine, its agent epoch or its counter is missing or malformed, or if
/// any task is malformed: a heartbeat that omits a task proves that the task is no longer on the machine, so a task
/// that can't be decoded must not be dropped. An unknown exit cause becomes ExitCause::unknown.
[[nodiscard]] std::optional<Heartbeat> heartbeat(std::string_view body);
/// Encodes the answer to a heartbeat.
[[nodiscard]] std::string orders(std::uint64_t fencing_token, const std::vector<Order>& list);
/// Encodes a request that sends orders to a worker.
[[nodiscard]] std::string commands(std::uint64_t fencing_token, std::uint64_t agent_epoch,
                                   const std::vector<Order>& list);
/// The most bytes that one order takes in either, with the longest job id, index and attempt and a drain time of full
/// precision.
inline constexpr std::size_t max_order_bytes = 140;
/// Encodes an answer that redirects the worker's heartbeats to another node.
[[nodiscard]] std::string redirect(const std::string& node);
/// Encodes an error message. Bytes that are not valid UTF-8 are replaced.
[[nodiscard]] std::string error_answer(const std::string& what);
inline constexpr const char* not_now = R"({"error":"not now, try again"})";

/// Encodes a heartbeat. This and the next two decoders are the worker's side of the protocol, for emulators.
[[nodiscard]] std::string to_body(const Heartbeat& heartbeat);
/// The most bytes that a task takes in the list of a heartbeat, whatever state it is in and why it ended, if its index
/// and attempt are not above these. `may_save`: its progress may be saved when it is stopped.
[[nodiscard]] std::size_t max_listed_task_bytes(std::string_view job, std::uint32_t index, std::uint64_t attempt,
                                                bool may_save);
struct Orders {
    std::optional<std::uint64_t> fencing_token, agent_epoch; ///< Empty if missing or not an unsigned integer.
    std::vector<Order> list;
};
/// Decodes orders() and commands(). Returns nothing if any order is malformed or has an unknown verb.
[[nodiscard]] std::optional<Orders> read_orders(std::string_view body);
/// Decodes redirect(). Returns an empty string if the body is malformed or names no node.
[[nodiscard]] std::string redirected_to(std::string_view body);

// The cloud.

/// Decodes the list of machine types. Returns nothing if the list is empty, or if any type has no name, no CPUs or a
/// fetch rate that is not positive: if some types were dropped, the scheduler would rent machines of the wrong type.
[[nodiscard]] std::optional<std::vector<MachineType>> machine_types(std::string_view body);
[[nodiscard]] Json types_to_json(const std::vector<MachineType>& types);
/// Encodes a request to rent machines. `claim` is its idempotency key.
[[nodiscard]] std::string rental(const std::string& claim, const std::string& type, const std::string& zone, bool spot,
                                 int count);
/// Decodes the ids of rented machines. Returns nothing if the list is missing or any id is not a string.
[[nodiscard]] std::optional<std::vector<std::string>> rented(std::string_view body);
/// Encodes a request to release machines.
[[nodiscard]] std::string release(const std::vector<std::string>& machines);
struct MachinePage {
    std::vector<ListedMachine> machines;
    bool more = false; ///< Another page follows.
};
/// Decodes a page of the list of machines. Returns nothing if the list is missing or any machine has no id.
[[nodiscard]] std::optional<MachinePage> machine_page(std::string_view body);

/// A decoded rental(). This type and the next two functions are the cloud's side of the protocol, for emulators.
struct RentalRequest {
    std::string claim, type, zone;
    bool spot = false;
    int count = 0; ///< 1 to 50.
};
/// Decodes rental(). Returns nothing if the claim, the type or the zone is missing or the count is out of range.
[[nodiscard]] std::optional<RentalRequest> rental_request(std::string_view body);
[[nodiscard]] std::string to_body(const MachinePage& page);

// The store.

/// A condition of a transaction: the key must have this modification revision, or must not exist if that is 0.
struct Guard {
    std::string key;
    std::uint64_t mod_revision = 0;
};
struct Write {
    std::string key;
    std::optional<Json> value; ///< The new value; none: delete the key.
    std::uint64_t lease = 0;   ///< The lease that the key is attached to: the key is deleted when it ends; 0: none.
};
struct Item {
    std::string key;
    Json value;
    std::uint64_t mod_revision = 0;
    bool deleted = false;
    std::uint64_t lease = 0; ///< The lease that the key is attached to; 0: none, or the answer doesn't contain it.
};
struct Page {
    std::vector<Item> items;
    bool more = false;          ///< Another page follows.
    std::uint64_t revision = 0; ///< The store's revision at the time of the answer.
};

/// Encodes a transaction.
[[nodiscard]] std::string txn(const std::vector<Guard>& guards, const std::vector<Write>& writes);
/// Decodes the revision at which a transaction was applied. Returns nothing if it is missing, in which case the outcome
/// of the transaction is unknown.
[[nodiscard]] std::optional<std::uint64_t> revision_of(std::string_view body);
/// Decodes the keys of the guards that did not hold. Returns nothing if the list is missing; members that are not
/// strings are skipped.
[[nodiscard]] std::optional<std::vector<std::string>> failed_guards(std::string_view body);
/// Decodes one item. Returns nothing if the key or the modification revision is missing.
[[nodiscard]] std::optional<Item> item(std::string_view body);
/// Decodes a page of items. Returns nothing if the list or the revision is missing, or if any item is malformed.
[[nodiscard]] std::optional<Page> page(std::string_view body);
/// Decodes the changes to the keys under a watched prefix. Returns nothing if the revision is missing or any change is
/// malformed. A missing list means that nothing has changed.
[[nodiscard]] std::optional<Page> events(std::string_view body);
/// Encodes a request for a lease of `ttl_s` seconds, which the body gives in milliseconds.
[[nodiscard]] std::string lease_request(double ttl_s);
/// Decodes the id of a granted lease. Returns nothing if it is missing.
[[nodiscard]] std::optional<std::uint64_t> lease_of(std::string_view body);

/// Encodes the answer to the read of one item. This and the following functions are the store's side of the protocol,
/// for the file store and emulators.
[[nodiscard]] std::string item_answer(const Item& item);
[[nodiscard]] std::string page_answer(const Page& page);
[[nodiscard]] std::string events_answer(const Page& page);
[[nodiscard]] std::string revision_answer(std::uint64_t revision);
[[nodiscard]] std::string failed_answer(const std::vector<std::string>& failed, std::uint64_t revision);
[[nodiscard]] std::string lease_answer(std::uint64_t lease);
struct TxnRequest {
    std::vector<Guard> guards;
    std::vector<Write> writes;
};
/// Decodes txn(). Returns nothing if a guard has no modification revision, or if a write is neither a deletion nor has
/// a value. A missing key is decoded as an empty string, which the store refuses.
[[nodiscard]] std::optional<TxnRequest> txn_request(std::string_view body);
/// Decodes the duration from lease_request(), in milliseconds. Returns nothing if it is missing or above 1,000,000,000.
[[nodiscard]] std::optional<std::int64_t> ttl_ms_of(std::string_view body);
/// Decodes the error message of an answer. Returns an empty string if there is none.
[[nodiscard]] std::string store_error(std::string_view body);

} // namespace heronshift::codec
