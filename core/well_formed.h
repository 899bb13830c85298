// Reads a JSON value to its end and checks all of it (RFC 8259), without a tree: simdjson's reading on demand looks
// only at what it is asked for.
#pragma once

#include <simdjson.h>

#include <string_view>

namespace cressrill::core {

// What nests deeper is refused: whoever reads it after us may do so by recursion.
constexpr int kMaxJsonDepth = 64;

// A number that no double holds counts as badly formed.
enum class JsonValidity { valid, invalid, too_deep };
JsonValidity validate_json(simdjson::ondemand::value value, int depth = 1);

// The text from a place in the document to the end of the value that was read just now.
std::string_view text_since(const char* begins, simdjson::ondemand::document& document);
// Whether nothing follows what was read.
bool at_end(simdjson::ondemand::document& document);

}  // namespace cressrill::core
