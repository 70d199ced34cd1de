// Limits that the protocol sets to the length of messages and that no setting changes.
#pragma once

#include <cstddef>

namespace heronshift {

/// The longest body of a request, in bytes.
inline constexpr std::size_t max_request_body_bytes = 64UL * 1024;
/// The longest line in a response to a worker or a user, in bytes.
inline constexpr std::size_t max_response_line_bytes = 64UL * 1024;

} // namespace heronshift
