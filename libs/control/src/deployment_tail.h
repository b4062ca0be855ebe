// Changes of the deployment are logged as patches to the text of the previous change, so that a
// long text is not sent and stored with each change.
#pragma once

#include "catalog.pb.h"
#include "consensus/node.h"

namespace burdockdeck::control {

// The newest deployment in a leader's log, committed or not. Invariant: all entries of `term` that
// change the deployment were proposed through `encode_as_patch`.
struct deployment_tail {
    consensus::term_number term = 0;
    schema::deployment_record newest;
    // True after a change in the log was refused, so that `newest` may never be applied.
    bool uncertain = false;
};

// Replaces the text in `command` by a patch, unless the base of the patch is uncertain. The command
// must be the next one that changes the deployment in the log of the leader of `term`, whose state
// holds `applied`. Preconditions: `command` replaces the deployment, and the leader has applied all
// entries of earlier terms.
void encode_as_patch(schema::command& command, deployment_tail& tail,
                     const schema::deployment_record& applied, consensus::term_number term);
// Records that an entry that changes the deployment was refused when it was applied. The next
// change carries its whole text, since a patch to a change without effect would be refused as well.
void record_refused_change(deployment_tail& tail);

}  // namespace burdockdeck::control
