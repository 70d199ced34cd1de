// The one place that changes the state of the cluster. It takes what the world says (reports,
// answers, the list) and what policies propose, checks every rule of the protocol that a placement
// could break, and says what follows. No I/O, clock or randomness.
//
// Owns: State; which machines want orders; what was released; who needs whom. Does not know what the
// store holds: the PersistenceListener (persistence/) is told of what has to go there.
#pragma once

#include "heronshift/bounded_cache.hpp"
#include "heronshift/cluster/cluster_data.hpp"
#include "heronshift/cluster/departed_machines.hpp"
#include "heronshift/cluster/proposals.hpp"

#include <optional>

namespace heronshift {
class ClusterRecords;
}

namespace heronshift::cluster {

struct JobView {
    std::string_view status;
    std::uint64_t done = 0, running = 0;
    bool settling = false; // it may be over in the store already: a fresh read must say so, or that it is not
};

// Told by the cluster state of what has to be stored.
class PersistenceListener {
public:
    virtual ~PersistenceListener() = default;
    virtual void added(Job& job) = 0;
    virtual void added(Entry& entry) = 0;
    virtual void removed(Entry& entry) = 0;
    enum class Urgency : std::uint8_t { cancelled, done, cancelled_with_dependency };
    virtual void final_due(Job& job, Urgency urgency) = 0; // its final state, or that nothing is left of it
    virtual void progressed(Job& job) = 0;
    virtual void became_ready(Job& job) = 0;
};

class ClusterState final : public Proposals {
public:
    ClusterState(const Settings& settings, std::uint64_t term, double now, double wall, std::vector<Effect>& out);
    void set_persistence(PersistenceListener& b) {
        persistence_ = &b;
    }
    [[nodiscard]] const ClusterData& view() const {
        return data_;
    }
    void set_time(double now, double wall) {
        data_.now = now, data_.wall = wall;
    }

    // What the world says.
    void add_job(JobStored& command);
    void cancel(const CancellationRequested& command);
    void found(JobFound& command);
    void receive_heartbeat(const HeartbeatReceived& command);
    void answered(const OrdersAnswered& command);
    void rented(const Rented& command);
    void released(const Released& command);
    void listed(const MachinesListed& command);
    void types_known(std::vector<MachineType>&& types);
    void expire_leases();

    // What policies propose, see proposals.hpp.
    bool place(const Job& job, const Machine& machine) override;
    void drop_settled(const Job& job, bool all) override;
    void stop(const Entry& entry, double drain_s) override;
    void preempt(const Entry& entry) override;
    void move_away(const Entry& entry, double drain_s) override;
    void gang_whole(const Job& job) override;
    void reserve(const Machine& machine, const Job& job, int tasks, double until, Priority against) override;
    void room_asked(const Job& job, double until) override;
    void good_room(const Job& job, bool being_made) override;
    void set_pool(const std::vector<const Machine*>& pool, const Resources& service_shape) override;
    void set_common_shape(const Resources& resources) override;
    void mark_guarantees() override;
    void blame(const Entry& entry) override;
    void slow(const Machine& machine, double until) override;
    void retire(const Machine& machine, bool leave) override;
    void rent(const Pending& rental) override;
    void count_spot(std::size_t machines) override {
        data_.spot_machines = machines;
    }
    void ask(const Machine& machine) override;
    void presume_dead(const Machine& machine) override;
    void give_back(const Machine& machine) override;
    void release(std::vector<std::string> machines) override;
    void request_pass() override {
        needs_scheduling_ = true;
    }
    void log(LogLine::Level level, std::string text) override {
        effects_.emplace_back(LogLine{level, std::move(text)});
    }
    void begin_pass() { // of placement: attempts of different passes differ
        ++pass_counter_;
    }

    [[nodiscard]] std::uint64_t passes() const {
        return pass_counter_;
    }

    // What is due: orders to machines, questions, reads of the store.
    void send_due_orders();
    void find_dependencies();

    // From the persistence: the store holds it.
    void dependency_settled(const std::string& id, Final final_state);
    void finalize(Job& job, Final final_state, bool cancelled_with_dependency = false);
    void remember_final(const Job& job);
    void forget_job(Job& job);

