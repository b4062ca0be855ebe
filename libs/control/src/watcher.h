// One subscriber's stream of table updates. Its calls come from gRPC threads; the flags that both
// sides use are guarded by a mutex.
#pragma once

#include <mutex>
#include <optional>
#include <string>

#include "catalog.pb.h"
#include "runtime/rpc.h"

namespace burdockdeck::control {

class watcher : public grpc::ServerWriteReactor<schema::table_update>,
                public std::enable_shared_from_this<watcher> {
public:
    explicit watcher(std::uint64_t known) : known_(known) {}

    // Called once on a gRPC thread when the stream has ended.
    std::function<void()> on_end;
    // Called on a gRPC thread when the last update is out and another may be sent.
    std::function<void()> on_idle;

    void keep_alive(std::shared_ptr<watcher> self) {
        self_ = std::move(self);
    }
    // The revision last sent.
    [[nodiscard]] std::uint64_t known() const {
        return known_;
    }
    // True if an update may be sent now.
    [[nodiscard]] bool ready();
    void send(schema::table_update update);
    void end(const grpc::Status& status);

    void OnWriteDone(bool ok) override;
    void OnCancel() override;
    void OnDone() override;

private:
    std::mutex mutex_;
    std::uint64_t known_;
    schema::table_update update_;
    bool writing_ = false;
    bool ended_ = false;
    bool finished_ = false;
    grpc::Status status_;
    std::shared_ptr<watcher> self_;
};

}  // namespace burdockdeck::control
