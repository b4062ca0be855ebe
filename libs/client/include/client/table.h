// The table replicated to entries and agents: the document in force and the agents, by revision.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "catalog.pb.h"

namespace burdockdeck::client {

// Invariant: `revision` never decreases within one cluster.
struct table {
    std::string cluster;
    std::uint64_t revision = 0;
    schema::document_record current;
    std::map<std::string, schema::agent_record, std::less<>> agents;
};

enum class update_effect {
    applied,
    // Same revision; confirms that the sender is alive.
    unchanged,
    // Older than the current table; never applied.
    refused_older,
    // From another cluster, or a delta on a revision newer than the current table.
    refused_mismatch,
};

// Applies an update, unless it would lower the revision or does not fit the table.
[[nodiscard]] update_effect apply(table& t, const schema::table_update& update);

}  // namespace burdockdeck::client
