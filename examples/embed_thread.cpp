// Runs the scheduler on a thread of its own, with its state in a file.
//   embed_thread SETTINGS.toml STATE.db     submits one job and waits until it has ended
#include "heronshift/embed/scheduler.hpp"

#include <chrono>
#include <future>
#include <iostream>
#include <spdlog/spdlog.h>
#include <thread>

int main(int argc, char** argv) {
    if (argc != 3) {
        std::cerr << "usage: embed_thread SETTINGS.toml STATE.db\n";
        return 2;
    }
    spdlog::set_level(spdlog::level::err); // The program chooses the log level and destination.
    try {
        heronshift::SchedulerOptions options;
        options.settings = heronshift::load_settings(argv[1]);
        options.state_file = argv[2];
        heronshift::Scheduler scheduler(options);

        heronshift::JobSpec job;
        job.id = "wk-000777";
        job.job_class = "batch";
        job.team = options.settings.teams.at(0).name;
        job.tasks = 2;
        job.each = {1, 0, 1};
        job.image = "img-1";

        std::promise<std::string> ended;
        scheduler.subscribe([&, told = false](const heronshift::Change& c) mutable {
            if (c.id != job.id || told)
                return;
            told = true;
            ended.set_value(c.state);
        });
        for (;;) {
            std::promise<heronshift::Reply> answer;
            scheduler.submit(job, [&](const heronshift::Reply& r) { answer.set_value(r); });
            const auto r = answer.get_future().get();
            std::cout << "submitted: " << r.status << " " << r.state << r.error << "\n";
            if (r.ok())
                break;
            if (r.status != 429 && r.status != 503)
                return 1;
            std::this_thread::sleep_for(std::chrono::seconds(std::max(1, r.retry_after_s)));
        }
        std::cout << job.id << " is " << ended.get_future().get() << "\n";
        return 0;
    } catch (const std::exception& e) {
        std::cerr << "embed_thread: " << e.what() << "\n";
        return 2;
    }
}
