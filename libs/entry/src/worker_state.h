// State of an entry: shared_state and demand_meter for the whole entry, and one worker_state per
// traffic loop (connections, observations of each agent, retry budget), accessed on that loop only.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>

#include "client/control_client.h"
#include "entry/settings.h"
#include "routing/router.h"
#include "runtime/loop.h"
#include "runtime/metrics.h"
#include "runtime/rpc.h"
#include "services.grpc.pb.h"
#include "view.h"

namespace burdockdeck::entry {

// Mean number of requests in flight per model, reported to control as demand. Thread-safe.
class demand_meter {
public:
    void begin(const std::string& model, time_point now);
    void end(const std::string& model, time_point now);
    // Returns the mean number of requests in flight since the last call, for each model that had
    // any.
    [[nodiscard]] std::map<std::string, double> take_means(time_point now);

private:
    struct gauge {
        std::uint32_t in_flight = 0;
        double integral = 0.0;
        time_point changed_at{};
    };
    static void advance(gauge& g, time_point now);

    std::mutex mutex_;
    std::map<std::string, gauge> gauges_;
    time_point means_taken_at_{};
};

struct worker_state;

// State shared by all workers of an entry.
struct shared_state {
    shared_state(const entry_settings& s, runtime::rpc_access a)
        : settings(s),
          access(std::move(a)),
          control_loop("control"),
          traffic("traffic", s.traffic_threads),
          control(control_loop, s.control, access) {}

    entry_settings settings;
    runtime::rpc_access access;
    runtime::metrics metrics;
    runtime::loop control_loop;
    runtime::loop_pool traffic;
    // Accessed on the control loop only.
    client::control_client control;
    demand_meter demand;
    std::map<boost::asio::io_context*, std::unique_ptr<worker_state>> workers;
    std::atomic<bool> draining{false};
    std::atomic<bool> has_table{false};
    // When control last confirmed that the table is the newest.
    std::atomic<time_point> table_confirmed{time_point{}};
};

struct connection {
    std::shared_ptr<grpc::Channel> channel;
    std::unique_ptr<rpc::agent::Stub> stub;
};

// Moving average of the length of one target's answers.
struct answer_length {
    double mean_tokens = 0.0;
};

struct worker_state {
    worker_state(shared_state& s, runtime::loop& l)
        : shared(s), event_loop(l), rng(std::random_device{}()) {}

    shared_state& shared;
    runtime::loop& event_loop;
    std::shared_ptr<const routing_view> view = std::make_shared<routing_view>();
    std::map<std::string, connection> connections;
    std::map<std::string, routing::observation> observations;
    std::map<std::string, answer_length> answer_lengths;
    routing::budget retry_budget;
    std::mt19937_64 rng;

    // The stub for the agent at `address`; opens a connection if there is none.
    [[nodiscard]] rpc::agent::Stub& stub(const std::string& address);
    // Removes the connection so that the next call opens a new one; calls in progress continue.
    void close_connection(const std::string& address);
};

}  // namespace burdockdeck::entry
