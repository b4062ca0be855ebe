// Health checks and inventory of the upstream, and load and unload orders to it. At most one order
// is in flight.
#include <algorithm>

#include "core.h"
#include "document/document.h"
#include "runtime/log.h"

namespace burdockdeck::agent {

namespace {

using runtime::event;
using runtime::log_event;
using runtime::severity;

constexpr duration poll_interval = std::chrono::milliseconds(100);
constexpr duration health_interval = std::chrono::milliseconds(1000);
constexpr duration health_timeout = std::chrono::milliseconds(1500);
constexpr std::uint32_t failures_until_lost = 2;
constexpr duration residency_timeout = std::chrono::seconds(3);

const schema::agent_record* own_record(const core& c) {
    const auto& agents = c.control.current().agents;
    const auto found = agents.find(c.settings.name);
    if (found == agents.end() || found->second.registration().incarnation() != c.incarnation) {
        return nullptr;
    }
    return &found->second;
}

bool is_assigned(const schema::agent_record& record, const std::string& item) {
    return std::any_of(
        record.assigned().begin(), record.assigned().end(),
        [&](const schema::model_instance& i) { return item_key(i.model(), i.version()) == item; });
}

std::pair<std::string, std::string> split_item(const std::string& item) {
    const std::size_t at = item.rfind('@');
    return {item.substr(0, at), item.substr(at + 1)};
}

std::uint32_t footprint_of(const core& c, const std::string& model) {
    const schema::model* m = document::find_model(c.control.current().current.document(), model);
    return m == nullptr ? 0 : document::footprint_mb(*m);
}

// Orders are sent only while the lease is valid by this process's own clock, so that a process that
// was frozen sends none before it has renewed its lease.
bool may_send_orders(const core& c) {
    return c.membership.registered && c.upstream.inventory_read &&
           steady_now() - c.membership.last_renewed < c.membership.lease;
}

void mark_upstream_lost(core& c, const std::string& why) {
    if (c.upstream.healthy) {
        log_event(severity::warning, event::upstream_lost, {{"reason", why}});
    }
    c.upstream.healthy = false;
    c.upstream.inventory_read = false;
}

boost::asio::awaitable<void> read_inventory(core& c) {
    runtime::http_call_options options;
    options.timeout = health_timeout;
    const runtime::http_request request = inventory_request();
    auto answer = co_await c.orders_client->fetch(request, options);
    if (!succeeded(answer) || value(answer).status != 200) {
        if (++c.upstream.failures >= failures_until_lost) {
            mark_upstream_lost(
                c, succeeded(answer) ? "inventory request failed" : error(answer).message);
        }
        co_return;
    }
    auto models = parse_inventory(value(answer).body);
    if (!succeeded(models)) {
        mark_upstream_lost(c, error(models).message);
        co_return;
    }
    std::vector<ledger::inventory_item> items;
    for (const loaded_model& m : value(models)) {
        items.push_back({item_key(m.model, m.version), m.memory_mb, m.loading});
    }
    const schema::agent_record* record = own_record(c);
    const bool fenced = c.upstream.announced->refuses_old_fences && record != nullptr &&
                        c.accepted_fence >= record->fence() && !c.order_running;
    ledger::apply_inventory(c.memory, items, fenced);
    if (!c.upstream.inventory_read) {
        log_event(severity::info, event::inventory_read,
                  {{"models", static_cast<std::uint64_t>(items.size())},
                   {"used_mb", ledger::used_mb(c.memory)}});
    }
    c.upstream.failures = 0;
    c.upstream.healthy = true;
    c.upstream.inventory_read = true;
}

boost::asio::awaitable<void> check_health(core& c) {
    runtime::http_call_options options;
    options.timeout = health_timeout;
    const runtime::http_request request = health_request();
    auto answer = co_await c.orders_client->fetch(request, options);
    if (succeeded(answer) && value(answer).status == 200) {
        c.upstream.failures = 0;
        c.upstream.healthy = true;
        c.upstream.inventory_read = true;
    } else if (++c.upstream.failures >= failures_until_lost) {
        mark_upstream_lost(c, succeeded(answer) ? "health check failed" : error(answer).message);
    }
}

// Sends one order and logs its result.
boost::asio::awaitable<order_result> send_order(core& c, order o) {
    const std::string item = item_key(o.model, o.version);
    const char* action = o.action == order_action::load ? "load" : "unload";
    log_event(severity::info, event::order_sent,
              {{"action", action}, {"item", item}, {"fence", o.fence}});
    runtime::http_call_options options;
    options.timeout = c.settings.order_timeout;
    options.idle_timeout = c.settings.order_timeout;
    options.fresh_connection = true;
    const runtime::http_request request = order_request(o);
    const auto answer = co_await c.orders_client->fetch(request, options);
    const order_result r = classify_order(answer);
    if (r == order_result::done) {
        c.accepted_fence = std::max(c.accepted_fence, o.fence);
        log_event(severity::info, event::order_done, {{"action", action}, {"item", item}});
    } else {
        log_event(severity::warning,
                  r == order_result::refused ? event::order_done : event::order_unanswered,
                  {{"action", action},
                   {"item", item},
                   {"reason", succeeded(answer) ? value(answer).body : error(answer).message}});
    }
    co_return r;
}

// Waits for a permit to load from the weight store. False if the item is no longer assigned.
boost::asio::awaitable<bool> acquire_permit(core& c, std::string order_id, std::string item) {
    while (!c.stopping) {
        const schema::agent_record* record = own_record(c);
        if (record == nullptr || !is_assigned(*record, item)) {
            co_return false;
        }
        rpc::permit_request request;
        request.set_agent(c.settings.name);
        request.set_incarnation(c.incarnation);
        request.set_order_id(order_id);
        auto answer = co_await c.control.permit(std::move(request));
        if (succeeded(answer) && value(answer).granted()) {
            co_return true;
        }
        const std::uint32_t wait_ms = succeeded(answer) ? value(answer).retry_after_ms() : 300;
        co_await runtime::sleep_for(std::chrono::milliseconds(std::max(20U, wait_ms)));
    }
    co_return false;
}

boost::asio::awaitable<void> release_permit(core& c, std::string order_id) {
    rpc::permit_request request;
    request.set_agent(c.settings.name);
    request.set_incarnation(c.incarnation);
    request.set_order_id(order_id);
    request.set_release(true);
    (void)co_await c.control.permit(std::move(request));
}

boost::asio::awaitable<void> load(core& c, std::string item) {
    const auto [model, version] = split_item(item);
    const std::uint32_t memory_mb = footprint_of(c, model);
    if (memory_mb == 0 || !succeeded(ledger::begin_load(c.memory, item, memory_mb))) {
        co_return;
    }
    const std::string order_id = c.settings.name + ":" + std::to_string(c.incarnation) + ":" + item;
    const bool permitted = co_await acquire_permit(c, order_id, item);
    const schema::agent_record* record = own_record(c);
    if (!permitted || record == nullptr || !may_send_orders(c)) {
        ledger::load_refused(c.memory, item);
        co_return;
    }
    order o;
    o.action = order_action::load;
    o.model = model;
    o.version = version;
    o.memory_mb = memory_mb;
    o.fence = record->fence();
    const order_result r = co_await send_order(c, o);
    switch (r) {
        case order_result::done:
            ledger::load_done(c.memory, item);
            break;
        case order_result::refused:
            ledger::load_refused(c.memory, item);
            c.upstream.inventory_read = false;
            break;
        case order_result::unanswered:
            ledger::order_unanswered(c.memory, item);
            break;
    }
    co_await release_permit(c, order_id);
}

boost::asio::awaitable<void> unload(core& c, std::string item) {
    const auto [model, version] = split_item(item);
    const schema::agent_record* record = own_record(c);
    if (record == nullptr || !may_send_orders(c)) {
        co_return;
    }
    ledger::begin_unload(c.memory, item);
    order o;
    o.action = order_action::unload;
    o.model = model;
    o.version = version;
    o.fence = record->fence();
    const order_result r = co_await send_order(c, o);
    if (r == order_result::done) {
        ledger::unload_done(c.memory, item);
    } else {
        ledger::order_unanswered(c.memory, item);
        c.upstream.inventory_read = false;
    }
}

// An item to unload: no longer assigned, reported to control as gone, and without requests.
std::optional<std::string> next_unload(const core& c, const schema::agent_record& record) {
    for (const auto& [item, held] : c.memory.allocations) {
        const auto [model, version] = split_item(item);
        if (!is_assigned(record, item) && !c.reported_resident.contains(item) &&
            c.residency_reported && count_requests(c, model, version) == 0) {
            return item;
        }
    }
    return std::nullopt;
}

std::optional<std::string> next_load(const core& c, const schema::agent_record& record) {
    for (const schema::model_instance& i : record.assigned()) {
        const std::string item = item_key(i.model(), i.version());
        const auto held = c.memory.allocations.find(item);
        const bool resident = held != c.memory.allocations.end() &&
                              held->second.state == ledger::allocation_state::resident;
        if (resident) {
            continue;
        }
        const bool fits = held != c.memory.allocations.end() ||
                          footprint_of(c, i.model()) <= ledger::free_mb(c.memory);
        if (fits) {
            return item;
        }
    }
    return std::nullopt;
}

// Sends the next order: an unload, if there is one, before a load.
boost::asio::awaitable<void> reconcile(core& c) {
    const schema::agent_record* record = own_record(c);
    if (record == nullptr || !may_send_orders(c)) {
        co_return;
    }
    if (auto item = next_unload(c, *record)) {
        co_await unload(c, std::move(*item));
    } else if (auto wanted = next_load(c, *record)) {
        co_await load(c, std::move(*wanted));
    }
}

// Reports the resident models to control when they have changed.
boost::asio::awaitable<void> report_residency(core& c) {
    if (!c.membership.registered || own_record(c) == nullptr) {
        co_return;
    }
    const std::set<std::string> now = serving_items(c);
    if (c.residency_reported && now == c.reported_resident) {
        co_return;
    }
    schema::command command;
    schema::residency_command& r = *command.mutable_residency();
    r.set_agent(c.settings.name);
    r.set_incarnation(c.incarnation);
    for (const std::string& item : now) {
        const auto [model, version] = split_item(item);
        schema::model_instance& i = *r.add_resident();
        i.set_model(model);
        i.set_version(version);
    }
    auto reply = co_await c.control.submit(std::move(command), residency_timeout);
    if (succeeded(reply) && value(reply).status() == schema::status_done) {
        c.reported_resident = now;
        c.residency_reported = true;
    }
}

boost::asio::awaitable<void> run_reconcile_loop(core& c) {
    while (!c.stopping) {
        if (c.upstream.announced && c.upstream.announced->kind == schema::upstream_engine) {
            c.order_running = true;
            co_await reconcile(c);
            c.order_running = false;
        }
        co_await runtime::sleep_for(poll_interval);
    }
}

}  // namespace

bool serves_item(const core& c, const std::string& item) {
    const schema::agent_record* record = own_record(c);
    const auto held = c.memory.allocations.find(item);
    return record != nullptr && c.upstream.healthy && held != c.memory.allocations.end() &&
           held->second.state == ledger::allocation_state::resident && is_assigned(*record, item);
}

std::set<std::string> serving_items(const core& c) {
    std::set<std::string> items;
    for (const auto& [item, held] : c.memory.allocations) {
        if (serves_item(c, item)) {
            items.insert(item);
        }
    }
    return items;
}

result<nothing, protocol_error> apply_announcement(core& c, const announcement& a) {
    upstream_state& u = c.upstream;
    if (u.announced && *u.announced == a) {
        return nothing{};
    }
    if (u.announced && u.healthy) {
        return protocol_error{"this agent already serves a healthy upstream at " +
                              to_text(u.announced->address)};
    }
    if (u.announced && (u.announced->kind != a.kind || u.announced->service != a.service)) {
        return protocol_error{"kind or service differs from the first announcement to this agent"};
    }
    u = {};
    u.announced = a;
    c.memory.capacity_mb = a.memory_mb;
    c.queue.rules.slots = a.slots;
    c.queue.rules.reserved_for_short = std::min(c.settings.queue.reserved_for_short, a.slots - 1);
    c.orders_client = std::make_unique<runtime::http_client>(c.loop, a.address);
    c.work_clients.clear();
    log_event(severity::info, event::upstream_announced,
              {{"address", to_text(a.address)}, {"slots", a.slots}, {"memory_mb", a.memory_mb}});
    return nothing{};
}

boost::asio::awaitable<void> monitor_upstream(core& c) {
    runtime::spawn(c.loop, [&c] { return run_reconcile_loop(c); });
    time_point checked{};
    while (!c.stopping) {
        const bool due = steady_now() - checked > health_interval || !c.upstream.inventory_read;
        if (c.upstream.announced && due) {
            checked = steady_now();
            if (c.upstream.announced->kind == schema::upstream_engine) {
                co_await read_inventory(c);
            } else {
                co_await check_health(c);
            }
        }
        co_await report_residency(c);
        co_await runtime::sleep_for(poll_interval);
    }
}

}  // namespace burdockdeck::agent
