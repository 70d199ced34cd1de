// The only class that modifies the state of the cluster. It takes events (heartbeats, replies to orders, the cloud's
// list of machines) and the proposals of policies, checks every protocol rule that a placement could violate, and emits
// the resulting effects. It uses no I/O, clock or randomness, and runs on the event loop's thread only.
#pragma once

#include "bounded_cache.hpp"
#include "cluster/cluster_data.hpp"
#include "cluster/departed_machines.hpp"
#include "cluster/dependency_tracker.hpp"
#include "cluster/order_queues.hpp"
#include "cluster/proposals.hpp"
#include "cluster/retry_queue.hpp"

#include <optional>

namespace heronshift {
class ClusterRecords;
}

namespace heronshift::cluster {

/// The status of a job as reported to users.
struct JobView {
    std::string_view status;
    /// Numbers of tasks.
    std::uint64_t done = 0, running = 0;
    /// The final state was sent to the store and not confirmed: the job may already be over in the store, which only a
    /// fresh read of the store can tell (docs/safety.md, 24).
    bool settling = false;
};

/// Is notified of every change that has to be stored. ClusterState itself does not know what the store holds.
class PersistenceListener {
public:
    virtual ~PersistenceListener() = default;
    virtual void added(Job& job) = 0;
    virtual void added(Entry& entry) = 0;
    virtual void removed(Entry& entry) = 0;
    /// The priority with which final states are stored; earlier values come first.
    enum class Urgency : std::uint8_t {
        cancelled,                 ///< A user is waiting for the answer.
        done,                      ///< All tasks are done, or no entry is left of a job that is over.
        cancelled_with_dependency, ///< A job that it needs was cancelled; no user is waiting.
    };
    /// The job's final state is to be stored, or the fact that no entry of the finished job is left.
    virtual void final_due(Job& job, Urgency urgency) = 0;
    /// At least one more task of the job is done.
    virtual void progressed(Job& job) = 0;
    /// The job no longer waits for other jobs.
    virtual void became_ready(Job& job) = 0;
};

/// Jobs, tasks, machines and teams of one leader's term, and all rules for changing them.
class ClusterState final : public Proposals {
public:
    /// All effects are appended to `out`, which must outlive this object.
    ClusterState(const Settings& settings, std::uint64_t term, double now, double wall, std::vector<Effect>& out);
    /// Must be called before any other member function.
    void set_persistence(PersistenceListener& listener) {
        persistence_ = &listener;
    }
    [[nodiscard]] const ClusterData& view() const {
        return data_;
    }
    void set_time(double now, double wall) {
        data_.now = now, data_.wall = wall;
    }

    // Events.
    void add_job(JobStored& command);
    void cancel(const CancellationRequested& command);
    /// Handles the result of looking up a needed job in the store.
    void found(JobFound& command);
    void receive_heartbeat(const HeartbeatReceived& command);
    /// Handles the outcome of an order batch or a heartbeat request.
    void answered(const OrdersAnswered& command);
    void rented(const Rented& command);
    void released(const Released& command);
    void listed(const MachinesListed& command);
    void types_known(std::vector<MachineType>&& types);
    /// Marks machines whose lease has certainly expired as lost, and removes machines that are not up and no
    /// longer listed.
    void expire_leases();
    /// Queues the faulty tasks whose next attempt is due.
    void queue_due_retries();

    // Proposals of policies, see proposals.hpp.
    bool place(const Job& job, const Machine& machine) override;
    void prune_pending(const Job& job, bool all) override;
    void stop(const Entry& entry, double drain_s) override;
    void preempt(const Entry& entry) override;
    void move_away(const Entry& entry, double drain_s) override;
    void gang_restarted(const Job& job) override;
    void reserve(const Machine& machine, const Job& job, int tasks, double until, Priority against) override;
    void wait_for_resources(const Job& job, double until) override;
    void freeing_preferred_machines(const Job& job, bool being_made) override;
    void set_pool(const std::vector<const Machine*>& pool, const Resources& service_shape) override;
    void set_common_shape(const Resources& resources) override;
    void mark_guarantees() override;
    void count_slow_detection(const Entry& entry) override;
    void slow(const Machine& machine, double until) override;
    void set_retiring(const Machine& machine, bool should_retire) override;
    void rent(const PendingRental& rental) override;
    void set_spot_count(std::size_t machines) override {
        data_.spot_machines = machines;
    }
    void request_heartbeat(const Machine& machine) override;
    void presume_dead(const Machine& machine) override;
    void begin_release(const Machine& machine) override;
    void release(std::vector<std::string> machines) override;
    void request_pass() override {
        needs_scheduling_ = true;
    }
    void log(LogLine::Level level, std::string text) override {
        effects_.emplace_back(LogLine{level, std::move(text)});
    }
    /// Begins a scheduling pass. The pass number is part of the attempt number, which differs between passes.
    void begin_pass() {
        ++pass_counter_;
    }

    [[nodiscard]] std::uint64_t passes() const {
        return pass_counter_;
    }

