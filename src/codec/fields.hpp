// Tolerant readers of single JSON fields, shared by the parts of the codec.
#pragma once

#include "heronshift/codec.hpp"

namespace heronshift::codec::fields {

// The field of that name; null if it is missing or null.
inline const Json* field(const Json& json, const char* name) {
    const auto it = json.find(name);
    return it == json.end() || it->is_null() ? nullptr : &*it;
}

// The text, number or flag of that name; the fallback (false) where it is missing or of another kind.
inline std::string text(const Json& json, const char* name, std::string fallback = {}) {
    const auto* f = field(json, name);
    return f != nullptr && f->is_string() ? f->get<std::string>() : fallback;
}

inline bool flag(const Json& json, const char* name) {
    const auto* f = field(json, name);
    return f != nullptr && f->is_boolean() && f->get<bool>();
}

inline double number(const Json& json, const char* name, double fallback = 0) {
    const auto* f = field(json, name);
    return f != nullptr && f->is_number() ? f->get<double>() : fallback;
}

// False where it is no unsigned integer; then the value is left as it was.
inline bool count(const Json& json, const char* name, std::uint64_t& out) {
    const auto* f = field(json, name);
    if (f == nullptr || !f->is_number_unsigned())
        return false;
    out = f->get<std::uint64_t>();
    return true;
}

} // namespace heronshift::codec::fields
