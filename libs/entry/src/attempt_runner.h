// One attempt from an entry: sent to one agent, taken up again on a new connection when the old one
// breaks or falls silent, and ended with an outcome that is proved or `unknown`.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <string>

#include "base/outcome.h"
#include "lane.h"
#include "work.h"

namespace burdockdeck::entry {

// Where the answer goes. Belongs to the request's coroutine.
class answer_sink {
public:
    virtual ~answer_sink() = default;
    // Both return false if the caller cannot be reached any more.
    virtual boost::asio::awaitable<bool> head(unsigned status, std::string content_type) = 0;
    virtual boost::asio::awaitable<bool> data(std::string_view bytes) = 0;
    [[nodiscard]] virtual bool caller_left() const = 0;
};

struct attempt_outcome {
    outcome result = outcome::unknown;
    std::string message;
    duration retry_after{};
    // Bytes that reached the sink.
    std::uint64_t delivered = 0;
    bool caller_left = false;
    bool deadline_passed = false;
    // True if the attempt may still end at its agent, which then can tell its outcome.
    bool still_open = false;
};

struct attempt_plan {
    destination to;
    std::string attempt;
    // Only asks for an attempt that someone else has started.
    bool follow_only = false;
};

[[nodiscard]] boost::asio::awaitable<attempt_outcome> run_attempt(lane& on, const work& w,
                                                                  const attempt_plan& plan,
                                                                  answer_sink& sink);

}  // namespace burdockdeck::entry
