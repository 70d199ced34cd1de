// What HTTP server and client share: reading, writing and addresses on libuv.
#pragma once

#include <string>
#include <uv.h>

namespace heronshift::http {

/// The time of this moment, in seconds of the clock of steady_now(). steady_now() itself is the time at which the
/// loop's turn began, which a long turn leaves behind.
[[nodiscard]] double precise_now();

/// libuv's allocation callback. All connections of a thread share one buffer: libuv fills one at a time on a loop, and
/// a loop runs on one thread. The buffer is per thread since a program may run several loops.
void give_buffer(uv_handle_t* handle, std::size_t hint, uv_buf_t* buf);

/// Writes all of `data`, at once as far as the socket takes it and the rest when it can. Returns 0 or a libuv error.
int write_all(uv_tcp_t* tcp, std::string data);

/// Reads an IPv4 address. False: `host` is none.
[[nodiscard]] bool read_address(const std::string& host, int port, sockaddr_in& out);

} // namespace heronshift::http
