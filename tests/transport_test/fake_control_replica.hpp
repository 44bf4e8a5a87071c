#pragma once

/// @file
/// A fake control replica for tests of its clients.

#include <atomic>     // atomic
#include <functional> // function
#include <memory>     // make_shared, shared_ptr
#include <thread>     // thread
#include <utility>    // move

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>

#include "acaciapulley/transport/address.hpp" // Address
#include "gen/ControlService.h"               // ControlServiceNull

namespace acp::test {

/// A control replica that handles Sync calls with a function.
class FakeControlReplica final : public acp::wire::ControlServiceNull
{
public:
  using Handler = std::function<void(acp::wire::SyncReply&, const acp::wire::SyncRequest&)>;

  explicit FakeControlReplica(Handler handler)
    : handler_(std::move(handler))
    , socket_(std::make_shared<apache::thrift::transport::TServerSocket>("127.0.0.1", 0))
    , server_(std::make_shared<acp::wire::ControlServiceProcessor>(
                std::shared_ptr<ControlServiceIf>(this, [](ControlServiceIf*) {})),
              socket_,
              std::make_shared<apache::thrift::transport::TFramedTransportFactory>(),
              std::make_shared<apache::thrift::protocol::TCompactProtocolFactory>())
    , thread_([this] { server_.serve(); })
  {
    while (socket_->getPort() == 0) {
      std::this_thread::yield();
    }
  }

  ~FakeControlReplica() override
  {
    server_.stop();
    thread_.join();
  }

  void Sync(acp::wire::SyncReply& reply, const acp::wire::SyncRequest& request) override
  {
    ++calls;
    handler_(reply, request);
  }

  [[nodiscard]] acp::Address ListenAddress() const
  {
    return { .ip = "127.0.0.1", .port = static_cast<std::uint16_t>(socket_->getPort()) };
  }

  std::atomic<int> calls{ 0 };

private:
  Handler handler_;
  std::shared_ptr<apache::thrift::transport::TServerSocket> socket_;
  apache::thrift::server::TThreadedServer server_;
  std::thread thread_;
};

} // namespace acp::test
