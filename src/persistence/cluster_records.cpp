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

void ClusterRecords::added(Job& job) {
    job.bucket = bucket_of(job.spec.id);
}

void ClusterRecords::added(Entry& entry) {
    put_in_slot(entry, -1);
}

void ClusterRecords::removed(Entry& entry) {
    leave_slot(entry);
    if (entry.slot >= 0)
        ++ring_[static_cast<std::size_t>(entry.slot)].stale;
    if (entry.carried_from >= 0)
        ++ring_[static_cast<std::size_t>(entry.carried_from)].stale;
}

void ClusterRecords::final_due(Job& job, Urgency urgency) {
    if (job.final_queued)
        return;
    job.final_queued = true;
    if (urgency == Urgency::cancelled_with_dependency)
        cancelled_with_dependency_.push_back(&job);
    else if (urgency == Urgency::cancelled)
        finals_.push_front(&job);
    else
        finals_.push_back(&job);
}

void ClusterRecords::progressed(Job& job) {
    auto& b = buckets_[job.bucket];
    if (b.dirty)
        return;
    b.dirty = true;
    b.since = cluster_.view().now;
}

void ClusterRecords::became_ready(Job& job) {
    readies_.push_back(&job);
}

void ClusterRecords::put_in_slot(Entry& entry, int slot) {
    auto& list = slot < 0 ? unrecorded_ : ring_[static_cast<std::size_t>(slot)].entries;
    entry.slot = slot;
    entry.at_slot = list.size();
    list.push_back(&entry);
}

void ClusterRecords::leave_slot(Entry& entry) {
    auto& list = entry.slot < 0 ? unrecorded_ : ring_[static_cast<std::size_t>(entry.slot)].entries;
    list[entry.at_slot] = list.back();
    list[entry.at_slot]->at_slot = entry.at_slot;
    list.pop_back();
}

JobStored job_stored(codec::StoredJob&& stored_job, double wall) {
    return {std::move(stored_job.spec), std::max(0.0, wall - stored_job.at),
            stored_job.ready < 0 ? -1 : std::max(0.0, wall - stored_job.ready), stored_job.waits};
}

// A final state is told only once it is stored. The job's record goes when none of its tasks is
// left on any machine; until then it names the final state, so that no later leader starts any.
void ClusterRecords::draft_finals(Draft& draft) {
    auto& f = in_flight_;
    // Placements must not starve: where a transaction takes few changes, they get some of every other.
    const std::size_t set_persistence =
        unrecorded_.empty() || (!finals_only_ && finals_.size() + cancelled_with_dependency_.size() > many_finals) ? 0
                                                                                                                   : 1;
    finals_only_ = set_persistence == 0;
    while (!(finals_.empty() && cancelled_with_dependency_.empty()) && !draft.full(2 + set_persistence)) {
        auto& from = finals_.empty() ? cancelled_with_dependency_ : finals_;
        auto* job = from.front();
        from.pop_front();
        job->final_queued = false;
        const auto* status = word_of(job->final == Final::done);
        job->final_sent = true;
        if (!job->final_stored)
            draft.add("f/" + job->spec.id, codec::final_record(status, job->spec.shape), 40);
        if (job->live == 0) {
            draft.add("j/" + job->spec.id, std::nullopt, 0);
            f.moves.emplace_back(job, job->final);
        } else if (!job->final_stored) {
            draft.add("j/" + job->spec.id,
                      codec::to_record({codec::remains_of(job->spec),
                                        cluster_.data_.wall - (cluster_.data_.now - job->submitted), -1, false,
                                        std::string(status)}),
                      300);
            f.finals.emplace_back(job, job->final);
        }
    }
}

