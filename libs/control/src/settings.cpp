// Keys of a control instance's settings file.
#include "control/settings.h"

namespace burdockdeck::control {

result<control_settings, settings::settings_error> load_settings(const std::string& path) {
    settings::map_reader reader = settings::map_reader::load(path);
    control_settings s;
    s.name = reader.get_string("name");
    s.failure_domain = reader.get_string("failure_domain");
    s.listen = get_endpoint(reader, "listen");
    s.advertise = reader.has("advertise") ? get_endpoint(reader, "advertise") : s.listen;
    s.http_listen = get_endpoint(reader, "http_listen");
    s.data_folder = reader.get_string("data_folder");
    s.access = get_access_settings(reader);
    s.log = get_log_settings(reader);
    s.agent_lease = reader.get_milliseconds("agent_lease_ms", 1000, 600'000, 5000);
    s.share_lease = reader.get_milliseconds("share_lease_ms", 1000, 3'600'000, 60'000);
    s.claim_retention =
        std::chrono::minutes(reader.get_integer("claim_retention_minutes", 1, 1'000'000, 1440));
    s.scale_down_after = reader.get_milliseconds("scale_down_after_ms", 0, 86'400'000, 300'000);
    s.snapshot_every =
        static_cast<std::uint64_t>(reader.get_integer("snapshot_every", 10, 10'000'000, 1000));
    s.heartbeat = reader.get_milliseconds("heartbeat_ms", 10, 10'000, 60);
    s.election_min = reader.get_milliseconds("election_min_ms", 30, 30'000, 350);
    s.election_max = reader.get_milliseconds("election_max_ms", 60, 60'000, 700);
    if (s.heartbeat * 3 > s.election_min || s.election_min >= s.election_max) {
        reader.fail("election_min_ms",
                    "must be at least three heartbeats and less than election_max_ms");
    }
    if (const auto failed = reader.finish()) {
        return *failed;
    }
    return s;
}

}  // namespace burdockdeck::control
