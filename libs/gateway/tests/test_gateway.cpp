// Tests of a gateway's parts that need no network: events, announcements, beacons, headers,
// draining.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <random>

#include "beacon_listener.h"
#include "drain.h"
#include "event_splitter.h"
#include "exchange.h"
#include "site_view.h"
#include "upstream_notices.h"

using namespace burdockdeck;
using namespace burdockdeck::gateway;

namespace {

const time_point now{std::chrono::seconds(10)};

void deploy(site_view& v, const std::vector<std::string>& services) {
    v.current.services.clear();
    for (const std::string& name : services) {
        v.current.services.emplace_back();
        v.current.services.back().name = name;
    }
    (void)apply_services(v, now);
}

// A view of a site whose deployment has these services.
site_view make_view(const std::vector<std::string>& services) {
    site_view v;
    deploy(v, services);
    return v;
}

bool accepts(const site_view& v, const std::string& id, const std::string& service = "maps") {
    const auto found = v.upstreams.find(id);
    return found != v.upstreams.end() && found->second.accepting &&
           found->second.service == service;
}

schema::upstream_announcement make_announcement(
    std::uint64_t born, std::uint64_t sequence,
    schema::announced_state state = schema::announced_ready) {
    schema::upstream_announcement a;
    a.set_id("u");
    a.set_born_ms(born);
    a.set_sequence(sequence);
    a.set_service("maps");
    a.set_address("10.0.0.1:80");
    a.set_slots(4);
    a.set_state(state);
    a.add_models()->set_name("m");
    return a;
}

}  // namespace

TEST_CASE("a deployment counts as the newest only for a limited time after its confirmation") {
    site_view v = make_view({"maps"});
    const time_point now{std::chrono::seconds(100)};
    v.confirmed_at = now;
    CHECK_FALSE(has_newest_deployment(v, now));
    v.current.version = 4;
    CHECK(has_newest_deployment(v, now));
    CHECK(has_newest_deployment(v, now + confirmation_validity));
    CHECK_FALSE(
        has_newest_deployment(v, now + confirmation_validity + std::chrono::milliseconds(1)));
}

// Guards against a 404 for an added route while its deployment is still being fetched.
TEST_CASE("a deployment is not the newest once an instance has reported a newer version") {
    site_view v = make_view({"maps"});
    v.current.version = 4;
    v.confirmed_at = now;
    v.newest_reported_version = 4;
    CHECK(has_newest_deployment(v, now));
    v.newest_reported_version = 5;
    CHECK_FALSE(has_newest_deployment(v, now));
}

TEST_CASE("events are extracted complete however the stream is split") {
    const std::string stream =
        "id: 1\ndata: a\n\nweights: 3\nid: 2\ndata: b\n\nid:3\r\ndata: c\r\n\r\ndata: no id\n\n";
    const unsigned seed = 17;
    MESSAGE("seed " << seed);
    std::mt19937 rng(seed);
    for (int round = 0; round < 200; ++round) {
        event_splitter s;
        std::string out;
        std::size_t at = 0;
        while (at < stream.size()) {
            const std::size_t n = std::uniform_int_distribution<std::size_t>(1, 9)(rng);
            const std::string piece = stream.substr(at, n);
            at += piece.size();
            out += extract_events(s, piece);
            CHECK(stream.compare(0, out.size(), out) == 0);
        }
        CHECK(out == stream);
        CHECK(s.events == 4);
        CHECK(s.last_id == 3);
        CHECK(s.pending.empty());
    }
}

TEST_CASE("an incomplete event is neither forwarded nor counted") {
    event_splitter s;
    CHECK(extract_events(s, "id: 7\ndata: a\n\nid: 8\ndata: hal") == "id: 7\ndata: a\n\n");
    CHECK(s.last_id == 7);
    CHECK(s.pending == "id: 8\ndata: hal");
}

TEST_CASE("an announcement received through several instances is applied once") {
    site_view v = make_view({"maps"});
    CHECK(apply_announcement(v, make_announcement(5, 2), now));
    CHECK_FALSE(apply_announcement(v, make_announcement(5, 2), now));
    CHECK_FALSE(apply_announcement(v, make_announcement(5, 1), now));
    CHECK(apply_announcement(v, make_announcement(5, 3, schema::announced_draining), now));
    CHECK_FALSE(v.upstreams.at("u").accepting);
    CHECK_FALSE(apply_announcement(v, make_announcement(4, 9), now));
}

