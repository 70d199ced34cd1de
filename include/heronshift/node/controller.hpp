// One controller without a loop of its own: the queue of commands for the core, and the parts that
// commands come from and effects go to. Whoever drives it (Node on libuv; the tests' world) calls tick()
// some thirty times in report_s, and wake() when wake_at() has come and after anything was handed in.
//
// Owns: the queue, the core while this node is the leader, the parts and their wiring. Decides nothing:
// who may act is the leadership's, what may be done the cluster state's.
#pragma once

#include "heronshift/cloud/cloud_client.hpp"
#include "heronshift/core/core.hpp"
#include "heronshift/gateway/gateway.hpp"
#include "heronshift/leadership/leader_election.hpp"
#include "heronshift/membership/membership.hpp"
#include "heronshift/membership/observed_clients.hpp"
#include "heronshift/replay/command_log.hpp"
#include "heronshift/workers/heartbeat_handler.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace heronshift {

class Controller final : leadership::LeaderElection::Host,
                         gateway::Gateway::Host,
                         workers::HeartbeatHandler::Host,
                         cloud::CloudClient::Host,
                         membership::Membership::Host {
public:
    struct Parts { // all are needed
        std::unique_ptr<store::StateStore> state;
        std::unique_ptr<Executor> executor;
        std::unique_ptr<Peers> peers;
        std::shared_ptr<const Clock> clock;
    };
    Controller(Settings settings, Parts parts);

    // Records what goes into the core from its next term on, see replay/command_log.hpp.
    void record(std::unique_ptr<replay::CommandLog> log) {
        log_ = std::move(log);
    }
    void start();
    void stop(); // resigns
    void tick();
    void wake(); // what has become due; then the core takes what has gathered
    [[nodiscard]] double wake_at() const;
    std::function<void()> on_wake_at; // it may have become sooner
    void run_core();

    // A request of a user or a worker; one that a peer sends, its path with /peer.
    void serve(HttpRequest&& request, Responder res);
    void serve_peer(HttpRequest&& request, Responder res);

    [[nodiscard]] const Settings& settings() const {
        return settings_;
    }
    [[nodiscard]] TimerQueue& timers() {
        return timers_;
    }
    [[nodiscard]] store::StateStore& state() {
        return store_;
    }
    // Until when, by its clock, this node may act if it hears nothing more; 0: it may not.
    [[nodiscard]] double active_until() const {
        return election_.active_until();
    }
    [[nodiscard]] const Core* core() const { // while it is the leader
        return core_.get();
    }

private:
    // What the parts ask of each other goes through here.
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
    [[nodiscard]] std::map<std::string, std::size_t> machines_by_zone() const override;
    void cloud_answered(bool ok) override {
        members_.cloud_answered(ok);
    }
    void stored(JobStored&& command) override;
    void push(Command command) override;

    void serve(HttpRequest&& request, Responder res, bool forwarded);
    void perform(Effect& effect);
    [[nodiscard]] std::string metrics() const;

    const Settings settings_;
    std::shared_ptr<const Clock> clock_;
    TimerQueue timers_;
    metrics::Timings took_;
    membership::ObservedStore store_;
    std::unique_ptr<Executor> executor_;
    membership::ObservedPeers peers_;
    membership::Membership members_;
    leadership::LeaderElection election_;
    gateway::Gateway gateway_;
    workers::HeartbeatHandler heartbeat_handler_;
    cloud::CloudClient cloud_;

    std::unique_ptr<Core> core_;
    std::uint64_t life_ = 0; // of the core: answers for an earlier one are dropped
    std::vector<Command> queue_;
    bool running_core_ = false;
    std::unique_ptr<replay::CommandLog> log_;
};

} // namespace heronshift
