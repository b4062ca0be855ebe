// Tests of the questions for the load of engines that precede a choice.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <boost/asio/ip/udp.hpp>

#include "beacon_listener.h"
#include "fixture.h"
#include "load_questions.h"

using namespace burdockdeck;
using namespace burdockdeck::gateway;

namespace {

using asio::ip::udp;

dispatch::upstream engine(const std::string& id, const std::string& address) {
    dispatch::upstream u = make_upstream(id, address, "m");
    u.slots = 64;
    u.born_ms = 7;
    return u;
}

// Answers each question and subscription with one beacon, as a sidecar does.
class scripted_sidecar {
public:
    scripted_sidecar()
        : socket_(context_, udp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
          thread_([this] { serve(); }) {}
    scripted_sidecar(const scripted_sidecar&) = delete;
    scripted_sidecar& operator=(const scripted_sidecar&) = delete;
    ~scripted_sidecar() {
        stopping_ = true;
        udp::socket wake(context_, udp::v4());
        wake.send_to(asio::buffer("x", 1), socket_.local_endpoint());
        thread_.join();
    }
    [[nodiscard]] std::uint16_t port() const {
        return socket_.local_endpoint().port();
    }
    [[nodiscard]] int questions() const {
        return questions_;
    }

private:
    void serve() {
        std::array<char, 512> bytes{};
        udp::endpoint from;
        while (!stopping_) {
            const std::size_t size = socket_.receive_from(asio::buffer(bytes), from);
            schema::beacon_subscription question;
            if (!question.ParseFromArray(bytes.data(), static_cast<int>(size))) {
                continue;
            }
            questions_ += question.once() ? 1 : 0;
            schema::engine_beacon b;
            b.set_born_ms(7);
            b.set_running(3);
            b.set_average_reading_milli(250);
            b.add_models()->set_name("m");
            socket_.send_to(asio::buffer(b.SerializeAsString()), from);
        }
    }

    asio::io_context context_;
    udp::socket socket_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> questions_{0};
    std::thread thread_;
};

}  // namespace

TEST_CASE("questions and answers travel as datagrams") {
    const scripted_sidecar sidecar;
    gateway_settings settings;
    settings.listen = {"127.0.0.1", 0};
    settings.sidecar_port = sidecar.port();
    fixture f(deployment::repeatability::streaming, "m", settings);
    const scripted_upstream only(stream_with_pause(milliseconds(0)));
    run_on_traffic_loop(*f.c, [&] {
        schema::upstream_announcement a;
        a.set_id("only");
        a.set_born_ms(7);
        a.set_service("maps");
        a.set_software_version("v1");
        a.set_address(only.address());
        a.set_slots(64);
        a.add_models()->set_name("m");
        (void)apply_announcement(f.c->view, a, runtime::boot_now());
    });
    beacon_listener listener(*f.c);
    REQUIRE(listener.open().empty());
    CHECK(is_whole_stream(f.answer()));
    CHECK(sidecar.questions() >= 1);
    const dispatch::load_record load =
        run_on_traffic_loop(*f.c, [&] { return f.c->view.upstreams.at("only").load; });
    CHECK(load.running == 3);
    CHECK(load.average_reading == 0.25);
    f.c->traffic.stop();
}

// Guards against a choice by old loads: a gateway that has heard of no engine for long asks first.
TEST_CASE("a gateway asks the engines that could take a request, and follows their answers") {
    fixture f(deployment::repeatability::streaming, "m");
    const scripted_upstream idle(stream_with_pause(milliseconds(0)));
    const scripted_upstream busy(stream_with_pause(milliseconds(0)));
    f.add(engine("busy", busy.address()));
    f.add(engine("idle", idle.address()));
    std::set<std::string> asked;
    run_on_traffic_loop(*f.c, [&] {
        f.c->ask_for_load = [&](const std::string& address, bool once) {
            CHECK(once);
            asked.insert(address);
            const std::string id = address == busy.address() ? "busy" : "idle";
            f.c->traffic.post([&f, id] {
                dispatch::upstream& u = f.c->view.upstreams.at(id);
                dispatch::record_load(u, id == "busy" ? 9 : 0, 0, id == "busy" ? 40 : 0, 0,
                                      runtime::boot_now());
                record_load_answer(*f.c, id);
            });
        };
    });
    for (int i = 0; i < 5; ++i) {
        CHECK(is_whole_stream(f.answer()));
    }
    CHECK(asked.size() == 2);
    CHECK(idle.requests() == 5);
    run_on_traffic_loop(*f.c, [&] { f.c->ask_for_load = {}; });
}

// Guards against requests that wait for sidecars that are gone.
TEST_CASE("an answer that does not come delays a request by a few milliseconds") {
    fixture f(deployment::repeatability::streaming, "m");
    const scripted_upstream only(stream_with_pause(milliseconds(0)));
    f.add(engine("only", only.address()));
    run_on_traffic_loop(*f.c, [&] { f.c->ask_for_load = [](const std::string&, bool) {}; });
    CHECK(is_whole_stream(f.answer()));
    CHECK(run_on_traffic_loop(*f.c, [&] { return f.c->load_questions.empty(); }));
    CHECK(only.requests() == 1);
    run_on_traffic_loop(*f.c, [&] { f.c->ask_for_load = {}; });
}

TEST_CASE("engines with cached parts are asked first, then those not heard of for longest") {
    std::vector<dispatch::upstream> engines;
    for (int i = 0; i < 12; ++i) {
        engines.push_back(engine("e" + std::to_string(i), "10.0.0." + std::to_string(i) + ":80"));
        engines.back().load.at = time_point{} + std::chrono::seconds(100 - i);
    }
    dispatch::work w;
    w.model = "m";
    w.prompt_tokens = 300;
    w.parts = {{1, 200}, {2, 100}};
    dispatch::record_cached(engines[0], w, 10'000);
    std::vector<dispatch::upstream*> all;
    for (dispatch::upstream& u : engines) {
        all.push_back(&u);
    }
    dispatch::request_view v;
    v.needs = &w;
    v.service = "maps";
    const time_point now = time_point{} + std::chrono::seconds(200);
    const std::vector<std::string> asked = engines_to_ask(all, v, now);
    REQUIRE(asked.size() == 8);
    CHECK(asked.front() == "e0");
    CHECK(asked[1] == "e11");
    // A load that has just been heard is not asked for again.
    for (dispatch::upstream& u : engines) {
        u.load.at = now;
    }
    CHECK(engines_to_ask(all, v, now + milliseconds(10)).empty());
}
