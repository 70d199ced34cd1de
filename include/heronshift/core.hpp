// The state of the cluster as the holder of the office sees it: jobs, tasks, machines, teams.
// step(commands, now) -> effects; no I/O, clock or randomness of its own.
#pragma once

#include "heronshift/codec.hpp"
#include "heronshift/config.hpp"
#include "heronshift/intents.hpp"
#include "heronshift/placement.hpp"
#include "heronshift/types.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace heronshift {

// Commands.
struct JobStored {
    JobSpec spec;
    double age_s = 0;
    double ready_age_s = -1; // below zero: as old as the job
    bool waits = false;      // by its record: for jobs it needs
};
// What the store says of a job that another needs.
enum class Known : std::uint8_t { no_answer, never, open, done, cancelled };
struct JobFound {
    std::string id;
    Known state = Known::no_answer;
    std::optional<JobStored> job; // its record, if that is there
};
struct CancelAsked {
    std::string id;
    std::uint64_t handle = 0;
};
struct Beat {
    Report report;
    std::uint64_t handle = 0;
};
struct OrdersAnswered {
    std::string machine;
    std::uint64_t batch = 0;
    int status = 0;
    bool sent = true;
    std::optional<Report> report;
};
enum class TxnOutcome : std::uint8_t { applied, refused, too_large, office_lost };
struct Committed {
    TxnOutcome outcome = TxnOutcome::applied;
};
enum class RentOutcome : std::uint8_t { rented, no_capacity, failed, unknown };
struct Rented {
    std::string claim;
    RentOutcome outcome = RentOutcome::unknown;
    std::vector<std::string> machines;
};
struct Released {
    std::vector<std::string> machines;
    bool ok = false;
};
struct Listed {
    std::vector<ListedMachine> machines;
    double asked_at = 0;
};
struct TypesKnown {
    std::vector<MachineType> types;
};
using Command = std::variant<JobStored, JobFound, CancelAsked, Beat, OrdersAnswered, Committed, Rented, Released,
                             Listed, TypesKnown>;

// Effects.
struct Commit {
    std::vector<codec::Write> writes;
};
struct SendOrders {
    std::string machine, addr;
    std::uint64_t batch = 0, fence = 0, tenure = 0;
    std::vector<Order> orders;
};
struct BeatAnswer {
    std::uint64_t handle = 0;
    int status = 200;
    std::uint64_t fence = 0;
    std::vector<Order> orders;
};
struct CancelAnswer {
    std::uint64_t handle = 0;
    std::string status; // empty: unknown to the core
};
struct Rent {
    std::string claim, type, zone;
    bool spot = false;
    int count = 0;
};
struct Release {
    std::vector<std::string> machines;
};
struct FindJob { // in the store, answered by JobFound
    std::string id;
};
struct StepDown {
    std::string why;
};
struct Note {      // one line for the log
    int level = 0; // 0 debug, 1 info, 2 warning
    std::string text;
};
using Effect = std::variant<Commit, SendOrders, BeatAnswer, CancelAnswer, Rent, Release, FindJob, StepDown, Note>;

JobStored job_stored(codec::StoredJob&& r, double wall);

struct JobView {
    std::string_view status;
    std::uint64_t done = 0, running = 0;
};

// What the store holds at a takeover.
struct Snapshot {
    std::vector<codec::Item> jobs, intents, progress, images, learned;
    std::vector<codec::Item> earlier; // of the layout before: a record a machine, one a job
};

inline constexpr int most_rented = 50; // by one request
inline constexpr std::size_t most_returned = 100;
inline constexpr int fence_bits = 24; // fence = term << fence_bits | raises within the term
inline constexpr int try_bits = 32;   // attempt = term << try_bits | passes within the term

class Core {
public:
    Core(const Settings& settings, std::uint64_t term, const Snapshot& stored, double now, double wall);

    // entitled: this node may act as holder at this moment. While it may not, it refuses its workers
    // and leaves all else among the commands until it may again.
    std::vector<Effect> step(std::vector<Command>& commands, double now, double wall, bool entitled = true);
    // When step() wants to be called even if no command comes.
    [[nodiscard]] double wake_at() const {
        return wake_at_;
    }

    // None: not known here, ask the store. An answer is never older than what was told before.
    [[nodiscard]] std::optional<JobView> view(const std::string& id) const;
    [[nodiscard]] std::string metrics() const;

    // The shape of a job that is alive here, which proves that it was accepted.
    [[nodiscard]] std::optional<Shape> shape_of(const std::string& id) const;

