/// Functions that read single JSON fields, for the decoders in src/codec. They accept any JSON value; a value that is
/// not an object has no fields. None of them throws.
#pragma once

#include "heronshift/codec.hpp"

#include "words.hpp"

#include <utility>

namespace heronshift::codec {

/// Returns the field `name`, or a null pointer if it is missing or its value is null.
[[nodiscard]] inline const Json* field(const Json& json, const char* name) {
    const auto it = json.find(name);
    return it == json.end() || it->is_null() ? nullptr : &*it;
}

/// Returns the array `name`, or a null pointer if it is missing or of another type.
[[nodiscard]] inline const Json* array_field(const Json& json, const char* name) {
    const auto* found = field(json, name);
    return found != nullptr && found->is_array() ? found : nullptr;
}

/// Returns the string `name`, or an empty one if it is missing or of another type.
[[nodiscard]] inline std::string text(const Json& json, const char* name) {
    const auto* found = field(json, name);
    return found != nullptr && found->is_string() ? found->get<std::string>() : std::string();
}

/// Returns the boolean `name`, or false if it is missing or of another type.
[[nodiscard]] inline bool flag(const Json& json, const char* name) {
    const auto* found = field(json, name);
    return found != nullptr && found->is_boolean() && found->get<bool>();
}

/// Returns the number `name`, or `fallback` if it is missing or of another type.
[[nodiscard]] inline double number(const Json& json, const char* name, double fallback = 0) {
    const auto* found = field(json, name);
    return found != nullptr && found->is_number() ? found->get<double>() : fallback;
}

/// Reads the unsigned integer `name` into `out`. Returns false, and leaves `out` unchanged, if it is missing or of
/// another type.
inline bool count(const Json& json, const char* name, std::uint64_t& out) {
    const auto* found = field(json, name);
    if (found == nullptr || !found->is_number_unsigned())
        return false;
    out = found->get<std::uint64_t>();
    return true;
}

/// Decodes each member of the array `name` with read() and appends it to `out`. A missing array is treated as empty.
/// Returns false if the field is not an array, or if read() returns nothing for a member.
template <class T>
[[nodiscard]] bool read_list(const Json& json, const char* name, std::optional<T> (*read)(const Json&),
                             std::vector<T>& out) {
    const auto* list = field(json, name);
    if (list == nullptr)
        return true;
    if (!list->is_array())
        return false;
    for (const auto& member : *list) {
        auto value = read(member);
        if (!value)
            return false;
        out.push_back(std::move(*value));
    }
    return true;
}

} // namespace heronshift::codec
