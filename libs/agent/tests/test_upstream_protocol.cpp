// Validation of upstream messages, and classification of order results: an order whose outcome is
// not known must not count as done or refused.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <random>

#include "upstream_protocol.h"

using namespace burdockdeck;
using namespace burdockdeck::agent;

namespace {

const std::string good_announcement =
    R"({"kind":"engine","address":"127.0.0.1:9000","memory_mb":100,"slots":4,"refuses_old_fences":true})";

result<runtime::http_response, runtime::http_error> answered(unsigned status) {
    runtime::http_response r;
    r.status = status;
    return r;
}

}  // namespace

TEST_CASE("announcements with missing or invalid fields are refused") {
    const auto parsed = parse_announcement(good_announcement);
    REQUIRE(succeeded(parsed));
    CHECK(value(parsed).memory_mb == 100);
    CHECK(value(parsed).refuses_old_fences);
    for (const char* bad :
         {"", "[]", "{}", R"({"kind":"engine"})",
          R"({"kind":"engine","address":"host:1","memory_mb":1,"slots":1})",
          R"({"kind":"engine","address":"127.0.0.1:1","memory_mb":0,"slots":1})",
          R"({"kind":"service","address":"127.0.0.1:1","slots":1})",
          R"({"kind":"engine","address":"127.0.0.1:1","memory_mb":-4,"slots":1})"}) {
        CAPTURE(bad);
        CHECK(!succeeded(parse_announcement(bad)));
    }
}

TEST_CASE("an order counts as done or refused only after a definite answer or if it was not sent") {
    CHECK(classify_order(answered(200)) == order_result::done);
    CHECK(classify_order(answered(409)) == order_result::refused);
    CHECK(classify_order(answered(500)) == order_result::unanswered);
    CHECK(classify_order(answered(503)) == order_result::unanswered);
    CHECK(classify_order(runtime::http_error{true, "connect"}) == order_result::refused);
    CHECK(classify_order(runtime::http_error{false, "cut"}) == order_result::unanswered);
}

TEST_CASE("a resumed request carries the number of events to continue after") {
    rpc::run_request run;
    run.set_kind(rpc::work_completion);
    run.set_attempt("a1");
    CHECK(work_request(run, "t", false, 5).header("X-Resume-From").empty());
    CHECK(work_request(run, "t", true, 5).header("X-Resume-From") == "5");
    CHECK(work_request(run, "t", true, 5).header("X-Request-Id") == "a1");
}

TEST_CASE("corrupted announcements and inventories are refused or give values in range") {
    const unsigned seed = 21;
    MESSAGE("seed " << seed);
    std::mt19937 rng(seed);
    const std::string inventory =
        R"({"models":[{"model":"m","version":"1","memory_mb":5,"loading":false}]})";
    for (int round = 0; round < 20000; ++round) {
        for (const std::string& good : {good_announcement, inventory}) {
            std::string body = good;
            for (unsigned i = 0; i < 1 + rng() % 5; ++i) {
                body[rng() % body.size()] = static_cast<char>(rng());
            }
            const auto announced = parse_announcement(body);
            if (succeeded(announced)) {
                CHECK(value(announced).slots > 0);
                CHECK(value(announced).address.port > 0);
            }
            (void)parse_inventory(body);
        }
    }
}
