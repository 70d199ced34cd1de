#include "heronshift/config.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include <sfsexp/sexp.h>
#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

namespace heronshift {
namespace {

constexpr double lease_clock_drift = 0.002; // of steady clocks; four times the drift that the protocol allows
constexpr int max_port = 65535;
constexpr int max_batch = 8;
constexpr double max_count = 1e6;
constexpr double min_gamma_alpha_ratio = 5; // the smallest ratio that counts as "far above alpha"
constexpr double min_begin_heartbeats = 10; // lower bound of begin-s, in heartbeat intervals
constexpr double max_begin_s = 86'400;
constexpr double min_memory_mb = 16, min_fd_limit = 64, min_txn_ops = 4;

// Reads the fields of a TOML file. Throws SettingsError, with the path of the field, if one is missing or invalid.
// `prefix` is the path of the parent table with a trailing dot, for these messages.
class SettingsReader {
public:
    explicit SettingsReader(std::string path) : path_(std::move(path)) {}

    [[noreturn]] void fail(const std::string& field, const std::string& what) const {
        throw SettingsError(fmt::format("{}: {}: {}", path_, field, what));
    }

    std::string text(const toml::table& parent, const std::string& prefix, const char* key) const {
        auto value = required(parent, prefix, key).value_exact<std::string>();
        if (!value || value->empty())
            fail(prefix + key, "must be a non-empty string");
        return *value;
    }

    // `exclusive`: the lower bound is exclusive, so the value must be above `min`.
    double number(const toml::table& parent, const std::string& prefix, const char* key, double min,
                  bool exclusive = false) const {
        const auto& node = required(parent, prefix, key);
        if (!node.is_number())
            fail(prefix + key, "must be a number");
        const double value = node.value<double>().value_or(NAN);
        if (!std::isfinite(value))
            fail(prefix + key, "must be finite");
        if (value < min || (exclusive && value <= min))
            fail(prefix + key, fmt::format("must be {} {}", exclusive ? "above" : "at least", min));
        return value;
    }

    const toml::table& table(const toml::table& parent, const std::string& prefix, const char* key) const {
        const auto& node = required(parent, prefix, key);
        if (!node.is_table())
            fail(prefix + key, "must be a table");
        return *node.as_table();
    }

    // Calls `callback` with each table of an array and the table's path. A missing array counts as empty.
    template <class F>
    void for_each_table(const toml::table& parent, const std::string& prefix, const char* key, F callback) const {
        const auto* node = parent.get(key);
        if (node == nullptr)
            return;
        if (!node->is_array())
            fail(prefix + key, "must be an array of tables");
        std::size_t i = 0;
        for (const auto& element : *node->as_array()) {
            const auto element_prefix = fmt::format("{}{}[{}].", prefix, key, i++);
            if (!element.is_table())
                fail(element_prefix, "must be a table");
            callback(*element.as_table(), element_prefix);
        }
    }

    // The strings of an array. A missing array counts as empty.
    std::vector<std::string> strings(const toml::table& parent, const std::string& prefix, const char* key) const {
        std::vector<std::string> out;
        const auto* node = parent.get(key);
        if (node == nullptr)
            return out;
        if (!node->is_array())
            fail(prefix + key, "must be an array");
        for (const auto& element : *node->as_array()) {
            if (!element.is_string())
                fail(prefix + key, "must hold strings");
            out.push_back(**element.as_string());
        }
        return out;
    }

    Endpoint endpoint(const toml::table& parent, const std::string& prefix, const char* key) const {
        const auto address = text(parent, prefix, key);
        const auto colon = address.rfind(':');
        if (colon == std::string::npos || colon == 0)
            fail(prefix + key, "must be ADDRESS:PORT");
        int port = 0;
        for (const char digit : address.substr(colon + 1)) {
            if (digit < '0' || digit > '9' || port > max_port)
                fail(prefix + key, "has a bad port");
            port = port * 10 + (digit - '0');
        }
        if (port < 1 || port > max_port)
            fail(prefix + key, "has a bad port");
        return {address.substr(0, colon), port};
    }

private:
    const toml::node& required(const toml::table& parent, const std::string& prefix, const char* key) const {
        const auto* node = parent.get(key);
        if (node == nullptr)
            fail(prefix + key, "is missing");
        return *node;
    }

