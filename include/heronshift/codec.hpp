/// Translation between JSON bodies and typed messages: users, workers, the cloud and the store.
///
/// The words of the wire stand only here and in src/codec. No function throws on malformed input: a
/// submission that is refused names its field (Invalid), every other decoder returns an empty optional
/// (or an empty string) for the whole body, so that the caller treats it as no answer. Unknown fields are
/// ignored. An optional field that is missing or of another JSON type counts as its default, except where
/// a function says otherwise. All functions are pure and may be called on any thread.
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

inline constexpr std::uint32_t max_tasks = 100'000; ///< Of one job.

/// Paths of HTTP requests.
inline constexpr std::string_view path_jobs = "/v2/runs", path_health = "/up", path_heartbeat = "/agent/beat",
                                  path_commands = "/commands", path_status = "/status", path_types = "/machine_types",
                                  path_rentals = "/rentals", path_release = "/rentals/release", path_store = "/store",
                                  path_txn = "/txn", path_leases = "/holds", path_follow = "/follow",
                                  suffix_cancel = "cancel", suffix_renew = "extend";

/// Why a submission is refused: "FIELD: what is wrong", to be told to the user.
struct Invalid {
    std::string why;
};

/// Parses without exceptions; what is not JSON gives a discarded value, which has no fields.
[[nodiscard]] Json parse(std::string_view text);

/// Whether it has the form "wk-" and 1 to 37 digits.
[[nodiscard]] bool valid_job_id(std::string_view id);

// Jobs.

/// Decodes what a user submits. Invalid names the first field that is missing or wrong, a list of
/// dependencies that is damaged included.
[[nodiscard]] std::variant<JobSpec, Invalid> submission(std::string_view body);
/// A specification as submitted and as stored; fields at their defaults are left out.
[[nodiscard]] Json to_json(const JobSpec& spec);
/// Decodes a stored specification. Empty if a field is missing or wrong. A damaged list of dependencies is
/// not an error: dependencies_damaged is set, and the job waits for ever rather than start too early.
[[nodiscard]] std::optional<JobSpec> spec_from_store(const Json& json);

/// The record of a job. One that waits for its dependencies has its specification under another name than
/// the rest: versions without dependencies take a record without that field for no job of theirs, so that
/// a leader of such a version answers for it and starts nothing of it.
struct StoredJob {
    JobSpec spec;
    double at = 0;      ///< When it was submitted, wall clock (seconds since 1970).
    double ready = -1;  ///< When it became ready, wall clock; below zero: when it was submitted.
    bool waits = false; ///< Until its dependencies are done.
    std::string final;  ///< status_done or status_cancelled; empty: none yet.
};
[[nodiscard]] Json to_record(const StoredJob& stored_job);
/// Decodes the record of a job. Empty if there is no valid specification in it; a missing time of submission
/// counts as `wall` (now, seconds since 1970).
[[nodiscard]] std::optional<StoredJob> stored_job(const Json& value, double wall);
/// What still matters of a job that is final: its size and its team. Short, so that its record always fits.
[[nodiscard]] JobSpec remains_of(const JobSpec& spec);

/// The record of a final state.
struct StoredFinal {
    std::string status;   ///< status_done or status_cancelled.
    bool service = false; ///< False also in records of versions that did not say it.
};
[[nodiscard]] Json final_record(std::string_view status, Shape shape);
/// Decodes a final state. Empty for any other status.
[[nodiscard]] std::optional<StoredFinal> stored_final(const Json& value);

/// Values of a job's status.
inline constexpr std::string_view status_pending = "pending", status_running = "running", status_done = "done",
                                  status_cancelled = "withdrawn";
/// What a user is told of a job, without and with its numbers of tasks.
[[nodiscard]] std::string job_answer(const std::string& id, std::string_view status);
[[nodiscard]] std::string job_answer(const std::string& id, std::string_view status, std::uint64_t done,
                                     std::uint64_t running);
/// The body of a submission, for clients.
[[nodiscard]] std::string to_body(const JobSpec& spec);
struct JobAnswer {
    std::string id, status;
    std::uint64_t done = 0, running = 0; ///< Tasks; 0 where the answer does not say it.
};
/// Decodes job_answer(), for clients. Empty without an id and a status.
[[nodiscard]] std::optional<JobAnswer> job_answer_of(std::string_view body);

/// The name of a task, "wk-000412/3".
[[nodiscard]] std::string task_name(const std::string& job, std::uint32_t index);
/// Decodes task_name(). False if it is malformed or the index is not below max_tasks; the out parameters then
/// have no defined value.
[[nodiscard]] bool split_task(std::string_view text, std::string& job, std::uint32_t& index);

// Workers.

/// Decodes a heartbeat. Empty if the machine, its agent epoch, its counter or any task is missing or
/// malformed, since a heartbeat without one of its tasks would prove that the task is gone. An unknown exit
/// cause is ExitCause::unknown.
[[nodiscard]] std::optional<Heartbeat> heartbeat(std::string_view body);
/// The answer to a heartbeat.
[[nodiscard]] std::string orders(std::uint64_t fencing_token, const std::vector<Order>& list);
/// A request with orders to a worker.
[[nodiscard]] std::string commands(std::uint64_t fencing_token, std::uint64_t agent_epoch,
                                   const std::vector<Order>& list);
