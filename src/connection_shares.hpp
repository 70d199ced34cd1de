// Limits how many of a server's connections each kind of client may hold, and selects the idle connection to close when
// a limit is exceeded. It only counts, and uses neither sockets nor a clock. Used on the thread of the
// server's loop only.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <list>
#include <utility>

namespace heronshift {

// The kind of client at the other end of a connection. `unknown` until its first request has arrived.
enum class ClientKind : std::uint8_t { unknown, worker, user };
inline constexpr std::size_t client_kinds = 3;

// Maximum numbers of connections: of all kinds together, of workers and of users. `workers` and `users` may add up to
// more than `total`, so that one kind can use connections that the other leaves free.
struct ConnectionLimits {
    std::size_t total = 0;
    std::size_t workers = 0, users = 0;
};

// Counts connections by kind and lists the idle ones in the order in which they became idle. Every operation takes
// constant time. Pointers to connections are stored but never dereferenced.
template <class Connection> class ConnectionShares {
    using Idle =
        std::list<std::pair<Connection*, std::uint64_t>>; // with the value of idle_sequence_ when it became idle

public:
    // What is stored for each connection, as a member of the connection.
    class Entry {
        friend class ConnectionShares;
        ClientKind kind_ = ClientKind::unknown;
        bool idle_ = false;
        typename Idle::iterator idle_position_;

    public:
        [[nodiscard]] ClientKind kind() const {
            return kind_;
        }
    };

    explicit ConnectionShares(ConnectionLimits limits) : limits_(limits) {}

    void opened() {
        ++counts_[index(ClientKind::unknown)];
    }
    void closed(Entry& entry) {
        mark_busy(entry);
        --counts_[index(entry.kind_)];
    }
    void mark_idle(Entry& entry, Connection* connection) {
        mark_busy(entry);
        auto& list = idle_[index(entry.kind_)];
        list.emplace_back(connection, ++idle_sequence_);
        entry.idle_position_ = std::prev(list.end());
        entry.idle_ = true;
    }
    void mark_busy(Entry& entry) {
        if (entry.idle_)
            idle_[index(entry.kind_)].erase(entry.idle_position_);
        entry.idle_ = false;
    }
    // Sets the kind of a connection, as determined from its latest request.
    void classify(Entry& entry, ClientKind kind) {
        mark_busy(entry);
        --counts_[index(entry.kind_)];
        entry.kind_ = kind;
        ++counts_[index(kind)];
    }

    [[nodiscard]] bool over_total() const {
        return count(ClientKind::unknown) + count(ClientKind::worker) + count(ClientKind::user) > limits_.total;
    }
    [[nodiscard]] bool over_share(ClientKind kind) const {
        return kind != ClientKind::unknown &&
               count(kind) > (kind == ClientKind::worker ? limits_.workers : limits_.users);
    }
    [[nodiscard]] std::size_t count(ClientKind kind) const {
        return counts_[index(kind)];
    }
    // The connection of this kind that has been idle for longest; null if none is idle.
    [[nodiscard]] Connection* longest_idle(ClientKind kind) const {
        const auto& list = idle_[index(kind)];
        return list.empty() ? nullptr : list.front().first;
    }
    // The connection of any kind that has been idle for longest; null if none is idle.
    [[nodiscard]] Connection* longest_idle() const {
        const typename Idle::value_type* out = nullptr;
        for (const auto& list : idle_)
            if (!list.empty() && (out == nullptr || list.front().second < out->second))
                out = &list.front();
        return out == nullptr ? nullptr : out->first;
    }

private:
    static std::size_t index(ClientKind kind) {
        return static_cast<std::size_t>(kind);
    }
    ConnectionLimits limits_;
    std::array<std::size_t, client_kinds> counts_{};
    std::array<Idle, client_kinds> idle_;
    std::uint64_t idle_sequence_ = 0;
};

} // namespace heronshift
