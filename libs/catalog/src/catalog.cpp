// Applies each kind of command in a function of its own. Reply messages are stored in the
// replicated state under the operation id, so their texts must be equal on all control instances.
#include "catalog/catalog.h"

#include <algorithm>

#include "base/checksum.h"
#include "patch/patch.h"

namespace burdockdeck::catalog {

namespace {

using schema::agent_record;
using schema::catalog_state;
using schema::claim_record;
using schema::command_reply;

command_reply refused(std::string message) {
    command_reply r;
    r.set_status(schema::status_refused);
    r.set_message(std::move(message));
    return r;
}

command_reply done(const catalog_state& s, std::string message = "") {
    command_reply r;
    r.set_status(schema::status_done);
    r.set_message(std::move(message));
    r.set_revision(s.revision());
    return r;
}

// Drops the records with the lowest sequence until at most `max_kept_records` remain.
template <class Map>
void drop_oldest(Map& records) {
    while (static_cast<int>(records.size()) > max_kept_records) {
        const auto oldest = std::min_element(
            records.begin(), records.end(),
            [](const auto& a, const auto& b) { return a.second.sequence() < b.second.sequence(); });
        records.erase(oldest->first);
    }
}

void bump_revision(catalog_state& s, agent_record& a) {
    s.set_revision(s.revision() + 1);
    a.set_revision(s.revision());
}

// The agent's record if it is registered under exactly this incarnation, otherwise null.
agent_record* find_incarnation(catalog_state& s, const std::string& name,
                               std::uint64_t incarnation) {
    const auto found = s.mutable_agents()->find(name);
    if (found == s.mutable_agents()->end() ||
        found->second.registration().incarnation() != incarnation) {
        return nullptr;
    }
    return &found->second;
}

command_reply wrong_incarnation(const std::string& name) {
    return refused("agent `" + name + "` is not registered under that incarnation");
}

command_reply apply_trial(catalog_state& s, const schema::trial_command& c,
                          const std::string& operation_id) {
    if (c.document().environment() != s.environment()) {
        return refused("the document is for environment `" + c.document().environment() +
                       "`, this cluster serves `" + s.environment() + "`");
    }
    schema::proof_record proof;
    proof.set_digest(c.digest());
    proof.set_base_revision(s.current().revision());
    proof.set_sequence(s.sequence());
    const std::string seed =
        c.digest() + ":" + std::to_string(proof.base_revision()) + ":" + operation_id;
    proof.set_id(digest_of(seed));
    (*s.mutable_proofs())[proof.id()] = proof;
    drop_oldest(*s.mutable_proofs());
    command_reply reply = done(s, "the document may be promoted with this proof");
    reply.set_proof_id(proof.id());
    return reply;
}

command_reply apply_promote(catalog_state& s, const schema::promote_command& c, mutation injected) {
    const std::string& label = c.document().label();
    if (s.current().digest() == c.digest()) {
        return done(s, "this document is in force already");
    }
    const auto used = s.labels().find(label);
    if (used != s.labels().end() && used->second.digest() != c.digest()) {
        return refused("label `" + label + "` was promoted before with other content, digest " +
                       used->second.digest());
    }
    const auto proof = s.proofs().find(c.proof_id());
    if (proof == s.proofs().end()) {
        return refused("proof `" + c.proof_id() + "` is not known: run trial again");
    }
    if (proof->second.digest() != c.digest()) {
        return refused("proof `" + c.proof_id() + "` was given for other content");
    }
    if (proof->second.base_revision() != s.current().revision() &&
        injected != mutation::skip_base_check) {
        return refused("since the trial, label `" + s.current().document().label() +
                       "` came into force at revision " + std::to_string(s.current().revision()) +
                       ": run trial again");
    }
    s.set_revision(s.revision() + 1);
    schema::document_record& current = *s.mutable_current();
    *current.mutable_document() = c.document();
    current.set_digest(c.digest());
    current.set_revision(s.revision());
    schema::label_record& record = (*s.mutable_labels())[label];
    record.set_digest(c.digest());
    record.set_sequence(s.sequence());
    drop_oldest(*s.mutable_labels());
    return done(s, "in force");
}

command_reply apply_register(catalog_state& s, const schema::register_command& c) {
    const schema::agent_registration& r = c.registration();
    agent_record& a = (*s.mutable_agents())[r.name()];
    const std::uint64_t known = a.registration().incarnation();
    if (r.incarnation() < known) {
        command_reply reply = refused("agent `" + r.name() + "` has a later incarnation");
        reply.set_latest_incarnation(known);
        return reply;
    }
    const bool same = r.incarnation() == known;
    if (same && a.live() && a.registration().SerializeAsString() == r.SerializeAsString()) {
        return done(s);
    }
    *a.mutable_registration() = r;
    a.set_live(true);
    a.set_leaving(false);
    a.clear_resident();
    s.set_last_fence(s.last_fence() + 1);
    a.set_fence(s.last_fence());
    if (!same) {
        a.set_adapter_share(0);
    }
    bump_revision(s, a);
    return done(s);
}

command_reply apply_expire(catalog_state& s, const schema::expire_command& c) {
    agent_record* a = find_incarnation(s, c.agent(), c.incarnation());
    if (a == nullptr) {
        return wrong_incarnation(c.agent());
    }
    if (!a->live()) {
        return done(s);
    }
    a->set_live(false);
    a->clear_resident();
    a->clear_assigned();
    // Its adapter share stays reserved until the agent's own lease on it must have expired; the
    // leader then sets it to zero.
    bump_revision(s, *a);
    return done(s);
}

command_reply apply_leaving(catalog_state& s, const schema::leaving_command& c) {
    const auto found = s.mutable_agents()->find(c.agent());
    if (found == s.mutable_agents()->end()) {
        return refused("agent `" + c.agent() + "` is not known");
    }
    agent_record& a = found->second;
    const bool by_operator = c.incarnation() == 0;
    if (!by_operator && a.registration().incarnation() != c.incarnation()) {
        return wrong_incarnation(c.agent());
    }
    const bool before = by_operator ? a.drained() : a.leaving();
    if (before != c.leaving()) {
        by_operator ? a.set_drained(c.leaving()) : a.set_leaving(c.leaving());
        bump_revision(s, a);
    }
    return done(s);
}

command_reply apply_residency(catalog_state& s, const schema::residency_command& c) {
    agent_record* a = find_incarnation(s, c.agent(), c.incarnation());
    if (a == nullptr || !a->live()) {
        return wrong_incarnation(c.agent());
    }
    *a->mutable_resident() = c.resident();
    bump_revision(s, *a);
    return done(s);
}

command_reply apply_assign(catalog_state& s, const schema::assign_command& c) {
    if (c.document_revision() != s.current().revision()) {
        return refused("planned for document revision " + std::to_string(c.document_revision()) +
                       ", in force is " + std::to_string(s.current().revision()));
    }
    for (const schema::assignment& change : c.assignments()) {
        agent_record* a = find_incarnation(s, change.agent(), change.incarnation());
        if (a == nullptr || !a->live()) {
            continue;
        }
        *a->mutable_assigned() = change.assigned();
        s.set_last_fence(s.last_fence() + 1);
        a->set_fence(s.last_fence());
        bump_revision(s, *a);
    }
    return done(s);
}

command_reply apply_claim(catalog_state& s, const schema::claim_command& c, std::uint64_t at_ms,
                          mutation injected) {
    const auto found = s.claims().find(c.key());
    if (found != s.claims().end() && injected != mutation::allow_duplicate_claims) {
        const claim_record& existing = found->second;
        if (existing.body_digest() != c.body_digest()) {
            return refused("this Idempotency-Key was used with another request body");
        }
        command_reply reply = done(s);
        if (existing.attempt() != c.attempt()) {
            reply.set_status(schema::status_exists);
        }
        *reply.mutable_claim() = existing;
        return reply;
    }
    const agent_record* a = find_incarnation(s, c.agent(), c.incarnation());
    if (a == nullptr || !in_service(*a)) {
        return wrong_incarnation(c.agent());
    }
    claim_record& created = (*s.mutable_claims())[c.key()];
    created.set_key(c.key());
    created.set_body_digest(c.body_digest());
    created.set_attempt(c.attempt());
    created.set_agent(c.agent());
    created.set_incarnation(c.incarnation());
    created.set_state(schema::claim_open);
    created.set_at_ms(at_ms);
    command_reply reply = done(s);
    *reply.mutable_claim() = created;
    return reply;
}

command_reply apply_settle(catalog_state& s, const schema::settle_command& c) {
    const auto found = s.mutable_claims()->find(c.key());
    if (found == s.mutable_claims()->end() || found->second.attempt() != c.attempt()) {
        return refused("no claim of this key by this attempt");
    }
    claim_record& claim = found->second;
    if (claim.state() == schema::claim_done) {
        return done(s);
    }
    switch (c.result()) {
        case schema::settle_command::not_run:
            s.mutable_claims()->erase(c.key());
            break;
        case schema::settle_command::done:
            claim.set_state(schema::claim_done);
            *claim.mutable_answer() = c.answer();
            if (c.answer().body().size() > max_stored_answer_bytes) {
                claim.mutable_answer()->clear_body();
                claim.mutable_answer()->set_truncated(true);
            }
            break;
        default:
            claim.set_state(schema::claim_unknown);
            break;
    }
    return done(s);
}

command_reply apply_expire_claims(catalog_state& s, const schema::expire_claims_command& c) {
    auto& claims = *s.mutable_claims();
    for (auto it = claims.begin(); it != claims.end();) {
        it = it->second.at_ms() < c.before_ms() ? claims.erase(it) : std::next(it);
    }
    return done(s);
}

command_reply apply_share(catalog_state& s, const schema::share_command& c) {
    agent_record* a = find_incarnation(s, c.agent(), c.incarnation());
    if (a == nullptr || (!a->live() && c.adapter_share() > a->adapter_share())) {
        return wrong_incarnation(c.agent());
    }
    std::uint64_t total = c.adapter_share();
    for (const auto& [name, other] : s.agents()) {
        total += name == c.agent() ? 0 : other.adapter_share();
    }
    const bool grows = c.adapter_share() > a->adapter_share();
    if (grows && total > s.current().document().limits().adapters_in_flight()) {
        return refused("the shares would exceed the limit of adapters in flight");
    }
    // Agents get their shares with renewals, not with the table, so the revision does not change.
    a->set_adapter_share(c.adapter_share());
    return done(s);
}

command_reply apply_permit(catalog_state& s, const schema::permit_command& c) {
    auto& permits = *s.mutable_permits();
    if (c.release()) {
        permits.erase(c.order_id());
        return done(s);
    }
    if (permits.contains(c.order_id())) {
        return done(s);
    }
    const agent_record* a = find_incarnation(s, c.agent(), c.incarnation());
    if (a == nullptr || !a->live()) {
        return wrong_incarnation(c.agent());
    }
    if (permits.size() >= s.current().document().limits().weight_loads_at_once()) {
        return refused("as many loads as the weight store takes at once are under way");
    }
    schema::permit_record& p = permits[c.order_id()];
    p.set_agent(c.agent());
    p.set_incarnation(c.incarnation());
    return done(s);
}

// The highest version wins; the content first stored under a version is never replaced.
command_reply apply_replace_deployment(catalog_state& s,
                                       const schema::replace_deployment_command& c) {
    if (c.next().version() <= s.deployment().version()) {
        return done(s);
    }
    schema::deployment_record next = c.next();
    if (!c.patch().empty()) {
        auto text = patch::apply(s.deployment().source(), c.patch());
        if (!succeeded(text)) {
            return refused("the patch does not fit the deployment: " + error(text).message);
        }
        next.set_source(std::move(value(text)));
    }
    if (next.source().empty()) {
        return refused("a deployment needs its text");
    }
    s.set_revision(s.revision() + 1);
    *s.mutable_deployment() = std::move(next);
    return done(s);
}

command_reply apply_software_version(catalog_state& s, const schema::software_version_command& c) {
    auto& versions = *(*s.mutable_software())[c.service()].mutable_versions();
    const auto found = std::find(versions.begin(), versions.end(), c.version());
    const bool listed = found != versions.end();
    if (listed == c.remove()) {
        if (listed) {
            versions.erase(found);
        } else if (versions.size() >= max_software_versions) {
            return refused("service `" + c.service() + "` has " + std::to_string(versions.size()) +
                           " software versions already");
        } else {
            *versions.Add() = c.version();
        }
        s.set_software_revision(s.software_revision() + 1);
        s.set_revision(s.revision() + 1);
    }
    if (versions.empty()) {
        s.mutable_software()->erase(c.service());
    }
    return done(s);
}

command_reply dispatch(catalog_state& s, const schema::command& c, mutation injected) {
    switch (c.body_case()) {
        case schema::command::kTrial:
            return apply_trial(s, c.trial(), c.operation_id());
        case schema::command::kPromote:
            return apply_promote(s, c.promote(), injected);
        case schema::command::kRegisterAgent:
            return apply_register(s, c.register_agent());
        case schema::command::kExpire:
            return apply_expire(s, c.expire());
        case schema::command::kLeaving:
            return apply_leaving(s, c.leaving());
        case schema::command::kResidency:
            return apply_residency(s, c.residency());
        case schema::command::kAssign:
            return apply_assign(s, c.assign());
        case schema::command::kClaim:
            return apply_claim(s, c.claim(), c.at_ms(), injected);
        case schema::command::kSettle:
            return apply_settle(s, c.settle());
        case schema::command::kExpireClaims:
            return apply_expire_claims(s, c.expire_claims());
        case schema::command::kShare:
            return apply_share(s, c.share());
        case schema::command::kPermit:
            return apply_permit(s, c.permit());
        case schema::command::kReplaceDeployment:
            return apply_replace_deployment(s, c.replace_deployment());
        case schema::command::kSoftwareVersion:
            return apply_software_version(s, c.software_version());
        default:
            return refused("this version does not know the command");
    }
}

// Digest of a command without `at_ms`, which changes when the command is resent.
std::string content_digest(const schema::command& c) {
    schema::command content = c;
    content.clear_at_ms();
    return digest_of(content.SerializeAsString());
}

}  // namespace

bool in_service(const agent_record& a) {
    return a.live() && !a.leaving() && !a.drained();
}

command_reply apply(catalog_state& s, const schema::command& c, mutation injected) {
    s.set_sequence(s.sequence() + 1);
    if (c.operation_id().empty()) {
        return dispatch(s, c, injected);
    }
    const std::string content = content_digest(c);
    const auto earlier = s.operations().find(c.operation_id());
    if (earlier != s.operations().end()) {
        if (earlier->second.command_digest() != content) {
            return refused("operation id `" + c.operation_id() + "` was used for another command");
        }
        return earlier->second.reply();
    }
    command_reply reply = dispatch(s, c, injected);
    schema::operation_record& record = (*s.mutable_operations())[c.operation_id()];
    *record.mutable_reply() = reply;
    record.set_command_digest(content);
    record.set_sequence(s.sequence());
    drop_oldest(*s.mutable_operations());
    return reply;
}

schema::table_update table_since(const catalog_state& s, const std::string& cluster,
                                 std::uint64_t known_revision) {
    const std::uint64_t base = known_revision > s.revision() ? 0 : known_revision;
    schema::table_update update;
    update.set_cluster(cluster);
    update.set_revision(s.revision());
    update.set_base_revision(base);
    if (base == 0 || s.current().revision() > base) {
        *update.mutable_current() = s.current();
    }
    for (const auto& [name, agent] : s.agents()) {
        if (agent.revision() > base) {
            *update.add_agents() = agent;
        }
    }
    return update;
}

}  // namespace burdockdeck::catalog
