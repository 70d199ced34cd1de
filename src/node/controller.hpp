// One controller, independent of any event loop.
#pragma once

#include "cloud/cloud_client.hpp"
#include "core/core.hpp"
#include "gateway/gateway.hpp"
#include "leadership/leader_election.hpp"
#include "membership/membership.hpp"
#include "membership/observed_clients.hpp"
#include "replay/command_log.hpp"
#include "workers/heartbeat_handler.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace heronshift {

/// Connects the components of a controller: the queue of commands for the core, the core (while this node is the
/// leader), and the components that create commands and perform effects. It makes no decisions itself: the leader
/// election decides whether this node may act, and the core decides what is done.
///
/// Its driver (Node on libuv, or the simulation in the tests) calls tick() about thirty times per report_s, and wake()
/// when the time wake_at() has come and after each request or answer that it passed in. Not synchronised: to be used on
/// the loop's thread only.
class Controller final : leadership::LeaderElection::Host,
                         gateway::Gateway::Host,
                         workers::HeartbeatHandler::Host,
                         cloud::CloudClient::Host,
                         membership::Membership::Host {
public:
    /// The interfaces to the outside. None may be null.
    struct Parts {
        std::unique_ptr<store::StateStore> state;
        std::unique_ptr<Executor> executor;
        std::unique_ptr<Peers> peers;
        std::shared_ptr<const Clock> clock;
    };
    Controller(Settings settings, Parts parts);

    /// Records the commands that go into the core from the next term on, see replay/command_log.hpp.
    void record(std::unique_ptr<replay::CommandLog> log) {
        log_ = std::move(log);
    }
    void start();
    /// Gives up the leadership.
    void stop();
    /// Does the periodic work of all components.
    void tick();
    /// Runs the timers that are due, then run_core().
    void wake();
    /// When wake() has to be called next, in seconds of the clock; 0: at once; infinity: only after something was
    /// passed in.
    [[nodiscard]] double wake_at() const;
    /// Called when wake_at() may have become earlier.
    std::function<void()> on_wake_at;
    /// Lets the core process the queued commands, and performs the effects that it returns.
    void run_core();

    /// Handles a request of a user or a machine.
    void serve(HttpRequest&& request, const Responder& res);
    /// Handles a request of another controller, whose path begins with peer_prefix.
    void serve_peer(HttpRequest&& request, const Responder& res);
    /// Counts and logs a request to this path that was refused because its body is too long.
    void record_oversized_request(std::string_view path);

    [[nodiscard]] const Settings& settings() const {
        return settings_;
    }
    [[nodiscard]] TimerQueue& timers() {
        return timers_;
    }
    [[nodiscard]] store::StateStore& state() {
        return store_;
    }
    /// Until when, in seconds of its clock, this node may act as leader unless its validity is extended further; 0: it
    /// may not.
    [[nodiscard]] double active_until() const {
        return election_.active_until();
    }
    /// Null while this node is not the leader.
    [[nodiscard]] const Core* core() const {
        return core_.get();
    }

private:
    // The components' Host interfaces, through which they use each other.
    void leadership_acquired(std::uint64_t term, Snapshot&& stored) override;
    void leadership_lost() override;
    void jobs_stored_by_others(std::vector<codec::StoredJob>&& jobs) override;
    void committed(TxnOutcome outcome) override;
    [[nodiscard]] std::size_t machines_up() const override {
        return core_ ? core_->machines_up() : 0;
    }
    [[nodiscard]] const Core* active_core() const override {
        return election_.valid() ? core_.get() : nullptr;
    }
    [[nodiscard]] bool is_active_leader() const override {
        return active_core() != nullptr;
    }
    [[nodiscard]] bool is_acquiring() const override {
        return election_.is_acquiring();
    }
    [[nodiscard]] bool is_leader() const override {
        return election_.is_leader();
    }
    [[nodiscard]] const std::string& leader() const override {
        return election_.leader();
    }
    [[nodiscard]] const std::vector<MachineType>& types() const override {
        return cloud_.types();
    }
    [[nodiscard]] bool is_of_leader_term(std::uint64_t fencing_token) const override {
        return fencing_token >> token_counter_bits == election_.leader_term();
    }
    [[nodiscard]] std::uint64_t leader_term() const override {
        return election_.leader_term();
    }
    [[nodiscard]] bool sees_leader() const override {
        return election_.sees_leader();
    }
    [[nodiscard]] double active_since() const override {
        return election_.acquired_at();
    }
    [[nodiscard]] std::string zone_of(const std::string& machine) const override;
    [[nodiscard]] bool is_inbound_unreachable(const std::string& machine) const override;
    [[nodiscard]] std::map<std::string, std::size_t> machines_by_zone() const override;
    void cloud_answered(bool ok) override {
        membership_.cloud_answered(ok);
    }
    void stored(JobStored&& command) override;
    void push(Command command) override;

    void serve(HttpRequest&& request, const Responder& res, bool forwarded);
    void serve_health(const Responder& res) const;
    [[nodiscard]] std::vector<Effect> step_core(std::vector<Command>& batch, double now);
    void record_effects(const std::vector<Effect>& effects);
    void perform(Effect& effect);
    void stop_probing(const std::vector<std::string>& machines);
    [[nodiscard]] std::string metrics() const;

    const Settings settings_;
    std::shared_ptr<const Clock> clock_;
    TimerQueue timers_;
    metrics::Timings timings_;
    membership::ObservedStore store_;
    std::unique_ptr<Executor> executor_;
    membership::ObservedPeers peers_;
    membership::Membership membership_;
    leadership::LeaderElection election_;
    gateway::Gateway gateway_;
    workers::HeartbeatHandler heartbeat_handler_;
    cloud::CloudClient cloud_;

    std::unique_ptr<Core> core_;
    std::uint64_t core_generation_ = 0; // incremented when `core_` changes, to drop answers for an earlier core
    std::vector<Command> queue_;
    double next_oversized_log_at_ = 0;
    bool running_core_ = false;
    std::unique_ptr<replay::CommandLog> log_;
};

} // namespace heronshift
