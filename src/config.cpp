#include "heronshift/config.hpp"

#include <cmath>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include <sfsexp/sexp.h>
#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

namespace heronshift {
namespace {

constexpr double lease_clock_drift = 0.002; // of steady clocks, four times what the protocol allows

class Reader {
public:
    explicit Reader(std::string path) : path_(std::move(path)) {}

    [[noreturn]] void fail(const std::string& field, const std::string& what) const {
        throw SettingsError(fmt::format("{}: {}: {}", path_, field, what));
    }

    std::string text(const toml::table& t, const std::string& at, const char* key) const {
        const auto* n = t.get(key);
        if (n == nullptr)
            fail(at + key, "is missing");
        auto v = n->value_exact<std::string>();
        if (!v || v->empty())
            fail(at + key, "must be a non-empty string");
        return *v;
    }

    double number(const toml::table& t, const std::string& at, const char* key, double least, bool open = false) const {
        const auto* n = t.get(key);
        if (n == nullptr)
            fail(at + key, "is missing");
        if (!n->is_number())
            fail(at + key, "must be a number");
        const double v = n->value<double>().value_or(NAN);
        if (!std::isfinite(v))
            fail(at + key, "must be finite");
        if (v < least || (open && v <= least))
            fail(at + key, fmt::format("must be {} {}", open ? "above" : "at least", least));
        return v;
    }

    const toml::table& table(const toml::table& t, const std::string& at, const char* key) const {
        const auto* n = t.get(key);
        if (n == nullptr)
            fail(at + key, "is missing");
        if (!n->is_table())
            fail(at + key, "must be a table");
        return *n->as_table();
    }

    template <class F> void each(const toml::table& t, const std::string& at, const char* key, F f) const {
        const auto* n = t.get(key);
        if (n == nullptr)
            return;
        if (!n->is_array())
            fail(at + key, "must be an array of tables");
        std::size_t i = 0;
        for (const auto& e : *n->as_array()) {
            const auto where = fmt::format("{}{}[{}].", at, key, i++);
            if (!e.is_table())
                fail(where, "must be a table");
            f(*e.as_table(), where);
        }
    }

