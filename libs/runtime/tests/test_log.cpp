// A process goes on at full speed while nobody reads its log, and says afterwards what is missing.
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

// A named pipe that this process reads itself.
struct log_pipe {
    std::string folder;
    std::string path;
    int reading = -1;

    log_pipe() {
        std::string name = "/tmp/burdockdeck-log-XXXXXX";
        REQUIRE(::mkdtemp(name.data()) != nullptr);
        folder = name;
        path = folder + "/log";
        REQUIRE(::mkfifo(path.c_str(), 0600) == 0);
        reading = ::open(path.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
        REQUIRE(reading >= 0);
    }
    log_pipe(const log_pipe&) = delete;
    log_pipe& operator=(const log_pipe&) = delete;
    ~log_pipe() {
        ::close(reading);
        ::unlink(path.c_str());
        ::rmdir(folder.c_str());
    }
    [[nodiscard]] std::string read_all() const {
        std::string out;
        std::string piece(65536, '\0');
        for (ssize_t n = 0; (n = ::read(reading, piece.data(), piece.size())) > 0;) {
            out.append(piece, 0, static_cast<std::size_t>(n));
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

TEST_CASE("A reader that stalls blocks nobody, and the gap is told") {
    const log_pipe pipe;
    // A budget far above what the pipe holds, so that only the pipe limits.
    constexpr std::uint64_t plenty = 1'000'000'000;
    REQUIRE_FALSE(open_log("test", {pipe.path, false, plenty}).has_value());
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
    // Nobody reads meanwhile: a writer that waited would not come back.
    writer.join();
    CHECK(done == lines);
    const std::string kept = pipe.read_all();
    const std::size_t kept_lines = count_of(kept, "event=request_ended");
    CHECK(kept_lines > 0);
    CHECK(kept_lines < lines);
    CHECK(kept.back() == '\n');

    // The report comes with a later line, at most once a second.
    const time_point until = boot_now() + std::chrono::seconds(10);
    std::string later;
    while (count_of(later, "event=lines_dropped") == 0 && boot_now() < until) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        log_event(severity::info, event::started, {{"name", "b"}});
        later += pipe.read_all();
    }
    const std::string told =
        "event=lines_dropped of=request_ended count=" + std::to_string(lines - kept_lines);
    CHECK(count_of(later, told) == 1);
}
