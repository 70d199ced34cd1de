/// @file
/// The plain types that all parts of the scheduler share. They are values without any synchronisation, and none of
/// their functions throws.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// The scheduler.
namespace heronshift {

/// How the tasks of a job run: those of an `array` independently of each other, those of a `gang` all at the same time,
/// and those of a `service` until the job is cancelled.
enum class Shape : std::uint8_t { array, gang, service };
/// A job's priority. Lower values are more urgent.
enum class Priority : std::uint8_t { critical, high, normal, low };

/// Amounts of resources, such as those that a task needs or that a machine has.
struct Resources {
    /// Number of processor cores; may be fractional.
    double cpus = 0;
    /// Number of accelerators; may be fractional.
    double gpus = 0;
    /// Memory in GB.
    double memory_gb = 0;
    /// Bytes in the list of tasks of a machine's heartbeat, whose length is limited. Set by the scheduler for tasks and
    /// machine types; programs leave it at 0.
    double heartbeat_bytes = 0;

    /// Adds each amount.
    Resources& operator+=(const Resources& resources) {
        cpus += resources.cpus, gpus += resources.gpus, memory_gb += resources.memory_gb;
        heartbeat_bytes += resources.heartbeat_bytes;
        return *this;
    }
    /// Subtracts each amount; the result may be negative.
    Resources& operator-=(const Resources& resources) {
        cpus -= resources.cpus, gpus -= resources.gpus, memory_gb -= resources.memory_gb;
        heartbeat_bytes -= resources.heartbeat_bytes;
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
    /// Multiplies each amount by `k`.
    friend Resources operator*(Resources resources, double k) {
        return {resources.cpus * k, resources.gpus * k, resources.memory_gb * k, resources.heartbeat_bytes * k};
    }
    /// Whether each amount is at most that of `room`. Amounts are often decimal fractions, whose sums have rounding
    /// errors, so a small excess is tolerated.
    [[nodiscard]] bool fits(const Resources& room) const {
        constexpr double tolerance = 1e-6;
        return cpus <= room.cpus + tolerance && gpus <= room.gpus + tolerance &&
               memory_gb <= room.memory_gb + tolerance && heartbeat_bytes <= room.heartbeat_bytes + tolerance;
    }
};

/// A job as it was submitted.
struct JobSpec {
    /// Unique id of the job, of the form wk-000412.
    std::string id;
    /// The job's class. Jobs of one class behave alike, and objectives refer to classes.
    std::string job_class;
    /// The team that the job belongs to and against whose limits its tasks count.
    std::string team;
    /// How the job's tasks run.
    Shape shape = Shape::array;
    /// Priority of the job.
    Priority priority = Priority::normal;
    /// Number of tasks, 1 to 100,000.
    std::uint32_t tasks = 1;
    /// The resources that each task needs.
    Resources each;
    /// The image that the tasks run.
    std::string image;
    /// The size of the image in GB.
    double image_gb = 0;
    /// Machine types that the tasks may run on; empty: any.
    std::vector<std::string> types;
    /// The zone that the tasks must run in; empty: any.
    std::string zone;
    /// All tasks have to run in the same zone.
    bool one_zone = false;
    /// The tasks are to be spread over several zones.
    bool spread = false;
    /// The tasks may run on spot machines.
    bool spot = false;
    /// The expected run time of a task, in seconds; 0: unknown.
    double estimate_s = 0;
    /// The interval between a task's checkpoints, in seconds; 0: the tasks save none.
    double checkpoint_s = 0;
    /// The time that it takes to save a checkpoint, in seconds.
    double save_s = 0;
    /// The time by which the job should be done, in seconds after its submission; below zero: no deadline.
    double deadline_s = -1;
    /// Ids of the jobs that must be done before any task of this job starts.
    std::vector<std::string> dependencies;
    /// The stored list of dependencies (`needs` in command logs) is malformed, so `dependencies` is not valid.
    bool dependencies_damaged = false;
};

/// A type of machine that the cloud rents out.
struct MachineType {
    /// Name of the type.
    std::string name;
    /// The resources of such a machine that tasks can use.
    Resources room;
    /// The size of its image cache, in GB.
    double cache_gb = 0;
    /// The rate at which it fetches images, in GB per second.
    double fetch_gb_per_s = 1;
    /// The price of an on-demand machine per unit of time, as the cloud gives it.
    double price = 0;
    /// The price of a spot machine, in the same unit.
    double spot_price = 0;
    /// The time from the rental until the machine is up, in seconds.
    double boot_s = 0;
    /// Zones in which such machines can be rented.
    std::vector<std::string> zones;
};

/// The state of a task on a machine. `fetching`: its image is being fetched; `waiting`: the other tasks of its gang
/// have not started yet; `saving`: it is saving a checkpoint.
enum class TaskState : std::uint8_t { fetching, waiting, running, saving, ended };
/// Why a task ended. `none`: it has not ended; `peers`: other tasks of its gang were lost; `alone`: the other tasks of
/// its gang did not start in time; `no_room`: the machine had too few free resources; `busy`: something that the task
/// needs was in use on the machine.
enum class ExitCause : std::uint8_t { none, done, stopped, peers, alone, error, no_room, busy, unknown };

/// One task in a heartbeat.
struct ReportedTask {
    /// The id of the task's job.
    std::string job;
    /// The task's index in the job, from 0.
    std::uint32_t index = 0;
    /// The number of the attempt to run the task. Later attempts have greater numbers.
    std::uint64_t attempt = 0;
    /// The task's state.
    TaskState state = TaskState::running;
    /// Why the task ended; `none` if it has not.
    ExitCause cause = ExitCause::none;
    /// The task saved a checkpoint before it ended.
    bool saved = false;
};

/// A machine's heartbeat: a complete report of the tasks that are on it at one moment.
struct Heartbeat {
    /// The id of the machine.
    std::string machine;
    /// The address at which the machine receives orders, HOST:PORT.
    std::string addr;
    /// The name of the machine's type.
    std::string type;
    /// The machine's zone.
    std::string zone;
    /// The machine is a spot machine.
    bool spot = false;
    /// The epoch of the agent on the machine. It grows with each start of the agent, which then has no tasks.
    std::uint64_t agent_epoch = 0;
    /// The number of the heartbeat within the agent epoch.
    std::uint64_t counter = 0;
    /// The highest fencing token that the agent has seen.
    std::uint64_t fencing_token = 0;
    /// The time until the cloud reclaims the machine, in seconds; below zero: no notice has been given.
    double notice_s = -1;
    /// The tasks on the machine, including ended ones that have not been reaped yet.
    std::vector<ReportedTask> tasks;
};

/// What a machine is ordered to do with a task.
enum class Verb : std::uint8_t {
    launch, ///< Start the task.
    stop,   ///< Stop the task, after some time for saving a checkpoint.
    reap,   ///< Discard the ended task, so that heartbeats no longer contain it.
};
/// An order to a machine about one attempt of one task.
struct Order {
    /// What to do with the task.
    Verb verb = Verb::launch;
    /// The id of the task's job.
    std::string job;
    /// The task's index in the job, from 0.
    std::uint32_t index = 0;
    /// The number of the attempt.
    std::uint64_t attempt = 0;
    /// For Verb::stop: the time that the task has for saving a checkpoint, in seconds.
    double drain_s = 0;
};

/// A machine in the cloud's list of rented machines.
struct ListedMachine {
    /// The id of the machine.
    std::string id;
    /// The address at which the machine receives orders, HOST:PORT; may be empty while the machine boots.
    std::string addr;
    /// The name of the machine's type.
    std::string type;
    /// The machine's zone.
    std::string zone;
    /// The machine's state, in the cloud's own terms.
    std::string status;
    /// The machine is a spot machine.
    bool spot = false;
    /// The time since the machine was rented, in seconds.
    double age_s = 0;
};

/// A team's guarantees and limits for the resources that its running tasks use.
struct TeamLimits {
    /// Name of the team.
    std::string name;
    /// Number of processor cores guaranteed to the team; 0: none.
    double cpus = 0;
    /// Maximum number of processor cores that the team's tasks may use; 0: no limit.
    double cpus_max = 0;
    /// Number of accelerators guaranteed to the team; 0: none.
    double gpus = 0;
    /// Maximum number of accelerators that the team's tasks may use; 0: no limit.
    double gpus_max = 0;
};

} // namespace heronshift
