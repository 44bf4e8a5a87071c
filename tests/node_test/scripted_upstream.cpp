#include "scripted_upstream.hpp"

#include <algorithm>
#include <array>

#include <Poco/Exception.h>

#include "acaciapulley/transport/detail/http_framing.hpp"

namespace acp::test {

namespace {

/// Removes the next request head from @p received, after receiving the rest of it if needed.
bool ReadHead(Poco::Net::StreamSocket& socket, std::string& received, HttpRequestHead& head)
{
  std::size_t end = received.find("\r\n\r\n");
  while (end == std::string::npos) {
    std::array<char, 4096> buffer{};
    const int count = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    if (count <= 0) {
      return false;
    }
    received.append(buffer.data(), static_cast<std::size_t>(count));
    end = received.find("\r\n\r\n");
  }
  detail::MessageFraming framing;
  const bool isValid = !detail::ParseRequestHead(received.substr(0, end + 4), &head, &framing);
  received.erase(0, end + 4);
  return isValid;
}

} // namespace

std::string ResponseBytes(int status, const std::string& fields, const std::string& body)
{
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

ScriptedUpstream::ScriptedUpstream(std::function<std::string(const ScriptedRequest&)> script)
  : script_(std::move(script))
  , listener_(Poco::Net::SocketAddress("127.0.0.1", 0))
  , acceptor_([this] { Accept(); })
{
}

ScriptedUpstream::~ScriptedUpstream()
{
  {
    const std::lock_guard lock(mutex_);
    isStopping_ = true;
  }
  // Wakes the acceptor thread, which then checks isStopping_.
  Poco::Net::StreamSocket(Poco::Net::SocketAddress("127.0.0.1", Port())).close();
  acceptor_.join();
  for (auto& socket : sockets_) {
    try {
      socket.shutdown();
    } catch (const Poco::Exception&) {
      continue; // closed already
    }
  }
  for (auto& server : connectionThreads_) {
    server.join();
  }
}

int ScriptedUpstream::CountConnections() const
{
  const std::lock_guard lock(mutex_);
  return static_cast<int>(connectionThreads_.size());
}

int ScriptedUpstream::CountRequests(const std::string& name) const
{
  const std::lock_guard lock(mutex_);
  const auto isNamed = [&name](const ScriptedRequest& request) {
    return request.head.target.ends_with(name);
  };
  return static_cast<int>(std::count_if(requests_.begin(), requests_.end(), isNamed));
}

int ScriptedUpstream::NumberOf(const std::string& name) const
{
  const std::lock_guard lock(mutex_);
  int number = 0;
  for (const auto& request : requests_) {
    number = request.head.target.ends_with(name) ? request.number : number;
  }
  return number;
}

void ScriptedUpstream::Accept()
{
  while (true) {
    const Poco::Net::StreamSocket socket = listener_.acceptConnection();
    const std::lock_guard lock(mutex_);
    if (isStopping_) {
      return;
    }
    sockets_.push_back(socket);
    const int connection = static_cast<int>(sockets_.size());
    connectionThreads_.emplace_back([this, socket, connection] { Serve(socket, connection); });
  }
}

void ScriptedUpstream::Serve(Poco::Net::StreamSocket socket, int connection)
{
  ScriptedRequest request{ .connection = connection };
  std::string received;
  try {
    while (ReadHead(socket, received, request.head)) {
      ++request.number;
      std::string answer;
      {
        const std::lock_guard lock(mutex_);
        requests_.push_back(request);
        answer = script_(request);
      }
      if (answer.empty()) {
        break;
      }
      socket.sendBytes(answer.data(), static_cast<int>(answer.size()));
    }
    socket.shutdown();
  } catch (const Poco::Exception&) {
    return; // the node has closed the connection
  }
}

} // namespace acp::test
