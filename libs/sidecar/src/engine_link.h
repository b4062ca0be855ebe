// Reports of and orders to the engine beside this process. Belongs to the control loop.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "adapters.h"
#include "runtime/http.h"
#include "runtime/loop.h"
#include "sidecar/engine_protocol.h"
#include "sidecar/settings.h"

namespace burdockdeck::sidecar {

enum class order_result { accepted, holds_already, busy, refused, unanswered };

class engine_link {
public:
    engine_link(runtime::loop& on, const sidecar_settings& settings, engine_protocol protocol);

    // What the engine says now; empty if it does not answer.
    boost::asio::awaitable<std::optional<engine_report>> report();
    // Sends one order that holds only if the engine accepted nothing since `seen`.
    boost::asio::awaitable<order_result> order(order_action action, adapter_name what,
                                               std::string target_id, engine_report seen);
    // Runs one job at a time, in the order of arrival.
    boost::asio::awaitable<void> enter();
    void leave();

    // Why the last order failed.
    [[nodiscard]] const std::string& failure() const {
        return failure_;
    }

private:
    boost::asio::awaitable<result<runtime::http_response, runtime::http_error>> call(
        engine_call c, duration timeout);

    runtime::loop& on_;
    sidecar_settings settings_;
    engine_protocol protocol_;
    runtime::http_client client_;
    std::uint64_t fence_;
    std::string failure_;
    bool occupied_ = false;
    std::list<std::function<void()>> waiting_;
};

}  // namespace burdockdeck::sidecar
