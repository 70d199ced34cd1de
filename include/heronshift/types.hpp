// The plain types that every part of the scheduler shares.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace heronshift {

enum class Shape : std::uint8_t { array, gang, service };
// Smaller means more urgent.
enum class Rank : std::uint8_t { critical, high, normal, low };

struct Resources {
    double cpus = 0, gpus = 0, memory_gb = 0;

    Resources& operator+=(const Resources& o) {
        cpus += o.cpus, gpus += o.gpus, memory_gb += o.memory_gb;
        return *this;
    }
    Resources& operator-=(const Resources& o) {
        cpus -= o.cpus, gpus -= o.gpus, memory_gb -= o.memory_gb;
        return *this;
    }
    friend Resources operator+(Resources a, const Resources& b) {
        return a += b;
    }
    friend Resources operator-(Resources a, const Resources& b) {
        return a -= b;
    }
    friend Resources operator*(Resources a, double k) {
        return {a.cpus * k, a.gpus * k, a.memory_gb * k};
    }
    // Amounts are decimal numbers, so sums carry a little dust.
    [[nodiscard]] bool fits(const Resources& room) const {
        constexpr double dust = 1e-6;
        return cpus <= room.cpus + dust && gpus <= room.gpus + dust && memory_gb <= room.memory_gb + dust;
    }
};

struct JobSpec {
    std::string id, job_class, team;
    Shape shape = Shape::array;
    Rank rank = Rank::normal;
    std::uint32_t tasks = 1;
    Resources each;
    std::string image;
    double image_gb = 0;
    std::vector<std::string> types; // empty: any
    std::string zone;               // empty: any
    bool one_zone = false, spread = false, spot = false;
    double estimate_s = 0, checkpoint_s = 0, save_s = 0;
    double deadline_s = -1;         // below zero: none
    std::vector<std::string> needs; // jobs that must be done before any task of this one starts
    bool needs_damaged = false;     // as stored: which, cannot be read
};

struct MachineType {
    std::string name;
    Resources room;
    double cache_gb = 0, fetch_gb_per_s = 1, price = 0, spot_price = 0, boot_s = 0;
    std::vector<std::string> zones;
};

enum class TaskState : std::uint8_t { fetching, waiting, running, saving, ended };
enum class ExitCause : std::uint8_t { none, done, stopped, peers, alone, error, no_room, busy, unknown };

struct ReportedTask {
    std::string job;
    std::uint32_t index = 0;
    std::uint64_t try_no = 0;
    TaskState state = TaskState::running;
    ExitCause cause = ExitCause::none;
    bool saved = false;
};

struct Report {
    std::string machine, addr, type, zone;
    bool spot = false;
    std::uint64_t tenure = 0, counter = 0, fence = 0;
    double notice_s = -1; // below zero: none
    std::vector<ReportedTask> tasks;
};

enum class Verb : std::uint8_t { launch, stop, reap };
struct Order {
    Verb verb = Verb::launch;
    std::string job;
    std::uint32_t index = 0;
    std::uint64_t try_no = 0;
    double drain_s = 0;
};

struct ListedMachine {
    std::string id, addr, type, zone, status;
    bool spot = false;
    double age_s = 0;
};

struct TeamLimits {
    std::string name;
    double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0; // 0: none
};

} // namespace heronshift
