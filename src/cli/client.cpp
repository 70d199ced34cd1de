#include "cli/client.hpp"

#include "heronshift/codec.hpp"
#include "http.hpp"

#include <iostream>
#include <optional>
#include <unistd.h>

namespace heronshift::cli {
namespace {

// The protocol prescribes 60 s of attempts in total, at most 5 s of waiting for each answer, and a pause of 1 s between
// two attempts.
constexpr double total_timeout_s = 60, answer_timeout_s = 5, retry_pause_s = 1, poll_interval_s = 2;

class Client {
public:
    explicit Client(std::vector<std::string> nodes) : nodes_(std::move(nodes)), http_(&loop_.loop, 1, 4) {}

    // Sends the request to the nodes in turn until one gives a definite answer, that is, any status but 429, 503 and
    // 504. Returns nothing if none did within `total_timeout_s`.
    std::optional<HttpReply> request_until_answered(const char* method, const std::string& path,
                                                    const std::string& body) {
        const double end = now() + total_timeout_s;
        do {
            std::optional<HttpReply> got;
            http_.request(nodes_[next_++ % nodes_.size()], method, path, body, answer_timeout_s,
                          [&](HttpReply&& reply) { got = std::move(reply); });
            while (!got) {
                uv_run(&loop_.loop, UV_RUN_NOWAIT);
                http_.sweep();
                usleep(2000);
            }
            const int s = got->status;
            if (s != 0 && s != 429 && s != 503 && s != 504)
                return got;
            last_attempt_ = s == 0 ? "no answer" : std::to_string(s);
            pause(retry_pause_s);
        } while (now() < end);
        return {};
    }
    int print(const std::optional<HttpReply>& reply) const {
        if (!reply) {
            std::cerr << "heronshift: no definite answer within " << total_timeout_s
                      << " s; last attempt: " << last_attempt_ << "\n";
            return 3;
        }
        const bool is_success = reply->status == 200 || reply->status == 201;
        (is_success ? std::cout : std::cerr) << reply->body << "\n";
        return is_success ? 0 : 1;
    }
    void pause(double s) {
        const double end = now() + s;
        while (now() < end) {
            uv_run(&loop_.loop, UV_RUN_NOWAIT);
            usleep(10'000);
        }
    }

private:
    struct Loop {
        uv_loop_t loop{};
        Loop() {
            uv_loop_init(&loop);
        }
        ~Loop() {
            uv_run(&loop, UV_RUN_DEFAULT);
            uv_loop_close(&loop);
        }
        Loop(const Loop&) = delete;
        Loop& operator=(const Loop&) = delete;
    };
    static double now() {
        return static_cast<double>(uv_hrtime()) * 1e-9;
    }
    std::vector<std::string> nodes_;
    std::size_t next_ = 0;
    std::string last_attempt_;
    Loop loop_;
    HttpClient http_;
};

std::string path_of(const std::string& id) {
    return std::string(codec::path_jobs) + "/" + id;
}

} // namespace

int submit(const std::vector<std::string>& nodes, const std::string& job) {
    Client c(nodes);
    return c.print(c.request_until_answered("POST", std::string(codec::path_jobs), job));
}

int get(const std::vector<std::string>& nodes, const std::string& id) {
    Client c(nodes);
    return c.print(c.request_until_answered("GET", path_of(id), ""));
}

int cancel(const std::vector<std::string>& nodes, const std::string& id) {
    Client c(nodes);
    return c.print(c.request_until_answered("POST", path_of(id) + "/" + std::string(codec::suffix_cancel), "{}"));
}

int watch(const std::vector<std::string>& nodes, const std::string& id) {
    Client c(nodes);
    std::string last_printed;
    for (;; c.pause(poll_interval_s)) {
        const auto reply = c.request_until_answered("GET", path_of(id), "");
        const auto a = reply && reply->status == 200 ? codec::job_answer_of(reply->body) : std::nullopt;
        if (!a)
            return c.print(reply);
        if (reply->body != last_printed)
            std::cout << reply->body << std::endl; // Flushed, so that a pipe gets the line at once.
        last_printed = reply->body;
        if (a->status == codec::status_done)
            return 0;
        if (a->status == codec::status_cancelled)
            return 1;
    }
}

} // namespace heronshift::cli
