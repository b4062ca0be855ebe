// Builds the routing view from the table.
#include "view.h"

#include "catalog/catalog.h"
#include "document/document.h"

namespace burdockdeck::entry {

namespace {

destination destination_of(const schema::agent_record& record) {
    destination d;
    d.agent = record.registration().name();
    d.address = record.registration().address();
    d.incarnation = record.registration().incarnation();
    d.slots = record.registration().slots();
    return d;
}

// Adds the agent for each of its resident models. If several versions of a model are resident, the
// declared version is used, else the first one listed.
void add_models(routing_view& view, const schema::agent_record& record) {
    std::map<std::string, std::string> versions;
    for (const schema::model_instance& i : record.resident()) {
        const schema::model* m = document::find_model(view.document, i.model());
        const bool declared = m != nullptr && m->version() == i.version();
        if (declared || !versions.contains(i.model())) {
            versions[i.model()] = i.version();
        }
    }
    for (const auto& [model, version] : versions) {
        destination d = destination_of(record);
        d.version = version;
        view.models[model].push_back(std::move(d));
    }
}

}  // namespace

std::shared_ptr<const routing_view> build_view(const client::table& t) {
    auto view = std::make_shared<routing_view>();
    view->revision = t.revision;
    view->document = t.current.document();
    for (const auto& [name, record] : t.agents) {
        view->incarnations[name] = record.registration().incarnation();
        if (!catalog::in_service(record)) {
            continue;
        }
        if (record.registration().kind() == schema::upstream_service) {
            view->services[record.registration().service()].push_back(destination_of(record));
        } else {
            add_models(*view, record);
        }
    }
    return view;
}

}  // namespace burdockdeck::entry
