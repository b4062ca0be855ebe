// The accelerator memory of one upstream, counted by the one agent beside it. Memory is reserved
// before an order is sent and stays reserved until a definite answer or the engine's inventory
// settles the order, however late that comes.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "base/result.h"

namespace burdockdeck::ledger {

// Fate of one item of memory.
//   loading:   a load order may be under way or may still land; not to be routed to.
//   resident:  confirmed by the engine.
//   unloading: an unload order may be under way; counted until the engine says it is gone.
enum class allocation_state { loading, resident, unloading };

struct allocation {
    std::uint32_t memory_mb = 0;
    allocation_state state = allocation_state::loading;
    // True while an order for it has no definite answer.
    bool order_open = false;
};

// Invariant: the sum of all holdings is at most capacity_mb, unless the engine itself reported
// more than that; then nothing is reserved until it has fallen.
struct ledger {
    std::uint32_t capacity_mb = 0;
    std::map<std::string, allocation> allocations;
};

struct no_room {
    std::uint32_t wanted_mb = 0;
    std::uint32_t free_mb = 0;
};

// Test-only departure: an unanswered load gives its memory back at once.
enum class mutation { none, release_unanswered };

// --- Queries

[[nodiscard]] std::uint64_t used_mb(const ledger& l);
[[nodiscard]] std::uint32_t free_mb(const ledger& l);

// --- Commands

// Reserves memory before a load order is sent.
[[nodiscard]] result<nothing, no_room> begin_load(ledger& l, const std::string& item,
                                                  std::uint32_t memory_mb);
// The engine said that the load is done.
void load_done(ledger& l, const std::string& item);
// The engine said that it did not and will not load.
void load_refused(ledger& l, const std::string& item);
// An order's answer was lost; it may still land.
void order_unanswered(ledger& l, const std::string& item, mutation broken = mutation::none);
// Marks an item before its unload order is sent. Precondition: the item is held.
void begin_unload(ledger& l, const std::string& item);
// The engine said that the unload is done.
void unload_done(ledger& l, const std::string& item);

// One item that the engine lists, with the memory it takes.
struct inventory_item {
    std::string item;
    std::uint32_t memory_mb = 0;
    bool loading = false;
};
// Settles the ledger by an inventory. `fenced` is true if the engine guarantees that no earlier
// order lands after it (it refuses old fencing numbers and has accepted a later one); only then an
// item with an open order that the inventory lacks gives its memory back.
void apply_inventory(ledger& l, const std::vector<inventory_item>& inventory, bool fenced);

}  // namespace burdockdeck::ledger
