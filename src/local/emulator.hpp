// The emulators as programs of their own, for a daemon, a script or curl: the state service, and the
// cloud with its machines. They serve until interrupted.
#pragma once

#include "heronshift/store/engine.hpp"
#include "local/cloud.hpp"

#include <string>

namespace heronshift::local {

// What the emulators rent out, if nothing else is said.
std::vector<MachineType> usual_types();
// Of a job whose description cannot be read here: some task of no size that runs a second.
JobSpec any_job(const std::string& id);

// "127.0.0.1:7001". Throws SettingsError.
Endpoint address(const std::string& text);

// 0 once interrupted (SIGINT, SIGTERM), 2 if it cannot listen.
int run_state(const Endpoint& listen, const store::Limits& limits);
int run_cloud(const Endpoint& listen, PlatformPlan plan);

} // namespace heronshift::local
