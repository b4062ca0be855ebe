// Sends the engine's load to gateways as UDP datagrams (beacons): at once to a gateway that asks
// for it, and regularly to those that subscribe. Each beacon carries the full state, so a lost one
// needs no retry. The same socket receives the origins of streams and answers questions for them.
// Used on the control loop only.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "engine_link.h"
#include "resumption/origins.h"
#include "site.pb.h"

namespace burdockdeck::sidecar {

class beacon_sender {
public:
    beacon_sender(runtime::loop& event_loop, engine_link& link, const sidecar_settings& settings);

    // Binds the port of `settings.listen` and starts. Returns an error text; empty on success.
    [[nodiscard]] std::string open();

private:
    boost::asio::awaitable<void> receive_subscriptions();
    boost::asio::awaitable<void> send_beacons();
    void keep_origin(const schema::stream_origin& begun);
    // Answers a gateway that looks for the origin of a stream, also if none is kept here.
    void answer(const schema::stream_question& question, const boost::asio::ip::udp::endpoint& to);
    // Sends a beacon to all gateways in `asking_`.
    boost::asio::awaitable<void> answer_questions();
    // Reads a report of the engine into `latest_`.
    boost::asio::awaitable<void> refresh();
    void send(const std::string& beacon, const boost::asio::ip::udp::endpoint& to);
    [[nodiscard]] std::string latest_beacon();

    runtime::loop& loop_;
    engine_link& link_;
    const sidecar_settings& settings_;
    boost::asio::ip::udp::socket socket_;
    // Time of the last subscription from each gateway.
    std::map<boost::asio::ip::udp::endpoint, time_point> subscribers_;
    // Origins of streams that gateways began; their upstreams need not be the engine here.
    resumption::origin_table origins_;
    // Gateways that wait for one beacon.
    std::set<boost::asio::ip::udp::endpoint> asking_;
    bool answering_ = false;
    time_point last_asked_at_{};
    // Empty if the last call for a report failed.
    std::optional<engine_report> latest_;
    time_point latest_at_{};
    bool engine_answers_ = true;
    double average_reading_ = 0;
    std::uint64_t sequence_ = 0;
};

// Builds the beacon for a report. Adapters still being loaded are left out. `average_reading` is
// the average number of prompts being read.
[[nodiscard]] schema::engine_beacon beacon_of(const engine_report& r, std::uint64_t sequence,
                                              double average_reading);

}  // namespace burdockdeck::sidecar
