// A gang loses a machine, and the machine that replaces it needs longer to fetch the image than the other one waits.
#include "../standins/deployment.hpp"

using namespace review;

namespace {

constexpr double max_wait_s = 90;     // for which a job may be left waiting once the troubles are over
constexpr double gang_begins_s = 25;  // by then the gang has to run for the first time, or the case could not run
constexpr double poll_interval_s = 3; // of the user

Job gang() {
    Job job;
    job.id = "wk-000001";
    job.owner = "echipa-plan";
    job.shape = "gang";
    job.rank = "high";
    job.together = true;
    job.shards = 2;
    job.cpus = 43;
    job.gpus = 4;
    job.memory_gb = 310;
    job.image_gb = 5;
    job.run_s = 20;
    return job;
}

// The machines that are up, do not run the gang, and have room for one of its tasks.
std::size_t free_machines(Deployment& deployment, const std::string& job) {
    std::size_t count = 0;
    const auto machines = deployment.platform.machines();
    const std::lock_guard lock(deployment.platform.machines_mutex);
    for (const auto& machine : machines)
        count += !machine->gone && now() >= machine->up_at && !machine->has_any_task_of(job);
    return count;
}

} // namespace

int main(int argc, char** argv) {
    const auto options = options_of(argc, argv);
    PlatformSettings platform;
    platform.type = "server-grafic";
    platform.cpus = 48;
    platform.gpus = 4;
    platform.memory_gb = 384;
    platform.fetch_gb_per_s = 0.3;
    platform.boot_s = 1;
    platform.gang_wait_s = 10;
    platform.capacity = {{"a", 6}};
    Deployment deployment(options, platform, team("echipa-plan", 0, 0, 8, 16));
    const auto job = gang();
    if (!deployment.start() || !deployment.submit(job))
        deployment.finish(false);
    auto& record = deployment.record;
    while (deployment.platform.gang_runs_of(job.id) == 0)
        if (sleep_s(0.05); now() > gang_begins_s)
            deployment.finish(false);
    sleep_s(0.5);
    if (options.trouble)
        deployment.platform.stop_one_of(job.id);
    const double trouble_at = now();
    bool done = false;
    while (now() < trouble_at + max_wait_s && !done && deployment.platform.gang_runs_of(job.id) < 2) {
        sleep_s(poll_interval_s);
        done = deployment.status(job.id) == "done";
        record.line("machines up and free: " + std::to_string(free_machines(deployment, job.id)));
    }
    if (!options.trouble && !done)
        record.broken("the gang is not done although nothing disturbed it");
    if (options.trouble && deployment.platform.gang_runs_of(job.id) < 2)
        record.broken(
            "accepted job " + job.id + " has been left waiting for " + std::to_string(now() - trouble_at) +
            " s since the machine stopped; machines up and free: " + std::to_string(free_machines(deployment, job.id)));
    deployment.finish();
}
