// Reservation and release of accelerator memory.
#include "ledger/ledger.h"

#include <cassert>
#include <set>

namespace burdockdeck::ledger {

std::uint64_t used_mb(const ledger& l) {
    std::uint64_t total = 0;
    for (const auto& [item, held] : l.allocations) {
        total += held.memory_mb;
    }
    return total;
}

std::uint32_t free_mb(const ledger& l) {
    const std::uint64_t used = used_mb(l);
    return used >= l.capacity_mb ? 0 : static_cast<std::uint32_t>(l.capacity_mb - used);
}

result<nothing, insufficient_memory> begin_load(ledger& l, const std::string& item,
                                                std::uint32_t memory_mb) {
    const auto found = l.allocations.find(item);
    if (found != l.allocations.end()) {
        if (found->second.state != allocation_state::resident) {
            found->second.state = allocation_state::loading;
            found->second.order_pending = true;
        }
        return nothing{};
    }
    if (memory_mb > free_mb(l)) {
        return insufficient_memory{memory_mb, free_mb(l)};
    }
    l.allocations[item] = {memory_mb, allocation_state::loading, true};
    return nothing{};
}

void load_done(ledger& l, const std::string& item) {
    const auto found = l.allocations.find(item);
    if (found == l.allocations.end()) {
        return;
    }
    found->second.state = allocation_state::resident;
    found->second.order_pending = false;
}

void load_refused(ledger& l, const std::string& item) {
    const auto found = l.allocations.find(item);
    if (found != l.allocations.end() && found->second.state == allocation_state::loading) {
        l.allocations.erase(found);
    }
}

void order_unanswered(ledger& l, const std::string& item, mutation injected) {
    const auto found = l.allocations.find(item);
    if (found == l.allocations.end()) {
        return;
    }
    if (injected == mutation::release_unanswered) {
        l.allocations.erase(found);
        return;
    }
    found->second.order_pending = true;
}

void begin_unload(ledger& l, const std::string& item) {
    const auto found = l.allocations.find(item);
    assert(found != l.allocations.end());
    found->second.state = allocation_state::unloading;
    found->second.order_pending = true;
}

void unload_done(ledger& l, const std::string& item) {
    l.allocations.erase(item);
}

void apply_inventory(ledger& l, const std::vector<inventory_item>& inventory, bool fenced) {
    std::set<std::string> listed;
    for (const inventory_item& i : inventory) {
        listed.insert(i.item);
        allocation& held = l.allocations[i.item];
        held.memory_mb = i.memory_mb;
        if (i.loading) {
            held.order_pending = true;
            continue;
        }
        if (held.state == allocation_state::loading) {
            held.state = allocation_state::resident;
            held.order_pending = false;
        }
    }
    for (auto it = l.allocations.begin(); it != l.allocations.end();) {
        const allocation& held = it->second;
        const bool load_may_execute = held.state == allocation_state::loading && held.order_pending;
        const bool gone = !listed.contains(it->first) && (!load_may_execute || fenced);
        it = gone ? l.allocations.erase(it) : std::next(it);
    }
}

}  // namespace burdockdeck::ledger
