// What users ask: accept, look up, cancel, and pass on what only the leader can answer.
//
// Owns: the answers still owed to users, what it remembers of accepted jobs, the budgets of reads and
// submissions. May call the store, the peers, membership and, where this node acts, the core's view through
// its Host; never the leadership or a machine. Knows nothing of leases: its Host says whether this node acts.
#pragma once

#include "heronshift/core/core.hpp"
#include "heronshift/gateway/fair_token_bucket.hpp"
#include "heronshift/membership/membership.hpp"
#include "heronshift/metrics/timings.hpp"
#include "heronshift/peers/peers.hpp"
#include "heronshift/store/store.hpp"
#include "heronshift/timer_queue.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace heronshift::gateway {

inline constexpr int retry_soon_s = 1;

class Gateway {
public:
    class Host {
    public:
        virtual ~Host() = default;
        // The core, while this node may answer from its memory and decide; else none.
        [[nodiscard]] virtual const Core* active_core() const = 0;
        [[nodiscard]] virtual const std::string& leader() const = 0; // a hint, may be empty
        [[nodiscard]] virtual const std::vector<MachineType>& types() const = 0;
        virtual void push(Command command) = 0;       // to the core
        virtual void stored(JobStored&& command) = 0; // a job was accepted here
    };
    Gateway(const Settings& settings, TimerQueue& timers, store::StateStore& store, Peers& peers,
            const membership::Membership& members, metrics::Timings& took, Host& host);

    // A path of /v2/runs. passed_on: by another controller, so it is not passed on again.
    void serve(HttpRequest&& request, Responder res, bool forwarded);
    void tick();
    void on_leadership_lost(); // nothing that was asked of the core is answered by it any more

    // From the core.
    void answered(const AnswerCancellation& effect);
    void find(const std::string& id, std::function<void(JobFound&&)> done);

private:
    void submit(HttpRequest&& request, Responder res, bool forwarded);
    void poll(const std::string& id, const Responder& res);
    [[nodiscard]] std::optional<JobView> known_here(const std::string& id) const;
    void cancel(const std::string& id, HttpRequest&& request, Responder res, bool forwarded);
    void ask_core_to_cancel(const std::string& id, Responder res);
    using Otherwise = std::function<void(Responder)>;
    [[nodiscard]] std::vector<std::string> ways(bool to_leader, bool to_store) const;
    void forward(std::shared_ptr<const HttpRequest> request, Responder res, std::vector<std::string> to, double wait_s,
                 Otherwise otherwise);
    // Fresh reads: the final state if there is one, else whether the job was accepted.
    struct Found {
        bool known = false;   // the store has answered
        std::string status;   // empty: never accepted
        bool service = false; // if its final state says so
        std::optional<codec::Item> job;
    };
    void look_up(const std::string& id, std::function<void(Found)> done);
    // A submission that is checked, or on its way to the store.
    struct Submission {
        JobSpec spec;
        std::shared_ptr<const HttpRequest> request;
        Responder res;
        bool forwarded = false;
        double since = 0;
        std::size_t next_dependency = 0;
        int tries = 0;
    };
    using Open = std::shared_ptr<Submission>;
    void check_dependencies(const Open& submission);
    void accept(const Open& submission);
    void store_job(const Open& submission);
    void stored(const Open& submission, store::Answer&& answer, double at, double began);
    void refuse_unless_known(const std::string& id, int status, const std::string& why, const Responder& res);
    void remember_final(const std::string& id, const std::string& status);
    bool tell_final(const std::string& id, const Responder& res) const; // false: none is known here
    [[nodiscard]] std::string impossible(const JobSpec& spec) const;

    const Settings& settings_;
    TimerQueue& timers_;
    store::StateStore& store_;
    Peers& peers_;
    const membership::Membership& members_;
    metrics::Timings& took_;
    Host& host_;
    FairTokenBucket reads_, submissions_;
    std::size_t max_lookups_, lookups_ = 0; // under way
    std::uint64_t handle_seq_ = 0, generation_ = 0;
    struct Cancel {
        Responder res;
        std::string id;
        double since = 0;
    };
    std::map<std::uint64_t, Cancel> cancels_;
    BoundedCache<bool> accepted_;
    BoundedCache<std::string> finals_; // never taken back, so whoever heard of one may tell it
};

} // namespace heronshift::gateway
