// HTTP interface of the stand-in service.
#include "service.h"

#include <boost/json.hpp>

namespace burdockdeck::standins {

namespace json = boost::json;

service::service(std::string name, const std::string& record_file) : name_(std::move(name)) {
    if (!record_file.empty()) {
        record_.open(record_file, std::ios::app);
    }
}

boost::asio::awaitable<void> service::answer(runtime::http_exchange& exchange) {
    const runtime::http_request& r = exchange.request();
    const std::string path(r.path());
    runtime::http_response response;
    if (path == "/control") {
        boost::system::error_code failed;
        const json::value v = json::parse(r.body, failed);
        if (!failed && v.is_object()) {
            const std::lock_guard lock(mutex_);
            const json::object& o = v.as_object();
            if (o.contains("work_ms")) {
                work_ms_ = o.at("work_ms").as_int64();
            }
            if (o.contains("silent")) {
                silent_ = o.at("silent").as_int64() != 0;
            }
        }
    } else if (path == "/record") {
        const std::lock_guard lock(mutex_);
        json::array runs;
        for (const std::string& run : runs_) {
            runs.push_back(json::value(run));
        }
        response.body = json::serialize(json::object{{"runs", runs}});
    } else if (path == "/healthz") {
        response.body = "{}";
    } else {
        std::int64_t work_ms = 0;
        std::size_t number = 0;
        {
            const std::lock_guard lock(mutex_);
            runs_.push_back(r.method + " " + path + " " + r.body);
            number = runs_.size();
            work_ms = work_ms_;
            record_ << runs_.back() << "\n" << std::flush;
        }
        co_await runtime::sleep_for(std::chrono::milliseconds(work_ms));
        while (silent_) {
            co_await runtime::sleep_for(std::chrono::milliseconds(20));
        }
        response.body =
            json::serialize(json::object{{"service", name_}, {"number", number}, {"echo", r.body}});
    }
    (void)co_await exchange.respond(std::move(response));
}

}  // namespace burdockdeck::standins
