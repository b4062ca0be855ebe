// Replacement of a lost control instance by a new one, through joint consensus.
#pragma once

#include <functional>

#include "instance.h"

namespace burdockdeck::control {

// Replaces the voter `lost_name` by the new instance at `new_address`. `done` is called with
// success only once the new configuration is committed and stored on the new instance's disk. A
// request that is repeated after a lost answer or a change of leader continues the earlier one.
void replace_member(instance& i, const rpc::replace_request& request,
                    std::function<void(rpc::replace_reply)> done);

}  // namespace burdockdeck::control
