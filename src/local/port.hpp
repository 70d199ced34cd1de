/// @file
/// Reserves a TCP port on loopback for a process that is not started yet.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace heronshift::local {

/// A TCP port that the kernel gives to no other program while this object exists. The socket stays bound but never
/// listens, so a controller can bind the same port with SO_REUSEADDR. Without the reservation, two platforms that were
/// started at the same moment took each other's ports, and users were answered by the wrong cluster.
class Port {
public:
    Port() : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        sockaddr_in a{};
        a.sin_family = AF_INET;
        a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof a;
        const int on = 1;
        if (::bind(fd_, reinterpret_cast<const sockaddr*>(&a), size) == 0 &&
            ::getsockname(fd_, reinterpret_cast<sockaddr*>(&a), &size) == 0)
            number_ = ntohs(a.sin_port);
        ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    }
    ~Port() {
        if (fd_ >= 0)
            ::close(fd_);
    }
    Port(Port&& o) noexcept : fd_(std::exchange(o.fd_, -1)), number_(o.number_) {}
    Port(const Port&) = delete;
    Port& operator=(const Port&) = delete;
    Port& operator=(Port&&) = delete;
    [[nodiscard]] int number() const {
        return number_;
    }

private:
    int fd_, number_ = 0;
};

} // namespace heronshift::local
