// The agent's gRPC service, HTTP endpoints, startup and shutdown.
#include "agent/server.h"

#include <boost/json.hpp>

#include "core.h"
#include "runtime/log.h"
#include "runtime/trace.h"

namespace burdockdeck::agent {

namespace {

using runtime::event;
using runtime::log_event;
using runtime::severity;

constexpr duration sweep_interval = std::chrono::milliseconds(250);
constexpr duration drain_check_interval = std::chrono::milliseconds(50);

class agent_service : public rpc::agent::CallbackService {
public:
    explicit agent_service(core& c) : core_(c) {}

    grpc::ServerWriteReactor<rpc::frame>* run(grpc::CallbackServerContext* context,
                                              const rpc::run_request* request) override {
        auto stream = std::make_shared<answer_stream>(core_.report, request->resume_offset());
        stream->keep_alive();
        if (!allowed(*context)) {
            stream->fail(refusal());
            return stream.get();
        }
        core_.loop.post([this, stream, r = *request] { handle_run(core_, r, stream); });
        return stream.get();
    }

    grpc::ServerUnaryReactor* cancel(grpc::CallbackServerContext* context,
                                     const rpc::cancel_request* request,
                                     rpc::cancel_reply* reply) override {
        return on_loop(*context, [this, request, reply](auto* reactor) {
            reply->set_status(cancel_before_start(core_, *request));
            reactor->Finish(grpc::Status::OK);
        });
    }

    grpc::ServerUnaryReactor* stop(grpc::CallbackServerContext* context,
                                   const rpc::cancel_request* request,
                                   rpc::cancel_reply* reply) override {
        return on_loop(*context, [this, request, reply](auto* reactor) {
            reply->set_status(stop_attempt(core_, *request));
            reactor->Finish(grpc::Status::OK);
        });
    }

private:
    [[nodiscard]] bool allowed(const grpc::CallbackServerContext& context) const {
        if (core_.access.allows(context)) {
            return true;
        }
        log_event(severity::warning, event::access_refused, {{"peer", context.peer()}});
        return false;
    }

    [[nodiscard]] static grpc::Status refusal() {
        return {grpc::StatusCode::UNAUTHENTICATED, "the shared key is missing or wrong"};
    }

    template <class Handle>
    grpc::ServerUnaryReactor* on_loop(grpc::CallbackServerContext& context, Handle handle) {
        grpc::ServerUnaryReactor* reactor = context.DefaultReactor();
        if (!allowed(context)) {
            reactor->Finish(refusal());
            return reactor;
        }
        core_.loop.post([reactor, handle = std::move(handle)] { handle(reactor); });
        return reactor;
    }

    core& core_;
};

boost::asio::awaitable<void> sweep(core& c) {
    while (true) {
        sweep_attempts(c);
        co_await runtime::sleep_for(sweep_interval);
    }
}

runtime::http_response error_response(unsigned status, const std::string& message) {
    runtime::http_response r;
    r.status = status;
    r.body = boost::json::serialize(
        boost::json::object{{"error", boost::json::object{{"message", message}}}});
    return r;
}

// Runs `work` on the agent's control loop and returns its result on the executor of the caller.
template <class Result, class Work>
boost::asio::awaitable<Result> run_on_core_loop(core& c, Work work) {
    const auto executor = co_await boost::asio::this_coro::executor;
    const auto initiate = [&c, executor, work](auto handler) {
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        c.loop.post([executor, shared, work] {
            Result r = work();
            boost::asio::post(executor, [shared, r = std::move(r)] { (*shared)(r); });
        });
    };
    co_return co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<>&,
                                                   void(Result)>(initiate,
                                                                 boost::asio::use_awaitable);
}

boost::asio::awaitable<runtime::http_response> handle_announce(core& c, std::string body) {
    const auto parsed = parse_announcement(body);
    if (!succeeded(parsed)) {
        log_event(severity::warning, event::upstream_refused, {{"reason", error(parsed).message}});
        co_return error_response(400, error(parsed).message);
    }
    const announcement a = value(parsed);
    const auto apply = [&c, a]() -> std::string {
        const auto applied = apply_announcement(c, a);
        return succeeded(applied) ? "" : error(applied).message;
    };
    const std::string refusal_reason = co_await run_on_core_loop<std::string>(c, apply);
    if (!refusal_reason.empty()) {
        log_event(severity::warning, event::upstream_refused, {{"reason", refusal_reason}});
        co_return error_response(409, refusal_reason);
    }
    runtime::http_response ok;
    ok.body = R"({"announced":true})";
    co_return ok;
}

boost::asio::awaitable<void> handle_http(core& c, runtime::http_exchange& exchange) {
    runtime::http_response response;
    response.content_type = "text/plain; version=0.0.4";
    const std::string_view path = exchange.request().path();
    if (path == "/announce" && exchange.request().method == "POST") {
        std::string body = exchange.request().body;
        response = co_await handle_announce(c, std::move(body));
    } else if (path == "/metrics") {
        c.metrics.set("process_resident_memory_bytes",
                      static_cast<double>(runtime::resident_bytes()));
        c.metrics.set("process_cpu_seconds", to_seconds(runtime::processor_time()));
        c.metrics.set("burdockdeck_running", c.report.running);
        c.metrics.set("burdockdeck_queued", c.report.queued);
        response.body = c.metrics.to_text();
    } else if (path == "/healthz") {
        response.body = "ok\n";
    } else if (path == "/readyz") {
        const bool ready = co_await run_on_core_loop<bool>(
            c, [&c] { return c.membership.registered && c.upstream.healthy && !c.leaving; });
        response.status = ready ? 200 : 503;
        response.body =
            ready ? "ready\n" : "not ready: not registered, upstream not healthy, or leaving\n";
    } else {
        response = error_response(404, "no such path");
    }
    (void)co_await exchange.respond(std::move(response));
}

// Milliseconds since the epoch, so that a later start has a higher number.
std::uint64_t new_incarnation() {
    return static_cast<std::uint64_t>(runtime::wall_clock_ns() / 1'000'000);
}

}  // namespace

struct agent_server::state {
    state(const agent_settings& s, runtime::rpc_access a) : shared(s, std::move(a)) {}

