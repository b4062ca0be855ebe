// Patches are made on demand and shared by all gateways that have the same version.
#include "deployment_history.h"

#include "patch/patch.h"
#include "runtime/log.h"

namespace burdockdeck::control {

void record_deployment(deployment_history& h, const schema::deployment_record& newest) {
    if (newest.version() == 0 ||
        (!h.texts.empty() && h.texts.rbegin()->first >= newest.version())) {
        return;
    }
    h.texts[newest.version()] = newest.source();
    h.patches.clear();
    while (h.texts.size() > max_texts) {
        h.texts.erase(h.texts.begin());
    }
}

rpc::fetch_deployment_reply patch_for(deployment_history& h, std::uint64_t known_version) {
    rpc::fetch_deployment_reply reply;
    if (h.texts.empty() || h.texts.rbegin()->first <= known_version) {
        return reply;
    }
    const auto& [newest, text] = *h.texts.rbegin();
    const auto base = h.texts.find(known_version);
    const std::uint64_t base_version = base == h.texts.end() ? 0 : known_version;
    auto patch = h.patches.find(base_version);
    if (patch == h.patches.end()) {
        auto made = patch::make(base_version == 0 ? std::string() : base->second, text);
        if (!succeeded(made)) {
            runtime::log_event(runtime::severity::error, runtime::event::patch_failed,
                               {{"version", newest}, {"reason", error(made).message}});
            return reply;
        }
        patch = h.patches.emplace(base_version, std::move(value(made))).first;
    }
    reply.set_version(newest);
    reply.set_base_version(base_version);
    reply.set_patch(patch->second);
    return reply;
}

}  // namespace burdockdeck::control
