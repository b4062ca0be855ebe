// Encodes each change of the deployment as a patch to the previous change in the log.
#include "deployment_tail.h"

#include <cassert>
#include <utility>

#include "patch/patch.h"
#include "runtime/log.h"

namespace burdockdeck::control {

void encode_as_patch(schema::command& command, deployment_tail& tail,
                     const schema::deployment_record& applied, consensus::term_number term) {
    assert(command.has_replace_deployment());
    if (tail.uncertain || tail.term != term || tail.newest.version() < applied.version()) {
        tail = {term, applied, tail.uncertain};
    }
    schema::replace_deployment_command& change = *command.mutable_replace_deployment();
    if (change.next().version() <= tail.newest.version()) {
        // An older version changes nothing. It is still committed, so that it is answered only
        // after the newer version is committed.
        change.mutable_next()->clear_source();
        return;
    }
    const schema::deployment_record base = std::exchange(tail.newest, change.next());
    if (std::exchange(tail.uncertain, false)) {
        return;
    }
    auto made = patch::make(base.source(), change.next().source());
    if (!succeeded(made)) {
        runtime::log_event(runtime::severity::error, runtime::event::patch_failed,
                           {{"version", change.next().version()}, {"reason", error(made).message}});
        return;
    }
    change.set_patch(std::move(value(made)));
    change.mutable_next()->clear_source();
}

void record_refused_change(deployment_tail& tail) {
    tail.uncertain = true;
}

}  // namespace burdockdeck::control
