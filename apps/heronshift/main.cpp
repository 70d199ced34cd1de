// The heronshift program: the daemon, which runs one controller until it receives SIGTERM, and the subcommands for
// users and operators. Each subcommand has a struct for its options, a function that declares them, and a function that
// runs it and returns the exit code: 0 success, 1 failure, 2 invalid arguments or settings. For the exit codes of the
// user subcommands see cli/client.hpp.
#include "cli/client.hpp"
#include "cli/schema.hpp"
#include "heronshift/codec.hpp"
#include "heronshift/config.hpp"
#include "heronshift/version.hpp"
#include "local/emulator.hpp"
#include "local/local.hpp"
#include "node/node.hpp"
#include "replay/command_log.hpp"
#include "store/file_data.hpp"
#include "store/local.hpp"

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

namespace cli = heronshift::cli;
namespace local = heronshift::local;
namespace store = heronshift::store;

constexpr int exit_ok = 0, exit_failed = 1, exit_usage = 2;
constexpr double bytes_per_mb = 1e6;
constexpr std::uint64_t shutdown_grace_ms = 200;

int usage_error(const std::string& what) {
    std::cerr << "heronshift: " << what << "\n";
    return exit_usage;
}

// Formats each log record as a JSON object on a line of its own, with `time` (RFC 3339, UTC), `level`, `node` (left out
// if there is no node name) and `message`.
class JsonFormatter final : public spdlog::formatter {
public:
    explicit JsonFormatter(std::string node) : node_(std::move(node)) {}
    void format(const spdlog::details::log_msg& line, spdlog::memory_buf_t& out) override {
        const auto since = line.time.time_since_epoch();
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
        const auto level = spdlog::level::to_string_view(line.level);
        nlohmann::ordered_json json{{"time", fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                                                         fmt::gmtime(static_cast<std::time_t>(ms / 1000)), ms % 1000)},
                                    {"level", std::string(level.data(), level.size())}};
        if (!node_.empty())
            json["node"] = node_;
        json["message"] = std::string(line.payload.data(), line.payload.size());
        const auto text = json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
        out.append(text.data(), text.data() + text.size());
    }
    [[nodiscard]] std::unique_ptr<spdlog::formatter> clone() const override {
        return std::make_unique<JsonFormatter>(node_);
    }

private:
    std::string node_;
};

void set_up_log(bool json, const std::string& node) {
    auto log = spdlog::stderr_logger_st("heronshift");
    if (json)
        log->set_formatter(std::make_unique<JsonFormatter>(node));
    else
        log->set_pattern("%L %v");
    const char* level = std::getenv("LOG_LEVEL");
    const std::string name = level != nullptr ? level : "info";
    log->set_level(name == "debug" ? spdlog::level::debug : name == "error" ? spdlog::level::err : spdlog::level::info);
    spdlog::set_default_logger(std::move(log));
}

// --- daemon, and validation of its settings ---

struct DaemonOptions {
    std::string config, operators;
    std::string log_format = "text";
    std::string command_log;
    double command_log_mb = static_cast<double>(heronshift::replay::default_max_bytes) / bytes_per_mb;
    std::string state_file;
};

heronshift::Settings read_settings(const DaemonOptions& options) {
    auto settings = heronshift::load_settings(options.config);
    if (!options.operators.empty())
        settings.ops = heronshift::load_operator_settings(options.operators, settings.report_s);
    return settings;
}

void check_against_schema(const std::string& file, const char* schema, std::string (*as_json)(const std::string&)) {
    if (const auto why = cli::violation(schema, as_json(file)); !why.empty())
        throw heronshift::SettingsError(file + ": " + why);
}

void check_schemas(const DaemonOptions& options) {
    check_against_schema(options.config, cli::settings_schema, heronshift::settings_as_json);
    if (!options.operators.empty())
        check_against_schema(options.operators, cli::operators_schema, heronshift::operators_as_json);
}

