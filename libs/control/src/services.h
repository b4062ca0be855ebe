// The gRPC services of a control instance.
#pragma once

#include <memory>

#include "instance.h"

namespace burdockdeck::control {

[[nodiscard]] std::unique_ptr<grpc::Service> make_peer_service(instance& i);
[[nodiscard]] std::unique_ptr<grpc::Service> make_control_service(instance& i);

// --- At an instance without a data folder

[[nodiscard]] std::unique_ptr<grpc::Service> make_directory_peer_service(instance& i);
[[nodiscard]] std::unique_ptr<grpc::Service> make_directory_control_service(instance& i);

}  // namespace burdockdeck::control
