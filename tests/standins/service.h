// A stand-in for a plain service whose calls must not be repeated: it records each call it runs.
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
    // Each run is appended to `record_file` as well, if it is not empty, so that a check finds it
    // after the service was killed.
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
