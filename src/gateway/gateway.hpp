// The users' requests: submit, look up and cancel jobs.
#pragma once

#include "core/core.hpp"
#include "gateway/fair_token_bucket.hpp"
#include "heronshift/store/store.hpp"
#include "membership/membership.hpp"
#include "metrics/timings.hpp"
#include "peers/peers.hpp"
#include "timer_queue.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace heronshift::gateway {

/// What a user is told to wait before asking again, in seconds (Retry-After).
inline constexpr int retry_soon_s = 1;

/// Answers users: from memory where this node is the active leader, from the store where it is not, and by way of
/// another controller where only that one can answer. It keeps the answers that are still owed, what it remembers of
/// accepted and finished jobs, and the budgets of reads and submissions.
///
/// It uses the store, the peers and membership, and through its Host the core's view. It does not judge who leads:
/// Host::active_core() says whether this node may decide.
///
/// All calls and callbacks on the thread of the node's loop.
class Gateway {
public:
    /// What the gateway needs of the node around it.
    class Host {
    public:
        virtual ~Host() = default;
        /// The core, while this node may answer from its memory and decide; else null.
        [[nodiscard]] virtual const Core* active_core() const = 0;
        /// The name of the leader: a hint, may be empty.
        [[nodiscard]] virtual const std::string& leader() const = 0;
        /// The machine types; empty: not known yet.
        [[nodiscard]] virtual const std::vector<MachineType>& types() const = 0;
        /// Hands a command to the core.
        virtual void push(Command command) = 0;
        /// A job was accepted here.
        virtual void stored(JobStored&& command) = 0;
    };
    Gateway(const Settings& settings, TimerQueue& timers, store::StateStore& store, Peers& peers,
            const membership::Membership& membership, metrics::Timings& timings, Host& host);

    /// A request to a path under codec::path_jobs. forwarded: by another controller, so it is not passed on again.
    void serve(HttpRequest&& request, const Responder& res, bool forwarded);
    /// Refuses cancellations that the store does not take in time. To be called some thirty times in report_s.
    void tick();
    /// Refuses what was asked of the core, which answers nothing any more.
    void on_leadership_lost();

    /// The core's answer to CancellationRequested.
    void answered(const AnswerCancellation& effect);
    /// Finds out for the core what the store says of a job.
    void find(const std::string& id, std::function<void(JobFound&&)> done);

private:
    enum class Acceptance : std::uint8_t { unanswered, never_accepted, accepted };
    // What a fresh read of the store says of a job.
    struct LookupResult {
        Acceptance acceptance = Acceptance::unanswered;
        std::string status;             // if accepted, as users are told it
        bool service = false;           // if its final state says so
        bool cascaded = false;          // a cascade record says that it is cancelled
        std::optional<codec::Item> job; // its record, as far as it was read
        void accepted_as(std::string_view known_status);
    };
    using LookupDone = std::function<void(const LookupResult&)>;
    struct Lookup {
        std::string id;
        LookupDone done;
        LookupResult result;
    };
    using OpenLookup = std::shared_ptr<Lookup>;
    enum class FinalState : std::uint8_t { unanswered, none, damaged, read };

    // A submission that is checked, or on its way to the store.
    struct Submission {
        JobSpec spec;
        std::shared_ptr<const HttpRequest> request;
        Responder res;
        bool forwarded = false;
        double since = 0; // by the steady clock, in seconds
        std::size_t next_dependency = 0;
        int tries = 0; // that the store refused for its budget
    };
    using OpenSubmission = std::shared_ptr<Submission>;

    // A cancellation that the core has not answered.
    struct Cancellation {
        Responder res;
        std::string id;
        double since = 0; // by the steady clock, in seconds
    };

    using Otherwise = std::function<void(const Responder&)>;
    using SharedRequest = std::shared_ptr<const HttpRequest>;

    void get(const std::string& id, HttpRequest&& request, const Responder& res, bool forwarded);
    void poll(const std::string& id, const Responder& res);
    [[nodiscard]] std::optional<JobView> known_here(const std::string& id) const;
    void cancel(const std::string& id, HttpRequest&& request, const Responder& res, bool forwarded);
    void ask_core_to_cancel(const std::string& id, const Responder& res);
    void cancel_stored(const Cancellation& cancellation, const LookupResult& found);

    [[nodiscard]] std::vector<std::string> alternatives(bool to_leader, bool to_store) const;
    void forward(SharedRequest request, const Responder& res, std::vector<std::string> to, double wait_s,
                 Otherwise otherwise);

    void look_up(const std::string& id, LookupDone done);
    [[nodiscard]] bool may_look_up(const std::string& id);
    [[nodiscard]] static FinalState read_final(const store::Answer& answer, LookupResult& result);
    void read_first(const OpenLookup& lookup);
    void read_record(const OpenLookup& lookup);
    void read_cascades(const OpenLookup& lookup);
    void read_last(const OpenLookup& lookup);
    void end_lookup(const OpenLookup& lookup);

    void submit(HttpRequest&& request, const Responder& res, bool forwarded);
    void refuse_invalid(const std::string& body, const std::string& why, const Responder& res);
    void check_dependencies(const OpenSubmission& submission);
    void look_up_dependency(const OpenSubmission& submission, const std::string& id);
    void refuse_dependency(const OpenSubmission& submission, const std::string& why);
    void accept(const OpenSubmission& submission);
    void store_job(const OpenSubmission& submission);
    void stored(const OpenSubmission& submission, const store::Answer& answer, double at, double began);
    void refuse_unless_known(const std::string& id, int status, const std::string& why, const Responder& res);
    void remember_final(const std::string& id, const std::string& status);
    [[nodiscard]] bool tell_final(const std::string& id, const Responder& res) const; // false: none is known here
    [[nodiscard]] bool tell_known(const std::string& id, const Responder& res) const; // false: not known here
    [[nodiscard]] std::string impossible(const JobSpec& spec) const;                  // why; empty: it is not
    [[nodiscard]] std::string beyond_team_limits(const JobSpec& spec) const;
    [[nodiscard]] bool fits_a_type(const JobSpec& spec) const;

    const Settings& settings_;
    TimerQueue& timers_;
    store::StateStore& store_;
    Peers& peers_;
    const membership::Membership& membership_;
    metrics::Timings& timings_;
    Host& host_;
    FairTokenBucket reads_, submissions_;
    std::size_t max_lookups_, lookups_ = 0; // under way
    std::uint64_t handle_seq_ = 0;
    std::uint64_t generation_ = 0; // counts losses of the leadership
    std::map<std::uint64_t, Cancellation> cancellations_;
    BoundedCache<bool> accepted_;
    BoundedCache<std::string> finals_; // never taken back, so whoever heard of one may tell it
};

} // namespace heronshift::gateway
