// Streams while upstreams of two software versions serve: a stream holds events from one version
// only, within one answer and when its caller takes it up at another gateway.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <map>

#include "faulty_upstream.h"
#include "request_state.h"
#include "runtime/clock.h"
#include "runtime/rpc.h"
#include "services.grpc.pb.h"
#include "stream_origin.h"

using namespace burdockdeck;
using namespace burdockdeck::gateway::testing;
using deployment::repeatability;

namespace {

// A stream without a length: its events, which end with the connection.
std::string stream_of(int first, int last) {
    std::string out =
        "HTTP/1.1 200 OK\r\nId: $ID\r\nSignature: s\r\nContent-Type: text/event-stream\r\n\r\n";
    for (int id = first; id <= last; ++id) {
        out += "id: " + std::to_string(id) + "\ndata: x" + std::to_string(id) + "\n\n";
    }
    return out;
}

// The same, broken off inside an event.
std::string torn_stream_of(int first, int last) {
    return stream_of(first, last) + "id: ";
}

// Sets the software versions of the upstreams, in the order of their ports, and the list that
// control told.
void set_software(gateway_under_test& g, const std::vector<std::uint16_t>& ports,
                  const std::vector<std::string>& versions, const dispatch::software_set& listed) {
    g.run([&](gateway::core& c) {
        c.view.software.versions["orders"] = listed;
        for (std::size_t i = 0; i < ports.size(); ++i) {
            c.view.upstreams.at("u" + std::to_string(ports[i])).software_version = versions[i];
        }
    });
}

// Sidecars by host, without a network.
struct sidecars {
    std::map<std::string, resumption::origin_table> by_host;
    // Hosts that do not answer.
    std::set<std::string> silent;
    std::size_t told = 0;
    std::size_t asked = 0;

