// Answers to operators' status and explain calls.
#pragma once

#include "instance.h"

namespace burdockdeck::control {

void fill_status(const instance& i, rpc::status_reply& reply);
void fill_explain(const instance& i, const std::string& model, rpc::explain_reply& reply);

}  // namespace burdockdeck::control
