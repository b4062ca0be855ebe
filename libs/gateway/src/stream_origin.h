// Finds the software version at which a stream began, and lets other gateways find it. Upstreams of
// two versions write texts that do not fit together, and upstreams do not check this. Runs on the
// traffic loop.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

#include "base/time.h"
#include "site.pb.h"
#include "site_view.h"

namespace burdockdeck::gateway {

struct core;
struct request_state;

// A request that waits for sidecars' answers.
struct origin_question {
    explicit origin_question(boost::asio::io_context& context) : timer(context) {}

    // Drawn at random for each round of questions.
    std::uint64_t number = 0;
    // Sidecars that have not answered.
    std::size_t unanswered = 0;
    // The first version that a sidecar named; empty if none has.
    std::string software_version;
    boost::asio::steady_timer timer;
};

// --- Queries

// True if the caller of `r` holds events of the stream that it asks for.
[[nodiscard]] bool is_taken_up(const request_state& r);
// Hosts of engines whose sidecars may keep origins: those in use, and those withdrawn recently,
// since a sidecar lasts longer than the engine beside it.
[[nodiscard]] std::set<std::string, std::less<>> origin_hosts(const site_view& v, time_point now);
// Those of them that are not known to leave.
[[nodiscard]] std::set<std::string, std::less<>> staying_hosts(const site_view& v, time_point now);

// The number in [0, 1) that picks the service of a route with several. All gateways draw the same
// one for a stream and for the requests that take it up, so that it goes on at its service.
[[nodiscard]] double draw_for(core& c, const request_state& r);

// --- Commands

// Binds `r` to the software version of the upstream that sent the first event of its stream, and
// tells the sidecars that keep origins.
void bind_to_first_event(core& c, request_state& r, const std::string& software_version,
                         time_point now);
// The same for a stream that may have begun before, at the first event of an attempt. `from` is the
// upstream of the attempt. False if the version of the event is not known, since the upstream has
// announced another start meanwhile, or if the stream began at another version.
[[nodiscard]] bool bind_if_sound(core& c, request_state& r, const dispatch::upstream* from,
                                 time_point now);
// Binds a stream that its caller takes up to the version at which it began. False if that is not
// known.
[[nodiscard]] boost::asio::awaitable<bool> bind_to_origin(core& c, request_state& r);
// Tells further sidecars of the streams whose origins are kept on hosts that leave, for a limited
// number of streams in each call.
void move_origins(core& c, time_point now);
// Applies a sidecar's answer to the question that it answers.
void record_origin_answer(core& c, const schema::stream_answer& a);

}  // namespace burdockdeck::gateway
