// Drives the core directly, without any I/O: passes it one job and one machine type, and prints which machines it asks
// to rent. A real program would execute all effects and pass their results back to the core as commands.
#include "core/core.hpp"

#include <iostream>

int main() {
    heronshift::Settings settings;
    settings.zones = {"a"};
    settings.teams = {{"us", 0, 0, 0, 0}};
    heronshift::Core core(settings, /*term=*/1, /*stored=*/{}, /*now=*/0, /*wall=*/0);

    heronshift::JobSpec job;
    job.id = "wk-000001";
    job.team = "us";
    job.tasks = 3;
    job.each = {2, 0, 4};
    job.image = "img";

    std::vector<heronshift::Command> queue;
    queue.emplace_back(heronshift::MachineTypesKnown{{{"m8", {8, 0, 32}, 50, 1, 2, 1, 5, {"a"}}}});
    queue.emplace_back(heronshift::JobStored{job, 0});
    for (const auto& effect : core.step(queue, 0, 0))
        if (const auto* rent = std::get_if<heronshift::Rent>(&effect))
            std::cout << "rent " << rent->count << " of " << rent->type << " in " << rent->zone << "\n";
    std::cout << job.id << " is " << core.view(job.id)->status << "\n";
}
