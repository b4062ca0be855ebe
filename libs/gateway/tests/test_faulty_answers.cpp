// Tests with upstreams whose answers are repeated, cut off or no answers to the request. Callers
// must not be told that a request has not run unless its own answer says so, and must never receive
// an incomplete answer framed as complete.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <array>
#include <cstdio>

#include "faulty_upstream.h"

using namespace burdockdeck;
using namespace burdockdeck::gateway::testing;
using deployment::repeatability;
using std::chrono::milliseconds;

namespace {

const std::string served_call =
    "HTTP/1.1 200 OK\r\nId: $ID\r\nSignature: s\r\nContent-Length: 4\r\n\r\ndone";
const std::string refusal_without_id =
    "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

std::string refusal_of(const std::string& id) {
    return "HTTP/1.1 503 Full\r\nId: " + id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
}

// Head of an event stream; `framing` is a header line, or empty if the stream ends with its
// connection.
std::string stream_head(const std::string& framing) {
    return "HTTP/1.1 200 OK\r\nId: $ID\r\nSignature: s\r\nContent-Type: text/event-stream\r\n" +
           framing + "\r\n";
}

std::string event_with_id(int id) {
    return "id: " + std::to_string(id) + "\ndata: x" + std::to_string(id) + "\n\n";
}

std::string events_with_ids(int first, int last) {
    std::string out;
    for (int id = first; id <= last; ++id) {
        out += event_with_id(id);
    }
    return out;
}

std::string chunk_of(const std::string& bytes) {
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return size.data() + bytes + "\r\n";
}

const std::string last_chunk = "0\r\n\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n";

// The decoded body of a chunked answer; `complete` is true if its last chunk arrived.
struct caller_stream {
    std::string events;
    bool complete = false;
    bool well_formed = true;
};

caller_stream stream_in(const std::string& answer) {
    caller_stream out;
    std::size_t at = answer.find("\r\n\r\n");
    out.well_formed = at != std::string::npos && answer.find(chunked) < at;
    at += 4;
    while (out.well_formed && at < answer.size()) {
        const std::size_t line_end = answer.find("\r\n", at);
        const bool is_size = line_end != std::string::npos && line_end > at &&
                             answer.find_first_not_of("0123456789abcdef", at) == line_end;
        if (!is_size) {
            out.well_formed = false;
            break;
        }
        const std::size_t size = std::stoul(answer.substr(at, line_end - at), nullptr, 16);
        out.events += answer.substr(line_end + 2, size);
        at = line_end + 2 + size + 2;
        if (size == 0) {
            out.complete = true;
            out.well_formed = at == answer.size();
            break;
        }
    }
    return out;
}

// A stream whose first upstream sends three events and breaks off, then gets `second` as the answer
// to its second attempt; a third attempt serves the rest.
caller_stream resume_after(const std::string& second, ending end = ending::close) {
    const std::string begun = stream_head(chunked) + chunk_of(events_with_ids(0, 2));
    const std::string rest = stream_head(chunked) + chunk_of(events_with_ids(3, 4)) + last_chunk;
    const scripted_upstreams upstreams(3, {{begun, ending::close}, {second, end}, {rest}});
    gateway_under_test g(upstreams.ports(), repeatability::streaming);
    const std::string answer = g.call("r1");
    INFO(answer);
    const std::vector<received_request> received = upstreams.received();
    REQUIRE(received.size() >= 2);
    CHECK(received[1].last_event_id == "2");
    return stream_in(answer);
}

// Checks that the caller's stream is that of the first and the third upstream only.
void check_unaffected(const std::string& second, ending end = ending::close) {
    INFO(second);
    const caller_stream s = resume_after(second, end);
    CHECK(s.well_formed);
    CHECK(s.complete);
    CHECK(s.events == events_with_ids(0, 4));
}

unsigned status_of(const std::string& answer) {
    return answer.size() < 12 ? 0 : static_cast<unsigned>(std::stoul(answer.substr(9, 3)));
}

}  // namespace

