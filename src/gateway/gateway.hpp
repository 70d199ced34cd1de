// Serves the users' requests: submitting, looking up and cancelling jobs.
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

/// The time after which a refused user should retry, in seconds (the header Retry-After).
inline constexpr int default_retry_after_s = 1;

/// Answers users: from memory if this node is the active leader, else from the store, or by forwarding the request to
/// another controller if only that one can answer. Its state: the cancellations whose answer is outstanding, caches of
/// accepted jobs and of final states, and the token buckets for reads and submissions.
///
/// It uses the store, the peers and the membership, and through its `Host` the core's view of jobs. It doesn't decide
/// who leads: Host::active_core() says whether this node may answer from memory.
///
/// All calls and callbacks run on the thread of the node's loop.
class Gateway {
public:
    /// What the gateway needs from its node.
    class Host {
    public:
        virtual ~Host() = default;
        /// The core, if this node may act as the leader at this moment; else null.
        [[nodiscard]] virtual const Core* active_core() const = 0;
        /// The name of the leader as far as this node knows: a hint, empty if not known.
        [[nodiscard]] virtual const std::string& leader() const = 0;
        /// The machine types; empty until they are known.
        [[nodiscard]] virtual const std::vector<MachineType>& types() const = 0;
        /// Hands a command to the core.
        virtual void push(Command command) = 0;
        /// The store has accepted a job that was submitted to this node.
        virtual void stored(JobStored&& command) = 0;
    };
    Gateway(const Settings& settings, TimerQueue& timers, store::StateStore& store, Peers& peers,
            const membership::Membership& membership, metrics::Timings& timings, Host& host);

    /// Handles a request to a path under codec::path_jobs. `forwarded`: another controller has forwarded it, so it is
    /// not forwarded again.
    void serve(HttpRequest&& request, const Responder& res, bool forwarded);
    /// Refuses cancellations that were not stored in time. To be called about thirty times per report_s.
    void tick();
    /// Refuses the cancellations that wait for the core, which will not answer them any more.
    void on_leadership_lost();

    /// Handles the core's answer to a `CancellationRequested` command.
    void answer_cancellation(const AnswerCancellation& effect);
    /// Looks a job up in the store for the core.
    void find(const std::string& id, std::function<void(JobFound&&)> done);

private:
    enum class Acceptance : std::uint8_t { unanswered, never_accepted, accepted };
    // What the store says about a job, read after the request came.
    struct LookupResult {
        Acceptance acceptance = Acceptance::unanswered;
        std::string status;                // if accepted: the status in answers to users
        bool service = false;              // whether the final state says that the job is a service
        bool cancelled_by_cascade = false; // whether a cascade record says that it is cancelled
        std::optional<codec::Item> job;    // its record, if that was read and exists
        void set_accepted(std::string_view known_status);
    };
    using LookupDone = std::function<void(const LookupResult&)>;
    struct Lookup {
        std::string id;
        LookupDone done;
        LookupResult result;
    };
    using LookupPtr = std::shared_ptr<Lookup>;
    enum class FinalStateRead : std::uint8_t { unanswered, none, damaged, read };

    // A submission that is being checked or stored.
    struct Submission {
        JobSpec spec;
        std::shared_ptr<const HttpRequest> request;
        Responder res;
        bool forwarded = false;
        double received_at = 0;          // when it was received, in seconds of the steady clock
        std::size_t next_dependency = 0; // the dependencies before this index have been checked
        int store_retries = 0;           // attempts that the store refused because its rate limit was exceeded
    };
    using SubmissionPtr = std::shared_ptr<Submission>;

    // A cancellation that waits for the core's answer.
    struct Cancellation {
        Responder res;
        std::string id;
        double received_at = 0; // when it was handed to the core, in seconds of the steady clock
    };

    using Fallback = std::function<void(const Responder&)>;
    using SharedRequest = std::shared_ptr<const HttpRequest>;

    void get(const std::string& id, HttpRequest&& request, const Responder& res, bool forwarded);
    void answer_status(const std::string& id, const Responder& res);
    [[nodiscard]] std::optional<JobView> view_from_memory(const std::string& id) const;
    void cancel(const std::string& id, HttpRequest&& request, const Responder& res, bool forwarded);
    void request_cancellation(const std::string& id, const Responder& res);
    void cancel_stored_job(const Cancellation& cancellation, const LookupResult& found);

    [[nodiscard]] std::vector<std::string> forwarding_targets(bool to_leader, bool to_store) const;
    void forward(SharedRequest request, const Responder& res, std::vector<std::string> targets, double time_left_s,
                 Fallback fallback);

    void look_up(const std::string& id, LookupDone done);
    [[nodiscard]] bool begin_lookup(const std::string& id);
    [[nodiscard]] static FinalStateRead parse_final_state(const store::Answer& answer, LookupResult& result);
    void read_final_state(const LookupPtr& lookup);
    void read_job_record(const LookupPtr& lookup);
    void read_cascade_records(const LookupPtr& lookup);
    void reread_final_state(const LookupPtr& lookup);
    void end_lookup(const LookupPtr& lookup);

    void submit(HttpRequest&& request, const Responder& res, bool forwarded);
    void refuse_invalid(const std::string& body, const std::string& why, const Responder& res);
    void check_dependencies(const SubmissionPtr& submission);
    void look_up_dependency(const SubmissionPtr& submission, const std::string& id);
    void refuse_dependency(const SubmissionPtr& submission, const std::string& why);
    void accept(const SubmissionPtr& submission);
    void store_job(const SubmissionPtr& submission);
    void stored(const SubmissionPtr& submission, const store::Answer& answer, double sent_at_wall, double sent_at);
    void refuse_unless_known(const std::string& id, int status, const std::string& why, const Responder& res);
    void cache_final_state(const std::string& id, const std::string& status);
    [[nodiscard]] bool send_cached_final_state(const std::string& id, const Responder& res) const; // false: none cached
    [[nodiscard]] bool send_status_if_known(const std::string& id, const Responder& res) const; // false: job not known
    [[nodiscard]] std::string infeasibility_reason(const JobSpec& spec) const; // why it can never run; empty: it can
    [[nodiscard]] std::string exceeded_team_limit(const JobSpec& spec) const;
    [[nodiscard]] bool fits_any_type(const JobSpec& spec) const;

    const Settings& settings_;
    TimerQueue& timers_;
    store::StateStore& store_;
    Peers& peers_;
    const membership::Membership& membership_;
    metrics::Timings& timings_;
    Host& host_;
    FairTokenBucket read_budget_, submission_budget_;
    std::size_t max_lookups_, lookups_in_flight_ = 0; // limit and number of look-ups in flight
    std::uint64_t handle_seq_ = 0;
    std::uint64_t generation_ = 0; // incremented when the leadership is lost
    std::map<std::uint64_t, Cancellation> cancellations_;
    BoundedCache<bool> accepted_jobs_;
    BoundedCache<std::string> final_states_; // status by job; never outdated, since a final state never changes
};

} // namespace heronshift::gateway
