// Connects the parts of one gateway: listeners, the watch on control, demand reports and the
// graceful stop.
#include "gateway/server.h"

#include <malloc.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "answer_cut.h"
#include "beacon_listener.h"
#include "core.h"
#include "drain.h"
#include "quarantine.h"
#include "readiness.h"
#include "request.h"
#include "runtime/clock.h"
#include "runtime/http.h"
#include "runtime/log.h"
#include "send_permits.h"
#include "session.h"
#include "stream_origin.h"
#include "takeover.h"
#include "upstream_notices.h"

namespace burdockdeck::gateway {

namespace asio = boost::asio;
using runtime::event;
using runtime::log_event;
using runtime::severity;
using tcp = asio::ip::tcp;

namespace {

constexpr duration maintenance_interval = std::chrono::milliseconds(125);
// Buffers of this size are returned to the system when they are freed. Without a fixed threshold
// glibc raises it to the largest buffer freed so far, and long answers leave a fragmented heap.
constexpr int min_returned_bytes = 128 * 1024;
constexpr int maintenance_runs_per_report = 4;
// Time until the platform sends no new connections: it checks readiness once a second and removes a
// gateway after two failed checks.
constexpr duration removal_delay = std::chrono::milliseconds(2600);
// Open requests are aborted this long before the grace time ends.
constexpr duration grace_margin = std::chrono::milliseconds(400);
// Time to write the errors for requests that are given up then.
constexpr duration last_answers_time = std::chrono::milliseconds(150);
constexpr duration last_answers_check_interval = std::chrono::milliseconds(10);
constexpr duration drain_check_interval = std::chrono::milliseconds(50);
constexpr duration accept_retry_delay = std::chrono::milliseconds(20);

using acceptor_ptr = std::shared_ptr<tcp::acceptor>;

result<acceptor_ptr, gateway_error> open_acceptor(asio::io_context& context,
                                                  const settings::endpoint& at) {
    const tcp::endpoint endpoint(asio::ip::make_address(at.ip), at.port);
    auto acceptor = std::make_shared<tcp::acceptor>(context);
    boost::system::error_code failed;
    (void)acceptor->open(endpoint.protocol(), failed);
    if (!failed) {
        (void)acceptor->set_option(tcp::acceptor::reuse_address(true), failed);
    }
    if (!failed) {
        (void)acceptor->bind(endpoint, failed);
    }
    if (!failed) {
        (void)acceptor->listen(asio::socket_base::max_listen_connections, failed);
    }
    if (failed) {
        return gateway_error{"listen on " + to_text(at) + ": " + failed.message()};
    }
    return acceptor;
}

asio::awaitable<void> accept_callers(core& c, acceptor_ptr acceptor) {
    while (true) {
        auto [failed, socket] =
            co_await acceptor->async_accept(asio::as_tuple(asio::use_awaitable));
        if (failed == asio::error::operation_aborted) {
            co_return;
        }
        if (failed) {
            // For example out of file descriptors: wait, since an immediate retry would spin.
            log_event(severity::warning, event::access_refused, {{"reason", failed.message()}});
            co_await runtime::sleep_for(accept_retry_delay);
            continue;
        }
        auto s = std::make_shared<session>(c, std::move(socket));
        c.sessions.push_back(s);
        runtime::spawn(c.traffic, [s] { return s->run(); });
    }
}

asio::awaitable<void> handle_platform_request(core& c, runtime::http_exchange& exchange) {
    runtime::http_response response;
    const runtime::http_request& request = exchange.request();
    if (c.protocol.is_readiness_check(request.method, request.target)) {
        const bool ready = is_ready(c, std::chrono::steady_clock::now());
        response.status = ready ? 200 : 503;
        response.body = ready ? "{}" : R"({"error":"not ready"})";
    } else if (request.path() == "/metrics") {
        response.content_type = "text/plain; version=0.0.4";
        c.metrics.set("process_resident_memory_bytes",
                      static_cast<double>(runtime::resident_bytes()));
        c.metrics.set("process_cpu_seconds", to_seconds(runtime::processor_time()));
        response.body = c.metrics.to_text();
    } else {
        response.status = 404;
    }
    (void)co_await exchange.respond(std::move(response));
}

// Drops the idle connections to upstreams that can no longer be used.
void drop_unused_pools(core& c) {
    std::erase_if(c.pools, [&](const auto& item) {
        const auto found = c.view.upstreams.find(item.first);
        return found == c.view.upstreams.end() ||
               (!found->second.accepting && found->second.in_flight == 0);
    });
}

bool is_declared(const deployment::site& deployed, const demand_key& key) {
    const deployment::service_spec* service = deployment::find_service(deployed, key.service);
    return service != nullptr && deployment::find_model(service->engine, key.model) != nullptr;
}

void log_upstream(const schema::upstream_announcement& a) {
    log_event(severity::info, event::upstream_changed,
              {{"upstream", a.id()},
               {"address", a.address()},
               {"born_ms", a.born_ms()},
               {"sequence", a.sequence()},
               {"state", a.state()},
               {"models", a.models_size()}});
}

}  // namespace

struct gateway_server::state {
    state(const gateway_settings& s, caller_protocol p, runtime::rpc_access a)
        : gateway_core(s, std::move(p), std::move(a)) {}

