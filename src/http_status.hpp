// The HTTP status codes that this program sends or handles separately.
#pragma once

namespace heronshift::http_status {

/// Not an HTTP status code: there was no answer. HttpReply::sent says whether the request may have reached the server.
inline constexpr int no_answer = 0;
inline constexpr int ok = 200;
inline constexpr int created = 201;
inline constexpr int bad_request = 400;
inline constexpr int not_found = 404;
inline constexpr int method_not_allowed = 405;
inline constexpr int conflict = 409;
inline constexpr int misdirected_request = 421;
inline constexpr int unprocessable_entity = 422;
inline constexpr int too_many_requests = 429;
inline constexpr int service_unavailable = 503;
inline constexpr int gateway_timeout = 504;

} // namespace heronshift::http_status
