// The daemon: reads its settings and runs one controller until it is killed.
#include "heronshift/cli/client.hpp"
#include "heronshift/cli/schema.hpp"
#include "heronshift/config.hpp"
#include "heronshift/local/emulator.hpp"
#include "heronshift/local/local.hpp"
#include "heronshift/node/node.hpp"
#include "heronshift/replay/command_log.hpp"
#include "heronshift/store/file_data.hpp"
#include "heronshift/store/local.hpp"
#include "heronshift/version.hpp"

#include <CLI/CLI.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace {

namespace store = heronshift::store;

// One JSON object a line: time (RFC 3339, UTC), level, node if it is known by then, message.
class JsonLines final : public spdlog::formatter {
public:
    explicit JsonLines(std::string node) : node_(std::move(node)) {}
    void format(const spdlog::details::log_msg& m, spdlog::memory_buf_t& out) override {
        const auto since = m.time.time_since_epoch();
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
        const auto level = spdlog::level::to_string_view(m.level);
        nlohmann::ordered_json json{{"time", fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                                                         fmt::gmtime(static_cast<std::time_t>(ms / 1000)), ms % 1000)},
                                    {"level", std::string(level.data(), level.size())}};
        if (!node_.empty())
            json["node"] = node_;
        json["message"] = std::string(m.payload.data(), m.payload.size());
        const auto text = json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
        out.append(text.data(), text.data() + text.size());
    }
    [[nodiscard]] std::unique_ptr<spdlog::formatter> clone() const override {
        return std::make_unique<JsonLines>(node_);
    }

private:
    std::string node_;
};

void set_up_log(bool json, const std::string& node) {
    auto log = spdlog::stderr_logger_st("heronshift");
    if (json)
        log->set_formatter(std::make_unique<JsonLines>(node));
    else
        log->set_pattern("%L %v");
    const char* level = std::getenv("LOG_LEVEL");
    const std::string name = level != nullptr ? level : "info";
    log->set_level(name == "debug" ? spdlog::level::debug : name == "error" ? spdlog::level::err : spdlog::level::info);
    spdlog::set_default_logger(std::move(log));
}

heronshift::Settings read(const std::string& config, const std::string& operators) {
    auto settings = heronshift::load_settings(config);
    if (!operators.empty())
        settings.ops = heronshift::load_operator_settings(operators, settings.report_s);
    return settings;
}

void hold_against(const std::string& file, const char* schema, std::string (*as_json)(const std::string&)) {
    if (const auto why = heronshift::cli::violation(schema, as_json(file)); !why.empty())
        throw heronshift::SettingsError(file + ": " + why);
}

int run(heronshift::Settings settings, std::unique_ptr<heronshift::replay::CommandLog> log,
        const std::string& state_file) {
    std::signal(SIGPIPE, SIG_IGN);
    auto* loop = uv_default_loop();
    heronshift::Node::Parts parts;
    if (!state_file.empty())
        parts.state = store::file_store(loop, state_file, settings.txn_ops, settings.value_kb);
    heronshift::Node node(loop, std::move(settings), std::move(parts));
    if (log)
        node.record(std::move(log));
    if (const int e = node.start(); e != 0) {
        spdlog::error("cannot listen: {}", uv_strerror(e));
        return 1;
    }
    uv_signal_t term;
    uv_signal_init(loop, &term);
    term.data = &node;
    uv_signal_start(
        &term,
        [](uv_signal_t* sig, int) {
            spdlog::info("asked to end");
            static_cast<heronshift::Node*>(sig->data)->stop();
            // What is told to the store on the way out gets a moment.
            static uv_timer_t bye;
            uv_timer_init(sig->loop, &bye);
            uv_timer_start(
                &bye, [](uv_timer_t* t) { uv_stop(t->loop); }, 200, 0);
        },
        SIGTERM);
    uv_run(loop, UV_RUN_DEFAULT);
    return 0;
}

// 0: this build decides the same; 1: it does not, and where; 2: the log cannot be read.
int replay(const std::string& file, bool allow_cut) {
    try {
        const auto r = heronshift::replay::replay(file, allow_cut);
        if (r.first) {
            std::cout << fmt::format("{}:{}: term {}, at {:.3f} s: {}\n  here: {}\n", file, r.first->line,
                                     r.first->term, r.first->now, r.first->what, r.first->got);
            return 1;
        }
        std::cout << fmt::format("the same: {} terms, {} batches, {} commands, {} effects{}\n", r.terms, r.batches,
                                 r.commands, r.effects, r.cut ? "; the log is cut off after these" : "");
        return 0;
    } catch (const heronshift::replay::LogError& error) {
        std::cerr << "heronshift: " << error.what() << "\n";
        return 2;
    }
}

} // namespace

