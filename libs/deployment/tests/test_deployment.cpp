// Tests of route look-up and of the validation of a deployment.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>

#include "deployment/deployment.h"

using namespace burdockdeck;
using namespace burdockdeck::deployment;

namespace {

route route_to(std::string host, std::string prefix, std::vector<weighted_service> services) {
    route r;
    r.name = host + prefix;
    r.host = std::move(host);
    r.prefix = std::move(prefix);
    r.timeout = std::chrono::seconds(1);
    r.services = std::move(services);
    return r;
}

site sample() {
    site s;
    s.version = 3;
    s.services.push_back({"maps", "/health", 10, {}});
    s.services.push_back({"orders", "/health", 10, {}});
    s.routes.push_back(route_to("a.example", "/x/", {{"maps", 1}}));
    s.routes.push_back(route_to("a.example", "/x/y/", {{"orders", 1}}));
    s.routes.push_back(route_to("b.example", "/x/", {{"maps", 90}, {"orders", 10}}));
    return s;
}

// Reference implementation of `match`: all matching routes, sorted by length.
const route* reference_match(const site& s, const std::string& host, const std::string& path) {
    std::vector<const route*> all;
    for (const route& r : s.routes) {
        if (r.host == host && path.rfind(r.prefix, 0) == 0) {
            all.push_back(&r);
        }
    }
    std::stable_sort(all.begin(), all.end(), [](const route* a, const route* b) {
        return a->prefix.size() > b->prefix.size();
    });
    return all.empty() ? nullptr : all.front();
}

}  // namespace

TEST_CASE("the route with the longest matching prefix is chosen") {
    const site s = sample();
    CHECK(match(s, "a.example", "/x/y/z")->prefix == "/x/y/");
    CHECK(match(s, "A.Example:80", "/x/yy")->prefix == "/x/");
    CHECK(match(s, "a.example", "/x") == nullptr);
    CHECK(match(s, "c.example", "/x/") == nullptr);
    CHECK(match(s, "", "/x/") == nullptr);
}

TEST_CASE("matches on random routes equal those of the reference implementation") {
    const unsigned seed = 7;
    MESSAGE("seed " << seed);
    std::mt19937 rng(seed);
    const auto pick = [&](int n) { return std::uniform_int_distribution<int>(0, n - 1)(rng); };
    const auto path = [&] {
        std::string p = "/";
        for (int i = pick(4); i > 0; --i) {
            p += std::string(1, static_cast<char>('a' + pick(2))) + "/";
        }
        return p;
    };
    for (int round = 0; round < 300; ++round) {
        site s;
        s.services.push_back({"maps", "/", 1, {}});
        for (int i = 0; i < 8; ++i) {
            s.routes.push_back(route_to(pick(2) == 0 ? "a" : "b", path(), {{"maps", 1}}));
        }
        const std::string request_path = path() + "q";
        const route* expected = reference_match(s, "a", request_path);
        const route* actual = match(s, "a", request_path);
        REQUIRE((expected == nullptr) == (actual == nullptr));
        if (actual != nullptr) {
            CHECK(actual->prefix == expected->prefix);
        }
    }
}

TEST_CASE("services are chosen by weight") {
    const site s = sample();
    const route& split = s.routes[2];
    CHECK(service_of(split, 0.0) == "maps");
    CHECK(service_of(split, 0.899) == "maps");
    CHECK(service_of(split, 0.901) == "orders");
    CHECK(service_of(split, 0.999999) == "orders");
}

TEST_CASE("a service of weight 0 is never chosen") {
    const route r = route_to("h", "/", {{"maps", 0}, {"orders", 5}});
    CHECK(service_of(r, 0.0) == "orders");
}

TEST_CASE("invalid deployments are rejected") {
    CHECK(succeeded(check(sample())));
    site s = sample();
    SUBCASE("unknown service") {
        s.routes[0].services = {{"nobody", 1}};
    }
    SUBCASE("duplicate host and prefix") {
        s.routes[1].prefix = "/x/";
        s.routes[1].host = "A.EXAMPLE";
    }
    SUBCASE("all weights 0") {
        s.routes[2].services = {{"maps", 0}, {"orders", 0}};
    }
    SUBCASE("timeout of 0") {
        s.routes[0].timeout = duration::zero();
    }
    SUBCASE("prefix without slashes") {
        s.routes[0].prefix = "/x";
    }
    SUBCASE("duplicate service name") {
        s.services[1].name = "maps";
        s.routes[1].services = {{"maps", 1}};
        s.routes[2].services = {{"maps", 1}};
    }
    CHECK_FALSE(succeeded(check(s)));
}
