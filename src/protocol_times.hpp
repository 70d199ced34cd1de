// Times that the workers' protocol fixes and that no setting changes.
#pragma once

namespace heronshift {

/// How long a worker waits for the answer to a heartbeat, in seconds. It drops an answer that comes later.
inline constexpr double heartbeat_answer_timeout_s = 4;

} // namespace heronshift
