// HTTP endpoints, demand reports, start and shutdown of one entry.
#include "entry/server.h"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include "dispatcher.h"
#include "runtime/http.h"
#include "runtime/log.h"
#include "worker_state.h"

namespace burdockdeck::entry {

namespace {

using runtime::event;
using runtime::log_event;
using runtime::severity;

constexpr duration report_interval = std::chrono::seconds(1);
constexpr duration drain_check_interval = std::chrono::milliseconds(50);

runtime::http_response text_response(unsigned status, std::string body) {
    runtime::http_response r;
    r.status = status;
    r.content_type = "text/plain; version=0.0.4";
    r.body = std::move(body);
    return r;
}

runtime::http_response readiness(const shared_state& s) {
    if (s.draining) {
        return text_response(503, "draining\n");
    }
    if (!s.has_table) {
        return text_response(503, "no routing table received from control yet\n");
    }
    return text_response(200, "ready\n");
}

runtime::http_response list_models(const worker_state& worker) {
    boost::json::array data;
    for (const schema::model& m : worker.view->document.models()) {
        const auto found = worker.view->models.find(m.name());
        const std::size_t replicas = found == worker.view->models.end() ? 0 : found->second.size();
        const auto add = [&](const std::string& id) {
            data.push_back({{"id", id},
                            {"object", "model"},
                            {"version", m.version()},
                            {"replicas", replicas}});
        };
        add(m.name());
        for (const schema::adapter& a : m.adapters()) {
            add(m.name() + ":" + a.name());
        }
    }
    runtime::http_response r;
    r.body = boost::json::serialize(boost::json::object{{"object", "list"}, {"data", data}});
    return r;
}

bool is_upstream_request(std::string_view path) {
    return path == "/v1/completions" || path == "/v1/chat/completions" ||
           path.starts_with("/services/");
}

boost::asio::awaitable<void> handle_request(shared_state& s, runtime::http_exchange& exchange) {
    const auto executor = co_await boost::asio::this_coro::executor;
    auto& context = static_cast<boost::asio::io_context&>(executor.context());
    worker_state& worker = *s.workers.at(&context);
    const std::string_view path = exchange.request().path();
    if (is_upstream_request(path)) {
        co_await serve_request(worker, exchange);
        co_return;
    }
    runtime::http_response response;
    if (path == "/v1/models") {
        response = list_models(worker);
    } else if (path == "/healthz") {
        response = text_response(200, "ok\n");
    } else if (path == "/readyz") {
        response = readiness(s);
    } else if (path == "/metrics") {
        s.metrics.set("process_resident_memory_bytes",
                      static_cast<double>(runtime::resident_bytes()));
        s.metrics.set("process_cpu_seconds", to_seconds(runtime::processor_time()));
        s.metrics.set("burdockdeck_table_revision", static_cast<double>(worker.view->revision));
        response = text_response(200, s.metrics.to_text());
    } else {
        std::string message = "no such path: " + std::string(path);
        std::string id = request_id_of(exchange.request());
        co_await answer_error(exchange, 404, message, "not_run", id, duration::zero());
        co_return;
    }
    (void)co_await exchange.respond(std::move(response));
}

// Publishes the routing view built from the new table to every worker.
void publish_table(shared_state& s, const client::table& t) {
    const auto view = build_view(t);
    for (auto& [context, state] : s.workers) {
        worker_state* worker = state.get();
        worker->event_loop.post([worker, view] { worker->view = view; });
    }
    s.has_table = t.current.revision() > 0 || t.revision > 0;
}

// Reports the demand per model and the revision in force at this entry to control, once a second.
boost::asio::awaitable<void> report(shared_state& s) {
    while (true) {
        rpc::renew_request r;
        r.set_agent(s.settings.name);
        r.set_entry(true);
        r.set_revision_in_force(s.control.current().revision);
        for (const auto& [model, mean] : s.demand.take_means(std::chrono::steady_clock::now())) {
            rpc::model_demand& d = *r.add_demand();
            d.set_model(model);
            d.set_in_flight(mean);
        }
        (void)co_await s.control.renew(std::move(r));
        co_await runtime::sleep_for(report_interval);
    }
}

}  // namespace

struct entry_server::state {
    state(const entry_settings& s, runtime::rpc_access a) : shared(s, std::move(a)) {}

    shared_state shared;
    std::unique_ptr<runtime::http_server> http;
};

entry_server::entry_server(std::unique_ptr<state> s) : state_(std::move(s)) {}

entry_server::~entry_server() {
    state_->shared.traffic.stop();
    state_->shared.control_loop.stop();
}

result<std::unique_ptr<entry_server>, entry_error> entry_server::create(
    const entry_settings& settings) {
    auto access = runtime::rpc_access::create(settings.access);
    if (!succeeded(access)) {
        return entry_error{to_text(error(access))};
    }
    auto s = std::make_unique<state>(settings, value(access));
    shared_state& shared = s->shared;
    for (auto& l : shared.traffic.all()) {
        shared.workers[&l->context()] = std::make_unique<worker_state>(shared, *l);
    }
    runtime::http_limits limits;
    limits.body_bytes = settings.max_body_bytes;
    auto http = runtime::http_server::listen(
        settings.listen, shared.traffic, limits,
        [&shared](runtime::http_exchange& e) { return handle_request(shared, e); });
    if (!succeeded(http)) {
        return entry_error{error(http).message};
    }
    s->http = std::move(value(http));
    shared.control_loop.post([&shared] {
        shared.control.watch(
            shared.settings.name, [&shared](const client::table& t) { publish_table(shared, t); },
            [&shared] { shared.table_confirmed = std::chrono::steady_clock::now(); });
        runtime::spawn(shared.control_loop, [&shared] { return report(shared); });
    });
    log_event(severity::info, event::started,
              {{"name", settings.name}, {"listen", to_text(settings.listen)}});
    return std::unique_ptr<entry_server>(new entry_server(std::move(s)));
}

void entry_server::stop(std::function<void()> finished) {
    shared_state& s = state_->shared;
    s.draining = true;
    runtime::spawn(s.control_loop, [&s, this, finished]() -> boost::asio::awaitable<void> {
        co_await runtime::sleep_for(s.settings.balancer_wait);
        state_->http->stop_accepting();
        while (state_->http->active() > 0) {
            co_await runtime::sleep_for(drain_check_interval);
        }
        s.control.stop();
        finished();
    });
}

}  // namespace burdockdeck::entry
