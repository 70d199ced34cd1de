#include "leadership/leader_election.hpp"

#include "leadership/leader_records.hpp"
#include "leadership/peer_messages.hpp"
#include "leadership/store_outcome.hpp"

#include <fmt/format.h>
#include <utility>

namespace heronshift::leadership {
namespace {

constexpr const char* http_post = "POST";

void send(const Responder& res, const HttpReply& reply) {
    res.send(reply.status, reply.body);
}

std::uint64_t revision_of(const store::Answer& answer) {
    return answer.item ? answer.item->mod_revision : 0;
}

} // namespace

// LeaderElection::Hints.

bool LeaderElection::Hints::store_reachable() const {
    return membership_.store() != membership::Reachability::unreachable;
}

bool LeaderElection::Hints::all_zones_lost() const {
    return membership_.all_zones_lost();
}

double LeaderElection::Hints::last_worker_contact_at() const {
    return membership_.last_worker_contact_at();
}

std::size_t LeaderElection::Hints::machines_up() const {
    return host_.machines_up();
}

double LeaderElection::Hints::candidacy_delay_s() const {
    return membership_.candidacy_delay_s();
}

std::optional<std::string> LeaderElection::Hints::better_candidate() const {
    return membership_.better_candidate();
}

bool LeaderElection::Hints::no_better_candidate() const {
    return membership_.no_better_candidate();
}

std::optional<std::string> LeaderElection::Hints::peer_served_by_store() const {
    return membership_.peer_served_by_store();
}

std::optional<membership::Membership::ReportedLeader> LeaderElection::Hints::reported_leader() const {
    return membership_.reported_leader();
}

membership::Eligibility LeaderElection::Hints::own_eligibility() const {
    return membership_.own_eligibility();
}

membership::Eligibility LeaderElection::Hints::eligibility(const std::string& peer) const {
    return membership_.eligibility(peer);
}

// Public functions and requests from peers.

LeaderElection::LeaderElection(const Settings& settings, TimerQueue& timers, store::StateStore& store, Peers& peers,
                               const membership::Membership& membership, metrics::Timings& timings, Host& host)
    : settings_(settings), timers_(timers), store_(store), peers_(peers), host_(host), hints_(membership, host),
      state_machine_(settings, hints_, timers.now()), state_loader_(settings, timers, store),
      transactions_(settings, timers, store, timings,
                    {[this](TxnOutcome outcome) { host_.committed(outcome); },
                     [this](ResignReason reason) {
                         perform(state_machine_.resign({reason, {}, {}}));
                     },
                     [this] { return valid(); }}) {}

void LeaderElection::start() {
    perform(state_machine_.start());
}

void LeaderElection::tick() {
    perform(state_machine_.tick(timers_.now()));
}

void LeaderElection::stop() {
    if (is_leader())
        perform(state_machine_.resign({ResignReason::shutting_down, {}, {}}));
}

void LeaderElection::resign(const std::string& why) {
    perform(state_machine_.resign({ResignReason::newer_fencing_token, {}, fmt::format("details=\"{}\"", why)}));
}

void LeaderElection::handle_extension_vote_request(const HttpRequest& request, const Responder& res) {
    const auto vote_request = decode_extension_vote_request(request.body);
    if (!vote_request)
        return send(res, encode(ExtensionVoteAnswer{ExtensionVoteAnswer::Vote::malformed, false}));
    store_.get(leader_key, state_machine_.store_lease_ttl_s() / 10,
               [this, res, vote_request = *vote_request](store::Answer&& answer) {
                   send(res, encode(state_machine_.vote(vote_request, timers_.now(), store_outcome(answer))));
               });
}

void LeaderElection::handle_takeover_request(const HttpRequest& request, const Responder& res) {
    const auto takeover = decode_takeover_request(request.body);
    if (!takeover)
        return send(res, encode(TakeoverAnswer::malformed));
    if (state_machine_.role() != ElectionStateMachine::Role::follower)
        return send(res, encode(TakeoverAnswer::not_follower));
    store_.get(leader_key, settings_.report_s / 4,
               [this, takeover = *takeover, res](store::Answer&& answer) { answer_takeover(takeover, answer, res); });
}

void LeaderElection::answer_takeover(const TakeoverRequest& request, const store::Answer& answer,
                                     const Responder& res) {
    if (store_outcome(answer) == StoreOutcome::not_found)
        return accept_takeover(res);
    const LeaderRecord expected{request.node, request.store_lease, request.term};
    if (decode_leader_record(answer.item) != expected)
        return send(res, encode(TakeoverAnswer::outdated));
    store_.revoke_lease(request.store_lease, settings_.report_s / 4,
                        [this, res](store::Answer&&) { accept_takeover(res); });
}

void LeaderElection::accept_takeover(const Responder& res) {
    send(res, encode(TakeoverAnswer::accepted));
    perform(state_machine_.takeover_accepted());
}

std::vector<metrics::Value> LeaderElection::metrics() const {
    const auto value = [](std::uint64_t n) { return static_cast<double>(n); };
    const auto& counts = state_machine_.counts();
    return {
        {"heronshift_office_held", "by this controller: 1", valid() ? 1.0 : 0.0},
        {"heronshift_office_taken_total", "times this controller took the office", value(counts.acquisitions)},
        {"heronshift_office_handed_over_total", "times it gave the office to a fitter one", value(counts.handovers)},
        {"heronshift_office_deaf_total", "times it gave the office up for want of workers",
         value(counts.resignations_without_workers)}};
}

// Performing the actions of the state machine.

void LeaderElection::perform(ElectionActions actions) {
    for (const auto& action : actions)
        std::visit([&](const auto& operation) { perform(action.epoch, operation); }, action.operation);
}

void LeaderElection::perform(std::uint64_t epoch, const ReadLeader& action) {
    store_.get(leader_key, action.timeout_s, [this, epoch](store::Answer&& answer) {
        perform(state_machine_.leader_read(epoch, timers_.now(), store_outcome(answer),
                                           decode_leader_record(answer.item), revision_of(answer)));
    });
}

void LeaderElection::perform(std::uint64_t epoch, const FollowLeader& action) {
    store_.follow(leader_key, action.revision, action.block_s, [this, epoch](store::Answer&& answer) {
        perform(state_machine_.leader_changed(epoch, store_outcome(answer)));
    });
}

void LeaderElection::perform(std::uint64_t epoch, const ReadLeaderAfter& action) {
    timers_.after(action.delay_s, [this, epoch] { perform(state_machine_.leader_read_due(epoch)); });
}

void LeaderElection::perform(std::uint64_t epoch, const RevokePreviousLease& action) {
    store_.revoke_lease(action.store_lease, action.timeout_s,
                        [this, epoch](store::Answer&&) { perform(state_machine_.previous_lease_revoked(epoch)); });
}

void LeaderElection::perform(std::uint64_t epoch, const CreateStoreLease& action) {
    store_.create_lease(action.ttl_s, action.timeout_s, [this, epoch](store::Answer&& answer) {
        perform(state_machine_.store_lease_created(epoch, store_outcome(answer), answer.lease));
    });
}

void LeaderElection::perform(std::uint64_t epoch, const ReadTermCounter& action) {
    store_.get(term_counter_key, action.timeout_s, [this, epoch](store::Answer&& answer) {
        perform(state_machine_.term_counter_read(epoch, store_outcome(answer), decode_term_counter(answer.item),
                                                 revision_of(answer)));
    });
}

void LeaderElection::perform(std::uint64_t epoch, const ClaimLeadership& action) {
    store_.transact(
        {{leader_key, 0}, {term_counter_key, action.term_counter_revision}},
        {{leader_key, encode(action.record), action.record.store_lease},
         {term_counter_key, encode(TermCounter{action.record.term, 0}), 0}},
        action.timeout_s, [this, epoch](store::Answer&& answer) {
            perform(state_machine_.claim_answered(epoch, timers_.now(), store_outcome(answer), answer.revision));
        });
}

void LeaderElection::perform(std::uint64_t /*epoch*/, const BeginTerm& action) {
    transactions_.begin(action.term, action.revision);
    state_loader_.read_all([this, term = action.term](Snapshot&& stored) {
        state_machine_.state_loaded();
        host_.leadership_acquired(term, std::move(stored));
        state_loader_.follow_jobs(
            [this](std::vector<codec::StoredJob>&& jobs) { host_.jobs_stored_by_others(std::move(jobs)); });
    });
}

void LeaderElection::perform(std::uint64_t /*epoch*/, const EndTerm& /*action*/) {
    state_loader_.stop();
    transactions_.stop();
    host_.leadership_lost();
}

void LeaderElection::perform(std::uint64_t /*epoch*/, const RevokeStoreLease& action) {
    store_.revoke_lease(action.store_lease, action.timeout_s, [](store::Answer&&) {});
}

void LeaderElection::perform(std::uint64_t epoch, const RenewStoreLease& action) {
    store_.renew_lease(
        action.store_lease, action.timeout_s, [this, epoch, sent_at = action.sent_at](store::Answer&& answer) {
            perform(state_machine_.store_lease_renewed(epoch, timers_.now(), sent_at, store_outcome(answer)));
        });
}

void LeaderElection::perform(std::uint64_t epoch, const RequestExtensionVotes& action) {
    const auto body = encode(action.request);
    for (const auto& peer : settings_.peers)
        peers_.request(PeerRequestClass::control, peer.name, http_post, extension_vote_path, body, action.timeout_s,
                       [this, epoch, sent_at = action.sent_at, name = peer.name](HttpReply&& reply) {
                           perform(state_machine_.extension_vote_received(epoch, timers_.now(), sent_at, name,
                                                                          decode_extension_vote_answer(reply)));
                       });
}

void LeaderElection::perform(std::uint64_t epoch, const CheckServedPeersAfter& action) {
    timers_.after(action.delay_s, [this, epoch] { perform(state_machine_.served_peers_due(epoch, timers_.now())); });
}

void LeaderElection::perform(std::uint64_t /*epoch*/, const OfferTakeover& action) {
    offer_takeover(encode(action.request), action.successors, action.timeout_s);
}

void LeaderElection::offer_takeover(const std::string& body, std::vector<std::string> successors, double timeout_s) {
    if (successors.empty())
        return;
    const auto peer = successors.front();
    successors.erase(successors.begin());
    peers_.request(PeerRequestClass::control, peer, http_post, takeover_path, body, timeout_s,
                   [this, body, successors = std::move(successors), timeout_s](HttpReply&& reply) mutable {
                       if (!takeover_accepted(reply))
                           offer_takeover(body, std::move(successors), timeout_s);
                   });
}

} // namespace heronshift::leadership