    /// Sends all orders and heartbeat requests that are due.
    void send_due_orders();
    /// Looks up needed jobs that this leader does not know: they finished before this term, or another node accepted
    /// them a moment ago.
    void find_dependencies();

    /// To be called once the store holds the final state of this job. A cancellation also cancels all jobs that need
    /// it, directly or indirectly. As the first cancellation is stored, every later leader reaches the same result
    /// (docs/safety.md, 14 and 15).
    void dependency_settled(const std::string& id, FinalState final_state);
    /// Ends the job: stops its tasks and requests that its final state be stored. The final state is not reported to
    /// anyone before it is stored.
    void finalize(Job& job, FinalState final_state, bool cancelled_with_dependency = false);
    /// Caches the stored final state of a job that is about to be removed with `forget_job`.
    void cache_final_state(const Job& job);
    void forget_job(Job& job);

    /// The status of the job; none if this leader does not know it. A status is never older than one reported before.
    [[nodiscard]] std::optional<JobView> job(const std::string& id) const;
    /// The term has ended, because there is another leader or may be one.
    [[nodiscard]] bool resigned() const {
        return resigned_;
    }
    void resign() {
        resigned_ = true;
    }
    void note_store_late() {
        data_.store_late_at = data_.now;
    }
    /// To be called at the beginning of a scheduling pass, which covers all changes so far.
    void clear_scheduling_request() {
        needs_scheduling_ = false;
    }
    [[nodiscard]] bool needs_scheduling() const {
        return needs_scheduling_;
    }
    /// Seconds after which a lease granted now has certainly expired on the machine.
    [[nodiscard]] double lease_expiry_s() const;
    /// Totals of this term.
    struct Counters {
        std::uint64_t launched = 0, lost = 0, preempted = 0, moved = 0;
        /// Heartbeats that arrived late or as a duplicate.
        std::uint64_t stale_heartbeats = 0;
        /// Heartbeats of machines that were released to the cloud.
        std::uint64_t heartbeats_of_gone_machines = 0;
        /// Reaps that waited for a batch of orders, and fencing tokens that were incremented in order to send reaps.
        std::uint64_t reaps_deferred = 0, reap_tokens = 0;
        /// Batches of orders by outcome: the machine carried them out or refused them, they were never sent, or their
        /// outcome is unknown.
        std::uint64_t batches_executed = 0, batches_refused = 0, batches_not_sent = 0, batches_unknown = 0;
        /// Tasks launched in this term that a machine reported as alive after they had been proven gone.
        std::uint64_t tasks_reappeared = 0;
    };
    [[nodiscard]] const Counters& counters() const {
        return counters_;
    }

private:
    friend class heronshift::ClusterRecords; // restores the stored state directly at a failover

    // Policies hold const references to objects that this class owns and may modify.
    static Job& mutable_ref(const Job& job) {
        return const_cast<Job&>(job); // NOLINT(cppcoreguidelines-pro-type-const-cast)
    }
    static Machine& mutable_ref(const Machine& machine) {
        return const_cast<Machine&>(machine); // NOLINT(cppcoreguidelines-pro-type-const-cast)
    }
    static Entry& mutable_ref(const Entry& entry) {
        return const_cast<Entry&>(entry); // NOLINT(cppcoreguidelines-pro-type-const-cast)
    }

    /// A task that a heartbeat reports as ended, with its entry.
    struct EndedTask {
        Entry* entry;
        const ReportedTask* report;
    };

    // job_lifecycle.cpp: jobs from their submission until they are removed
    Job* find_job(const std::string& id);
    [[nodiscard]] int team_index(const std::string& name) const;
    [[nodiscard]] double start_objective_s(const JobSpec& spec) const;
    [[nodiscard]] double heartbeat_bytes_of_task(const JobSpec& spec) const;
    void store_cancellation(Job& job);
    void launch_settled(Job& job);
    void mark_done(Job& job, std::uint32_t index);
    void count_offered_work(const Job& job);
    void record_run_time(Job& job, const Machine& machine, double ran);

    // entries.cpp: entries from the placement of a task until it is proven gone
    Entry& add_entry(Machine& machine, Job& job, std::uint32_t index, std::uint64_t attempt);
    void remove_entry(Entry& entry);
    static PropagateConst<std::unique_ptr<Entry>> unlink_entry(Entry& entry);
    void restart_after_loss(Job& job, const Entry& gone);
    void break_gang(Job& job);
    void stop_entry(Entry& entry, double drain_s);
    void update_entry(Entry& entry, const ReportedTask& task);
    void count_running(Entry& entry, Phase previous);
    void mark_seen(Entry& entry);
    void task_exited(Entry& entry, const ReportedTask& task);
    void task_done(Entry& entry);
    void task_failed(Entry& entry);
    void task_refused(Entry& entry);
    void back_off_job(Job& job);
    void back_off_task(Job& job, std::uint32_t index);
    [[nodiscard]] double retry_pause_s(int doublings) const;
    void exonerate_machines(const Job& job);
    void record_machine_failure(Machine& machine, const Job& job);

