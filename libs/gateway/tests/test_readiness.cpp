// When a gateway says that it is ready.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <future>
#include <thread>

#include "core.h"
#include "readiness.h"
#include "runtime/http.h"

using namespace burdockdeck;
using namespace burdockdeck::gateway;
using std::chrono::milliseconds;

namespace {

std::unique_ptr<core> make_core() {
    const gateway_settings settings;
    auto access = runtime::rpc_access::create(settings.access);
    REQUIRE(succeeded(access));
    return std::make_unique<core>(settings, caller_protocol{}, value(access));
}

bool is_ready_now(const core& c) {
    return is_ready(c, std::chrono::steady_clock::now());
}

// True once `is_ready_now(c)` equals `expected`, or false after `limit`.
bool becomes(const core& c, bool expected, milliseconds limit) {
    const auto until = std::chrono::steady_clock::now() + limit;
    while (is_ready_now(c) != expected && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(milliseconds(10));
    }
    return is_ready_now(c) == expected;
}

}  // namespace

// Guards against a gateway that says that it is ready while its traffic loop hangs.
TEST_CASE("a gateway whose traffic loop hangs is not ready until it runs again") {
    const auto c = make_core();
    runtime::spawn(c->traffic, [&c] { return record_traffic_progress(*c); });
    CHECK_FALSE(is_ready_now(*c));
    c->ready = true;
    CHECK(becomes(*c, true, milliseconds(1000)));
    std::promise<void> resume;
    c->traffic.post([&resume] { resume.get_future().wait(); });
    CHECK(becomes(*c, false, max_traffic_stall + milliseconds(1000)));
    resume.set_value();
    CHECK(becomes(*c, true, milliseconds(1000)));
    c->draining = true;
    CHECK_FALSE(is_ready_now(*c));
}
