// The log lines of begun answers that end before they are complete.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "fixture.h"
#include "runtime/log.h"

using namespace burdockdeck;
using namespace burdockdeck::gateway;

namespace {

// The log of this process, opened on the first call; it is deleted at the end.
class log_file {
public:
    log_file()
        : path_(std::filesystem::temp_directory_path() /
                ("answer_cut." + std::to_string(::getpid()) + ".log")) {
        runtime::log_options options;
        options.file = path_.string();
        REQUIRE(!runtime::open_log("test", options));
    }
    log_file(const log_file&) = delete;
    log_file& operator=(const log_file&) = delete;
    ~log_file() {
        std::error_code ignored;
        std::filesystem::remove(path_, ignored);
    }
    // The lines of `answer_cut` written since the last call. The line follows the end of the
    // answer, so it may have to be waited for.
    std::string new_cuts() {
        std::string found;
        for (int i = 0; i < 100 && found.empty(); ++i) {
            std::this_thread::sleep_for(milliseconds(10));
            std::ifstream in(path_);
            in.seekg(static_cast<std::streamoff>(read_));
            std::string line;
            while (std::getline(in, line)) {
                read_ += line.size() + 1;
                found += line.find("event=answer_cut") == std::string::npos ? "" : line + "\n";
            }
        }
        return found;
    }

private:
    std::filesystem::path path_;
    std::size_t read_ = 0;
};

log_file& test_log() {
    static log_file log;
    return log;
}

bool contains(const std::string& text, std::string_view part) {
    return text.find(part) != std::string::npos;
}

std::vector<piece> stream_that_breaks() {
    return {{milliseconds(0), stream_head + chunk(event(1)) + chunk(event(2))}};
}

}  // namespace

// Guards against a cut answer whose log line does not say who ended it.
TEST_CASE("an answer that its upstream breaks off is logged with the reasons why none followed") {
    test_log();
    const scripted_upstream broken(stream_that_breaks());
    fixture f(deployment::repeatability::streaming, "m");
    f.add(make_upstream("u1", broken.address(), "m"));
    CHECK(!is_whole_stream(f.answer()));
    const std::string line = test_log().new_cuts();
    CAPTURE(line);
    CHECK(contains(line, "begun=yes cause=upstream_closed"));
    CHECK(contains(line, "version=1 version_in_force=1 since_stop_ms=none"));
    CHECK(contains(line, "sends=1 attempt_limit=2 repeatable=yes retry_allowed=yes"));
    CHECK(contains(line, "upstreams=tried:1"));
}

// Guards against a cut at the deadline that is logged as a failure of the upstream.
TEST_CASE("an answer that ends at its deadline is logged as such") {
    test_log();
    const scripted_upstream endless({{milliseconds(0), stream_head + chunk(event(1))},
                                     {milliseconds(300), chunk(event(2))},
                                     {milliseconds(300), chunk(event(3))},
                                     {milliseconds(300), chunk(event(4)) + "0\r\n\r\n"}});
    fixture f(deployment::repeatability::streaming, "m");
    run_on_traffic_loop(*f.c,
                        [&] { f.c->view.current.routes.front().timeout = milliseconds(500); });
    f.add(make_upstream("u1", endless.address(), "m"));
    CHECK(!is_whole_stream(f.answer()));
    CHECK(contains(test_log().new_cuts(), "begun=yes cause=deadline"));
}

// Guards against a silent end of the requests that are open when the process exits.
TEST_CASE("requests that are open at the end of the grace time are logged") {
    test_log();
    const scripted_upstream slow(stream_with_pause(milliseconds(600)));
    fixture f(deployment::repeatability::streaming, "m");
    f.add(make_upstream("u1", slow.address(), "m"));
    CHECK(is_whole_stream(f.answer([&] {
        std::this_thread::sleep_for(milliseconds(300));
        run_on_traffic_loop(*f.c, [&] { log_open_requests(*f.c, runtime::boot_now()); });
    })));
    CHECK(contains(test_log().new_cuts(), "begun=yes cause=grace_ended"));
}
