// Decisions of the leader from its view of the fleet.
#include "fleet.h"

#include <algorithm>
#include <numeric>

#include "admission/limit.h"
#include "catalog/catalog.h"

namespace burdockdeck::control {

namespace {

constexpr std::size_t max_events = 200;
constexpr std::size_t max_decisions_per_model = 20;
// Retry interval while the weight store is at its limit of concurrent loads.
constexpr duration store_full_retry = std::chrono::milliseconds(200);

// Records of live agents of engines, sorted by name.
std::vector<const schema::agent_record*> live_engines(const schema::catalog_state& state) {
    std::vector<const schema::agent_record*> out;
    for (const auto& [name, record] : state.agents()) {
        if (record.live() && record.registration().kind() == schema::upstream_engine) {
            out.push_back(&record);
        }
    }
    std::sort(out.begin(), out.end(), [](const auto* a, const auto* b) {
        return a->registration().name() < b->registration().name();
    });
    return out;
}

const agent_lease* lease_of(const fleet& f, const schema::agent_record& record) {
    const auto found = f.leases.find(record.registration().name());
    if (found == f.leases.end() ||
        found->second.incarnation != record.registration().incarnation()) {
        return nullptr;
    }
    return &found->second;
}

struct share_plan {
    std::vector<const schema::agent_record*> holders;
    std::vector<std::uint32_t> targets;
    // The part of the limit that is not granted; 0 if grants exceed the limit.
    std::uint32_t free = 0;
};

share_plan plan_shares(const fleet& f, const schema::catalog_state& state) {
    share_plan p;
    p.holders = live_engines(state);
    const std::uint32_t limit = state.current().document().limits().adapters_in_flight();
    std::vector<admission::share> shares;
    std::uint32_t granted = 0;
    for (const schema::agent_record* record : p.holders) {
        const agent_lease* lease = lease_of(f, *record);
        admission::share s;
        s.granted = record->adapter_share();
        s.in_force = lease == nullptr ? s.granted : lease->share_in_force;
        s.wanted = lease == nullptr ? 0 : lease->adapters_wanted;
        shares.push_back(s);
    }
    for (const auto& [name, record] : state.agents()) {
        granted += record.adapter_share();
    }
    p.targets = admission::divide(limit, shares);
    p.free = limit > granted ? limit - granted : 0;
    std::uint32_t missing = 0;
    for (std::size_t i = 0; i < shares.size(); ++i) {
        missing += p.targets[i] > shares[i].granted ? p.targets[i] - shares[i].granted : 0;
    }
    // No holder's share is reduced while the free part covers all increases.
    if (missing <= p.free && granted <= limit) {
        for (std::size_t i = 0; i < shares.size(); ++i) {
            p.targets[i] = std::max(p.targets[i], shares[i].granted);
        }
    }
    return p;
}

std::uint32_t target_share(const fleet& f, const schema::catalog_state& state,
                           const std::string& agent) {
    const share_plan p = plan_shares(f, state);
    for (std::size_t i = 0; i < p.holders.size(); ++i) {
        if (p.holders[i]->registration().name() == agent) {
            return std::min(p.targets[i], p.holders[i]->adapter_share());
        }
    }
    return 0;
}

// True once the holder's own lease on its share must have expired, even if it received the answer
// to its last renewal.
bool share_lease_expired(const fleet& f, const schema::agent_record& record, time_point now) {
    const agent_lease* lease = lease_of(f, record);
    const time_point renewed = lease == nullptr ? f.leading_since : lease->renewed;
    return now - std::max(renewed, f.leading_since) >
           f.settings.share_lease + f.settings.share_drift;
}

std::vector<placement::model_version> instances_of(
    const google::protobuf::RepeatedPtrField<schema::model_instance>& list) {
    std::vector<placement::model_version> out;
    for (const schema::model_instance& i : list) {
        out.push_back({i.model(), i.version()});
    }
    return out;
}

void refill_load_credit(fleet& f, const schema::fleet_limits& limits, time_point now) {
    const double earned = to_seconds(now - f.credit_refilled) * limits.weight_loads_per_second();
    f.load_credit = std::min(1.0, f.load_credit + earned);
    f.credit_refilled = now;
}

}  // namespace

void record_event(fleet& f, std::string text) {
    f.events.push_back(std::move(text));
    if (f.events.size() > max_events) {
        f.events.pop_front();
    }
}

void begin_leading(fleet& f, const schema::catalog_state& state, time_point now) {
    const fleet_settings settings = f.settings;
    f = {};
    f.settings = settings;
    f.leading_since = now;
    f.credit_refilled = now;
    for (const auto& [name, record] : state.agents()) {
        if (record.live()) {
            f.leases[name] = {record.registration().incarnation(), now, record.adapter_share(), 0,
                              0};
        }
    }
}

std::vector<schema::expire_command> expired_agents(const fleet& f,
                                                   const schema::catalog_state& state,
                                                   time_point now) {
    std::vector<schema::expire_command> out;
    for (const auto& [name, record] : state.agents()) {
        if (!record.live()) {
            continue;
        }
        const agent_lease* lease = lease_of(f, record);
        if (lease != nullptr && now - lease->renewed <= f.settings.agent_lease) {
            continue;
        }
        schema::expire_command c;
        c.set_agent(name);
        c.set_incarnation(record.registration().incarnation());
        out.push_back(c);
    }
    return out;
}

std::vector<placement::agent_view> agent_views(const schema::catalog_state& state) {
    std::vector<placement::agent_view> views;
    for (const schema::agent_record* record : live_engines(state)) {
        placement::agent_view v;
        v.name = record->registration().name();
        v.incarnation = record->registration().incarnation();
        v.failure_domain = record->registration().failure_domain();
        v.memory_mb = record->registration().memory_mb();
        v.leaving = !catalog::in_service(*record);
        v.assigned = instances_of(record->assigned());
        v.resident = instances_of(record->resident());
        views.push_back(std::move(v));
    }
    return views;
}

placement::demand_by_model demand_of(const fleet& f, const schema::catalog_state& state,
                                     time_point now) {
    std::uint64_t slots = 0;
    const auto engines = live_engines(state);
    for (const schema::agent_record* record : engines) {
        slots += record->registration().slots();
    }
    const double slots_each =
        engines.empty()
            ? 1.0
            : std::max(1.0, static_cast<double>(slots) / static_cast<double>(engines.size()));
    placement::demand_by_model demand;
    for (const auto& [name, s] : f.subscribers) {
        if (now - s.seen > f.settings.subscriber_timeout) {
            continue;
        }
        for (const auto& [model, in_flight] : s.in_flight) {
            demand[model] += in_flight / slots_each;
        }
    }
    return demand;
}

std::vector<schema::share_command> share_changes(const fleet& f, const schema::catalog_state& state,
                                                 time_point now) {
    std::vector<schema::share_command> out;
    const share_plan p = plan_shares(f, state);
    std::uint32_t free = p.free;
    const auto propose = [&](const schema::agent_record& record, std::uint32_t share) {
        schema::share_command c;
        c.set_agent(record.registration().name());
        c.set_incarnation(record.registration().incarnation());
        c.set_adapter_share(share);
        out.push_back(c);
    };
    for (const auto& [name, record] : state.agents()) {
        const bool silent = !record.live() && record.adapter_share() > 0;
        if (silent && share_lease_expired(f, record, now)) {
            propose(record, 0);
        }
    }
    for (std::size_t i = 0; i < p.holders.size(); ++i) {
        const schema::agent_record& record = *p.holders[i];
        const agent_lease* lease = lease_of(f, record);
        const std::uint32_t granted = record.adapter_share();
        // A share is reduced only after the holder has reported that it uses no more than the
        // target.
        const bool within_target = lease != nullptr && lease->share_in_force <= p.targets[i];
        if (p.targets[i] < granted && within_target) {
            propose(record, p.targets[i]);
        } else if (p.targets[i] > granted && free > 0) {
            const std::uint32_t increase = std::min(free, p.targets[i] - granted);
            propose(record, granted + increase);
            free -= increase;
        }
    }
    return out;
}

rpc::renew_reply renew(fleet& f, const schema::catalog_state& state,
                       const rpc::renew_request& request, time_point now) {
    rpc::renew_reply reply;
    subscriber& s = f.subscribers[request.agent()];
    s.revision_in_force = request.revision_in_force();
    s.seen = now;
    if (request.entry()) {
        s.in_flight.clear();
        for (const rpc::model_demand& d : request.demand()) {
            s.in_flight[d.model()] = d.in_flight();
        }
        reply.set_status(rpc::renew_reply::renewed);
        return reply;
    }
    const auto found = state.agents().find(request.agent());
    const std::uint64_t known =
        found == state.agents().end() ? 0 : found->second.registration().incarnation();
    if (known > request.incarnation()) {
        reply.set_status(rpc::renew_reply::superseded);
        return reply;
    }
    if (known < request.incarnation() || !found->second.live()) {
        reply.set_status(rpc::renew_reply::unregistered);
        return reply;
    }
    agent_lease& lease = f.leases[request.agent()];
    if (lease.incarnation == request.incarnation() && request.sequence() < lease.sequence) {
        reply.set_status(rpc::renew_reply::no_leader);
        return reply;
    }
    lease.sequence = request.sequence();
    lease.incarnation = request.incarnation();
    lease.renewed = now;
    lease.share_in_force = request.adapter_share_in_force();
    lease.adapters_wanted = request.adapters_wanted();
    reply.set_status(rpc::renew_reply::renewed);
    reply.set_share_lease_ms(static_cast<std::uint32_t>(to_milliseconds(f.settings.share_lease)));
    reply.set_adapter_share(target_share(f, state, request.agent()));
    lease.share_in_force = std::max(lease.share_in_force, reply.adapter_share());
    return reply;
}

permit_answer decide_permit(fleet& f, const schema::catalog_state& state,
                            const std::string& order_id, time_point now) {
    if (state.permits().contains(order_id)) {
        f.permit_expiry[order_id] = now + f.settings.permit_lease;
        return {permit_decision::granted, {}};
    }
    const schema::fleet_limits& limits = state.current().document().limits();
    if (state.permits().size() >= limits.weight_loads_at_once()) {
        return {permit_decision::wait, store_full_retry};
    }
    refill_load_credit(f, limits, now);
    if (f.load_credit < 1.0) {
        const double seconds = (1.0 - f.load_credit) / limits.weight_loads_per_second();
        return {permit_decision::wait,
                std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds))};
    }
    f.load_credit -= 1.0;
    return {permit_decision::propose, {}};
}

