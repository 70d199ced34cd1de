#include "scheduling/autoscaler.hpp"

#include "rental_plan.hpp"

namespace heronshift::scheduling {

void Autoscaler::plan_capacity() {
    if (cluster_.types.empty())
        return;
    RentalPlan plan(cluster_, proposals_);
    plan.serve_waiting();
    plan.prepare_for_gang(kept_for_gangs_);
    plan.propose();
}

} // namespace heronshift::scheduling
