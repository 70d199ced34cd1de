// Event loops on several threads of one process are independent of each other.
#include "http.hpp"

#include <atomic>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <thread>

namespace heronshift {
namespace {

// Guards against a read buffer that event loops on different threads share: with one, a store rejected a valid
// transaction as malformed, and it could also have executed the request of another scheduler.
TEST(Loops, OnDifferentThreadsDoNotShareReadBuffers) {
    constexpr int threads = 4, requests = 400;
    constexpr std::size_t length = 40'000;
    std::atomic<int> corrupted = 0, intact = 0;
    std::vector<std::thread> client_threads;
    client_threads.reserve(threads);
    for (int n = 0; n < threads; ++n)
        client_threads.emplace_back([&, n] {
            uv_loop_t loop;
            uv_loop_init(&loop);
            {
                const std::string payload(length, static_cast<char>('a' + n));
                HttpServer server(&loop, 8, 60, [](HttpRequest&& r, const Responder& res) { res.send(200, r.body); });
                ASSERT_EQ(server.listen({"127.0.0.1", 0}), 0);
                HttpClient client(&loop, 1, 8);
                int remaining = requests;
                std::function<void()> send_next = [&] {
                    client.request(fmt::format("127.0.0.1:{}", server.port()), "POST", "/", payload, 30,
                                   [&](HttpReply&& r) {
                                       ++(r.status == 200 && r.body == payload ? intact : corrupted);
                                       if (--remaining > 0)
                                           send_next();
                                   });
                };
                send_next();
                while (remaining > 0)
                    uv_run(&loop, UV_RUN_ONCE);
            }
            uv_run(&loop, UV_RUN_DEFAULT);
            uv_loop_close(&loop);
        });
    for (auto& t : client_threads)
        t.join();
    EXPECT_EQ(corrupted, 0);
    EXPECT_EQ(intact, threads * requests);
}

} // namespace
} // namespace heronshift
