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
};

// Replaces the text in `command` by a patch. The command must be the next one that changes the
// deployment in the log of the leader of `term`, whose state holds `applied`. Preconditions:
// `command` replaces the deployment, and the leader has applied all entries of earlier terms.
void encode_as_patch(schema::command& command, deployment_tail& tail,
                     const schema::deployment_record& applied, consensus::term_number term);

}  // namespace burdockdeck::control
