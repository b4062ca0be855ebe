// Periodic tasks of a control instance, and the watches of the table.
#include <boost/asio/io_context.hpp>

#include "catalog/catalog.h"
#include "instance.h"
#include "runtime/clock.h"
#include "runtime/http.h"
#include "runtime/log.h"
#include "runtime/trace.h"
#include "watcher.h"

namespace burdockdeck::control {

namespace {

using runtime::event;
using runtime::log_event;
using runtime::severity;

constexpr duration task_interval = std::chrono::milliseconds(200);
// Interval of heartbeat updates to watchers.
constexpr duration watch_heartbeat = std::chrono::milliseconds(1000);
// An instance without contact to a leader for this long ends its watches, so that subscribers
// reconnect to another instance.
constexpr duration isolation_timeout = std::chrono::milliseconds(1500);
// Interval of planning for changed demand; a changed table is planned for within `task_interval`.
constexpr duration replan_interval = std::chrono::milliseconds(1000);
constexpr duration claim_sweep_interval = std::chrono::minutes(1);

time_point now() {
    return runtime::boot_now();
}

void ignore_reply(submit_outcome, const schema::command_reply&) {}

void propose(instance& i, schema::command command) {
    i.raft->submit(std::move(command), ignore_reply);
}

void expire_agents(instance& i) {
    for (const schema::expire_command& c : expired_agents(i.leader_fleet, i.raft->state(), now())) {
        log_event(severity::warning, event::agent_expired,
                  {{"agent", c.agent()}, {"incarnation", c.incarnation()}});
        record_event(i.leader_fleet,
                     "agent " + c.agent() + ": lease expired; taken out of service");
        schema::command command;
        *command.mutable_expire() = c;
        propose(i, std::move(command));
    }
}

void adjust_shares(instance& i) {
    for (const schema::share_command& c : share_changes(i.leader_fleet, i.raft->state(), now())) {
        schema::command command;
        *command.mutable_share() = c;
        propose(i, std::move(command));
    }
}

void release_permits(instance& i) {
    for (const schema::permit_command& c :
         expired_permits(i.leader_fleet, i.raft->state(), now())) {
        schema::command command;
        *command.mutable_permit() = c;
        propose(i, std::move(command));
    }
}

void replan(instance& i) {
    const time_point before = now();
    schema::assign_command assign = plan_assignments(i.leader_fleet, i.raft->state(), before);
    i.metrics.observe("burdockdeck_plan_seconds", now() - before);
    if (assign.assignments().empty()) {
        return;
    }
    for (const schema::assignment& a : assign.assignments()) {
        std::string models;
        for (const schema::model_instance& m : a.assigned()) {
            models += (models.empty() ? "" : ",") + m.model() + "@" + m.version();
        }
        log_event(severity::info, event::plan_made, {{"agent", a.agent()}, {"models", models}});
        record_event(i.leader_fleet, "agent " + a.agent() + ": assigned " + models);
    }
    schema::command command;
    *command.mutable_assign() = std::move(assign);
    propose(i, std::move(command));
}

void sweep_claims(instance& i) {
    const auto now_ms = static_cast<std::uint64_t>(runtime::wall_clock_ns() / 1'000'000);
    const auto kept_ms = static_cast<std::uint64_t>(to_milliseconds(i.settings.claim_retention));
    const std::uint64_t before_ms = now_ms > kept_ms ? now_ms - kept_ms : 0;
    for (const auto& [key, claim] : i.raft->state().claims()) {
        if (claim.at_ms() < before_ms) {
            schema::command command;
            command.mutable_expire_claims()->set_before_ms(before_ms);
            propose(i, std::move(command));
            return;
        }
    }
}

void heartbeat_watchers(instance& i) {
    for (const auto& w : i.watchers) {
        if (w->ready()) {
            w->send(catalog::table_since(i.raft->state(), i.raft->identity().cluster(), w->known()),
                    i.raft->state().revision());
        }
    }
}

void check_isolation(instance& i) {
    if (!i.raft->isolated()) {
        i.isolated_since = time_point{};
        return;
    }
    if (i.isolated_since == time_point{}) {
        i.isolated_since = now();
    }
    if (now() - i.isolated_since > isolation_timeout && !i.watchers.empty()) {
        log_event(severity::warning, event::isolated,
                  {{"watchers", static_cast<std::uint64_t>(i.watchers.size())}});
        end_watches(i, "isolated: no leader in contact");
    }
}

boost::asio::awaitable<void> run_periodic_tasks(instance& i) {
    time_point heartbeat_at{};
    time_point sweep_at{};
    time_point replan_at{};
    std::uint64_t planned_revision = 0;
    while (!i.stopping) {
        check_isolation(i);
        if (i.raft->is_leader()) {
            expire_agents(i);
            adjust_shares(i);
            release_permits(i);
            if (now() >= replan_at || i.raft->state().revision() != planned_revision) {
                planned_revision = i.raft->state().revision();
                replan_at = now() + replan_interval;
                replan(i);
            }
            if (now() >= sweep_at) {
                sweep_claims(i);
                sweep_at = now() + claim_sweep_interval;
            }
        }
        if (now() >= heartbeat_at) {
            heartbeat_watchers(i);
            heartbeat_at = now() + watch_heartbeat;
        }
        co_await runtime::sleep_for(task_interval);
    }
}

}  // namespace

std::shared_ptr<rpc::control::Stub> leader_stub(instance& i) {
    const std::string address = i.raft->leader_address();
    if (address.empty() || i.raft->is_leader()) {
        return nullptr;
    }
    auto& stub = i.leader_stubs[address];
    if (stub == nullptr) {
        stub = rpc::control::NewStub(runtime::open_channel(address, i.access));
    }
    return stub;
}

void start_periodic_tasks(instance& i) {
    runtime::spawn(i.loop, [&i] { return run_periodic_tasks(i); });
}

void update_watchers(instance& i) {
    for (const auto& w : i.watchers) {
        if (w->known() != i.raft->state().revision() && w->ready()) {
            w->send(catalog::table_since(i.raft->state(), i.raft->identity().cluster(), w->known()),
                    i.raft->state().revision());
        }
    }
}

void end_watches(instance& i, const std::string& reason) {
    const auto ended = i.watchers;
    for (const auto& w : ended) {
        w->end(grpc::Status(grpc::StatusCode::UNAVAILABLE, reason));
    }
}

}  // namespace burdockdeck::control
