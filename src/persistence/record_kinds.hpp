/// Holds the objects for all kinds of cluster records.
#pragma once

#include "cascade_records.hpp"
#include "final_states.hpp"
#include "image_hints.hpp"
#include "intent_records.hpp"
#include "learned_rates.hpp"
#include "obsolete_records.hpp"
#include "progress_records.hpp"
#include "ready_records.hpp"

#include <vector>

namespace heronshift {

struct ClusterRecords::RecordKinds {
    RecordKinds(cluster::ClusterState& cluster, const Settings& settings, const StoreLimits& limits,
                std::vector<Effect>& effects)
        : ready(cluster), cascades(cluster, settings, limits), finals(cluster, effects, ready, cascades),
          intents(cluster, settings, limits, obsolete), progress(cluster, settings, limits),
          images(cluster, settings, limits, obsolete), learned(cluster, settings, limits) {}

    void forget_in_flight() {
        ready.forget_in_flight();
        cascades.forget_in_flight();
        finals.forget_in_flight();
        obsolete.forget_in_flight();
        intents.forget_in_flight();
        progress.forget_in_flight();
    }

    ReadyRecords ready;
    CascadeRecords cascades;
    FinalStates finals;
    ObsoleteRecords obsolete;
    IntentRecords intents;
    ProgressRecords progress;
    ImageHints images;
    LearnedRates learned;
};

} // namespace heronshift
