// Origins of streams: what is kept and for how long, and which hosts keep it.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include "resumption/origins.h"

using namespace burdockdeck;
using namespace burdockdeck::resumption;
using std::chrono::seconds;
using host_set = std::set<std::string, std::less<>>;

namespace {

const time_point start{seconds(100)};
const origin old_software{"sorter", "v1"};
const origin new_software{"sorter", "v2"};

host_set hosts_up_to(int count) {
    host_set out;
    for (int i = 0; i < count; ++i) {
        out.insert("10.0.0." + std::to_string(i));
    }
    return out;
}

}  // namespace

TEST_CASE("an origin is kept for as long as its stream may be resumed") {
    origin_table t;
    CHECK_FALSE(find_origin(t, "r1", start));
    record_origin(t, "r1", old_software, seconds(5), start);
    CHECK(find_origin(t, "r1", start) == old_software);
    CHECK(find_origin(t, "r1", start + seconds(4)) == old_software);
    CHECK_FALSE(find_origin(t, "r1", start + seconds(5)));
    CHECK_FALSE(find_origin(t, "r2", start));
    expire(t, start + seconds(5));
    CHECK(t.by_request.empty());
    CHECK(t.order.empty());
}

// Guards against streams joined from two versions because two callers use one id.
TEST_CASE("an id with two origins has none") {
    origin_table t;
    record_origin(t, "r1", old_software, seconds(5), start);
    record_origin(t, "r1", old_software, seconds(5), start + seconds(1));
    CHECK(find_origin(t, "r1", start + seconds(5)) == old_software);
    record_origin(t, "r1", new_software, seconds(5), start + seconds(2));
    CHECK_FALSE(find_origin(t, "r1", start + seconds(2)));
    record_origin(t, "r1", old_software, seconds(5), start + seconds(3));
    CHECK_FALSE(find_origin(t, "r1", start + seconds(3)));
}

TEST_CASE("the table takes bounded memory") {
    origin_table t;
    for (std::size_t i = 0; i < max_kept_origins + 10; ++i) {
        record_origin(t, "r" + std::to_string(i), old_software, seconds(3600), start);
    }
    CHECK(t.by_request.size() == max_kept_origins);
    CHECK(t.order.size() == max_kept_origins);
    CHECK_FALSE(find_origin(t, "r9", start));
    CHECK(find_origin(t, "r10", start) == old_software);
    CHECK_FALSE(find_origin(t, "r10", start + max_origin_ttl));
    record_origin(t, std::string(max_request_id_bytes + 1, 'x'), old_software, seconds(5), start);
    record_origin(t, "", old_software, seconds(5), start);
    CHECK(t.by_request.size() == max_kept_origins);
}

TEST_CASE("holders are spread over the hosts and change little with them") {
    const host_set hosts = hosts_up_to(9);
    host_set fewer = hosts;
    fewer.erase("10.0.0.3");
    std::map<std::string, int> first_held;
    for (int i = 0; i < 900; ++i) {
        const std::string request = "r" + std::to_string(i);
        const std::vector<std::string> three = holders_of(request, hosts, 3);
        REQUIRE(three.size() == 3);
        CHECK(host_set(three.begin(), three.end()).size() == 3);
        ++first_held[three.front()];
        const std::vector<std::string> six = holders_of(request, hosts, 6);
        CHECK(std::equal(three.begin(), three.end(), six.begin()));
        const std::vector<std::string> after = holders_of(request, fewer, 3);
        int common = 0;
        for (const std::string& host : after) {
            common += std::count(three.begin(), three.end(), host) > 0 ? 1 : 0;
        }
        CHECK(common >= 2);
    }
    for (const auto& [host, count] : first_held) {
        CHECK(count > 50);
    }
    CHECK(first_held.size() == 9);
    CHECK(holders_of("r", hosts_up_to(2), 3).size() == 2);
    CHECK(holders_of("r", {}, 3).empty());
}

TEST_CASE("the streams that a host was told of are returned once") {
    told_streams t;
    for (int i = 0; i < 5; ++i) {
        record_told(t, "r" + std::to_string(i), {"a", "b"}, seconds(10), start);
    }
    CHECK(take_told(t, "a", 2) == std::vector<std::string>{"r0", "r1"});
    CHECK(take_told(t, "a", 9) == std::vector<std::string>{"r2", "r3", "r4"});
    CHECK(take_told(t, "a", 9).empty());
    CHECK(t.by_host.size() == 1);
    CHECK(t.by_request.at("r0").hosts == host_set{"b"});
    record_told(t, "r0", {"c"}, seconds(5), start);
    CHECK(t.by_request.at("r0").hosts == host_set{"b", "c"});
    CHECK(t.by_request.at("r0").expires_at == start + seconds(10));
    CHECK(t.order.size() == 5);
}

// Guards against lists that grow with the number of hosts.
TEST_CASE("what hosts were told takes bounded memory and expires") {
    told_streams t;
    for (std::size_t i = 0; i < max_told_streams + 10; ++i) {
        record_told(t, "r" + std::to_string(i), {"a", "b", "c"}, seconds(3600), start);
    }
    CHECK(t.by_request.size() == max_told_streams);
    CHECK(t.order.size() == max_told_streams);
    CHECK(t.by_host["c"].size() == max_told_streams);
    CHECK_FALSE(t.by_request.contains("r9"));
    CHECK(t.by_request.contains("r10"));
    expire(t, start + max_origin_ttl);
    CHECK(t.by_request.empty());
    CHECK(t.order.empty());
    CHECK(t.by_host.empty());
}
