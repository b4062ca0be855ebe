// Merges and relays announcements, and keeps watching gateways up to date.
#include "site.h"

#include "directory.h"
#include "quarantine/news.h"
#include "runtime/clock.h"
#include "runtime/http.h"
#include "runtime/log.h"
#include "runtime/task_times.h"
#include "send_permits.h"

namespace burdockdeck::control {

namespace {

using runtime::event;
using runtime::log_event;
using runtime::severity;

// Announcements that change nothing are delayed by this much, so that one call carries several.
constexpr duration relay_batch_delay = std::chrono::milliseconds(25);
constexpr duration relay_timeout = std::chrono::milliseconds(1000);
// Time before the next relay to a peer after a failed one.
constexpr duration relay_backoff = std::chrono::milliseconds(500);
constexpr duration maintenance_interval = std::chrono::milliseconds(200);
constexpr duration min_logged_lag = std::chrono::milliseconds(300);
// Interval of heartbeat updates to watchers.
constexpr duration watch_heartbeat = std::chrono::milliseconds(400);
// Upstreams load and unload all the time. The leader collects changes of their models for this
// long; the other instances send them with the next heartbeat.
constexpr duration model_batch_delay = std::chrono::milliseconds(100);
// Several gateways report one crash at about the same time; their news goes on in one update.
constexpr duration crash_batch_delay = std::chrono::milliseconds(15);
// Announced versions are added to the list of software versions at once; this interval is for
// versions that were announced to another leader, and for removals.
constexpr duration software_review_interval = std::chrono::seconds(1);
// Upstreams that have left stay in the registry for this long, so that their late announcements are
// recognised as outdated.
constexpr duration departed_retention = std::chrono::seconds(60);
// Upstreams that have stopped announcing themselves are dropped after this time.
constexpr duration silent_retention = std::chrono::seconds(60);
// Announcements of services that the deployment does not name are dropped after this many intervals
// without another one, and not before this time: announcements may be seconds late.
constexpr int max_missed_undeployed = 4;
constexpr duration min_undeployed_retention = std::chrono::seconds(10);
// Shortest time between two decodings of the deployment.
constexpr duration decode_interval = std::chrono::milliseconds(200);

rpc::site_update update_for(instance& i, const site_watcher& w, gateway_watch& watch) {
    rpc::site_update update;
    watch.sent_version = i.raft->state().deployment().version();
    update.set_up_to_date(i.raft->is_up_to_date());
    update.set_leading(i.raft->is_leader());
    update.set_version(watch.sent_version);
    for (schema::upstream_announcement& a : changed_since(i.site->upstreams, w.known())) {
        *update.add_announcements() = std::move(a);
    }
    for (const std::string& address : i.raft->member_addresses()) {
        update.add_control_addresses(address);
    }
    for (const auto& [copy, until] : i.site->pending_unloads) {
        rpc::parting_copy& p = *update.add_parting();
        p.set_upstream(copy.first);
        p.set_model(copy.second);
    }
    for (const auto& [model, at] : i.site->expected_models) {
        rpc::expected_model& e = *update.add_expected_models();
        e.set_model(model);
        e.set_expected_in_ms(static_cast<std::uint32_t>(
            to_milliseconds(std::max(duration::zero(), at - runtime::boot_now()))));
    }
    watch.placement_sent = true;
    add_limits(i, update);
    const schema::crash_news news =
        quarantine::news_since(i.site->crashes, watch.sent_crashes, runtime::boot_now());
    if (!quarantine::is_empty(news)) {
        *update.mutable_crash_news() = news;
    }
    watch.sent_crashes = i.site->crashes.revision;
    if (watch.sent_software != i.raft->state().software_revision()) {
        watch.sent_software = i.raft->state().software_revision();
        *update.mutable_software() = software_of(i.raft->state());
    }
    update.set_gateways(static_cast<std::uint32_t>(i.site->watchers.size()));
    return update;
}

void send_update(instance& i, const std::shared_ptr<site_watcher>& w, gateway_watch& watch) {
    const runtime::timed_task timed("update");
    rpc::site_update update = update_for(i, *w, watch);
    i.metrics.count("burdockdeck_site_updates_total");
    i.metrics.count("burdockdeck_site_update_bytes_total", "", update.ByteSizeLong());
    w->send(std::move(update), i.site->upstreams.changes);
}

void record_relay_result(instance& i, const std::string& address, bool lost,
                         const std::string& reason) {
    peer_link& link = i.site->peers[address];
    if (lost) {
        // The connection may be dead without an error; the next call opens a new one.
        link.stub.reset();
        link.retry_at = runtime::boot_now() + relay_backoff;
    }
    if (link.lost != lost) {
        link.lost = lost;
        log_event(severity::info, lost ? event::relay_lost : event::relay_regained,
                  {{"peer", address}, {"reason", reason}});
    }
}

boost::asio::awaitable<void> relay_to(instance& i, std::string address,
                                      rpc::announcement_relay batch) {
    const std::shared_ptr<rpc::control_peer::Stub> stub = peer_stub(i, address);
    const auto start = [&stub](auto... arguments) { stub->async()->relay(arguments...); };
    auto sent = co_await runtime::call_unary<rpc::acknowledgement>(
        i.loop.context(), i.access, std::move(batch), relay_timeout, start);
    record_relay_result(i, address, !succeeded(sent), succeeded(sent) ? "" : error(sent).message);
}

void flush_relay(instance& i) {
    if (i.site->to_relay.empty()) {
        return;
    }
    rpc::announcement_relay batch;
    batch.mutable_announcements()->Assign(i.site->to_relay.begin(), i.site->to_relay.end());
    i.site->to_relay.clear();
    const std::string self = to_text(i.settings.advertise);
    const time_point now = runtime::boot_now();
    for (const std::string& address : i.raft->member_addresses()) {
        if (address != self && now >= i.site->peers[address].retry_at) {
            runtime::spawn(i.loop, [&i, address, batch] { return relay_to(i, address, batch); });
        }
    }
}

// Sends the whole registry to a peer that missed earlier relays.
void resync_peer(instance& i, const std::string& address) {
    runtime::spawn(i.loop, [&i, address, batch = all_announcements(i)] {
        return relay_to(i, address, batch);
    });
}

boost::asio::awaitable<void> request_upstreams(instance& i, std::string address,
                                               std::shared_ptr<std::set<std::string>> answered) {
    const std::shared_ptr<rpc::control_peer::Stub> stub = peer_stub(i, address);
    const auto start = [&stub](auto... arguments) { stub->async()->known_upstreams(arguments...); };
    rpc::known_upstreams_request request;
    auto answer = co_await runtime::call_unary<rpc::announcement_relay>(
        i.loop.context(), i.access, std::move(request), relay_timeout, start);
    if (!succeeded(answer)) {
        i.site->peers[address].stub.reset();
        co_return;
    }
    if (!answered->insert(address).second) {
        co_return;
    }
    log_event(severity::info, event::upstreams_learnt,
              {{"peer", address}, {"upstreams", value(answer).announcements_size()}});
    for (const schema::upstream_announcement& a : value(answer).announcements()) {
        merge_announcement(i, a, true);
    }
}

// The registry is not in the replicated log and is empty after a start; it is fetched once from
// each other member. Calls to members that do not answer are repeated.
boost::asio::awaitable<void> recover_upstreams(instance& i) {
    const auto answered = std::make_shared<std::set<std::string>>();
    answered->insert(to_text(i.settings.advertise));
    while (!i.stopping) {
        for (const std::string& address : i.raft->member_addresses()) {
            if (!answered->contains(address)) {
                runtime::spawn(i.loop, [&i, address, answered] {
                    return request_upstreams(i, address, answered);
                });
            }
        }
        co_await runtime::sleep_for(relay_backoff);
    }
}

void resync_lost_peers(instance& i, time_point now) {
    for (auto& [address, link] : i.site->peers) {
        if (link.lost && now >= link.retry_at) {
            link.retry_at = now + relay_backoff;
            resync_peer(i, address);
        }
    }
}

boost::asio::awaitable<void> flush_relay_later(instance& i) {
    co_await runtime::sleep_for(relay_batch_delay);
    i.site->relay_scheduled = false;
    flush_relay(i);
}

void expire_upstreams(instance& i, time_point now) {
    const duration undeployed_retention = std::max<duration>(
        min_undeployed_retention, i.settings.site->announce_interval * max_missed_undeployed);
    const registry::retention_times times{departed_retention, undeployed_retention,
                                          silent_retention};
    for (const std::string& id : registry::expire(i.site->upstreams, now, times)) {
        log_event(severity::info, event::upstream_dropped, {{"upstream", id}});
    }
}

// Elections and heartbeats run on this loop: a leader whose loop lags for too long is replaced.
void record_loop_lag(instance& i, duration lag) {
    i.metrics.observe("burdockdeck_loop_lag_seconds", lag);
    const runtime::task_times times = runtime::take_task_times();
    if (lag > min_logged_lag) {
        log_event(severity::warning, event::loop_lagged,
                  {{"lag_ms", to_milliseconds(lag)},
                   {"leading", i.raft->is_leader() ? "yes" : "no"},
                   {"watchers", static_cast<std::uint64_t>(i.site->watchers.size())},
                   {"longest_task", runtime::describe_longest(times)}});
    }
}

void send_heartbeats(instance& i) {
    const time_point began_at = runtime::boot_now();
    for (auto& [w, watch] : i.site->watchers) {
        if (w->ready()) {
            send_update(i, w, watch);
        }
    }
    record_update(i.site->pacing, began_at, runtime::boot_now());
}

boost::asio::awaitable<void> run_maintenance(instance& i) {
    time_point heartbeat_at{};
    time_point software_review_at{};
    while (!i.stopping) {
        const time_point now = runtime::boot_now();
        i.metrics.set("burdockdeck_control_up_to_date", i.raft->is_up_to_date() ? 1 : 0);
        expire_upstreams(i, now);
        quarantine::expire(i.site->crashes, now);
        expire_limits(i, now);
        resync_lost_peers(i, now);
        if (now >= software_review_at) {
            software_review_at = now + software_review_interval;
            maintain_software(i, now);
        }
        if (i.raft->is_leader()) {
            repair_members(i);
        }
        if (now >= heartbeat_at) {
            heartbeat_at = now + watch_heartbeat;
            send_heartbeats(i);
        }
        const time_point due = runtime::boot_now() + maintenance_interval;
        co_await runtime::sleep_for(maintenance_interval);
        record_loop_lag(i, runtime::boot_now() - due);
    }
}

boost::asio::awaitable<void> send_crashes_later(instance& i) {
    co_await runtime::sleep_for(crash_batch_delay);
    i.site->crash_update_scheduled = false;
    i.site->urgent_crashes = i.site->crashes.revision;
    update_site_watchers(i);
}

boost::asio::awaitable<void> send_models_later(instance& i) {
    co_await runtime::sleep_for(model_batch_delay);
    i.site->model_update_scheduled = false;
    if (i.raft->is_leader()) {
        i.site->urgent_changes = i.site->upstreams.changes;
        update_site_watchers(i);
    }
}

void log_upstream(const schema::upstream_announcement& a) {
    log_event(severity::info, event::upstream_changed,
              {{"upstream", a.id()},
               {"service", a.service()},
               {"address", a.address()},
               {"born_ms", a.born_ms()},
               {"sequence", a.sequence()},
               {"state", a.state()},
               {"models", a.models_size()}});
}

// An entry that stays inactive is logged when it appears: repetitions may be many.
void log_inactive(const instance& i, const schema::upstream_announcement& a, bool known) {
    const bool deployed = registry::may_be_deployed(i.site->upstreams, a.service());
    log_event(known ? severity::debug : severity::info, event::announcement_refused,
              {{"upstream", a.id()},
               {"service", a.service()},
               {"address", a.address()},
               {"born_ms", a.born_ms()},
               {"reason", deployed ? "id or address belongs to another upstream"
                                   : "the deployment does not name the service"}});
}

void send_changes(instance& i, registry::merge_result merged) {
    if (merged == registry::merge_result::changed) {
        i.site->urgent_changes = i.site->upstreams.changes;
        update_site_watchers(i);
    } else if (merged == registry::merge_result::updated && !i.site->model_update_scheduled) {
        i.site->model_update_scheduled = true;
        runtime::spawn(i.loop, [&i] { return send_models_later(i); });
    }
}

bool lacks_urgent_news(const instance& i, const site_watcher& w, const gateway_watch& watch) {
    return watch.sent_version < i.raft->state().deployment().version() ||
           w.known() < i.site->urgent_changes || !watch.placement_sent ||
           watch.sent_crashes < i.site->urgent_crashes ||
           watch.sent_software != i.raft->state().software_revision();
}

void send_urgent_news(instance& i) {
    const time_point began_at = runtime::boot_now();
    for (auto& [w, watch] : i.site->watchers) {
        if (lacks_urgent_news(i, *w, watch) && w->ready()) {
            send_update(i, w, watch);
        }
    }
    record_update(i.site->pacing, began_at, runtime::boot_now());
}

// The heartbeat may postpone the next update while this waits.
boost::asio::awaitable<void> send_urgent_news_later(instance& i) {
    duration wait = wait_before_update(i.site->pacing, runtime::boot_now());
    while (wait > duration::zero()) {
        co_await runtime::sleep_for(wait);
        wait = wait_before_update(i.site->pacing, runtime::boot_now());
    }
    i.site->pacing.scheduled = false;
    send_urgent_news(i);
}

}  // namespace

void start_site(instance& i) {
    start_joining(i);
    start_reporting_to_seeds(i);
    start_planning(i);
    runtime::spawn(i.loop, [&i] { return run_maintenance(i); });
    runtime::spawn(i.loop, [&i] { return recover_upstreams(i); });
}

void end_site_watches(instance& i) {
    const auto ended = i.site->watchers;
    for (const auto& [w, watch] : ended) {
        w->end(grpc::Status(grpc::StatusCode::UNAVAILABLE, "this instance is stopping"));
    }
}

void refresh_deployment(instance& i, time_point now) {
    const schema::deployment_record& newest = i.raft->state().deployment();
    if (i.site->current.version == newest.version() || now - i.site->decoded_at < decode_interval) {
        return;
    }
    i.site->decoded_at = now;
    const runtime::timed_task timed("deployment");
    auto decoded = i.site->protocol.decode_deployment(newest.source());
    if (!succeeded(decoded)) {
        log_event(severity::error, event::deployment_refused,
                  {{"version", newest.version()}, {"reason", error(decoded).message}});
        return;
    }
    i.site->current = std::move(value(decoded));
    std::set<std::string, std::less<>> services;
    for (const deployment::service_spec& s : i.site->current.services) {
        services.insert(s.name);
    }
    for (const schema::upstream_announcement& a :
         registry::set_services(i.site->upstreams, std::move(services))) {
        log_upstream(a);
        add_software(i, a);
        i.site->to_relay.push_back(a);
    }
    if (!i.site->to_relay.empty()) {
        flush_relay(i);
        send_changes(i, registry::merge_result::changed);
    }
}

void merge_announcement(instance& i, const schema::upstream_announcement& a, bool relayed) {
    const runtime::timed_task timed("announcement");
    const bool known = find_entry(i.site->upstreams, {a.id(), a.service()}) != nullptr;
    const registry::merge_result merged =
        registry::merge(i.site->upstreams, a, runtime::boot_now());
    if (merged == registry::merge_result::outdated) {
        log_event(severity::debug, event::announcement_refused,
                  {{"upstream", a.id()}, {"sequence", a.sequence()}, {"reason", "outdated"}});
        return;
    }
    if (merged == registry::merge_result::inactive) {
        log_inactive(i, a, known);
        return;
    }
    if (merged == registry::merge_result::changed || merged == registry::merge_result::updated) {
        log_upstream(a);
        send_changes(i, merged);
        add_software(i, a);
    }
    if (relayed) {
        return;
    }
    i.site->to_relay.push_back(a);
    if (merged == registry::merge_result::changed) {
        flush_relay(i);
    } else if (!i.site->relay_scheduled) {
        i.site->relay_scheduled = true;
        runtime::spawn(i.loop, [&i] { return flush_relay_later(i); });
    }
}

void withdraw_leaving(instance& i, const rpc::demand_report& report) {
    for (const rpc::leaving_upstream& l : report.leaving()) {
        for (const schema::upstream_announcement& a :
             registry::withdrawals_of(i.site->upstreams, l.id(), l.born_ms())) {
            log_event(severity::info, event::upstream_notice,
                      {{"upstream", l.id()},
                       {"notice", "leaving"},
                       {"born_ms", l.born_ms()},
                       {"source", report.gateway()}});
            merge_announcement(i, a, false);
        }
    }
}

rpc::announcement_relay all_announcements(const instance& i) {
    rpc::announcement_relay all;
    for (const auto& [key, e] : i.site->upstreams.upstreams) {
        if (registry::may_be_deployed(i.site->upstreams, key.service)) {
            *all.add_announcements() = e.latest;
        }
    }
    return all;
}

void open_site_watch(instance& i, std::shared_ptr<site_watcher> w,
                     const rpc::watch_site_request& request) {
    gateway_watch& watch = i.site->watchers[w];
    watch.name = request.name();
    log_event(severity::info, event::watch_opened,
              {{"gateway", request.name()}, {"known_version", request.known_version()}});
    send_update(i, w, watch);
}

void update_site_watchers(instance& i) {
    record_deployment(i.site->history, i.raft->state().deployment());
    update_pacing& pacing = i.site->pacing;
    if (pacing.scheduled) {
        return;
    }
    if (wait_before_update(pacing, runtime::boot_now()) > duration::zero()) {
        pacing.scheduled = true;
        runtime::spawn(i.loop, [&i] { return send_urgent_news_later(i); });
        return;
    }
    send_urgent_news(i);
}

void update_site_watcher(instance& i, const std::shared_ptr<site_watcher>& w) {
    if (i.site->pacing.scheduled) {
        return;
    }
    const auto found = i.site->watchers.find(w);
    if (found != i.site->watchers.end() && lacks_urgent_news(i, *w, found->second) && w->ready()) {
        send_update(i, w, found->second);
    }
}

void merge_crash_report(instance& i, const rpc::crash_report& report) {
    for (const schema::engine_crash& c : report.news().crashes()) {
        if (!i.site->crashes.crashes.contains({c.upstream(), c.born_ms()})) {
            log_event(severity::info, event::crash_reported,
                      {{"gateway", report.gateway()},
                       {"upstream", c.upstream()},
                       {"born_ms", c.born_ms()},
                       {"age_ms", c.age_ms()},
                       {"unanswered", c.unanswered_size()}});
        }
    }
    const bool changed = quarantine::merge(i.site->crashes, report.news(), runtime::boot_now());
    i.metrics.set("burdockdeck_control_crashes",
                  static_cast<double>(i.site->crashes.crashes.size()));
    // Answers alone wait for the next update.
    if (changed && !report.news().crashes().empty() && !i.site->crash_update_scheduled) {
        i.site->crash_update_scheduled = true;
        runtime::spawn(i.loop, [&i] { return send_crashes_later(i); });
    }
}

rpc::fetch_deployment_reply answer_fetch(instance& i, std::uint64_t known_version) {
    const runtime::timed_task timed("patch");
    record_deployment(i.site->history, i.raft->state().deployment());
    rpc::fetch_deployment_reply reply = patch_for(i.site->history, known_version);
    reply.set_up_to_date(i.raft->is_up_to_date());
    i.metrics.count("burdockdeck_site_update_bytes_total", "", reply.ByteSizeLong());
    return reply;
}

std::string rpc_address(const instance& i, const settings::endpoint& seed) {
    return to_text(settings::endpoint{seed.ip, i.settings.site->rpc_port});
}

std::shared_ptr<rpc::control_peer::Stub> peer_stub(instance& i, const std::string& address) {
    auto& stub = i.site->peers[address].stub;
    if (stub == nullptr) {
        stub = rpc::control_peer::NewStub(runtime::open_channel(address, i.access));
    }
    return stub;
}

}  // namespace burdockdeck::control
