// The operators' commands. Each calls the control instances in `options`, prints the result as text
// or JSON, and returns an exit status that is stable for scripts.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "base/time.h"
#include "settings/common.h"

namespace burdockdeck::operator_cli {

enum class exit_status : int { done = 0, refused = 1, usage = 2, outcome_unknown = 3 };

// Options common to all commands.
struct options {
    // Control instances to call. Most commands may call any of them; bootstrap calls all.
    std::vector<settings::endpoint> control;
    settings::access_settings access;
    bool json = false;
    // Resending a command under the same id returns the first answer. Empty: a random id.
    std::string operation_id;
    duration timeout = std::chrono::seconds(15);
};

// Founds the cluster with exactly the instances in `o.control` as members.
[[nodiscard]] exit_status bootstrap(const options& o, const std::string& environment,
                                    std::ostream& out);
// Checks the document in `file` against the fleet and prints the id of the proof.
[[nodiscard]] exit_status trial(const options& o, const std::string& file, std::ostream& out);
// Puts the document in `file` in force; `proof` is the id from its trial. With `wait_for_all`,
// waits until it is in force at all subscribers seen within the last 10 s, up to the timeout.
[[nodiscard]] exit_status promote(const options& o, const std::string& file,
                                  const std::string& proof, bool wait_for_all, std::ostream& out);
[[nodiscard]] exit_status status(const options& o, std::ostream& out);
[[nodiscard]] exit_status explain_model(const options& o, const std::string& model,
                                        std::ostream& out);
// Prints the spans of one request from the given span files, by start time.
[[nodiscard]] exit_status explain_request(const options& o, const std::string& request,
                                          const std::vector<std::string>& span_files,
                                          std::ostream& out);
// Takes an agent out of service, or puts it back into service if `leaving` is false.
[[nodiscard]] exit_status drain(const options& o, const std::string& agent, bool leaving,
                                std::ostream& out);
[[nodiscard]] exit_status members(const options& o, std::ostream& out);
// Replaces the lost control instance with the new one at `address`.
[[nodiscard]] exit_status replace(const options& o, const std::string& lost,
                                  const std::string& address, std::ostream& out);

}  // namespace burdockdeck::operator_cli
