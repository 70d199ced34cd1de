// A small deployment: three controllers as processes of their own, the stand-ins that they need, and their users.
#pragma once

#include "platform.hpp"
#include "service.hpp"
#include "store.hpp"

namespace review {

// What a script hands to its case: the program of the deploy file, a temporary folder, the file for the record, and
// whether the disruption takes place.
struct Options {
    std::string program, folder, record;
    bool trouble = true;
};

inline Options options_of(int argc, char** argv) {
    if (argc != 4)
        std::_Exit(2);
    std::signal(SIGPIPE, SIG_IGN);
    const char* trouble = std::getenv("TROUBLE");
    return {argv[1], argv[2], argv[3], trouble == nullptr || std::string(trouble) != "0"};
}

// Under which address a controller reaches another one, if not under its own: for proxies between controllers.
inline std::function<Address(std::size_t from, std::size_t to, const Address& own)> peer_hook;

class Deployment {
public:
    Deployment(const Options& options, const PlatformSettings& platform_settings, const std::string& teams,
               const Store::Limits& limits = {})
        : record(options.record), store(3, limits), platform(platform_settings, record),
          service(options.program, options.folder, settings(platform_settings, teams, limits), record) {
        for (std::size_t i = 0; i < service.size(); ++i)
            platform.settings.controllers.emplace_back(Service::name(i), service.users(i));
    }
    // Starts the controllers. Returns false if one of them does not come up.
    bool start() {
        for (std::size_t i = 0; i < service.size(); ++i)
            service.start(i);
        for (std::size_t i = 0; i < service.size(); ++i)
            if (!service.wait_until_up(i, 10))
                return false;
        return true;
    }
    // Submits a job as a user does, with retries. Returns the status of the last answer.
    int submit(const Job& job, const Json& submission) {
        platform.upload(job);
        const double until = now() + 60;
        while (true) {
            const auto reply = call(service.users(next_node()), "POST", "/v2/runs", submission.dump(), 5);
            record.line("submit " + submission.dump() + ": " + std::to_string(reply.status) + " " + reply.body);
            if (reply.status == 200 || reply.status == 201 || reply.status == 400 || reply.status == 422 ||
                now() > until)
                return reply.status;
            sleep_s(1);
        }
    }
    bool submit(const Job& job) {
        const int status = submit(job, job.submission());
        return status == 200 || status == 201;
    }
    // Asks for a job's state. Empty: no answer or a refusal.
    std::string status(const std::string& job) {
        const auto reply = call(service.users(next_node()), "GET", "/v2/runs/" + job, "", 2);
        record.line("ask for " + job + ": " + std::to_string(reply.status) + " " + reply.body);
        return reply.status == 200 ? reply.json().value("status", "") : "";
    }
    // The end of a case: the exit status of its script.
    [[noreturn]] void finish(bool could_run = true) {
        for (std::size_t i = 0; i < service.size(); ++i)
            if (service.ended(i))
                record.broken("controller " + Service::name(i) + " has ended by itself");
        for (std::size_t i = 0; i < service.size(); ++i)
            service.kill(i);
        record.line(!could_run ? "the case could not run" : record.count() > 0 ? "a rule was broken" : "the rule held");
        std::_Exit(!could_run ? 2 : record.count() > 0 ? 1 : 0);
    }

    Record record;
    Store store;
    Platform platform;
    Service service;

private:
    // Users come to the controllers in turn, as through the load balancer.
    std::size_t next_node() {
        return node_++ % service.size();
    }
    ServiceSettings settings(const PlatformSettings& platform_settings, const std::string& teams,
                             const Store::Limits& limits) {
        ServiceSettings settings;
        settings.zones = platform_settings.zones;
        settings.teams = teams;
        const auto number = [](double value) { return std::to_string(value) + "\n"; };
        settings.workers = "report_s = " + number(platform_settings.report_s) +
                           "lease_s = " + number(platform_settings.lease_s) +
                           "gang_wait_s = " + number(platform_settings.gang_wait_s) +
                           "gang_peer_s = " + number(platform_settings.gang_peer_s) +
                           "cancel_s = " + number(platform_settings.cancel_s);
        settings.limits = "rps = " + number(limits.rps) + "write_rps = " + number(limits.write_rps) +
                          "value_kb = 16.0\ntxn_ops = 24\n";
        settings.cloud = "rps = 8.0\nlist_lag_s = " + number(platform_settings.list_lag_s);
        settings.cloud_at = platform.at();
        settings.peer_at = peer_hook;
        for (std::size_t i = 0; i < settings.controllers; ++i)
            settings.state_at.push_back(store.at(i));
        return settings;
    }
    std::atomic<std::size_t> node_{0};
};

inline std::string team(const std::string& name, double cpus, double cpus_max, double gpus, double gpus_max) {
    const auto field = [](const char* key, double value) {
        return std::string(key) + " = " + std::to_string(value) + "\n";
    };
    return "\n[[facts.teams]]\nname = \"" + name + "\"\n" + field("cpus", cpus) + field("cpus_max", cpus_max) +
           field("gpus", gpus) + field("gpus_max", gpus_max);
}

} // namespace review
