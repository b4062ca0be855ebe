// Patches as Zstandard frames that use the base text as the prefix (ZSTD_CCtx_refPrefix).
#include "patch/patch.h"

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

namespace burdockdeck::patch {

namespace {

// Zstandard's default: level 1 finds fewer matches in the base, higher levels take more CPU time.
constexpr int compression_level = ZSTD_CLEVEL_DEFAULT;
// The smallest window that Zstandard accepts.
constexpr int min_window_log = 10;

using compressor = std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)>;
using decompressor = std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)>;

// The window must span the base and the text, so that all of the base can be referenced.
int window_log_for(std::size_t bytes) {
    return std::max(min_window_log, static_cast<int>(std::bit_width(bytes)));
}

patch_error failure(std::size_t code) {
    return {ZSTD_getErrorName(code)};
}

}  // namespace

result<std::string, patch_error> make(std::string_view base, std::string_view text) {
    const compressor c(ZSTD_createCCtx(), &ZSTD_freeCCtx);
    if (c == nullptr) {
        return patch_error{"out of memory: cannot create the Zstandard compression context"};
    }
    const int window_log = window_log_for(base.size() + text.size());
    for (const std::size_t code :
         {ZSTD_CCtx_setParameter(c.get(), ZSTD_c_compressionLevel, compression_level),
          ZSTD_CCtx_setParameter(c.get(), ZSTD_c_windowLog, window_log),
          ZSTD_CCtx_setParameter(c.get(), ZSTD_c_enableLongDistanceMatching, base.empty() ? 0 : 1),
          ZSTD_CCtx_setParameter(c.get(), ZSTD_c_checksumFlag, 1),
          ZSTD_CCtx_refPrefix(c.get(), base.data(), base.size())}) {
        if (ZSTD_isError(code) != 0) {
            return failure(code);
        }
    }
    std::string out(ZSTD_compressBound(text.size()), '\0');
    const std::size_t size =
        ZSTD_compress2(c.get(), out.data(), out.size(), text.data(), text.size());
    if (ZSTD_isError(size) != 0) {
        return failure(size);
    }
    out.resize(size);
    return out;
}

result<std::string, patch_error> apply(std::string_view base, std::string_view patch) {
    const unsigned long long size = ZSTD_getFrameContentSize(patch.data(), patch.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN ||
        size > max_text_bytes) {
        return patch_error{
            "patch is damaged, has no content size or exceeds the maximum text size"};
    }
    const decompressor d(ZSTD_createDCtx(), &ZSTD_freeDCtx);
    if (d == nullptr) {
        return patch_error{"out of memory: cannot create the Zstandard decompression context"};
    }
    for (const std::size_t code :
         {ZSTD_DCtx_setParameter(d.get(), ZSTD_d_windowLogMax, window_log_for(2 * max_text_bytes)),
          ZSTD_DCtx_refPrefix(d.get(), base.data(), base.size())}) {
        if (ZSTD_isError(code) != 0) {
            return failure(code);
        }
    }
    std::string out(static_cast<std::size_t>(size), '\0');
    const std::size_t decompressed_size =
        ZSTD_decompressDCtx(d.get(), out.data(), out.size(), patch.data(), patch.size());
    if (ZSTD_isError(decompressed_size) != 0) {
        return failure(decompressed_size);
    }
    if (decompressed_size != out.size()) {
        return patch_error{"patch decompresses to fewer bytes than its content size"};
    }
    return out;
}

}  // namespace burdockdeck::patch
