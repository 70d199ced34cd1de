// A listener that ignores every record to be stored, for tests of the cluster state alone.
#pragma once

#include "cluster/cluster_state.hpp"

namespace heronshift::testing {

struct NoPersistence final : cluster::PersistenceListener {
    void added(cluster::Job& /*j*/) override {}
    void added(cluster::Entry& /*e*/) override {}
    void removed(cluster::Entry& /*e*/) override {}
    void final_due(cluster::Job& /*j*/, Urgency /*u*/) override {}
    void progressed(cluster::Job& /*j*/) override {}
    void became_ready(cluster::Job& /*j*/) override {}
};

} // namespace heronshift::testing
