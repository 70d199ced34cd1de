#pragma once

namespace heronshift {
inline constexpr const char* version = "0.1.0";
}