// Guards against a 503 for a request that an upstream runs: an earlier refusal that the upstream
// writes once more on a kept connection says nothing about the next request.
TEST_CASE("a repeated refusal is not taken for the answer to the next request") {
    for (const std::string& repeated : {refusal_without_id, refusal_of("r1")}) {
        const scripted_upstreams upstreams(1, {{served_call}, {repeated + served_call}});
        gateway_under_test g(upstreams.ports(), repeatability::non_idempotent);
        REQUIRE(status_of(g.call("r1")) == 200);
        const std::string answer = g.call("r2");
        CHECK_MESSAGE(status_of(answer) == 200, answer);
    }
}

// Guards against a second send of a request that must not run twice, after a refusal that does not
// carry the request's id.
TEST_CASE("a refusal without the request's id does not permit a second send") {
    const scripted_upstreams upstreams(2, {{refusal_without_id, ending::close}, {served_call}});
    gateway_under_test g(upstreams.ports(), repeatability::non_idempotent);
    const std::string answer = g.call("r1");
    CHECK_MESSAGE(status_of(answer) == 502, answer);
    CHECK(upstreams.received().size() == 1);
}

TEST_CASE("a refusal with the request's id permits a second send") {
    const scripted_upstreams upstreams(2, {{refusal_of("$ID")}, {served_call}});
    gateway_under_test g(upstreams.ports(), repeatability::non_idempotent);
    const std::string answer = g.call("r1");
    CHECK_MESSAGE(status_of(answer) == 200, answer);
    CHECK(upstreams.received().size() == 2);
}

TEST_CASE("a refusal that waits on a kept connection closes that connection") {
    const scripted_upstreams upstreams(
        1, {{served_call, ending::keep, refusal_of("$ID"), milliseconds(20)}, {served_call}});
    gateway_under_test g(upstreams.ports(), repeatability::non_idempotent);
    REQUIRE(status_of(g.call("r1")) == 200);
    std::this_thread::sleep_for(milliseconds(100));
    const std::string answer = g.call("r2");
    CHECK_MESSAGE(status_of(answer) == 200, answer);
}

// Guards against an error's text or head in the middle of a begun stream, and against a stream that
// ends as complete there.
TEST_CASE("no answer but a signed event stream continues a stream") {
    const std::string signed_head = "Id: $ID\r\nSignature: s\r\n";
    const std::string event_stream = "Content-Type: text/event-stream\r\n";
    check_unaffected("HTTP/1.1 500 Error\r\n" + signed_head + "Content-Length: 4\r\n\r\noops");
    check_unaffected("HTTP/1.1 404 No\r\n" + signed_head + "Content-Length: 4\r\n\r\noops");
    check_unaffected("HTTP/1.1 500 Error\r\n" + signed_head + event_stream +
                     "Content-Length: 10\r\n\r\ndata: e\n\n\n");
    check_unaffected(refusal_of("$ID"));
    check_unaffected("HTTP/1.1 200 OK\r\n" + signed_head + "Content-Length: 4\r\n\r\noops");
    check_unaffected("HTTP/1.1 200 OK\r\n" + signed_head +
                     "Content-Type: application/json\r\nContent-Length: 0\r\n\r\n");
    check_unaffected("HTTP/1.1 204 None\r\n" + signed_head + "\r\n");
    check_unaffected("HTTP/1.1 200 OK\r\nId: $ID\r\n" + event_stream + chunked + "\r\n" +
                     chunk_of(events_with_ids(3, 4)) + last_chunk);
    check_unaffected("HTTP/1.1 200 OK\r\n" + signed_head + event_stream + "Encoding: gzip\r\n" +
                     chunked + "\r\n" + chunk_of("zipped") + last_chunk);
}

