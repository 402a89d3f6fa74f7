#include "core/SchemaCheck.h"

#include "absl/strings/str_cat.h"

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <string>
#include <vector>

namespace briarspar::core {

namespace {

std::string joinPath(const std::vector<std::string> &context) {
  std::string path;
  for (const std::string &part : context)
    path += part;
  return path;
}

} // namespace

absl::Status checkSchema(const Json &document, std::string_view schemaText) {
  valijson::Schema schema;
  valijson::SchemaParser parser;
  Json schemaDocument = Json::parse(schemaText);
  valijson::adapters::NlohmannJsonAdapter schemaAdapter(schemaDocument);
  parser.populateSchema(schemaAdapter, schema);

  valijson::Validator validator;
  valijson::ValidationResults results;
  valijson::adapters::NlohmannJsonAdapter target(document);
  if (validator.validate(schema, target, &results))
    return absl::OkStatus();
  std::string violations;
  valijson::ValidationResults::Error error;
  while (results.popError(error))
    absl::StrAppend(&violations, violations.empty() ? "" : "\n", joinPath(error.context), ": ",
                    error.description);
  return absl::InvalidArgumentError(violations);
}

} // namespace briarspar::core
