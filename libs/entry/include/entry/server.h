// HTTP server of one entry: accepts callers' requests, dispatches them to agents and returns
// complete answers.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/result.h"
#include "entry/settings.h"

namespace burdockdeck::entry {

struct entry_error {
    std::string message;
};

class entry_server {
public:
    [[nodiscard]] static result<std::unique_ptr<entry_server>, entry_error> create(
        const entry_settings& settings);
    ~entry_server();

    // Reports `draining` to the load balancer for `balancer_wait`, completes the requests in
    // flight, then calls `finished`.
    void stop(std::function<void()> finished);

private:
    struct state;
    explicit entry_server(std::unique_ptr<state> s);
    std::unique_ptr<state> state_;
};

}  // namespace burdockdeck::entry
