// Writing what the store holds of the core's state, a little each round; load.cpp reads it at a failover.
#include "heronshift/persistence/cluster_records.hpp"

#include "layout.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace heronshift {

using cluster::Final;
using cluster::Phase;
using cluster::token_counter_bits;
using persistence::progress_records;

namespace {

constexpr double record_share = 0.92; // of the longest value, the rest is for names and quoting

constexpr double progress_share = 0.15;             // of the store's changes, at the most
constexpr std::size_t max_txn_bytes = 48UL * 1024;  // of 64 KiB
constexpr double fewest_writes = 5;                 // saved up before a transaction, its own count included
constexpr double carried_share = 0.25;              // of a record, written again with what is new
constexpr std::size_t few_placements = 16;          // not stored yet
constexpr std::size_t many_finals = 8;              // that wait to be stored
constexpr std::size_t min_value = 512, min_ops = 4; // however often the store calls them too large

const char* word_of(bool done) {
    return done ? codec::status_done.data() : codec::status_cancelled.data();
}

constexpr const char* learned_key = "l/0";

std::string slot_key(std::size_t slot) {
    return fmt::format("i/{}", slot);
}
std::string bucket_key(std::size_t bucket) {
    return fmt::format("q/{}", bucket); // the versions before had fewer, longer ones under p/
}

} // namespace

// FNV-1a: every leader must find a job in the same record.
std::size_t ClusterRecords::bucket_of(const std::string& id) {
    std::uint64_t h = 14695981039346656037U;
    for (const char c : id)
        h = (h ^ static_cast<unsigned char>(c)) * 1099511628211U;
    return h % progress_records;
}

// One transaction being put together, most urgent first.
struct ClusterRecords::Draft {
    Commit commit;
    std::size_t most = 0, bytes = 0;
    [[nodiscard]] bool full(std::size_t more) const {
        return commit.writes.size() + more > most || bytes > max_txn_bytes;
    }
    void add(std::string key, std::optional<codec::Json> value, std::size_t size) {
        bytes += size + 100;
        commit.writes.push_back({std::move(key), std::move(value), 0});
    }
};

ClusterRecords::ClusterRecords(cluster::ClusterState& cluster, const Settings& settings, const Snapshot& stored,
                               double wall, std::vector<Effect>& out)
    : cluster_(cluster), settings_(settings), effects_(out), write_tokens_(settings.txn_ops),
      tokens_at_(cluster.view().now), max_value_(static_cast<std::size_t>(settings.value_kb * 1024 * record_share)),
      max_ops_(static_cast<std::size_t>(settings.txn_ops)) {
    cluster_.set_persistence(*this);
    load(stored, wall);
}

void ClusterRecords::added(Job& j) {
    j.bucket = bucket_of(j.spec.id);
}

void ClusterRecords::added(Entry& e) {
    put_in_slot(e, -1);
}

void ClusterRecords::removed(Entry& e) {
    leave_slot(e);
    if (e.slot >= 0)
        ++ring_[static_cast<std::size_t>(e.slot)].stale;
    if (e.carried_from >= 0)
        ++ring_[static_cast<std::size_t>(e.carried_from)].stale;
}

void ClusterRecords::final_due(Job& j, Urgency u) {
    if (j.final_queued)
        return;
    j.final_queued = true;
    if (u == Urgency::cancelled_with_dependency)
        cancelled_with_dependency_.push_back(&j);
    else if (u == Urgency::cancelled)
        finals_.push_front(&j);
    else
        finals_.push_back(&j);
}

void ClusterRecords::progressed(Job& j) {
    auto& b = buckets_[j.bucket];
    if (b.dirty)
        return;
    b.dirty = true;
    b.since = cluster_.view().now;
}

void ClusterRecords::became_ready(Job& j) {
    readies_.push_back(&j);
}

void ClusterRecords::put_in_slot(Entry& e, int slot) {
    auto& list = slot < 0 ? unrecorded_ : ring_[static_cast<std::size_t>(slot)].entries;
    e.slot = slot;
    e.at_slot = list.size();
    list.push_back(&e);
}

void ClusterRecords::leave_slot(Entry& e) {
    auto& list = e.slot < 0 ? unrecorded_ : ring_[static_cast<std::size_t>(e.slot)].entries;
    list[e.at_slot] = list.back();
    list[e.at_slot]->at_slot = e.at_slot;
    list.pop_back();
}

