// Machines as the leader tracks them: their reported state, reachability and leases.
#pragma once

#include "cluster/entry.hpp"
#include "heronshift/types.hpp"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace heronshift::cluster {

/// Whether a machine can run tasks.
enum class MachineStatus : std::uint8_t {
    booting, ///< Rented or listed; no heartbeat has arrived yet.
    up,      ///< Sends heartbeats, or may run tasks that a stored record names; its lease is monitored.
    lost,    ///< Its lease has certainly expired, or the cloud lists it as failed.
};

/// An image in a machine's cache, or on its way there.
struct CachedImage {
    /// Index in `ClusterData::image_gb`.
    int image = -1;
    /// The image is in the cache; otherwise it is being fetched.
    bool ready = false;
    /// When the image was last used.
    double used = 0;
};

/// A machine and all tasks that may be on it.
///
/// Invariants: `used` is the sum of the resources of all `entries` and of `untracked_bytes`, and `non_preemptible` the
/// sum over those entries that other tasks do not displace; both are zero without entries and untracked tasks.
/// `lease_started_at` is never earlier than the last answered heartbeat. `fencing_token` never decreases.
struct Machine {
    std::string id;
    /// HOST:PORT to which orders are sent; empty: not known yet.
    std::string addr;
    /// Indices in `ClusterData::types` and `Settings::zones`; -1: not known.
    int type = -1, zone = -1;
    std::string type_name, zone_name;
    bool spot = false;
    MachineStatus status = MachineStatus::booting;
    /// Agent epoch and counter of the newest heartbeat, including those in replies to orders.
    std::uint64_t agent_epoch = 0, counter = 0;
    /// The fencing token that orders to the machine carry.
    std::uint64_t fencing_token = 0;
    /// Counter of the newest heartbeat that the machine sent by itself, not in a reply to orders.
    std::uint64_t heartbeat_counter = 0;
    /// The start of the machine's lease, for judging when it has certainly expired: the time of the last answered
    /// heartbeat, or a later time at which the lease may have begun.
    double lease_started_at = -1;
    /// When the newest heartbeat arrived.
    double last_heartbeat_at = -1;
    /// A heartbeat has contained a fencing token of this term. The mere arrival of heartbeats does not prove that the
    /// machine has seen the term.
    bool term_seen = false;
    /// The highest fencing token sent in an answer to one of the machine's heartbeats, and when it was first sent.
    std::uint64_t acknowledged_token = 0;
    double token_acknowledged_at = -1;
    /// The highest fencing token sent with orders. If the machine shows this token or a lower one, it may have received
    /// it with an order or with an answer to a heartbeat.
    std::uint64_t ordered_token = 0;
    /// The highest fencing token that was sent with a launch.
    std::uint64_t launch_token = 0;
    /// When one of the machine's heartbeats was last answered, and whether another controller had relayed the
    /// heartbeat.
    double last_answered_at = -1;
    bool last_relayed = false;
    /// The machine may have missed an answer. It has to prove that answers reach it, by showing a higher token than
    /// `token_at_doubt`, the highest one that it showed when the doubt arose.
    bool inbound_in_doubt = false;
    std::uint64_t token_at_doubt = 0;
    /// The machine's lease expired although a heartbeat had been answered shortly before. Reset once it is counted as a
    /// missed answer.
    bool expired_though_answered = false;
    /// Number of answers that the machine certainly missed since it last proved that answers reach it.
    int missed_answers = 0;
    /// Since when answers do not reach the machine although its heartbeats arrive; negative: answers reach it.
    double inbound_unreachable_since = -1;
    /// Until then orders are relayed through other controllers, because they did not reach the machine directly.
    double relay_orders_until = -1;
    double known_since = 0, up_since = -1;
    std::vector<PropagateConst<std::unique_ptr<Entry>>> entries;
    /// Resources in use, and the machine's total resources.
    Resources used, total;
    /// The part of `used` by tasks that other tasks do not displace.
    Resources non_preemptible;
    /// The part of `used.heartbeat_bytes` by tasks without an entry that the newest heartbeat lists. Most of them have
    /// ended and are listed until they are reaped.
    double untracked_bytes = 0;
    /// The machine is to be emptied and then released.
    bool retiring = false;
    /// A spot machine without heartbeats that is presumed dead and released, so that it is certainly gone.
    bool presumed_dead = false;
    double heartbeat_requested_at = -1;
    bool pool = false, draining = false, out_of_service = false, releasing = false, release_requested = false;
    double release_retry_at = 0;
    /// When the cloud will reclaim the machine, according to its notice.
    double reclaim_at = -1;
    /// Since when the machine has no entries; negative: it has entries.
    double empty_since = -1;
    double avoid_until = 0, listed_at = -1;
    /// The images that are known to be on the machine.
    std::vector<CachedImage> images;
    std::set<std::string> failed_jobs;
    /// The number of the unanswered batch of orders; 0: none.
    std::uint64_t batch = 0;
    /// The unanswered batch contains no orders and only requests a heartbeat.
    bool heartbeat_request_in_flight = false;
    /// The machine is in the DispatchQueue.
    bool queued_for_orders = false;
    /// The machine is in the queue of HeartbeatRequests.
    bool heartbeat_request_queued = false;
    /// The job for which resources are reserved here. Used for comparisons only, since the job may no longer exist.
    const void* reserved_for = nullptr;
    Priority reserved_priority = Priority::low;
    double reserved_until = -1;
    int reserved_tasks = 0;
    /// Until when the machine is considered slow, because its tasks run far longer than those of the same job
    /// elsewhere, and how often it was considered slow.
    double slow_until = -1;
    int slow_count = 0;

    [[nodiscard]] bool inbound_unreachable() const {
        return inbound_unreachable_since >= 0;
    }
    [[nodiscard]] bool has_image(int image) const {
        return std::any_of(images.begin(), images.end(),
                           [&](const CachedImage& cached) { return cached.image == image && cached.ready; });
    }
    /// The index of the machine's zone in `Job::zone_live`, whose last element is for an unknown zone.
    [[nodiscard]] std::size_t zone_index(std::size_t known_zones) const {
        return zone < 0 ? known_zones : static_cast<std::size_t>(zone);
    }
    /// The entry of the reported attempt; null: none.
    [[nodiscard]] Entry* find_entry(const ReportedTask& task);
    /// The CPUs that other tasks can use if `in_use` is: those that are not in use, but no greater share of all than is
    /// left of the heartbeat.
    [[nodiscard]] double cpus_left_beside(const Resources& in_use) const;
    /// Adds the resources of one task of the job to those in use.
    void occupy(const JobSpec& spec);
    /// Reverses `occupy`. To be called after the entry was removed from `entries`.
    void vacate(const JobSpec& spec, double now);
    /// Replaces `untracked_bytes`, also in `used`.
    void set_untracked_bytes(double bytes);
    /// Records that an image is used on the machine, and that it is in the cache if `ready`. The cache keeps the most
    /// recently used images. If its size `cache_gb` is known, images that cannot fit besides those are removed from
    /// `images`. `image_gb` contains the sizes of all images.
    void use_image(int image, bool ready, double now, std::optional<double> cache_gb,
                   const std::vector<double>& image_gb);
    /// Moves the start of the lease to now, unless it is later already. To be called for every event that may have
    /// started or renewed the lease.
    void extend_lease_to(double now) {
        lease_started_at = std::max(lease_started_at, now);
    }
    /// Prevents placements on the machine before this time.
    void avoid_at_least_until(double time) {
        avoid_until = std::max(avoid_until, time);
    }
};

} // namespace heronshift::cluster
