// Commands that controllers send to machines directly. A machine executes a command whose fencing token is not older
// than the machine's and whose agent epoch is the machine's current one. A command that the network or a hanging
// machine delays is checked when it arrives, and gets no answer.
#pragma once

#include "cluster/cluster_data.hpp"

#include "network.hpp"

namespace heronshift::testing {

struct DirectCommands : Network {
    using Network::Network;
    using CommandAnswer = std::pair<int, Heartbeat>; // HTTP status and heartbeat of the machine

    struct Command {
        std::string address;
        std::uint64_t fencing_token = 0, agent_epoch = 0;
        std::vector<Order> orders;
        bool answered = false; // what arrives after that is a copy
    };
    // The share of commands that the network delays, the range of the delay, and counters of what became of them.
    struct LateCommands {
        double share = 0;
        double shortest_s = 2, longest_s = 16;
        int held = 0;
        int executed = 0;
        int executed_for_former_leader =
            0; // sent in a term that had ended, to a machine that had not heard of the next one
        int refused_by_token = 0;
        int refused_by_session = 0;
        int held_by_hang = 0;                // arrived at a hanging machine, delivered once it resumed
        int launches_after_cancellation = 0; // executed after the user was told that the job is cancelled
    } late_commands;
    std::set<std::string> commands_lost; // machines that get no direct commands
    // What became of late copies of commands that were answered (`LateCopies`).
    struct CopiedCommands {
        int executed = 0, refused_by_token = 0, refused_by_session = 0;
    } copied_commands;

    void deliver(Command& command, const Answer<CommandAnswer>& answer) {
        if (!reachable(command.address))
            return;
        auto& machine = workers[command.address];
        if (commands_lost.contains(command.address))
            return;
        if (machine.hung)
            return hold_while_hung(command);
        if (command.answered)
            return deliver_copy(machine, command);
        if (!command.orders.empty() && late_commands.share > 0 && chance() < late_commands.share) {
            ++late_commands.held;
            const double delay = between(late_commands.shortest_s, late_commands.longest_s);
            return send(delay, [this, command] { deliver_late(command); });
        }
        const bool accepted = try_execute(machine, command);
        command.answered = true;
        answer({accepted ? 200 : 409, heartbeat(machine)});
    }

private:
    bool reachable(const std::string& address) const {
        const auto machine = workers.find(address);
        return machine != workers.end() && !machine->second.dead && !machine->second.cut;
    }
    bool try_execute(Worker& machine, const Command& command) {
        if (command.fencing_token < machine.fencing_token || command.agent_epoch != machine.agent_epoch)
            return false;
        machine.fencing_token = command.fencing_token;
        execute(machine, command.orders);
        return true;
    }
    void deliver_copy(Worker& machine, const Command& command) {
        if (command.orders.empty())
            return;
        copied_commands.refused_by_token += command.fencing_token < machine.fencing_token;
        copied_commands.refused_by_session += command.agent_epoch != machine.agent_epoch;
        copied_commands.executed += try_execute(machine, command);
    }
    void hold_while_hung(const Command& command) {
        if (command.agent_epoch == 0)
            return; // a probe: no machine has the agent epoch 0
        ++late_commands.held_by_hang;
        send(wait_step_s, [this, command] { deliver_late(command); });
    }
    void deliver_late(const Command& command) {
        if (!reachable(command.address))
            return;
        auto& machine = workers[command.address];
        if (machine.hung) {
            send(wait_step_s, [this, command] { deliver_late(command); });
            return;
        }
        late_commands.refused_by_token += command.fencing_token < machine.fencing_token;
        late_commands.refused_by_session += command.agent_epoch != machine.agent_epoch;
        const bool from_former_leader = command.fencing_token >> cluster::token_counter_bits < newest_term();
        if (!try_execute(machine, command))
            return;
        ++late_commands.executed;
        late_commands.executed_for_former_leader += from_former_leader;
        for (const auto& order : command.orders)
            if (order.verb == Verb::launch && cancelled.contains(order.job))
                ++late_commands.launches_after_cancellation;
    }
    // The newest term among the fencing tokens of all machines.
    std::uint64_t newest_term() const {
        std::uint64_t newest = 0;
        for (const auto& [id, machine] : workers)
            newest = std::max(newest, machine.fencing_token >> cluster::token_counter_bits);
        return newest;
    }

    static constexpr double wait_step_s = 0.1;
};

} // namespace heronshift::testing
