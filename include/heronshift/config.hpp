/// @file
/// The platform's settings (a TOML file) and the operators' settings (a file of S-expressions). The types are plain
/// values. The functions that load them may be called on any thread and throw SettingsError.
#pragma once

#include "heronshift/types.hpp"

#include <stdexcept>
#include <string>
#include <vector>

namespace heronshift {

/// The network address of a server.
struct Endpoint {
    /// Name or address of the host; empty: the server does not listen.
    std::string host;
    /// TCP port; 0: the system chooses a free port.
    int port = 0;
    /// The address in the form HOST:PORT.
    [[nodiscard]] std::string str() const {
        return host + ":" + std::to_string(port);
    }
};

/// Another controller of the same cluster.
struct Peer {
    /// Unique name of the controller.
    std::string name;
    /// The zone that the controller runs in.
    std::string zone;
    /// The address at which the controller listens for other controllers.
    Endpoint addr;
};

/// A service-level objective by which the platform measures the scheduler.
struct Objective {
    /// What has to happen within `within_s`. "wait": a job begins; "guarantee": a job within its team's guarantee
    /// begins; "finished": a job is done, counted from when it became ready. Objectives of other kinds are ignored.
    std::string kind;
    /// The job class that the objective applies to. A "guarantee" applies to jobs of all classes.
    std::string job_class;
    /// The time limit of the objective, in seconds.
    double within_s = 0;
    /// The fraction of jobs that must meet the objective, 0 to 1.
    double share = 0;
    /// A factor, for kinds of objectives that have one.
    double times = 0;
};

/// The operators' settings. Every setting has a usable default, so the file is optional.
struct OperatorSettings {
    /// Payoff of each task on the pool up to the job's target (`target_share`), see docs/design.md.
    double alpha = 1;
    /// Payoff of each task on the pool beyond the job's target.
    double beta = 0.1;
    /// Payoff of reaching the job's target.
    double gamma = 10;
    /// A job's target: the fraction of its tasks that should run on the pool, 0 to 1.
    double target_share = 1;
    /// Maximum number of tasks that a rebalancing round moves back to the pool; 0: none.
    int pull_back_cap = 5;
    /// Maximum number of tasks that a rebalancing round restarts to reduce fragmentation; 0: none.
    int reorder_cap = 3;
    /// The interval between rebalancing rounds, in seconds.
    double round_s = 10;
    /// Number of new tasks that are assigned to machines together, at most 8.
    int batch = 8;
    /// Extra capacity of the pool beyond what services use, as a fraction of what they use.
    double headroom = 0.25;
    /// Time after which an empty machine is released, in seconds; 0: derived from the boot time of its machine type.
    double empty_s = 0;
    /// The time after which every job, however large, should have begun, if the teams' limits and the machines allow
    /// it; in seconds.
    double begin_s = 240;
};

/// The platform's settings for one controller.
struct Settings {
    /// Unique name of the controller.
    std::string name;
    /// The zone that the controller runs in.
    std::string zone;
    /// The address at which the controller listens for users and machines; no host: it does not listen.
    Endpoint listen;
    /// The address at which the controller listens for other controllers; no host: it does not listen.
    Endpoint peer_listen;
    /// All other controllers of the cluster.
    std::vector<Peer> peers;
    /// The address of the cloud.
    Endpoint cloud;
    /// The address of the state service.
    Endpoint state;
    /// All zones of the cluster.
    std::vector<std::string> zones;
    /// Maximum difference between the wall clocks of two machines, in seconds.
    double time_bound_s = 1;
    /// The teams and their limits; jobs of teams that are not listed are refused.
    std::vector<TeamLimits> teams;
    /// The service-level objectives that the platform measures.
    std::vector<Objective> objectives;
    /// The interval between a machine's heartbeats, in seconds.
    double report_s = 3;
    /// Duration of a machine's lease, in seconds, at least twice report_s. A machine stops all its tasks if none of its
    /// heartbeats has been answered for this long.
    double lease_s = 20;
    /// How long a task waits on its machine for the other tasks of its gang, in seconds.
    double gang_wait_s = 40;
    /// How long the other tasks of a running gang go on after one of its tasks was lost, in seconds.
    double gang_peer_s = 8;
    /// Time after the answer to a cancellation by which no task of the job runs any more, in seconds; longer than
    /// lease_s.
    double cancel_s = 40;
    /// Requests per second that the state service accepts from all controllers together. If a lower limit is announced
    /// for a later time, this and the next three settings hold the lower one of the present and the later limit.
    double state_rps = 100;
    /// Changes to keys per second that the state service accepts from all controllers together.
    double state_write_rps = 40;
    /// Maximum length of a value in the state service, in KiB.
    double value_kb = 16;
    /// Maximum number of changes in one transaction of the state service.
    int txn_ops = 16;
    /// Requests per second that the cloud accepts.
    double cloud_rps = 2;
    /// Maximum age of the cloud's list of machines, in seconds.
    double list_lag_s = 5;
    /// Processor cores that this process may use.
    double cores = 1;
    /// Memory that this process may use, in MB.
    double memory_mb = 128;
    /// Maximum number of open file descriptors of this process.
    int fd_limit = 1024;
    /// The operators' settings.
    OperatorSettings ops;
};

/// Settings that cannot be used. The message names the file and the field that is wrong, in one line.
struct SettingsError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Reads and checks the platform's settings. Throws SettingsError.
Settings load_settings(const std::string& path);
/// Reads and checks the operators' settings. `report_s` is the interval between heartbeats in seconds, which some
/// settings are checked against. Throws SettingsError.
OperatorSettings load_operator_settings(const std::string& path, double report_s);
/// Describes the settings in effect for people, one line per setting.
std::string describe(const Settings& settings);

/// Converts the platform's settings to a JSON text, for validation against a schema. Checks only the syntax of the
/// file. Throws SettingsError.
std::string settings_as_json(const std::string& path);
/// Converts the operators' settings to a JSON text, for validation against a schema. Checks only the syntax of the
/// file. Throws SettingsError.
std::string operators_as_json(const std::string& path);

} // namespace heronshift
