// A stand-in for a model engine with an inventory, load and unload orders, completions, and faults
// on demand. An answer depends only on the prompt, so that a caller can check that it received the
// complete answer to its own request.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "runtime/http.h"

namespace burdockdeck::standins {

struct engine_options {
    std::uint32_t memory_mb = 1000;
    std::uint32_t slots = 8;
    bool refuses_old_fences = true;
};

// Speeds and injected faults, changed by POST to /control.
struct engine_behaviour {
    // Time of one token for a single request; each running request adds the share `batch_slowdown`.
    std::int64_t token_us = 2000;
    double batch_slowdown = 0.02;
    // Multiplies the time of each token, to simulate a straggler.
    double slow_factor = 1.0;
    std::int64_t load_ms = 50;
    // The next `lose_orders` orders are executed `late_order_ms` late and get no answer.
    int lose_orders = 0;
    std::int64_t late_order_ms = 0;
    // Answers nothing but /control and /record, and leaves connections open.
    bool silent = false;
    // Aborts each completion after this many tokens and keeps it for a resumption; zero: never.
    std::int64_t cut_after = 0;
};

class engine {
public:
    explicit engine(const engine_options& options) : options_(options) {}

    boost::asio::awaitable<void> answer(runtime::http_exchange& exchange);

private:
    struct loaded_model {
        std::string version;
        std::uint32_t memory_mb = 0;
    };

    // Whether a running completion is to stop, and whether it is kept for a resumption.
    enum class stop_request { none, drop, keep };

    boost::asio::awaitable<void> complete(runtime::http_exchange& exchange);
    boost::asio::awaitable<void> execute_order(runtime::http_exchange& exchange);
    boost::asio::awaitable<void> respond_json(runtime::http_exchange& exchange, unsigned status,
                                              std::string body);
    boost::asio::awaitable<bool> pause_for_tokens(std::int64_t count, const std::string& id);
    [[nodiscard]] std::string inventory();
    [[nodiscard]] std::string record();
    [[nodiscard]] std::string apply_order(const std::string& body, unsigned& status);
    void apply_control(const std::string& body);
    [[nodiscard]] engine_behaviour behaviour();

    engine_options options_;
    std::mutex mutex_;
    engine_behaviour behaviour_;
    std::map<std::string, loaded_model> models_;
    std::uint64_t highest_fence_ = 0;
    std::uint64_t highest_memory_ = 0;
    std::uint64_t overcommits_ = 0;
    std::uint32_t running_ = 0;
    std::uint64_t tokens_ = 0;
    std::map<std::string, int> starts_;
    std::map<std::string, stop_request> stop_requests_;
    std::set<std::string> resumable_;
    std::vector<std::string> orders_;
};

// Word `index` of the answer to `prompt`.
[[nodiscard]] std::string answer_word(const std::string& prompt, std::uint64_t index);

}  // namespace burdockdeck::standins