TEST_CASE("a begun stream that no upstream continues is not ended as complete") {
    const std::string begun = stream_head(chunked) + chunk_of(events_with_ids(0, 2));
    const std::string failed =
        "HTTP/1.1 200 OK\r\nId: $ID\r\nSignature: s\r\nContent-Length: 4\r\n\r\noops";
    const scripted_upstreams upstreams(
        3, {{begun, ending::close}, {failed, ending::close}, {failed, ending::close}});
    gateway_under_test g(upstreams.ports(), repeatability::streaming);
    const caller_stream s = stream_in(g.call("r1"));
    CHECK(s.well_formed);
    CHECK(!s.complete);
    CHECK(s.events == events_with_ids(0, 2));
}

// Guards against a stream that ends as complete although its upstream broke off inside an event.
TEST_CASE("a stream that ends inside an event is resumed, whatever its framing") {
    const std::string torn = events_with_ids(0, 2) + "id: 3\ndata: x";
    const std::string rest = stream_head(chunked) + chunk_of(events_with_ids(3, 4)) + last_chunk;
    const std::string length = "Content-Length: " + std::to_string(torn.size()) + "\r\n";
    for (const std::string& begun : {stream_head("") + torn, stream_head(length) + torn,
                                     stream_head(chunked) + chunk_of(torn) + last_chunk}) {
        const scripted_upstreams upstreams(2, {{begun, ending::close}, {rest}});
        gateway_under_test g(upstreams.ports(), repeatability::streaming);
        const caller_stream s = stream_in(g.call("r1"));
        CHECK(s.complete);
        CHECK_MESSAGE(s.events == events_with_ids(0, 4), begun);
    }
}

TEST_CASE("a stream that ends inside an event and cannot be resumed is not ended as complete") {
    const std::string torn = stream_head("") + events_with_ids(0, 2) + "id: 3\ndata: x\n";
    const scripted_upstreams upstreams(2, {{torn, ending::close}});
    gateway_under_test g(upstreams.ports(), repeatability::non_idempotent);
    const caller_stream s = stream_in(g.call("r1"));
    CHECK(!s.complete);
    CHECK(s.events == events_with_ids(0, 2));
    CHECK(upstreams.received().size() == 1);
}

TEST_CASE("a stream without length is complete if its connection is closed after an event") {
    const std::string all = stream_head("") + events_with_ids(0, 4);
    const scripted_upstreams upstreams(2, {{all, ending::close}});
    gateway_under_test g(upstreams.ports(), repeatability::streaming);
    const caller_stream s = stream_in(g.call("r1"));
    CHECK(s.complete);
    CHECK(s.events == events_with_ids(0, 4));
    CHECK(upstreams.received().size() == 1);
}

TEST_CASE("a stream without length is broken off if its connection is reset after an event") {
    const std::string begun = stream_head("") + events_with_ids(0, 2);
    const std::string rest = stream_head("") + events_with_ids(3, 4);
    const scripted_upstreams upstreams(2, {{begun, ending::reset}, {rest, ending::close}});
    gateway_under_test g(upstreams.ports(), repeatability::streaming);
    const caller_stream s = stream_in(g.call("r1"));
    CHECK(s.complete);
    CHECK(s.events == events_with_ids(0, 4));
    CHECK(upstreams.received().size() == 2);
}

// Guards against an empty stream that ends as complete: an upstream that stops after the head of an
// answer without length closes the connection as if the stream had ended.
TEST_CASE("a stream without length that ends before its first event is broken off") {
    const std::string rest = stream_head("") + events_with_ids(0, 4);
    const scripted_upstreams upstreams(2,
                                       {{stream_head(""), ending::close}, {rest, ending::close}});
    gateway_under_test g(upstreams.ports(), repeatability::streaming);
    const caller_stream s = stream_in(g.call("r1"));
    CHECK(s.complete);
    CHECK(s.events == events_with_ids(0, 4));
}

