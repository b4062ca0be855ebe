// Reads the document's YAML keys and checks their values.
#include "document/document.h"

#include <algorithm>
#include <set>

#include "base/checksum.h"
#include "base/name_table.h"

namespace burdockdeck::document {

namespace {

using settings::map_reader;

constexpr std::int64_t max_memory_mb = 4'000'000;
constexpr std::int64_t max_replicas = 2'000;

constexpr name_table<schema::work_priority, 3> priority_names{{
    {schema::priority_low, "low"},
    {schema::priority_normal, "normal"},
    {schema::priority_high, "high"},
}};

bool is_name(std::string_view text) {
    return !text.empty() && text.size() <= 128 &&
           std::all_of(text.begin(), text.end(), [](unsigned char c) {
               return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == '/';
           });
}

std::string read_name(map_reader& reader, std::set<std::string>& seen) {
    std::string name = reader.get_string("name");
    if (!is_name(name)) {
        reader.fail("name", "may contain only letters, digits and - _ . /, at most 128 characters");
    }
    if (!seen.insert(name).second) {
        reader.fail("name", "`" + name + "` is declared twice");
    }
    return name;
}

void read_replicas(map_reader& reader, schema::model& m) {
    map_reader replicas = reader.get_map("replicas");
    const std::int64_t low = replicas.get_integer("min", 1, max_replicas, 1);
    m.set_min_replicas(static_cast<std::uint32_t>(low));
    m.set_max_replicas(
        static_cast<std::uint32_t>(replicas.get_integer("max", low, max_replicas, low)));
    (void)replicas.finish();
}

void read_priority(map_reader& reader, schema::model& m) {
    const std::string text = reader.get_string("priority", "normal");
    const auto priority = value_in(priority_names, text);
    if (!priority) {
        reader.fail("priority", "must be low, normal or high");
    }
    m.set_priority(priority.value_or(schema::priority_normal));
}

void read_adapters(map_reader& reader, schema::model& m) {
    std::set<std::string> names;
    for (map_reader& item : reader.get_maps("adapters")) {
        schema::adapter& a = *m.add_adapters();
        a.set_name(read_name(item, names));
        a.set_memory_mb(
            static_cast<std::uint32_t>(item.get_integer("memory_mb", 0, max_memory_mb)));
        (void)item.finish();
    }
}

void read_models(map_reader& reader, schema::document& d) {
    std::set<std::string> names;
    for (map_reader& item : reader.get_maps("models")) {
        schema::model& m = *d.add_models();
        m.set_name(read_name(item, names));
        m.set_version(item.get_string("version"));
        m.set_memory_mb(
            static_cast<std::uint32_t>(item.get_integer("memory_mb", 1, max_memory_mb)));
        read_replicas(item, m);
        read_priority(item, m);
        read_adapters(item, m);
        (void)item.finish();
    }
}

void read_routes(map_reader& reader, schema::service& s) {
    for (map_reader& item : reader.get_maps("routes")) {
        schema::service_route& r = *s.add_routes();
        r.set_method(item.get_string("method"));
        r.set_path_prefix(item.get_string("path"));
        r.set_idempotent(item.get_flag("idempotent", false));
        if (r.path_prefix().empty() || r.path_prefix()[0] != '/') {
            item.fail("path", "must begin with /");
        }
        (void)item.finish();
    }
}

void read_services(map_reader& reader, schema::document& d) {
    std::set<std::string> names;
    for (map_reader& item : reader.get_maps("services")) {
        schema::service& s = *d.add_services();
        s.set_name(read_name(item, names));
        read_routes(item, s);
        (void)item.finish();
    }
}

void read_limits(map_reader& reader, schema::document& d) {
    map_reader limits = reader.get_map("limits");
    schema::fleet_limits& l = *d.mutable_limits();
    l.set_weight_loads_per_second(limits.get_number("weight_loads_per_second", 0.01, 1e6, 1.0));
    l.set_weight_loads_at_once(
        static_cast<std::uint32_t>(limits.get_integer("weight_loads_at_once", 1, 100'000, 4)));
    l.set_adapters_in_flight(
        static_cast<std::uint32_t>(limits.get_integer("adapters_in_flight", 1, 1'000'000, 40)));
    (void)limits.finish();
}

}  // namespace

result<schema::document, settings::settings_error> parse(const std::string& file,
                                                         const std::string& text) {
    map_reader reader = map_reader::parse(file, text);
    schema::document d;
    d.set_environment(reader.get_string("environment"));
    d.set_label(reader.get_string("label"));
    read_models(reader, d);
    read_services(reader, d);
    read_limits(reader, d);
    if (const auto failed = reader.finish()) {
        return *failed;
    }
    return d;
}

std::string digest(const schema::document& d) {
    return digest_of(d.SerializeAsString());
}

std::uint32_t footprint_mb(const schema::model& m) {
    std::uint32_t total = m.memory_mb();
    for (const schema::adapter& a : m.adapters()) {
        total += a.memory_mb();
    }
    return total;
}

const schema::model* find_model(const schema::document& d, std::string_view name) {
    const auto& all = d.models();
    const auto found = std::find_if(all.begin(), all.end(),
                                    [&](const schema::model& m) { return m.name() == name; });
    return found == all.end() ? nullptr : &*found;
}

const schema::service* find_service(const schema::document& d, std::string_view name) {
    const auto& all = d.services();
    const auto found = std::find_if(all.begin(), all.end(),
                                    [&](const schema::service& s) { return s.name() == name; });
    return found == all.end() ? nullptr : &*found;
}

std::optional<model_reference> resolve(const schema::document& d, std::string_view name) {
    const std::size_t colon = name.find(':');
    const schema::model* model = find_model(d, name.substr(0, colon));
    if (model == nullptr) {
        return std::nullopt;
    }
    if (colon == std::string_view::npos) {
        return model_reference{model, ""};
    }
    const std::string_view adapter = name.substr(colon + 1);
    const bool declared =
        std::any_of(model->adapters().begin(), model->adapters().end(),
                    [&](const schema::adapter& a) { return a.name() == adapter; });
    if (!declared) {
        return std::nullopt;
    }
    return model_reference{model, std::string(adapter)};
}

bool is_idempotent(const schema::service& s, std::string_view method, std::string_view path) {
    const schema::service_route* best = nullptr;
    for (const schema::service_route& r : s.routes()) {
        const bool matches = r.method() == method && path.starts_with(r.path_prefix());
        if (matches && (best == nullptr || r.path_prefix().size() > best->path_prefix().size())) {
            best = &r;
        }
    }
    if (best != nullptr) {
        return best->idempotent();
    }
    return method == "GET" || method == "HEAD";
}

}  // namespace burdockdeck::document