// Handles SIGTERM: stops the node at once and the loop after `shutdown_grace_ms`, so that the last requests to the
// store, such as the revocation of the leader lease, have time to be sent.
void shut_down(uv_signal_t* signal, int /*number*/) {
    spdlog::info("shutting down signal=SIGTERM");
    static_cast<heronshift::Node*>(signal->data)->stop();
    static uv_timer_t end;
    uv_timer_init(signal->loop, &end);
    uv_timer_start(
        &end, [](uv_timer_t* timer) { uv_stop(timer->loop); }, shutdown_grace_ms, 0);
}

int run_node(const heronshift::Settings& settings, std::unique_ptr<heronshift::replay::CommandLog> log,
             const std::string& state_file) {
    std::signal(SIGPIPE, SIG_IGN);
    auto* loop = uv_default_loop();
    heronshift::Node::Parts parts;
    if (!state_file.empty())
        parts.state = store::file_store(loop, state_file, settings.txn_ops, settings.value_kb);
    heronshift::Node node(loop, settings, std::move(parts));
    if (log)
        node.record(std::move(log));
    if (const int error = node.start(); error != 0) {
        spdlog::error("cannot listen error=\"{}\"", uv_strerror(error));
        return exit_failed;
    }
    uv_signal_t terminate;
    uv_signal_init(loop, &terminate);
    terminate.data = &node;
    uv_signal_start(&terminate, shut_down, SIGTERM);
    uv_run(loop, UV_RUN_DEFAULT);
    return exit_ok;
}

int run_daemon(const DaemonOptions& options, bool check_only) {
    if (options.config.empty())
        return usage_error("--config is required");
    try {
        if (check_only)
            check_schemas(options);
        const auto settings = read_settings(options);
        set_up_log(options.log_format == "json", settings.name);
        if (check_only) {
            std::cout << heronshift::describe(settings);
            return exit_ok;
        }
        std::unique_ptr<heronshift::replay::CommandLog> log;
        if (!options.command_log.empty())
            log = std::make_unique<heronshift::replay::CommandLog>(
                options.command_log, static_cast<std::uint64_t>(options.command_log_mb * bytes_per_mb));
        return run_node(settings, std::move(log), options.state_file);
    } catch (const store::StoreError& error) {
        return usage_error(std::string("--state-file: ") + error.what());
    } catch (const heronshift::replay::LogError& error) {
        return usage_error(std::string("--command-log: ") + error.what());
    } catch (const heronshift::SettingsError& error) {
        return usage_error(error.what());
    }
}

// --- emulated platform on loopback ---

CLI::App* add_local(CLI::App& app, local::LocalOptions& options) {
    auto* verb =
        app.add_subcommand("local", "run a whole emulated cluster on loopback, to try heronshift without any settings");
    verb->add_option("--seconds", options.seconds, "period in which jobs are submitted")
        ->check(CLI::Range(5.0, 3600.0))
        ->capture_default_str();
    verb->add_option("--jobs", options.jobs, "number of jobs, in addition to a pipeline of three")
        ->check(CLI::Range(1, 2000))
        ->capture_default_str();
    verb->add_option("--seed", options.seed, "random seed of the load and the faults")->capture_default_str();
    verb->add_flag("--faults", options.faults,
                   "inject faults: controllers killed, machines lost, hung or cut off, store and cloud outages");
    verb->add_option("--folder", options.folder,
                     "folder for settings and logs; default: a new one under TMPDIR or /tmp");
    verb->add_option("--serve-port", options.serve_port,
                     "run only the emulators; machines send heartbeats to a scheduler in another program at this port")
        ->check(CLI::Range(1, 65535));
    verb->add_flag("--stay", options.stay, "keep running after the last job has ended, until interrupted");
    return verb;
}

struct EmulatorOptions {
    std::string listen;
    store::Limits limits{200, 100, 24, 16};
    local::PlatformPlan cloud;
    std::vector<std::string> nodes; // Controllers, as NAME=ADDRESS:PORT.
};

