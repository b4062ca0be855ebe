// The gRPC service of a sidecar: loads adapters for gateways and forwards orders from the planner.
#include "sidecar/server.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>

#include "beacon_sender.h"
#include "engine_link.h"
#include "runtime/clock.h"
#include "runtime/log.h"
#include "runtime/rpc.h"
#include "services.grpc.pb.h"

namespace burdockdeck::sidecar {

namespace asio = boost::asio;
using runtime::event;
using runtime::log_event;
using runtime::severity;

namespace {

// Poll interval while an adapter is being loaded, which takes some milliseconds.
constexpr duration arrival_poll_interval = std::chrono::milliseconds(4);
// If an adapter cannot be loaded, the gateway waits this long before it requests it again.
constexpr duration blocked_retry_after = std::chrono::milliseconds(250);

struct shared_state {
    shared_state(const sidecar_settings& s, engine_protocol p, runtime::rpc_access a)
        : settings(s), access(std::move(a)), link(loop, s, std::move(p)) {}

    sidecar_settings settings;
    runtime::rpc_access access;
    runtime::loop loop{"control"};
    engine_link link;
    beacon_sender beacons{loop, link, settings};
    adapter_leases leases;
    // Highest term of the planners that have sent an order.
    std::uint64_t term = 0;
};

// State of the requested adapter after one step.
enum class ensure_status { present, arriving, blocked, model_absent, unreachable };

struct ensure_step {
    ensure_status status = ensure_status::arriving;
    std::string reason;
};

asio::awaitable<ensure_step> evict_adapter(shared_state& s,
                                           const rpc::ensure_adapter_request& request,
                                           engine_report snapshot) {
    const auto unload =
        eviction_candidate(snapshot, s.leases, s.settings.adapter_lease, runtime::boot_now());
    if (!unload) {
        co_return ensure_step{ensure_status::blocked, "all adapter slots are in use or leased"};
    }
    const adapter_name& victim = *unload;
    const order_result ordered =
        co_await s.link.order(order_action::unload, victim, request.upstream(), snapshot);
    if (ordered == order_result::accepted) {
        // If the adapter is in use, the engine unloads it after its last run. The renewed lease
        // prevents a second unload order before that.
        s.leases.last_requested[victim] = runtime::boot_now();
        co_return ensure_step{ensure_status::blocked,
                              "waiting for the unload of an adapter in use"};
    }
    co_return ensure_step{};
}

// One step towards loading the adapter; sends at most one order.
asio::awaitable<ensure_step> advance(shared_state& s, const rpc::ensure_adapter_request& request) {
    const adapter_name wanted{request.model(), request.adapter()};
    const std::optional<engine_report> snapshot = co_await s.link.report();
    if (!snapshot) {
        co_return ensure_step{ensure_status::unreachable,
                              "no report from the engine: " + s.link.failure()};
    }
    if (is_present(*snapshot, wanted)) {
        co_return ensure_step{ensure_status::present, ""};
    }
    if (is_incoming(*snapshot, wanted)) {
        co_return ensure_step{};
    }
    if (!snapshot->models.contains(wanted.first)) {
        co_return ensure_step{ensure_status::model_absent, "the engine does not hold the model"};
    }
    if (snapshot->busy) {
        co_return ensure_step{ensure_status::blocked, "the engine is loading or unloading a model"};
    }
    const engine_report& observed = *snapshot;
    if (adapter_slots_used(observed) >= request.max_adapters()) {
        co_return co_await evict_adapter(s, request, observed);
    }
    const order_result ordered =
        co_await s.link.order(order_action::load, wanted, request.upstream(), observed);
    if (ordered == order_result::refused) {
        co_return ensure_step{ensure_status::blocked, "refused: " + s.link.failure()};
    }
    const bool already_present = ordered == order_result::holds_already;
    co_return ensure_step{already_present ? ensure_status::present : ensure_status::arriving, ""};
}

asio::awaitable<void> ensure(shared_state& s, const rpc::ensure_adapter_request& request,
                             rpc::ensure_adapter_reply& reply, grpc::ServerUnaryReactor* reactor) {
    const time_point until = runtime::boot_now() + std::chrono::milliseconds(request.timeout_ms());
    const adapter_name wanted{request.model(), request.adapter()};
    co_await s.link.lock();
    ensure_step step{ensure_status::blocked,
                     "the request's time limit passed while waiting for other operations"};
    while (runtime::boot_now() < until) {
        step = co_await advance(s, request);
        if (step.status != ensure_status::arriving) {
            break;
        }
        co_await runtime::sleep_for(arrival_poll_interval);
    }
    s.link.unlock();
    reply.set_model_present(step.status != ensure_status::model_absent);
    if (step.status == ensure_status::present) {
        s.leases.last_requested[wanted] = runtime::boot_now();
        reply.set_present(true);
        // Shorter than the lease here, so that a gateway's lease ends first.
        reply.set_lease_ms(
            static_cast<std::uint32_t>(to_milliseconds(s.settings.adapter_lease * 3 / 4)));
    } else {
        reply.set_blocked_ms(static_cast<std::uint32_t>(to_milliseconds(blocked_retry_after)));
        reply.set_message(step.reason);
        log_event(
            severity::info, event::adapter_refused,
            {{"model", request.model()}, {"adapter", request.adapter()}, {"reason", step.reason}});
    }
    reactor->Finish(grpc::Status::OK);
}

rpc::order_model_reply::order_status status_of(order_result r) {
    switch (r) {
        case order_result::accepted:
            return rpc::order_model_reply::accepted;
        case order_result::holds_already:
            return rpc::order_model_reply::holds_already;
        case order_result::busy:
            return rpc::order_model_reply::busy;
        case order_result::unanswered:
            return rpc::order_model_reply::unanswered;
        case order_result::refused:
            break;
    }
    return rpc::order_model_reply::refused;
}

bool has_unassumed_model(const engine_report& snapshot, const rpc::order_model_request& request) {
    return std::any_of(snapshot.models.begin(), snapshot.models.end(), [&](const auto& held) {
        return std::find(request.assumed_models().begin(), request.assumed_models().end(),
                         held.first) == request.assumed_models().end();
    });
}

asio::awaitable<void> order_model(shared_state& s, const rpc::order_model_request& request,
                                  rpc::order_model_reply& reply,
                                  grpc::ServerUnaryReactor* reactor) {
    if (request.term() < s.term) {
        reply.set_status(rpc::order_model_reply::refused);
        reply.set_message("a planner of a later term has sent orders");
        reactor->Finish(grpc::Status::OK);
        co_return;
    }
    s.term = request.term();
    co_await s.link.lock();
    const std::optional<engine_report> snapshot = co_await s.link.report();
    if (!snapshot || snapshot->born_ms != request.born_ms()) {
        reply.set_status(rpc::order_model_reply::refused);
        reply.set_message(snapshot ? "the order is for another incarnation of the engine"
                                   : s.link.failure());
    } else if (snapshot->busy) {
        reply.set_status(rpc::order_model_reply::busy);
    } else if (has_unassumed_model(*snapshot, request)) {
        reply.set_status(rpc::order_model_reply::refused);
        reply.set_message("the engine holds a model that the order does not assume");
    } else {
        const adapter_name model_and_adapter{request.model(), ""};
        const order_action action =
            request.kind() == rpc::order_load ? order_action::load : order_action::unload;
        const engine_report& observed = *snapshot;
        const order_result ordered =
            co_await s.link.order(action, model_and_adapter, request.upstream(), observed);
        reply.set_status(status_of(ordered));
        reply.set_message(s.link.failure());
    }
    s.link.unlock();
    reactor->Finish(grpc::Status::OK);
}

asio::awaitable<void> inventory(shared_state& s, rpc::inventory_reply& reply,
                                grpc::ServerUnaryReactor* reactor) {
    const std::optional<engine_report> snapshot = co_await s.link.report();
    if (snapshot) {
        reply.set_known(true);
        reply.set_born_ms(snapshot->born_ms);
        for (const auto& [model, adapters] : snapshot->models) {
            schema::present_model& m = *reply.add_models();
            m.set_name(model);
            for (const std::string& a : adapters) {
                m.add_adapters(a);
            }
        }
        reply.mutable_in_memory()->Assign(snapshot->in_memory.begin(), snapshot->in_memory.end());
        reply.mutable_on_disk()->Assign(snapshot->on_disk.begin(), snapshot->on_disk.end());
        reply.set_busy(snapshot->busy);
        reply.set_queued(snapshot->queued);
        reply.set_running(snapshot->running);
    }
    reactor->Finish(grpc::Status::OK);
}

class sidecar_service : public rpc::sidecar::CallbackService {
public:
    explicit sidecar_service(shared_state& s) : state_(s) {}

