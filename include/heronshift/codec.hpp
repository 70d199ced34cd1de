// The only place that knows the words of the wire. Everything malformed comes back as an error
// value: a bad submission names its field, a bad answer of a worker, the cloud or the store is
// treated as no answer.
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

inline constexpr std::uint32_t max_tasks = 100'000; // of one job

inline constexpr std::string_view path_jobs = "/v2/runs", path_health = "/up", path_heartbeat = "/agent/beat",
                                  path_commands = "/commands", path_status = "/status", path_types = "/machine_types",
                                  path_rentals = "/rentals", path_release = "/rentals/release", path_store = "/store",
                                  path_txn = "/txn", path_leases = "/holds", path_follow = "/follow",
                                  suffix_cancel = "cancel", suffix_renew = "extend";

struct Invalid {
    std::string why;
};

// Parses without exceptions; a discarded value means it is not JSON.
Json parse(std::string_view text);

bool valid_job_id(std::string_view id);

std::variant<JobSpec, Invalid> submission(std::string_view body);
Json to_json(const JobSpec& spec); // as the store keeps it
std::optional<JobSpec> spec_from_store(const Json& json);

// The record of a job. One that waits for others has its spec under another name than the rest: the
// versions before chains take a record without "spec" for no job of theirs, so that such a leader
// answers for it and starts nothing of it.
struct StoredJob {
    JobSpec spec;
    double at = 0;      // by the wall clock: when it was submitted
    double ready = -1;  // and since when it is ready; below zero: since it was submitted
    bool waits = false; // for jobs it needs
    std::string final;  // empty: none yet
};
Json to_record(const StoredJob& stored_job);
std::optional<StoredJob> stored_job(const Json& value, double wall);
// Once a job is final only its size and its team still matter, so that its record always fits.
JobSpec remains_of(const JobSpec& spec);
Json final_record(std::string_view status, Shape shape);
struct StoredFinal {
    std::string status;
    bool service = false; // if known
};
std::optional<StoredFinal> stored_final(const Json& value);

std::string job_answer(const std::string& id, std::string_view status);
std::string job_answer(const std::string& id, std::string_view status, std::uint64_t done, std::uint64_t running);
inline constexpr std::string_view status_pending = "pending", status_running = "running", status_done = "done",
                                  status_cancelled = "withdrawn";

std::optional<Heartbeat> heartbeat(std::string_view body);
std::string orders(std::uint64_t fencing_token, const std::vector<Order>& list);
std::string commands(std::uint64_t fencing_token, std::uint64_t agent_epoch, const std::vector<Order>& list);
std::string redirect(const std::string& node);
std::string error_answer(const std::string& what);
inline constexpr const char* not_now = R"({"error":"not now, try again"})";
// The worker's side, for emulators.
std::string to_body(const Heartbeat& heartbeat);
struct Orders {
    std::optional<std::uint64_t> fencing_token, agent_epoch; // none: the field is missing
    std::vector<Order> list;
};
std::optional<Orders> read_orders(std::string_view body);
std::string redirected_to(std::string_view body); // empty: to nobody

std::optional<std::vector<MachineType>> machine_types(std::string_view body);
Json types_to_json(const std::vector<MachineType>& types);
std::string rental(const std::string& claim, const std::string& type, const std::string& zone, bool spot, int count);
std::optional<std::vector<std::string>> rented(std::string_view body);
std::string release(const std::vector<std::string>& machines);
struct MachinePage {
    std::vector<ListedMachine> machines;
    bool more = false;
};
std::optional<MachinePage> machine_page(std::string_view body);
// The cloud's side, for emulators.
struct RentalRequest {
    std::string claim, type, zone;
    bool spot = false;
    int count = 0;
};
std::optional<RentalRequest> rental_request(std::string_view body);
std::string to_body(const MachinePage& p);
// The user's side.
std::string to_body(const JobSpec& spec);
struct JobAnswer {
    std::string id, status;
    std::uint64_t done = 0, running = 0;
};
std::optional<JobAnswer> job_answer_of(std::string_view body);

// Store.
struct Guard {
    std::string key;
    std::uint64_t mod_revision = 0;
};
struct Write {
    std::string key;
    std::optional<Json> value; // none: delete
    std::uint64_t lease = 0;
};
struct Item {
    std::string key;
    Json value;
    std::uint64_t mod_revision = 0;
    bool deleted = false;
    std::uint64_t lease = 0; // that it hangs on, if the store said so
};
struct Page {
    std::vector<Item> items;
    bool more = false;
    std::uint64_t revision = 0;
};
// The store's side, for emulators.
std::string item_answer(const Item& i);
std::string page_answer(const Page& p);
std::string events_answer(const Page& p);
std::string revision_answer(std::uint64_t revision);
std::string failed_answer(const std::vector<std::string>& failed, std::uint64_t revision);
std::string lease_answer(std::uint64_t lease);
struct TxnRequest {
    std::vector<Guard> guards;
    std::vector<Write> writes;
};
std::optional<TxnRequest> txn_request(std::string_view body);
std::optional<std::int64_t> ttl_ms_of(std::string_view body);
std::string store_error(std::string_view body); // what an answer says is wrong

std::string txn(const std::vector<Guard>& guards, const std::vector<Write>& writes);
std::optional<std::uint64_t> revision_of(std::string_view body);
std::optional<std::vector<std::string>> failed_guards(std::string_view body);
std::optional<Item> item(std::string_view body);
std::optional<Page> page(std::string_view body);
std::optional<Page> events(std::string_view body);
std::string lease_request(double ttl_s);
std::optional<std::uint64_t> lease_of(std::string_view body);

// "wk-000412/3" <-> job and index.
bool split_task(std::string_view text, std::string& job, std::uint32_t& index);
std::string task_name(const std::string& job, std::uint32_t index);

} // namespace heronshift::codec
