// The routing table as workers use it: the agents that serve each model and service. Rebuilt for
// each new table; immutable once published.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "client/table.h"

namespace burdockdeck::entry {

// An agent that serves a model or a service.
struct destination {
    std::string agent;
    std::string address;
    std::uint64_t incarnation = 0;
    std::uint32_t slots = 1;
    // The model version resident at the agent; empty for services.
    std::string version;
};

struct routing_view {
    std::uint64_t revision = 0;
    schema::document document;
    std::map<std::string, std::vector<destination>, std::less<>> models;
    std::map<std::string, std::vector<destination>, std::less<>> services;
    // Latest incarnation of every agent in the table, whether in service or not.
    std::map<std::string, std::uint64_t, std::less<>> incarnations;
};

[[nodiscard]] std::shared_ptr<const routing_view> build_view(const client::table& t);

}  // namespace burdockdeck::entry