// Guards against gateways that keep every incarnation of an upstream because control has forgotten
// the earlier ones.
TEST_CASE("a new incarnation withdraws the earlier ones at its address") {
    site_view v = make_view({"maps"});
    const auto announce = [&](const std::string& id, std::uint64_t born,
                              const std::string& address) {
        schema::upstream_announcement a = make_announcement(born, 1);
        a.set_id(id);
        a.set_address(address);
        (void)apply_announcement(v, a, now);
        return accepts(v, id);
    };
    CHECK(announce("a", 5, "10.0.0.9:80"));
    CHECK(announce("other port", 5, "10.0.0.9:81"));
    CHECK(announce("b", 6, "10.0.0.9:80"));
    CHECK_FALSE(v.upstreams.at("a").accepting);
    CHECK(v.upstreams.at("other port").accepting);
    // A late announcement of an earlier one, and one with the same start time.
    CHECK_FALSE(announce("c", 4, "10.0.0.9:80"));
    CHECK_FALSE(announce("d", 6, "10.0.0.9:80"));
    CHECK(v.upstreams.at("b").accepting);
}

// Guards against an entry of another writer that takes a sound upstream's address or id.
TEST_CASE("an announcement of a service that is not deployed withdraws no upstream") {
    site_view v = make_view({"maps"});
    CHECK(apply_announcement(v, make_announcement(5, 1), now));
    for (const std::string id : {"u", "other"}) {
        schema::upstream_announcement a = make_announcement(9, 7);
        a.set_id(id);
        a.set_service("archive");
        CHECK_FALSE(apply_announcement(v, a, now));
        a.set_state(schema::announced_draining);
        CHECK_FALSE(apply_announcement(v, a, now));
        CHECK(accepts(v, "u"));
    }
    CHECK_FALSE(apply_announcement(v, make_announcement(5, 1), now));
    CHECK(v.upstreams.size() == 1);
}

// Control and gateways learn of a deployment at different times.
TEST_CASE("upstreams are used once the deployment names their service") {
    site_view v;
    schema::upstream_announcement foreign = make_announcement(9, 1);
    foreign.set_id("foreign");
    foreign.set_service("archive");
    schema::upstream_announcement later = make_announcement(7, 1);
    later.set_id("later");
    later.set_service("mail");
    later.set_address("10.0.0.2:80");
    (void)apply_announcement(v, foreign, now);
    (void)apply_announcement(v, make_announcement(5, 1), now);
    (void)apply_announcement(v, later, now);
    deploy(v, {"maps"});
    CHECK(accepts(v, "u"));
    CHECK_FALSE(accepts(v, "later", "mail"));
    deploy(v, {"maps", "mail"});
    CHECK(accepts(v, "later", "mail"));
    // Requests that run at an upstream of a service that is taken out go on.
    v.upstreams.at("later").in_flight = 2;
    deploy(v, {"maps"});
    CHECK(accepts(v, "later", "mail"));
    deploy(v, {"maps", "mail"});
    CHECK(accepts(v, "later", "mail"));
    CHECK(v.upstreams.at("later").in_flight == 2);
    CHECK(v.upstreams.size() == 2);
}

TEST_CASE("an upstream that went on to announce itself is used again when its address is free") {
    site_view v = make_view({"maps", "mail"});
    CHECK(apply_announcement(v, make_announcement(5, 1), now));
    schema::upstream_announcement other = make_announcement(6, 1);
    other.set_id("other");
    other.set_service("mail");
    CHECK(apply_announcement(v, other, now));
    CHECK_FALSE(accepts(v, "u"));
    CHECK(accepts(v, "other", "mail"));
    deploy(v, {"maps"});
    CHECK_FALSE(accepts(v, "u"));
    CHECK(apply_announcement(v, make_announcement(5, 2), now));
    CHECK(accepts(v, "u"));
}

