// Formats the status of a control instance as text and as JSON. Internal header.
#pragma once

#include <boost/json.hpp>
#include <iosfwd>

#include "services.pb.h"

namespace burdockdeck::operator_cli {

[[nodiscard]] boost::json::object status_json(const rpc::status_reply& s);
void print_status(const rpc::status_reply& s, std::ostream& out);

}  // namespace burdockdeck::operator_cli