/// Names the node that takes the worker's heartbeats.
[[nodiscard]] std::string redirect(const std::string& node);
/// Any refusal; bytes that are not UTF-8 are replaced.
[[nodiscard]] std::string error_answer(const std::string& what);
inline constexpr const char* not_now = R"({"error":"not now, try again"})";

/// The worker's side, for emulators.
[[nodiscard]] std::string to_body(const Heartbeat& heartbeat);
struct Orders {
    std::optional<std::uint64_t> fencing_token, agent_epoch; ///< None: the field is missing or no unsigned integer.
    std::vector<Order> list;
};
/// Decodes orders() and commands(). Empty if any order is malformed or its verb unknown.
[[nodiscard]] std::optional<Orders> read_orders(std::string_view body);
/// Decodes redirect(). Empty: malformed or to nobody.
[[nodiscard]] std::string redirected_to(std::string_view body);

// The cloud.

/// Decodes the list of machine types. Empty if the list is empty, or one of them has no name, no CPUs or a
/// fetch rate that is not positive: planning with a part of the types would rent the wrong ones.
[[nodiscard]] std::optional<std::vector<MachineType>> machine_types(std::string_view body);
[[nodiscard]] Json types_to_json(const std::vector<MachineType>& types);
[[nodiscard]] std::string rental(const std::string& claim, const std::string& type, const std::string& zone, bool spot,
                                 int count);
/// Decodes the ids of rented machines. Empty if one of them is not a string.
[[nodiscard]] std::optional<std::vector<std::string>> rented(std::string_view body);
[[nodiscard]] std::string release(const std::vector<std::string>& machines);
struct MachinePage {
    std::vector<ListedMachine> machines;
    bool more = false; ///< Another page follows.
};
/// Decodes a page of the list of machines. Empty if one of them has no id.
[[nodiscard]] std::optional<MachinePage> machine_page(std::string_view body);

/// The cloud's side, for emulators.
struct RentalRequest {
    std::string claim, type, zone;
    bool spot = false;
    int count = 0; ///< 1 to 50.
};
/// Decodes rental(). Empty if a name is missing or the count is out of range.
[[nodiscard]] std::optional<RentalRequest> rental_request(std::string_view body);
[[nodiscard]] std::string to_body(const MachinePage& page);

// The store.

/// A condition of a transaction: the key has this revision; 0: it does not exist.
struct Guard {
    std::string key;
    std::uint64_t mod_revision = 0;
};
struct Write {
    std::string key;
    std::optional<Json> value; ///< None: delete.
    std::uint64_t lease = 0;   ///< The key goes when this lease ends; 0: it stays.
};
struct Item {
    std::string key;
    Json value;
    std::uint64_t mod_revision = 0;
    bool deleted = false;
    std::uint64_t lease = 0; ///< That the key is attached to, if the store said so.
};
struct Page {
    std::vector<Item> items;
    bool more = false;          ///< Another page follows.
    std::uint64_t revision = 0; ///< Of the store when it answered.
};

/// The body of a transaction.
[[nodiscard]] std::string txn(const std::vector<Guard>& guards, const std::vector<Write>& writes);
/// Decodes the revision that a transaction was applied at. Empty if there is none: the outcome is unknown.
[[nodiscard]] std::optional<std::uint64_t> revision_of(std::string_view body);
/// Decodes the keys of the guards that did not hold. Empty if there is no such list; members that are not
/// strings are left out.
[[nodiscard]] std::optional<std::vector<std::string>> failed_guards(std::string_view body);
/// Decodes one item. Empty without a key or a revision.
[[nodiscard]] std::optional<Item> item(std::string_view body);
/// Decodes a page of items. Empty without a revision, or if any item is malformed.
[[nodiscard]] std::optional<Page> page(std::string_view body);
/// Decodes the changes below a watched prefix. Empty without a revision, or if any change is malformed; a
/// missing list means no change.
[[nodiscard]] std::optional<Page> events(std::string_view body);
/// The body of a request for a lease of that many seconds (milliseconds on the wire).
[[nodiscard]] std::string lease_request(double ttl_s);
/// Decodes the id of a granted lease. Empty if there is none.
[[nodiscard]] std::optional<std::uint64_t> lease_of(std::string_view body);

/// The store's side, for the file store and emulators.
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
/// Decodes txn(). Empty if a guard has no revision, or a write is neither a deletion nor has a value; keys may be
/// empty strings, which the store refuses.
[[nodiscard]] std::optional<TxnRequest> txn_request(std::string_view body);
/// Decodes lease_request(), milliseconds. Empty if there is none or it is above 1,000,000,000.
[[nodiscard]] std::optional<std::int64_t> ttl_ms_of(std::string_view body);
/// What an answer says is wrong; empty if it says nothing.
[[nodiscard]] std::string store_error(std::string_view body);

} // namespace heronshift::codec
