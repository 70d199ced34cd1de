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
/// The most bytes that one order takes, with the longest job id, index and attempt and a drain time of full precision.
inline constexpr std::size_t max_order_bytes = 140;

} // namespace heronshift