struct EmulatorVerbs {
    CLI::App *emulator = nullptr, *state = nullptr, *cloud = nullptr;
};

void add_state_options(CLI::App& verb, store::Limits& limits) {
    verb.add_option("--rps", limits.rps, "limit of requests per second; 0: no limit")
        ->check(CLI::NonNegativeNumber)
        ->capture_default_str();
    verb.add_option("--write-rps", limits.write_rps, "limit of writes per second; 0: no limit")
        ->check(CLI::NonNegativeNumber)
        ->capture_default_str();
    verb.add_option("--txn-ops", limits.txn_ops, "maximum number of writes in a transaction")
        ->check(CLI::Range(1, 1000))
        ->capture_default_str();
    verb.add_option("--value-kb", limits.value_kb, "maximum size of a value in kB")
        ->check(CLI::Range(1.0, 64.0))
        ->capture_default_str();
}

void add_cloud_options(CLI::App& verb, EmulatorOptions& options) {
    auto& cloud = options.cloud;
    verb.add_option("--node", options.nodes,
                    "controller that machines send heartbeats to, as NAME=ADDRESS:PORT; repeatable")
        ->required();
    verb.add_option("--capacity", cloud.capacity,
                    "maximum number of machines of each machine type and zone, for spot and on-demand machines each")
        ->check(CLI::Range(0, 1000))
        ->capture_default_str();
    verb.add_option("--report-s", cloud.workers.report_s)->check(CLI::Range(0.1, 60.0))->capture_default_str();
    verb.add_option("--lease-s", cloud.workers.lease_s)->check(CLI::Range(0.2, 600.0))->capture_default_str();
    verb.add_option("--seed", cloud.seed)->capture_default_str();
}

EmulatorVerbs add_emulator(CLI::App& app, EmulatorOptions& options) {
    EmulatorVerbs verbs;
    verbs.emulator = app.add_subcommand("stand-in", "run one emulated service until interrupted");
    verbs.emulator->require_subcommand(1);
    verbs.state = verbs.emulator->add_subcommand("state", "state service that keeps its data in memory");
    verbs.cloud = verbs.emulator->add_subcommand("cloud", "cloud whose machines simulate the execution of tasks");
    for (auto* verb : {verbs.state, verbs.cloud})
        verb->add_option("--listen", options.listen, "address to listen on, ADDRESS:PORT; port 0: any free port")
            ->required();
    add_state_options(*verbs.state, options.limits);
    add_cloud_options(*verbs.cloud, options);
    return verbs;
}

int run_emulator(const EmulatorVerbs& verbs, EmulatorOptions& options) {
    try {
        const auto at = local::parse_address(options.listen);
        if (verbs.state->parsed())
            return local::run_state(at, options.limits);
        for (const auto& node : options.nodes) {
            const auto equals = node.find('=');
            if (equals == std::string::npos || equals == 0)
                throw heronshift::SettingsError("--node: " + node + ": must be NAME=ADDRESS:PORT");
            options.cloud.workers.nodes.emplace_back(node.substr(0, equals),
                                                     local::parse_address(node.substr(equals + 1)).str());
        }
        return local::run_cloud(at, std::move(options.cloud));
    } catch (const heronshift::SettingsError& error) {
        return usage_error(error.what());
    }
}

// --- subcommands for users ---

struct UserOptions {
    std::vector<std::string> nodes;
    std::string job_file, job_id;
};

struct UserVerbs {
    CLI::App *submit = nullptr, *get = nullptr, *cancel = nullptr, *watch = nullptr;
};

CLI::App* add_user_verb(CLI::App& app, UserOptions& options, const char* name, const char* what) {
    auto* verb = app.add_subcommand(name, what);
    verb->add_option("--node", options.nodes,
                     "address of a controller, HOST:PORT; if several are given, they are tried in turn")
        ->required()
        ->envname("HERONSHIFT_NODE");
    return verb;
}

