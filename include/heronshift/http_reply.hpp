// The answer to a request over HTTP.
#pragma once

#include <string>

namespace heronshift {

struct HttpReply {
    int status = 0; // 0: no answer
    std::string body;
    bool sent = false; // false: the request surely never left this node
};

} // namespace heronshift