TEST_CASE("a restart under the same id resets the cached prefixes and the health of an upstream") {
    site_view v = make_view({"maps"});
    (void)apply_announcement(v, make_announcement(5, 2), now);
    dispatch::upstream& u = v.upstreams.at("u");
    dispatch::work w;
    w.model = "m";
    w.prompt_tokens = 100;
    w.parts = {{1, 50}, {2, 50}};
    record_cached(u, w, 1000);
    u.health.errors = 1;
    u.in_flight = 3;
    (void)apply_announcement(v, make_announcement(6, 1), now);
    CHECK(v.upstreams.at("u").cached.tokens == 0);
    CHECK(v.upstreams.at("u").health.errors == 0);
    // Requests sent to the previous incarnation are still in flight and end one by one.
    CHECK(v.upstreams.at("u").in_flight == 3);
}

TEST_CASE("a model's adapters are kept by later announcements of that model") {
    site_view v = make_view({"maps"});
    (void)apply_announcement(v, make_announcement(5, 1), now);
    v.upstreams.at("u").models.at("m").adapters["a1"] = now + std::chrono::seconds(1);
    (void)apply_announcement(v, make_announcement(5, 2), now);
    CHECK(v.upstreams.at("u").models.at("m").adapters.contains("a1"));
    schema::upstream_announcement without_models = make_announcement(5, 3);
    without_models.clear_models();
    (void)apply_announcement(v, without_models, now);
    (void)apply_announcement(v, make_announcement(5, 4), now);
    CHECK(v.upstreams.at("u").models.at("m").adapters.empty());
}

TEST_CASE("hop-by-hop headers are recognised") {
    CHECK(is_hop_header("connection", ""));
    CHECK(is_hop_header("Transfer-Encoding", ""));
    CHECK(is_hop_header("X-Private", "close, x-private"));
    CHECK_FALSE(is_hop_header("X-Other", "close, x-private"));
    CHECK_FALSE(is_hop_header("Content-Type", "close"));
}

TEST_CASE("header names are compared case-insensitively") {
    const header_list headers{{"Host", "a"}, {"x-id", "1"}, {"X-Id", "2"}};
    CHECK(find_header(headers, "X-ID") == "1");
    CHECK(find_header(headers, "absent").empty());
    CHECK_FALSE(equals_ignore_case("ab", "abc"));
}

TEST_CASE("a draining gateway accepts only requests that end within the grace time") {
    const duration grace = std::chrono::seconds(8);
    const duration second = std::chrono::seconds(1);
    const duration timeout = 2 * second;
    // A stream of 292 tokens took 6.4 s at an engine with long prompts and was aborted at the end
    // of the grace time.
    CHECK(may_outlast_drain(second, grace, 292, timeout));
    CHECK_FALSE(may_outlast_drain(second, grace, 52, timeout));
    CHECK_FALSE(may_outlast_drain(second, grace, 0, timeout));
    CHECK(may_outlast_drain(3 * second, grace, 0, timeout));
    // A call that may take all of its long timeout ends after the grace time.
    CHECK(may_outlast_drain(second, grace, 0, 6 * second));
}

TEST_CASE("a beacon applies only to the incarnation at its address") {
    site_view v = make_view({"maps"});
    (void)apply_announcement(v, make_announcement(5, 1), now);
    schema::engine_beacon b;
    b.set_born_ms(4);
    b.set_running(7);
    CHECK_FALSE(apply_beacon(v, "10.0.0.1", b, now));
    CHECK(v.upstreams.at("u").load.running == 0);
    b.set_born_ms(5);
    CHECK(apply_beacon(v, "10.0.0.1", b, now));
    CHECK(v.upstreams.at("u").load.running == 7);
    CHECK(v.upstreams.at("u").models.empty());
    CHECK_FALSE(apply_beacon(v, "10.0.0.2", b, now));
}

TEST_CASE("a gateway reports each leaving upstream until control has withdrawn it") {
    site_view v = make_view({"maps"});
    (void)apply_announcement(v, make_announcement(5, 7), now);
    schema::engine_beacon b;
    b.set_born_ms(5);
    b.set_leaving(true);
    (void)apply_beacon(v, "10.0.0.1", b, now);
    CHECK(v.upstreams.at("u").leaving);
    // A later announcement of the same incarnation does not end it.
    (void)apply_announcement(v, make_announcement(5, 8), now);
    CHECK(v.upstreams.at("u").leaving);
    rpc::demand_report report;
    add_leaving(report, v);
    REQUIRE(report.leaving_size() == 1);
    CHECK(report.leaving(0).id() == "u");
    CHECK(report.leaving(0).born_ms() == 5);
    CHECK(apply_announcement(v, make_announcement(5, 7, schema::announced_draining), now));
    CHECK_FALSE(v.upstreams.at("u").accepting);
    report.Clear();
    add_leaving(report, v);
    CHECK(report.leaving_size() == 0);
    // The restarted upstream is sound.
    CHECK(apply_announcement(v, make_announcement(6, 1), now));
    CHECK_FALSE(v.upstreams.at("u").leaving);
    CHECK(v.upstreams.at("u").accepting);
}

