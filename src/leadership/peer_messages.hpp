/// @file
/// Messages between controllers about leadership: a leader that the store does not answer requests extension votes, and
/// a leader that has stepped down asks a peer to take over. Each message has one function that encodes it and one that
/// decodes it. The field names on the wire are those of earlier versions; each stands in the comment of its member. No
/// function throws.
#pragma once

#include "heronshift/http_reply.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace heronshift::leadership {

/// HTTP paths of the requests.
inline constexpr const char* extension_vote_path = "/peer/promise";
inline constexpr const char* takeover_path = "/peer/take";

/// A leader asks a peer not to become leader for a while, so that the leader may act for longer.
struct ExtensionVoteRequest {
    std::string node;       ///< "node": the leader that asks.
    std::uint64_t term = 0; ///< "term": the leader's term.
    double duration_s = 0;  ///< "forS": the duration in seconds; the only field on which the answer depends.
};

/// The answer to an ExtensionVoteRequest.
struct ExtensionVoteAnswer {
    enum class Vote : std::uint8_t {
        granted,   ///< 200.
        refused,   ///< 409.
        malformed, ///< 400: the request could not be decoded.
        none,      ///< No answer, or any other status.
    };
    Vote vote = Vote::none;
    bool served_by_store = false; ///< "served", in a refusal: the store has just answered the voter.
};

/// A leader that has stopped acting asks a peer to become leader in its place.
struct TakeoverRequest {
    std::string node;              ///< "node": the leader that stepped down.
    std::uint64_t term = 0;        ///< "term": the term that has ended.
    std::uint64_t store_lease = 0; ///< "hold": the leader's store lease; the peer revokes it if it still exists.
};

/// The answer to a TakeoverRequest.
enum class TakeoverAnswer : std::uint8_t {
    accepted,     ///< 200.
    malformed,    ///< 400: the request could not be decoded.
    not_follower, ///< 409: the peer is the leader or is becoming it.
    outdated,     ///< 409: the leader record names another leader, term or store lease.
};

[[nodiscard]] std::string encode(const ExtensionVoteRequest& request);
/// Returns no value unless "forS" is a positive number.
[[nodiscard]] std::optional<ExtensionVoteRequest> decode_extension_vote_request(std::string_view body);
[[nodiscard]] HttpReply encode(const ExtensionVoteAnswer& answer);
[[nodiscard]] ExtensionVoteAnswer decode_extension_vote_answer(const HttpReply& reply);

[[nodiscard]] std::string encode(const TakeoverRequest& request);
/// Returns no value unless all fields are present and none is empty or 0.
[[nodiscard]] std::optional<TakeoverRequest> decode_takeover_request(std::string_view body);
[[nodiscard]] HttpReply encode(TakeoverAnswer answer);
/// Whether the peer takes over. The leader that stepped down does not distinguish between all other answers and a
/// missing one: it asks its next successor.
[[nodiscard]] bool takeover_accepted(const HttpReply& reply);

} // namespace heronshift::leadership
