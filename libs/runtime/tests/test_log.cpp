// A log reader that stalls must not block the process: lines are dropped, and their number is
// logged later.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <atomic>
#include <cstdlib>
#include <string>
#include <thread>

#include "runtime/clock.h"
#include "runtime/log.h"

using namespace burdockdeck;
using namespace burdockdeck::runtime;

namespace {

// A named pipe as the log file; the test reads it.
struct log_pipe {
    std::string folder;
    std::string path;
    int read_end = -1;

    log_pipe() {
        std::string name = "/tmp/burdockdeck-log-XXXXXX";
        REQUIRE(::mkdtemp(name.data()) != nullptr);
        folder = name;
        path = folder + "/log";
        REQUIRE(::mkfifo(path.c_str(), 0600) == 0);
        read_end = ::open(path.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
        REQUIRE(read_end >= 0);
    }
    log_pipe(const log_pipe&) = delete;
    log_pipe& operator=(const log_pipe&) = delete;
    ~log_pipe() {
        ::close(read_end);
        ::unlink(path.c_str());
        ::rmdir(folder.c_str());
    }
    [[nodiscard]] std::string read_all() const {
        std::string out;
        std::string buffer(65536, '\0');
        for (ssize_t n = 0; (n = ::read(read_end, buffer.data(), buffer.size())) > 0;) {
            out.append(buffer, 0, static_cast<std::size_t>(n));
        }
        return out;
    }
};

std::size_t count_of(const std::string& text, const std::string& what) {
    std::size_t n = 0;
    for (std::size_t at = text.find(what); at != std::string::npos; at = text.find(what, at + 1)) {
        ++n;
    }
    return n;
}

}  // namespace

TEST_CASE("a stalled reader does not block the writer, and dropped lines are reported") {
    const log_pipe pipe;
    // A budget far above the pipe's capacity, so that only the pipe limits the lines.
    constexpr std::uint64_t large_budget = 1'000'000'000;
    REQUIRE_FALSE(open_log("test", {pipe.path, false, large_budget}).has_value());
    log_event(severity::info, event::started, {{"name", "a"}});
    CHECK(count_of(pipe.read_all(), "event=started name=a") == 1);

    constexpr int lines = 5000;
    std::atomic<int> done{0};
    std::thread writer([&] {
        for (int i = 0; i < lines; ++i) {
            log_event(severity::info, event::request_ended, {{"request", std::to_string(i)}});
            ++done;
        }
    });
    // Nothing reads the pipe meanwhile: a blocking write would never return.
    writer.join();
    CHECK(done == lines);
    const std::string written = pipe.read_all();
    const std::size_t written_lines = count_of(written, "event=request_ended");
    CHECK(written_lines > 0);
    CHECK(written_lines < lines);
    CHECK(written.back() == '\n');

    // Dropped lines are reported before a later line, at most once a second.
    const time_point deadline = boot_now() + std::chrono::seconds(10);
    std::string later;
    while (count_of(later, "event=lines_dropped") == 0 && boot_now() < deadline) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        log_event(severity::info, event::started, {{"name", "b"}});
        later += pipe.read_all();
    }
    const std::string report =
        "event=lines_dropped of=request_ended count=" + std::to_string(lines - written_lines);
    CHECK(count_of(later, report) == 1);
}
