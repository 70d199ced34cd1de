#include "image_hints.hpp"

#include "persistence/layout.hpp"

#include "stored_records.hpp"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace heronshift {
namespace {

// Estimated bytes of an encoded record: those of an empty record, those around the id of a machine, those of an image
// index in a machine's list and those around the name of an image.
constexpr std::size_t record_overhead_bytes = 40, machine_overhead_bytes = 8, index_bytes = 4,
                      image_overhead_bytes = 28;

// Builds a record from as many machines as fit into `max_bytes`.
class RecordBuilder {
public:
    RecordBuilder(const std::vector<const std::string*>& names, const std::vector<double>& sizes_gb,
                  std::size_t max_bytes)
        : names_(names), sizes_gb_(sizes_gb), max_bytes_(max_bytes) {}

    // Returns false, and adds nothing, if the record has no room for the machine.
    bool add(const cluster::Machine& machine) {
        const auto added_bytes = bytes_of(machine);
        if (size_ + added_bytes > max_bytes_)
            return false;
        size_ += added_bytes;
        std::vector<std::size_t> held;
        for (const auto& cached : machine.images)
            if (cached.ready)
                held.push_back(index_of(cached.image));
        if (!held.empty())
            record_.held.emplace_back(machine.id, std::move(held));
        return true;
    }
    [[nodiscard]] const persistence::ImageRecord& record() const {
        return record_;
    }
    [[nodiscard]] std::size_t size() const {
        return size_;
    }

private:
    [[nodiscard]] std::size_t bytes_of(const cluster::Machine& machine) const {
        auto bytes = machine.id.size() + machine_overhead_bytes;
        for (const auto& cached : machine.images) {
            if (!cached.ready)
                continue;
            bytes += index_bytes;
            if (!indices_.contains(cached.image))
                bytes += names_[static_cast<std::size_t>(cached.image)]->size() + image_overhead_bytes;
        }
        return bytes;
    }
    std::size_t index_of(int image) {
        const auto [at, inserted] = indices_.emplace(image, record_.images.size());
        const auto i = static_cast<std::size_t>(image);
        if (inserted)
            record_.images.push_back(persistence::ImageRecord::Image{*names_[i], sizes_gb_[i]});
        return at->second;
    }

    const std::vector<const std::string*>& names_;
    const std::vector<double>& sizes_gb_;
    std::size_t max_bytes_, size_ = record_overhead_bytes;
    std::unordered_map<int, std::size_t> indices_; // The index in the record, by the cluster's number of the image.
    persistence::ImageRecord record_;
};

} // namespace

// Returns the names of the images, indexed by the cluster's number of the image.
std::vector<const std::string*> ClusterRecords::ImageHints::image_names() const {
    std::vector<const std::string*> names(cluster_.view().image_gb.size());
    for (const auto& [name, id] : cluster_.image_ids_)
        names[static_cast<std::size_t>(id)] = &name;
    return names;
}

void ClusterRecords::ImageHints::add_writes(persistence::TransactionBuilder& transaction) {
    const auto& data = cluster_.view();
    if (data.now < next_write_at_ || data.machines.empty() || transaction.would_overflow(limits_.max_writes / 2))
        return;
    next_write_at_ = data.now + 2 * settings_.report_s;
    const auto names = image_names();
    RecordBuilder builder(names, data.image_gb, limits_.max_record_bytes);
    auto it = next_record_ == 0 ? data.machines.begin() : data.machines.upper_bound(last_machine_written_);
    for (; it != data.machines.end() && builder.add(*it->second); ++it)
        last_machine_written_ = it->first;
    const auto number = next_record_++;
    if (it == data.machines.end())
        start_next_cycle();
    transaction.put(persistence::image_key(number), persistence::encode_images(builder.record()), builder.size());
}

// Starts again with the first machine, since all machines are written. Records with numbers beyond the last one written
// were needed when the cluster was larger, and are removed.
void ClusterRecords::ImageHints::start_next_cycle() {
    for (auto number = next_record_; number < stored_record_count_; ++number)
        obsolete_records_.add(persistence::image_key(number));
    stored_record_count_ = next_record_;
    next_record_ = 0;
}

void ClusterRecords::ImageHints::load(const std::vector<codec::Item>& items) {
    for (const auto& item : items)
        load_record(item);
}

void ClusterRecords::ImageHints::load_record(const codec::Item& item) {
    if (const auto number = persistence::record_number(item.key); number)
        stored_record_count_ = std::max(stored_record_count_, *number + 1);
    const auto record = persistence::decode_images(item.value);
    std::vector<int> ids; // The cluster's numbers of the images, by their index in the record; -1 if damaged.
    for (const auto& image : record.images)
        ids.push_back(image ? cluster_.image_id(image->name, image->size_gb) : -1);
    for (const auto& [machine, indices] : record.held)
        for (const auto index : indices)
            if (ids[index] >= 0)
                cluster_.image_hints_[machine].push_back(ids[index]);
}

} // namespace heronshift
