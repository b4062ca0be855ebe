// POSIX implementation of the file helpers.
#include "file.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

namespace burdockdeck::storage {

namespace {

constexpr mode_t private_file_mode = 0600;

}  // namespace

descriptor::~descriptor() {
    if (fd_ >= 0) {
        ::close(fd_);
    }
}

descriptor::descriptor(descriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}

descriptor& descriptor::operator=(descriptor&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
}

storage_error system_error(const std::filesystem::path& file, std::string_view operation) {
    return {file.string(), 0, std::string(operation) + ": " + std::strerror(errno)};
}

result<std::string, storage_error> read_file(const std::filesystem::path& file) {
    const descriptor fd(::open(file.c_str(), O_RDONLY | O_CLOEXEC));
    if (fd.get() < 0) {
        return system_error(file, "open for reading");
    }
    std::string bytes;
    std::array<char, 1 << 16> chunk{};
    while (true) {
        const ssize_t bytes_read = ::read(fd.get(), chunk.data(), chunk.size());
        if (bytes_read < 0 && errno == EINTR) {
            continue;
        }
        if (bytes_read < 0) {
            return system_error(file, "read");
        }
        if (bytes_read == 0) {
            return bytes;
        }
        bytes.append(chunk.data(), static_cast<std::size_t>(bytes_read));
    }
}

result<nothing, storage_error> write_all(const descriptor& fd, std::string_view bytes,
                                         const std::filesystem::path& file) {
    while (!bytes.empty()) {
        const ssize_t bytes_written = ::write(fd.get(), bytes.data(), bytes.size());
        if (bytes_written < 0 && errno == EINTR) {
            continue;
        }
        if (bytes_written < 0) {
            return system_error(file, "write");
        }
        bytes.remove_prefix(static_cast<std::size_t>(bytes_written));
    }
    return nothing{};
}

result<nothing, storage_error> sync_file(const descriptor& fd, const std::filesystem::path& file) {
    if (::fdatasync(fd.get()) != 0) {
        return system_error(file, "fdatasync");
    }
    return nothing{};
}

result<nothing, storage_error> sync_folder(const std::filesystem::path& folder) {
    const descriptor fd(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (fd.get() < 0) {
        return system_error(folder, "open folder");
    }
    if (::fsync(fd.get()) != 0) {
        return system_error(folder, "fsync folder");
    }
    return nothing{};
}

result<nothing, storage_error> replace_file(const std::filesystem::path& file,
                                            std::string_view bytes) {
    const std::filesystem::path temporary = file.string() + ".new";
    {
        const descriptor fd(
            ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, private_file_mode));
        if (fd.get() < 0) {
            return system_error(temporary, "create");
        }
        auto written = write_all(fd, bytes, temporary);
        if (!succeeded(written)) {
            return written;
        }
        auto synced = sync_file(fd, temporary);
        if (!succeeded(synced)) {
            return synced;
        }
    }
    if (::rename(temporary.c_str(), file.c_str()) != 0) {
        return system_error(file, "rename into place");
    }
    return sync_folder(file.parent_path());
}

}  // namespace burdockdeck::storage
