// Asks the leading control instance for permits; paces by a share of its own while there is none.
#include "send_permits.h"

#include "core.h"
#include "ratelimit/news.h"
#include "runtime/clock.h"
#include "runtime/http.h"
#include "runtime/log.h"

namespace burdockdeck::gateway {

namespace asio = boost::asio;
using runtime::event;
using runtime::log_event;
using runtime::severity;

namespace {

// Reports are sent every 500 ms; this covers a few lost ones.
constexpr duration report_period = std::chrono::seconds(2);
constexpr duration permit_timeout = std::chrono::milliseconds(300);
// Time until a control instance that did not answer is asked again.
constexpr duration permit_retry = std::chrono::milliseconds(500);
// A leader sends updates every 400 ms. Without one for this long, requests are paced by this
// gateway's own share.
constexpr duration leader_timeout = std::chrono::seconds(1);
constexpr duration denial_without_leader = std::chrono::milliseconds(200);

ratelimit::target target_of(const dispatch::upstream& u) {
    return {u.id, u.born_ms};
}

void update_limit(dispatch::upstream& u, const ratelimit::stated_limit& s, std::string_view source,
                  time_point now) {
    if (!ratelimit::merge(u.limit, s)) {
        return;
    }
    if (s.per_second <= 0) {
        u.permits_denied_until = {};
    }
    log_event(severity::info, event::upstream_notice,
              {{"upstream", u.id},
               {"notice", name_in(dispatch::obstacle_names, dispatch::obstacle::rate_limited)},
               {"born_ms", u.born_ms},
               {"per_second", s.per_second},
               {"age_ms", to_milliseconds(now - s.stated_at)},
               {"source", source},
               {"in_flight", u.in_flight}});
}

dispatch::upstream* find(core& c, const dispatch::incarnation& i) {
    const auto found = c.view.upstreams.find(i.id);
    const bool present =
        found != c.view.upstreams.end() && dispatch::is_incarnation(found->second, i);
    return present ? &found->second : nullptr;
}

// The leader's decision; empty if none leads or it did not answer.
asio::awaitable<std::optional<ratelimit::permit>> ask_leader(core& c, schema::rate_limit limit,
                                                             duration max_wait) {
    if (c.leader == nullptr || runtime::boot_now() < c.ask_leader_at) {
        co_return std::nullopt;
    }
    const std::shared_ptr<rpc::control::Stub> stub = c.leader;
    const auto start = [&stub](auto... arguments) { stub->async()->permit_send(arguments...); };
    rpc::permit_send_request request;
    *request.mutable_limit() = std::move(limit);
    request.set_max_wait_ms(static_cast<std::uint32_t>(to_milliseconds(max_wait)));
    auto answer = co_await runtime::call_unary<rpc::permit_send_reply>(
        c.traffic.context(), c.access, std::move(request), permit_timeout, start);
    if (!succeeded(answer) || !value(answer).leading()) {
        c.ask_leader_at = runtime::boot_now() + permit_retry;
        c.metrics.count("burdockdeck_permits_unanswered_total");
        co_return std::nullopt;
    }
    c.leader_heard_at = runtime::boot_now();
    co_return ratelimit::permit{value(answer).granted(),
                                std::chrono::milliseconds(value(answer).wait_ms())};
}

ratelimit::permit permit_without_leader(core& c, dispatch::upstream& u, duration max_wait,
                                        time_point now) {
    if (now - c.leader_heard_at < leader_timeout) {
        return {false, denial_without_leader};
    }
    const double share = ratelimit::share_without_ledger(c.settings.name, target_of(u),
                                                         u.limit.per_second, c.view.gateways);
    return share > 0 ? ratelimit::take(u.own_permits, share, max_wait, now)
                     : ratelimit::permit{false, leader_timeout};
}

}  // namespace

void add_limits(rpc::demand_report& report, const site_view& v, time_point now) {
    for (const auto& [id, u] : v.upstreams) {
        if (u.limit_heard_at != time_point{} && now - u.limit_heard_at < report_period) {
            *report.add_limits() = ratelimit::to_message(target_of(u), u.limit, now);
        }
    }
}

void record_limit(dispatch::upstream& u, const answer_facts& facts, time_point sent_at,
                  time_point now) {
    const bool says_ended =
        facts.signed_by_upstream && u.limit.per_second > 0 && sent_at > u.limit.stated_at;
    if (!facts.requests_per_second && !says_ended) {
        return;
    }
    u.limit_heard_at = now;
    update_limit(u, {facts.requests_per_second.value_or(0), now}, "answer", now);
}

void apply_limits(core& c, const rpc::site_update& update, time_point now) {
    if (!update.leading()) {
        return;
    }
    c.leader_heard_at = now;
    for (const schema::rate_limit& m : update.limits()) {
        const auto found = c.view.upstreams.find(m.upstream());
        if (found != c.view.upstreams.end() && found->second.born_ms == m.born_ms()) {
            update_limit(found->second, ratelimit::statement_of(m, now), "control", now);
        }
    }
}

asio::awaitable<bool> acquire_permit(core& c, dispatch::incarnation to, duration max_wait) {
    const dispatch::upstream* limited = find(c, to);
    if (limited == nullptr || limited->limit.per_second <= 0) {
        co_return limited != nullptr;
    }
    schema::rate_limit limit =
        ratelimit::to_message(target_of(*limited), limited->limit, runtime::boot_now());
    const std::optional<ratelimit::permit> answered =
        co_await ask_leader(c, std::move(limit), max_wait);
    dispatch::upstream* u = find(c, to);
    if (u == nullptr) {
        co_return false;
    }
    const time_point now = runtime::boot_now();
    const ratelimit::permit p = answered ? *answered : permit_without_leader(c, *u, max_wait, now);
    if (!p.granted) {
        u->permits_denied_until = now + p.wait;
        co_return false;
    }
    if (p.wait > duration::zero()) {
        co_await runtime::sleep_for(p.wait);
    }
    co_return find(c, to) != nullptr;
}

}  // namespace burdockdeck::gateway
