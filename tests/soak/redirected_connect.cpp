/// @file
/// Preloaded into the programs of a soak: sends their connections to one port through the proxies
/// of links.py, with the host's own address as the source, so that a proxy knows both ends.

#include <cstdlib> // getenv, strtol
#include <cstring> // memcpy

#include <arpa/inet.h>  // inet_pton, ntohs
#include <dlfcn.h>      // dlsym
#include <netinet/in.h> // sockaddr_in
#include <sys/socket.h> // bind, sockaddr

namespace {

constexpr int kDecimal = 10;

/// Returns a port from the environment; 0 if there is none.
in_port_t PortFrom(const char* name)
{
  const char* text = std::getenv(name);
  return text == nullptr ? 0 : htons(static_cast<in_port_t>(std::strtol(text, nullptr, kDecimal)));
}

void BindToOwnAddress(int descriptor)
{
  sockaddr_in own{};
  own.sin_family = AF_INET;
  const char* text = std::getenv("ACP_SOAK_ADDRESS");
  if (text != nullptr && ::inet_pton(AF_INET, text, &own.sin_addr) == 1) {
    // A failure only hides the source, and the connection then has no faults.
    (void)::bind(descriptor, reinterpret_cast<const sockaddr*>(&own), sizeof own);
  }
}

} // namespace

extern "C" int connect(int descriptor, const sockaddr* address, socklen_t length)
{
  using Connect = int (*)(int, const sockaddr*, socklen_t);
  static const auto next = reinterpret_cast<Connect>(::dlsym(RTLD_NEXT, "connect"));
  static const in_port_t from = PortFrom("ACP_SOAK_PORT");
  static const in_port_t to = PortFrom("ACP_SOAK_PROXY_PORT");
  if (address == nullptr || address->sa_family != AF_INET || length < sizeof(sockaddr_in)) {
    return next(descriptor, address, length);
  }
  sockaddr_in target{};
  std::memcpy(&target, address, sizeof target);
  if (from == 0 || target.sin_port != from) {
    return next(descriptor, address, length);
  }
  BindToOwnAddress(descriptor);
  target.sin_port = to;
  return next(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target);
}