    core shared;
    std::unique_ptr<agent_service> service;
    std::unique_ptr<grpc::Server> server;
    std::unique_ptr<runtime::http_server> http;
};

agent_server::agent_server(std::unique_ptr<state> s) : state_(std::move(s)) {}

agent_server::~agent_server() {
    if (state_->server) {
        state_->server->Shutdown(std::chrono::system_clock::now());
    }
    state_->shared.traffic.stop();
    state_->shared.loop.stop();
}

result<std::unique_ptr<agent_server>, agent_error> agent_server::create(
    const agent_settings& settings, std::function<void()> superseded) {
    auto access = runtime::rpc_access::create(settings.access);
    if (!succeeded(access)) {
        return agent_error{to_text(error(access))};
    }
    auto s = std::make_unique<state>(settings, value(access));
    core& c = s->shared;
    c.queue.rules = settings.queue;
    c.superseded = std::move(superseded);
    c.incarnation = new_incarnation();
    s->service = std::make_unique<agent_service>(c);
    auto server =
        runtime::start_server(to_text(settings.listen), value(access), {s->service.get()});
    if (!succeeded(server)) {
        return agent_error{error(server).message};
    }
    s->server = std::move(value(server));
    auto http =
        runtime::http_server::listen(settings.http_listen, c.traffic, {},
                                     [&c](runtime::http_exchange& e) { return handle_http(c, e); });
    if (!succeeded(http)) {
        return agent_error{error(http).message};
    }
    s->http = std::move(value(http));
    c.loop.post([&c] {
        c.control.watch(
            c.settings.name, [&c](const client::table& t) { on_table_changed(c, t); }, [] {});
        runtime::spawn(c.loop, [&c] { return maintain_membership(c); });
        runtime::spawn(c.loop, [&c] { return monitor_upstream(c); });
        runtime::spawn(c.loop, [&c] { return sweep(c); });
    });
    log_event(severity::info, event::started,
              {{"name", settings.name}, {"listen", to_text(settings.listen)}});
    return std::unique_ptr<agent_server>(new agent_server(std::move(s)));
}

void agent_server::stop(std::function<void()> finished) {
    core& c = state_->shared;
    runtime::spawn(c.loop, [&c, this, finished]() -> boost::asio::awaitable<void> {
        // New work is refused from here on. Entries receive the refusals at once, and the updated
        // table after control has applied the command.
        c.draining = true;
        c.leaving = true;
        co_await announce_leaving(c);
        while (!c.by_number.empty()) {
            co_await runtime::sleep_for(drain_check_interval);
        }
        c.stopping = true;
        state_->http->stop_accepting();
        // The deadline lets frames in transit be written before their streams are closed.
        state_->server->Shutdown(std::chrono::system_clock::now() + std::chrono::seconds(5));
        finished();
    });
}

}  // namespace burdockdeck::agent
