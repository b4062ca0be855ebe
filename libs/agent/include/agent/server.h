// Server of one agent. Each upstream has one agent, through which all its requests pass.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "agent/settings.h"
#include "base/result.h"

namespace burdockdeck::agent {

struct agent_error {
    std::string message;
};

class agent_server {
public:
    // Binds the agent's ports and starts to serve. `superseded` is called when a later incarnation
    // of this agent has registered; this process must then exit.
    [[nodiscard]] static result<std::unique_ptr<agent_server>, agent_error> create(
        const agent_settings& settings, std::function<void()> superseded);
    ~agent_server();

    // Refuses new work, completes the work in flight, then calls `finished`.
    void stop(std::function<void()> finished);

private:
    struct state;
    explicit agent_server(std::unique_ptr<state> s);
    std::unique_ptr<state> state_;
};

}  // namespace burdockdeck::agent
