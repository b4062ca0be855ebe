// Runs handlers of unary calls on the control loop.
#pragma once

#include "instance.h"
#include "runtime/log.h"

namespace burdockdeck::control {

// Checks the caller's key, then runs `handle(reactor)` on the control loop. The handler, or what it
// starts, calls reactor->Finish once.
template <class Handle>
grpc::ServerUnaryReactor* on_loop(instance& i, grpc::CallbackServerContext* context,
                                  Handle handle) {
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    if (!i.access.allows(*context)) {
        runtime::log_event(runtime::severity::warning, runtime::event::access_refused,
                           {{"peer", context->peer()}});
        reactor->Finish(
            grpc::Status(grpc::StatusCode::UNAUTHENTICATED, "the shared key is missing or wrong"));
        return reactor;
    }
    i.loop.post([reactor, handle = std::move(handle)] { handle(reactor); });
    return reactor;
}

}  // namespace burdockdeck::control
