/// @file
/// A complete platform on loopback to try heronshift on, started with one command: emulators of the state service, the
/// cloud and the machines; three controllers, each a process; and simulated users who submit a small load of jobs of
/// all shapes and a pipeline. On request, random faults are injected. The rules of the protocol are checked throughout.
#pragma once

#include <string>

namespace heronshift::local {

/// Options of the subcommand `local`.
struct LocalOptions {
    double seconds = 20; ///< Period in which jobs are submitted. Jobs may end later.
    unsigned seed = 1;   ///< Of the random load and the random faults.
    bool faults = false; ///< Inject faults.
    int jobs = 24;       ///< Number of jobs, in addition to the pipeline.
    std::string folder;  ///< Folder for settings and logs; empty: a new one under the system's temporary folder.
    std::string program; ///< Executable of the controllers; empty: this one.
    bool stay = false;   ///< Keep running after the last job has ended, until interrupted.
    /// If not 0, only the emulators run, until interrupted, without controllers and load. Machines send heartbeats to
    /// this port, where a program that embeds the scheduler or a separate daemon listens.
    int serve_port = 0;
};

/// Runs the platform. Returns 0 if all accepted jobs ended and no rule was broken, 1 if not, and 2 if the platform
/// could not be started.
int run_local(const LocalOptions& options);

} // namespace heronshift::local