    std::string path_;
};

// One setting of the operators' file, written there as (name value). Exactly one of `number`, `count` and `flag` is
// set: the member of OperatorSettings that the value is stored in.
struct OperatorField {
    const char* name;
    double OperatorSettings::*number = nullptr;
    int OperatorSettings::*count = nullptr;
    bool OperatorSettings::*flag = nullptr;
    double min = 0;
};

const OperatorField operator_fields[] = {
    {.name = "alpha", .number = &OperatorSettings::alpha},
    {.name = "beta", .number = &OperatorSettings::beta},
    {.name = "gamma", .number = &OperatorSettings::gamma},
    {.name = "target-share", .number = &OperatorSettings::target_share},
    {.name = "pull-back-cap", .count = &OperatorSettings::pull_back_cap},
    {.name = "reorder-cap", .count = &OperatorSettings::reorder_cap},
    {.name = "round-s", .number = &OperatorSettings::round_s},
    {.name = "batch", .count = &OperatorSettings::batch, .min = 1},
    {.name = "headroom", .number = &OperatorSettings::headroom},
    {.name = "empty-s", .number = &OperatorSettings::empty_s},
    {.name = "begin-s", .number = &OperatorSettings::begin_s},
};

std::string read_file(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    if (!in)
        throw SettingsError(path + ": cannot be read");
    std::ostringstream s;
    s << in.rdbuf();
    return s.str();
}

std::string atom_text(const sexp_t* e) {
    return (e != nullptr && e->ty == SEXP_VALUE && e->val != nullptr) ? e->val : "";
}

[[noreturn]] void fail_field(const std::string& path, const std::string& name, const std::string& what) {
    throw SettingsError(path + ": " + name + ": " + what);
}

double parse_number(const std::string& path, const OperatorField& field, const std::string& value) {
    char* end = nullptr;
    const double number = std::strtod(value.c_str(), &end);
    if (value.empty() || *end != 0 || !std::isfinite(number))
        fail_field(path, field.name, "must be a finite number");
    if (number < field.min)
        fail_field(path, field.name, fmt::format("must be at least {}", field.min));
    if (field.count != nullptr && (number != std::floor(number) || number > max_count))
        fail_field(path, field.name, "must be a whole number");
    return number;
}

void apply_setting(OperatorSettings& operators, const std::string& path, const std::string& name,
                   const std::string& value) {
    const auto* field = std::find_if(std::begin(operator_fields), std::end(operator_fields),
                                     [&](const OperatorField& known) { return name == known.name; });
    if (field == std::end(operator_fields))
        fail_field(path, name, "is not a known setting");
    if (field->flag != nullptr) {
        if (value != "yes" && value != "no")
            fail_field(path, name, "must be yes or no");
        operators.*field->flag = value == "yes";
    } else if (field->count != nullptr) {
        operators.*field->count = static_cast<int>(parse_number(path, *field, value));
    } else {
        operators.*field->number = parse_number(path, *field, value);
    }
}

// Replaces comments, which run from ; to the end of the line, by spaces.
void blank_comments(std::string& text) {
    bool comment = false;
    for (auto& c : text) {
        comment = c != '\n' && (comment || c == ';');
        if (comment)
            c = ' ';
    }
}

bool parentheses_match(const std::string& text) {
    long depth = 0;
    for (const char c : text) {
        depth += c == '(' ? 1 : c == ')' ? -1 : 0;
        if (depth < 0)
            return false;
    }
    return depth == 0;
}

// Owns an expression parsed by sfsexp, and frees the memory that sfsexp caches between parses.
struct Expression {
    sexp_t* root;
    explicit Expression(std::string& text) : root(parse_sexp(text.data(), text.size())) {}
    ~Expression() {
        if (root != nullptr)
            destroy_sexp(root);
        sexp_cleanup();
    }
    Expression(const Expression&) = delete;
    Expression& operator=(const Expression&) = delete;
};

struct NamedValue {
    std::string name, value;
};

// Parses an operators' file. Returns its settings in the order of the file.
std::vector<NamedValue> parse_operator_file(const std::string& path) {
    auto text = read_file(path);
    blank_comments(text);
    if (!parentheses_match(text))
        throw SettingsError(path + ": parentheses do not match");
    const Expression expression(text);
    if (expression.root == nullptr || expression.root->ty != SEXP_LIST)
        throw SettingsError(path + ": not an S-expression");
    if (atom_text(expression.root->list) != "heronshift")
        throw SettingsError(path + ": must start with (heronshift");
    std::vector<NamedValue> out;
    std::set<std::string> seen;
    for (auto* e = expression.root->list->next; e != nullptr; e = e->next) {
        if (e->ty != SEXP_LIST)
            fail_field(path, atom_text(e), "must be (name value)");
        const auto name = atom_text(e->list);
        const auto* value = e->list != nullptr ? e->list->next : nullptr;
        if (value == nullptr || value->next != nullptr)
            fail_field(path, name, "must be (name value)");
        if (!seen.insert(name).second)
            fail_field(path, name, "is given twice");
        out.push_back({name, atom_text(value)});
    }
    return out;
}

toml::table parse_toml_file(const std::string& path) {
    read_file(path); // throws SettingsError if the file cannot be read, before toml++ reports it in its own form
    try {
        return toml::parse_file(path);
    } catch (const toml::parse_error& e) {
        throw SettingsError(fmt::format("{}:{}: {}", path, e.source().begin.line, std::string(e.description())));
    }
}

// The functions below read one section of the platform's settings file each.

void read_peers(const SettingsReader& reader, const toml::table& file, Settings& settings) {
    std::set<std::string> names{settings.name};
    reader.for_each_table(file, "", "others", [&](const toml::table& entry, const std::string& prefix) {
        settings.peers.push_back({reader.text(entry, prefix, "host_name"), reader.text(entry, prefix, "zone"),
                                  reader.endpoint(entry, prefix, "peer_addr")});
        if (!names.insert(settings.peers.back().name).second)
            reader.fail(prefix + "host_name", "is given twice");
    });
}

void read_external(const SettingsReader& reader, const toml::table& file, Settings& settings) {
    const std::string prefix = "external.";
    const auto& external = reader.table(file, "", "external");
    settings.cloud = reader.endpoint(external, prefix, "cloud");
    settings.state = reader.endpoint(external, prefix, "state");
}

void read_teams(const SettingsReader& reader, const toml::table& facts, Settings& settings) {
    std::set<std::string> names;
    reader.for_each_table(facts, "facts.", "teams", [&](const toml::table& entry, const std::string& prefix) {
        TeamLimits limits;
        limits.name = reader.text(entry, prefix, "name");
        limits.cpus = reader.number(entry, prefix, "cpus", 0);
        limits.cpus_max = reader.number(entry, prefix, "cpus_max", 0);
        limits.gpus = reader.number(entry, prefix, "gpus", 0);
        limits.gpus_max = reader.number(entry, prefix, "gpus_max", 0);
        if (!names.insert(limits.name).second)
            reader.fail(prefix + "name", "is given twice");
        if (limits.cpus_max > 0 && limits.cpus > limits.cpus_max)
            reader.fail(prefix + "cpus", "is above cpus_max");
        if (limits.gpus_max > 0 && limits.gpus > limits.gpus_max)
            reader.fail(prefix + "gpus", "is above gpus_max");
        settings.teams.push_back(limits);
    });
}

void read_objectives(const SettingsReader& reader, const toml::table& facts, Settings& settings) {
    reader.for_each_table(facts, "facts.", "objectives", [&](const toml::table& entry, const std::string& prefix) {
        Objective objective;
        objective.kind = reader.text(entry, prefix, "kind");
        objective.job_class = entry["class"].value_or(std::string());
        objective.within_s = entry["within_s"].value_or(0.0);
        objective.share = entry["share"].value_or(0.0);
        objective.times = entry["times"].value_or(0.0);
        settings.objectives.push_back(objective);
    });
}

void read_workers(const SettingsReader& reader, const toml::table& facts, Settings& settings) {
    const std::string prefix = "facts.workers.";
    const auto& workers = reader.table(facts, "facts.", "workers");
    settings.report_s = reader.number(workers, prefix, "report_s", 0, true);
    settings.lease_s = reader.number(workers, prefix, "lease_s", 0, true);
    settings.gang_wait_s = reader.number(workers, prefix, "gang_wait_s", 0, true);
    settings.gang_peer_s = reader.number(workers, prefix, "gang_peer_s", 0, true);
    settings.cancel_s = reader.number(workers, prefix, "cancel_s", 0, true);
    if (settings.lease_s < 2 * settings.report_s)
        reader.fail(prefix + "lease_s", "must be at least twice report_s");
    // A machine that does not receive the stop request goes on with a cancelled task until its lease expires by its
    // own clock.
    if (settings.cancel_s < settings.lease_s * (1 + lease_clock_drift))
        reader.fail(prefix + "cancel_s",
                    "must be longer than lease_s, which is how long a machine that cannot be reached goes on");
}

int read_txn_ops(const SettingsReader& reader, const toml::table& table, const std::string& prefix) {
    return static_cast<int>(reader.number(table, prefix, "txn_ops", min_txn_ops));
}

void read_state(const SettingsReader& reader, const toml::table& facts, Settings& settings) {
    const std::string prefix = "facts.state.";
    const auto& state = reader.table(facts, "facts.", "state");
    settings.state_rps = reader.number(state, prefix, "rps", 0, true);
    settings.state_write_rps = reader.number(state, prefix, "write_rps", 0, true);
    settings.value_kb = reader.number(state, prefix, "value_kb", 1);
    settings.txn_ops = read_txn_ops(reader, state, prefix);
    // The state service switches to the limits of facts.state.next some time after an upgrade, without notice. Requests
    // therefore keep to the smaller of both limits from the start.
    if (!state.contains("next"))
        return;
    const std::string in = "facts.state.next.";
    const auto& next = reader.table(state, prefix, "next");
    if (next.contains("write_rps"))
        settings.state_write_rps = std::min(settings.state_write_rps, reader.number(next, in, "write_rps", 0, true));
    if (next.contains("value_kb"))
        settings.value_kb = std::min(settings.value_kb, reader.number(next, in, "value_kb", 1));
    if (next.contains("txn_ops"))
        settings.txn_ops = std::min(settings.txn_ops, read_txn_ops(reader, next, in));
}

void read_cloud(const SettingsReader& reader, const toml::table& facts, Settings& settings) {
    const std::string prefix = "facts.cloud.";
    const auto& cloud = reader.table(facts, "facts.", "cloud");
    settings.cloud_rps = reader.number(cloud, prefix, "rps", 0, true);
    settings.list_lag_s = reader.number(cloud, prefix, "list_lag_s", 0);
}

void read_resources(const SettingsReader& reader, const toml::table& facts, Settings& settings) {
    const std::string prefix = "facts.resources.";
    const auto& resources = reader.table(facts, "facts.", "resources");
    settings.cores = reader.number(resources, prefix, "cores", 0, true);
    settings.memory_mb = reader.number(resources, prefix, "mem_mb", min_memory_mb);
    settings.fd_limit = static_cast<int>(reader.number(resources, prefix, "fd_limit", min_fd_limit));
}

} // namespace

OperatorSettings load_operator_settings(const std::string& path, double report_s) {
    OperatorSettings operators;
    for (const auto& [name, value] : parse_operator_file(path))
        apply_setting(operators, path, name, value);
    const auto require = [&](bool ok, const char* name, const char* what) {
        if (!ok)
            fail_field(path, name, what);
    };
    require(operators.beta < operators.alpha, "beta", "must be below alpha");
    require(operators.gamma >= min_gamma_alpha_ratio * operators.alpha, "gamma",
            "must be far above alpha (five times at least)");
    require(operators.target_share <= 1, "target-share", "must be at most 1");
    require(operators.round_s >= report_s, "round-s", "must be at least report_s");
    require(operators.batch <= max_batch, "batch", "must be at most 8");
    require(operators.begin_s >= min_begin_heartbeats * report_s && operators.begin_s <= max_begin_s, "begin-s",
            "must be from ten times report_s to a day");
    return operators;
}

Settings load_settings(const std::string& path) {
    const auto file = parse_toml_file(path);
    const SettingsReader reader(path);
    Settings settings;
    settings.name = reader.text(file, "", "host_name");
    settings.zone = reader.text(file, "", "zone");
    settings.listen = reader.endpoint(file, "", "bind");
    settings.peer_listen = reader.endpoint(file, "", "back");
    read_peers(reader, file, settings);
    read_external(reader, file, settings);
    const auto& facts = reader.table(file, "", "facts");
    settings.zones = reader.strings(facts, "facts.", "zones");
    settings.time_bound_s = reader.number(facts, "facts.", "time_bound_ms", 0) / 1000;
    read_teams(reader, facts, settings);
    read_objectives(reader, facts, settings);
    read_workers(reader, facts, settings);
    read_state(reader, facts, settings);
    read_cloud(reader, facts, settings);
    read_resources(reader, facts, settings);
    return settings;
}

std::string settings_as_json(const std::string& path) {
    std::ostringstream out;
    out << toml::json_formatter{parse_toml_file(path)};
    return out.str();
}

std::string operators_as_json(const std::string& path) {
    auto out = nlohmann::json::object();
    for (const auto& [name, value] : parse_operator_file(path)) {
        const auto parsed = nlohmann::json::parse(value, nullptr, false);
        out[name] = parsed.is_number() ? parsed : nlohmann::json(value);
    }
    return out.dump();
}

std::string describe(const Settings& settings) {
    std::string out;
    const auto line = [&](const std::string& name, const auto& value) { out += fmt::format("{} = {}\n", name, value); };
    line("host_name", settings.name);
    line("zone", settings.zone);
    line("bind", settings.listen.str());
    line("back", settings.peer_listen.str());
    for (const auto& peer : settings.peers)
        line("others." + peer.name, peer.addr.str());
    line("external.cloud", settings.cloud.str());
    line("external.state", settings.state.str());
    line("facts.teams", settings.teams.size());
    line("facts.workers.report_s", settings.report_s);
    line("facts.workers.lease_s", settings.lease_s);
    line("facts.workers.cancel_s", settings.cancel_s);
    line("facts.state.rps", settings.state_rps);
    line("facts.state.write_rps", settings.state_write_rps);
    line("facts.state.value_kb", settings.value_kb);
    line("facts.state.txn_ops", settings.txn_ops);
    line("facts.cloud.rps", settings.cloud_rps);
    for (const auto& field : operator_fields) {
        if (field.number != nullptr)
            line(field.name, settings.ops.*field.number);
        else if (field.count != nullptr)
            line(field.name, settings.ops.*field.count);
        else
            line(field.name, settings.ops.*field.flag ? "yes" : "no");
    }
    return out;
}

} // namespace heronshift