    // None: not known here. An answer is never older than what was told before.
    [[nodiscard]] std::optional<JobView> job(const std::string& id) const;
    [[nodiscard]] bool resigned() const {
        return resigned_;
    }
    void resign() {
        resigned_ = true;
    }
    void store_is_late() {
        data_.unserved_at = data_.now;
    }
    void settled() { // placement has seen what changed
        needs_scheduling_ = false;
    }
    [[nodiscard]] bool needs_scheduling() const {
        return needs_scheduling_;
    }
    [[nodiscard]] double lease_expiry_s() const; // when a worker's lease has run out for sure
    struct Counters {
        std::uint64_t launched = 0, lost = 0, preempted = 0, moved = 0;
        std::uint64_t stale_heartbeats = 0,
                      heartbeats_of_gone_machines = 0; // copies: older than what was heard; of machines given back
    };
    [[nodiscard]] const Counters& counters() const {
        return counters_;
    }

private:
    friend class heronshift::ClusterRecords; // what a failover reads is entered as it stands

    // What a policy was given const is ours to write.
    static Job& own(const Job& job) {
        return const_cast<Job&>(job); // NOLINT(cppcoreguidelines-pro-type-const-cast)
    }
    static Machine& own(const Machine& machine) {
        return const_cast<Machine&>(machine); // NOLINT(cppcoreguidelines-pro-type-const-cast)
    }
    static Entry& own(const Entry& entry) {
        return const_cast<Entry&>(entry); // NOLINT(cppcoreguidelines-pro-type-const-cast)
    }

    // ledger.cpp
    Job* find_job(const std::string& id);
    void update_entry(Entry& entry, const ReportedTask& task);
    void mark_seen(Entry& entry);
    void store_cancellation(Job& job);
    void launch_settled(Job& job);
    static bool launch_open(const Entry& entry);
    void task_exited(Entry& entry, const ReportedTask& task);
    void record_run_time(Job& job, const Machine& machine, double ran);
    void mark_done(Job& job, std::uint32_t index);
    Entry& add_entry(Machine& machine, Job& job, std::uint32_t index, std::uint64_t attempt);
    void remove_entry(Entry& entry);
    void queue_task(Job& job, std::uint32_t index);
    void break_gang(Job& job);
    void stop_entry(Entry& entry, double drain_s);
    void offer(const Job& job);

    // machines.cpp
    Machine* find_machine(const std::string& id);
    Machine& learn_machine(const std::string& id, const std::string& addr, const std::string& type,
                           const std::string& zone, bool spot);
    void bind_type(Machine& machine);
    bool outdated(const Heartbeat& heartbeat);
    bool copy_of_departed(const Heartbeat& heartbeat);
    void apply_heartbeat(Machine& machine, const Heartbeat& heartbeat, std::vector<Order>& reaps);
    void lease_restarted(Machine& machine);
    void update_inbound_reachability(Machine& machine, const Heartbeat& heartbeat);
    void log_stale_heartbeats();
    bool may_reap(const ReportedTask& task);
    static Entry* find_entry(Machine& machine, const ReportedTask& task);
    void lose_entries(Machine& machine);
    int image_id(const std::string& name, double gb);
    static CachedImage* cached(Machine& machine, int image);
    void use_image(Machine& machine, int image, bool ready);
    void want_orders(Machine& machine);
    void want_heartbeat(Machine& machine);
    void forget_machine(const std::string& id, bool released);
    void dispatch(Machine& machine);
    [[nodiscard]] std::size_t max_asked_at_once() const;
    void ask_machines();
    std::vector<Order> standing_orders(Machine& machine);
    void record_spot_loss();

    // needs.cpp: jobs that wait for others
    void join(Job& job);
    void wait_for_dependencies(Job& job);
    void become_ready(Job& job);
    void propagate_urgency(Job& from);
    void look_for(const std::string& id, double at);
    void forget_dependencies(Job& job);

    ClusterData data_;
    std::vector<Effect>& effects_;
    PersistenceListener* persistence_ = nullptr;
    bool needs_scheduling_ = true, resigned_ = false;
    std::uint64_t pass_counter_ = 0, batch_seq_ = 0, claim_seq_ = 0, heartbeat_seq_ = 0;
    Counters counters_;
    // Who needs a job that is not done, by name: either may be known here before the other.
    std::unordered_map<std::string, std::set<std::string>> dependents_;
    std::multimap<double, std::string> to_find_; // needed and not known here, by when to ask
    std::size_t finding_ = 0;
    // Final states are immutable, so old ones may be answered from here. It holds more jobs than
    // a watch can lag behind, so a late event never brings a finished job back.
    BoundedCache<Final> recent_finals_;
    DepartedMachines departed_;
    std::size_t releases_under_way_ = 0; // machines
    double stale_heartbeats_logged_at_ = -1e18;
    std::vector<Machine*> to_dispatch_;
    std::deque<std::string> to_ask_; // machines asked for a heartbeat
    std::size_t asking_ = 0;
    std::unordered_map<std::string, int> image_ids_;
    std::unordered_map<std::string, std::vector<int>> image_hints_; // of machines not known yet
};

} // namespace heronshift::cluster
