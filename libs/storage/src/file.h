// File and descriptor helpers. sync_file, sync_folder and replace_file return success only after
// the data is on the disk; data from write_all is on the disk only after a sync.
#pragma once

#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>

#include "base/result.h"
#include "storage/store.h"

namespace burdockdeck::storage {

// An open file descriptor, closed at the end of its scope.
class descriptor {
public:
    explicit descriptor(int fd = -1) : fd_(fd) {}
    ~descriptor();
    descriptor(descriptor&& other) noexcept;
    descriptor& operator=(descriptor&& other) noexcept;
    descriptor(const descriptor&) = delete;
    descriptor& operator=(const descriptor&) = delete;

    [[nodiscard]] int get() const {
        return fd_;
    }

private:
    int fd_;
};

// An error for `file` with the failed `operation` and the text of `errno`.
[[nodiscard]] storage_error system_error(const std::filesystem::path& file,
                                         std::string_view operation);

[[nodiscard]] result<std::string, storage_error> read_file(const std::filesystem::path& file);
[[nodiscard]] result<nothing, storage_error> write_all(const descriptor& fd, std::string_view bytes,
                                                       const std::filesystem::path& file);
[[nodiscard]] result<nothing, storage_error> sync_file(const descriptor& fd,
                                                       const std::filesystem::path& file);
[[nodiscard]] result<nothing, storage_error> sync_folder(const std::filesystem::path& folder);
// Replaces `file` atomically: writes and syncs a temporary file, renames it to `file` and syncs the
// folder.
[[nodiscard]] result<nothing, storage_error> replace_file(const std::filesystem::path& file,
                                                          std::string_view bytes);

}  // namespace burdockdeck::storage
