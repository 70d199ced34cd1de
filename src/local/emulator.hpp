/// @file
/// Runs an emulator as a program of its own, which a daemon, a script or curl can use: the state service, or the cloud
/// with its machines.
#pragma once

#include "heronshift/store/engine.hpp"
#include "local/cloud.hpp"

#include <string>

namespace heronshift::local {

/// The machine types that the emulated cloud offers by default.
std::vector<MachineType> default_machine_types();
/// Returns a substitute for the description of a job that cannot be read here. Its tasks need no resources and run for
/// about one second.
JobSpec substitute_job(const std::string& id);

/// Parses an address such as "127.0.0.1:7001". Throws SettingsError.
Endpoint parse_address(const std::string& text);

/// Each of these serves until SIGINT or SIGTERM and returns the exit code: 0, or 2 if it cannot listen.
int run_state(const Endpoint& listen, const store::Limits& limits);
int run_cloud(const Endpoint& listen, PlatformPlan plan);

} // namespace heronshift::local
