// The interface that a site's wire protocol implements: calls of operators that send deployments,
// and of upstreams that announce themselves. A protocol only decodes and encodes; control decides.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "base/result.h"
#include "deployment/deployment.h"
#include "site.pb.h"

namespace burdockdeck::control {

enum class site_call_kind {
    replace_deployment,
    describe_deployment,
    announce,
    leave,
    unknown,
    wrong_method,
    // The target holds bytes that are not text.
    malformed
};

struct site_call {
    site_call_kind kind = site_call_kind::unknown;
    // Set for `announce` and `leave`.
    std::string upstream_id;
};

struct protocol_error {
    std::string message;
};

struct site_protocol {
    // `target` is the HTTP request target, including the query.
    std::function<site_call(std::string_view method, std::string_view target)> classify_call;
    std::function<result<deployment::site, protocol_error>(std::string_view body)>
        decode_deployment;
    std::function<result<schema::upstream_announcement, protocol_error>(std::string_view id,
                                                                        std::string_view body)>
        decode_announcement;
    // Returns the body of a response that refuses a call.
    std::function<std::string(std::string_view message)> encode_error;
};

}  // namespace burdockdeck::control
