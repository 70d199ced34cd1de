// JSON Schemas that are shipped, and documents held against them before anything is sent.
#pragma once

#include <string>
#include <string_view>

namespace heronshift::cli {

extern const char* const submission_schema;
extern const char* const settings_schema;  // of the TOML file, as if it were JSON
extern const char* const operators_schema; // of the S-expressions, as an object of numbers

// Empty if the document is as the schema says; else the first thing that is wrong, with its path:
// "shards: ...". A document that is no JSON at all is said so.
std::string violation(std::string_view schema, std::string_view document);

} // namespace heronshift::cli
