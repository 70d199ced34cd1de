// How many records the state is spread over in the store.
#pragma once

#include <cstddef>

namespace heronshift::persistence {

inline constexpr std::size_t first_slots = 32; // of intents; the ring grows when its records fill up
inline constexpr std::size_t progress_records = 64;

} // namespace heronshift::persistence
