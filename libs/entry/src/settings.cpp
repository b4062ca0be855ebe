// Reads and validates an entry's settings file.
#include "entry/settings.h"

namespace burdockdeck::entry {

namespace {

constexpr std::int64_t one_day_ms = 86'400'000;
constexpr std::int64_t mebibyte = 1 << 20;

}  // namespace

result<entry_settings, settings::settings_error> load_settings(const std::string& path) {
    settings::map_reader reader = settings::map_reader::load(path);
    entry_settings s;
    s.name = reader.get_string("name");
    s.failure_domain = reader.get_string("failure_domain");
    s.listen = get_endpoint(reader, "listen");
    s.control = get_endpoints(reader, "control");
    s.access = get_access_settings(reader);
    s.log = get_log_settings(reader);
    s.traffic_threads = static_cast<std::size_t>(reader.get_integer("traffic_threads", 1, 64, 2));
    s.default_deadline = reader.get_milliseconds("default_deadline_ms", 10, one_day_ms, 60'000);
    s.longest_deadline = reader.get_milliseconds("longest_deadline_ms", 10, one_day_ms, 600'000);
    s.silence_timeout = reader.get_milliseconds("silence_ms", 200, 600'000, 2500);
    s.resume_timeout = reader.get_milliseconds("resume_patience_ms", 0, 600'000, 5000);
    s.balancer_wait = reader.get_milliseconds("balancer_wait_ms", 0, 600'000, 2000);
    s.max_body_bytes =
        static_cast<std::size_t>(reader.get_integer("max_body_mib", 1, 1024, 16) * mebibyte);
    s.routing.straggler_factor = reader.get_number("straggler_factor", 1.0, 1000.0, 3.0);
    s.routing.probe_share = reader.get_number("probe_share", 0.0, 1.0, 0.02);
    if (s.default_deadline > s.longest_deadline) {
        reader.fail("default_deadline_ms", "must not be above longest_deadline_ms");
    }
    if (const auto failed = reader.finish()) {
        return *failed;
    }
    return s;
}

}  // namespace burdockdeck::entry