    grpc::ServerUnaryReactor* ensure_adapter(grpc::CallbackServerContext* context,
                                             const rpc::ensure_adapter_request* request,
                                             rpc::ensure_adapter_reply* reply) override {
        return run(context, [this, request, reply](auto* reactor) {
            return ensure(state_, *request, *reply, reactor);
        });
    }
    grpc::ServerUnaryReactor* order_model(grpc::CallbackServerContext* context,
                                          const rpc::order_model_request* request,
                                          rpc::order_model_reply* reply) override {
        return run(context, [this, request, reply](auto* reactor) {
            return sidecar::order_model(state_, *request, *reply, reactor);
        });
    }
    grpc::ServerUnaryReactor* inventory(grpc::CallbackServerContext* context,
                                        const rpc::inventory_request*,
                                        rpc::inventory_reply* reply) override {
        return run(context, [this, reply](auto* reactor) {
            return sidecar::inventory(state_, *reply, reactor);
        });
    }

private:
    template <class Handle>
    grpc::ServerUnaryReactor* run(grpc::CallbackServerContext* context, Handle handle) {
        grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
        if (!state_.access.allows(*context)) {
            reactor->Finish(grpc::Status(grpc::StatusCode::UNAUTHENTICATED,
                                         "the shared key is missing or wrong"));
            return reactor;
        }
        runtime::spawn(state_.loop, [reactor, handle] { return handle(reactor); });
        return reactor;
    }

