// The state of the cluster as the leader sees it: jobs, tasks, machines, teams. Plain
// data. Policies get it const, and const reaches through every pointer in it; only ClusterState
// changes it. Times are seconds of the steady clock unless they are called wall.
#pragma once

#include "heronshift/config.hpp"
#include "heronshift/messages.hpp"
#include "heronshift/types.hpp"

#include <algorithm>
#include <deque>
#include <experimental/propagate_const>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace heronshift::cluster {

// A pointer that is as const as what holds it, so that a const view cannot be written through.
template <class T> using PropagateConst = std::experimental::propagate_const<T>;

// fencing token = term << token_counter_bits | increments within the term. Each machine's are its own, whatever their
// number: one for each launch whose outcome is open or lease that ran out, so one in report_s / 2 at most. 2^24 of them
// take nine months of one term with report_s 3; terms have 40 bits.
inline constexpr int token_counter_bits = 24;
// attempt = term << try_bits | passes within the term, one in report_s / 60 at most: seven years of a term.
inline constexpr int attempt_counter_bits = 32;

enum class Phase : std::uint8_t { intent, storing, stored, sent, fetching, waiting, running, saving };
enum class Final : std::uint8_t { none, done, cancelled };
enum class Status : std::uint8_t { booting, up, lost };

struct Job;
struct Machine;

struct Task {
    bool done = false, stored = false, queued = false;
    std::uint8_t live = 0, failures = 0;
    std::uint8_t blamed = 0; // times a machine was taken for slow by this task
    float saved_s = 0;       // progress known to be saved, estimated
};

struct Entry { // one task on one machine, as far as anyone can tell
    PropagateConst<Machine*> machine = nullptr;
    PropagateConst<Job*> job = nullptr;
    std::uint32_t index = 0;
    std::uint64_t attempt = 0, agent_epoch = 0, fencing_token = 0;
    Phase phase = Phase::intent;
    bool recorded = false; // its record is in the store
    bool seen = false;     // in a heartbeat of this machine
    bool stop = false;     // must end
    bool moving = false;   // stopped to be started elsewhere
    double drain_s = 0, stop_at = -1, placed_at = 0, running_at = -1;
    std::uint64_t listed = 0;                            // the last heartbeat that listed it
    int slot = -1;                                       // of the ring; -1: not in a record yet
    int carried_from = -1;                               // the record that still names it while it moves to another
    std::size_t at_machine = 0, at_job = 0, at_slot = 0; // its places in those lists
};

struct Job {
    JobSpec spec;
    int team = -1, image = -1;
    std::size_t bucket = 0;                    // of the progress records
    double submitted = 0, start_within_s = -1; // the aim of its class, below zero: none
    double ready = 0;                          // since when: all but the deadline counts from there
    bool waits = false;                        // for jobs it needs; nothing of it may start
    bool ready_recorded = true;                // its record no longer says that it waits
    std::vector<std::string> unmet;            // needed, and not known to be done in the store
    Priority priority = Priority::normal;      // the most urgent of its own and those that need it
    double latest = -1;                        // when those that need it want it done; below zero: never
    std::vector<Task> tasks;
    std::deque<std::uint32_t> pending;
    std::vector<PropagateConst<Entry*>> entries;
    std::uint32_t done = 0, live = 0, running = 0;
    Final final = Final::none;
    bool final_stored = false, final_queued = false, guaranteed = false;
    bool final_sent = false;             // to the store, which may hold it and tell others before its answer comes
    std::uint32_t open_launches = 0;     // of a cancelled job: its final state is stored once they are settled
    std::vector<std::uint32_t> unstored; // done, not yet in the store
    std::vector<std::uint32_t> zone_live;
    std::uint32_t on_pool = 0;
    std::uint64_t gang_attempt = 0;
    bool gang_breaking = false;
    double not_before = 0;
    int error_streak = 0;
    std::set<std::string> error_machines;
    bool had_success = false;
    std::uint32_t runs = 0; // tasks that ran to their end, and the longest of them
    double longest_run = 0, run_sum = 0;
    std::vector<std::uint64_t> cancels;
    double first_start = -1, room_until = -1;
    bool good_room = false; // being made for its replicas
};

struct CachedImage {
    int image = -1;
    bool ready = false; // else being fetched
    double used = 0;
};

