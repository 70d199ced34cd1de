/// @file
/// The JSON Schemas that the program contains, and the validation of documents against them.
#pragma once

#include <string>
#include <string_view>

namespace heronshift::cli {

extern const char* const submission_schema;
extern const char* const settings_schema;  ///< Of the TOML file of settings, converted to JSON.
extern const char* const operators_schema; ///< Of the S-expressions of operator settings, as a JSON object of numbers.

/// Validates a JSON document against a schema. Returns an empty string if it is valid, "not JSON" if it cannot be
/// parsed, and otherwise the most deeply nested error with the path of its field, such as "shards: ...".
std::string violation(std::string_view schema, std::string_view document);

} // namespace heronshift::cli
