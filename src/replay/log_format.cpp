#include "log_format.hpp"

#include "log_fields.hpp"

#include <cstdint>
#include <fmt/format.h>
#include <xxhash.h>

namespace heronshift::replay {

std::string json_text_of(const Effect& effect) {
    return dump(to_json_of(effect));
}

std::string digest_of(const std::vector<Effect>& list) {
    std::string digest;
    for (const auto& effect : list) {
        const auto text = json_text_of(effect);
        const auto hash = XXH3_64bits(text.data(), text.size());
        digest += fmt::format("{:0{}x}", static_cast<std::uint32_t>(hash), digest_digits);
    }
    return digest;
}

} // namespace heronshift::replay
