// Registration with control, lease renewal, share of the adapter limit, and leaving.
#include <algorithm>

#include "core.h"
#include "runtime/log.h"

namespace burdockdeck::agent {

namespace {

using runtime::event;
using runtime::log_event;
using runtime::severity;

constexpr duration register_timeout = std::chrono::seconds(5);
constexpr duration leaving_timeout = std::chrono::seconds(3);
constexpr duration check_interval = std::chrono::milliseconds(50);

// The share is valid only during its lease, measured by this process's own clock.
void apply_share(core& c) {
    const bool valid = steady_now() < c.membership.share_valid_until;
    const std::uint32_t share = valid ? c.membership.adapter_share : 0;
    if (share != c.adapters.capacity) {
        log_event(severity::info, event::share_changed, {{"adapters_in_flight", share}});
        queue_adapter_holders(c, admission::set_capacity(c.adapters, share));
        pump_queue(c);
    }
}

boost::asio::awaitable<void> register_agent(core& c) {
    schema::command command;
    schema::agent_registration& r = *command.mutable_register_agent()->mutable_registration();
    const announcement& a = *c.upstream.announced;
    r.set_name(c.settings.name);
    r.set_incarnation(c.incarnation);
    r.set_address(to_text(c.settings.advertise));
    r.set_failure_domain(c.settings.failure_domain);
    r.set_kind(a.kind);
    r.set_service(a.service);
    r.set_memory_mb(a.memory_mb);
    r.set_slots(a.slots);
    auto reply = co_await c.control.submit(std::move(command), register_timeout);
    if (!succeeded(reply)) {
        log_event(severity::warning, event::registration_refused,
                  {{"reason", error(reply).message}});
        co_return;
    }
    if (value(reply).status() != schema::status_done) {
        log_event(severity::warning, event::registration_refused,
                  {{"reason", value(reply).message()}});
        const std::uint64_t latest = value(reply).latest_incarnation();
        if (latest > c.incarnation && c.membership.renew_sequence == 0) {
            // The clock was set back since the last start. Taking a higher number is safe, since
            // this process has not sent a renewal yet.
            c.incarnation = latest + 1;
        } else if (latest > c.incarnation) {
            log_event(severity::error, event::superseded, {{"latest", latest}});
            c.superseded();
        }
        co_return;
    }
    c.membership.registered = true;
    c.membership.last_renewed = steady_now();
    c.residency_reported = false;
    c.reported_resident.clear();
    log_event(severity::info, event::agent_registered, {{"incarnation", c.incarnation}});
}

boost::asio::awaitable<void> renew_membership(core& c) {
    rpc::renew_request r;
    r.set_agent(c.settings.name);
    r.set_incarnation(c.incarnation);
    r.set_revision_in_force(c.control.current().revision);
    r.set_adapter_share_in_force(c.adapters.capacity);
    r.set_adapters_wanted(c.adapters.in_use +
                          static_cast<std::uint32_t>(c.adapters.waiting.size()));
    r.set_sequence(++c.membership.renew_sequence);
    const time_point sent = steady_now();
    auto reply = co_await c.control.renew(std::move(r));
    if (!succeeded(reply)) {
        co_return;
    }
    switch (value(reply).status()) {
        case rpc::renew_reply::renewed:
            c.membership.last_renewed = sent;
            c.membership.adapter_share = value(reply).adapter_share();
            c.membership.share_valid_until =
                sent + std::chrono::milliseconds(value(reply).share_lease_ms());
            break;
        case rpc::renew_reply::unregistered:
            c.membership.registered = false;
            break;
        case rpc::renew_reply::superseded:
            log_event(severity::error, event::superseded, {});
            c.superseded();
            break;
        default:
            break;
    }
}

}  // namespace

boost::asio::awaitable<void> maintain_membership(core& c) {
    time_point next_renewal{};
    while (!c.stopping) {
        const bool can_register = c.upstream.announced && c.upstream.healthy && !c.draining;
        if (!c.membership.registered && can_register) {
            co_await register_agent(c);
        } else if (c.membership.registered && steady_now() >= next_renewal) {
            next_renewal = steady_now() + c.settings.renew_interval;
            co_await renew_membership(c);
        }
        apply_share(c);
        co_await runtime::sleep_for(check_interval);
    }
}

boost::asio::awaitable<void> announce_leaving(core& c) {
    if (!c.membership.registered) {
        co_return;
    }
    schema::command command;
    command.mutable_leaving()->set_agent(c.settings.name);
    command.mutable_leaving()->set_incarnation(c.incarnation);
    command.mutable_leaving()->set_leaving(true);
    (void)co_await c.control.submit(std::move(command), leaving_timeout);
}

void on_table_changed(core& c, const client::table& t) {
    c.report.table_revision = t.revision;
    const auto own = t.agents.find(c.settings.name);
    // An agent whose lease has expired is not treated as drained, since it registers again.
    const bool drained = own != t.agents.end() &&
                         (own->second.leaving() || own->second.drained()) &&
                         own->second.registration().incarnation() == c.incarnation;
    c.leaving = drained || c.draining;
}

}  // namespace burdockdeck::agent
