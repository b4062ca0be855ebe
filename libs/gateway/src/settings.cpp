// Reads a gateway's settings file.
#include "gateway/settings.h"

namespace burdockdeck::gateway {

namespace {

constexpr std::int64_t max_port = 65535;
// Answers held may take this part of the memory; buffers may be twice as large as their content.
constexpr std::size_t answer_memory_divisor = 5;

dispatch::choice_settings get_choice(settings::map_reader& reader) {
    settings::map_reader choice = reader.get_map("choice");
    dispatch::choice_settings s;
    s.read_tokens_per_ms =
        choice.get_number("read_tokens_per_ms", 0.01, 1'000'000, s.read_tokens_per_ms);
    s.batch_cost_ms = choice.get_number("batch_cost_ms", 0, 10'000, s.batch_cost_ms);
    s.domain_cost_ms = choice.get_number("domain_cost_ms", 0, 10'000, s.domain_cost_ms);
    s.adapter_cost_ms = choice.get_number("adapter_cost_ms", 0, 10'000, s.adapter_cost_ms);
    s.plain_call_ms = choice.get_number("plain_call_ms", 0.01, 60'000, s.plain_call_ms);
    s.max_ejected_share = choice.get_number("max_ejected_share", 0, 1, s.max_ejected_share);
    s.roles.long_prompt_tokens = static_cast<std::uint32_t>(
        choice.get_integer("long_prompt_tokens", 1, 1'000'000'000, s.roles.long_prompt_tokens));
    s.roles.short_share = choice.get_number("short_share", 0, 1, s.roles.short_share);
    (void)choice.finish();
    return s;
}

dispatch::budget_settings get_budget(settings::map_reader& reader) {
    settings::map_reader budget = reader.get_map("retry_budget");
    dispatch::budget_settings s;
    s.ratio = budget.get_number("ratio", 0, 10, s.ratio);
    s.slack = budget.get_number("slack", 0, 1'000'000, s.slack);
    s.window = std::chrono::seconds(budget.get_integer("window_s", 1, 3600, 10));
    (void)budget.finish();
    return s;
}

dispatch::admission_settings get_admission(settings::map_reader& reader) {
    settings::map_reader admission = reader.get_map("admission");
    dispatch::admission_settings s;
    s.first_event_timeout_share =
        admission.get_number("patience_share", 0.01, 1000, s.first_event_timeout_share);
    (void)admission.finish();
    return s;
}

}  // namespace

result<gateway_settings, settings::settings_error> load_settings(const std::string& path) {
    settings::map_reader reader = settings::map_reader::load(path);
    gateway_settings s;
    s.name = reader.get_string("name");
    s.failure_domain = reader.get_string("failure_domain");
    s.listen = get_endpoint(reader, "listen");
    s.ready_listen = get_endpoint(reader, "ready_listen");
    if (reader.has("metrics_listen")) {
        s.metrics_listen = get_endpoint(reader, "metrics_listen");
    }
    s.seeds = get_endpoints(reader, "seeds");
    s.control_rpc_port =
        static_cast<std::uint16_t>(reader.get_integer("control_rpc_port", 1, max_port));
    s.sidecar_port = static_cast<std::uint16_t>(reader.get_integer("sidecar_port", 1, max_port));
    s.access = get_access_settings(reader);
    s.log = get_log_settings(reader);
    s.grace = reader.get_milliseconds("grace_ms", 100, 3'600'000, 8000);
    const auto memory_mb =
        static_cast<std::size_t>(reader.get_integer("memory_mb", 16, 1'000'000, 256));
    s.max_answer_bytes = memory_mb * 1024 * 1024 / answer_memory_divisor;
    s.budget = get_budget(reader);
    s.choice = get_choice(reader);
    s.admission = get_admission(reader);
    if (const auto load_error = reader.finish()) {
        return *load_error;
    }
    return s;
}

}  // namespace burdockdeck::gateway