UserVerbs add_user_verbs(CLI::App& app, UserOptions& options) {
    UserVerbs verbs;
    verbs.submit = add_user_verb(app, options, "submit",
                                 "submit a job; if its id was submitted before, print the state of that job");
    verbs.submit->add_option("FILE", options.job_file, "file with the job as JSON; -: standard input")->required();
    verbs.get = add_user_verb(app, options, "get", "print the state of a job");
    verbs.cancel = add_user_verb(app, options, "cancel", "cancel a job and all jobs that depend on it");
    verbs.watch = add_user_verb(app, options, "watch",
                                "print a line at each change of state, until the job is done or cancelled");
    for (auto* verb : {verbs.get, verbs.cancel, verbs.watch})
        verb->add_option("ID", options.job_id, "id of a job, such as wk-000412")->required();
    return verbs;
}

int run_submit(const UserOptions& options) {
    std::ifstream file;
    if (options.job_file != "-")
        file.open(options.job_file, std::ios::binary);
    std::istream& in = options.job_file == "-" ? std::cin : file;
    const std::string job(std::istreambuf_iterator<char>(in), {});
    if (!in && !in.eof())
        return usage_error(options.job_file + ": cannot be read");
    if (const auto why = cli::violation(cli::submission_schema, job); !why.empty())
        return usage_error(options.job_file + ": " + why);
    return cli::submit(options.nodes, job);
}

int run_job_verb(const UserVerbs& verbs, const UserOptions& options) {
    if (!heronshift::codec::valid_job_id(options.job_id))
        return usage_error("ID: must have the form wk-000412");
    if (verbs.get->parsed())
        return cli::get(options.nodes, options.job_id);
    if (verbs.cancel->parsed())
        return cli::cancel(options.nodes, options.job_id);
    return cli::watch(options.nodes, options.job_id);
}

// --- subcommands for operators ---

CLI::App* add_schema(CLI::App& app, std::string& name) {
    auto* verb = app.add_subcommand("schema", "print the JSON Schema of a document");
    verb->add_option("NAME", name, "document: submission, settings or operators")
        ->required()
        ->check(CLI::IsMember({"submission", "settings", "operators"}));
    return verb;
}

int run_schema(const std::string& name) {
    std::cout << (name == "submission" ? cli::submission_schema
                  : name == "settings" ? cli::settings_schema
                                       : cli::operators_schema);
    return exit_ok;
}

struct BackupOptions {
    std::string from, to;
};

CLI::App* add_backup(CLI::App& app, BackupOptions& options) {
    auto* verb = app.add_subcommand("backup", "copy a state file; safe while a daemon uses it");
    verb->add_option("FILE", options.from, "the state file")->required();
    verb->add_option("TO", options.to, "path of the copy; must not exist yet")->required();
    return verb;
}

int run_backup(const BackupOptions& options) {
    try {
        store::back_up(options.from, options.to);
        return exit_ok;
    } catch (const store::StoreError& error) {
        return usage_error(error.what());
    }
}

struct ReplayOptions {
    std::string file;
    bool allow_truncated = false;
};

CLI::App* add_replay(CLI::App& app, ReplayOptions& options) {
    auto* verb = app.add_subcommand("replay", "execute a command log again and report the first difference");
    verb->add_option("FILE", options.file, "command log to execute")->required();
    verb->add_flag("--allow-cut", options.allow_truncated,
                   "accept a log that ends in the middle of a line, because its writer was killed");
    return verb;
}

