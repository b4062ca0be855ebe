// The operators' document: parsing, checks, canonical form and digest.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/result.h"
#include "catalog.pb.h"
#include "settings/reader.h"

namespace burdockdeck::document {

// Parses and checks the YAML text of a document; `file` is named in errors.
[[nodiscard]] result<schema::document, settings::settings_error> parse(const std::string& file,
                                                                       const std::string& text);

// Digest of the content, independent of comments and layout in the YAML text. The label counts.
[[nodiscard]] std::string digest(const schema::document& d);

// Accelerator memory of one replica with all its adapters, in megabytes.
[[nodiscard]] std::uint32_t footprint_mb(const schema::model& m);

// The model named `name`, or null.
[[nodiscard]] const schema::model* find_model(const schema::document& d, std::string_view name);
// The service named `name`, or null.
[[nodiscard]] const schema::service* find_service(const schema::document& d, std::string_view name);

// What a caller's `model` field names: "model" or "model:adapter".
struct model_reference {
    const schema::model* model = nullptr;
    std::string adapter;
};
// Resolves `name`; nullopt if the document declares no such model or adapter.
[[nodiscard]] std::optional<model_reference> resolve(const schema::document& d,
                                                     std::string_view name);

// True if the service's routes declare this call idempotent. The longest matching prefix decides;
// without a match, only GET and HEAD count as idempotent.
[[nodiscard]] bool is_idempotent(const schema::service& s, std::string_view method,
                                 std::string_view path);

}  // namespace burdockdeck::document