JobStored job_stored(codec::StoredJob&& r, double wall) {
    return {std::move(r.spec), std::max(0.0, wall - r.at), r.ready < 0 ? -1 : std::max(0.0, wall - r.ready), r.waits};
}

// A final state is told only once it is stored. The job's record goes when none of its tasks is
// left on any machine; until then it names the final state, so that no later leader starts any.
void ClusterRecords::draft_finals(Draft& d) {
    auto& f = in_flight_;
    // Placements must not starve: where a transaction takes few changes, they get some of every other.
    const std::size_t set_persistence =
        unrecorded_.empty() || (!finals_only_ && finals_.size() + cancelled_with_dependency_.size() > many_finals) ? 0
                                                                                                                   : 1;
    finals_only_ = set_persistence == 0;
    while (!(finals_.empty() && cancelled_with_dependency_.empty()) && !d.full(2 + set_persistence)) {
        auto& from = finals_.empty() ? cancelled_with_dependency_ : finals_;
        auto* j = from.front();
        from.pop_front();
        j->final_queued = false;
        const auto* status = word_of(j->final == Final::done);
        j->final_sent = true;
        if (!j->final_stored)
            d.add("f/" + j->spec.id, codec::final_record(status, j->spec.shape), 40);
        if (j->live == 0) {
            d.add("j/" + j->spec.id, std::nullopt, 0);
            f.moves.emplace_back(j, j->final);
        } else if (!j->final_stored) {
            d.add(
                "j/" + j->spec.id,
                codec::to_record({codec::remains_of(j->spec), cluster_.data_.wall - (cluster_.data_.now - j->submitted),
                                  -1, false, std::string(status)}),
                300);
            f.finals.emplace_back(j, j->final);
        }
    }
}

// The record of a job that has become ready loses its chain: from then on any leader, of whatever
// version, may run it. It goes before the job's first placements, or with them.
void ClusterRecords::draft_ready(Draft& d) {
    while (!readies_.empty() && !d.full(1)) {
        auto* j = readies_.front();
        readies_.pop_front();
        if (j->final != Final::none)
            continue;
        auto spec = j->spec;
        spec.dependencies.clear();
        d.add("j/" + spec.id,
              codec::to_record({spec,
                                cluster_.data_.wall - (cluster_.data_.now - j->submitted),
                                cluster_.data_.wall - (cluster_.data_.now - j->ready),
                                false,
                                {}}),
              600);
        j->ready_recorded = true;
        in_flight_.readies.push_back(j);
    }
}

std::string ClusterRecords::slot_text(std::vector<Entry*> list) {
    const auto zone_matters = [](const Entry* e) { return e->job->spec.spread || e->job->spec.one_zone; };
    std::sort(list.begin(), list.end(), [&](const Entry* a, const Entry* b) {
        if (a->machine != b->machine)
            return a->machine->id < b->machine->id;
        if (a->agent_epoch != b->agent_epoch)
            return a->agent_epoch < b->agent_epoch;
        if (zone_matters(a) != zone_matters(b))
            return zone_matters(a);
        if (a->job != b->job)
            return a->job->spec.id < b->job->spec.id;
        if (a->attempt != b->attempt)
            return a->attempt < b->attempt;
        return a->index < b->index;
    });
    intents::Writer w;
    // The zone is a third of a line, and what has no rules about zones may be in an unknown one.
    for (const auto* e : list)
        w.add(e->machine->id, zone_matters(e) ? e->machine->zone_name : "", e->agent_epoch, e->job->spec.id, e->index,
              e->attempt);
    return w.take();
}

// A placement is not stored before its job's record says that the job no longer waits.
bool ClusterRecords::may_record(const Entry& e) {
    return e.job->ready_recorded || e.job->final != Final::none;
}

