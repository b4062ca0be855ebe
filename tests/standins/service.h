// A stand-in for a plain service with calls that are not idempotent: it records each call that it
// runs.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <fstream>
#include <mutex>
#include <string>
#include <vector>

#include "runtime/http.h"

namespace burdockdeck::standins {

class service {
public:
    // If `record_file` is not empty, each run is also appended to that file, so that the record
    // survives when the service is killed.
    service(std::string name, const std::string& record_file);

    boost::asio::awaitable<void> answer(runtime::http_exchange& exchange);

private:
    std::string name_;
    std::mutex mutex_;
    std::ofstream record_;
    std::vector<std::string> runs_;
    std::int64_t work_ms_ = 5;
    bool silent_ = false;
};

}  // namespace burdockdeck::standins
