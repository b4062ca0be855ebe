// Reads reports of the engine on this host and sends orders to it. Used on the control loop only.
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
    engine_link(runtime::loop& event_loop, const sidecar_settings& settings,
                engine_protocol protocol);

    // The engine's current report, with one retry over a new connection; empty if both calls fail.
    boost::asio::awaitable<std::optional<engine_report>> report();
    // Sends one order. The engine refuses it if it has accepted any order since `snapshot`.
    boost::asio::awaitable<order_result> order(order_action action, adapter_name model_and_adapter,
                                               std::string target_id, engine_report snapshot);
    // Mutual exclusion of operations on the engine. Waiters acquire the lock in order of arrival.
    boost::asio::awaitable<void> lock();
    void unlock();

    // The last failure of a report, or the status and body of the last order's answer.
    [[nodiscard]] const std::string& failure() const {
        return failure_;
    }

private:
    boost::asio::awaitable<result<runtime::http_response, runtime::http_error>> call(
        engine_call c, duration timeout);

    runtime::loop& loop_;
    sidecar_settings settings_;
    engine_protocol protocol_;
    runtime::http_client client_;
    std::uint64_t fence_;
    std::string failure_;
    bool locked_ = false;
    std::list<std::function<void()>> waiting_;
};

}  // namespace burdockdeck::sidecar