// Writes one record of the ring: what is still live of it and, room permitting, new placements and
// what is carried on from a record that was written when the store took longer values. Until that
// has succeeded the long record names it too, so that nothing live is ever missing from the store.
bool ClusterRecords::draft_slot(Draft& d, std::size_t slot) {
    auto& list = ring_[slot].entries;
    auto text = slot_text(list);
    if (text.size() > max_value_) {
        too_long_ = static_cast<int>(slot);
        return false;
    }
    if (too_long_ == static_cast<int>(slot))
        too_long_ = -1;
    auto size = text.size();
    // At most a line of its own.
    auto take = [&](Entry& e) {
        size += slot_text({&e}).size() + 2;
        if (size > max_value_)
            return false;
        leave_slot(e);
        put_in_slot(e, static_cast<int>(slot));
        return true;
    };
    const auto before = list.size();
    for (std::size_t i = unrecorded_.size(); i-- > 0;) {
        auto* e = unrecorded_[i];
        if (!may_record(*e))
            continue;
        if (!take(*e))
            break;
        if (e->phase == Phase::intent)
            e->phase = Phase::storing;
    }
    if (too_long_ >= 0) {
        auto& from = ring_[static_cast<std::size_t>(too_long_)].entries;
        while (!from.empty()) {
            auto* e = from.back();
            if (!take(*e))
                break;
            e->carried_from = too_long_;
        }
        if (from.empty())
            too_long_ = -1;
    }
    if (list.size() != before)
        text = slot_text(list);
    size = text.size();
    d.add(slot_key(slot), codec::Json{{"t", std::move(text)}}, size);
    ring_[slot].stale = 0;
    ring_[slot].size = size;
    ring_[slot].written = list.size();
    in_flight_.slots.push_back(slot);
    return true;
}

void ClusterRecords::draft_intents(Draft& d) {
    auto advance = [&] { next_slot_ = (next_slot_ + 1) % ring_.size(); };
    auto more = [&] {
        return std::any_of(unrecorded_.begin(), unrecorded_.end(), [](const Entry* e) { return may_record(*e); });
    };
    if (unrecorded_.size() > few_placements) {
        // Where the store takes fewer than are placed: the most urgent and the oldest first, from the end.
        std::stable_sort(unrecorded_.begin(), unrecorded_.end(), [](const Entry* a, const Entry* b) {
            if (a->job->priority != b->job->priority)
                return a->job->priority > b->job->priority;
            return a->placed_at > b->placed_at;
        });
        for (std::size_t i = 0; i < unrecorded_.size(); ++i)
            unrecorded_[i]->at_slot = i;
    }
    while (!d.full(1) && more()) {
        // The emptiest record takes the most. In turn, each would carry the replicas on, which stay for
        // good, and half of every write would be what the store holds already.
        std::size_t best = ring_.size();
        double least = static_cast<double>(max_value_) * carried_share;
        for (std::size_t k = 0; k < ring_.size(); ++k) {
            const auto& slot = ring_[k];
            const double live = static_cast<double>(slot.size * slot.entries.size()) /
                                static_cast<double>(std::max<std::size_t>(1, slot.written));
            if (live >= least ||
                std::find(in_flight_.slots.begin(), in_flight_.slots.end(), k) != in_flight_.slots.end())
                continue;
            least = live;
            best = k;
            if (live <= 0)
                break;
        }
        if (best == ring_.size())
            ring_.emplace_back();
        if (!draft_slot(d, best))
            break;
    }
    // Records that name what is long gone would keep its place after a failover.
    if (cluster_.data_.now < next_idle_write_ || d.full(max_ops_ / 2) || more())
        return;
    for (std::size_t n = 0; n < ring_.size(); ++n, advance()) {
        if (ring_[next_slot_].stale == 0 && too_long_ < 0)
            continue;
        if (std::find(in_flight_.slots.begin(), in_flight_.slots.end(), next_slot_) != in_flight_.slots.end())
            continue;
        if (!draft_slot(d, next_slot_))
            continue;
        next_idle_write_ = cluster_.data_.now + settings_.report_s / 10;
        advance();
        return;
    }
}

// Progress gathers for a while: losing it costs only an image fetch, since a finished task that is
// started again ends at once.
void ClusterRecords::draft_progress(Draft& d) {
    const double gather = std::max(settings_.report_s, static_cast<double>(progress_records) /
                                                           (progress_share * settings_.state_write_rps));
    for (std::size_t b = 0; b < buckets_.size() && !d.full(1); ++b) {
        if (!buckets_[b].dirty || cluster_.data_.now - buckets_[b].since < gather)
            continue;
        std::vector<Job*> jobs;
        for (auto& [id, j] : cluster_.data_.jobs)
            if (j->bucket == b && j->final == Final::none && j->done > 0)
                jobs.push_back(j.get());
        const auto most = max_value_ / std::max<std::size_t>(1, jobs.size());
        auto value = codec::Json::object();
        std::size_t size = 0;
        for (auto* j : jobs) {
            std::vector<bool> bits(j->tasks.size());
            for (std::size_t i = 0; i < bits.size(); ++i)
                bits[i] = j->tasks[i].done;
            auto text = intents::ranges_of(bits, most > j->spec.id.size() + 6 ? most - j->spec.id.size() - 6 : 0);
            size += text.size() + j->spec.id.size() + 6;
            value[j->spec.id] = std::move(text);
            if (j->unstored.empty())
                continue;
            in_flight_.progress.emplace_back(j, std::move(j->unstored));
            j->unstored.clear();
        }
        d.add(bucket_key(b), std::move(value), size);
        in_flight_.buckets.push_back(b);
        buckets_[b].dirty = false;
    }
}

