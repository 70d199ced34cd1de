/// @file
/// The user subcommands of the command line. Each sends a request to the controllers and repeats it as the protocol
/// prescribes.
#pragma once

#include "heronshift/config.hpp"

#include <string>
#include <vector>

namespace heronshift::cli {

// These functions try the controllers in `nodes` (host:port) in turn, print the body of the answer as one line of JSON
// and return the exit code: 0 success, 1 the request was refused (400, 404, 422), 3 no definite answer in time.

int submit(const std::vector<std::string>& nodes, const std::string& job);
int get(const std::vector<std::string>& nodes, const std::string& id);
int cancel(const std::vector<std::string>& nodes, const std::string& id);
/// Polls until the job is done (exit code 0) or `withdrawn`, that is, cancelled (exit code 1), and prints a line at
/// each change.
int watch(const std::vector<std::string>& nodes, const std::string& id);

} // namespace heronshift::cli
