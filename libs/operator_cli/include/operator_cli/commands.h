// The operators' commands: each asks the control instances named, prints what came of it, and
// returns an exit code that scripts can rely on.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "base/time.h"
#include "settings/common.h"

namespace burdockdeck::operator_cli {

enum class exit_status : int { done = 0, refused = 1, usage = 2, outcome_unknown = 3 };

// What all commands share.
struct options {
    // Control instances, any of which will do.
    std::vector<settings::endpoint> control;
    settings::access_settings access;
    bool json = false;
    // Resending a command under the same id gives the first answer again.
    std::string operation_id;
    duration timeout = std::chrono::seconds(15);
};

// Founds the cluster on exactly the instances named in `o.control`.
[[nodiscard]] exit_status bootstrap(const options& o, const std::string& environment,
                                    std::ostream& out);
// Checks the document at `file` against the fleet and prints a proof.
[[nodiscard]] exit_status trial(const options& o, const std::string& file, std::ostream& out);
// Puts the document at `file` in force under the proof of its trial.
[[nodiscard]] exit_status promote(const options& o, const std::string& file,
                                  const std::string& proof, bool wait_for_all, std::ostream& out);
[[nodiscard]] exit_status status(const options& o, std::ostream& out);
[[nodiscard]] exit_status explain_model(const options& o, const std::string& model,
                                        std::ostream& out);
// Finds one request's spans in the span files given and prints its path.
[[nodiscard]] exit_status explain_request(const options& o, const std::string& request,
                                          const std::vector<std::string>& span_files,
                                          std::ostream& out);
// Takes an agent out of service, or back into it.
[[nodiscard]] exit_status drain(const options& o, const std::string& agent, bool leaving,
                                std::ostream& out);
[[nodiscard]] exit_status members(const options& o, std::ostream& out);
// Replaces the lost control instance by the fresh one at `address`.
[[nodiscard]] exit_status replace(const options& o, const std::string& lost,
                                  const std::string& address, std::ostream& out);

}  // namespace burdockdeck::operator_cli
