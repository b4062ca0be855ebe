// Runs one attempt at one agent. If the connection breaks or no frame arrives, the attempt is
// resumed at its offset on a new connection. It ends with an outcome that is proved, or with
// `unknown`.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <string>

#include "base/outcome.h"
#include "work.h"
#include "worker_state.h"

namespace burdockdeck::entry {

// Receives the answer. Used by the request's coroutine only.
class answer_sink {
public:
    virtual ~answer_sink() = default;
    // on_head and on_data return false if the answer can no longer be delivered to the caller.
    virtual boost::asio::awaitable<bool> on_head(unsigned status, std::string content_type) = 0;
    virtual boost::asio::awaitable<bool> on_data(std::string_view bytes) = 0;
    [[nodiscard]] virtual bool caller_left() const = 0;
};

struct attempt_outcome {
    outcome result = outcome::unknown;
    std::string message;
    duration retry_after{};
    // Body bytes passed to the sink.
    std::uint64_t delivered = 0;
    bool caller_left = false;
    bool deadline_passed = false;
    // True if the attempt may still be running at its agent, which can report the outcome later.
    bool outcome_pending = false;
};

struct attempt_plan {
    destination target_agent;
    std::string attempt;
    // Resumes an attempt that another request has started; never starts one.
    bool observe_only = false;
};

[[nodiscard]] boost::asio::awaitable<attempt_outcome> run_attempt(worker_state& worker,
                                                                  const work& w,
                                                                  const attempt_plan& plan,
                                                                  answer_sink& sink);

}  // namespace burdockdeck::entry