// The record of a job that has become ready loses its chain: from then on any leader, of whatever
// version, may run it. It goes before the job's first placements, or with them.
void ClusterRecords::draft_ready(Draft& draft) {
    while (!readies_.empty() && !draft.full(1)) {
        auto* job = readies_.front();
        readies_.pop_front();
        if (job->final != Final::none)
            continue;
        auto spec = job->spec;
        spec.dependencies.clear();
        draft.add("j/" + spec.id,
                  codec::to_record({spec,
                                    cluster_.data_.wall - (cluster_.data_.now - job->submitted),
                                    cluster_.data_.wall - (cluster_.data_.now - job->ready),
                                    false,
                                    {}}),
                  600);
        job->ready_recorded = true;
        in_flight_.readies.push_back(job);
    }
}

std::string ClusterRecords::slot_text(std::vector<Entry*> list) {
    const auto zone_matters = [](const Entry* entry) { return entry->job->spec.spread || entry->job->spec.one_zone; };
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
    for (const auto* entry : list)
        w.add(entry->machine->id, zone_matters(entry) ? entry->machine->zone_name : "", entry->agent_epoch,
              entry->job->spec.id, entry->index, entry->attempt);
    return w.take();
}

// A placement is not stored before its job's record says that the job no longer waits.
bool ClusterRecords::may_record(const Entry& entry) {
    return entry.job->ready_recorded || entry.job->final != Final::none;
}

// Writes one record of the ring: what is still live of it and, room permitting, new placements and
// what is carried on from a record that was written when the store took longer values. Until that
// has succeeded the long record names it too, so that nothing live is ever missing from the store.
bool ClusterRecords::draft_slot(Draft& draft, std::size_t slot) {
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
    auto take = [&](Entry& entry) {
        size += slot_text({&entry}).size() + 2;
        if (size > max_value_)
            return false;
        leave_slot(entry);
        put_in_slot(entry, static_cast<int>(slot));
        return true;
    };
    const auto before = list.size();
    for (std::size_t i = unrecorded_.size(); i-- > 0;) {
        auto* entry = unrecorded_[i];
        if (!may_record(*entry))
            continue;
        if (!take(*entry))
            break;
        if (entry->phase == Phase::intent)
            entry->phase = Phase::storing;
    }
    if (too_long_ >= 0) {
        auto& from = ring_[static_cast<std::size_t>(too_long_)].entries;
        while (!from.empty()) {
            auto* entry = from.back();
            if (!take(*entry))
                break;
            entry->carried_from = too_long_;
        }
        if (from.empty())
            too_long_ = -1;
    }
    if (list.size() != before)
        text = slot_text(list);
    size = text.size();
    draft.add(slot_key(slot), codec::Json{{"t", std::move(text)}}, size);
    ring_[slot].stale = 0;
    ring_[slot].size = size;
    ring_[slot].written = list.size();
    in_flight_.slots.push_back(slot);
    return true;
}

