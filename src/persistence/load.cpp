// Reading what the store holds of the core's state, whole, at a failover.
#include "heronshift/persistence/cluster_records.hpp"

#include "layout.hpp"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <utility>

namespace heronshift {

using cluster::Final;
using cluster::Phase;
using cluster::Status;
using cluster::token_counter_bits;
using persistence::first_slots;
using persistence::progress_records;

namespace {

// Records of the ring grow with the tasks on machines: 60,000 on 6,000 machines take some 200 of 15 KiB, or 5,000
// of the smallest size (records.cpp). A larger number is not ours: what its record names is held all the same, and
// the record is removed once it is stored elsewhere.
constexpr std::size_t max_record_number = 100'000;

// The number behind a prefix, or nothing.
std::optional<std::size_t> number_of(const std::string& key) {
    std::size_t n = 0;
    const auto* end = key.data() + key.size();
    const auto [p, ec] = std::from_chars(key.data() + 2, end, n);
    if (key.size() < 3 || ec != std::errc() || p != end || n > max_record_number)
        return {};
    return n;
}

} // namespace

void ClusterRecords::load(const Snapshot& stored, double wall) {
    ring_.resize(first_slots);
    buckets_.resize(progress_records);
    for (const auto& i : stored.jobs) {
        auto r = codec::stored_job(i.value, wall);
        if (!r)
            continue;
        const auto id = r->spec.id;
        auto command = job_stored(std::move(*r), wall);
        cluster_.add_job(command);
        if (auto* j = cluster_.find_job(id); j != nullptr && !r->final.empty()) {
            j->final = r->final == codec::status_done ? Final::done : Final::cancelled;
            j->final_stored = true;
        }
    }
    for (const auto& i : stored.images)
        load_images(i);
    for (const auto& i : stored.progress) {
        // Those of the version before are left as they are: its processes may become leader again, and
        // what was done stays done.
        if (!i.value.is_object())
            continue;
        for (const auto& [id, ranges] : i.value.items())
            if (auto* j = cluster_.find_job(id); j != nullptr && ranges.is_string())
                load_done(*j, ranges.get<std::string>());
    }
    for (const auto& i : stored.intents) {
        const auto n = number_of(i.key);
        const bool text = i.value.is_object() && i.value.contains("t") && i.value["t"].is_string();
        intents::Read r;
        if (text)
            r = intents::read(i.value["t"].get_ref<const std::string&>());
        else
            r.damaged = true;
        if (n && *n >= ring_.size())
            ring_.resize(*n + 1);
        for (const auto& intent : r.intents)
            load_intent(intent, n ? static_cast<int>(*n) : -1);
        for (const auto& m : r.unproven)
            hold_unproven(m);
        if (r.damaged)
            hold_unproven("");
        if (n) {
            ring_[*n].stale += 1; // written again before long, whatever it named
            ring_[*n].size = text ? i.value["t"].get_ref<const std::string&>().size() : 0;
            ring_[*n].written = std::max<std::size_t>(1, r.intents.size());
        } else {
            gone_records_.push_back(i.key);
        }
    }
    load_earlier(stored);
    for (const auto& i : stored.learned)
        load_learned(i, wall);
    for (auto& [id, job] : cluster_.data_.jobs) {
        auto& j = job;
        // What runs or is done does not wait: on a day with many failovers machines were rented for it.
        std::erase_if(j->pending, [&](std::uint32_t i) {
            auto& task = j->tasks[i];
            if (!task.done && task.live == 0)
                return false;
            task.queued = false;
            return true;
        });
        if (j->spec.shape == Shape::gang && j->live > 0) {
            for (const auto& entry : j->entries)
                j->gang_attempt = std::max(j->gang_attempt, entry->attempt);
            if (j->live < j->spec.tasks - j->done)
                cluster_.break_gang(*j);
        }
        if (j->final == Final::none && j->done == j->spec.tasks)
            cluster_.finalize(*j, Final::done);
        if (j->final == Final::none)
            continue;
        for (auto& entry : j->entries)
            cluster_.stop_entry(*entry, 0);
        if (j->live == 0)
            final_due(*j, Urgency::done);
    }
    cluster_.needs_scheduling_ = true;
}

void ClusterRecords::load_done(Job& job, std::string_view ranges) {
    intents::each_in_ranges(ranges, [&](std::uint32_t k) {
        if (k >= job.tasks.size() || job.tasks[k].done)
            return;
        job.tasks[k].done = job.tasks[k].stored = true;
        ++job.done;
        job.had_success = true; // else a faulty machine is told from a bad job too late
    });
}

void ClusterRecords::load_intent(const intents::Intent& i, int slot) {
    auto* job = cluster_.find_job(i.job);
    // The record of a job goes only when none of its tasks is left anywhere.
    if (job == nullptr || i.index >= job->tasks.size())
        return;
    auto& machine = cluster_.learn_machine(i.machine, "", "", i.zone, false);
    machine.agent_epoch = std::max(machine.agent_epoch, i.agent_epoch);
    // Whoever was entitled before us may have answered this machine until the moment we took
    // leadership, so its lease counts from there.
    machine.lease_started_at = cluster_.data_.now;
    machine.status = Status::up;
    for (const auto& entry : machine.entries)
        if (entry->job == job && entry->index == i.index && entry->attempt == i.attempt)
            return;
    auto& entry = cluster_.add_entry(machine, *job, i.index, i.attempt);
    entry.phase = Phase::sent;
    entry.recorded = slot >= 0;
    // Only a heartbeat that has seen our own term proves anything: one from before the launch
    // may arrive late, and we have no count of this machine's to tell.
    entry.fencing_token = (cluster_.data_.term << token_counter_bits) - 1;
    entry.agent_epoch = i.agent_epoch;
    leave_slot(entry);
    put_in_slot(entry, slot);
}

// A record that cannot be read may have named any task there was. The machine's own word under our
// term, or its expired lease, ends the doubt; where not even its name is known, only time does.
void ClusterRecords::hold_unproven(const std::string& machine) {
    log(LogLine::Level::warning, fmt::format("a damaged record{}{}", machine.empty() ? "" : " of machine ", machine));
    cluster_.data_.unproven_until = cluster_.data_.now + cluster_.lease_expiry_s();
    cluster_.data_.unproven_machines.insert(machine);
    if (machine.empty())
        return;
    auto& m = cluster_.learn_machine(machine, "", "", "", false);
    m.lease_started_at = cluster_.data_.now;
    m.status = Status::up;
}

// The layout before this one: "m/ID" named what is on a machine, "d/ID" what is done of a job.
void ClusterRecords::load_earlier(const Snapshot& stored) {
    for (const auto& i : stored.earlier) {
        gone_records_.push_back(i.key);
        const auto id = i.key.substr(2);
        const auto& json = i.value;
        if (i.key.starts_with("d/")) {
            auto* job = cluster_.find_job(id);
            if (job == nullptr || !json.is_object())
                continue;
            load_done(*job, json.value("done", std::string()));
            const auto f = json.value("final", std::string());
            if (f.empty())
                continue;
            job->final = f == codec::status_done ? Final::done : Final::cancelled;
            job->final_stored = true;
            continue;
        }
        bool good = json.is_object() && json.contains("tasks") && json["tasks"].is_array();
        const auto text = [&](const char* name) {
            return good && json.contains(name) && json[name].is_string() ? json[name].get<std::string>()
                                                                         : std::string();
        };
        const auto number = [&](const char* name) {
            return good && json.contains(name) && json[name].is_number_integer() ? json[name].get<std::uint64_t>() : 0;
        };
        if (good)
            for (const auto& e : json["tasks"]) {
                const auto line =
                    e.is_string() ? fmt::format("{} {} {} {}", id, text("yard"), number("tenure"), e.get<std::string>())
                                  : std::string();
                const auto r = intents::read(line);
                good = good && r.intents.size() == 1;
                for (const auto& intent : r.intents)
                    load_intent(intent, -1);
            }
        if (!good)
            hold_unproven(id);
    }
}

void ClusterRecords::load_images(const codec::Item& i) {
    if (const auto n = number_of(i.key); n)
        image_parts_ = std::max(image_parts_, *n + 1);
    if (!i.value.is_object() || !i.value.contains("names") || !i.value.contains("held"))
        return;
    const auto& names = i.value["names"];
    const auto& held = i.value["held"];
    if (!names.is_array() || !held.is_object())
        return;
    std::vector<int> ids;
    for (const auto& n : names) {
        const bool good = n.is_array() && n.size() == 2 && n[0].is_string() && n[1].is_number();
        ids.push_back(good ? cluster_.image_id(n[0].get<std::string>(), n[1].get<double>()) : -1);
    }
    for (const auto& [id, list] : held.items()) {
        if (!list.is_array())
            continue;
        for (const auto& k : list)
            if (k.is_number_unsigned() && k.get<std::size_t>() < ids.size() && ids[k.get<std::size_t>()] >= 0)
                cluster_.image_hints_[id].push_back(ids[k.get<std::size_t>()]);
    }
}

void ClusterRecords::load_learned(const codec::Item& i, double wall) {
    const auto number = [&](const char* name) {
        const auto it = i.value.is_object() ? i.value.find(name) : i.value.end();
        const double v = it != i.value.end() && it->is_number() ? it->get<double>() : -1;
        return std::isfinite(v) && v >= 0 && v < 1e12 ? v : -1;
    };
    const double at = number("at"), offered = number("offered"), ran = number("ran"), estimated = number("estimated"),
                 losses = number("spotLosses");
    if (at < 0 || offered < 0 || ran <= 0 || estimated <= 0 || losses < 0)
        return;
    const double left = std::exp(-std::max(0.0, wall - at) / cluster_.data_.average_s());
    cluster_.data_.learned.offered =
        std::max(cluster_.data_.learned.offered, offered * left); // jobs read from the store are part of it
    cluster_.data_.learned.spot_losses = losses * left;
    // The versions before do not say it.
    cluster_.data_.learned.offered_ordinary =
        std::max(cluster_.data_.learned.offered_ordinary, std::max(0.0, number("offeredOrdinary")) * left);
    cluster_.data_.learned.offered_at = cluster_.data_.learned.spot_losses_at = cluster_.data_.now;
    cluster_.data_.learned.ran_s = ran;
    cluster_.data_.learned.estimated_s = estimated;
}

} // namespace heronshift