// Guards against a short answer framed as whole: the upstream stops within the head or the body.
TEST_CASE("an answer that is cut off is not forwarded as a whole one") {
    const std::string head = "HTTP/1.1 200 OK\r\nId: $ID\r\nSignature: s\r\n";
    const std::vector<std::string> cut_answers{
        "",
        "HTTP/1.1 2",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nId: $ID\r\nSignature: s\r\nContent-Len",
        head,
        head + "\r",
        head + "Content-Length: 4\r\n\r\n",
        head + "Content-Length: 4\r\n\r\ndon",
        head + chunked + "\r\n",
        head + chunked + "\r\n" + "4\r\ndo",
        head + chunked + "\r\n" + chunk_of("done"),
        head + chunked + "\r\n" + chunk_of("done") + "0\r\n",
    };
    for (const std::string& cut : cut_answers) {
        for (const ending end : {ending::close, ending::reset}) {
            const scripted_upstreams upstreams(1, {{cut, end}});
            gateway_under_test g(upstreams.ports(), repeatability::non_idempotent);
            const std::string answer = g.call("r1");
            INFO(cut);
            CHECK_MESSAGE(status_of(answer) == 502, answer);
        }
    }
}

TEST_CASE("an answer without length is whole if closed and not whole if reset") {
    for (const std::string& version : {std::string("1.0"), std::string("1.1")}) {
        const std::string bytes =
            "HTTP/" + version + " 200 OK\r\nId: $ID\r\nSignature: s\r\n\r\ndone";
        const scripted_upstreams upstreams(1, {{bytes, ending::close}, {bytes, ending::reset}});
        gateway_under_test g(upstreams.ports(), repeatability::non_idempotent);
        const std::string whole = g.call("r1");
        CHECK_MESSAGE(status_of(whole) == 200, whole);
        CHECK(whole.find("Content-Length: 4\r\n") != std::string::npos);
        CHECK(whole.ends_with("\r\n\r\ndone"));
        const std::string reset = g.call("r2");
        CHECK_MESSAGE(status_of(reset) == 502, reset);
    }
}

TEST_CASE("a connection with bytes after a complete answer is not used again") {
    const scripted_upstreams upstreams(1, {{served_call + "more"}, {served_call}});
    gateway_under_test g(upstreams.ports(), repeatability::non_idempotent);
    CHECK(status_of(g.call("r1")) == 200);
    const std::string answer = g.call("r2");
    CHECK_MESSAGE(status_of(answer) == 200, answer);
}

// Guards against events that a caller receives twice because the next upstream ignored the point of
// resumption or had gone back in its stream.
TEST_CASE("a resumed stream that repeats events is not continued") {
    check_unaffected(stream_head(chunked) + chunk_of(events_with_ids(0, 4)) + last_chunk);
    check_unaffected(stream_head(chunked) + chunk_of(events_with_ids(2, 4)) + last_chunk);
    check_unaffected(stream_head("") + events_with_ids(2, 4));
}

// Guards against events that a caller receives twice because its stream was started anew: without
// the id of the last event, no upstream can continue after it.
TEST_CASE("a stream whose last event has no id is not sent again") {
    for (const std::string& begun :
         {std::string("data: x0\n\n"), event_with_id(0) + "data: x1\n\n"}) {
        const std::string all = stream_head(chunked) + chunk_of(events_with_ids(0, 4)) + last_chunk;
        const scripted_upstreams upstreams(
            2, {{stream_head(chunked) + chunk_of(begun), ending::close}, {all}});
        gateway_under_test g(upstreams.ports(), repeatability::streaming);
        const caller_stream s = stream_in(g.call("r1"));
        CHECK(s.well_formed);
        CHECK(!s.complete);
        CHECK(s.events == begun);
        CHECK(upstreams.received().size() == 1);
    }
}

