// Injects random crashes, freezes, network partitions and message loss into a simulated cluster,
// and repairs them.
#pragma once

#include "simulated_cluster.h"

namespace burdockdeck::consensus::testing {

// Injects one random fault or repairs one.
inline void inject_random_fault(cluster& c, int size) {
    const node_id id = 1 + c.rng() % static_cast<unsigned>(size);
    const node_id other = 1 + c.rng() % static_cast<unsigned>(size);
    member& m = c.nodes[id];
    switch (c.rng() % 8) {
        case 0:
            if (m.node_state) {
                c.crash(id);
            }
            break;
        case 1:
        case 2:
            if (!m.node_state) {
                c.start(id);
            }
            break;
        case 3:
            m.frozen = m.node_state.has_value();
            break;
        case 4:
            if (m.frozen && m.node_state) {
                c.thaw(id);
            }
            break;
        case 5:
            c.blocked_links.insert({id, other});
            break;
        case 6:
            c.blocked_links.clear();
            break;
        default:
            c.faults.drop = static_cast<double>(c.rng() % 4) / 10.0;
            c.faults.duplicate = static_cast<double>(c.rng() % 3) / 10.0;
            c.faults.longest_delay = milliseconds(1 + c.rng() % 80);
            break;
    }
}

inline void repair_all(cluster& c) {
    c.blocked_links.clear();
    c.faults = {};
    for (auto& [id, m] : c.nodes) {
        if (!m.node_state && !m.wiped) {
            c.start(id);
        }
        if (m.frozen) {
            c.thaw(id);
        }
    }
}

}  // namespace burdockdeck::consensus::testing