// NOLINTNEXTLINE(bugprone-exception-escape): what is thrown here ends the program with its text
int main(int argc, char** argv) {
    CLI::App app{"heronshift, a cluster scheduler"};
    std::string config, operators;
    app.set_version_flag("--version", std::string("heronshift ") + heronshift::version);
    app.add_option("--config", config, "the platform's settings (TOML)");
    app.add_option("--operators", operators, "the operators' own settings (S-expressions), optional");
    auto* check = app.add_subcommand("check", "validate the settings and print what is in force");
    check->fallthrough();
    std::string log_format = "text";
    app.add_option("--log-format", log_format, "of stderr: text, or json with one object a line")
        ->check(CLI::IsMember({"text", "json"}))
        ->capture_default_str();
    auto* serve = app.add_subcommand("serve", "run one controller until it is asked to end; so does no verb at all");
    serve->fallthrough();
    std::string command_log, replay_file, state_file, backup_from, backup_to;
    double command_log_mb = static_cast<double>(heronshift::replay::usual_size) / 1e6;
    bool allow_cut = false;
    app.add_option("--command-log", command_log,
                   "record what goes into the core and a digest of what comes out; .zst: compressed; -: stderr");
    app.add_option("--command-log-mb", command_log_mb, "the record's bound, before compression")
        ->check(CLI::Range(1.0, 1e6))
        ->capture_default_str();
    heronshift::local::LocalOptions local;
    auto* local_verb = app.add_subcommand("local", "a platform on loopback to try it on: one command, no settings");
    local_verb->add_option("--seconds", local.seconds, "in which jobs are submitted")
        ->check(CLI::Range(5.0, 3600.0))
        ->capture_default_str();
    local_verb->add_option("--jobs", local.jobs, "how many, besides a pipeline of three")
        ->check(CLI::Range(1, 2000))
        ->capture_default_str();
    local_verb->add_option("--seed", local.seed, "of load and troubles")->capture_default_str();
    local_verb->add_flag("--faults", local.faults, "kill, cut, hang and silence things now and then");
    local_verb->add_option("--folder", local.folder, "for settings and logs");
    local_verb
        ->add_option("--serve-port", local.serve_port,
                     "stand-ins only: machines report to the scheduler of another program at this port")
        ->check(CLI::Range(1, 65535));
    local_verb->add_flag("--stay", local.stay, "go on serving after the load, until interrupted");
    auto* emulator = app.add_subcommand("stand-in", "one part of that platform, until interrupted");
    emulator->require_subcommand(1);
    std::string emulator_at;
    store::Limits limits{200, 100, 24, 16};
    heronshift::local::PlatformPlan cloud;
    std::vector<std::string> workers_to;
    auto* state_service = emulator->add_subcommand("state", "the state service, in memory");
    auto* cloud_service = emulator->add_subcommand("cloud", "the cloud, with machines that pretend to run tasks");
    for (auto* v : {state_service, cloud_service})
        v->add_option("--listen", emulator_at, "ADDRESS:PORT; port 0: one that is free")->required();
    state_service->add_option("--rps", limits.rps, "requests a second; 0: no limit")
        ->check(CLI::NonNegativeNumber)
        ->capture_default_str();
    state_service->add_option("--write-rps", limits.write_rps, "changes a second; 0: no limit")
        ->check(CLI::NonNegativeNumber)
        ->capture_default_str();
    state_service->add_option("--txn-ops", limits.txn_ops, "changes in a transaction")
        ->check(CLI::Range(1, 1000))
        ->capture_default_str();
    state_service->add_option("--value-kb", limits.value_kb, "of a value")
        ->check(CLI::Range(1.0, 64.0))
        ->capture_default_str();
    cloud_service->add_option("--node", workers_to, "a controller that machines report to, NAME=ADDRESS:PORT")
        ->required();
    cloud_service->add_option("--capacity", cloud.capacity, "machines of a type, zone and kind")
        ->check(CLI::Range(0, 1000))
        ->capture_default_str();
    cloud_service->add_option("--report-s", cloud.workers.report_s)
        ->check(CLI::Range(0.1, 60.0))
        ->capture_default_str();
    cloud_service->add_option("--lease-s", cloud.workers.lease_s)->check(CLI::Range(0.2, 600.0))->capture_default_str();
    cloud_service->add_option("--seed", cloud.seed)->capture_default_str();
    std::vector<std::string> nodes;
    std::string job_file, job_id, schema_name;
    const auto user_verb = [&](const char* name, const char* what) {
        auto* v = app.add_subcommand(name, what);
        v->add_option("--node", nodes, "address of a controller, host:port; several are tried in turn")
            ->required()
            ->envname("HERONSHIFT_NODE");
        return v;
    };
    auto* submit_verb = user_verb("submit", "submit a job; an id that is known gets its state");
    submit_verb->add_option("FILE", job_file, "the job as JSON, - for standard input")->required();
    auto* get_verb = user_verb("get", "the state of a job");
    auto* cancel_verb = user_verb("cancel", "cancel a job and all that wait for it");
    auto* watch_verb = user_verb("watch", "a line at each change, until the job is over");
    for (auto* v : {get_verb, cancel_verb, watch_verb})
        v->add_option("ID", job_id, "such as wk-000412")->required();
    auto* schema_verb = app.add_subcommand("schema", "print a JSON Schema");
    schema_verb->add_option("NAME", schema_name, "submission, settings or operators")
        ->required()
        ->check(CLI::IsMember({"submission", "settings", "operators"}));
    app.add_option("--state-file", state_file, "keep state in this file (SQLite) instead of the state service");
    auto* backup_verb = app.add_subcommand("backup", "copy a state file, also while it is in use");
    backup_verb->add_option("FILE", backup_from, "the state file")->required();
    backup_verb->add_option("TO", backup_to, "the copy, which must not exist")->required();
    auto* replay_verb = app.add_subcommand("replay", "run a command log again and name the first difference");
    replay_verb->add_option("FILE", replay_file, "a command log")->required();
    replay_verb->add_flag("--allow-cut", allow_cut, "accept a log whose writer was killed");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        if (error.get_exit_code() == 0)
            return app.exit(error); // help and version
        std::cerr << "heronshift: " << error.what() << "\n";
        return 2;
    }
    if (schema_verb->parsed()) {
        namespace cli = heronshift::cli;
        std::cout << (schema_name == "submission" ? cli::submission_schema
                      : schema_name == "settings" ? cli::settings_schema
                                                  : cli::operators_schema);
        return 0;
    }
    if (submit_verb->parsed()) {
        std::string job;
        std::ifstream file;
        if (job_file != "-")
            file.open(job_file, std::ios::binary);
        std::istream& in = job_file == "-" ? std::cin : file;
        job.assign(std::istreambuf_iterator<char>(in), {});
        if (!in && !in.eof()) {
            std::cerr << "heronshift: " << job_file << ": cannot be read\n";
            return 2;
        }
        if (const auto why = heronshift::cli::violation(heronshift::cli::submission_schema, job); !why.empty()) {
            std::cerr << "heronshift: " << job_file << ": " << why << "\n";
            return 2;
        }
        return heronshift::cli::submit(nodes, job);
    }
    for (const auto& [verb, run_verb] :
         {std::pair{get_verb, &heronshift::cli::get}, std::pair{cancel_verb, &heronshift::cli::cancel},
          std::pair{watch_verb, &heronshift::cli::watch}}) {
        if (!verb->parsed())
            continue;
        if (!heronshift::codec::valid_job_id(job_id)) {
            std::cerr << "heronshift: ID: must have the form wk-000412\n";
            return 2;
        }
        return run_verb(nodes, job_id);
    }
    if (emulator->parsed()) {
        namespace local_ns = heronshift::local;
        try {
            const auto at = local_ns::address(emulator_at);
            if (state_service->parsed())
                return local_ns::run_state(at, limits);
            for (const auto& n : workers_to) {
                const auto eq = n.find('=');
                if (eq == std::string::npos || eq == 0)
                    throw heronshift::SettingsError("--node: " + n + ": must be NAME=ADDRESS:PORT");
                cloud.workers.nodes.emplace_back(n.substr(0, eq), local_ns::address(n.substr(eq + 1)).str());
            }
            return local_ns::run_cloud(at, std::move(cloud));
        } catch (const heronshift::SettingsError& error) {
            std::cerr << "heronshift: " << error.what() << "\n";
            return 2;
        }
    }
    if (local_verb->parsed())
        return heronshift::local::run_local(local);
    if (backup_verb->parsed()) {
        try {
            store::back_up(backup_from, backup_to);
            return 0;
        } catch (const store::StoreError& error) {
            std::cerr << "heronshift: " << error.what() << "\n";
            return 2;
        }
    }
    if (replay_verb->parsed())
        return replay(replay_file, allow_cut);
    if (config.empty()) {
        std::cerr << "heronshift: --config is required\n";
        return 2;
    }
    try {
        if (check->parsed()) {
            hold_against(config, heronshift::cli::settings_schema, heronshift::settings_as_json);
            if (!operators.empty())
                hold_against(operators, heronshift::cli::operators_schema, heronshift::operators_as_json);
        }
        auto s = read(config, operators);
        set_up_log(log_format == "json", s.name);
        if (check->parsed()) {
            std::cout << heronshift::describe(s);
            return 0;
        }
        std::unique_ptr<heronshift::replay::CommandLog> log;
        if (!command_log.empty())
            log = std::make_unique<heronshift::replay::CommandLog>(command_log,
                                                                   static_cast<std::uint64_t>(command_log_mb * 1e6));
        return run(std::move(s), std::move(log), state_file);
    } catch (const store::StoreError& error) {
        std::cerr << "heronshift: --state-file: " << error.what() << "\n";
        return 2;
    } catch (const heronshift::replay::LogError& error) {
        std::cerr << "heronshift: --command-log: " << error.what() << "\n";
        return 2;
    } catch (const heronshift::SettingsError& error) {
        std::cerr << "heronshift: " << error.what() << "\n";
        return 2;
    }
}