// Which machine has which image is a hint that spares the next leader fetches; it is written now and
// then, a part of the machines at a time, each with the names it needs.
void ClusterRecords::draft_images(Draft& d) {
    if (cluster_.data_.now < next_images_ || cluster_.data_.machines.empty() || d.full(max_ops_ / 2))
        return;
    next_images_ = cluster_.data_.now + 2 * settings_.report_s;
    std::vector<const std::string*> by_id(cluster_.data_.image_gb.size());
    for (const auto& [name, id] : cluster_.image_ids_)
        by_id[static_cast<std::size_t>(id)] = &name;
    std::unordered_map<int, std::size_t> place;
    auto names = codec::Json::array();
    auto held = codec::Json::object();
    std::size_t size = 40;
    auto it = image_part_ == 0 ? cluster_.data_.machines.begin() : cluster_.data_.machines.upper_bound(images_after_);
    for (; it != cluster_.data_.machines.end(); ++it) {
        const auto& m = *it->second;
        std::size_t more = m.id.size() + 8;
        for (const auto& c : m.images)
            if (c.ready)
                more += 4 + (place.contains(c.image) ? 0 : by_id[static_cast<std::size_t>(c.image)]->size() + 28);
        if (size + more > max_value_)
            break;
        size += more;
        auto list = codec::Json::array();
        for (const auto& c : m.images) {
            if (!c.ready)
                continue;
            const auto [at, fresh] = place.emplace(c.image, names.size());
            const auto i = static_cast<std::size_t>(c.image);
            if (fresh)
                names.push_back({*by_id[i], cluster_.data_.image_gb[i]});
            list.push_back(at->second);
        }
        if (!list.empty())
            held[m.id] = std::move(list);
        images_after_ = m.id;
    }
    // What the cluster was larger for goes when the parts begin anew.
    const auto part = image_part_++;
    if (it == cluster_.data_.machines.end()) {
        for (auto k = image_part_; k < image_parts_; ++k)
            gone_records_.push_back(fmt::format("c/{}", k));
        image_parts_ = image_part_;
        image_part_ = 0;
    }
    d.add(fmt::format("c/{}", part), codec::Json{{"names", std::move(names)}, {"held", std::move(held)}}, size);
}

// What a leader has learned of this day: how much work comes, how far estimates are off, how many spot
// machines are lost. Without it the next one gives back machines that it needs a moment later.
void ClusterRecords::draft_learned(Draft& d) {
    if (cluster_.data_.now < next_learned_ || d.full(max_ops_ / 2))
        return;
    next_learned_ = cluster_.data_.now + 2 * settings_.report_s;
    const double over = cluster_.data_.average_s();
    const double left = std::exp(-(cluster_.data_.now - cluster_.data_.learned.offered_at) / over);
    d.add(
        learned_key,
        codec::Json{{"at", cluster_.data_.wall},
                    {"offered", cluster_.data_.learned.offered * left},
                    {"offeredOrdinary", cluster_.data_.learned.offered_ordinary * left},
                    {"ran", cluster_.data_.learned.ran_s},
                    {"estimated", cluster_.data_.learned.estimated_s},
                    {"spotLosses", cluster_.data_.learned.spot_losses *
                                       std::exp(-(cluster_.data_.now - cluster_.data_.learned.spot_losses_at) / over)}},
        160);
}