// Guards against a process that ends because one upstream's address cannot be parsed.
TEST_CASE("an upstream without a valid address is not reached, and others are") {
    const scripted_answer served{
        "HTTP/1.1 200 OK\r\nId: $ID\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok"};
    for (const char* address : {"", "nonsense", "10.0.0.1", "10.0.0.1:99999", "[::1", ":80"}) {
        CAPTURE(address);
        const scripted_upstreams upstreams(1, {served});
        gateway_under_test g(upstreams.ports(), repeatability::idempotent);
        g.run([&](gateway::core& c) {
            dispatch::upstream u;
            u.id = std::string("odd at ") + address;
            u.service = "orders";
            u.address = address;
            u.slots = 6;
            c.view.upstreams.emplace(u.id, u);
            // Makes the gateway try the odd one first.
            for (auto& [id, other] : c.view.upstreams) {
                other.health.errors = other.address.starts_with("127.") ? 1 : 0;
            }
        });
        CHECK(g.call("first").starts_with("HTTP/1.1 200"));
    }
}

// Guards against the reports of an answer with status 000 that its caller got, of fields with a
// blank or a control byte in their names, and of bodies that were framed wrongly.
TEST_CASE("an answer whose head is none is not forwarded") {
    const std::string fields = "Id: $ID\r\nSignature: s\r\n";
    const std::string good = "HTTP/1.1 200 OK\r\n" + fields;
    const std::vector<std::string> answers{
        "HTTP/1.1 000 None\r\n" + fields + "Content-Length: 4\r\n\r\ndone",
        "HTTP/1.1 099 None\r\n" + fields + "Content-Length: 4\r\n\r\ndone",
        "HTTP/1.1 600 None\r\n" + fields + "Content-Length: 4\r\n\r\ndone",
        "HTTP/1.1 999 None\r\n" + fields + "Content-Length: 4\r\n\r\ndone",
        good + "X A: b\r\nContent-Length: 4\r\n\r\ndone",
        good + "X-A : b\r\nContent-Length: 4\r\n\r\ndone",
        good + "X\x01: b\r\nContent-Length: 4\r\n\r\ndone",
        good + "X-A: b\r\n Content-Length: 5\r\n\r\ndone!",
        good + "X-A: b\x1b\r\nContent-Length: 4\r\n\r\ndone",
        good + "Content-Length: 4\r\nContent-Length: 4\r\n\r\ndone",
        good + "Content-Length: 4, 4\r\n\r\ndone",
        good + "Content-Length: 4\r\n" + chunked + "\r\n" + chunk_of("done") + last_chunk,
        good + "Transfer-Encoding: chunked, identity\r\n\r\n" + chunk_of("done") + last_chunk,
        good + "Transfer-Encoding: identity\r\n\r\ndone",
        good + "Transfer-Encoding: gzip\r\n\r\ndone",
        "HTTP/1.0 200 OK\r\n" + fields + chunked + "\r\n" + chunk_of("done") + last_chunk,
        "HTTP/1.1 101 Switching Protocols\r\n" + fields + "\r\n" + good +
            "Content-Length: 4\r\n\r\ndone",
        "HTTP/1.1 204 No Content\r\n" + fields + chunked + "\r\n" + chunk_of("done") + last_chunk,
        "HTTP/1.1 200 OK\n" + fields + "Content-Length: 4\r\n\r\ndone",
    };
    for (const std::string& bytes : answers) {
        const scripted_upstreams upstreams(1, {{bytes, ending::close}});
        gateway_under_test g(upstreams.ports(), repeatability::non_idempotent);
        const std::string answer = g.call("r1");
        INFO(bytes);
        CHECK_MESSAGE(status_of(answer) == 502, answer);
        CHECK(answer.find("done") == std::string::npos);
    }
}

// Guards against chunks after a head that announces no body.
TEST_CASE("an answer without content is no stream") {
    const std::string bytes =
        "HTTP/1.1 204 No Content\r\nId: $ID\r\nSignature: s\r\nContent-Type: "
        "text/event-stream\r\n\r\n";
    const scripted_upstreams upstreams(1, {{bytes}});
    gateway_under_test g(upstreams.ports(), repeatability::streaming);
    const std::string answer = g.call("r1");
    CHECK_MESSAGE(status_of(answer) == 204, answer);
    CHECK(answer.find("chunked") == std::string::npos);
    CHECK(answer.ends_with("\r\n\r\n"));
}
