// Socket functions shared by the HTTP server and client: reading, writing and parsing of addresses with libuv.
#pragma once

#include <string>
#include <uv.h>

namespace heronshift::http {

/// The current time, in seconds, on the same clock as steady_now(). steady_now() returns the time at which the loop's
/// current iteration began, which is outdated during a long iteration.
[[nodiscard]] double precise_now();

/// The allocation callback for uv_read_start. All connections of a thread share one buffer, because a loop reads from
/// one connection at a time and passes the data on before it reads from the next. The buffer is thread-local because a
/// program may run several loops, each on its own thread.
void provide_read_buffer(uv_handle_t* handle, std::size_t hint, uv_buf_t* buf);

/// Writes all of `data`: as much as the socket accepts at once, and the remainder when the socket becomes writable.
/// Returns 0 or a libuv error.
int write_all(uv_tcp_t* tcp, std::string data);

/// Parses an IPv4 address. Returns false if `host` is not one.
[[nodiscard]] bool parse_ipv4_address(const std::string& host, int port, sockaddr_in& out);

} // namespace heronshift::http
