// Validates a whole JSON value (RFC 8259) without building a document: simdjson's on-demand parser checks
// only the values that are accessed.
#pragma once

#include <simdjson.h>

#include <string_view>

namespace cressrill::core {

// Deeper nesting is rejected, because an engine that parses the body next may do so recursively.
constexpr int kMaxJsonDepth = 64;

// A number outside the range of a double is invalid.
enum class JsonValidity { valid, invalid, too_deep };
// Consumes the value. depth: its nesting depth in the document.
JsonValidity validate_json(simdjson::ondemand::value value, int depth = 1);

// Returns the text from begin, a place in the document, to the end of the value that was read last.
std::string_view text_since(const char* begin, simdjson::ondemand::document& document);
// Returns whether nothing follows the value that was read last.
bool at_end(simdjson::ondemand::document& document);

}  // namespace cressrill::core
