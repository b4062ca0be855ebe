// Heads of answers, and texts that are none.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <random>
#include <vector>

#include "runtime/answer_head.h"

using burdockdeck::runtime::fault_in_answer_head;

namespace {

const std::string ok = "HTTP/1.1 200 OK\r\n";

bool is_head(const std::string& text) {
    return fault_in_answer_head(text).empty();
}

}  // namespace

TEST_CASE("heads of answers are accepted") {
    const std::vector<std::string> heads{
        ok + "\r\n",
        "HTTP/1.1 200\r\n\r\n",
        "HTTP/1.1 200 \r\n\r\n",
        "HTTP/1.0 404 Not Found\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 599 Odd\r\n\r\n",
        ok + "Content-Length:5\r\nX_y.z!: \t a:b, c \t\r\nEmpty:\r\n\r\n",
        ok + "transfer-encoding: Chunked\r\n\r\n",
        ok + "Name: caf\xc3\xa9\r\n\r\n",
        ok + "Content-Length: 999999999999999999\r\n\r\n",
    };
    for (const std::string& head : heads) {
        CAPTURE(head);
        CHECK(fault_in_answer_head(head) == "");
    }
}

// Guards against the reports of answers with status 000 and with odd names of fields that reached
// callers, and of bodies that were framed wrongly.
TEST_CASE("texts that are no heads of answers are refused") {
    const std::vector<std::string> others{
        "",
        "\r\n",
        "\r\n\r\n",
        ok,
        "\r\n" + ok + "\r\n",
        " " + ok + "\r\n",
        "HTTP/1.1 000 None\r\n\r\n",
        "HTTP/1.1 099 None\r\n\r\n",
        "HTTP/1.1 600 None\r\n\r\n",
        "HTTP/1.1 999 None\r\n\r\n",
        "HTTP/1.1 20 OK\r\n\r\n",
        "HTTP/1.1 2000 OK\r\n\r\n",
        "HTTP/1.1 2x0 OK\r\n\r\n",
        "HTTP/1.1  200 OK\r\n\r\n",
        "HTTP/1.1\t200 OK\r\n\r\n",
        "HTTP/1.2 200 OK\r\n\r\n",
        "HTTP/2.0 200 OK\r\n\r\n",
        "http/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 O\x01K\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\n\r\n",
        "HTTP/1.1 100 Continue\r\nContent-Length: 3\r\n\r\n",
        "HTTP/1.1 204 No Content\r\nContent-Length: 3\r\n\r\n",
        "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        ok + "X-A: b\r\n Content-Length: 5\r\n\r\n",
        ok + "X-A: b\r\n\tmore\r\n\r\n",
        ok + " X-A: b\r\n\r\n",
        ok + "X-A : b\r\n\r\n",
        ok + "X A: b\r\n\r\n",
        ok + "X\tA: b\r\n\r\n",
        ok + "X\x01: b\r\n\r\n",
        ok + "X\x7f: b\r\n\r\n",
        ok + "X\xc3\xa9: b\r\n\r\n",
        ok + "X(A): b\r\n\r\n",
        ok + ": b\r\n\r\n",
        ok + "no colon\r\n\r\n",
        ok + std::string("X-A: b\0c\r\n\r\n", 12),
        ok + "X-A: b\x1b\r\n\r\n",
        ok + "X-A: b\rc\r\n\r\n",
        ok + "X-A: b\nContent-Length: 5\r\n\r\n",
        ok + "Content-Length: 5\r\nContent-Length: 5\r\n\r\n",
        ok + "Content-Length: 5, 5\r\n\r\n",
        ok + "Content-Length: +5\r\n\r\n",
        ok + "Content-Length: -5\r\n\r\n",
        ok + "Content-Length: 5 5\r\n\r\n",
        ok + "Content-Length: 0x5\r\n\r\n",
        ok + "Content-Length:\r\n\r\n",
        ok + "Content-Length: 99999999999999999999\r\n\r\n",
        ok + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
        ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
        ok + "Transfer-Encoding: chunked, identity\r\n\r\n",
        ok + "Transfer-Encoding: gzip, chunked\r\n\r\n",
        ok + "Transfer-Encoding: identity\r\n\r\n",
        ok + "Transfer-Encoding:\r\n\r\n",
        ok + "\r\nmore",
    };
    for (const std::string& text : others) {
        CAPTURE(text);
        CHECK(fault_in_answer_head(text) != "");
    }
}

TEST_CASE("no byte of a name or a value is overlooked") {
    for (int byte = 0; byte < 256; ++byte) {
        const std::string c(1, static_cast<char>(byte));
        CAPTURE(byte);
        const bool control = (byte < 0x20 && byte != '\t') || byte == 0x7f;
        const bool in_token = byte > 0x20 && byte < 0x7f &&
                              std::string("()<>@,;:\\\"/[]?={}").find(c) == std::string::npos;
        CHECK(is_head(ok + "X-A: b" + c + "c\r\n\r\n") == !control);
        CHECK(is_head(ok + "X" + c + "A: b\r\n\r\n") == (in_token || byte == ':'));
    }
}

TEST_CASE("random changes of a head are judged without harm") {
    std::mt19937 rng(5);
    const std::string head = ok + "Content-Length: 5\r\nX-A: b\r\n\r\n";
    for (int i = 0; i < 20000; ++i) {
        std::string text = head;
        for (int n = 0; n < 3; ++n) {
            text[rng() % text.size()] = static_cast<char>(rng() % 256);
        }
        (void)fault_in_answer_head(text.substr(0, rng() % (text.size() + 1)));
    }
    CHECK(is_head(head));
}
