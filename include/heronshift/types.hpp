/// @file
/// The plain types that every part of the scheduler shares. Values only: no thread owns them, nothing throws.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// The scheduler.
namespace heronshift {

/// How the tasks of a job belong together: an array's run one by one, a gang's all at once, a service's for good.
enum class Shape : std::uint8_t { array, gang, service };
/// A job's priority. Smaller means more urgent.
enum class Priority : std::uint8_t { critical, high, normal, low };

/// An amount of resources, of a task or of a machine.
struct Resources {
    /// Processor cores; fractions are allowed.
    double cpus = 0;
    /// Accelerators; fractions are allowed.
    double gpus = 0;
    /// Memory in GB.
    double memory_gb = 0;

    /// Adds each amount.
    Resources& operator+=(const Resources& resources) {
        cpus += resources.cpus, gpus += resources.gpus, memory_gb += resources.memory_gb;
        return *this;
    }
    /// Subtracts each amount; the result may be negative.
    Resources& operator-=(const Resources& resources) {
        cpus -= resources.cpus, gpus -= resources.gpus, memory_gb -= resources.memory_gb;
        return *this;
    }
    /// The sum of each amount.
    friend Resources operator+(Resources resources, const Resources& b) {
        return resources += b;
    }
    /// The difference of each amount; may be negative.
    friend Resources operator-(Resources resources, const Resources& b) {
        return resources -= b;
    }
    /// Each amount k times.
    friend Resources operator*(Resources resources, double k) {
        return {resources.cpus * k, resources.gpus * k, resources.memory_gb * k};
    }
    /// Whether each amount is at most that of `room`. Amounts are decimal numbers, so sums carry rounding errors,
    /// which are allowed for.
    [[nodiscard]] bool fits(const Resources& room) const {
        constexpr double dust = 1e-6;
        return cpus <= room.cpus + dust && gpus <= room.gpus + dust && memory_gb <= room.memory_gb + dust;
    }
};

/// A job as it was submitted.
struct JobSpec {
    /// Its unique id, of the form wk-000412.
    std::string id;
    /// Its class: jobs of one class behave alike; objectives name classes.
    std::string job_class;
    /// The team that it belongs to and whose limits it counts against.
    std::string team;
    /// How its tasks belong together.
    Shape shape = Shape::array;
    /// Its priority.
    Priority priority = Priority::normal;
    /// The number of its tasks, 1 to 100,000.
    std::uint32_t tasks = 1;
    /// What each task needs.
    Resources each;
    /// The image that its tasks run.
    std::string image;
    /// The size of the image in GB.
    double image_gb = 0;
    /// Machine types that it may run on; empty: any.
    std::vector<std::string> types;
    /// The zone that it must run in; empty: any.
    std::string zone;
    /// All of its tasks run in one zone.
    bool one_zone = false;
    /// Its tasks are spread over zones.
    bool spread = false;
    /// It may run on spot machines.
    bool spot = false;
    /// How long a task is expected to run, in seconds; 0: unknown.
    double estimate_s = 0;
    /// The interval at which a task saves its progress, in seconds; 0: never.
    double checkpoint_s = 0;
    /// How long saving takes, in seconds.
    double save_s = 0;
    /// When it should be done, in seconds after its submission; below zero: no deadline.
    double deadline_s = -1;
    /// Ids of the jobs that must be done before any task of this one starts.
    std::vector<std::string> dependencies;
    /// As stored: `needs` cannot be read.
    bool dependencies_damaged = false;
};

/// A type of machine that the cloud rents out.
struct MachineType {
    /// Its name.
    std::string name;
    /// What tasks can use on such a machine.
    Resources room;
    /// Room for images, in GB.
    double cache_gb = 0;
    /// The speed at which images are fetched, in GB per second.
    double fetch_gb_per_s = 1;
    /// The price of an ordinary machine per unit of time, as the cloud gives it.
    double price = 0;
    /// The price of a spot machine, in the same unit.
    double spot_price = 0;
    /// From the rental until the machine is up, in seconds.
    double boot_s = 0;
    /// Zones in which it can be rented.
    std::vector<std::string> zones;
};

/// What a task on a machine does; `waiting` is for the other tasks of its gang.
enum class TaskState : std::uint8_t { fetching, waiting, running, saving, ended };
/// Why a task ended. `peers`: others of its gang were lost; `alone`: they never came; `no_room`: the machine was
/// full; `busy`: what it needs was in use there.
enum class ExitCause : std::uint8_t { none, done, stopped, peers, alone, error, no_room, busy, unknown };

/// One task in a heartbeat.
struct ReportedTask {
    /// The id of its job.
    std::string job;
    /// Its index in the job, from 0.
    std::uint32_t index = 0;
    /// The number of the attempt; a later attempt has a greater one.
    std::uint64_t attempt = 0;
    /// What it does.
    TaskState state = TaskState::running;
    /// Why it ended; `none` while it has not.
    ExitCause cause = ExitCause::none;
    /// Its progress was saved before it ended.
    bool saved = false;
};

/// A machine's heartbeat: all that is on it at one moment.
struct Heartbeat {
    /// The id of the machine.
    std::string machine;
    /// The address that takes orders, HOST:PORT.
    std::string addr;
    /// The name of its machine type.
    std::string type;
    /// Its zone.
    std::string zone;
    /// It is a spot machine.
    bool spot = false;
    /// The epoch of the agent on it: a restarted agent has a greater one and no tasks.
    std::uint64_t agent_epoch = 0;
    /// The number of the heartbeat within the epoch.
    std::uint64_t counter = 0;
    /// The highest fencing token that the agent has seen.
    std::uint64_t fencing_token = 0;
    /// Until the machine is reclaimed, in seconds; below zero: no notice was given.
    double notice_s = -1;
    /// The tasks on it; ended ones until they are reaped.
    std::vector<ReportedTask> tasks;
};

/// What an order asks for.
enum class Verb : std::uint8_t {
    launch, ///< To start the task.
    stop,   ///< To end it, with some time for saving its progress.
    reap,   ///< To forget that it has ended, which need not be reported any more.
};
/// An order to a machine about one attempt of one task.
struct Order {
    /// What is asked for.
    Verb verb = Verb::launch;
    /// The id of the job.
    std::string job;
    /// The task's index in the job, from 0.
    std::uint32_t index = 0;
    /// The number of the attempt.
    std::uint64_t attempt = 0;
    /// For a stop: the time that the task has for saving its progress, in seconds.
    double drain_s = 0;
};

/// A machine as the cloud lists it.
struct ListedMachine {
    /// Its id.
    std::string id;
    /// The address that takes orders, HOST:PORT; may be empty while it boots.
    std::string addr;
    /// The name of its machine type.
    std::string type;
    /// Its zone.
    std::string zone;
    /// What the cloud calls its state.
    std::string status;
    /// It is a spot machine.
    bool spot = false;
    /// Since it was rented, in seconds.
    double age_s = 0;
};

/// A team's limits on what its running tasks use.
struct TeamLimits {
    /// The team.
    std::string name;
    /// Its guaranteed processor cores; 0: none.
    double cpus = 0;
    /// Processor cores that it never exceeds; 0: no such limit.
    double cpus_max = 0;
    /// Its guaranteed accelerators; 0: none.
    double gpus = 0;
    /// Accelerators that it never exceeds; 0: no such limit.
    double gpus_max = 0;
};

} // namespace heronshift
