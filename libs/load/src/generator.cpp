// The open-loop load generator: requests are sent at their scheduled times, whether or not earlier
// ones have completed.
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <mutex>
#include <random>
#include <thread>

#include "load/experiment.h"
#include "runtime/http.h"
#include "runtime/loop.h"
#include "runtime/trace.h"

namespace burdockdeck::load {

namespace {

namespace json = boost::json;

time_point steady_now() {
    return std::chrono::steady_clock::now();
}

duration seconds_of(double s) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(s));
}

// One sending thread with its share of the arrivals, its connections and its results.
struct sender {
    sender(const experiment& e, std::uint32_t index)
        : plan(e), loop("load" + std::to_string(index)), rng(e.seed * 1000 + index) {
        for (const settings::endpoint& to : e.targets) {
            clients.push_back(std::make_unique<runtime::http_client>(loop, to));
        }
        for (const request_class& c : e.classes) {
            reports.push_back({});
            reports.back().name = c.name;
        }
    }

    const experiment& plan;
    runtime::loop loop;
    std::mt19937_64 rng;
    std::vector<std::unique_ptr<runtime::http_client>> clients;
    std::vector<class_report> reports;
    std::size_t in_flight = 0;
    std::atomic<bool> done{false};
};

std::size_t pick_class(sender& s) {
    std::vector<double> shares;
    for (const request_class& c : s.plan.classes) {
        shares.push_back(c.share);
    }
    return std::discrete_distribution<std::size_t>(shares.begin(), shares.end())(s.rng);
}

runtime::http_request request_of(sender& s, const request_class& c) {
    runtime::http_request r;
    r.method = "POST";
    r.target = c.path;
    const std::string id = runtime::random_hex(16);
    r.headers = {{"Content-Type", "application/json"},
                 {"X-Request-Id", id},
                 {"Burdockdeck-Priority", c.priority},
                 {"Burdockdeck-Deadline-Ms", std::to_string(to_milliseconds(c.deadline))}};
    if (c.keyed) {
        r.headers.emplace_back("Idempotency-Key", id);
    }
    if (s.plan.direct) {
        r.headers.emplace_back("X-Model-Version", "1");
    }
    json::object body;
    if (c.models.empty()) {
        body["order"] = id;
    } else {
        std::uniform_int_distribution<std::size_t> random_index(0, c.models.size() - 1);
        body["model"] = c.models[random_index(s.rng)];
        body["prompt"] = "prompt " + id;
        body["max_tokens"] = c.max_tokens;
        body["stream"] = c.stream;
    }
    r.body = json::serialize(body);
    return r;
}

// Status, outcome and timing observed while one answer arrived.
struct observed_answer {
    unsigned status = 0;
    std::string outcome;
    time_point first_byte{};
    time_point last_chunk{};
    std::uint64_t events = 0;
    std::vector<double> gaps;
};

void record_outcome(class_report& report, const observed_answer& a, bool complete, double seconds,
                    const request_class& c) {
    const bool completed =
        complete && (a.outcome == "completed" || (a.outcome.empty() && a.status == 200));
    if (completed) {
        ++report.completed;
        report.in_time += seconds <= to_seconds(c.deadline) ? 1 : 0;
        report.latencies.push_back(seconds);
        report.tokens += c.stream ? a.events : (c.models.empty() ? 0 : c.max_tokens);
    } else if (a.outcome == "not_run") {
        ++report.not_run;
    } else {
        ++report.unknown;
    }
}

boost::asio::awaitable<void> send_one(sender& s, std::size_t class_index, time_point due) {
    const request_class& c = s.plan.classes[class_index];
    class_report& report = s.reports[class_index];
    ++report.sent;
    observed_answer observed;
    runtime::http_reader reader;
    reader.on_head = [&](unsigned status, const runtime::header_list& headers) {
        observed.status = status;
        runtime::http_request probe;
        probe.headers = headers;
        observed.outcome = probe.header("Burdockdeck-Outcome");
    };
    reader.on_body = [&](std::string_view bytes) {
        const time_point now = steady_now();
        if (observed.first_byte == time_point{}) {
            observed.first_byte = now;
        } else if (c.stream) {
            observed.gaps.push_back(to_seconds(now - observed.last_chunk));
        }
        observed.last_chunk = now;
        for (std::size_t at = bytes.find("\n\n"); at != std::string_view::npos;
             at = bytes.find("\n\n", at + 2)) {
            ++observed.events;
        }
        return true;
    };
    runtime::http_call_options options;
    options.timeout = c.deadline + std::chrono::seconds(5);
    runtime::http_request request = request_of(s, c);
    std::uniform_int_distribution<std::size_t> random_index(0, s.clients.size() - 1);
    runtime::http_client& client = *s.clients[random_index(s.rng)];
    const auto called = co_await client.call(std::move(request), reader, options);
    record_outcome(report, observed, succeeded(called), to_seconds(steady_now() - due), c);
    if (c.stream && observed.first_byte != time_point{}) {
        report.first_bytes.push_back(to_seconds(observed.first_byte - due));
        report.token_gaps.insert(report.token_gaps.end(), observed.gaps.begin(),
                                 observed.gaps.end());
    }
    --s.in_flight;
}

boost::asio::awaitable<void> send_all(sender& s) {
    boost::asio::steady_timer timer(s.loop.context());
    time_point due = steady_now();
    for (const phase& p : s.plan.phases) {
        const time_point end = due + p.length;
        std::exponential_distribution<double> gap(p.rate / s.plan.threads);
        while (true) {
            due += seconds_of(gap(s.rng));
            if (due >= end) {
                due = end;
                break;
            }
            if (due > steady_now()) {
                timer.expires_at(due);
                co_await timer.async_wait(boost::asio::use_awaitable);
            }
            ++s.in_flight;
            const std::size_t index = pick_class(s);
            runtime::spawn(s.loop, [&s, index, due] { return send_one(s, index, due); });
        }
    }
    while (s.in_flight > 0) {
        co_await runtime::sleep_for(std::chrono::milliseconds(5));
    }
    s.done = true;
}

void append(std::vector<double>& into, const std::vector<double>& from) {
    into.insert(into.end(), from.begin(), from.end());
}

}  // namespace

report run(const experiment& e) {
    std::vector<std::unique_ptr<sender>> senders;
    const time_point start = steady_now();
    for (std::uint32_t i = 0; i < e.threads; ++i) {
        senders.push_back(std::make_unique<sender>(e, i));
        sender& s = *senders.back();
        runtime::spawn(s.loop, [&s] { return send_all(s); });
    }
    for (const auto& s : senders) {
        while (!s->done) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    }
    report out;
    out.experiment = e.name;
    out.seconds = to_seconds(steady_now() - start);
    for (std::size_t k = 0; k < e.classes.size(); ++k) {
        class_report total;
        total.name = e.classes[k].name;
        for (const auto& s : senders) {
            const class_report& part = s->reports[k];
            total.sent += part.sent;
            total.completed += part.completed;
            total.not_run += part.not_run;
            total.unknown += part.unknown;
            total.in_time += part.in_time;
            total.tokens += part.tokens;
            append(total.latencies, part.latencies);
            append(total.first_bytes, part.first_bytes);
            append(total.token_gaps, part.token_gaps);
        }
        for (auto* list : {&total.latencies, &total.first_bytes, &total.token_gaps}) {
            std::sort(list->begin(), list->end());
        }
        out.classes.push_back(std::move(total));
    }
    for (const auto& s : senders) {
        s->loop.stop();
    }
    return out;
}

}  // namespace burdockdeck::load
