/// @file
/// What controllers say to each other about leadership: a leader without the store asks for extension votes, and one
/// that has stepped down asks a peer to take over. One encode and one decode for each message; the words on the wire
/// are kept from earlier versions and stand beside the fields. Nothing throws.
#pragma once

#include "heronshift/http_reply.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace heronshift::leadership {

/// Paths on a peer's address.
inline constexpr const char* extension_vote_path = "/peer/promise";
inline constexpr const char* takeover_path = "/peer/take";

/// A leader asks a peer not to become leader for a while.
struct ExtensionVoteRequest {
    std::string node;       ///< "node": the leader.
    std::uint64_t term = 0; ///< "term".
    double length_s = 0;    ///< "forS": for how long, in seconds; the only field that an answer depends on.
};

/// The answer to an ExtensionVoteRequest.
struct ExtensionVoteAnswer {
    enum class Vote : std::uint8_t {
        granted,   ///< 200.
        refused,   ///< 409.
        malformed, ///< 400: the request cannot be read.
        none,      ///< No answer, or another one.
    };
    Vote vote = Vote::none;
    bool served_by_store = false; ///< "served", of a refusal: the store has just answered the voter.
};

/// A leader that has stopped acting asks a peer to become leader in its place.
struct TakeoverRequest {
    std::string node;              ///< "node": the leader that stepped down.
    std::uint64_t term = 0;        ///< "term": the term that has ended.
    std::uint64_t store_lease = 0; ///< "hold": its store lease, to be ended if it still stands.
};

/// The answer to a TakeoverRequest.
enum class TakeoverAnswer : std::uint8_t {
    accepted,     ///< 200.
    malformed,    ///< 400: the request cannot be read.
    not_follower, ///< 409: the peer is leader itself, or becomes it.
    outdated,     ///< 409: the store names another leader, term or store lease.
};

[[nodiscard]] std::string encode(const ExtensionVoteRequest& request);
/// None if there is no positive "forS".
[[nodiscard]] std::optional<ExtensionVoteRequest> decode_extension_vote_request(std::string_view body);
[[nodiscard]] HttpReply encode(const ExtensionVoteAnswer& answer);
[[nodiscard]] ExtensionVoteAnswer decode_extension_vote_answer(const HttpReply& reply);

[[nodiscard]] std::string encode(const TakeoverRequest& request);
/// None unless all fields are there.
[[nodiscard]] std::optional<TakeoverRequest> decode_takeover_request(std::string_view body);
[[nodiscard]] HttpReply encode(TakeoverAnswer answer);
/// Whether the peer takes over; the asker does the same after any other answer, and after none.
[[nodiscard]] bool takeover_accepted(const HttpReply& reply);

} // namespace heronshift::leadership