    // machine_lifecycle.cpp: machine properties, rentals, releases and the cloud's list of machines
    Machine* find_machine(const std::string& id);
    Machine& find_or_add_machine(const std::string& id, const std::string& addr, const std::string& type,
                                 const std::string& zone, bool spot);
    std::unique_ptr<Machine> new_machine(const std::string& id);
    void bind_type(Machine& machine);
    void bind_zone(Machine& machine);
    int image_id(const std::string& name, double gb);
    void use_image(Machine& machine, int image, bool ready);
    void remove_lost_entries(Machine& machine);
    void mark_lost(Machine& machine);
    [[nodiscard]] bool may_be_forgotten(const Machine& machine) const;
    void forget_machine(const std::string& id, bool released);
    void note_no_capacity(const PendingRental& rental);
    void record_spot_loss();

    // heartbeats.cpp: handling of heartbeats
    bool resign_if_superseded(const Heartbeat& heartbeat);
    bool is_stale_from_departed(const Heartbeat& heartbeat);
    void log_stale_heartbeats();
    void apply_heartbeat(Machine& machine, const Heartbeat& heartbeat, std::vector<Order>& orders);
    void begin_agent_epoch(Machine& machine, const Heartbeat& heartbeat);
    void mark_up(Machine& machine);
    std::vector<EndedTask> match_listed_tasks(Machine& machine, const Heartbeat& heartbeat, std::uint64_t heartbeat_seq,
                                              std::vector<Order>& orders);
    void handle_untracked_ended_task(const ReportedTask& task, std::vector<Order>& orders);
    bool adopt_untracked_task(Machine& machine, const ReportedTask& task, std::uint64_t heartbeat_seq,
                              std::vector<Order>& orders);
    void report_reappeared_task(const Machine& machine, const ReportedTask& task);
    void remove_gone(Machine& machine, const Heartbeat& heartbeat, std::uint64_t heartbeat_seq,
                     const std::vector<EndedTask>& ended);
    bool may_reap(const ReportedTask& task);
    void handle_reclaim_notice(Machine& machine, double notice_s);
    void prepare_reaps(Machine& machine, std::vector<Order>& orders);
    void acknowledge(Machine& machine, const Heartbeat& heartbeat, bool overtaken);
    void add_repeated_stops(Machine& machine, std::vector<Order>& orders);

    // inbound_reachability.cpp: whether answers to heartbeats reach a machine
    void lease_restarted(Machine& machine);
    void update_inbound_reachability(Machine& machine, const Heartbeat& heartbeat);
    static void note_route(Machine& machine, const HeartbeatReceived& command);
    [[nodiscard]] bool answer_was_missed(Machine& machine, const Heartbeat& heartbeat) const;
    static void request_inbound_proof(Machine& machine, const Heartbeat& heartbeat);

    // orders.cpp: orders to machines and their outcomes
    static Order stop_order(const Entry& entry);
    void queue_for_orders(Machine& machine) {
        dispatch_queue_.add(machine);
    }
    void dispatch(Machine& machine);
    void collect_stops(Machine& machine, std::vector<Order>& orders);
    void collect_launches(Machine& machine, std::vector<Order>& orders);
    void send_orders(Machine& machine, std::uint64_t agent_epoch, std::vector<Order> orders);
    void request_heartbeats();
    void request_answered(Machine& machine, const OrdersAnswered& command);
    void orders_executed(Machine& machine, const Heartbeat& heartbeat);
    void orders_not_executed(Machine& machine, const OrdersAnswered& command);
    void orders_outcome_unknown(Machine& machine);

    // dependencies.cpp: jobs that wait for other jobs
    void join(Job& job);
    void wait_for_dependencies(Job& job);
    void become_ready(Job& job);
    void dependency_done(Job& job, const std::string& needed);
    [[nodiscard]] double latest_start_of(const Job& job) const;
    void propagate_urgency(Job& from);

    ClusterData data_;
    std::vector<Effect>& effects_;
    PersistenceListener* persistence_ = nullptr;
    bool needs_scheduling_ = true, resigned_ = false;
    std::uint64_t pass_counter_ = 0, batch_seq_ = 0, claim_seq_ = 0, heartbeat_seq_ = 0;
    Counters counters_;
    DependencyTracker dependencies_;
    // The most recent final states of removed jobs. As they never change, requests may be answered from this
    // cache. It holds more jobs than can finish while a watch event is delayed, so a late event never restores a
    // finished job (docs/safety.md, 10).
    BoundedCache<FinalState> recent_final_states_;
    DepartedMachines departed_;
    std::size_t releases_in_flight_ = 0; // number of machines
    double stale_heartbeats_logged_at_ = -1e18;
    RetryQueue retries_;
    DispatchQueue dispatch_queue_;
    HeartbeatRequests heartbeat_requests_;
    std::unordered_map<std::string, int> image_ids_;
    // Cached images of machines that are not tracked yet.
    std::unordered_map<std::string, std::vector<int>> image_hints_;
};

} // namespace heronshift::cluster
