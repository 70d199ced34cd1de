#include "ready_records.hpp"

#include "persistence/layout.hpp"

#include <utility>

namespace heronshift {
namespace {

constexpr std::size_t estimated_record_bytes = 600;

} // namespace

persistence::Backlog ClusterRecords::ReadyRecords::backlog() const {
    const double now = cluster_.view().now;
    return {"ready", jobs_.size(), jobs_.empty() ? 0 : now - jobs_.front()->ready};
}

void ClusterRecords::ReadyRecords::add_writes(persistence::TransactionBuilder& transaction) {
    const auto& data = cluster_.view();
    while (!jobs_.empty() && !transaction.would_overflow(1)) {
        auto* job = jobs_.front();
        jobs_.pop_front();
        if (job->final != cluster::FinalState::none)
            continue;
        codec::StoredJob record;
        record.spec = job->spec;
        record.spec.dependencies.clear();
        record.at = data.wall - (data.now - job->submitted);
        record.ready = data.wall - (data.now - job->ready);
        transaction.put(persistence::job_key(record.spec.id), codec::to_record(record), estimated_record_bytes);
        job->ready_recorded = true;
        in_flight_.push_back(job);
    }
}

void ClusterRecords::ReadyRecords::committed(bool applied) {
    for (auto* job : std::exchange(in_flight_, {})) {
        if (applied)
            continue;
        job->ready_recorded = false;
        jobs_.push_back(job);
    }
}

} // namespace heronshift
