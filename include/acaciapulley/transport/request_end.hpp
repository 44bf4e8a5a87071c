#pragma once

/// @file
/// How requests end at a listener, and whether they were forwarded before.

#include <array> // array

#include "acaciapulley/core/names.hpp" // EnumName, NameTable

namespace acp {

/// How a request whose head was read ended for its caller.
enum class RequestEnd
{
  Answered,      ///< the kernel has accepted the complete response
  CallerGone,    ///< the caller closed its connection first
  CallerSlow,    ///< the caller did not read its response in time
  SourceEnded,   ///< the body of the response ended early
  RequestCut,    ///< the body of the request ended early
  HandlerFailed, ///< the handler threw an exception
  NoResponse,    ///< the handler returned without a response
  StopCut,       ///< the time for a stop was over
  ConnectionCut, ///< the connection ended with an earlier response
};

template<>
struct NameTable<RequestEnd>
{
  static constexpr std::array<EnumName<RequestEnd>, 9> kRows = { {
    { RequestEnd::Answered, "answered" },
    { RequestEnd::CallerGone, "caller_gone" },
    { RequestEnd::CallerSlow, "caller_slow" },
    { RequestEnd::SourceEnded, "source_ended" },
    { RequestEnd::RequestCut, "request_cut" },
    { RequestEnd::HandlerFailed, "handler_failed" },
    { RequestEnd::NoResponse, "no_response" },
    { RequestEnd::StopCut, "stop_cut" },
    { RequestEnd::ConnectionCut, "connection_cut" },
  } };
};

/// Whether a request was forwarded to an upstream or a peer.
enum class Forwarding
{
  No,      ///< no byte has left this process
  Unknown, ///< bytes were sent, no response has arrived
  Yes,     ///< the receiver has responded
};

template<>
struct NameTable<Forwarding>
{
  static constexpr std::array<EnumName<Forwarding>, 3> kRows = { {
    { Forwarding::No, "no" },
    { Forwarding::Unknown, "unknown" },
    { Forwarding::Yes, "yes" },
  } };
};

} // namespace acp