    core gateway_core;
    runtime::loop_pool platform_loops{"platform", 1};
    std::unique_ptr<site_client> control;
    std::unique_ptr<beacon_listener> beacons;
    acceptor_ptr acceptor;
    time_point last_report_at{};
    std::unique_ptr<runtime::http_server> ready;
    std::unique_ptr<runtime::http_server> metrics;
    int maintenance_runs = 0;

    // Decodes a deployment on the control loop, since a long one would delay the traffic loop.
    void handle_deployment(std::uint64_t version, const std::string& text,
                           time_point confirmed_at) {
        auto decoded = gateway_core.protocol.decode_deployment(text);
        if (!succeeded(decoded)) {
            // Control accepts only deployments that it can decode, so this gateway is an older
            // version than control.
            log_event(severity::error, event::deployment_refused,
                      {{"version", version}, {"reason", error(decoded).message}});
            return;
        }
        const auto next = std::make_shared<deployment::site>(std::move(value(decoded)));
        gateway_core.traffic.post([this, next, confirmed_at] { activate(*next, confirmed_at); });
    }

    void activate(deployment::site& next, time_point confirmed_at) {
        core& c = gateway_core;
        if (next.version <= c.view.current.version) {
            return;
        }
        // After the swap `next` holds the previous deployment, which is destroyed with the caller's
        // last reference.
        std::swap(c.view.current, next);
        c.view.confirmed_at = confirmed_at;
        (void)apply_services(c.view, runtime::boot_now());
        log_event(severity::info, event::deployment_in_force,
                  {{"version", c.view.current.version},
                   {"routes", static_cast<std::uint64_t>(c.view.current.routes.size())}});
        if (!c.ready.exchange(true)) {
            log_event(severity::info, event::ready_changed, {{"ready", "yes"}});
        }
        view_changed();
    }

    void view_changed() {
        core& c = gateway_core;
        assign_roles(c.view, c.settings.choice.roles);
        drop_unused_pools(c);
        wake_waiting();
    }

    void wake_waiting() {
        const auto timers = gateway_core.waiting_timers;
        for (asio::steady_timer* t : timers) {
            t->cancel();
        }
    }

    // Handles the answer to `request_confirmation`; version 0 if control gave none in time.
    void handle_confirmation(std::uint64_t version, time_point requested_at) {
        core& c = gateway_core;
        c.confirmation_pending = false;
        if (version != 0 && version == c.view.current.version) {
            c.view.confirmed_at = std::max(c.view.confirmed_at, requested_at);
        }
        wake_waiting();
    }

    void apply_update(const rpc::site_update& update) {
        core& c = gateway_core;
        const time_point now = runtime::boot_now();
        bool changed = false;
        c.view.newest_reported_version = std::max(c.view.newest_reported_version, update.version());
        for (const schema::upstream_announcement& a : update.announcements()) {
            if (apply_announcement(c.view, a, now)) {
                changed = true;
                log_upstream(a);
            }
        }
        if (update.leading()) {
            c.view.pending_unloads.clear();
            for (const rpc::parting_copy& p : update.parting()) {
                c.view.pending_unloads.emplace(p.upstream(), p.model());
            }
            c.view.expected_models.clear();
            for (const rpc::expected_model& e : update.expected_models()) {
                c.view.expected_models[e.model()] =
                    now + std::chrono::milliseconds(e.expected_in_ms());
            }
        }
        c.view.gateways = std::max(1U, update.gateways());
        if (update.has_software() && update.software().revision() > c.view.software.revision) {
            apply_software(c.view, update.software());
            changed = true;
        }
        merge_crash_news(c, update.crash_news(), now);
        apply_limits(c, update, now);
        if (changed) {
            view_changed();
        }
    }