std::vector<schema::permit_command> expired_permits(fleet& f, const schema::catalog_state& state,
                                                    time_point now) {
    std::erase_if(f.permit_expiry,
                  [&](const auto& p) { return !state.permits().contains(p.first); });
    std::vector<schema::permit_command> out;
    for (const auto& [order_id, record] : state.permits()) {
        const auto known = f.permit_expiry.try_emplace(order_id, now + f.settings.permit_lease);
        if (known.first->second > now) {
            continue;
        }
        schema::permit_command c;
        c.set_order_id(order_id);
        c.set_release(true);
        out.push_back(c);
    }
    return out;
}

schema::assign_command plan_assignments(fleet& f, const schema::catalog_state& state,
                                        time_point now) {
    schema::assign_command command;
    if (state.current().revision() == 0) {
        return command;
    }
    const placement::plan_result p =
        placement::plan(state.current().document(), agent_views(state), demand_of(f, state, now),
                        f.settings.plan, f.planner, now);
    for (const placement::assignment& change : p.changes) {
        schema::assignment& a = *command.add_assignments();
        a.set_agent(change.agent);
        a.set_incarnation(change.incarnation);
        for (const placement::model_version& i : change.assigned) {
            schema::model_instance& m = *a.add_assigned();
            m.set_model(i.model);
            m.set_version(i.version);
        }
    }
    command.set_document_revision(state.current().revision());
    for (const placement::decision& d : p.decisions) {
        auto& model_decisions = f.decisions[d.model];
        if (model_decisions.empty() || model_decisions.back() != d.text) {
            model_decisions.push_back(d.text);
        }
        if (model_decisions.size() > max_decisions_per_model) {
            model_decisions.pop_front();
        }
    }
    return command;
}

}  // namespace burdockdeck::control
