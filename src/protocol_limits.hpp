// Limits that the protocol sets to the length of messages and that no setting changes.
#pragma once

#include <cstddef>

namespace heronshift {

/// The longest body of a request, in bytes.
inline constexpr std::size_t max_request_body_bytes = 64UL * 1024;
/// Bytes of a heartbeat for all fields but the list of tasks: the machine's names and address, its notice and counters.
inline constexpr std::size_t heartbeat_head_bytes = 1024;
/// The longest list of tasks in a heartbeat, in bytes.
inline constexpr std::size_t max_task_list_bytes = max_request_body_bytes - heartbeat_head_bytes;
/// The longest line in a response to a worker or a user, in bytes.
inline constexpr std::size_t max_response_line_bytes = 64UL * 1024;

} // namespace heronshift
