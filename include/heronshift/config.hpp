/// @file
/// The platform's settings (TOML) and the operators' own (S-expressions). Plain values; the functions read files, may
/// be called on any thread and report what is wrong as SettingsError.
#pragma once

#include "heronshift/types.hpp"

#include <stdexcept>
#include <string>
#include <vector>

namespace heronshift {

/// Where something listens.
struct Endpoint {
    /// Name or address of the host; empty: nowhere.
    std::string host;
    /// TCP port; 0: the system's choice.
    int port = 0;
    /// As HOST:PORT.
    [[nodiscard]] std::string str() const {
        return host + ":" + std::to_string(port);
    }
};

/// Another controller.
struct Peer {
    /// Its unique name.
    std::string name;
    /// The zone that it is in.
    std::string zone;
    /// Its address for other controllers.
    Endpoint addr;
};

/// An aim that the platform measures the scheduler by.
struct Objective {
    /// "wait": a job begins in time; "guarantee": one within its team's guarantee; "finished"; others are passed over.
    std::string kind;
    /// The class of the jobs that it is about; a guarantee is about all.
    std::string job_class;
    /// The time in which it should happen, in seconds.
    double within_s = 0;
    /// The share of jobs for which it should, 0 to 1.
    double share = 0;
    /// A factor, for kinds that have one.
    double times = 0;
};

/// The operators' own settings. Every value has a sound default: the file is optional.
struct OperatorSettings {
    /// Payoff of each task on the pool below the job's target, see docs/design.md.
    double alpha = 1;
    /// Payoff of each task on the pool above the target.
    double beta = 0.1;
    /// Payoff of reaching the target.
    double gamma = 10;
    /// The target: the share of a job's tasks that is wanted on the pool, 0 to 1.
    double target_share = 1;
    /// Tasks that a round moves back to the pool, at most; 0: none.
    int pull_back_cap = 5;
    /// Tasks that a round restarts to reduce fragmentation, at most; 0: none.
    int reorder_cap = 3;
    /// The interval between rounds, in seconds.
    double round_s = 10;
    /// New tasks that are matched at once, 8 at most.
    int batch = 8;
    /// Room on the pool beyond what services use, as a share of that.
    double headroom = 0.25;
    /// For how long a machine may be empty before it is returned, in seconds; 0: a ratio of its type's boot time.
    double empty_s = 0;
    /// By then each job should have begun, however large, if limits and machines allow it; in seconds.
    double begin_s = 240;
};

/// The platform's settings for one controller.
struct Settings {
    /// Its unique name.
    std::string name;
    /// The zone that it is in.
    std::string zone;
    /// Where users and machines reach it; no host: it does not listen.
    Endpoint listen;
    /// Where other controllers reach it; no host: it does not listen.
    Endpoint peer_listen;
    /// All other controllers.
    std::vector<Peer> peers;
    /// The address of the cloud.
    Endpoint cloud;
    /// The address of the state service.
    Endpoint state;
    /// All zones.
    std::vector<std::string> zones;
    /// How far the wall clocks of two machines may differ, in seconds.
    double time_bound_s = 1;
    /// The teams and their limits; jobs of others are refused.
    std::vector<TeamLimits> teams;
    /// What the platform measures.
    std::vector<Objective> objectives;
    /// The interval of a machine's heartbeats, in seconds.
    double report_s = 3;
    /// A machine's lease: without an answer for so long it stops all its tasks; in seconds, at least twice report_s.
    double lease_s = 20;
    /// For how long a task waits on a machine for the others of its gang, in seconds.
    double gang_wait_s = 40;
    /// For how long a running gang does without one of its tasks, in seconds.
    double gang_peer_s = 8;
    /// After a cancellation was answered, nothing of the job runs any more; in seconds, longer than lease_s.
    double cancel_s = 40;
    /// Requests a second that the state service takes from all controllers. This and the next three are the
    /// smaller of now and later, where the state service's limits will be lowered.
    double state_rps = 100;
    /// Changes a second that it takes.
    double state_write_rps = 40;
    /// The longest value that it takes, in KiB.
    double value_kb = 16;
    /// Changes in one transaction that it takes.
    int txn_ops = 16;
    /// Requests a second that the cloud takes.
    double cloud_rps = 2;
    /// How old the cloud's list of machines may be, in seconds.
    double list_lag_s = 5;
    /// Processor cores that this process may use.
    double cores = 1;
    /// Memory that this process may use, in MB.
    double memory_mb = 128;
    /// Open file descriptors that this process may have.
    int fd_limit = 1024;
    /// The operators' own.
    OperatorSettings ops;
};

/// The settings cannot be used: says which file and which field is wrong, in one line.
struct SettingsError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Reads and checks the platform's settings. Throws SettingsError.
Settings load_settings(const std::string& path);
/// Reads and checks the operators' settings; some are checked against the interval of heartbeats, in seconds.
/// Throws SettingsError.
OperatorSettings load_operator_settings(const std::string& path, double report_s);
/// What is in force, a line for each setting, for people.
std::string describe(const Settings& settings);

/// The platform's settings as a JSON text, nothing checked but the syntax: for schemas. Throws SettingsError.
std::string settings_as_json(const std::string& path);
/// The operators' settings as a JSON text, nothing checked but the syntax: for schemas. Throws SettingsError.
std::string operators_as_json(const std::string& path);

} // namespace heronshift