// Returns `exit_ok` if this build makes the same decisions as the log, `exit_failed` if it does not (the first
// difference is printed), and `exit_usage` if the log cannot be read.
int run_replay(const ReplayOptions& options) {
    try {
        const auto result = heronshift::replay::replay(options.file, options.allow_truncated);
        if (result.first) {
            const auto& first = *result.first;
            std::cout << fmt::format("{}:{}: term {}, at {:.3f} s: {}\n  this build: {}\n", options.file, first.line,
                                     first.term, first.now, first.what, first.got);
            return exit_failed;
        }
        std::cout << fmt::format("no difference: {} terms, {} batches, {} commands, {} effects{}\n", result.terms,
                                 result.batches, result.commands, result.effects,
                                 result.truncated ? "; the log is truncated after these" : "");
        return exit_ok;
    } catch (const heronshift::replay::LogError& error) {
        return usage_error(error.what());
    }
}

// --- command line as a whole ---

struct Options {
    DaemonOptions daemon;
    local::LocalOptions local;
    EmulatorOptions emulator;
    UserOptions user;
    std::string schema_name;
    BackupOptions backup;
    ReplayOptions replay;
};

struct Verbs {
    CLI::App *check = nullptr, *local = nullptr, *schema = nullptr, *backup = nullptr, *replay = nullptr;
    EmulatorVerbs emulator;
    UserVerbs user;
};

// The help lists options and subcommands in the order in which they are declared here.
CLI::App* add_daemon(CLI::App& app, DaemonOptions& options) {
    app.set_version_flag("--version", std::string("heronshift ") + heronshift::version);
    app.add_option("--config", options.config, "settings of the platform (TOML)");
    app.add_option("--operators", options.operators, "optional settings of the operators (S-expressions)");
    auto* check = app.add_subcommand("check", "validate the settings and print the effective values");
    check->fallthrough();
    app.add_option("--log-format", options.log_format,
                   "format of log lines on stderr: text, or json with one object per line")
        ->check(CLI::IsMember({"text", "json"}))
        ->capture_default_str();
    auto* serve = app.add_subcommand("serve", "run one controller until SIGTERM (the default without a subcommand)");
    serve->fallthrough();
    app.add_option(
        "--command-log", options.command_log,
        "record the inputs of the core and a digest of its outputs in this file; .zst: compressed; -: stderr");
    app.add_option("--command-log-mb", options.command_log_mb,
                   "maximum size of the command log in MB, before compression")
        ->check(CLI::Range(1.0, 1e6))
        ->capture_default_str();
    app.add_option("--state-file", options.state_file,
                   "keep the state in this SQLite file instead of the state service");
    return check;
}

Verbs add_verbs(CLI::App& app, Options& options) {
    Verbs verbs;
    verbs.check = add_daemon(app, options.daemon);
    verbs.local = add_local(app, options.local);
    verbs.emulator = add_emulator(app, options.emulator);
    verbs.user = add_user_verbs(app, options.user);
    verbs.schema = add_schema(app, options.schema_name);
    verbs.backup = add_backup(app, options.backup);
    verbs.replay = add_replay(app, options.replay);
    return verbs;
}

int run(const Verbs& verbs, Options& options) {
    if (verbs.schema->parsed())
        return run_schema(options.schema_name);
    if (verbs.user.submit->parsed())
        return run_submit(options.user);
    if (verbs.user.get->parsed() || verbs.user.cancel->parsed() || verbs.user.watch->parsed())
        return run_job_verb(verbs.user, options.user);
    if (verbs.emulator.emulator->parsed())
        return run_emulator(verbs.emulator, options.emulator);
    if (verbs.local->parsed())
        return local::run_local(options.local);
    if (verbs.backup->parsed())
        return run_backup(options.backup);
    if (verbs.replay->parsed())
        return run_replay(options.replay);
    return run_daemon(options.daemon, verbs.check->parsed());
}

} // namespace

// NOLINTNEXTLINE(bugprone-exception-escape): an exception that is not handled ends the program and prints its message
int main(int argc, char** argv) {
    CLI::App app{"heronshift, a cluster scheduler"};
    Options options;
    const auto verbs = add_verbs(app, options);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        if (error.get_exit_code() == 0)
            return app.exit(error); // Prints the help or the version.
        return usage_error(error.what());
    }
    return run(verbs, options);
}
