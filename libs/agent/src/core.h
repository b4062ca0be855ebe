// What the parts of one agent share. But for what is marked otherwise, everything belongs to the
// control loop.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "admission/limit.h"
#include "agent/settings.h"
#include "attempt.h"
#include "client/control_client.h"
#include "ledger/ledger.h"
#include "queueing/queue.h"
#include "runtime/http.h"
#include "runtime/loop.h"
#include "runtime/metrics.h"
#include "upstream_protocol.h"

namespace burdockdeck::agent {

// A model and version as one key of the ledger.
[[nodiscard]] inline std::string item_key(const std::string& model, const std::string& version) {
    return model + "@" + version;
}

// The upstream beside this agent, once it has announced itself.
struct upstream_state {
    std::optional<announcement> announced;
    bool healthy = false;
    // False until the engine's inventory has been read since the last (re)start of either side.
    bool inventory_read = false;
    std::uint32_t failures = 0;
};

// This agent's standing with control.
struct membership_state {
    bool registered = false;
    time_point last_renewed{};
    std::uint64_t renew_sequence = 0;
    std::uint32_t adapter_share = 0;
    time_point share_valid_until{};
    duration lease = std::chrono::seconds(4);
};

// Invariants: an attempt id is in `attempts` or `tombstones`, never in both; an id once seen is
// remembered for `remembered_for`, longer than any deadline.
struct core {
    core(const agent_settings& s, runtime::rpc_access a)
        : settings(s),
          access(std::move(a)),
          loop("control"),
          traffic("traffic", s.traffic_threads),
          control(loop, s.control, access) {}

    agent_settings settings;
    runtime::rpc_access access;
    // Safe from any thread.
    runtime::metrics metrics;
    queue_report report;

    runtime::loop loop;
    runtime::loop_pool traffic;
    client::control_client control;
    std::uint64_t incarnation = 0;
    membership_state membership;
    upstream_state upstream;
    // For orders, inventory and health; each traffic loop has its own client for work.
    std::unique_ptr<runtime::http_client> orders_client;
    std::map<runtime::loop*, std::shared_ptr<runtime::http_client>> work_clients;

    ledger::ledger memory;
    // Highest fence that the engine has accepted in an order.
    std::uint64_t accepted_fence = 0;
    bool order_running = false;
    // What was last told to control as resident.
    std::set<std::string> reported_resident;
    bool residency_reported = false;

    queueing::queue queue;
    admission::limit adapters;
    std::uint64_t last_number = 0;
    std::unordered_map<std::string, std::shared_ptr<attempt>> attempts;
    std::unordered_map<std::uint64_t, std::shared_ptr<attempt>> by_number;
    // Ended attempts, oldest first, with when they ended.
    std::deque<std::pair<time_point, std::shared_ptr<attempt>>> ended;
    std::size_t kept_bytes = 0;
    // Attempts that must never start here, with when that was decided.
    std::unordered_map<std::string, time_point> tombstones;

    // True while an operator drains this agent, or it drains itself before its end.
    bool leaving = false;
    bool draining = false;
    bool stopping = false;
    std::function<void()> superseded;
};

inline constexpr duration remembered_for = std::chrono::minutes(15);

[[nodiscard]] inline time_point steady_now() {
    return std::chrono::steady_clock::now();
}

// --- Work (work.cpp)

// Takes a run request: attaches it to its attempt, queues it, or refuses it.
void take_run(core& c, const rpc::run_request& request,
              const std::shared_ptr<answer_stream>& stream);
// Forbids an attempt that has not started.
[[nodiscard]] rpc::cancel_reply::cancel_status forbid(core& c, const rpc::cancel_request& request);
// Ends an attempt, started or not.
[[nodiscard]] rpc::cancel_reply::cancel_status stop_attempt(core& c,
                                                            const rpc::cancel_request& request);
// Starts what may start, and ends what has waited too long.
void pump_queue(core& c);
// Queues attempts that waited for an adapter and now hold one.
void queue_adapter_holders(core& c, const std::vector<admission::waiter>& holders);
// Heartbeats, orphans, kept answers, tombstones.
void sweep_attempts(core& c);
// Requests of this model that run or wait here.
[[nodiscard]] std::size_t work_on(const core& c, const std::string& model,
                                  const std::string& version);

// --- Upstream (upstream_keeper.cpp)

// Takes an announcement; the error is told to the upstream.
[[nodiscard]] result<nothing, protocol_error> take_announcement(core& c, const announcement& a);
// Watches the upstream and brings its models in line with the assignment, for good.
boost::asio::awaitable<void> keep_upstream(core& c);
// Models that may be routed to: confirmed by the engine and still assigned.
[[nodiscard]] std::set<std::string> serving_items(const core& c);
// True if `item` is one of them.
[[nodiscard]] bool serves_item(const core& c, const std::string& item);

// --- Membership (membership.cpp)

// Registers and renews, for good.
boost::asio::awaitable<void> keep_membership(core& c);
// Tells control that this agent is leaving.
boost::asio::awaitable<void> announce_leaving(core& c);
// Follows changes of the table.
void table_changed(core& c, const client::table& t);

}  // namespace burdockdeck::agent
