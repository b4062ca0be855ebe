// Texts of recent deployments at one control instance, and the patches from them that gateways
// fetch. Soft state: a gateway whose version is missing here gets the whole text.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "services.pb.h"
#include "site.pb.h"

namespace burdockdeck::control {

// Invariants: `texts` holds the newest version and at most `max_texts` in all; each patch is from
// the text of the version in its key (0: the empty text) to the newest text.
struct deployment_history {
    std::map<std::uint64_t, std::string> texts;
    std::map<std::uint64_t, std::string> patches;
};

// Number of changes that a gateway may miss and still get a patch: enough for some seconds of rapid
// changes.
inline constexpr std::size_t max_texts = 8;

// Adds the deployment in force, unless it is already present.
void record_deployment(deployment_history& h, const schema::deployment_record& newest);
// Returns the patch from the text of `known_version`, or from the empty text, to the newest. The
// reply has no version if there is no deployment or the gateway already has the newest.
[[nodiscard]] rpc::fetch_deployment_reply patch_for(deployment_history& h,
                                                    std::uint64_t known_version);

}  // namespace burdockdeck::control
