#include "scheduling/autoscaler.hpp"

#include "rental_plan.hpp"

namespace heronshift::scheduling {

void Autoscaler::scale_up() {
    if (cluster_.types.empty())
        return;
    RentalPlan plan(cluster_, proposals_);
    plan.plan_for_waiting_jobs();
    plan.plan_for_next_gang(gang_ready_target_);
    plan.propose();
}

} // namespace heronshift::scheduling
