// Structured log on Boost.Log: one line of key=value pairs per event.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

#include "base/name_table.h"

namespace burdockdeck::runtime {

// All events that the programs log.
enum class event {
    started,
    stopping,
    stopped,
    settings_refused,
    role_changed,
    members_changed,
    cluster_founded,
    cluster_joined,
    snapshot_saved,
    snapshot_installed,
    storage_failed,
    torn_tail_cut,
    isolated,
    document_in_force,
    agent_registered,
    agent_expired,
    agent_leaving,
    plan_made,
    registration_refused,
    superseded,
    upstream_announced,
    upstream_refused,
    upstream_lost,
    order_sent,
    order_done,
    order_unanswered,
    inventory_read,
    watch_opened,
    watch_lost,
    request_ended,
    request_refused,
    attempt_retried,
    attempt_resumed,
    claim_settled,
    claim_failed,
    access_refused,
    share_changed,
    storage_recovered,
    join_asked,
    member_swapped,
    deployment_in_force,
    deployment_refused,
    upstream_changed,
    upstream_dropped,
    upstreams_learnt,
    relay_lost,
    relay_regained,
    watch_refused,
    settings_reloaded,
    draining,
    attempt_failed,
    answer_cut,
    order_planned,
    order_failed,
    adapter_loaded,
    adapter_refused,
    control_lost,
    control_regained,
    upstream_ejected,
    ready_changed,
    lines_dropped,
    read_refused,
    announcement_refused,
    deployment_taken,
    deployment_fetched,
    fetch_failed,
    patch_failed,
    answer_skipped,
    engine_crash_suspected,
    engine_crash_refuted,
    crash_reported,
    request_quarantined,
    answer_header_invalid,
    upstream_notice,
    software_version,
    stream_taken_up,
    members_learnt,
    vote_handed_over,
    loop_lagged,
};

inline constexpr name_table<event, 79> event_names{{
    {event::started, "started"},
    {event::stopping, "stopping"},
    {event::stopped, "stopped"},
    {event::settings_refused, "settings_refused"},
    {event::role_changed, "role_changed"},
    {event::members_changed, "members_changed"},
    {event::cluster_founded, "cluster_founded"},
    {event::cluster_joined, "cluster_joined"},
    {event::snapshot_saved, "snapshot_saved"},
    {event::snapshot_installed, "snapshot_installed"},
    {event::storage_failed, "storage_failed"},
    {event::torn_tail_cut, "torn_tail_cut"},
    {event::isolated, "isolated"},
    {event::document_in_force, "document_in_force"},
    {event::agent_registered, "agent_registered"},
    {event::agent_expired, "agent_expired"},
    {event::agent_leaving, "agent_leaving"},
    {event::plan_made, "plan_made"},
    {event::registration_refused, "registration_refused"},
    {event::superseded, "superseded"},
    {event::upstream_announced, "upstream_announced"},
    {event::upstream_refused, "upstream_refused"},
    {event::upstream_lost, "upstream_lost"},
    {event::order_sent, "order_sent"},
    {event::order_done, "order_done"},
    {event::order_unanswered, "order_unanswered"},
    {event::inventory_read, "inventory_read"},
    {event::watch_opened, "watch_opened"},
    {event::watch_lost, "watch_lost"},
    {event::request_ended, "request_ended"},
    {event::request_refused, "request_refused"},
    {event::attempt_retried, "attempt_retried"},
    {event::attempt_resumed, "attempt_resumed"},
    {event::claim_settled, "claim_settled"},
    {event::claim_failed, "claim_failed"},
    {event::access_refused, "access_refused"},
    {event::share_changed, "share_changed"},
    {event::storage_recovered, "storage_recovered"},
    {event::join_asked, "join_asked"},
    {event::member_swapped, "member_swapped"},
    {event::deployment_in_force, "deployment_in_force"},
    {event::deployment_refused, "deployment_refused"},
    {event::upstream_changed, "upstream_changed"},
    {event::upstream_dropped, "upstream_dropped"},
    {event::upstreams_learnt, "upstreams_learnt"},
    {event::relay_lost, "relay_lost"},
    {event::relay_regained, "relay_regained"},
    {event::watch_refused, "watch_refused"},
    {event::settings_reloaded, "settings_reloaded"},
    {event::draining, "draining"},
    {event::attempt_failed, "attempt_failed"},
    {event::answer_cut, "answer_cut"},
    {event::order_planned, "order_planned"},
    {event::order_failed, "order_failed"},
    {event::adapter_loaded, "adapter_loaded"},
    {event::adapter_refused, "adapter_refused"},
    {event::control_lost, "control_lost"},
    {event::control_regained, "control_regained"},
    {event::upstream_ejected, "upstream_ejected"},
    {event::ready_changed, "ready_changed"},
    {event::lines_dropped, "lines_dropped"},
    {event::read_refused, "read_refused"},
    {event::announcement_refused, "announcement_refused"},
    {event::deployment_taken, "deployment_taken"},
    {event::deployment_fetched, "deployment_fetched"},
    {event::fetch_failed, "fetch_failed"},
    {event::patch_failed, "patch_failed"},
    {event::answer_skipped, "answer_skipped"},
    {event::engine_crash_suspected, "engine_crash_suspected"},
    {event::engine_crash_refuted, "engine_crash_refuted"},
    {event::crash_reported, "crash_reported"},
    {event::request_quarantined, "request_quarantined"},
    {event::answer_header_invalid, "answer_header_invalid"},
    {event::upstream_notice, "upstream_notice"},
    {event::software_version, "software_version"},
    {event::stream_taken_up, "stream_taken_up"},
    {event::members_learnt, "members_learnt"},
    {event::vote_handed_over, "vote_handed_over"},
    {event::loop_lagged, "loop_lagged"},
}};

// One key=value pair. Empty values and values with white space, quotes or equals signs are quoted.
struct field {
    std::string_view key;
    std::string value;

    field(std::string_view k, std::string v) : key(k), value(std::move(v)) {}
    field(std::string_view k, std::string_view v) : key(k), value(v) {}
    field(std::string_view k, const char* v) : key(k), value(v) {}
    field(std::string_view k, std::uint64_t v) : key(k), value(std::to_string(v)) {}
    field(std::string_view k, std::int64_t v) : key(k), value(std::to_string(v)) {}
    field(std::string_view k, double v) : key(k), value(std::to_string(v)) {}
    field(std::string_view k, int v) : key(k), value(std::to_string(v)) {}
    field(std::string_view k, std::uint32_t v) : key(k), value(std::to_string(v)) {}
};

enum class severity { debug, info, warning, error };

struct log_options {
    // Path of the log file; empty for standard output.
    std::string file;
    bool debug = false;
    // Rate limit, above 0. Lines in excess are dropped and counted by event.
    std::uint64_t bytes_per_second = 64 * 1024;
};

// Opens the log; returns an error message on failure. Until then log_event writes nothing. Call
// once.
[[nodiscard]] std::optional<std::string> open_log(const std::string& program,
                                                  const log_options& options);

// Writes one line, or drops it if the budget is exhausted or the descriptor is not writable. Never
// blocks on a slow reader. Safe from any thread.
void log_event(severity s, event e, std::initializer_list<field> fields);

// The line that log_event writes, without time, program, process id and level.
[[nodiscard]] std::string format_event(event e, std::initializer_list<field> fields);

}  // namespace burdockdeck::runtime
