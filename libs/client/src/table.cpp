// Applies updates to the table.
#include "client/table.h"

namespace burdockdeck::client {

update_effect apply(table& t, const schema::table_update& update) {
    if (!t.cluster.empty() && t.cluster != update.cluster()) {
        return update_effect::refused_mismatch;
    }
    if (update.revision() < t.revision) {
        return update_effect::refused_older;
    }
    if (update.base_revision() > t.revision) {
        return update_effect::refused_mismatch;
    }
    if (update.revision() == t.revision && t.revision != 0) {
        return update_effect::unchanged;
    }
    t.cluster = update.cluster();
    t.revision = update.revision();
    if (update.has_current()) {
        t.current = update.current();
    }
    if (update.base_revision() == 0) {
        t.agents.clear();
    }
    for (const schema::agent_record& a : update.agents()) {
        t.agents[a.registration().name()] = a;
    }
    return update_effect::applied;
}

}  // namespace burdockdeck::client