struct Machine {
    std::string id, addr;
    int type = -1, zone = -1;
    std::string type_name, zone_name;
    bool spot = false;
    Status status = Status::booting;
    std::uint64_t agent_epoch = 0, counter = 0, fencing_token = 0;
    std::uint64_t heartbeat_counter = 0; // of its newest heartbeat that was no answer to orders
    double lease_started_at = -1;        // the last heartbeat answered: its lease counts from there
    double last_heartbeat_at = -1;       // the last sign of life
    // Whether it hears us. That its heartbeats come proves nothing: what they show does.
    bool proven = false;                   // has shown this term's fencing token
    std::uint64_t acknowledged_token = 0;  // the highest fencing token that one of its heartbeats was answered with
    double token_acknowledged_at = -1;     // and when first
    int heartbeats_without_token = 0;      // reports in a row that still show a lower one
    double last_answered_at = -1;          // its last heartbeat by us
    double lease_expired_at = -1;          // its lease had run out
    double inbound_unreachable_since = -1; // below zero: it hears
    double inbound_unreachable_until = -1; // its lease ran out again though we answered: trusted only after that
    double relay_orders_until = -1;        // orders do not reach it directly: by way of others until then
    double known_since = 0, up_since = -1;
    std::vector<PropagateConst<std::unique_ptr<Entry>>> entries;
    Resources used, whole;
    Resources firm;             // used by what nothing takes the place of
    bool retiring = false;      // to become empty and go back
    bool presumed_dead = false; // a spot machine gone silent: given back, so that it is surely gone
    double asked_at = -1;
    bool pool = false, draining = false, bad = false, releasing = false, release_asked = false;
    double release_retry = 0;
    double notice_until = -1;
    double empty_since = -1, avoid_until = 0, listed_at = -1;
    std::vector<CachedImage> images; // cached as far as known
    std::set<std::string> failed_jobs;
    std::uint64_t batch = 0; // in flight, 0: none
    bool asked = false;      // it is a question, without orders
    bool wants_orders = false;
    bool to_be_asked = false;           // waits to be asked for a heartbeat
    const void* reserved_for = nullptr; // room is being made for this job; only compared
    Priority reserved_priority = Priority::low;
    double reserved_until = -1;
    int reserved_tasks = 0;
    double slow_until = -1; // its tasks take far longer than their siblings elsewhere
    int slow_seen = 0;

    [[nodiscard]] bool inbound_unreachable() const {
        return inbound_unreachable_since >= 0;
    }
    [[nodiscard]] bool has_image(int image) const {
        return std::any_of(images.begin(), images.end(),
                           [&](const CachedImage& cached) { return cached.image == image && cached.ready; });
    }
};

struct Team {
    TeamLimits limits;
    Resources used;
    std::vector<PropagateConst<Job*>> jobs;
};

struct Pending { // rentals asked for, not answered
    std::string type, zone;
    bool spot = false;
    int count = 0;
    double asked = 0;
    bool in_flight = true;
};

// What the day has taught; goes from leader to leader through the store.
struct Learned {
    double offered = 0, offered_at = 0;         // work that arrays bring, in CPUs, averaged
    double offered_ordinary = 0;                // of that: may not use spot machines
    double gap_s = 0, gaps = 0;                 // between arrays, averaged over so many; this leader's own
    double spot_losses = 0, spot_losses_at = 0; // of machines, averaged
    double ran_s = 1, estimated_s = 1;          // of tasks done lately
    [[nodiscard]] double bias() const {
        return std::clamp(ran_s / estimated_s, 0.3, 3.0);
    }
};

struct ClusterData {
    explicit ClusterData(const Settings& s) : settings(s) {}
    const Settings& settings;
    std::uint64_t term = 0;
    double now = 0, wall = 0, started = 0;
    double unserved_at = -1e18; // when the store last was late or refused: then jobs may come and not be stored
    std::vector<MachineType> types;
    std::vector<Team> teams;
    std::unordered_map<std::string, PropagateConst<std::unique_ptr<Job>>> jobs;
    std::map<std::string, PropagateConst<std::unique_ptr<Machine>>> machines;
    std::vector<double> image_gb; // by image
    std::map<std::string, Pending> rentals;
    std::map<std::string, double> no_capacity; // "type/zone/kind" -> not before
    Resources common_shape, service_shape;     // of what waits most; the largest replica
    Learned learned;
    std::size_t spot_machines = 0; // up, when last counted
    bool asked_all = false;        // the list has told once which machines there are
    // Machines whose records were damaged: until they have reported to us or their leases have
    // surely expired, any task read at the failover may be on them.
    std::set<std::string> unproven_machines;
    double unproven_until = 0;

    [[nodiscard]] const Job* find_job(const std::string& id) const {
        const auto it = jobs.find(id);
        return it == jobs.end() ? nullptr : it->second.get();
    }
    [[nodiscard]] const MachineType* type_of(const std::string& name) const {
        for (const auto& type : types)
            if (type.name == name)
                return &type;
        return nullptr;
    }
    [[nodiscard]] bool unproven() const {
        return !unproven_machines.empty() && now < unproven_until;
    }
    // Over which work and losses are averaged.
    [[nodiscard]] double average_s() const;
    // CPU seconds that the tasks not done yet take by their owner's estimate.
    [[nodiscard]] double work_left(const Job& job) const;
    // When a job should be complete, by its owner's deadline, by those that need it or by the aim of
    // its class; below zero: none.
    [[nodiscard]] double due_at(const Job& job) const;
    // How many more tasks the team's limit allows.
    [[nodiscard]] int quota_room(const Job& job) const;
    // The rules of where a task of this job may run, given all that may be on machines now: nothing
    // before its needs are done, type, zone, kind, room, quota. Empty: it may. Every placement passes.
    [[nodiscard]] const char* refusal(const Job& job, const Machine& machine) const;
    // The part of it that is about the place: type, zone and kind.
    [[nodiscard]] bool allowed_there(const Job& job, const Machine& machine) const;
};

} // namespace heronshift::cluster
