/// Parts of the command log format that the writer, the reader and the replay share.
#pragma once

#include "heronshift/messages.hpp"

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace heronshift::replay {

using Json = nlohmann::json;

/// Value of the field "heronshift" in the first line of a log, which identifies a command log.
inline constexpr const char* log_kind = "command log";
/// Number of hexadecimal digits for each effect in the digest of a batch.
inline constexpr std::size_t digest_digits = 8;

/// Whether the log at this path is compressed, according to the file's extension.
[[nodiscard]] inline bool is_compressed(std::string_view path) {
    return path.ends_with(".zst");
}

/// Encodes JSON in one line. Bytes that are not valid UTF-8 are replaced.
[[nodiscard]] inline std::string dump(const Json& json) {
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// Encodes a variant as [index of the alternative, value].
template <class Variant> [[nodiscard]] Json to_json_of(const Variant& variant) {
    return std::visit([&](const auto& value) { return Json::array({variant.index(), value}); }, variant);
}

/// The digest of a batch's effects: a hash of each effect, in order, so that the first effect that differs can be
/// identified.
[[nodiscard]] std::string digest_of(const std::vector<Effect>& list);

} // namespace heronshift::replay
