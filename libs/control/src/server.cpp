// Creates the parts of one control instance and connects them.
#include "control/server.h"

#include "directory.h"
#include "instance.h"
#include "runtime/clock.h"
#include "runtime/http.h"
#include "runtime/log.h"
#include "services.h"
#include "site.h"
#include "site_http.h"
#include "watcher.h"

namespace burdockdeck::control {

namespace {

using runtime::event;
using runtime::log_event;
using runtime::severity;

boost::asio::awaitable<void> answer_http(instance& i, runtime::http_exchange& exchange) {
    runtime::http_response response;
    response.content_type = "text/plain; version=0.0.4";
    const std::string_view path = exchange.request().path();
    if (path == "/metrics") {
        i.metrics.set("process_resident_memory_bytes",
                      static_cast<double>(runtime::resident_bytes()));
        i.metrics.set("process_cpu_seconds", to_seconds(runtime::processor_time()));
        response.body = i.metrics.to_text();
    } else if (path == "/healthz") {
        response.body = "ok\n";
    } else if (path == "/readyz") {
        const bool ready = i.raft != nullptr && !i.raft->isolated();
        response.status = ready ? 200 : 503;
        response.body = ready ? "ready\n" : "isolated: no leader in contact\n";
    } else {
        response.status = 404;
        response.body = "no such path\n";
    }
    (void)co_await exchange.respond(std::move(response));
}

}  // namespace

struct control_server::state {
    state(const control_settings& s, runtime::rpc_access a) : shared(s, std::move(a)) {}