// Guards against a withdrawal undone by an announcement that was sent before it.
TEST_CASE("an upstream that was withdrawn stays so until it restarts") {
    site_view v = make_view({"maps"});
    (void)apply_announcement(v, make_announcement(5, 7), now);
    CHECK(apply_announcement(v, make_announcement(5, 6, schema::announced_draining), now));
    CHECK_FALSE(v.upstreams.at("u").accepting);
    (void)apply_announcement(v, make_announcement(5, 8), now);
    CHECK_FALSE(v.upstreams.at("u").accepting);
    CHECK_FALSE(apply_announcement(v, make_announcement(4, 9, schema::announced_draining), now));
    CHECK(apply_announcement(v, make_announcement(6, 1), now));
    CHECK(v.upstreams.at("u").accepting);
}

// Pattern: nearly all prompts are short; a division would put them on a quarter of the engines.
TEST_CASE("engines are divided by prompt length only if most tokens are in long prompts") {
    site_view v = make_view({"maps"});
    v.current.services.back().engine.slots = 64;
    for (int i = 0; i < 8; ++i) {
        schema::upstream_announcement a = make_announcement(5, 1);
        a.set_id("u" + std::to_string(i));
        a.set_address("10.0.0." + std::to_string(i) + ":80");
        a.set_service("maps");
        (void)apply_announcement(v, a, now);
    }
    dispatch::role_settings s;
    s.short_share = 0.25;
    const auto count = [&](dispatch::engine_role role) {
        return std::count_if(v.upstreams.begin(), v.upstreams.end(),
                             [&](const auto& item) { return item.second.role == role; });
    };
    assign_roles(v, s);
    CHECK(count(dispatch::engine_role::any) == 8);
    // One prompt in thirty is just above the limit.
    for (int i = 1; i <= 300; ++i) {
        record_prompt(v, "maps", i % 30 == 0 ? 2200 : 540, s);
    }
    CHECK(count(dispatch::engine_role::any) == 8);
    // Short and long prompts, half of each.
    for (int i = 0; i < 300; ++i) {
        record_prompt(v, "maps", i % 2 == 0 ? 9190 : 826, s);
        if (i > 150) {
            CHECK(count(dispatch::engine_role::any) == 0);
        }
    }
    CHECK(count(dispatch::engine_role::short_prompts) == 2);
    CHECK(count(dispatch::engine_role::long_prompts) == 6);
    // A restarted engine gets its role again.
    schema::upstream_announcement restarted = make_announcement(6, 1);
    restarted.set_id("u0");
    restarted.set_address("10.0.0.0:80");
    restarted.set_service("maps");
    (void)apply_announcement(v, restarted, now);
    assign_roles(v, s);
    CHECK(count(dispatch::engine_role::any) == 0);
}

TEST_CASE("an engine's load becomes stale when its beacons stop") {
    site_view v = make_view({"maps"});
    (void)apply_announcement(v, make_announcement(5, 1), now);
    dispatch::upstream& u = v.upstreams.at("u");
    CHECK_FALSE(dispatch::load_is_stale(u, now));
    dispatch::record_load(u, 0, 1, 3, 0, now);
    // An engine that was not asked owes no answer.
    CHECK_FALSE(dispatch::load_is_stale(u, now + std::chrono::milliseconds(1000)));
    dispatch::record_load_asked(u, now);
    dispatch::record_load_asked(u, now + std::chrono::milliseconds(500));
    CHECK_FALSE(dispatch::load_is_stale(u, now + std::chrono::milliseconds(600)));
    CHECK(dispatch::load_is_stale(u, now + std::chrono::milliseconds(1000)));
    // The load from an old beacon is no longer used.
    CHECK(dispatch::running_at(u, now + std::chrono::milliseconds(600)) == u.in_flight);
}
