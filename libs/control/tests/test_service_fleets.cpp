// The planner's view of a site: fleets from announcements, demand from reports, and what they cost
// at full size.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <ctime>

#include "service_fleets.h"

using namespace burdockdeck;
using namespace burdockdeck::control;
using std::chrono::milliseconds;

namespace {

const time_point start{std::chrono::seconds(100)};
constexpr duration max_silence = std::chrono::seconds(5);
const std::string service = "chat";

std::string model_name(std::size_t i) {
    return "m" + std::to_string(i);
}

deployment::service_spec service_with(std::size_t models) {
    deployment::service_spec s;
    s.name = service;
    s.engine.slots = 64;
    s.engine.weights_mb = 200'000;
    s.engine.max_adapters = 8;
    for (std::size_t i = 0; i < models; ++i) {
        deployment::model_spec m;
        m.name = model_name(i);
        m.weights_mb = 72'700;
        m.adapters = i == 0 ? 4 : 0;
        m.adapter_mb = 66;
        s.engine.models.push_back(m);
    }
    return s;
}

site_state make_site() {
    site_state site;
    (void)registry::set_services(site.upstreams, {service});
    return site;
}

schema::upstream_announcement engine_with(std::size_t i, const std::vector<std::string>& models,
                                          const std::vector<std::string>& on_disk = {}) {
    schema::upstream_announcement a;
    a.set_id("e" + std::to_string(i));
    a.set_service(service);
    a.set_address("10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1) + ":8500");
    a.set_born_ms(1);
    a.set_sequence(1);
    a.set_state(schema::announced_ready);
    for (const std::string& m : models) {
        a.add_models()->set_name(m);
    }
    a.mutable_on_disk()->Assign(on_disk.begin(), on_disk.end());
    return a;
}

rpc::demand_report report_of(const std::string& gateway, const std::string& model,
                             std::uint64_t tokens, std::uint32_t unplaced) {
    rpc::demand_report r;
    r.set_gateway(gateway);
    r.set_window_ms(1000);
    rpc::model_load& load = *r.add_models();
    load.set_model(model);
    load.set_long_prompts(true);
    load.set_arrivals(10);
    load.set_prompt_tokens(tokens);
    load.set_unplaced(unplaced);
    return r;
}

}  // namespace

TEST_CASE("engines and demand reach the planner as announced and reported") {
    site_state site = make_site();
    registry::merge(site.upstreams, engine_with(0, {"m0", "m1"}), start);
    registry::merge(site.upstreams, engine_with(1, {"m0"}), start - max_silence);
    site.demand["g"] = {report_of("g", "m2", 76'000, 1), start};
    update_demand(site, start);
    const service_fleets f = fleets_of(site, service_with(3), max_silence, start);
    REQUIRE(f.all.engines.size() == 2);
    CHECK(f.all.engines[0].accepting);
    CHECK_FALSE(f.all.engines[1].accepting);
    CHECK(f.all.engines[0].weights_capacity_mb == 200'000 - 8 * 66);
    // Half of the prompt tokens are expected in the cache: 38,000 tokens at 38 in a millisecond.
    CHECK(f.all.demand.at("m2").engines == doctest::Approx(1.0));
    CHECK(f.all.demand.at("m2").unplaced);
    CHECK_FALSE(f.all.demand.at("m1").unplaced);
}

TEST_CASE("before demand is known, copies show it, and after a loss of power those on disks") {
    site_state site = make_site();
    registry::merge(site.upstreams, engine_with(0, {"m0"}, {"m2"}), start);
    registry::merge(site.upstreams, engine_with(1, {}, {"m1"}), start);
    registry::merge(site.upstreams, engine_with(2, {"m0"}), start);
    const service_fleets f = fleets_of(site, service_with(3), max_silence, start);
    CHECK(f.all.demand.at("m0").engines == doctest::Approx(2 * f.all.demand.at("m1").engines));
    CHECK(f.all.demand.at("m1").engines > 0);
    CHECK(f.all.demand.at("m2").engines == 0);
}

// Guards against engines of other writers that the planner counts on.
TEST_CASE("only engines whose id and address are theirs reach the planner") {
    site_state site = make_site();
    registry::merge(site.upstreams, engine_with(0, {"m0"}), start);
    schema::upstream_announcement foreign = engine_with(0, {"m1"});
    foreign.set_id("x");
    foreign.set_born_ms(9);
    foreign.set_service("archive");
    registry::merge(site.upstreams, foreign, start);
    schema::upstream_announcement successor = engine_with(1, {"m2"});
    registry::merge(site.upstreams, successor, start);
    successor.set_id("successor");
    successor.set_born_ms(2);
    registry::merge(site.upstreams, successor, start);
    const service_fleets f = fleets_of(site, service_with(3), max_silence, start);
    REQUIRE(f.all.engines.size() == 2);
    CHECK(f.all.engines[0].id == "e0");
    CHECK(f.all.engines[1].id == "successor");
}

// Guards against rounds that hold the leader's loop.
TEST_CASE("reading 180 engines and 312 models takes a small part of a planning round") {
    constexpr std::size_t engines = 180;
    constexpr std::size_t models = 312;
    site_state site = make_site();
    for (std::size_t i = 0; i < engines; ++i) {
        std::vector<std::string> on_disk;
        for (std::size_t k = 0; k < 7; ++k) {
            on_disk.push_back(model_name((7 * i + k) % models));
        }
        registry::merge(site.upstreams,
                        engine_with(i, {model_name(i), model_name((i + 132) % models)}, on_disk),
                        start);
    }
    const deployment::service_spec full_size = service_with(models);
    constexpr int rounds = 10;
    const std::clock_t before = std::clock();
    for (int i = 0; i < rounds; ++i) {
        update_demand(site, start);
        (void)fleets_of(site, full_size, max_silence, start);
    }
    const double ms = 1000.0 * static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC / rounds;
    MESSAGE("takes " << ms << " ms of processor time");
    // Control may use 4.3% of a core, and plans each 250 ms; half is left for the search.
    CHECK(ms < 250 * 0.043 / 2);
}
