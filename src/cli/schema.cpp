#include "cli/schema.hpp"

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace heronshift::cli {

std::string violation(std::string_view schema, std::string_view document) {
    const auto doc = nlohmann::json::parse(document.begin(), document.end(), nullptr, false);
    if (doc.is_discarded())
        return "not JSON";
    const auto rules = nlohmann::json::parse(schema.begin(), schema.end());
    valijson::Schema compiled;
    valijson::SchemaParser parser;
    const valijson::adapters::NlohmannJsonAdapter rules_adapter(rules), doc_adapter(doc);
    parser.populateSchema(rules_adapter, compiled);
    valijson::Validator validator;
    valijson::ValidationResults results;
    if (validator.validate(compiled, doc_adapter, &results))
        return {};
    valijson::ValidationResults::Error error, deepest;
    while (results.popError(error))
        if (error.context.size() >= deepest.context.size())
            deepest = error;
    std::string path;
    for (const auto& part : deepest.context) {
        if (part == "<root>")
            continue;
        // valijson writes "[name]" for a field and "[3]" for an element of an array.
        const bool element = part.size() > 2 && part.find_first_not_of("0123456789", 1) == part.size() - 1;
        const auto name = part.size() > 2 && part.front() == '[' ? part.substr(1, part.size() - 2) : part;
        path += element ? "[" + name + "]" : (path.empty() ? "" : ".") + name;
    }
    return (path.empty() ? "the document" : path) + ": " + deepest.description;
}

} // namespace heronshift::cli
