// Tests of which adapter makes room for another.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "adapters.h"

using namespace burdockdeck;
using namespace burdockdeck::sidecar;

namespace {

const time_point now{std::chrono::seconds(100)};
const duration lease = std::chrono::seconds(4);

engine_report holding(const std::set<std::string>& adapters) {
    engine_report r;
    r.models["m"] = adapters;
    return r;
}

}  // namespace

TEST_CASE("adapters on their way take places, and none twice") {
    engine_report r = holding({"a1", "a2"});
    r.incoming = {{"m", "a2"}, {"m", "a3"}};
    CHECK(places_taken(r) == 3);
    CHECK(is_present(r, {"m", "a1"}));
    CHECK_FALSE(is_present(r, {"m", "a2"}));
    CHECK(is_incoming(r, {"m", "a3"}));
}

TEST_CASE("the least recently asked for goes first") {
    const engine_report r = holding({"a1", "a2", "a3"});
    adapter_leases l;
    l.asked[{"m", "a1"}] = now - std::chrono::seconds(10);
    l.asked[{"m", "a2"}] = now - std::chrono::seconds(20);
    l.asked[{"m", "a3"}] = now;
    CHECK(to_unload(r, l, lease, now) == adapter_name{"m", "a2"});
}

TEST_CASE("an adapter that nobody asked this process for goes before all others") {
    adapter_leases l;
    l.asked[{"m", "a1"}] = now - std::chrono::seconds(10);
    CHECK(to_unload(holding({"a1", "a2"}), l, lease, now) == adapter_name{"m", "a2"});
}

TEST_CASE("a leased adapter never goes") {
    adapter_leases l;
    l.asked[{"m", "a1"}] = now - std::chrono::seconds(3);
    CHECK_FALSE(to_unload(holding({"a1"}), l, lease, now));
}
