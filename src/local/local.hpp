// A platform to try heronshift on, in one command: emulators of state service, cloud and machines on
// loopback, three controllers as processes of their own, users with a small load of all shapes and a
// pipeline, and if asked for faults from a seed. Every rule is checked as things happen.
#pragma once

#include <string>

namespace heronshift::local {

struct LocalOptions {
    double seconds = 20; // in which jobs are submitted; they may take longer
    unsigned seed = 1;
    bool faults = false;
    int jobs = 24;
    std::string folder;  // of settings and logs; empty: one under the system's temporary folder
    std::string program; // the controllers'; empty: this one
    bool stay = false;   // go on serving after the load, until interrupted
    // Only the emulators, for a program that embeds the scheduler or a daemon of your own, whose port for
    // workers this is: no controllers, no load, until interrupted.
    int serve_port = 0;
};

// 0: all that was accepted came to its end and no rule was broken; 1: not so; 2: it could not start.
int run_local(const LocalOptions& options);

} // namespace heronshift::local