    void connect(gateway_under_test& g, const std::vector<std::string>& hosts) {
        g.run([&](gateway::core& c) {
            for (const std::string& host : hosts) {
                dispatch::upstream u;
                u.id = "engine at " + host;
                u.service = "other";
                u.address = host + ":80";
                u.models["m"] = {};
                c.view.upstreams.emplace(u.id, u);
                c.view.ids_by_ip[host].insert(u.id);
            }
            c.send_to_sidecar = [this, &c](const std::string& ip,
                                           const schema::beacon_subscription& m) {
                const time_point now = runtime::boot_now();
                if (m.has_begun()) {
                    ++told;
                    resumption::record_origin(by_host[ip], m.begun().request(),
                                              {m.begun().service(), m.begun().software_version()},
                                              std::chrono::milliseconds(m.begun().ttl_ms()), now);
                }
                if (m.has_question() && !silent.contains(ip)) {
                    ++asked;
                    schema::stream_answer a;
                    a.set_number(m.question().number());
                    if (const auto known =
                            resumption::find_origin(by_host[ip], m.question().request(), now)) {
                        a.set_software_version(known->software_version);
                    }
                    c.traffic.post([&c, a] { gateway::record_origin_answer(c, a); });
                }
            };
        });
    }
};

// A control instance that leads and answers reads of the list.
class leader : public rpc::control::CallbackService {
public:
    explicit leader(const dispatch::software_set& versions) : versions_(versions) {
        access_ = value(runtime::rpc_access::create({}));
        server_ =
            value(runtime::start_server("127.0.0.1:" + std::to_string(port), access_, {this}));
    }
    void connect(gateway_under_test& g) {
        g.run([&](gateway::core& c) {
            c.leader = rpc::control::NewStub(
                runtime::open_channel("127.0.0.1:" + std::to_string(port), c.access));
        });
    }
    grpc::ServerUnaryReactor* read_software(grpc::CallbackServerContext* context,
                                            const rpc::read_software_request*,
                                            rpc::read_software_reply* reply) override {
        reply->set_confirmed(confirmed);
        reply->mutable_software()->set_revision(7);
        for (const std::string& v : versions_) {
            (*reply->mutable_software()->mutable_services())["orders"].add_versions(v);
        }
        auto* reactor = context->DefaultReactor();
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

    static constexpr int port = 47391;
    bool confirmed = true;

private:
    dispatch::software_set versions_;
    runtime::rpc_access access_;
    std::unique_ptr<grpc::Server> server_;
};

bool is_served(const std::string& answer, int first, int last) {
    return answer.starts_with("HTTP/1.1 200") &&
           answer.find("data: x" + std::to_string(first) + "\n") != std::string::npos &&
           answer.find("data: x" + std::to_string(last) + "\n") != std::string::npos &&
           answer.ends_with("0\r\n\r\n");
}

// The engine at `host` begins to leave, or starts again.
void set_staying(gateway_under_test& g, const std::string& host, bool staying) {
    g.run([&](gateway::core& c) {
        dispatch::upstream& u = c.view.upstreams.at("engine at " + host);
        u.accepting = staying;
        u.withdrawn_at = runtime::boot_now();
    });
}

std::size_t holders_of_origin(sidecars& s, gateway_under_test& g, const std::string& request) {
    std::size_t count = 0;
    g.run([&](gateway::core&) {
        for (const auto& [host, origins] : s.by_host) {
            count += resumption::find_origin(origins, request, runtime::boot_now()) ? 1U : 0U;
        }
    });
    return count;
}

const std::string after_two = "Resumes: r1\r\nLast-Event: 2\r\n";

}  // namespace

// Guards against an answer joined from two software versions: an upstream of the new version went
// on with a stream that one of the old version had begun.
TEST_CASE("a stream that breaks off does not go on at another software version") {
    for (int round = 0; round < 10; ++round) {
        const scripted_upstreams upstreams(
            2, {{torn_stream_of(0, 2), ending::close}, {stream_of(3, 4), ending::close}});
        gateway_under_test g(upstreams.ports(), repeatability::streaming);
        set_software(g, upstreams.ports(), {"v1", "v2"}, {"v1", "v2"});
        const std::string answer = g.call("r1");
        INFO(answer);
        CHECK(answer.find("data: x2\n") != std::string::npos);
        CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
        CHECK(upstreams.received().size() == 1);
    }
}

TEST_CASE("a stream that breaks off goes on at an upstream of its software version") {
    for (int round = 0; round < 10; ++round) {
        const scripted_upstreams upstreams(
            4, {{torn_stream_of(0, 2), ending::close}, {stream_of(3, 4), ending::close}});
        gateway_under_test g(upstreams.ports(), repeatability::streaming);
        set_software(g, upstreams.ports(), {"v1", "v2", "v1", "v2"}, {"v1", "v2"});
        CHECK(is_served(g.call("r1"), 0, 4));
        const auto received = upstreams.received();
        REQUIRE(received.size() == 2);
        CHECK(received[0].upstream % 2 == received[1].upstream % 2);
    }
}

// Guards against streams at a version that a gateway which starts later would not know of.
TEST_CASE("no stream begins at a software version that control has not recorded") {
    const scripted_upstreams upstreams(2, {{stream_of(0, 4), ending::close}});
    gateway_under_test g(upstreams.ports(), repeatability::streaming);
    set_software(g, upstreams.ports(), {"v1", "v2"}, {"v2"});
    CHECK(is_served(g.call("r1"), 0, 4));
    REQUIRE(upstreams.received().size() == 1);
    CHECK(upstreams.received()[0].upstream == 1);
}

TEST_CASE("calls go to any software version") {
    const scripted_upstreams upstreams(
        1, {{"HTTP/1.1 200 OK\r\nId: $ID\r\nSignature: s\r\nContent-Length: 4\r\n\r\ndone"}});
    gateway_under_test g(upstreams.ports(), repeatability::idempotent);
    set_software(g, upstreams.ports(), {"v2"}, {"v1"});
    CHECK(g.call("r1").ends_with("done"));
}

// Guards against the report of joined streams after a loss of all gateways: the one that takes the
// stream up has no memory of it.
TEST_CASE("a stream that is taken up goes on at the software version that began it") {
    const std::vector<std::string> hosts{"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"};
    for (int round = 0; round < 10; ++round) {
        const scripted_upstreams first(1, {{torn_stream_of(0, 2), ending::close}});
        const scripted_upstreams second(2, {{stream_of(3, 4), ending::close}});
        sidecars s;
        gateway_under_test g1(first.ports(), repeatability::streaming);
        s.connect(g1, hosts);
        set_software(g1, first.ports(), {"v1"}, {"v1", "v2"});
        gateway_under_test g2(second.ports(), repeatability::streaming);
        s.connect(g2, hosts);
        set_software(g2, second.ports(), {"v2", "v1"}, {"v1", "v2"});
        CHECK_FALSE(g1.call("r1").ends_with("0\r\n\r\n"));
        CHECK(s.told == 3);
        CHECK(is_served(g2.call("r2", "body", after_two), 3, 4));
        REQUIRE(second.received().size() == 1);
        CHECK(second.received()[0].upstream == 1);
        CHECK(second.received()[0].last_event_id == "2");
        // A further attempt would name the first one again.
        CHECK(s.told == 3);
    }
}

// Guards against streams of a version that is being replaced whose origins leave with the hosts of
// its upstreams.
TEST_CASE("the origin of a stream outlives the hosts that were told of it") {
    const std::vector<std::string> old_hosts{"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"};
    const std::vector<std::string> new_hosts{"10.0.1.1", "10.0.1.2", "10.0.1.3", "10.0.1.4"};
    for (int round = 0; round < 20; ++round) {
        const bool at_once = round % 2 == 0;
        const std::string id = "r" + std::to_string(round);
        INFO(id);
        const scripted_upstreams first(1, {{torn_stream_of(0, 2), ending::close}});
        const scripted_upstreams second(1, {{stream_of(3, 4), ending::close}});
        sidecars s;
        gateway_under_test g1(first.ports(), repeatability::streaming);
        s.connect(g1, old_hosts);
        set_software(g1, first.ports(), {"v1"}, {"v1", "v2"});
        (void)g1.call(id);
        CHECK(s.told == 3);
        // Others start, then all of these end.
        s.connect(g1, new_hosts);
        for (const std::string& host : old_hosts) {
            set_staying(g1, host, false);
            if (!at_once || host == old_hosts.back()) {
                g1.run([](gateway::core& c) { gateway::move_origins(c, runtime::boot_now()); });
            }
        }
        g1.run([&](gateway::core&) {
            for (const std::string& host : old_hosts) {
                s.by_host.erase(host);
                s.silent.insert(host);
            }
        });
        CHECK(holders_of_origin(s, g1, id) == 3);
        CHECK(s.told == 6);
        // A gateway that starts now has not heard of the hosts that left.
        gateway_under_test g2(second.ports(), repeatability::streaming);
        s.connect(g2, new_hosts);
        set_software(g2, second.ports(), {"v1"}, {"v1", "v2"});
        CHECK(
            is_served(g2.call("t" + id, "body", "Resumes: " + id + "\r\nLast-Event: 2\r\n"), 3, 4));
    }
}

TEST_CASE("origins move from hosts that were told while no other stayed") {
    const scripted_upstreams upstreams(1, {{torn_stream_of(0, 2), ending::close}});
    sidecars s;
    gateway_under_test g(upstreams.ports(), repeatability::streaming);
    s.connect(g, {"10.0.0.1", "10.0.0.2"});
    set_software(g, upstreams.ports(), {"v1"}, {"v1", "v2"});
    set_staying(g, "10.0.0.1", false);
    set_staying(g, "10.0.0.2", false);
    (void)g.call("r1");
    CHECK(s.told == 2);
    g.run([](gateway::core& c) { gateway::move_origins(c, runtime::boot_now()); });
    CHECK(s.told == 2);
    s.connect(g, {"10.0.1.1"});
    g.run([](gateway::core& c) { gateway::move_origins(c, runtime::boot_now()); });
    CHECK(holders_of_origin(s, g, "r1") == 3);
}

TEST_CASE("a limited number of origins moves at a time, and none that proves nothing") {
    gateway_under_test g({1}, repeatability::streaming);
    sidecars s;
    s.connect(g, {"10.0.0.1", "10.0.0.2"});
    const time_point now = runtime::boot_now();
    g.run([&](gateway::core& c) {
        for (int i = 0; i < 100; ++i) {
            const std::string id = "r" + std::to_string(i);
            resumption::record_origin(c.origins, id, {"orders", "v1"}, std::chrono::seconds(9),
                                      now);
            resumption::record_told(c.origins_told, id, {"10.0.0.1"}, std::chrono::seconds(9), now);
        }
        resumption::record_origin(c.origins, "r0", {"orders", "v2"}, std::chrono::seconds(9), now);
    });
    set_staying(g, "10.0.0.1", false);
    g.run([&](gateway::core& c) {
        gateway::move_origins(c, now);
        CHECK(s.told == 63);
        gateway::move_origins(c, now);
        CHECK(s.told == 99);
        gateway::move_origins(c, now);
        CHECK(s.told == 99);
        CHECK_FALSE(c.origins_told.by_host.contains("10.0.0.1"));
        CHECK_FALSE(resumption::find_origin(s.by_host["10.0.0.2"], "r0", now));
        CHECK(resumption::find_origin(s.by_host["10.0.0.2"], "r99", now));
    });
}

TEST_CASE("hosts that leave are not told of streams while others stay") {
    const std::vector<std::string> hosts{"10.0.0.1", "10.0.0.2", "10.0.0.3",
                                         "10.0.0.4", "10.0.0.5", "10.0.0.6"};
    const scripted_upstreams upstreams(
        1, {{torn_stream_of(0, 2), ending::close}, {torn_stream_of(0, 2), ending::close}});
    sidecars s;
    gateway_under_test g(upstreams.ports(), repeatability::streaming);
    s.connect(g, hosts);
    set_software(g, upstreams.ports(), {"v1"}, {"v1", "v2"});
    g.run([&](gateway::core& c) {
        c.view.upstreams.at("engine at 10.0.0.1").leaving = true;
        c.view.upstreams.at("engine at 10.0.0.2").leaves_at = runtime::boot_now();
        c.view.upstreams.at("engine at 10.0.0.3").accepting = false;
        c.view.upstreams.at("engine at 10.0.0.3").withdrawn_at = runtime::boot_now();
    });
    (void)g.call("r1");
    CHECK(s.told == 3);
    for (const char* host : {"10.0.0.4", "10.0.0.5", "10.0.0.6"}) {
        CHECK(resumption::find_origin(s.by_host[host], "r1", runtime::boot_now()));
    }
    g.run([&](gateway::core& c) { c.view.upstreams.at("engine at 10.0.0.4").leaving = true; });
    (void)g.call("r2");
    CHECK(s.told == 6);
    for (const char* host : {"10.0.0.5", "10.0.0.6"}) {
        CHECK(resumption::find_origin(s.by_host[host], "r2", runtime::boot_now()));
    }
}

TEST_CASE("the gateway that began a stream needs nobody to take it up") {
    const scripted_upstreams upstreams(4, {{torn_stream_of(0, 2), ending::close},
                                           {torn_stream_of(3, 3), ending::close},
                                           {stream_of(4, 4), ending::close}});
    gateway_under_test g(upstreams.ports(), repeatability::streaming);
    set_software(g, upstreams.ports(), {"v1", "v2", "v1", "v2"}, {"v1", "v2"});
    (void)g.call("r1");
    REQUIRE(upstreams.received().size() == 2);
    const std::string answer = g.call("r2", "body", "Resumes: r1\r\nLast-Event: 3\r\n");
    CHECK(is_served(answer, 4, 4));
    CHECK(upstreams.received()[2].upstream % 2 == upstreams.received()[0].upstream % 2);
}

TEST_CASE("a stream of unknown origin is refused at once while two versions serve") {
    const scripted_upstreams upstreams(2, {{stream_of(3, 4), ending::close}});
    sidecars s;
    gateway_under_test g(upstreams.ports(), repeatability::streaming);
    s.connect(g, {"10.0.0.1", "10.0.0.2"});
    set_software(g, upstreams.ports(), {"v1", "v2"}, {"v1", "v2"});
    const time_point began = runtime::boot_now();
    CHECK(g.call("r2", "body", after_two).starts_with("HTTP/1.1 503"));
    CHECK(runtime::boot_now() - began < std::chrono::milliseconds(500));
    CHECK(s.asked == 2);
    CHECK(g.call("r3", "body", "Last-Event: 2\r\n").starts_with("HTTP/1.1 503"));
    CHECK(upstreams.received().empty());
    // Neither has a sidecar that does not answer a say.
    s.silent = {"10.0.0.1", "10.0.0.2"};
    CHECK(g.call("r4", "body", after_two).starts_with("HTTP/1.1 503"));
    CHECK(upstreams.received().empty());
}

TEST_CASE("a stream of unknown origin goes on while control lists one version") {
    leader l({"v1"});
    const scripted_upstreams upstreams(1, {{stream_of(3, 4), ending::close}});
    gateway_under_test g(upstreams.ports(), repeatability::streaming);
    l.connect(g);
    CHECK(is_served(g.call("r2", "body", after_two), 3, 4));
}

// Guards against a gateway that has just started, or was cut off, and takes what it sees for all
// that ever served.
TEST_CASE("a gateway's own list of one version proves nothing") {
    leader l({"v1", "v2"});
    const scripted_upstreams upstreams(1, {{stream_of(3, 4), ending::close}});
    gateway_under_test g(upstreams.ports(), repeatability::streaming);
    CHECK(g.call("r2", "body", after_two).starts_with("HTTP/1.1 503"));
    l.connect(g);
    CHECK(g.call("r3", "body", after_two).starts_with("HTTP/1.1 503"));
    g.run([](gateway::core& c) { CHECK(c.view.software.versions["orders"].size() == 2); });
    CHECK(upstreams.received().empty());
}

TEST_CASE("control that cannot confirm its list proves nothing") {
    leader l({"v1"});
    l.confirmed = false;
    const scripted_upstreams upstreams(1, {{stream_of(3, 4), ending::close}});
    gateway_under_test g(upstreams.ports(), repeatability::streaming);
    l.connect(g);
    CHECK(g.call("r2", "body", after_two).starts_with("HTTP/1.1 503"));
    CHECK(upstreams.received().empty());
}

// Guards against a gateway that has missed the deployment which made the route resumable.
TEST_CASE("a stream that is taken up where its route is not resumable yet is not joined") {
    const scripted_upstreams upstreams(2, {{stream_of(3, 4), ending::close}});
    gateway_under_test g(upstreams.ports(), repeatability::streaming);
    g.run([](gateway::core& c) { c.view.current.routes.front().resumable = false; });
    set_software(g, upstreams.ports(), {"v2", "v1"}, {"v1", "v2"});
    CHECK(g.call("r2", "body", after_two).starts_with("HTTP/1.1 503"));
    CHECK(upstreams.received().empty());
    // With its origin known it goes on.
    g.run([](gateway::core& c) {
        resumption::record_origin(c.origins, "r1", {"orders", "v1"}, std::chrono::seconds(10),
                                  runtime::boot_now());
    });
    CHECK(g.call("r3", "body", after_two).starts_with("HTTP/1.1 200"));
    REQUIRE(upstreams.received().size() == 1);
    CHECK(upstreams.received()[0].upstream == 1);
}

// Guards against a request that is held for a version that does not come back.
TEST_CASE("a stream whose software version has left is refused at once") {
    const scripted_upstreams upstreams(2, {{stream_of(3, 4), ending::close}});
    sidecars s;
    gateway_under_test g(upstreams.ports(), repeatability::streaming);
    s.connect(g, {"10.0.0.1"});
    set_software(g, upstreams.ports(), {"v2", "v1"}, {"v1", "v2"});
    resumption::record_origin(s.by_host["10.0.0.1"], "r1", {"orders", "v1"},
                              std::chrono::seconds(10), runtime::boot_now());
    g.run([&](gateway::core& c) {
        c.view.upstreams.at("u" + std::to_string(upstreams.ports()[1])).accepting = false;
    });
    const time_point began = runtime::boot_now();
    CHECK(g.call("r2", "body", after_two).starts_with("HTTP/1.1 503"));
    CHECK(runtime::boot_now() - began < std::chrono::milliseconds(500));
    CHECK(upstreams.received().empty());
}

// Guards against a stream that goes on at another service of its route, and against refusals there.
TEST_CASE("a stream of a split route goes on at its service") {
    const scripted_upstreams upstreams(2, {});
    gateway_under_test g(upstreams.ports(), repeatability::streaming);
    g.run([](gateway::core& c) {
        deployment::route r = c.view.current.routes.front();
        r.services = {{"orders", 1}, {"others", 1}};
        std::map<std::string, int> drawn;
        for (int i = 0; i < 400; ++i) {
            gateway::request_state first;
            first.facts.id = "r" + std::to_string(i);
            gateway::request_state second;
            second.facts.id = "s" + std::to_string(i);
            second.facts.resumes = first.facts.id;
            const std::string service = deployment::service_of(r, gateway::draw_for(c, first));
            CHECK(service == deployment::service_of(r, gateway::draw_for(c, second)));
            ++drawn[service];
        }
        CHECK(drawn["orders"] > 150);
        CHECK(drawn["others"] > 150);
    });
}

// Guards against events of one start of an upstream that count as those of another.
TEST_CASE("a connection to an earlier start of an upstream is not used") {
    const std::string kept =
        "HTTP/1.1 200 OK\r\nId: $ID\r\nSignature: s\r\nContent-Length: 4\r\n\r\ndone";
    const scripted_upstreams upstreams(1, {{kept}, {kept}, {kept}});
    gateway_under_test g(upstreams.ports(), repeatability::idempotent);
    const std::string id = "u" + std::to_string(upstreams.ports()[0]);
    const auto idle = [&] {
        std::size_t count = 0;
        g.run([&](gateway::core& c) { count = c.pools[id].idle.size(); });
        return count;
    };
    CHECK(g.call("r1").ends_with("done"));
    CHECK(idle() == 1);
    g.run([&](gateway::core& c) {
        CHECK(gateway::take_idle(c.pools[id], 7, false, runtime::boot_now()) == nullptr);
    });
    CHECK(idle() == 0);
    CHECK(g.call("r2").ends_with("done"));
    CHECK(idle() == 1);
    // An attempt whose upstream starts again while it connects is not sent there.
    g.run([&](gateway::core& c) { c.pools.clear(); });
    g.run_during_connect([&](gateway::core& c) { c.view.upstreams.at(id).born_ms = 9; });
    CHECK(g.call("r3").ends_with("done"));
    g.run([&](gateway::core& c) { CHECK(c.pools[id].idle.front()->born_ms == 9); });
}
