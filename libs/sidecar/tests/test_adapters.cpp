// Counting of adapter slots, and the choice of the adapter to evict.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "adapters.h"

using namespace burdockdeck;
using namespace burdockdeck::sidecar;

namespace {

const time_point now{std::chrono::seconds(100)};
const duration lease = std::chrono::seconds(4);

engine_report report_with(const std::set<std::string>& adapters) {
    engine_report r;
    r.models["m"] = adapters;
    return r;
}

}  // namespace

TEST_CASE("adapters being loaded use a slot, and each adapter is counted once") {
    engine_report r = report_with({"a1", "a2"});
    r.incoming = {{"m", "a2"}, {"m", "a3"}};
    CHECK(adapter_slots_used(r) == 3);
    CHECK(is_present(r, {"m", "a1"}));
    CHECK_FALSE(is_present(r, {"m", "a2"}));
    CHECK(is_incoming(r, {"m", "a3"}));
}

TEST_CASE("the least recently requested adapter is evicted first") {
    const engine_report r = report_with({"a1", "a2", "a3"});
    adapter_leases l;
    l.last_requested[{"m", "a1"}] = now - std::chrono::seconds(10);
    l.last_requested[{"m", "a2"}] = now - std::chrono::seconds(20);
    l.last_requested[{"m", "a3"}] = now;
    CHECK(eviction_candidate(r, l, lease, now) == adapter_name{"m", "a2"});
}

TEST_CASE("an adapter never requested from this process is evicted before all others") {
    adapter_leases l;
    l.last_requested[{"m", "a1"}] = now - std::chrono::seconds(10);
    CHECK(eviction_candidate(report_with({"a1", "a2"}), l, lease, now) == adapter_name{"m", "a2"});
}

TEST_CASE("a leased adapter is never evicted") {
    adapter_leases l;
    l.last_requested[{"m", "a1"}] = now - std::chrono::seconds(3);
    CHECK_FALSE(eviction_candidate(report_with({"a1"}), l, lease, now));
}
