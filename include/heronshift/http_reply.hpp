// The response to an HTTP request.
#pragma once

#include <string>

namespace heronshift {

struct HttpReply {
    int status = 0; // the HTTP status code; 0: there was no valid response
    std::string body;
    bool sent = false; // false: no part of the request has left this node
};

} // namespace heronshift
