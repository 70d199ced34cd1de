#include "leadership/peer_messages.hpp"

#include "heronshift/codec.hpp"
#include "http_status.hpp"

namespace heronshift::leadership {
namespace {

using codec::Json;

constexpr const char* empty_object = "{}";
constexpr const char* served_field = "served";

std::string string_field(const Json& json, const char* name) {
    return json.is_object() && json.contains(name) && json[name].is_string() ? json[name].get<std::string>() : "";
}

std::uint64_t unsigned_field(const Json& json, const char* name) {
    return json.is_object() && json.contains(name) && json[name].is_number_unsigned() ? json[name].get<std::uint64_t>()
                                                                                      : 0;
}

double number_field(const Json& json, const char* name, double default_value) {
    return json.is_object() && json.contains(name) && json[name].is_number() ? json[name].get<double>() : default_value;
}

} // namespace

std::string encode(const ExtensionVoteRequest& request) {
    return Json{{"node", request.node}, {"term", request.term}, {"forS", request.duration_s}}.dump();
}

std::optional<ExtensionVoteRequest> decode_extension_vote_request(std::string_view body) {
    const auto json = codec::parse(body);
    const double duration_s = number_field(json, "forS", -1);
    if (!(duration_s > 0))
        return std::nullopt;
    return ExtensionVoteRequest{string_field(json, "node"), unsigned_field(json, "term"), duration_s};
}

HttpReply encode(const ExtensionVoteAnswer& answer) {
    using Vote = ExtensionVoteAnswer::Vote;
    switch (answer.vote) {
    case Vote::granted:
        return {http_status::ok, empty_object};
    case Vote::malformed:
        return {http_status::bad_request, codec::error_answer("forS is needed")};
    case Vote::refused:
    case Vote::none:
        break;
    }
    return {http_status::conflict, Json{{"error", "the store answers here, or an attempt is under way"},
                                        {served_field, answer.served_by_store}}
                                       .dump()};
}

ExtensionVoteAnswer decode_extension_vote_answer(const HttpReply& reply) {
    using Vote = ExtensionVoteAnswer::Vote;
    switch (reply.status) {
    case http_status::ok:
        return {Vote::granted};
    case http_status::bad_request:
        return {Vote::malformed};
    case http_status::conflict: {
        const auto json = codec::parse(reply.body);
        return {Vote::refused, json.is_object() && json.contains(served_field) && json[served_field] == true};
    }
    default:
        return {Vote::none};
    }
}

std::string encode(const TakeoverRequest& request) {
    return Json{{"node", request.node}, {"term", request.term}, {"hold", request.store_lease}}.dump();
}

std::optional<TakeoverRequest> decode_takeover_request(std::string_view body) {
    const auto json = codec::parse(body);
    TakeoverRequest request{string_field(json, "node"), unsigned_field(json, "term"), unsigned_field(json, "hold")};
    if (request.node.empty() || request.term == 0 || request.store_lease == 0)
        return std::nullopt;
    return request;
}

HttpReply encode(TakeoverAnswer answer) {
    switch (answer) {
    case TakeoverAnswer::accepted:
        return {http_status::ok, empty_object};
    case TakeoverAnswer::malformed:
        return {http_status::bad_request, codec::error_answer("node, term and hold are needed")};
    case TakeoverAnswer::not_follower:
        return {http_status::conflict, codec::error_answer("not a standby")};
    case TakeoverAnswer::outdated:
        break;
    }
    return {http_status::conflict, codec::error_answer("the leader record names another node, term or store lease")};
}

bool takeover_accepted(const HttpReply& reply) {
    return reply.status == http_status::ok;
}

} // namespace heronshift::leadership
