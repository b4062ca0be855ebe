// gRPC channels and servers with the options that all programs share.
#include "runtime/rpc.h"

#include <grpcpp/generic/generic_stub.h>

#include <atomic>
#include <fstream>
#include <sstream>

namespace burdockdeck::runtime {

namespace {

constexpr const char* key_header = "burdockdeck-key";
constexpr int max_message_bytes = 256 * 1024 * 1024;
constexpr int keepalive_ms = 2000;
constexpr int keepalive_timeout_ms = 3000;
constexpr int max_reconnect_backoff_ms = 500;
constexpr int server_threads = 2;

result<std::string, settings::settings_error> read_pem(const std::string& path, const char* key) {
    std::ifstream in(path, std::ios::binary);
    std::ostringstream text;
    text << in.rdbuf();
    if (!in || text.str().empty()) {
        return settings::settings_error{path, 0, key, "the PEM file cannot be read"};
    }
    return text.str();
}

// gRPC 1.51 shares one completion queue among the callback calls of all channels and destroys it
// with the last channel, while its own threads may still be using it. One call on a channel that is
// never destroyed keeps the queue alive until the process exits.
void keep_completion_queue_alive() {
    struct permanent_call {
        std::shared_ptr<grpc::Channel> channel = grpc::CreateChannel("", nullptr);
        grpc::GenericStub stub{channel};
        grpc::ClientContext context;
        grpc::Slice nothing{"-"};
        grpc::ByteBuffer request{&nothing, 1};
        grpc::ByteBuffer reply;

        permanent_call() {
            stub.UnaryCall(&context, "/none/none", {}, &request, &reply,
                           [](const grpc::Status&) {});
        }
    };
    // Never deleted. The pointer is kept, although nothing reads it, so that leak checkers find the
    // call reachable.
    [[gnu::used]] static const auto* const call = new permanent_call;
}

// Compares in constant time: the duration does not depend on where the keys differ.
bool equal_keys(std::string_view a, std::string_view b) {
    unsigned difference = a.size() == b.size() ? 0U : 1U;
    for (std::size_t i = 0; i < std::min(a.size(), b.size()); ++i) {
        difference |= static_cast<unsigned char>(a[i] ^ b[i]);
    }
    return difference == 0;
}

}  // namespace

result<rpc_access, settings::settings_error> rpc_access::create(
    const settings::access_settings& from) {
    rpc_access access;
    access.key_ = from.key;
    if (from.certificate_file.empty()) {
        return access;
    }
    for (const auto& [path, key, into] :
         {std::tuple{&from.certificate_file, "certificate_file", &access.certificate_},
          std::tuple{&from.private_key_file, "private_key_file", &access.private_key_},
          std::tuple{&from.authority_file, "authority_file", &access.authority_}}) {
        auto text = read_pem(*path, key);
        if (!succeeded(text)) {
            return error(text);
        }
        *into = std::move(value(text));
    }
    return access;
}

std::shared_ptr<grpc::ChannelCredentials> rpc_access::channel_credentials() const {
    if (certificate_.empty()) {
        return grpc::InsecureChannelCredentials();
    }
    return grpc::SslCredentials({authority_, private_key_, certificate_});
}

std::shared_ptr<grpc::ServerCredentials> rpc_access::server_credentials() const {
    if (certificate_.empty()) {
        return grpc::InsecureServerCredentials();
    }
    grpc::SslServerCredentialsOptions options(
        GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
    options.pem_root_certs = authority_;
    options.pem_key_cert_pairs.push_back({private_key_, certificate_});
    return grpc::SslServerCredentials(options);
}

void rpc_access::add_credentials(grpc::ClientContext& context) const {
    if (!key_.empty()) {
        context.AddMetadata(key_header, key_);
    }
}

bool rpc_access::allows(const grpc::CallbackServerContext& context) const {
    if (key_.empty()) {
        return true;
    }
    const auto found = context.client_metadata().find(key_header);
    return found != context.client_metadata().end() &&
           equal_keys({found->second.data(), found->second.size()}, key_);
}

std::shared_ptr<grpc::Channel> open_channel(const std::string& address, const rpc_access& access,
                                            duration connect_timeout) {
    static std::atomic<int> serial{0};
    keep_completion_queue_alive();
    grpc::ChannelArguments arguments;
    // A unique argument and a local pool prevent channels from sharing a subchannel.
    arguments.SetInt("burdockdeck.channel", ++serial);
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepalive_ms);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepalive_timeout_ms);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 0);
    arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 50);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS,
                     static_cast<int>(to_milliseconds(connect_timeout)));
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, max_reconnect_backoff_ms);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetMaxReceiveMessageSize(max_message_bytes);
    arguments.SetMaxSendMessageSize(max_message_bytes);
    return grpc::CreateCustomChannel(address, access.channel_credentials(), arguments);
}

result<std::unique_ptr<grpc::Server>, rpc_error> start_server(
    const std::string& address, const rpc_access& access,
    const std::vector<grpc::Service*>& services) {
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(address, access.server_credentials(), &port);
    for (grpc::Service* s : services) {
        builder.RegisterService(s);
    }
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
                               keepalive_ms / 2);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, keepalive_ms);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepalive_timeout_ms);
    builder.SetMaxReceiveMessageSize(max_message_bytes);
    builder.SetMaxSendMessageSize(max_message_bytes);
    builder.SetSyncServerOption(grpc::ServerBuilder::SyncServerOption::MAX_POLLERS, server_threads);
    std::unique_ptr<grpc::Server> server = builder.BuildAndStart();
    if (server == nullptr || port == 0) {
        return rpc_error{true, "cannot listen on " + address +
                                   ": the port is in use or the address is not local"};
    }
    return server;
}

rpc_error to_error(const grpc::Status& status) {
    rpc_error e;
    e.message = status.error_message();
    if (status.error_code() == grpc::StatusCode::UNAUTHENTICATED ||
        status.error_code() == grpc::StatusCode::UNIMPLEMENTED) {
        e.not_sent = true;
    }
    return e;
}

}  // namespace burdockdeck::runtime