    Endpoint endpoint(const toml::table& t, const std::string& at, const char* key) const {
        const auto s = text(t, at, key);
        const auto colon = s.rfind(':');
        if (colon == std::string::npos || colon == 0)
            fail(at + key, "must be ADDRESS:PORT");
        int port = 0;
        for (char c : s.substr(colon + 1)) {
            if (c < '0' || c > '9' || port > 65535)
                fail(at + key, "has a bad port");
            port = port * 10 + (c - '0');
        }
        if (port < 1 || port > 65535)
            fail(at + key, "has a bad port");
        return {s.substr(0, colon), port};
    }

private:
    std::string path_;
};

// One setting of the operators' file: (name value).
struct OperatorField {
    const char* name;
    double OperatorSettings::*number = nullptr;
    int OperatorSettings::*count = nullptr;
    bool OperatorSettings::*flag = nullptr;
    double least = 0;
};

const OperatorField operator_fields[] = {
    {.name = "alpha", .number = &OperatorSettings::alpha},
    {.name = "beta", .number = &OperatorSettings::beta},
    {.name = "gamma", .number = &OperatorSettings::gamma},
    {.name = "target-share", .number = &OperatorSettings::target_share},
    {.name = "pull-back-cap", .count = &OperatorSettings::pull_back_cap},
    {.name = "reorder-cap", .count = &OperatorSettings::reorder_cap},
    {.name = "round-s", .number = &OperatorSettings::round_s},
    {.name = "batch", .count = &OperatorSettings::batch, .least = 1},
    {.name = "headroom", .number = &OperatorSettings::headroom},
    {.name = "empty-s", .number = &OperatorSettings::empty_s},
    {.name = "begin-s", .number = &OperatorSettings::begin_s},
};

std::string slurp(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    if (!in)
        throw SettingsError(path + ": cannot be read");
    std::ostringstream s;
    s << in.rdbuf();
    return s.str();
}

std::string atom(const sexp_t* e) {
    return (e != nullptr && e->ty == SEXP_VALUE && e->val != nullptr) ? e->val : "";
}

void apply(OperatorSettings& operators, const std::string& path, const std::string& name, const std::string& value) {
    auto fail = [&](const std::string& what) { throw SettingsError(path + ": " + name + ": " + what); };
    for (const auto& f : operator_fields) {
        if (name != f.name)
            continue;
        if (f.flag != nullptr) {
            if (value != "yes" && value != "no")
                fail("must be yes or no");
            operators.*f.flag = value == "yes";
            return;
        }
        char* end = nullptr;
        const double v = std::strtod(value.c_str(), &end);
        if (value.empty() || *end != 0 || !std::isfinite(v))
            fail("must be a finite number");
        if (v < f.least)
            fail(fmt::format("must be at least {}", f.least));
        if (f.count != nullptr) {
            if (v != std::floor(v) || v > 1e6)
                fail("must be a whole number");
            operators.*f.count = static_cast<int>(v);
        } else {
            operators.*f.number = v;
        }
        return;
    }
    fail("is not a known setting");
}

// Names and values in the order of the file.
std::vector<std::pair<std::string, std::string>> operator_file(const std::string& path) {
    auto text = slurp(path);
    // Comments run from ; to the end of the line.
    for (std::size_t i = 0; i < text.size(); ++i)
        if (text[i] == ';')
            while (i < text.size() && text[i] != '\n')
                text[i++] = ' ';
    long depth = 0;
    for (char c : text) {
        depth += c == '(' ? 1 : c == ')' ? -1 : 0;
        if (depth < 0)
            break;
    }
    if (depth != 0)
        throw SettingsError(path + ": parentheses do not match");
    sexp_t* root = parse_sexp(text.data(), text.size());
    if (root == nullptr || root->ty != SEXP_LIST)
        throw SettingsError(path + ": not an S-expression");
    struct Free {
        sexp_t* s;
        ~Free() {
            destroy_sexp(s);
            sexp_cleanup();
        }
    } freed{root};
    if (atom(root->list) != "heronshift")
        throw SettingsError(path + ": must start with (heronshift");
    std::vector<std::pair<std::string, std::string>> out;
    std::set<std::string> seen;
    for (auto* e = root->list->next; e != nullptr; e = e->next) {
        if (e->ty != SEXP_LIST)
            throw SettingsError(path + ": " + atom(e) + ": must be (name value)");
        const auto name = atom(e->list);
        const auto* value = e->list != nullptr ? e->list->next : nullptr;
        if (value == nullptr || value->next != nullptr)
            throw SettingsError(fmt::format("{}: {}: must be (name value)", path, name));
        if (!seen.insert(name).second)
            throw SettingsError(fmt::format("{}: {}: is given twice", path, name));
        out.emplace_back(name, atom(value));
    }
    return out;
}

toml::table toml_file(const std::string& path) {
    slurp(path);
    try {
        return toml::parse_file(path);
    } catch (const toml::parse_error& e) {
        throw SettingsError(fmt::format("{}:{}: {}", path, e.source().begin.line, std::string(e.description())));
    }
}

} // namespace

OperatorSettings load_operator_settings(const std::string& path, double report_s) {
    OperatorSettings operators;
    for (const auto& [name, value] : operator_file(path))
        apply(operators, path, name, value);
    auto need = [&](bool ok, const char* name, const char* what) {
        if (!ok)
            throw SettingsError(path + ": " + name + ": " + what);
    };
    need(operators.beta < operators.alpha, "beta", "must be below alpha");
    need(operators.gamma >= 5 * operators.alpha, "gamma", "must be far above alpha (five times at least)");
    need(operators.target_share <= 1, "target-share", "must be at most 1");
    need(operators.round_s >= report_s, "round-s", "must be at least report_s");
    need(operators.batch <= 8, "batch", "must be at most 8");
    need(operators.begin_s >= 10 * report_s && operators.begin_s <= 86'400, "begin-s",
         "must be from ten times report_s to a day");
    return operators;
}

Settings load_settings(const std::string& path) {
    const auto t = toml_file(path);
    const Reader r(path);
    Settings settings;
    settings.name = r.text(t, "", "host_name");
    settings.zone = r.text(t, "", "zone");
    settings.listen = r.endpoint(t, "", "bind");
    settings.peer_listen = r.endpoint(t, "", "back");
    std::set<std::string> names{settings.name};
    r.each(t, "", "others", [&](const toml::table& e, const std::string& at) {
        settings.peers.push_back({r.text(e, at, "host_name"), r.text(e, at, "zone"), r.endpoint(e, at, "peer_addr")});
        if (!names.insert(settings.peers.back().name).second)
            r.fail(at + "host_name", "is given twice");
    });
    const auto& ext = r.table(t, "", "external");
    settings.cloud = r.endpoint(ext, "external.", "cloud");
    settings.state = r.endpoint(ext, "external.", "state");
    const auto& f = r.table(t, "", "facts");
    if (const auto* z = f.get("zones"); z != nullptr) {
        if (!z->is_array())
            r.fail("facts.zones", "must be an array");
        for (const auto& e : *z->as_array()) {
            if (!e.is_string())
                r.fail("facts.zones", "must hold strings");
            settings.zones.push_back(**e.as_string());
        }
    }
    settings.time_bound_s = r.number(f, "facts.", "time_bound_ms", 0) / 1000;
    std::set<std::string> teams;
    r.each(f, "facts.", "teams", [&](const toml::table& e, const std::string& at) {
        TeamLimits limits;
        limits.name = r.text(e, at, "name");
        limits.cpus = r.number(e, at, "cpus", 0);
        limits.cpus_max = r.number(e, at, "cpus_max", 0);
        limits.gpus = r.number(e, at, "gpus", 0);
        limits.gpus_max = r.number(e, at, "gpus_max", 0);
        if (!teams.insert(limits.name).second)
            r.fail(at + "name", "is given twice");
        if (limits.cpus_max > 0 && limits.cpus > limits.cpus_max)
            r.fail(at + "cpus", "is above cpus_max");
        if (limits.gpus_max > 0 && limits.gpus > limits.gpus_max)
            r.fail(at + "gpus", "is above gpus_max");
        settings.teams.push_back(limits);
    });
    r.each(f, "facts.", "objectives", [&](const toml::table& e, const std::string& at) {
        Objective objective;
        objective.kind = r.text(e, at, "kind");
        objective.job_class = e["class"].value_or(std::string());
        objective.within_s = e["within_s"].value_or(0.0);
        objective.share = e["share"].value_or(0.0);
        objective.times = e["times"].value_or(0.0);
        settings.objectives.push_back(objective);
    });
    const auto& w = r.table(f, "facts.", "workers");
    const std::string at = "facts.workers.";
    settings.report_s = r.number(w, at, "report_s", 0, true);
    settings.lease_s = r.number(w, at, "lease_s", 0, true);
    settings.gang_wait_s = r.number(w, at, "gang_wait_s", 0, true);
    settings.gang_peer_s = r.number(w, at, "gang_peer_s", 0, true);
    settings.cancel_s = r.number(w, at, "cancel_s", 0, true);
    if (settings.lease_s < 2 * settings.report_s)
        r.fail(at + "lease_s", "must be at least twice report_s");
    // A machine that no stop reaches keeps a cancelled task until its lease has run out, by its own clock.
    if (settings.cancel_s < settings.lease_s * (1 + lease_clock_drift))
        r.fail(at + "cancel_s",
               "must be longer than lease_s, which is how long a machine that cannot be reached goes on");
    const auto& st = r.table(f, "facts.", "state");
    settings.state_rps = r.number(st, "facts.state.", "rps", 0, true);
    settings.state_write_rps = r.number(st, "facts.state.", "write_rps", 0, true);
    settings.value_kb = r.number(st, "facts.state.", "value_kb", 1);
    settings.txn_ops = static_cast<int>(r.number(st, "facts.state.", "txn_ops", 4));
    // Lowered some time after an upgrade, without notice: what is written fits the smaller from the start.
    if (st.contains("next")) {
        const auto& next = r.table(st, "facts.state.", "next");
        const std::string in = "facts.state.next.";
        if (next.contains("write_rps"))
            settings.state_write_rps = std::min(settings.state_write_rps, r.number(next, in, "write_rps", 0, true));
        if (next.contains("value_kb"))
            settings.value_kb = std::min(settings.value_kb, r.number(next, in, "value_kb", 1));
        if (next.contains("txn_ops"))
            settings.txn_ops = std::min(settings.txn_ops, static_cast<int>(r.number(next, in, "txn_ops", 4)));
    }
    const auto& c = r.table(f, "facts.", "cloud");
    settings.cloud_rps = r.number(c, "facts.cloud.", "rps", 0, true);
    settings.list_lag_s = r.number(c, "facts.cloud.", "list_lag_s", 0);
    const auto& l = r.table(f, "facts.", "resources");
    settings.cores = r.number(l, "facts.resources.", "cores", 0, true);
    settings.memory_mb = r.number(l, "facts.resources.", "mem_mb", 16);
    settings.fd_limit = static_cast<int>(r.number(l, "facts.resources.", "fd_limit", 64));
    return settings;
}

std::string settings_as_json(const std::string& path) {
    std::ostringstream out;
    out << toml::json_formatter{toml_file(path)};
    return out.str();
}

std::string operators_as_json(const std::string& path) {
    auto out = nlohmann::json::object();
    for (const auto& [name, value] : operator_file(path)) {
        const auto v = nlohmann::json::parse(value, nullptr, false);
        out[name] = v.is_number() ? v : nlohmann::json(value);
    }
    return out.dump();
}

std::string describe(const Settings& settings) {
    std::string out;
    auto line = [&](const std::string& k, const auto& v) { out += fmt::format("{} = {}\n", k, v); };
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
    for (const auto& f : operator_fields) {
        if (f.number != nullptr)
            line(f.name, settings.ops.*f.number);
        else if (f.count != nullptr)
            line(f.name, settings.ops.*f.count);
        else
            line(f.name, settings.ops.*f.flag ? "yes" : "no");
    }
    return out;
}

} // namespace heronshift