    // For tests: what is believed to be on machines.
    [[nodiscard]] std::size_t live_tasks(const std::string& job) const;
    [[nodiscard]] std::size_t machines_up() const;
    [[nodiscard]] std::size_t machine_count() const {
        return machines_.size();
    }

private:
    enum class Phase : std::uint8_t { intent, storing, stored, sent, fetching, waiting, running, saving };
    enum class Final : std::uint8_t { none, done, cancelled };

    struct Task {
        bool done = false, stored = false, queued = false;
        std::uint8_t live = 0, failures = 0;
        std::uint8_t blamed = 0; // times a machine was taken for slow by this task
        float saved_s = 0; // progress known to be saved, estimated
    };
    struct Job;
    struct Machine;
    struct Entry { // one task on one machine, as far as anyone can tell
        Machine* machine = nullptr;
        Job* job = nullptr;
        std::uint32_t index = 0;
        std::uint64_t try_no = 0, tenure = 0, fence = 0;
        Phase phase = Phase::intent;
        bool recorded = false; // its record is in the store
        bool seen = false;     // in a report of this machine
        bool stop = false;     // must end
        bool moving = false;   // stopped to be started elsewhere
        double drain_s = 0, stop_at = -1, placed_at = 0, running_at = -1;
        std::uint64_t listed = 0;                            // the last report that listed it
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
        bool dated = true;                         // its record no longer says that it waits
        std::vector<std::string> unmet;            // needed, and not known to be done in the store
        Rank rank = Rank::normal;                  // the most urgent of its own and those that need it
        double latest = -1;                        // when those that need it want it done; below zero: never
        std::vector<Task> tasks;
        std::deque<std::uint32_t> pending;
        std::vector<Entry*> entries;
        std::uint32_t done = 0, live = 0, running = 0;
        Final final = Final::none;
        bool final_stored = false, final_queued = false, guaranteed = false;
        std::vector<std::uint32_t> unstored; // done, not yet in the store
        std::vector<std::uint32_t> zone_live;
        std::uint32_t on_pool = 0;
        std::uint64_t gang_try = 0;
        bool gang_breaking = false;
        double not_before = 0;
        int error_streak = 0;
        std::set<std::string> error_machines;
        bool had_success = false;
        std::uint32_t runs = 0; // tasks that ran to their end, and the longest of them
        double longest_run = 0;
        std::vector<std::uint64_t> cancels;
        double first_start = -1, room_until = -1;
        bool good_room = false; // being made for its replicas
    };
    enum class Status : std::uint8_t { booting, up, lost };
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
        std::uint64_t tenure = 0, counter = 0, fence = 0;
        double last_seen = -1; // the last report answered: its lease counts from there
        double heard = -1;     // the last sign of life
        double known_since = 0, up_since = -1;
        std::vector<std::unique_ptr<Entry>> entries;
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
        const void* reserved_for = nullptr; // room is being made for this job; only compared
        Rank reserved_rank = Rank::low;
        double reserved_until = -1;
        int reserved_tasks = 0;
        double slow_until = -1; // its tasks take far longer than their siblings elsewhere
        int slow_seen = 0;
    };
    struct Team {
        TeamLimits limits;
        Resources used;
        std::vector<Job*> jobs;
    };
    struct Pending { // rentals asked for, not answered
        std::string type, zone;
        bool spot = false;
        int count = 0;
        double asked = 0;
        bool in_flight = true;
    };

    // core.cpp
    Job* find_job(const std::string& id);
    Machine* find_machine(const std::string& id);
    Machine& learn_machine(const std::string& id, const std::string& addr, const std::string& type,
                           const std::string& zone, bool spot);
    void bind_type(Machine& m);
    void handle(JobStored& c);
    void handle(CancelAsked& c);
    void handle(Beat& c);
    void handle(OrdersAnswered& c);
    void handle(Committed& c);
    void handle(Rented& c);
    void handle(Released& c);
    void handle(Listed& c);
    void handle(TypesKnown& c);
    bool apply_report(Machine& m, const Report& r, std::vector<Order>& reaps);
    void update_entry(Entry& e, const ReportedTask& t);
    void task_exited(const Entry& e, const ReportedTask& t);
    void mark_done(Job& j, std::uint32_t index);
    bool may_reap(const ReportedTask& t);
    Entry& add_entry(Machine& m, Job& j, std::uint32_t index, std::uint64_t try_no);
    void remove_entry(Entry& e);
    Entry* find_entry(const Machine& m, const ReportedTask& t) const;
    void lose_entries(Machine& m);
    int image_id(const std::string& name, double gb);
    static CachedImage* cached(Machine& m, int image);
    static bool has_image(const Machine& m, int image);
    void use_image(Machine& m, int image, bool ready);
    void want_orders(Machine& m);
    void forget_machine(const std::string& id);
    void queue_task(Job& j, std::uint32_t index, bool front);
    void break_gang(Job& j);
    void stop_entry(Entry& e, double drain_s);
    void finalize(Job& j, Final f, bool taken_along = false);
    void drop_job(Job& j);
    void lapse_machines();
    [[nodiscard]] double lease_surely_s() const; // when a worker's lease has run out for sure
    [[nodiscard]] bool unproven() const {
        return !unproven_.empty() && now_ < unproven_until_;
    }
    void dispatch(Machine& m);
    void ask_machines();
    std::vector<Order> standing_orders(Machine& m);
    void note(int level, std::string text) {
        effects_.push_back(Note{level, std::move(text)});
    }

    // chains.cpp: jobs that wait for others
    void handle(JobFound& c);
    void join(Job& j);
    void wait_for_needs(Job& j);
    void become_ready(Job& j);
    void need_settled(const std::string& id, Final f);
    void raise_needs(Job& from);
    void look_for(const std::string& id, double at);
    void find_needs();
    void forget_needs(Job& j);

    // records.cpp: what the store holds
    struct Draft;
    static std::size_t bucket_of(const std::string& id);
    void load(const Snapshot& s, double wall);
    void load_intent(const intents::Intent& i, int slot);
    void load_done(Job& j, std::string_view ranges);
    void load_earlier(const Snapshot& s);
    void hold_unproven(const std::string& machine);
    void collect_commit();
    void draft_finals(Draft& d);
    void draft_ready(Draft& d);
    void draft_intents(Draft& d);
    static std::string slot_text(std::vector<Entry*> list);
    static bool may_record(const Entry& e);
    bool draft_slot(Draft& d, std::size_t slot);
    void draft_progress(Draft& d);
    void draft_images(Draft& d);
    void load_images(const codec::Item& i);
    void draft_learned(Draft& d);
    void load_learned(const codec::Item& i, double wall);
    void put_in_slot(Entry& e, int slot);
    void leave_slot(Entry& e);

    // planning.cpp
    void schedule();
    void mark_guarantees();
    bool usable(const Machine& m, const Job& j) const;
    double placement_cost(const Machine& m, const Job& j) const;
    bool is_pool(const Machine& m) const;
    void choose_pool();
    int quota_room(const Job& j) const;
    int place_single(Job& j, double cap);
    int place_service(Job& j);
    bool place_gang(Job& j);
    void place(Job& j, Machine& m);
    int place_batch(const std::vector<Job*>& batch, int most, double cap);
    struct Room {
        Machine* machine = nullptr;
        std::vector<Entry*> victims;
        int tasks = 0;
        bool ready = false; // there already
        double cost = 0;
    };
    Room room_on(Machine& m, const Job& j, int most, double loss_weight) const;
    void take_room(const Room& r, const Job& j);
    int make_room(Job& j, double cap);
    double loss_of(const Entry& e) const;
    using Planned = std::unordered_map<const Machine*, Resources>; // room a round has given away
    [[nodiscard]] bool movable(const Entry& e) const;
    void move_away(Entry& e);
    Machine* place_to_move(const Entry& e, const std::vector<Machine*>& to, Planned& planned) const;
    void plan_round();
    void pull_back(const std::vector<Machine*>& pool_machines, const Resources& pool, int cap, Planned& planned);
    void reorder(std::vector<Machine*>& pool_machines, std::vector<Machine*>& leaving, const std::vector<Machine*>& to,
                 int cap, Planned& planned);
    void drain_noticed();
    void note_run(Job& j, const Machine& m, double ran);
    void find_slow();
    void mark_slow(Machine& m);
    void watch_silent();
    void note_spot_loss();
    [[nodiscard]] double spot_loss_rate() const; // of one machine, a second
    std::vector<Job*> waiting_jobs();
    double work_left(const Job& j) const;

    // capacity.cpp
    [[nodiscard]] const MachineType* type_of(const std::string& name) const;
    [[nodiscard]] bool serves(const Machine& m) const;
    [[nodiscard]] double due_at(const Job& j) const;
    [[nodiscard]] double array_need() const;
    void offer(const Job& j);
    [[nodiscard]] double offered() const;
    [[nodiscard]] double average_s() const; // over which work and losses are averaged
    static double price_per_cpu(const MachineType& t, bool spot);
    std::string cheapest_source(const Job& j, const std::map<std::string, int>& in_zone, bool dear, Pending& out) const;
    void plan_capacity();
    Machine* keep_again(const Job& j);
    static bool is_ready(const Machine& m);
    void queue_rentals(std::map<std::string, Pending>& wanted);
    void plan_shrink();
    void return_machines();
    void note_fleet();

    const Settings& s_;
    std::uint64_t term_;
    double now_, wall_, started_;
    double wake_at_ = 0, next_tick_ = 0, next_round_ = 0, next_rent_ = 0, next_schedule_ = 0, next_slow_ = 0;
    std::vector<MachineType> types_;
    std::vector<Team> teams_;
    std::unordered_map<std::string, std::unique_ptr<Job>> jobs_;
    std::map<std::string, std::unique_ptr<Machine>> machines_;
    std::vector<Effect> effects_;
    bool dirty_ = true, stepped_down_ = false;
    std::uint64_t try_seq_ = 0, batch_seq_ = 0, claim_seq_ = 0;

    // The transaction being built and the one in flight.
    bool txn_open_ = false;
    double write_tokens_ = 0, tokens_at_ = 0;
    std::deque<Job*> finals_, readies_;
    std::deque<Job*> taken_along_;         // by a cancellation, maybe hundreds: after all other final states
    bool finals_only_ = false;             // the last transaction held no placement
    std::size_t most_value_, most_ops_;    // of one record and one transaction: what the store takes
    std::deque<std::string> gone_records_; // keys that mean nothing any more
    // Placements are stored in a ring of records: new ones go, with what is still live of it, into
    // the record that was written longest ago. So a launch costs its share of one write.
    struct Slot {
        std::vector<Entry*> entries;
        std::size_t stale = 0;             // named in the store though gone
        std::size_t size = 0, written = 0; // its length and placements, as last written
    };
    std::vector<Slot> ring_;
    std::vector<Entry*> unrecorded_;
    std::size_t next_slot_ = 0;
    int too_long_ = -1; // a record of the ring that no longer fits: what is live of it is carried on
    // Who needs a job that is not done, by name: either may be known here before the other.
    std::unordered_map<std::string, std::set<std::string>> needed_by_;
    std::multimap<double, std::string> to_find_; // needed and not known here, by when to ask
    std::size_t finding_ = 0;
    struct Bucket { // a progress record: the done tasks of a share of the jobs
        bool dirty = false;
        double since = 0;
    };
    std::vector<Bucket> buckets_;
    double next_idle_write_ = 0;
    // Final states are immutable, so old ones may be answered from here. It holds more jobs than
    // a watch can lag behind, so a late event never brings a finished job back.
    std::unordered_map<std::string, Final> recent_;
    std::deque<std::string> recent_order_;
    std::map<std::string, double> released_; // surely gone, whatever a late list or report says
    struct InFlight {
        std::vector<std::pair<Job*, Final>> finals, moves;
        std::vector<Job*> readies;
        std::vector<std::pair<Job*, std::vector<std::uint32_t>>> progress;
        std::vector<std::size_t> slots, buckets;
        std::vector<std::string> gone;
    } in_flight_;
    std::vector<Machine*> to_dispatch_;
    std::deque<std::string> to_ask_; // machines asked for a report after a takeover
    std::size_t asking_ = 0;
    bool asked_all_ = false;
    std::uint64_t report_seq_ = 0;
    std::unordered_map<std::string, int> image_ids_;
    std::vector<double> image_gb_;
    std::unordered_map<std::string, std::vector<int>> image_hints_; // of machines not known yet
    std::size_t image_part_ = 0, image_parts_ = 0;
    std::string images_after_;
    double next_images_ = 0, next_learned_ = 0;
    // Machines whose records were damaged: until they have reported to us or their leases have
    // surely lapsed, any task read at the takeover may be on them.
    std::set<std::string> unproven_;
    double unproven_until_ = 0;

    std::map<std::string, Pending> rentals_;
    std::map<std::string, double> no_capacity_; // "type/zone/kind" -> not before
    Resources common_shape_, service_shape_;
    double offered_ = 0, offered_at_ = 0, keep_ready_ = 0;
    double spot_losses_ = 0, spot_losses_at_ = 0, next_silent_ = 0;
    std::size_t spot_machines_ = 0;
    double ran_s_ = 1, estimated_s_ = 1; // of tasks done lately
    [[nodiscard]] double bias() const {
        return std::clamp(ran_s_ / estimated_s_, 0.3, 3.0);
    }
    std::uint64_t launched_ = 0, lost_ = 0, preempted_ = 0, committed_ = 0, moved_ = 0;
};

} // namespace heronshift
