// The controllers of a case, as processes of their own, and the users' requests to them.
#pragma once

#include "net.hpp"
#include "record.hpp"

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

struct ServiceSettings {
    std::vector<std::string> zones{"a"}; // a controller in each, in turn
    std::size_t controllers = 3;
    std::string teams, workers, limits, cloud; // in the form of the settings file
    Address cloud_at;
    // Under which address controller `from` reaches controller `to`; empty: under its own.
    std::function<Address(std::size_t from, std::size_t to, const Address& own)> peer_at;
    std::vector<Address> state_at; // for each controller
};

// The controllers. The destructor ends all processes.
class Service {
public:
    Service(std::string program, std::string folder, const ServiceSettings& settings, Record& record)
        : program_(std::move(program)), folder_(std::move(folder)), record_(record) {
        const auto n = settings.controllers;
        for (std::size_t i = 0; i < n; ++i) {
            users_.push_back({"127.0.0.1", free_port()});
            peers_.push_back({"127.0.0.1", free_port()});
        }
        pids_.assign(n, -1);
        for (std::size_t i = 0; i < n; ++i)
            write_settings(i, settings);
    }
    ~Service() {
        for (std::size_t i = 0; i < pids_.size(); ++i)
            kill(i);
    }
    Service(const Service&) = delete;
    Service& operator=(const Service&) = delete;

    [[nodiscard]] static std::string name(std::size_t i) {
        return "berth-" + std::to_string(i);
    }
    [[nodiscard]] const Address& users(std::size_t i) const {
        return users_[i];
    }
    [[nodiscard]] std::size_t size() const {
        return pids_.size();
    }
    // To be called on a thread that lives as long as the process: a controller ends with the thread that started it.
    void start(std::size_t i) {
        const auto settings = folder_ + "/" + name(i) + ".toml", log = folder_ + "/" + name(i) + ".log";
        const pid_t pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // no process outlives the case
            const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(fd, 2);
            execl(program_.c_str(), program_.c_str(), "--config", settings.c_str(), nullptr);
            _exit(127);
        }
        pids_[i] = pid;
        record_.line(name(i) + " starts");
    }
    void kill(std::size_t i) {
        if (pids_[i] <= 0)
            return;
        ::kill(pids_[i], SIGKILL);
        waitpid(pids_[i], nullptr, 0);
        pids_[i] = -1;
        record_.line(name(i) + " is killed");
    }
    void signal(std::size_t i, int number) {
        ::kill(pids_[i], number);
        record_.line(name(i) + (number == SIGSTOP ? " is stopped" : " goes on"));
    }
    // Whether a controller has ended by itself.
    [[nodiscard]] bool ended(std::size_t i) {
        if (pids_[i] <= 0 || waitpid(pids_[i], nullptr, WNOHANG) == 0)
            return false;
        pids_[i] = -1;
        return true;
    }
    // Waits until a controller can take requests.
    bool wait_until_up(std::size_t i, double timeout_s) {
        for (const double until = now() + timeout_s; now() < until; sleep_s(0.1))
            if (call(users_[i], "GET", "/up", "", 1).status == 200)
                return true;
        return false;
    }

private:
    void write_settings(std::size_t i, const ServiceSettings& settings) {
        std::ofstream out(folder_ + "/" + name(i) + ".toml");
        const auto zone = [&](std::size_t of) { return settings.zones[of % settings.zones.size()]; };
        out << "host_name = \"" << name(i) << "\"\nzone = \"" << zone(i) << "\"\nbind = \"" << users_[i].str()
            << "\"\nback = \"" << peers_[i].str() << "\"\n";
        for (std::size_t other = 0; other < users_.size(); ++other)
            if (other != i)
                out << "\n[[others]]\nhost_name = \"" << name(other) << "\"\nzone = \"" << zone(other)
                    << "\"\npeer_addr = \""
                    << (settings.peer_at ? settings.peer_at(i, other, peers_[other]) : peers_[other]).str() << "\"\n";
        out << "\n[external]\ncloud = \"" << settings.cloud_at.str() << "\"\nstate = \"" << settings.state_at[i].str()
            << "\"\n\n[facts]\ninitial_size = " << users_.size() << "\nzones = [";
        for (std::size_t z = 0; z < settings.zones.size(); ++z)
            out << (z > 0 ? ", " : "") << '"' << settings.zones[z] << '"';
        out << "]\ntime_bound_ms = 1000.0\n"
            << settings.teams << "\n[facts.workers]\n"
            << settings.workers << "\n[facts.state]\n"
            << settings.limits << "\n[facts.cloud]\n"
            << settings.cloud << "\n[facts.resources]\ncores = 0.48\nmem_mb = 104.0\nfd_limit = 2000\n";
    }
    std::string program_, folder_;
    Record& record_;
    std::vector<Address> users_, peers_;
    std::vector<pid_t> pids_;
};

} // namespace review
