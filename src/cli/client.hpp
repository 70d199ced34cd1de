// What a user does from the command line: one request, repeated as the protocol says.
#pragma once

#include "heronshift/config.hpp"

#include <string>
#include <vector>

namespace heronshift::cli {

// Exit statuses: 0 done; 1 the answer is no (400, 404, 422), which is printed; 3 no answer in time.
// Several nodes are tried in turn. What is printed is the answer's JSON, one line.
int submit(const std::vector<std::string>& nodes, const std::string& job);
int get(const std::vector<std::string>& nodes, const std::string& id);
int cancel(const std::vector<std::string>& nodes, const std::string& id);
// Polls until the job is done (0) or withdrawn (1), a line at each change.
int watch(const std::vector<std::string>& nodes, const std::string& id);

} // namespace heronshift::cli
