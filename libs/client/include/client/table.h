// The table that entries and agents follow: the document in force and the agents, by revision.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "catalog.pb.h"

namespace burdockdeck::client {

// Invariant: `revision` never falls within one cluster.
struct table {
    std::string cluster;
    std::uint64_t revision = 0;
    schema::document_record current;
    std::map<std::string, schema::agent_record, std::less<>> agents;
};

enum class update_effect {
    applied,
    // Nothing new; confirms that the sender is alive.
    unchanged,
    // Older than what is in force here; never applied.
    refused_older,
    // From another cluster, or built on a revision that is not here.
    refused_mismatch,
};

// Applies an update, unless it would take the table back.
[[nodiscard]] update_effect apply(table& t, const schema::table_update& update);

}  // namespace burdockdeck::client
