// The platform's settings (TOML) and the operators' own (S-expressions).
#pragma once

#include "heronshift/types.hpp"

#include <stdexcept>
#include <string>
#include <vector>

namespace heronshift {

struct Endpoint {
    std::string host;
    int port = 0;
    [[nodiscard]] std::string str() const {
        return host + ":" + std::to_string(port);
    }
};

struct Peer {
    std::string name, zone;
    Endpoint addr;
};

struct Objective {
    std::string kind, job_class;
    double within_s = 0, share = 0, times = 0;
};

// Every value has a sound default: the operators' file is optional.
struct OperatorSettings {
    double alpha = 1, beta = 0.1, gamma = 10; // payoff, see docs/design.md
    double target_share = 1;                  // of a job's tasks on the pool
    int pull_back_cap = 5, reorder_cap = 3;   // tasks per round
    double round_s = 10;
    int batch = 8;
    double headroom = 0.25; // of what services use, on the pool beyond it
    double empty_s = 0;     // 0: a ratio of the type's boot time
    double begin_s = 240;   // by then each job should have begun, however large, if limits and machines allow it
};

struct Settings {
    std::string name, zone;
    Endpoint listen, peer_listen;
    std::vector<Peer> peers;
    Endpoint cloud, state;
    std::vector<std::string> zones;
    double time_bound_s = 1;
    std::vector<TeamLimits> teams;
    std::vector<Objective> objectives;
    double report_s = 3, lease_s = 20, gang_wait_s = 40, gang_peer_s = 8, cancel_s = 40;
    double state_rps = 100, state_write_rps = 40, value_kb = 16;
    int txn_ops = 16; // these three: the smaller of now and later, where the store's limits will be lowered
    double cloud_rps = 2, list_lag_s = 5;
    double cores = 1, memory_mb = 128;
    int fd_limit = 1024;
    OperatorSettings ops;
};

// Says which file and which field is wrong, in one line.
struct SettingsError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

Settings load_settings(const std::string& path);
OperatorSettings load_operator_settings(const std::string& path, double report_s);
std::string describe(const Settings& s);

// The same files as JSON texts, nothing checked but their syntax: for schemas. Throw SettingsError.
std::string settings_as_json(const std::string& path);
std::string operators_as_json(const std::string& path);

} // namespace heronshift
