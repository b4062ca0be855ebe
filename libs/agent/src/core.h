// State shared by the parts of one agent, and their entry points. Unless marked otherwise, all of
// it is used on the control loop only.
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

// Key of a model version in the memory ledger.
[[nodiscard]] inline std::string item_key(const std::string& model, const std::string& version) {
    return model + "@" + version;
}

// State of the upstream that this agent serves.
struct upstream_state {
    std::optional<announcement> announced;
    bool healthy = false;
    // True if the inventory has been read since the last start of the agent or the engine.
    bool inventory_read = false;
    std::uint32_t failures = 0;
};

// Registration with control: lease and share of the adapter limit.
struct membership_state {
    bool registered = false;
    time_point last_renewed{};
    std::uint64_t renew_sequence = 0;
    std::uint32_t adapter_share = 0;
    time_point share_valid_until{};
    duration lease = std::chrono::seconds(4);
};

// Invariants: an attempt id is in `attempts` or `tombstones`, never in both; every received id is
// kept for `attempt_retention`, which is longer than any deadline.
struct core {
    core(const agent_settings& s, runtime::rpc_access a)
        : settings(s),
          access(std::move(a)),
          loop("control"),
          traffic("traffic", s.traffic_threads),
          control(loop, s.control, access) {}

    agent_settings settings;
    runtime::rpc_access access;
    // Thread-safe.
    runtime::metrics metrics;
    queue_report report;

    runtime::loop loop;
    runtime::loop_pool traffic;
    client::control_client control;
    std::uint64_t incarnation = 0;
    membership_state membership;
    upstream_state upstream;
    // For orders, inventory and health checks; each traffic loop has its own client for work.
    std::unique_ptr<runtime::http_client> orders_client;
    std::map<runtime::loop*, std::shared_ptr<runtime::http_client>> work_clients;

    ledger::ledger memory;
    // Highest fence that the engine has accepted in an order.
    std::uint64_t accepted_fence = 0;
    bool order_running = false;
    // Models last reported to control as resident.
    std::set<std::string> reported_resident;
    bool residency_reported = false;

    queueing::queue queue;
    admission::limit adapters;
    std::uint64_t last_number = 0;
    std::unordered_map<std::string, std::shared_ptr<attempt>> attempts;
    std::unordered_map<std::uint64_t, std::shared_ptr<attempt>> by_number;
    // Ended attempts with the time of their end, oldest first.
    std::deque<std::pair<time_point, std::shared_ptr<attempt>>> ended;
    std::size_t kept_bytes = 0;
    // Attempts that must never start here, with the time of that decision.
    std::unordered_map<std::string, time_point> tombstones;

    // True while an operator drains this agent, or while it drains before shutdown.
    bool leaving = false;
    bool draining = false;
    bool stopping = false;
    std::function<void()> superseded;
};

inline constexpr duration attempt_retention = std::chrono::minutes(15);

[[nodiscard]] inline time_point steady_now() {
    return std::chrono::steady_clock::now();
}

// --- Work (work.cpp)

// Handles a run request: attaches its stream to a known attempt, queues a new one, or refuses it.
void handle_run(core& c, const rpc::run_request& request,
                const std::shared_ptr<answer_stream>& stream);
// Cancels an attempt that has not started. If it has not been received yet, a tombstone prevents a
// later start.
[[nodiscard]] rpc::cancel_reply::cancel_status cancel_before_start(
    core& c, const rpc::cancel_request& request);
// Stops an attempt, whether it has started or not. A service call that has started cannot be
// stopped.
[[nodiscard]] rpc::cancel_reply::cancel_status stop_attempt(core& c,
                                                            const rpc::cancel_request& request);
// Starts queued work as slots allow, and ends work that can no longer meet its deadline.
void pump_queue(core& c);
// Queues attempts that waited for an adapter slot and have now acquired one.
void queue_adapter_holders(core& c, const std::vector<admission::waiter>& holders);
// Sends heartbeats, stops orphaned attempts, and drops outdated answers, ids and tombstones.
void sweep_attempts(core& c);
// Number of requests for this model version that run or wait here.
[[nodiscard]] std::size_t count_requests(const core& c, const std::string& model,
                                         const std::string& version);

// --- Upstream (upstream_keeper.cpp)

// Applies an announcement; the error is returned to the upstream.
[[nodiscard]] result<nothing, protocol_error> apply_announcement(core& c, const announcement& a);
// Checks the upstream's health and reconciles its models with the assignment, until shutdown.
boost::asio::awaitable<void> monitor_upstream(core& c);
// Models that may receive requests: confirmed by the engine and still assigned.
[[nodiscard]] std::set<std::string> serving_items(const core& c);
// True if `item` is one of serving_items().
[[nodiscard]] bool serves_item(const core& c, const std::string& item);

// --- Membership (membership.cpp)

// Registers with control and renews the lease, until shutdown.
boost::asio::awaitable<void> maintain_membership(core& c);
// Informs control that this agent is leaving.
boost::asio::awaitable<void> announce_leaving(core& c);
// Applies a new table: its revision, and whether this agent is drained.
void on_table_changed(core& c, const client::table& t);

}  // namespace burdockdeck::agent