// One transaction is in flight at a time; this builds the next of what is due, most urgent first.
void ClusterRecords::collect_commit() {
    if (txn_open_ || cluster_.resigned())
        return;
    // The leader's part of the write budget; the rest is left to submissions on all nodes.
    const double rate = settings_.state_write_rps * (cancelled_with_dependency_.empty() ? 0.7 : 0.85);
    const double max_saved = std::max(settings_.state_write_rps * 0.5, 4.0);
    write_tokens_ = std::min(write_tokens_ + (cluster_.data_.now - tokens_at_) * rate, max_saved);
    tokens_at_ = cluster_.data_.now;
    // A few writes are saved up first: placements alone would spend each as it comes, and final
    // states would never find the two or three they need together.
    if (write_tokens_ < std::min(fewest_writes, max_saved))
        return;
    Draft d;
    d.most = std::min(max_ops_, static_cast<std::size_t>(write_tokens_)) - 1;
    in_flight_ = {};
    draft_finals(d);
    draft_ready(d);
    draft_intents(d);
    while (!gone_records_.empty() && !d.full(1)) {
        d.add(gone_records_.front(), std::nullopt, 0);
        in_flight_.gone.push_back(std::move(gone_records_.front()));
        gone_records_.pop_front();
    }
    draft_progress(d);
    draft_images(d);
    draft_learned(d);
    if (d.commit.writes.empty())
        return;
    txn_open_ = true;
    sent_at_ = cluster_.data_.now;
    write_tokens_ -= static_cast<double>(d.commit.writes.size()) + 1;
    effects_.push_back(std::move(d.commit));
}

void ClusterRecords::committed(const Committed& c) {
    txn_open_ = false;
    auto f = std::move(in_flight_);
    in_flight_ = {};
    if (c.outcome == TxnOutcome::leadership_lost) {
        cluster_.resign();
        return;
    }
    const bool ok = c.outcome == TxnOutcome::applied;
    if (ok)
        ++committed_;
    if (c.outcome == TxnOutcome::too_large) {
        // The store takes less than the settings say: never the same again.
        max_value_ = std::max(max_value_ / 2, min_value);
        max_ops_ = std::max(max_ops_ / 2, min_ops);
        log(2, fmt::format("the store takes no such transaction, from now on {} bytes a record and {} changes",
                           max_value_, max_ops_));
    }
    auto stored = [&](Job& j) {
        j.final_stored = true;
        for (const auto h : j.cancels)
            effects_.push_back(AnswerCancellation{h, word_of(j.final == Final::done)});
        j.cancels.clear();
        cluster_.dependency_settled(j.spec.id, j.final);
    };
    auto again = [&](Job& j) { final_due(j, Urgency::done); };
    for (auto& [j, final] : f.finals) {
        if (!ok) {
            j->final_sent = false; // surely not carried out
            again(*j);
            continue;
        }
        stored(*j);
        if (j->live == 0)
            again(*j);
    }
    if (!ok)
        for (auto* j : f.readies) {
            j->ready_recorded = false;
            readies_.push_back(j);
        }
    for (auto& [j, list] : f.progress) {
        if (ok)
            for (const auto i : list)
                j->tasks[i].stored = true;
        else
            j->unstored.insert(j->unstored.end(), list.begin(), list.end());
    }
    if (!ok)
        for (const auto b : f.buckets)
            buckets_[b].dirty = true;
    for (const auto s : f.slots) {
        const auto list = ring_[s].entries;
        for (auto* e : list) {
            if (const int from = std::exchange(e->carried_from, -1); from >= 0) {
                if (ok)
                    ++ring_[static_cast<std::size_t>(from)].stale;
                if (!ok)
                    leave_slot(*e), put_in_slot(*e, from);
            } else if (ok) {
                e->recorded = true;
            } else if (!e->recorded) {
                leave_slot(*e);
                put_in_slot(*e, -1);
            }
            if (e->phase != Phase::storing)
                continue;
            e->phase = ok ? Phase::stored : Phase::intent;
            if (ok)
                cluster_.want_orders(*e->machine);
        }
        if (!ok)
            ++ring_[s].stale;
    }
    if (!ok)
        for (auto& key : f.gone)
            gone_records_.push_back(std::move(key));
    for (auto& [j, final] : f.moves) {
        if (!ok) {
            j->final_sent = false;
            again(*j);
            continue;
        }
        stored(*j);
        drop_job(*j);
    }
}

// The store keeps the final state; memory only holds what is alive.
void ClusterRecords::drop_job(Job& j) {
    cluster_.remember_final(j);
    if (j.live > 0)
        return; // something showed up meanwhile: it is stopped first
    std::erase(finals_, &j);
    std::erase(cancelled_with_dependency_, &j);
    std::erase(readies_, &j);
    cluster_.forget_job(j);
}

} // namespace heronshift
