// Opens and closes a worker's agent connections, and measures demand.
#include "worker_state.h"

namespace burdockdeck::entry {

rpc::agent::Stub& worker_state::stub(const std::string& address) {
    connection& c = connections[address];
    if (c.stub == nullptr) {
        c.channel = runtime::open_channel(address, shared.access);
        c.stub = rpc::agent::NewStub(c.channel);
    }
    return *c.stub;
}

void worker_state::close_connection(const std::string& address) {
    connections.erase(address);
}

void demand_meter::advance(gauge& g, time_point now) {
    g.integral += g.in_flight * to_seconds(now - g.changed_at);
    g.changed_at = now;
}

void demand_meter::begin(const std::string& model, time_point now) {
    const std::lock_guard lock(mutex_);
    gauge& g = gauges_[model];
    advance(g, now);
    ++g.in_flight;
}

void demand_meter::end(const std::string& model, time_point now) {
    const std::lock_guard lock(mutex_);
    gauge& g = gauges_[model];
    advance(g, now);
    --g.in_flight;
}

std::map<std::string, double> demand_meter::take_means(time_point now) {
    const std::lock_guard lock(mutex_);
    const double seconds = to_seconds(now - means_taken_at_);
    std::map<std::string, double> means;
    for (auto it = gauges_.begin(); it != gauges_.end();) {
        gauge& g = it->second;
        advance(g, now);
        if (means_taken_at_ != time_point{} && seconds > 0.0 && g.integral > 0.0) {
            means[it->first] = g.integral / seconds;
        }
        const bool idle = g.integral <= 0.0 && g.in_flight == 0;
        g.integral = 0.0;
        it = idle ? gauges_.erase(it) : std::next(it);
    }
    means_taken_at_ = now;
    return means;
}

}  // namespace burdockdeck::entry
