// Handles each call on the control loop and sends the response on its connection's loop.
#include "site_http.h"

#include <boost/asio/async_result.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>
#include <utility>

#include "directory.h"
#include "runtime/clock.h"
#include "runtime/log.h"
#include "runtime/task_times.h"
#include "site.h"

namespace burdockdeck::control {

namespace {

using runtime::event;
using runtime::http_response;
using runtime::log_event;
using runtime::severity;

using answer_callback = std::function<void(http_response)>;

constexpr std::size_t max_deployment_bytes = 16 * 1024 * 1024;
constexpr duration idle_connection_timeout = std::chrono::seconds(20);
// Longest time for which an operator's call waits for a leader and its answer: shorter than the
// time-out of operators, which is about a second.
constexpr duration leader_timeout = std::chrono::milliseconds(900);
// Pause before a call that the leader did not answer is forwarded again.
constexpr duration forward_retry_delay = std::chrono::milliseconds(50);
// Longest wait until a forwarded change is applied here: several heartbeats of the log, and far
// below the time-out of operators.
constexpr duration local_apply_timeout = std::chrono::milliseconds(250);

http_response response_of(unsigned status, std::string body = "") {
    http_response r;
    r.status = status;
    r.body = std::move(body);
    return r;
}

void refuse(instance& i, unsigned status, const std::string& message, const answer_callback& done) {
    done(response_of(status, i.site->protocol.encode_error(message)));
}

// Answers once a change that the leader committed is applied here too, or after a time-out.
// Gateways that watch this instance then receive the change even if the leader is lost right
// afterwards.
boost::asio::awaitable<void> answer_once_applied(instance& i, rpc::submit_reply committed,
                                                 answer_callback done) {
    const auto answered = std::make_shared<bool>(false);
    const auto answer = [answered, done](bool) {
        if (!std::exchange(*answered, true)) {
            done(response_of(200, "{}"));
        }
    };
    i.raft->learn_commit(committed.log_index(), committed.log_term());
    i.raft->when_applied(committed.log_index(), answer);
    co_await runtime::sleep_for(local_apply_timeout);
    answer(false);
}

// Waits until a leader is known here. Returns false if there is none at `give_up_at`, or if this
// instance is probably cut off from the others, so that operators should try another one.
boost::asio::awaitable<bool> wait_for_leader(instance& i, time_point give_up_at) {
    const auto known = std::make_shared<boost::asio::steady_timer>(i.loop.context());
    known->expires_after(give_up_at - runtime::boot_now());
    while (!i.stopping && !i.raft->knows_leader() && i.raft->expects_leader() &&
           runtime::boot_now() < give_up_at) {
        i.raft->when_leader_known([known] { known->cancel(); });
        boost::system::error_code ignored;
        co_await known->async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    co_return i.raft->knows_leader();
}

// The leader's answer to a forwarded change; empty if it did not answer.
boost::asio::awaitable<std::optional<rpc::submit_reply>> forward_to_leader(instance& i,
                                                                           schema::command command,
                                                                           duration timeout) {
    const std::shared_ptr<rpc::control::Stub> leader = leader_stub(i);
    if (leader == nullptr) {
        co_return std::nullopt;
    }
    const auto start = [&leader](auto... arguments) { leader->async()->submit(arguments...); };
    rpc::submit_request request;
    *request.mutable_command() = std::move(command);
    request.set_forwarded(true);
    auto answer = co_await runtime::call_unary<rpc::submit_reply>(
        i.loop.context(), i.access, std::move(request), timeout, start);
    if (!succeeded(answer)) {
        i.leader_stubs.clear();
        co_return std::nullopt;
    }
    co_return std::move(value(answer));
}

void submit_as_leader(instance& i, schema::command command, const answer_callback& done) {
    i.raft->submit(std::move(command), [&i, done](submit_outcome outcome, const auto& reply) {
        if (outcome == submit_outcome::applied && reply.status() == schema::status_done) {
            done(response_of(200, "{}"));
        } else {
            refuse(i, 503, "the change is not confirmed as committed", done);
        }
    });
}

// Has a change committed by the leader. While one is being elected the call waits: a refusal would
// cost an operator one of its few tries. A change may be forwarded repeatedly, since a version that
// is in force already changes nothing.
boost::asio::awaitable<void> submit_to_leader(instance& i, schema::command command,
                                              answer_callback done) {
    const time_point give_up_at = runtime::boot_now() + leader_timeout;
    std::string reason = "no leader is known to this instance";
    while (co_await wait_for_leader(i, give_up_at)) {
        if (i.raft->is_leader()) {
            submit_as_leader(i, std::move(command), done);
            co_return;
        }
        const duration timeout = give_up_at - runtime::boot_now();
        if (timeout <= duration::zero()) {
            break;
        }
        const std::optional<rpc::submit_reply> answer =
            co_await forward_to_leader(i, command, timeout);
        if (answer && answer->status() == rpc::submit_reply::applied) {
            if (answer->reply().status() == schema::status_done) {
                co_await answer_once_applied(i, *answer, done);
            } else {
                refuse(i, 503, "the change is not confirmed as committed", done);
            }
            co_return;
        }
        reason = answer ? "the change is not confirmed as committed" : "the leader did not answer";
        co_await runtime::sleep_for(forward_retry_delay);
    }
    refuse(i, 503, reason, done);
}

void submit(instance& i, schema::command command, const answer_callback& done) {
    if (i.raft->is_leader()) {
        submit_as_leader(i, std::move(command), done);
        return;
    }
    runtime::spawn(i.loop, [&i, command, done] { return submit_to_leader(i, command, done); });
}

void replace_deployment(instance& i, const std::string& body, const answer_callback& done) {
    const runtime::timed_task timed("deployment");
    const auto decoded = i.site->protocol.decode_deployment(body);
    if (!succeeded(decoded)) {
        log_event(severity::warning, event::deployment_refused,
                  {{"reason", error(decoded).message}});
        refuse(i, 400, error(decoded).message, done);
        return;
    }
    const auto checked = deployment::check(value(decoded));
    if (!succeeded(checked)) {
        log_event(severity::warning, event::deployment_refused,
                  {{"version", value(decoded).version}, {"reason", error(checked).message}});
        refuse(i, 400, error(checked).message, done);
        return;
    }
    schema::command command;
    schema::deployment_record& next = *command.mutable_replace_deployment()->mutable_next();
    next.set_version(value(decoded).version);
    // A version that is not newer than the applied one changes nothing, so its text is left out of
    // the command.
    if (value(decoded).version > i.raft->state().deployment().version()) {
        next.set_source(body);
    }
    const std::uint64_t version = value(decoded).version;
    const time_point submitted_at = runtime::boot_now();
    submit(i, std::move(command), [&i, version, submitted_at, done](http_response r) {
        log_event(severity::info, event::deployment_taken,
                  {{"version", version},
                   {"status", static_cast<std::uint64_t>(r.status)},
                   {"leading", i.raft->is_leader() ? "yes" : "no"},
                   {"version_here", i.raft->state().deployment().version()},
                   {"took_ms", to_milliseconds(runtime::boot_now() - submitted_at)}});
        done(std::move(r));
    });
}

void answer_read(instance& i, const answer_callback& done) {
    i.raft->read_barrier([&i, done](bool confirmed) {
        const schema::deployment_record& d = i.raft->state().deployment();
        if (!confirmed || d.version() == 0) {
            const std::string reason = confirmed
                                           ? "no deployment has been accepted yet"
                                           : "this instance cannot confirm the newest deployment";
            log_event(severity::info, event::read_refused,
                      {{"reason", reason}, {"version", d.version()}});
            refuse(i, 503, reason, done);
            return;
        }
        done(response_of(200, d.source()));
    });
}

void describe_deployment(instance& i, const answer_callback& done) {
    if (i.raft->knows_leader()) {
        answer_read(i, done);
        return;
    }
    runtime::spawn(i.loop, [&i, done]() -> boost::asio::awaitable<void> {
        (void)co_await wait_for_leader(i, runtime::boot_now() + leader_timeout);
        answer_read(i, done);
    });
}

void announce(instance& i, const std::string& id, const std::string& body,
              const answer_callback& done) {
    const auto decoded = i.site->protocol.decode_announcement(id, body);
    if (!succeeded(decoded)) {
        log_event(severity::warning, event::announcement_refused,
                  {{"upstream", id}, {"reason", error(decoded).message}});
        refuse(i, 400, error(decoded).message, done);
        return;
    }
    merge_announcement(i, value(decoded), false);
    done(response_of(200, "{}"));
}

// The call carries only the upstream's id; the other fields are those of its latest announcement.
void leave(instance& i, const std::string& id, const answer_callback& done) {
    const auto departed = registry::departures_of(i.site->upstreams, id);
    if (departed.empty()) {
        // Other instances may have it registered; the refusal makes the upstream try another one.
        log_event(
            severity::info, event::announcement_refused,
            {{"upstream", id}, {"reason", "departure of an upstream that is not registered here"}});
        refuse(i, 503, "this upstream is not registered at this instance", done);
        return;
    }
    for (const schema::upstream_announcement& a : departed) {
        merge_announcement(i, a, false);
    }
    done(response_of(200, "{}"));
}

void answer_on_loop(instance& i, const runtime::http_request& request,
                    const answer_callback& done) {
    const site_call call = i.site->protocol.classify_call(request.method, request.target);
    switch (call.kind) {
        case site_call_kind::replace_deployment:
            replace_deployment(i, request.body, done);
            return;
        case site_call_kind::describe_deployment:
            describe_deployment(i, done);
            return;
        case site_call_kind::announce:
            announce(i, call.upstream_id, request.body, done);
            return;
        case site_call_kind::leave:
            leave(i, call.upstream_id, done);
            return;
        case site_call_kind::wrong_method:
            refuse(i, 405, "method not allowed", done);
            return;
        case site_call_kind::malformed:
            refuse(i, 400, "the target is not UTF-8", done);
            return;
        case site_call_kind::unknown:
            refuse(i, 404, "no such endpoint", done);
            return;
    }
}

http_response redirect(instance& i, const site_protocol& protocol,
                       const runtime::http_request& request) {
    const auto refuse_call = [&](unsigned status, std::string_view message) {
        return response_of(status, protocol.encode_error(message));
    };
    const site_call_kind kind = protocol.classify_call(request.method, request.target).kind;
    if (kind == site_call_kind::malformed) {
        return refuse_call(400, "the target is not UTF-8");
    }
    const bool from_upstream = kind == site_call_kind::announce || kind == site_call_kind::leave;
    const auto target = redirect_target(
        *i.members, from_upstream ? redirect_kind::to_any_member : redirect_kind::to_leader,
        runtime::boot_now());
    const auto at = target ? settings::parse_endpoint(*target) : std::nullopt;
    i.metrics.count("burdockdeck_site_redirects_total", at ? "found=yes" : "found=no");
    if (!at) {
        return refuse_call(503, "this instance stores nothing and hears no other instance");
    }
    http_response response = response_of(307);
    const settings::endpoint site{at->ip, i.settings.site->listen.port};
    response.headers.emplace_back("Location", "http://" + to_text(site) + request.target);
    return response;
}

// Runs `answer` on the control loop and sends the response that it hands over.
boost::asio::awaitable<void> answer_call(
    instance& i, runtime::http_exchange& exchange,
    std::function<void(const runtime::http_request&, const answer_callback&)> answer) {
    const auto executor = co_await boost::asio::this_coro::executor;
    http_response response =
        co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<>&,
                                             void(http_response)>(
            [&](auto handler) {
                auto shared = std::make_shared<decltype(handler)>(std::move(handler));
                const answer_callback done = [shared, executor](http_response r) {
                    boost::asio::post(executor, [shared, r = std::move(r)]() mutable {
                        (*shared)(std::move(r));
                    });
                };
                const runtime::http_request& request = exchange.request();
                i.loop.post([&request, done, &answer] { answer(request, done); });
            },
            boost::asio::use_awaitable);
    (void)co_await exchange.respond(std::move(response));
}

}  // namespace

runtime::http_limits site_http_limits() {
    runtime::http_limits limits;
    limits.body_bytes = max_deployment_bytes;
    limits.idle_timeout = idle_connection_timeout;
    return limits;
}

boost::asio::awaitable<void> answer_site_call(instance& i, runtime::http_exchange& exchange) {
    std::function<void(const runtime::http_request&, const answer_callback&)> answer =
        [&i](const auto& request, const auto& done) { answer_on_loop(i, request, done); };
    return answer_call(i, exchange, std::move(answer));
}

boost::asio::awaitable<void> redirect_site_call(instance& i, const site_protocol& protocol,
                                                runtime::http_exchange& exchange) {
    std::function<void(const runtime::http_request&, const answer_callback&)> answer =
        [&i, &protocol](const auto& request, const auto& done) {
            done(redirect(i, protocol, request));
        };
    return answer_call(i, exchange, std::move(answer));
}

}  // namespace burdockdeck::control
