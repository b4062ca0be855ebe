// Receives updates from every control instance, so that the loss of one delays no update. Runs on
// the gateway's control loop.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gateway/settings.h"
#include "runtime/loop.h"
#include "runtime/rpc.h"
#include "services.grpc.pb.h"

namespace burdockdeck::gateway {

class site_client {
public:
    // Called on the control loop.
    struct callbacks {
        // Updates from all instances. None is delivered before the first from an instance that is
        // up to date.
        std::function<void(rpc::site_update)> updated;
        // A newer deployment, and the time at which it was confirmed to be the newest; the zero
        // time if the instance that sent it may lag behind.
        std::function<void(std::uint64_t version, const std::string& text, time_point confirmed_at)>
            deployed;
        // The result of `request_confirmation`: the version that was the newest at `requested_at`,
        // or version 0 if no instance confirmed one in time. A newer one was passed to `deployed`
        // before.
        std::function<void(std::uint64_t version, time_point requested_at)> confirmed;
        // Another instance leads, or none is known any more (null). Its calls may be made from any
        // thread.
        std::function<void(std::shared_ptr<rpc::control::Stub>)> leader_changed;
    };

    site_client(runtime::loop& control_loop, const gateway_settings& settings,
                runtime::rpc_access access, callbacks handlers);
    ~site_client();

    void start();
    void stop();
    // Checks with control whether the latest deployment received here is the newest, and fetches a
    // newer one if there is one. The result is passed to `confirmed`.
    void request_confirmation();
    // Seeds from a reloaded settings file.
    void set_seeds(const std::vector<settings::endpoint>& seeds);
    // Sends the demand report to every instance whose last update states that it is the leader.
    void report(const rpc::demand_report& report);
    // Sends crash news to every instance, repeating what does not arrive. An instance that is new
    // or was lost gets all that is known.
    void share(const schema::crash_news& news);

private:
    struct state;
    std::shared_ptr<state> state_;
};

}  // namespace burdockdeck::gateway
