// gRPC between the programs: channels, servers, authentication, and unary calls as coroutines.
#pragma once

#include <grpcpp/grpcpp.h>

#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <string>

#include "base/result.h"
#include "base/time.h"
#include "settings/common.h"

namespace burdockdeck::runtime {

struct rpc_error {
    // True if the call certainly did not reach the server's handler.
    bool not_sent = false;
    std::string message;
};

// Mutual authentication of processes: a shared key in the metadata of calls, and TLS certificates.
class rpc_access {
public:
    // Reads the PEM files named in `from`.
    [[nodiscard]] static result<rpc_access, settings::settings_error> create(
        const settings::access_settings& from);

    [[nodiscard]] std::shared_ptr<grpc::ChannelCredentials> channel_credentials() const;
    [[nodiscard]] std::shared_ptr<grpc::ServerCredentials> server_credentials() const;
    // Adds the shared key to a call.
    void add_credentials(grpc::ClientContext& context) const;
    // True if the call carries the shared key, or no key is set.
    [[nodiscard]] bool allows(const grpc::CallbackServerContext& context) const;

private:
    std::string key_;
    std::string certificate_;
    std::string private_key_;
    std::string authority_;
};

// Opens a channel that shares no subchannel with any other, so that a caller can replace a
// connection that no longer responds. Each attempt to connect times out after `connect_timeout` and
// is followed by another.
[[nodiscard]] std::shared_ptr<grpc::Channel> open_channel(
    const std::string& address, const rpc_access& access,
    duration connect_timeout = std::chrono::milliseconds(200));

// Starts a server for `services` on `address`; the error names the address.
[[nodiscard]] result<std::unique_ptr<grpc::Server>, rpc_error> start_server(
    const std::string& address, const rpc_access& access,
    const std::vector<grpc::Service*>& services);

[[nodiscard]] rpc_error to_error(const grpc::Status& status);

// Makes one unary call and awaits its reply. `start` starts the call, for example
// stub->async()->submit; its parameters are the client context, the request, the reply and the
// callback. Resumes on `context`.
template <class Reply, class Request, class Start>
boost::asio::awaitable<result<Reply, rpc_error>> call_unary(boost::asio::io_context& context,
                                                            const rpc_access& access,
                                                            Request request, duration timeout,
                                                            Start start) {
    struct call_state {
        grpc::ClientContext client;
        Request request;
        Reply reply;
    };
    auto call = std::make_shared<call_state>();
    call->request = std::move(request);
    call->client.set_deadline(std::chrono::system_clock::now() +
                              std::chrono::duration_cast<std::chrono::microseconds>(timeout));
    access.add_credentials(call->client);
    const grpc::Status status =
        co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<>&,
                                             void(grpc::Status)>(
            [&](auto handler) {
                auto shared = std::make_shared<decltype(handler)>(std::move(handler));
                start(&call->client, &call->request, &call->reply,
                      [call, shared, &context](const grpc::Status& s) {
                          boost::asio::post(context, [shared, s] { (*shared)(s); });
                      });
            },
            boost::asio::use_awaitable);
    if (!status.ok()) {
        co_return to_error(status);
    }
    co_return std::move(call->reply);
}

}  // namespace burdockdeck::runtime