void ClusterRecords::draft_intents(Draft& draft) {
    auto advance = [&] { next_slot_ = (next_slot_ + 1) % ring_.size(); };
    auto more = [&] {
        return std::any_of(unrecorded_.begin(), unrecorded_.end(),
                           [](const Entry* entry) { return may_record(*entry); });
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
    while (!draft.full(1) && more()) {
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
        if (!draft_slot(draft, best))
            break;
    }
    // Records that name what is long gone would keep its place after a failover.
    if (cluster_.data_.now < next_idle_write_ || draft.full(max_ops_ / 2) || more())
        return;
    for (std::size_t n = 0; n < ring_.size(); ++n, advance()) {
        if (ring_[next_slot_].stale == 0 && too_long_ < 0)
            continue;
        if (std::find(in_flight_.slots.begin(), in_flight_.slots.end(), next_slot_) != in_flight_.slots.end())
            continue;
        if (!draft_slot(draft, next_slot_))
            continue;
        next_idle_write_ = cluster_.data_.now + settings_.report_s / 10;
        advance();
        return;
    }
}

// Progress gathers for a while: losing it costs only an image fetch, since a finished task that is
// started again ends at once.
void ClusterRecords::draft_progress(Draft& draft) {
    const double gather = std::max(settings_.report_s, static_cast<double>(progress_records) /
                                                           (progress_share * settings_.state_write_rps));
    for (std::size_t b = 0; b < buckets_.size() && !draft.full(1); ++b) {
        if (!buckets_[b].dirty || cluster_.data_.now - buckets_[b].since < gather)
            continue;
        std::vector<Job*> jobs;
        for (auto& [id, job] : cluster_.data_.jobs)
            if (job->bucket == b && job->final == Final::none && job->done > 0)
                jobs.push_back(job.get());
        const auto most = max_value_ / std::max<std::size_t>(1, jobs.size());
        auto value = codec::Json::object();
        std::size_t size = 0;
        for (auto* job : jobs) {
            std::vector<bool> bits(job->tasks.size());
            for (std::size_t i = 0; i < bits.size(); ++i)
                bits[i] = job->tasks[i].done;
            auto text = intents::ranges_of(bits, most > job->spec.id.size() + 6 ? most - job->spec.id.size() - 6 : 0);
            size += text.size() + job->spec.id.size() + 6;
            value[job->spec.id] = std::move(text);
            if (job->unstored.empty())
                continue;
            in_flight_.progress.emplace_back(job, std::move(job->unstored));
            job->unstored.clear();
        }
        draft.add(bucket_key(b), std::move(value), size);
        in_flight_.buckets.push_back(b);
        buckets_[b].dirty = false;
    }
}

// Which machine has which image is a hint that spares the next leader fetches; it is written now and
// then, a part of the machines at a time, each with the names it needs.
void ClusterRecords::draft_images(Draft& draft) {
    if (cluster_.data_.now < next_images_ || cluster_.data_.machines.empty() || draft.full(max_ops_ / 2))
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
        const auto& machine = *it->second;
        std::size_t more = machine.id.size() + 8;
        for (const auto& cached : machine.images)
            if (cached.ready)
                more +=
                    4 + (place.contains(cached.image) ? 0 : by_id[static_cast<std::size_t>(cached.image)]->size() + 28);
        if (size + more > max_value_)
            break;
        size += more;
        auto list = codec::Json::array();
        for (const auto& cached : machine.images) {
            if (!cached.ready)
                continue;
            const auto [at, fresh] = place.emplace(cached.image, names.size());
            const auto i = static_cast<std::size_t>(cached.image);
            if (fresh)
                names.push_back({*by_id[i], cluster_.data_.image_gb[i]});
            list.push_back(at->second);
        }
        if (!list.empty())
            held[machine.id] = std::move(list);
        images_after_ = machine.id;
    }
    // What the cluster was larger for goes when the parts begin anew.
    const auto part = image_part_++;
    if (it == cluster_.data_.machines.end()) {
        for (auto k = image_part_; k < image_parts_; ++k)
            gone_records_.push_back(fmt::format("c/{}", k));
        image_parts_ = image_part_;
        image_part_ = 0;
    }
    draft.add(fmt::format("c/{}", part), codec::Json{{"names", std::move(names)}, {"held", std::move(held)}}, size);
}

