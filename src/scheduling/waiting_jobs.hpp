/// @file
/// The order in which waiting jobs are placed, and how long their tasks may wait. The functions read a const view of
/// the cluster. Call them on the thread that owns the state.
#pragma once

#include "scheduling/placement_cost.hpp"

#include <vector>

namespace heronshift::scheduling {

/// The jobs with waiting tasks, the most urgent first: by priority, then jobs within their team's guarantee, then jobs
/// that have waited for too long, the oldest first, then the job with the least work left. Sets `shape` to the
/// resources that each task of the job with the most waiting tasks needs; leaves it unchanged if no job waits.
[[nodiscard]] std::vector<const Job*> waiting_jobs(const ClusterData& cluster, Resources& shape);

/// The number of seconds after a job became ready for which its tasks may wait for placement before its objectives are
/// at risk.
[[nodiscard]] double max_wait_s(const ClusterData& cluster, const Job& job);

} // namespace heronshift::scheduling
