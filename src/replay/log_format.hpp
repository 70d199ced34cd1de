/// What the writer, the reader and the replay of command logs share.
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

/// Value of the first line's field "heronshift".
inline constexpr const char* log_kind = "command log";
/// Hexadecimal digits of an effect in the digest of a batch.
inline constexpr std::size_t digest_digits = 8;

/// Whether a log of that name is compressed.
[[nodiscard]] inline bool compressed(std::string_view path) {
    return path.ends_with(".zst");
}

/// One line of JSON; bytes that are not UTF-8 are replaced.
[[nodiscard]] inline std::string dump(const Json& json) {
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// A variant as [which, value].
template <class Variant> [[nodiscard]] Json to_json_of(const Variant& variant) {
    return std::visit([&](const auto& value) { return Json::array({variant.index(), value}); }, variant);
}

/// The digest of a batch: one short number for each effect, so that the first that differs can be named.
[[nodiscard]] std::string digest_of(const std::vector<Effect>& list);

} // namespace heronshift::replay
