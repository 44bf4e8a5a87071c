#pragma once

#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include "acaciapulley/transport/http_message.hpp"

namespace acp::test {

/// A request that a ScriptedUpstream has received.
struct ScriptedRequest
{
  HttpRequestHead head;
  int connection = 0; ///< from 1 on, in the order in which connections were accepted
  int number = 0;     ///< from 1 on, among the requests of the connection
};

/// An upstream that responds with the bytes that a script returns, which need not be valid HTTP.
/// Requests must have no body.
class ScriptedUpstream
{
public:
  /// @param script called with the mutex held; an empty text closes the connection
  explicit ScriptedUpstream(std::function<std::string(const ScriptedRequest&)> script);
  ScriptedUpstream(const ScriptedUpstream&) = delete;
  ScriptedUpstream& operator=(const ScriptedUpstream&) = delete;
  ~ScriptedUpstream();

  [[nodiscard]] std::uint16_t Port() const { return listener_.address().port(); }
  [[nodiscard]] int CountConnections() const;
  /// Returns the number of requests whose target ends with @p name.
  [[nodiscard]] int CountRequests(const std::string& name) const;
  /// Returns ScriptedRequest::number of the last request whose target ends with @p name; 0: none.
  [[nodiscard]] int NumberOf(const std::string& name) const;

private:
  void Accept();
  void Serve(Poco::Net::StreamSocket socket, int connection);

  std::function<std::string(const ScriptedRequest&)> script_;
  mutable std::mutex mutex_;
  std::vector<ScriptedRequest> requests_;
  std::list<Poco::Net::StreamSocket> sockets_;
  std::list<std::thread> connectionThreads_;
  bool isStopping_ = false;
  Poco::Net::ServerSocket listener_;
  std::thread acceptor_;
};

/// @brief Returns the bytes of a response; @p fields are lines that end with CRLF.
std::string ResponseBytes(int status, const std::string& fields, const std::string& body);

} // namespace acp::test
