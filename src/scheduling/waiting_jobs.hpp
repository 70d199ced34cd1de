/// @file
/// In which order jobs wait for places, and for how long they may. Functions of a const view of the cluster, to be
/// called on the thread that owns the state.
#pragma once

#include "scheduling/placement_cost.hpp"

#include <vector>

namespace heronshift::scheduling {

/// The jobs of which tasks wait for a place, the most urgent first: by priority, then the team's guarantee, then the
/// least work left, or the age of what has waited for too long. `shape` becomes the shape of the job with the most
/// waiting tasks, and stays as it is if none waits.
[[nodiscard]] std::vector<const Job*> waiting_jobs(const ClusterData& cluster, Resources& shape);

/// For how many seconds after it became ready a job's tasks may wait for a place before its aims are in danger.
[[nodiscard]] double patience_s(const ClusterData& cluster, const Job& job);

} // namespace heronshift::scheduling
