#include "leadership/leader_records.hpp"

namespace heronshift::leadership {

using codec::Json;

Json encode(const LeaderRecord& record) {
    return Json{{"node", record.node}, {"hold", record.store_lease}, {"term", record.term}};
}

Json encode(const TermCounter& counter) {
    return Json{{"term", counter.term}, {"n", counter.transactions}};
}

std::optional<LeaderRecord> decode_leader_record(const std::optional<codec::Item>& item) {
    if (!item || !item->value.is_object())
        return std::nullopt;
    return LeaderRecord{item->value.value("node", std::string()), item->value.value("hold", std::uint64_t{0}),
                        item->value.value("term", std::uint64_t{0})};
}

std::optional<TermCounter> decode_term_counter(const std::optional<codec::Item>& item) {
    if (!item || !item->value.is_object())
        return std::nullopt;
    return TermCounter{item->value.value("term", std::uint64_t{0}), item->value.value("n", std::uint64_t{0})};
}

} // namespace heronshift::leadership
