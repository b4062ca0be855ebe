// Accounts for the accelerator memory of one upstream, in the one agent that manages it. Memory is
// reserved before a load order is sent and stays reserved until a definite answer or the engine's
// inventory shows the order's outcome, however late that is.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "base/result.h"

namespace burdockdeck::ledger {

// State of one allocated item.
//   loading:   a load order is pending, or may still be executed late; not to be routed to.
//   resident:  confirmed by the engine.
//   unloading: an unload order may be pending; counted until the engine confirms the unload.
enum class allocation_state { loading, resident, unloading };

struct allocation {
    std::uint32_t memory_mb = 0;
    allocation_state state = allocation_state::loading;
    // True while an order for the item has no definite answer.
    bool order_pending = false;
};

// Invariant: the sum of all allocations is at most capacity_mb, unless the engine itself reported
// more than that; then nothing is reserved until the sum has fallen below the capacity.
struct ledger {
    std::uint32_t capacity_mb = 0;
    std::map<std::string, allocation> allocations;
};

struct insufficient_memory {
    std::uint32_t wanted_mb = 0;
    std::uint32_t free_mb = 0;
};

// Faults injected by mutation tests. release_unanswered: an unanswered load releases its memory at
// once.
enum class mutation { none, release_unanswered };

// --- Queries

[[nodiscard]] std::uint64_t used_mb(const ledger& l);
[[nodiscard]] std::uint32_t free_mb(const ledger& l);

// --- Commands

// Reserves memory before a load order is sent.
[[nodiscard]] result<nothing, insufficient_memory> begin_load(ledger& l, const std::string& item,
                                                              std::uint32_t memory_mb);
// The engine confirmed the load.
void load_done(ledger& l, const std::string& item);
// The engine refused: it has not loaded the item and will not.
void load_refused(ledger& l, const std::string& item);
// The answer to an order was lost; the engine may still execute it.
void order_unanswered(ledger& l, const std::string& item, mutation injected = mutation::none);
// Marks an item as unloading before its unload order is sent. Precondition: it is allocated.
void begin_unload(ledger& l, const std::string& item);
// The engine confirmed the unload.
void unload_done(ledger& l, const std::string& item);

// One item listed by the engine, with its memory use.
struct inventory_item {
    std::string item;
    std::uint32_t memory_mb = 0;
    bool loading = false;
};
// Reconciles the ledger with an inventory of the engine. `fenced` is true if the engine guarantees
// that it executes no earlier order after the inventory (it refuses old fencing tokens and has
// accepted a later one). Otherwise, an item that is missing from the inventory keeps its memory
// while its load order is pending.
void apply_inventory(ledger& l, const std::vector<inventory_item>& inventory, bool fenced);

}  // namespace burdockdeck::ledger
