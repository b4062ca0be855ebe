// Replacement of a lost control instance by a fresh one, through joint majorities.
#pragma once

#include <functional>

#include "instance.h"

namespace burdockdeck::control {

// Swaps the voter `lost_name` for the fresh instance at `new_address`. `done` is called with
// success only once the new members are committed and the fresh instance has them on its disk.
// Asking again after a lost answer or a new leader goes on where the earlier request ended.
void replace_member(instance& i, const rpc::replace_request& request,
                    std::function<void(rpc::replace_reply)> done);

}  // namespace burdockdeck::control
