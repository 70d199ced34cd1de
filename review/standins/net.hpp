// HTTP/1.1 over TCP for the stand-ins: a server with a thread for each connection, a client, and small helpers.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Json = nlohmann::json;

inline double now() {
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline void sleep_s(double seconds) {
    if (seconds > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline double random_between(double low, double high) {
    static std::mutex mutex;
    const std::lock_guard lock(mutex);
    return low + (high - low) * static_cast<double>(std::rand()) / RAND_MAX;
}

// A loopback address. Each process of a case has an address of its own, as machines have.
struct Address {
    std::string host = "127.0.0.1";
    int port = 0;
    [[nodiscard]] std::string str() const {
        return host + ":" + std::to_string(port);
    }
    static Address of(const std::string& text) {
        const auto colon = text.rfind(':');
        return {text.substr(0, colon), std::atoi(text.c_str() + colon + 1)};
    }
};

inline sockaddr_in to_sockaddr(const Address& at) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(at.port));
    inet_pton(AF_INET, at.host.c_str(), &out.sin_addr);
    return out;
}

// Listens on a free port. Returns the socket and sets the port.
inline int listen_on(Address& at) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = to_sockaddr(at);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(fd, 512) != 0) {
        close(fd);
        return -1;
    }
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    at.port = ntohs(address.sin_port);
    return fd;
}

// A port that is free now, for a process that is started later. It lies below those that connections are given.
inline int free_port() {
    static int next = 20000 + getpid() % 1000 * 10;
    while (true) {
        Address at;
        at.port = next++;
        if (next >= 32000)
            next = 20000;
        if (const int fd = listen_on(at); fd >= 0) {
            close(fd);
            return at.port;
        }
    }
}

inline int connect_to(const Address& to, double timeout_s) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto address = to_sockaddr(to);
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0)
        return fd;
    pollfd waiting{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (poll(&waiting, 1, static_cast<int>(timeout_s * 1000)) == 1 &&
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0)
        return fd;
    close(fd);
    return -1;
}

// Sends all of the text. Returns false if the connection fails.
inline bool send_all(int fd, const std::string& text) {
    for (std::size_t sent = 0; sent < text.size();) {
        const auto n = send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n > 0) {
            sent += static_cast<std::size_t>(n);
            continue;
        }
        pollfd waiting{fd, POLLOUT, 0};
        if (n == 0 || (errno != EAGAIN && errno != EINTR) || poll(&waiting, 1, 5000) <= 0)
            return false;
    }
    return true;
}

struct Message {
    std::string first_line, body;
    bool close = false;
};

// Reads HTTP messages with a Content-Length from a connection.
class Reader {
public:
    explicit Reader(int fd) : fd_(fd) {}
    std::optional<Message> read(double until) {
        while (true) {
            if (auto message = parse())
                return message;
            pollfd waiting{fd_, POLLIN, 0};
            const double left = until - now();
            if (left <= 0 || poll(&waiting, 1, static_cast<int>(left * 1000) + 1) <= 0)
                return {};
            char buffer[65536];
            const auto n = recv(fd_, buffer, sizeof buffer, 0);
            if (n < 0 && (errno == EAGAIN || errno == EINTR))
                continue;
            if (n <= 0)
                return {};
            text_.append(buffer, static_cast<std::size_t>(n));
        }
    }

private:
    std::optional<Message> parse() {
        const auto end = text_.find("\r\n\r\n");
        if (end == std::string::npos)
            return {};
        std::string head = text_.substr(0, end + 2);
        std::size_t length = 0;
        Message message;
        message.first_line = head.substr(0, head.find("\r\n"));
        for (auto& c : head)
            c = static_cast<char>(std::tolower(c));
        if (const auto at = head.find("\r\ncontent-length:"); at != std::string::npos)
            length = std::strtoul(head.c_str() + at + 17, nullptr, 10);
        message.close = head.find("\r\nconnection: close") != std::string::npos;
        if (text_.size() < end + 4 + length)
            return {};
        message.body = text_.substr(end + 4, length);
        text_.erase(0, end + 4 + length);
        return message;
    }
    int fd_;
    std::string text_;
};

struct Request {
    std::string method, path, query, body;
    [[nodiscard]] Json json() const {
        return Json::parse(body, nullptr, false);
    }
    [[nodiscard]] std::string parameter(const std::string& name) const {
        const auto all = "&" + query + "&";
        const auto at = all.find("&" + name + "=");
        if (at == std::string::npos)
            return {};
        const auto from = at + name.size() + 2;
        return all.substr(from, all.find('&', from) - from);
    }
};

struct Reply {
    int status = 0; // 0: no answer
    std::string body;
    [[nodiscard]] Json json() const {
        return Json::parse(body, nullptr, false);
    }
};

// Serves requests, each connection on a thread of its own. A handler that returns the status 0 leaves the request
// without an answer, and the connection stays open until the client closes it.
class Server {
public:
    using Handler = std::function<Reply(const Request&)>;
    explicit Server(Handler handler, std::string host = "127.0.0.1") : handler_(std::move(handler)) {
        at_.host = std::move(host);
        fd_ = listen_on(at_);
        if (fd_ < 0)
            std::exit(2);
        std::thread([this] { accept_all(); }).detach();
    }
    [[nodiscard]] const Address& at() const {
        return at_;
    }

private:
    void accept_all() {
        while (true) {
            const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd >= 0)
                std::thread([this, fd] { serve(fd); }).detach();
            else
                sleep_s(0.01);
        }
    }
    void serve(int fd) {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        Reader reader(fd);
        while (const auto message = reader.read(now() + 600)) {
            Request request;
            const auto& line = message->first_line;
            const auto first = line.find(' '), second = line.rfind(' ');
            request.method = line.substr(0, first);
            request.path = line.substr(first + 1, second - first - 1);
            if (const auto mark = request.path.find('?'); mark != std::string::npos) {
                request.query = request.path.substr(mark + 1);
                request.path.resize(mark);
            }
            request.body = message->body;
            const auto reply = handler_(request);
            if (reply.status == 0)
                continue;
            if (!send_all(fd, "HTTP/1.1 " + std::to_string(reply.status) + " Status\r\nContent-Length: " +
                                  std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body) ||
                message->close)
                break;
        }
        close(fd);
    }
    Handler handler_;
    Address at_;
    int fd_ = -1;
};

// A request on a connection of its own.
inline Reply call(const Address& to, const std::string& method, const std::string& path, const std::string& body,
                  double timeout_s) {
    const double until = now() + timeout_s;
    const int fd = connect_to(to, timeout_s);
    if (fd < 0)
        return {};
    Reply reply;
    if (send_all(fd, method + " " + path + " HTTP/1.1\r\nHost: " + to.str() + "\r\nConnection: close\r\n" +
                         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body)) {
        Reader reader(fd);
        if (const auto message = reader.read(until))
            reply = {std::atoi(message->first_line.c_str() + message->first_line.find(' ')), message->body};
    }
    close(fd);
    return reply;
}

} // namespace review
