/// Readers of single JSON fields, for the decoders of this folder. They take any JSON value; one that is no object has
/// no fields. None of them throws.
#pragma once

#include "heronshift/codec.hpp"

#include "words.hpp"

#include <utility>

namespace heronshift::codec {

/// The field of that name; null if it is missing or null.
[[nodiscard]] inline const Json* field(const Json& json, const char* name) {
    const auto it = json.find(name);
    return it == json.end() || it->is_null() ? nullptr : &*it;
}

/// The array of that name; null if it is missing or of another kind.
[[nodiscard]] inline const Json* array_field(const Json& json, const char* name) {
    const auto* found = field(json, name);
    return found != nullptr && found->is_array() ? found : nullptr;
}

/// The string of that name; empty where it is missing or of another kind.
[[nodiscard]] inline std::string text(const Json& json, const char* name) {
    const auto* found = field(json, name);
    return found != nullptr && found->is_string() ? found->get<std::string>() : std::string();
}

/// The flag of that name; false where it is missing or of another kind.
[[nodiscard]] inline bool flag(const Json& json, const char* name) {
    const auto* found = field(json, name);
    return found != nullptr && found->is_boolean() && found->get<bool>();
}

/// The number of that name; the fallback where it is missing or of another kind.
[[nodiscard]] inline double number(const Json& json, const char* name, double fallback = 0) {
    const auto* found = field(json, name);
    return found != nullptr && found->is_number() ? found->get<double>() : fallback;
}

/// False where it is no unsigned integer; then the value is left as it was.
inline bool count(const Json& json, const char* name, std::uint64_t& out) {
    const auto* found = field(json, name);
    if (found == nullptr || !found->is_number_unsigned())
        return false;
    out = found->get<std::uint64_t>();
    return true;
}

/// Appends the members of the list of that name, each as read() decodes it; a missing list has none.
/// False if it is no list, or read() returns nothing for a member.
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
