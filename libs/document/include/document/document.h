// The operators' document of models, services and limits: parsing, validation, digest and lookups.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/result.h"
#include "catalog.pb.h"
#include "settings/reader.h"

namespace burdockdeck::document {

// Parses and validates the YAML text of a document. Errors report `file` as the file name.
[[nodiscard]] result<schema::document, settings::settings_error> parse(const std::string& file,
                                                                       const std::string& text);

// Digest of the content including the label; comments and layout of the YAML text do not affect it.
[[nodiscard]] std::string digest(const schema::document& d);

// Accelerator memory of one replica with all its adapters, in megabytes.
[[nodiscard]] std::uint32_t footprint_mb(const schema::model& m);

// The model named `name`, or null.
[[nodiscard]] const schema::model* find_model(const schema::document& d, std::string_view name);
// The service named `name`, or null.
[[nodiscard]] const schema::service* find_service(const schema::document& d, std::string_view name);

// The model and optional adapter named by a caller's `model` field: "model" or "model:adapter".
struct model_reference {
    const schema::model* model = nullptr;
    std::string adapter;
};
// Resolves `name`; nullopt if the document declares no such model or adapter.
[[nodiscard]] std::optional<model_reference> resolve(const schema::document& d,
                                                     std::string_view name);

// True if the service's routes declare this call idempotent. The route with the longest matching
// path prefix decides; without a match, only GET and HEAD are idempotent.
[[nodiscard]] bool is_idempotent(const schema::service& s, std::string_view method,
                                 std::string_view path);

}  // namespace burdockdeck::document