    rpc::demand_report collect_report(time_point now) {
        rpc::demand_report report;
        report.set_gateway(gateway_core.settings.name);
        report.set_window_ms(static_cast<std::uint32_t>(to_milliseconds(now - last_report_at)));
        last_report_at = now;
        // Callers may name any model, so entries of undeclared ones are not kept.
        std::erase_if(gateway_core.demand, [&](const auto& item) {
            const auto& [key, counts] = item;
            const bool idle = counts.arrivals == 0 && counts.unplaced == 0;
            return counts.in_flight == 0 && (idle || !is_declared(gateway_core.view.current, key));
        });
        for (auto& [key, counts] : gateway_core.demand) {
            if (!is_declared(gateway_core.view.current, key) ||
                (counts.arrivals == 0 && counts.in_flight == 0)) {
                continue;
            }
            rpc::model_load& load = *report.add_models();
            load.set_service(key.service);
            load.set_model(key.model);
            load.set_long_prompts(key.long_prompts);
            load.set_arrivals(counts.arrivals);
            load.set_prompt_tokens(counts.prompt_tokens);
            load.set_output_tokens(counts.output_tokens);
            load.set_unplaced(counts.unplaced);
            load.set_tokens_per_ms(dispatch::speed_of(gateway_core.speeds, key.model, 0));
            load.set_in_flight(counts.in_flight);
            const std::uint32_t in_flight = counts.in_flight;
            counts = {};
            counts.in_flight = in_flight;
        }
        add_leaving(report, gateway_core.view);
        add_limits(report, gateway_core.view, runtime::boot_now());
        return report;
    }

    asio::awaitable<void> run_maintenance() {
        core& c = gateway_core;
        last_report_at = runtime::boot_now();
        while (true) {
            const time_point due = runtime::boot_now() + maintenance_interval;
            co_await runtime::sleep_for(maintenance_interval);
            const time_point now = runtime::boot_now();
            c.loop_lag = std::max(duration::zero(), now - due);
            c.metrics.observe("burdockdeck_loop_lag_seconds", c.loop_lag);
            replace_silent_attempts(c, now);
            for (auto& [id, pool] : c.pools) {
                close_expired(pool, now);
            }
            resumption::expire(c.origins, now);
            resumption::expire(c.origins_told, now);
            move_origins(c, now);
            c.sessions.remove_if([](const std::weak_ptr<session>& s) { return s.expired(); });
            if (++maintenance_runs % maintenance_runs_per_report == 0 || c.demand_report_due) {
                c.demand_report_due = false;
                c.control.post([this, report = collect_report(now)] { control->report(report); });
                share_crashes(c, now);
            }
        }
    }

    // Accepts connections until the platform has removed this gateway. Then closes idle
    // connections, so that no further requests are read, and waits for open requests until shortly
    // before the end of the grace time.
    asio::awaitable<void> drain(std::function<void()> finished) {
        core& c = gateway_core;
        const time_point drain_deadline = c.draining_since + c.settings.grace - grace_margin;
        co_await runtime::sleep_for(removal_delay);
        boost::system::error_code ignored;
        (void)acceptor->close(ignored);
        while (runtime::boot_now() < drain_deadline) {
            close_idle_sessions();
            if (c.active_requests == 0) {
                break;
            }
            co_await runtime::sleep_for(drain_check_interval);
        }
        end_unanswered_requests(c, runtime::boot_now());
        const time_point exit_at = runtime::boot_now() + last_answers_time;
        while (c.active_requests > 0 && runtime::boot_now() < exit_at) {
            co_await runtime::sleep_for(last_answers_check_interval);
        }
        log_open_requests(c, runtime::boot_now());
        log_event(severity::info, event::draining,
                  {{"step", "closing"}, {"in_hand", c.active_requests}});
        finished();
    }