    shared_state& state_;
};

}  // namespace

struct sidecar_server::state {
    state(const sidecar_settings& s, engine_protocol p, runtime::rpc_access a)
        : shared(s, std::move(p), std::move(a)), service(shared) {}
    shared_state shared;
    sidecar_service service;
    std::unique_ptr<grpc::Server> server;
};

sidecar_server::sidecar_server(std::unique_ptr<state> s) : state_(std::move(s)) {}

sidecar_server::~sidecar_server() {
    if (state_->server) {
        state_->server->Shutdown(std::chrono::system_clock::now());
    }
    state_->shared.loop.stop();
}

result<std::unique_ptr<sidecar_server>, sidecar_error> sidecar_server::create(
    const sidecar_settings& settings, engine_protocol protocol) {
    auto access = runtime::rpc_access::create(settings.access);
    if (!succeeded(access)) {
        return sidecar_error{to_text(error(access))};
    }
    auto s = std::make_unique<state>(settings, std::move(protocol), value(access));
    auto server = runtime::start_server(to_text(settings.listen), value(access), {&s->service});
    if (!succeeded(server)) {
        return sidecar_error{error(server).message};
    }
    s->server = std::move(value(server));
    if (const std::string failed = s->shared.beacons.open(); !failed.empty()) {
        return sidecar_error{failed};
    }
    log_event(severity::info, event::started,
              {{"name", settings.name}, {"listen", to_text(settings.listen)}});
    return std::unique_ptr<sidecar_server>(new sidecar_server(std::move(s)));
}

void sidecar_server::stop(std::function<void()> finished) {
    finished();
}

}  // namespace burdockdeck::sidecar
