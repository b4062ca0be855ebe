// Reads an agent's settings file.
#include "agent/settings.h"

namespace burdockdeck::agent {

namespace {

constexpr std::int64_t one_day_ms = 86'400'000;
constexpr std::int64_t mebibyte = 1 << 20;

queueing::policy read_queue(settings::map_reader& reader) {
    settings::map_reader queue = reader.get_map("queue");
    queueing::policy p;
    p.reserved_for_short =
        static_cast<std::uint32_t>(queue.get_integer("reserved_for_short", 0, 10'000, 2));
    p.long_tokens =
        static_cast<std::uint32_t>(queue.get_integer("long_tokens", 1, 10'000'000, 512));
    p.oldest_first_after = queue.get_milliseconds("oldest_first_after_ms", 1, one_day_ms, 20'000);
    p.arrival_order = queue.get_flag("arrival_order", false);
    (void)queue.finish();
    return p;
}

}  // namespace

result<agent_settings, settings::settings_error> load_settings(const std::string& path) {
    settings::map_reader reader = settings::map_reader::load(path);
    agent_settings s;
    s.name = reader.get_string("name");
    s.failure_domain = reader.get_string("failure_domain");
    s.listen = get_endpoint(reader, "listen");
    s.advertise = reader.has("advertise") ? get_endpoint(reader, "advertise") : s.listen;
    s.http_listen = get_endpoint(reader, "http_listen");
    s.control = get_endpoints(reader, "control");
    s.access = get_access_settings(reader);
    s.log = get_log_settings(reader);
    s.queue = read_queue(reader);
    s.traffic_threads = static_cast<std::size_t>(reader.get_integer("traffic_threads", 1, 64, 2));
    s.renew_interval = reader.get_milliseconds("renew_interval_ms", 50, 60'000, 1000);
    s.order_timeout = reader.get_milliseconds("order_timeout_ms", 100, one_day_ms, 60'000);
    s.max_answer_bytes =
        static_cast<std::size_t>(reader.get_integer("max_answer_mib", 1, 1024, 64) * mebibyte);
    s.kept_answer_bytes =
        static_cast<std::size_t>(reader.get_integer("kept_answers_mib", 1, 4096, 32) * mebibyte);
    s.orphan_timeout = reader.get_milliseconds("orphan_timeout_ms", 100, one_day_ms, 10'000);
    if (const auto load_error = reader.finish()) {
        return *load_error;
    }
    return s;
}

}  // namespace burdockdeck::agent