// What a leader has learned of this day: how much work comes, how far estimates are off, how many spot
// machines are lost. Without it the next one gives back machines that it needs a moment later.
void ClusterRecords::draft_learned(Draft& draft) {
    if (cluster_.data_.now < next_learned_ || draft.full(max_ops_ / 2))
        return;
    next_learned_ = cluster_.data_.now + 2 * settings_.report_s;
    const double over = cluster_.data_.average_s();
    const double left = std::exp(-(cluster_.data_.now - cluster_.data_.learned.offered_at) / over);
    draft.add(
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
    Draft draft;
    draft.most = std::min(max_ops_, static_cast<std::size_t>(write_tokens_)) - 1;
    in_flight_ = {};
    draft_finals(draft);
    draft_ready(draft);
    draft_intents(draft);
    while (!gone_records_.empty() && !draft.full(1)) {
        draft.add(gone_records_.front(), std::nullopt, 0);
        in_flight_.gone.push_back(std::move(gone_records_.front()));
        gone_records_.pop_front();
    }
    draft_progress(draft);
    draft_images(draft);
    draft_learned(draft);
    if (draft.commit.writes.empty())
        return;
    txn_open_ = true;
    sent_at_ = cluster_.data_.now;
    write_tokens_ -= static_cast<double>(draft.commit.writes.size()) + 1;
    effects_.push_back(std::move(draft.commit));
}

void ClusterRecords::committed(const Committed& command) {
    txn_open_ = false;
    auto f = std::move(in_flight_);
    in_flight_ = {};
    if (command.outcome == TxnOutcome::leadership_lost) {
        cluster_.resign();
        return;
    }
    const bool ok = command.outcome == TxnOutcome::applied;
    if (ok)
        ++committed_;
    if (command.outcome == TxnOutcome::too_large) {
        // The store takes less than the settings say: never the same again.
        max_value_ = std::max(max_value_ / 2, min_value);
        max_ops_ = std::max(max_ops_ / 2, min_ops);
        log(LogLine::Level::warning,
            fmt::format("the store takes no such transaction, from now on {} bytes a record and {} changes", max_value_,
                        max_ops_));
    }
    auto stored = [&](Job& job) {
        job.final_stored = true;
        for (const auto h : job.cancels)
            effects_.push_back(AnswerCancellation{h, word_of(job.final == Final::done)});
        job.cancels.clear();
        cluster_.dependency_settled(job.spec.id, job.final);
    };
    auto again = [&](Job& job) { final_due(job, Urgency::done); };
    for (auto& [job, final] : f.finals) {
        if (!ok) {
            job->final_sent = false; // surely not carried out
            again(*job);
            continue;
        }
        stored(*job);
        if (job->live == 0)
            again(*job);
    }
    if (!ok)
        for (auto* job : f.readies) {
            job->ready_recorded = false;
            readies_.push_back(job);
        }
    for (auto& [job, list] : f.progress) {
        if (ok)
            for (const auto i : list)
                job->tasks[i].stored = true;
        else
            job->unstored.insert(job->unstored.end(), list.begin(), list.end());
    }
    if (!ok)
        for (const auto b : f.buckets)
            buckets_[b].dirty = true;
    for (const auto s : f.slots) {
        const auto list = ring_[s].entries;
        for (auto* entry : list) {
            if (const int from = std::exchange(entry->carried_from, -1); from >= 0) {
                if (ok)
                    ++ring_[static_cast<std::size_t>(from)].stale;
                if (!ok)
                    leave_slot(*entry), put_in_slot(*entry, from);
            } else if (ok) {
                entry->recorded = true;
            } else if (!entry->recorded) {
                leave_slot(*entry);
                put_in_slot(*entry, -1);
            }
            if (entry->phase != Phase::storing)
                continue;
            entry->phase = ok ? Phase::stored : Phase::intent;
            if (ok)
                cluster_.want_orders(*entry->machine);
        }
        if (!ok)
            ++ring_[s].stale;
    }
    if (!ok)
        for (auto& key : f.gone)
            gone_records_.push_back(std::move(key));
    for (auto& [job, final] : f.moves) {
        if (!ok) {
            job->final_sent = false;
            again(*job);
            continue;
        }
        stored(*job);
        drop_job(*job);
    }
}

// The store keeps the final state; memory only holds what is alive.
void ClusterRecords::drop_job(Job& job) {
    cluster_.remember_final(job);
    if (job.live > 0)
        return; // something showed up meanwhile: it is stopped first
    std::erase(finals_, &job);
    std::erase(cancelled_with_dependency_, &job);
    std::erase(readies_, &job);
    cluster_.forget_job(job);
}

} // namespace heronshift
