// Client of the control instances, for entries and agents. Any instance can serve it; the client
// fails over to the next one on an error, a time-out, or a report that the instance is isolated.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "client/table.h"
#include "runtime/loop.h"
#include "runtime/rpc.h"
#include "services.pb.h"
#include "settings/common.h"

namespace burdockdeck::client {

// Bound to one loop; all calls and callbacks run there.
class control_client {
public:
    control_client(runtime::loop& event_loop, std::vector<settings::endpoint> control,
                   runtime::rpc_access access);
    ~control_client();

    // Submits a command, with retries, until it is applied or `timeout` has passed. Retries are
    // safe, since each command carries an operation id, an attempt or an incarnation.
    boost::asio::awaitable<result<schema::command_reply, runtime::rpc_error>> submit(
        schema::command command, duration timeout);
    boost::asio::awaitable<result<rpc::renew_reply, runtime::rpc_error>> renew(
        rpc::renew_request request);
    boost::asio::awaitable<result<rpc::permit_reply, runtime::rpc_error>> permit(
        rpc::permit_request request);

    // Keeps the table up to date until stop(). `changed` is called after each applied update,
    // `confirmed` whenever an instance confirms that the table is the newest.
    void watch(const std::string& name, std::function<void(const table&)> changed,
               std::function<void()> confirmed);
    // The current table; empty before the first update.
    [[nodiscard]] const table& current() const;
    void stop();

private:
    struct state;
    std::shared_ptr<state> state_;
};

}  // namespace burdockdeck::client
