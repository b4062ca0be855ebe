// Reads and checks a control instance's settings file.
#include "control/settings.h"

namespace burdockdeck::control {

namespace {

constexpr std::int64_t max_port = 65535;

site_settings get_site_settings(settings::map_reader& reader) {
    settings::map_reader site = reader.get_map("site");
    site_settings s;
    s.listen = get_endpoint(site, "listen");
    s.seeds = get_endpoints(site, "seeds");
    s.rpc_port = static_cast<std::uint16_t>(site.get_integer("rpc_port", 1, max_port));
    s.sidecar_port = static_cast<std::uint16_t>(site.get_integer("sidecar_port", 1, max_port));
    s.founding = site.get_flag("founding", false);
    s.voters = 2 * static_cast<std::uint32_t>(site.get_integer("losses_to_bear", 0, 4, 1)) + 1;
    s.lost_after = site.get_milliseconds("lost_after_ms", 500, 600'000, 1500);
    // Half of the time to a forced end, so that the rest of the stop has as long.
    s.handover_timeout = site.get_milliseconds("grace_ms", 0, 3'600'000, 8000) / 2;
    s.announce_interval = site.get_milliseconds("announce_interval_ms", 50, 600'000, 1200);
    s.store_window = std::chrono::seconds(site.get_integer("store_window_s", 1, 3600, 5));
    (void)site.finish();
    return s;
}

}  // namespace

result<control_settings, settings::settings_error> load_settings(const std::string& path) {
    settings::map_reader reader = settings::map_reader::load(path);
    control_settings s;
    s.name = reader.get_string("name");
    s.failure_domain = reader.get_string("failure_domain");
    s.listen = get_endpoint(reader, "listen");
    s.advertise = reader.has("advertise") ? get_endpoint(reader, "advertise") : s.listen;
    s.http_listen = get_endpoint(reader, "http_listen");
    // An instance of a site may run on a host without a disk; it then stores nothing.
    s.data_folder = reader.has("site") ? reader.get_string("data_folder", "")
                                       : reader.get_string("data_folder");
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
    if (reader.has("site")) {
        s.site = get_site_settings(reader);
    }
    if (const auto failed = reader.finish()) {
        return *failed;
    }
    return s;
}

}  // namespace burdockdeck::control
