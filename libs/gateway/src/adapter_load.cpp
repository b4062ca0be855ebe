// Asks the sidecar beside an engine to load an adapter, and records what it answers.
#include "adapter_load.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core.h"
#include "request_state.h"
#include "runtime/clock.h"
#include "runtime/log.h"

namespace burdockdeck::gateway {

namespace asio = boost::asio;
using runtime::event;
using runtime::log_event;
using runtime::severity;

namespace {

// If a sidecar does not answer, no adapter is requested from it for this long.
constexpr duration unreachable_sidecar_block = std::chrono::milliseconds(800);
constexpr duration ensure_timeout = std::chrono::milliseconds(400);

std::shared_ptr<rpc::sidecar::Stub> sidecar_at(core& c, const std::string& upstream_address) {
    const auto at = settings::parse_endpoint(upstream_address).value_or(settings::endpoint{});
    const std::string address =
        settings::to_text(settings::endpoint{at.ip, c.settings.sidecar_port});
    auto& stub = c.sidecars[address];
    if (stub == nullptr) {
        stub = rpc::sidecar::NewStub(runtime::open_channel(address, c.access));
    }
    return stub;
}

// Excludes an upstream that cannot load the adapter now from requests that need a new adapter.
// `reply` is null if its sidecar did not answer.
void record_adapter_block(core& c, const std::string& id, const request_state& r,
                          const rpc::ensure_adapter_reply* reply) {
    const auto found = c.view.upstreams.find(id);
    if (found == c.view.upstreams.end()) {
        return;
    }
    const duration blocked = reply == nullptr ? unreachable_sidecar_block
                                              : std::chrono::milliseconds(reply->blocked_ms());
    found->second.adapters_blocked_until = runtime::boot_now() + blocked;
    if (reply != nullptr && !reply->model_present()) {
        found->second.models.erase(r.facts.needs.model);
    }
}

}  // namespace

asio::awaitable<bool> ensure_adapter(core& c, request_state& r, dispatch::choice to) {
    const std::string id = to.to->id;
    const std::string address = to.to->address;
    const std::shared_ptr<rpc::sidecar::Stub> stub = sidecar_at(c, address);
    const auto start = [&stub](auto... arguments) { stub->async()->ensure_adapter(arguments...); };
    rpc::ensure_adapter_request ensure_request;
    ensure_request.set_upstream(id);
    ensure_request.set_model(r.facts.needs.model);
    ensure_request.set_adapter(r.facts.needs.adapter);
    ensure_request.set_max_adapters(r.max_adapters);
    ensure_request.set_timeout_ms(static_cast<std::uint32_t>(to_milliseconds(ensure_timeout)));
    auto answer = co_await runtime::call_unary<rpc::ensure_adapter_reply>(
        c.traffic.context(), c.access, std::move(ensure_request), ensure_timeout, start);
    const bool present = succeeded(answer) && value(answer).present();
    if (!present) {
        r.last_failure = succeeded(answer) ? value(answer).message() : error(answer).message;
        log_event(severity::info, event::adapter_refused,
                  {{"request", r.facts.id},
                   {"upstream", id},
                   {"model", r.facts.needs.model},
                   {"adapter", r.facts.needs.adapter},
                   {"reason", r.last_failure}});
        record_adapter_block(c, id, r, succeeded(answer) ? &value(answer) : nullptr);
        if (!succeeded(answer)) {
            c.sidecars.erase(settings::to_text(settings::endpoint{
                settings::parse_endpoint(address).value_or(settings::endpoint{}).ip,
                c.settings.sidecar_port}));
        }
        co_return false;
    }
    const auto found = c.view.upstreams.find(id);
    if (found != c.view.upstreams.end()) {
        const auto model = found->second.models.find(r.facts.needs.model);
        if (model != found->second.models.end()) {
            model->second.adapters[r.facts.needs.adapter] =
                runtime::boot_now() + std::chrono::milliseconds(value(answer).lease_ms());
        }
    }
    co_return true;
}

}  // namespace burdockdeck::gateway
