// Reads a sidecar's settings file.
#include "sidecar/settings.h"

namespace burdockdeck::sidecar {

result<sidecar_settings, settings::settings_error> load_settings(const std::string& path) {
    settings::map_reader reader = settings::map_reader::load(path);
    sidecar_settings s;
    s.name = reader.get_string("name");
    s.listen = get_endpoint(reader, "listen");
    s.engine = get_endpoint(reader, "engine");
    s.access = get_access_settings(reader);
    s.log = get_log_settings(reader);
    s.adapter_lease = reader.get_milliseconds("adapter_lease_ms", 100, 600'000, 4000);
    s.beacon_interval = reader.get_milliseconds("beacon_interval_ms", 5, 60'000, 60);
    if (const auto load_error = reader.finish()) {
        return *load_error;
    }
    return s;
}

}  // namespace burdockdeck::sidecar
