// The routing table as lanes use it: for each model and service, the agents that serve it. Built
// anew from each table and shared unchanged.
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
    // The version resident there; empty for services.
    std::string version;
};

struct routing_view {
    std::uint64_t revision = 0;
    schema::document document;
    std::map<std::string, std::vector<destination>, std::less<>> models;
    std::map<std::string, std::vector<destination>, std::less<>> services;
    // The latest incarnation of every agent known, in service or not.
    std::map<std::string, std::uint64_t, std::less<>> incarnations;
};

[[nodiscard]] std::shared_ptr<const routing_view> build_view(const client::table& t);

}  // namespace burdockdeck::entry