    instance shared;
    runtime::loop_pool http_loops{"http", 1};
    std::unique_ptr<grpc::Service> peer_service;
    std::unique_ptr<grpc::Service> control_service;
    std::unique_ptr<grpc::Server> server;
    std::unique_ptr<runtime::http_server> http;
    std::unique_ptr<runtime::http_server> site_http;
};

namespace {

// Serves metrics and health checks. If the port is in use, the instance runs without them and this
// returns null.
std::unique_ptr<runtime::http_server> start_metrics_server(const control_settings& settings,
                                                           runtime::loop_pool& loops, instance& i) {
    auto http =
        runtime::http_server::listen(settings.http_listen, loops, {},
                                     [&i](runtime::http_exchange& e) { return answer_http(i, e); });
    if (!succeeded(http)) {
        log_event(severity::warning, event::access_refused,
                  {{"listen", to_text(settings.http_listen)}, {"reason", error(http).message}});
        return nullptr;
    }
    return std::move(value(http));
}

}  // namespace

control_server::control_server(std::unique_ptr<state> s) : state_(std::move(s)) {}

control_server::~control_server() {
    if (state_->server) {
        state_->server->Shutdown(std::chrono::system_clock::now());
    }
    state_->http_loops.stop();
    state_->shared.loop.stop();
}

result<std::unique_ptr<control_server>, control_error> control_server::create(
    const control_settings& settings, std::function<void()> failed,
    std::optional<site_protocol> protocol) {
    if (settings.site && !protocol) {
        return control_error{"the settings have a site, but no site protocol was given"};
    }
    auto access = runtime::rpc_access::create(settings.access);
    if (!succeeded(access)) {
        return control_error{to_text(error(access))};
    }
    if (settings.data_folder.empty()) {
        return create_directory(settings, value(access), std::move(*protocol));
    }
    storage::contents found;
    auto store = storage::store::open(settings.data_folder, found);
    if (!succeeded(store)) {
        const storage::storage_error& e = error(store);
        return control_error{e.file + ": offset " + std::to_string(e.offset) + ": " + e.message};
    }
    if (found.truncated_bytes > 0) {
        log_event(severity::warning, event::torn_tail_cut, {{"bytes", found.truncated_bytes}});
    }
    auto s = std::make_unique<state>(settings, value(access));
    instance& i = s->shared;
    i.leader_fleet.settings.agent_lease = settings.agent_lease;
    i.leader_fleet.settings.share_lease = settings.share_lease;
    i.leader_fleet.settings.plan.scale_down_after = settings.scale_down_after;
    i.raft = std::make_unique<raft_host>(i.loop, settings, value(access), i.metrics,
                                         std::move(value(store)), std::move(found));
    i.raft->on_table_changed = [&i] {
        update_watchers(i);
        if (i.site) {
            refresh_deployment(i, runtime::boot_now());
            update_site_watchers(i);
        }
    };
    if (!settings.site) {
        i.raft->on_storage_failed = std::move(failed);
    }
    i.raft->on_leadership = [&i](bool leading) {
        if (leading) {
            begin_leading(i.leader_fleet, i.raft->state(), runtime::boot_now());
        }
    };
    s->peer_service = make_peer_service(i);
    s->control_service = make_control_service(i);
    auto server = runtime::start_server(to_text(settings.listen), value(access),
                                        {s->peer_service.get(), s->control_service.get()});
    if (!succeeded(server)) {
        return control_error{error(server).message};
    }
    s->server = std::move(value(server));
    s->http = start_metrics_server(settings, s->http_loops, i);
    if (settings.site) {
        i.site = std::make_shared<site_state>();
        i.site->protocol = std::move(*protocol);
        i.site->seeds = settings.site->seeds;
        auto site_http = runtime::http_server::listen(
            settings.site->listen, s->http_loops, site_http_limits(),
            [&i](runtime::http_exchange& e) { return answer_site_call(i, e); });
        if (!succeeded(site_http)) {
            return control_error{error(site_http).message};
        }
        s->site_http = std::move(value(site_http));
        i.loop.post([&i] { start_site(i); });
    }
    start_periodic_tasks(i);
    log_event(severity::info, event::started,
              {{"name", settings.name},
               {"listen", to_text(settings.listen)},
               {"node_id", i.raft->identity().node_id()},
               {"cluster", i.raft->identity().cluster()}});
    return std::unique_ptr<control_server>(new control_server(std::move(s)));
}

// Without a disk, acknowledged changes would not be durable.
result<std::unique_ptr<control_server>, control_error> control_server::create_directory(
    const control_settings& settings, const runtime::rpc_access& access, site_protocol protocol) {
    auto s = std::make_unique<state>(settings, access);
    instance& i = s->shared;
    i.members = std::make_shared<directory>();
    i.members->seeds = settings.site->seeds;
    s->peer_service = make_directory_peer_service(i);
    s->control_service = make_directory_control_service(i);
    auto server = runtime::start_server(to_text(settings.listen), access,
                                        {s->peer_service.get(), s->control_service.get()});
    if (!succeeded(server)) {
        return control_error{error(server).message};
    }
    s->server = std::move(value(server));
    s->http = start_metrics_server(settings, s->http_loops, i);
    auto site_http = runtime::http_server::listen(
        settings.site->listen, s->http_loops, site_http_limits(),
        [&i, protocol = std::make_shared<site_protocol>(std::move(protocol))](
            runtime::http_exchange& e) { return redirect_site_call(i, *protocol, e); });
    if (!succeeded(site_http)) {
        return control_error{error(site_http).message};
    }
    s->site_http = std::move(value(site_http));
    i.loop.post([&i] { start_directory(i); });
    log_event(severity::info, event::started,
              {{"name", settings.name},
               {"listen", to_text(settings.listen)},
               {"directory", "no data folder is set"}});
    return std::unique_ptr<control_server>(new control_server(std::move(s)));
}

void control_server::stop(std::function<void()> finished) {
    instance& i = state_->shared;
    const auto end = [&i, this, finished = std::move(finished)] {
        i.stopping = true;
        end_watches(i, "this instance is stopping");
        if (i.raft) {
            i.raft->stop();
        }
        if (state_->http) {
            state_->http->stop_accepting();
        }
        if (state_->site_http) {
            state_->site_http->stop_accepting();
        }
        if (i.site) {
            end_site_watches(i);
        }
        finished();
    };
    runtime::spawn(i.loop, [&i, end]() -> boost::asio::awaitable<void> {
        if (i.site) {
            co_await hand_over_vote(i);
        }
        end();
    });
}

void control_server::reload(const control_settings& settings) {
    instance& i = state_->shared;
    if (settings.site && i.site) {
        i.loop.post([&i, seeds = settings.site->seeds] { i.site->seeds = seeds; });
    }
    if (settings.site && i.members) {
        i.loop.post([&i, seeds = settings.site->seeds] { i.members->seeds = seeds; });
    }
}

}  // namespace burdockdeck::control