    void close_idle_sessions() {
        const auto sessions = gateway_core.sessions;
        for (const std::weak_ptr<session>& weak_session : sessions) {
            if (const auto s = weak_session.lock()) {
                s->close_if_idle();
            }
        }
    }
};

gateway_server::gateway_server(std::unique_ptr<state> s) : state_(std::move(s)) {}

gateway_server::~gateway_server() {
    state_->platform_loops.stop();
    state_->gateway_core.control.stop();
    state_->gateway_core.traffic.stop();
}

result<std::unique_ptr<gateway_server>, gateway_error> gateway_server::create(
    const gateway_settings& settings, caller_protocol protocol) {
    auto access = runtime::rpc_access::create(settings.access);
    if (!succeeded(access)) {
        return gateway_error{to_text(error(access))};
    }
    ::mallopt(M_MMAP_THRESHOLD, min_returned_bytes);
    auto s = std::make_unique<state>(settings, std::move(protocol), value(access));
    core& c = s->gateway_core;
    auto acceptor = open_acceptor(c.traffic.context(), settings.listen);
    if (!succeeded(acceptor)) {
        return error(acceptor);
    }
    s->acceptor = value(acceptor);
    const auto handler = [&c](runtime::http_exchange& e) { return handle_platform_request(c, e); };
    auto ready =
        runtime::http_server::listen(settings.ready_listen, s->platform_loops, {}, handler);
    if (!succeeded(ready)) {
        return gateway_error{error(ready).message};
    }
    s->ready = std::move(value(ready));
    if (settings.metrics_listen.port != 0) {
        auto metrics =
            runtime::http_server::listen(settings.metrics_listen, s->platform_loops, {}, handler);
        if (succeeded(metrics)) {
            s->metrics = std::move(value(metrics));
        } else {
            // Metrics are optional: the gateway serves callers without them.
            log_event(
                severity::warning, event::access_refused,
                {{"listen", to_text(settings.metrics_listen)}, {"reason", error(metrics).message}});
        }
    }
    state* self = s.get();
    s->control = std::make_unique<site_client>(
        c.control, settings, value(access),
        site_client::callbacks{
            [self](rpc::site_update update) {
                self->gateway_core.traffic.post(
                    [self, update = std::move(update)] { self->apply_update(update); });
            },
            [self](std::uint64_t version, const std::string& text, time_point confirmed_at) {
                self->handle_deployment(version, text, confirmed_at);
            },
            [self](std::uint64_t version, time_point requested_at) {
                self->gateway_core.traffic.post([self, version, requested_at] {
                    self->handle_confirmation(version, requested_at);
                });
            },
            [self](std::shared_ptr<rpc::control::Stub> leader) {
                self->gateway_core.traffic.post([self, leader = std::move(leader)] {
                    self->gateway_core.leader = leader;
                    self->gateway_core.ask_leader_at = {};
                });
            }});
    c.request_confirmation = [self] {
        self->gateway_core.control.post([self] { self->control->request_confirmation(); });
    };
    c.send_crash_news = [self](schema::crash_news news) {
        self->gateway_core.control.post(
            [self, news = std::move(news)] { self->control->share(news); });
    };
    c.control.post([self] { self->control->start(); });
    s->beacons = std::make_unique<beacon_listener>(c);
    if (const std::string failed = s->beacons->open(); !failed.empty()) {
        return gateway_error{failed};
    }
    runtime::spawn(c.traffic, [self] { return self->run_maintenance(); });
    runtime::spawn(c.traffic, [self] { return record_traffic_progress(self->gateway_core); });
    runtime::spawn(c.traffic,
                   [self] { return accept_callers(self->gateway_core, self->acceptor); });
    log_event(severity::info, event::started,
              {{"name", settings.name}, {"listen", to_text(settings.listen)}});
    return std::unique_ptr<gateway_server>(new gateway_server(std::move(s)));
}

void gateway_server::stop(std::function<void()> finished) {
    core& c = state_->gateway_core;
    c.traffic.post([&c] { c.draining_since = runtime::boot_now(); });
    c.draining = true;
    log_event(severity::info, event::draining, {{"step", "not ready"}});
    runtime::spawn(c.traffic, [s = state_.get(), finished = std::move(finished)] {
        return s->drain(finished);
    });
}

void gateway_server::reload(const gateway_settings& settings) {
    state_->gateway_core.control.post(
        [s = state_.get(), seeds = settings.seeds] { s->control->set_seeds(seeds); });
}

}  // namespace burdockdeck::gateway
