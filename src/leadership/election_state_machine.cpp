#include "leadership/election_state_machine.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <spdlog/spdlog.h>
#include <utility>

namespace heronshift::leadership {
namespace {

constexpr double acquisition_step_timeout_s = 1;
constexpr double revoke_timeout_s = 1;
constexpr double takeover_timeout_s = 1;
constexpr double min_leader_read_delay_s = 0.01;

// In heartbeat intervals (`report_s`).
// Interval between checks of the links.
constexpr double link_check_interval_heartbeats = 1.0 / 10;
// How long the leader named by the store counts as current.
constexpr double max_leader_read_age_heartbeats = 2;
// Time without confirmation by the store or a peer after which the leader counts as unknown.
constexpr double leader_unconfirmed_timeout_heartbeats = 2;

// The store lease is short, so that another node can take over soon after the leader has failed. Outages of the store
// that last longer are bridged by extension votes.
double lease_ttl_s(const Settings& settings) {
    return std::min(settings.report_s, settings.lease_s / 5);
}

// Planned changes of leader are logged as information, all others as warnings.
spdlog::level::level_enum log_level(ResignReason reason) {
    const bool planned = reason == ResignReason::shutting_down || reason == ResignReason::better_candidate;
    return planned ? spdlog::level::info : spdlog::level::warn;
}

void log_resignation(std::uint64_t term, const Resignation& resignation) {
    auto line = fmt::format("resigned term={} reason={}", term, to_string(resignation.reason));
    if (!resignation.successors.empty())
        line += " peer=" + resignation.successors.front();
    if (!resignation.details.empty())
        line += " " + resignation.details;
    spdlog::log(log_level(resignation.reason), "{}", line);
}

} // namespace

ElectionStateMachine::ElectionStateMachine(const Settings& settings, const LinkHints& hints, double now)
    : settings_(settings), hints_(hints), leader_lease_(lease_ttl_s(settings), settings.peers.size(), now),
      candidate_policy_(settings) {}

template <typename Action> void ElectionStateMachine::add(ElectionActions& actions, Action&& action) const {
    actions.push_back({epoch_, std::forward<Action>(action)});
}

ElectionActions ElectionStateMachine::start() {
    ElectionActions actions;
    read_leader(actions);
    return actions;
}

ElectionActions ElectionStateMachine::tick(double now) {
    ElectionActions actions;
    if (holds_leadership() && now >= next_renewal_at_)
        renew(actions, now);
    if (now < next_link_check_at_)
        return actions;
    next_link_check_at_ = now + link_check_interval_heartbeats * settings_.report_s;
    if (valid(now)) {
        consider_better_candidates(actions, now);
        return actions;
    }
    learn_leader_from_peers(actions, now);
    if (holds_leadership())
        resign_if_store_unavailable(actions, now);
    return actions;
}

bool ElectionStateMachine::sees_leader(double now) const {
    if (valid(now))
        return true;
    return role_ == Role::follower && leader_read_at_ >= 0 &&
           now - leader_read_at_ < max_leader_read_age_heartbeats * settings_.report_s && hints_.store_reachable();
}

// Watching the leader record as a follower.

void ElectionStateMachine::read_leader(ElectionActions& actions) const {
    if (role_ == Role::follower)
        add(actions, ReadLeader{settings_.report_s / 2});
}

void ElectionStateMachine::read_leader_after(ElectionActions& actions, double delay_s) const {
    add(actions, ReadLeaderAfter{delay_s});
}

ElectionActions ElectionStateMachine::leader_read_due(std::uint64_t epoch) {
    ElectionActions actions;
    if (epoch == epoch_)
        read_leader(actions);
    return actions;
}

ElectionActions ElectionStateMachine::leader_changed(std::uint64_t epoch, StoreOutcome outcome) {
    ElectionActions actions;
    if (epoch == epoch_)
        read_leader_after(actions, outcome == StoreOutcome::ok ? 0 : settings_.report_s / 6);
    return actions;
}

ElectionActions ElectionStateMachine::previous_lease_revoked(std::uint64_t epoch) {
    ElectionActions actions;
    if (epoch == epoch_)
        read_leader_after(actions, min_leader_read_delay_s);
    return actions;
}

ElectionActions ElectionStateMachine::leader_read(std::uint64_t epoch, double now, StoreOutcome outcome,
                                                  const std::optional<LeaderRecord>& record, std::uint64_t revision) {
    ElectionActions actions;
    if (epoch != epoch_ || role_ != Role::follower)
        return actions;
    leader_lease_.record_store_answer(outcome == StoreOutcome::ok || outcome == StoreOutcome::not_found, now);
    if (outcome == StoreOutcome::not_found)
        handle_leader_absent(actions, now);
    else if (record)
        handle_leader_observed(actions, now, *record, revision);
    else
        read_leader_after(actions, settings_.report_s / 6);
    return actions;
}

void ElectionStateMachine::handle_leader_absent(ElectionActions& actions, double now) {
    leader_.clear();
    leader_read_at_ = now;
    if (leader_absent_since_ < 0)
        leader_absent_since_ = now;
    // An extension vote that this node has given forbids it to become leader for a while (docs/safety.md, "Outages";
    // fails without this check: ExtensionVotes).
    const bool may_acquire = leader_lease_.may_acquire(now);
    spdlog::debug("leader absent may_acquire={}", may_acquire);
    if (!may_acquire)
        return read_leader_after(actions,
                                 std::max(min_leader_read_delay_s, leader_lease_.earliest_acquisition_at() - now));
    // Better candidates get the first chance. The delay is limited, because the view that a peer is a better candidate
    // may be wrong.
    const double wait_s = leader_absent_since_ + hints_.candidacy_delay_s() - now;
    if (wait_s > 0)
        return read_leader_after(actions, std::min(wait_s, settings_.report_s / 8));
    acquire(actions, now);
}

void ElectionStateMachine::handle_leader_observed(ElectionActions& actions, double now, const LeaderRecord& record,
                                                  std::uint64_t revision) {
    leader_read_at_ = now;
    leader_absent_since_ = -1;
    if (record.node == settings_.name) {
        // The record names this node although this process is a follower: the node has restarted, and the process that
        // was leader under its name has ended (invariant 3).
        leader_lease_.previous_process_was_leader();
        spdlog::info("revoking lease of previous process lease={} term={}", record.store_lease, record.term);
        return add(actions, RevokePreviousLease{record.store_lease, settings_.report_s / 2});
    }
    if (record.node != leader_)
        spdlog::info("leader observed node={} term={} source=store", record.node, record.term);
    leader_ = record.node;
    leader_term_ = record.term;
    add(actions, FollowLeader{revision, settings_.report_s});
}

// While the store does not answer this node, its peers may know who the leader is. What they report is only a hint: it
// is used to forward requests and to redirect workers to the leader.
void ElectionStateMachine::learn_leader_from_peers(ElectionActions& actions, double now) {
    const auto reported = hints_.reported_leader();
    if (sees_leader(now) || (reported && reported->leader == leader_ && reported->term == leader_term_))
        leader_confirmed_at_ = now;
    // An outdated leader is worse than an unknown one: requests and workers would be sent to a node that may no longer
    // be the leader.
    if (role_ == Role::follower && !leader_.empty() &&
        now - leader_confirmed_at_ > leader_unconfirmed_timeout_heartbeats * settings_.report_s) {
        spdlog::info("leader unknown");
        leader_.clear();
    }
    if (!reported || reported->leader == settings_.name || reported->leader == leader_)
        return;
    // A leader that is cut off from the store and whose validity has ended would not learn from the store that another
    // node has become leader, and would keep its machines waiting.
    if (is_leader() && reported->term > term_)
        return resign(actions, {ResignReason::newer_term_reported,
                                {},
                                fmt::format("leader={} leader_term={}", reported->leader, reported->term)});
    if (role_ == Role::follower)
        adopt_reported_leader(now, *reported);
}

void ElectionStateMachine::adopt_reported_leader(double now, const membership::Membership::ReportedLeader& reported) {
    if (reported.term < leader_term_ || (reported.term == leader_term_ && sees_leader(now)))
        return;
    leader_confirmed_at_ = now;
    if (!reported.leader.empty())
        spdlog::info("leader observed node={} term={} source=peer", reported.leader, reported.term);
    leader_ = reported.leader;
    leader_term_ = reported.term;
}

// Acquiring the leadership.

void ElectionStateMachine::acquire(ElectionActions& actions, double now) {
    role_ = Role::acquiring;
    ++epoch_;
    store_lease_ = 0;
    store_lease_requested_at_ = now;
    add(actions, CreateStoreLease{leader_lease_.ttl_s(), acquisition_step_timeout_s});
}

ElectionActions ElectionStateMachine::store_lease_created(std::uint64_t epoch, StoreOutcome outcome,
                                                          std::uint64_t store_lease) {
    ElectionActions actions;
    if (epoch != epoch_)
        return actions;
    if (outcome != StoreOutcome::ok) {
        acquisition_failed(actions);
        return actions;
    }
    store_lease_ = store_lease;
    add(actions, ReadTermCounter{acquisition_step_timeout_s});
    return actions;
}

ElectionActions ElectionStateMachine::term_counter_read(std::uint64_t epoch, StoreOutcome outcome,
                                                        const std::optional<TermCounter>& counter,
                                                        std::uint64_t revision) {
    ElectionActions actions;
    if (epoch != epoch_)
        return actions;
    if (outcome == StoreOutcome::not_found)
        claim(actions, 1, 0);
    else if (outcome == StoreOutcome::ok && counter)
        claim(actions, counter->term + 1, revision);
    else
        acquisition_failed(actions);
    return actions;
}

// Invariant 1: the claim succeeds only if there is no leader record and the term counter is unchanged since it was
// read.
void ElectionStateMachine::claim(ElectionActions& actions, std::uint64_t term, std::uint64_t term_counter_revision) {
    term_ = term;
    add(actions, ClaimLeadership{LeaderRecord{settings_.name, store_lease_, term_}, term_counter_revision,
                                 acquisition_step_timeout_s});
}

ElectionActions ElectionStateMachine::claim_answered(std::uint64_t epoch, double now, StoreOutcome outcome,
                                                     std::uint64_t revision) {
    ElectionActions actions;
    // This is checked before the epoch, because a claim that this node has given up may still be applied later
    // (invariant 26; fails without this check: ExtensionVotes.AreNotGivenWhileAnAttemptMayStillBeApplied).
    if (may_be_applied(outcome))
        leader_lease_.acquisition_in_doubt();
    if (epoch != epoch_)
        return actions;
    if (outcome == StoreOutcome::ok)
        begin_term(actions, now, revision);
    else
        acquisition_failed(actions);
    return actions;
}

void ElectionStateMachine::acquisition_failed(ElectionActions& actions) {
    spdlog::debug("acquisition failed");
    if (store_lease_ != 0)
        add(actions, RevokeStoreLease{store_lease_, revoke_timeout_s});
    role_ = Role::follower;
    ++epoch_;
    read_leader_after(actions, settings_.report_s / 10);
}

void ElectionStateMachine::begin_term(ElectionActions& actions, double now, std::uint64_t revision) {
    role_ = Role::loading;
    leader_ = settings_.name;
    leader_term_ = term_;
    acquired_at_ = now;
    leader_lease_.begin();
    // Validity counts from when the request for the store lease was sent (invariant 1).
    leader_lease_.store_lease_renewed(store_lease_requested_at_);
    candidate_policy_.begin_term();
    served_peers_.clear();
    failed_renewal_sent_at_ = -1;
    extension_logged_ = false;
    next_renewal_at_ = 0;
    leader_absent_since_ = -1;
    ++counts_.acquisitions;
    spdlog::info("became leader term={}", term_);
    spdlog::info("leader links term={} links=\"{}\"", term_, describe(hints_.own_eligibility()));
    add(actions, BeginTerm{term_, revision});
}

void ElectionStateMachine::state_loaded() {
    role_ = Role::leader;
}

// Renewing the leader lease.

void ElectionStateMachine::renew(ElectionActions& actions, double now) {
    const double ttl_s = leader_lease_.ttl_s();
    next_renewal_at_ = now + ttl_s / 6;
    add(actions, RenewStoreLease{store_lease_, now, ttl_s / 5});
    if (is_leader() && leader_lease_.wants_extension_votes(now))
        add(actions, RequestExtensionVotes{{settings_.name, term_, leader_lease_.extension_s()}, now, ttl_s / 5});
}

ElectionActions ElectionStateMachine::store_lease_renewed(std::uint64_t epoch, double now, double sent_at,
                                                          StoreOutcome outcome) {
    ElectionActions actions;
    if (epoch != epoch_)
        return actions;
    if (outcome == StoreOutcome::ok || is_store_failure(outcome))
        leader_lease_.record_store_answer(outcome == StoreOutcome::ok, now);
    if (outcome == StoreOutcome::ok) {
        leader_lease_.store_lease_renewed(sent_at);
        return actions;
    }
    failed_renewal_sent_at_ = std::max(failed_renewal_sent_at_, sent_at);
    if (outcome == StoreOutcome::not_found)
        resign(actions, {ResignReason::store_lease_expired, {}, {}});
    return actions;
}

ElectionActions ElectionStateMachine::extension_vote_received(std::uint64_t epoch, double now, double sent_at,
                                                              const std::string& peer,
                                                              const ExtensionVoteAnswer& answer) {
    ElectionActions actions;
    if (epoch != epoch_)
        return actions;
    if (answer.vote == ExtensionVoteAnswer::Vote::granted)
        extension_granted(peer, sent_at, now);
    if (answer.vote == ExtensionVoteAnswer::Vote::refused && answer.served_by_store) {
        served_peers_[peer] = sent_at;
        // Wait for the answers of further peers before a successor is chosen.
        add(actions, CheckServedPeersAfter{leader_lease_.ttl_s() / 40});
    }
    return actions;
}

void ElectionStateMachine::extension_granted(const std::string& peer, double sent_at, double now) {
    if (!leader_lease_.extension_granted(peer, sent_at, now) || extension_logged_)
        return;
    extension_logged_ = true;
    spdlog::info("lease extended by votes term={}", term_);
}

ElectionActions ElectionStateMachine::served_peers_due(std::uint64_t epoch, double now) {
    ElectionActions actions;
    if (epoch == epoch_ && valid(now))
        resign_to_served_peer(actions, now);
    return actions;
}

ExtensionVoteAnswer ElectionStateMachine::vote(const ExtensionVoteRequest& request, double now, StoreOutcome own_read) {
    const bool store_failed = is_store_failure(own_read);
    leader_lease_.record_store_answer(!store_failed, now);
    if (leader_lease_.grant_extension(request.duration_s, now, role_ == Role::follower, store_failed))
        return {ExtensionVoteAnswer::Vote::granted, false};
    return {ExtensionVoteAnswer::Vote::refused, !store_failed};
}

// Resignation.

bool ElectionStateMachine::workers_silent(double now) const {
    return candidate_policy_.workers_silent(
               {now, acquired_at_, hints_.last_worker_contact_at(), hints_.all_zones_lost()}) &&
           hints_.machines_up() >= CandidatePolicy::min_machines_to_judge_silence;
}

void ElectionStateMachine::consider_better_candidates(ElectionActions& actions, double now) {
    auto resignation = candidate_policy_.decide({now, acquired_at_, hints_.store_reachable(), workers_silent(now),
                                                 hints_.better_candidate(), hints_.no_better_candidate()});
    if (!resignation)
        return;
    if (resignation->reason == ResignReason::no_worker_heartbeats)
        ++counts_.resignations_without_workers;
    if (resignation->reason == ResignReason::better_candidate)
        resignation->details = fmt::format("peer_links=\"{}\" own_links=\"{}\"",
                                           describe(hints_.eligibility(resignation->successors.front())),
                                           describe(hints_.own_eligibility()));
    resign(actions, *resignation);
}

void ElectionStateMachine::resign_if_store_unavailable(ElectionActions& actions, double now) {
    const double inactive_since = is_leader() ? std::max(leader_lease_.valid_until(), acquired_at_) : acquired_at_;
    if (candidate_policy_.inactive_for_too_long(now, inactive_since))
        return resign(actions, {ResignReason::store_unavailable, {}, {}});
    if (!is_leader())
        return;
    if (const auto peer = hints_.peer_served_by_store(); peer)
        resign(actions, {ResignReason::store_serves_peer, {*peer}, {}});
}

void ElectionStateMachine::resign_to_served_peer(ElectionActions& actions, double now) {
    const double ttl_s = leader_lease_.ttl_s();
    if (!CandidatePolicy::store_refuses_renewals({now, leader_lease_.renewed_at(), failed_renewal_sent_at_, ttl_s}))
        return;
    std::vector<ServedPeer> served;
    for (const auto& [name, asked_at] : served_peers_)
        served.push_back({name, asked_at, hints_.eligibility(name)});
    auto successors = CandidatePolicy::successors(std::move(served), now, ttl_s);
    if (!successors.empty())
        resign(actions, {ResignReason::store_serves_peer, std::move(successors), {}});
}

ElectionActions ElectionStateMachine::resign(const Resignation& resignation) {
    ElectionActions actions;
    resign(actions, resignation);
    return actions;
}

void ElectionStateMachine::resign(ElectionActions& actions, const Resignation& resignation) {
    if (role_ == Role::follower)
        return;
    log_resignation(term_, resignation);
    const auto store_lease = std::exchange(store_lease_, 0);
    ++epoch_;
    role_ = Role::follower;
    leader_lease_.begin();
    leader_.clear();
    add(actions, EndTerm{});
    if (store_lease != 0)
        add(actions, RevokeStoreLease{store_lease, revoke_timeout_s});
    if (store_lease != 0 && !resignation.successors.empty()) {
        ++counts_.handovers;
        add(actions, OfferTakeover{{settings_.name, term_, store_lease}, resignation.successors, takeover_timeout_s});
    }
    read_leader_after(actions, settings_.report_s / 10);
}

ElectionActions ElectionStateMachine::takeover_accepted() {
    ElectionActions actions;
    if (role_ != Role::follower)
        return actions;
    ++epoch_; // the read below replaces the pending read, wait or timer
    read_leader(actions);
    return actions;
}

} // namespace heronshift::leadership
