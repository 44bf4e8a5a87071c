#include "acaciapulley/transport/detail/http_framing.hpp"

#include <algorithm> // all_of, transform
#include <array>     // array
#include <charconv>  // from_chars, to_chars
#include <iterator>  // back_inserter
#include <sstream>   // ostringstream
#include <utility>   // move
#include <vector>    // vector

#include <Poco/Exception.h>    // Exception
#include <Poco/MemoryStream.h> // MemoryInputStream
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

namespace acp::detail {

namespace {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

// 15 decimal or hexadecimal digits always fit in 64 bits.
constexpr std::size_t kMaxLengthDigits = 15;

// RFC 9110, section 15: a client treats other three-digit codes as an error of the server.
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;

// Two parties could interpret a request differently if one of these had a second value.
constexpr std::array<std::string_view, 8> kSingletonFields = {
  "Acp-Key",           "Acp-Context", "Acp-Deadline-Ms", "Idempotency-Key", "Content-Length",
  "Transfer-Encoding", "Host",        "Expect",
};

bool IsTokenChar(char c)
{
  constexpr std::string_view kOthers = "!#$%&'*+-.^_`|~";
  const bool isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  return isLetter || (c >= '0' && c <= '9') || kOthers.find(c) != std::string_view::npos;
}

bool IsToken(std::string_view text)
{
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenChar);
}

bool IsVisible(char c)
{
  return c > ' ' && c != '\x7f';
}

bool IsValueChar(char c)
{
  return c == '\t' || (static_cast<unsigned char>(c) >= 0x20 && c != '\x7f');
}

std::string_view Trim(std::string_view text)
{
  const std::size_t start = text.find_first_not_of(" \t");
  if (start == std::string_view::npos) {
    return {};
  }
  return text.substr(start, text.find_last_not_of(" \t") - start + 1);
}

/// Removes the next line from @p text and returns it without its CRLF.
std::string_view ConsumeLine(std::string_view* text)
{
  const std::size_t end = text->find("\r\n");
  const std::string_view line = text->substr(0, end);
  text->remove_prefix(end + 2);
  return line;
}

/// Reads the header lines of @p text. POCO would skip lines without a colon, accept folded lines,
/// bare line feeds, invalid names and control characters, decode encoded words, whose line breaks
/// would become fields when the head is forwarded, and refuse more than 100 fields and values of
/// more than 8 KiB.
std::optional<std::string> ReadFields(std::string_view text, HttpHeaders* headers)
{
  while (text != "\r\n") {
    const std::string_view line = ConsumeLine(&text);
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || !IsToken(line.substr(0, colon))) {
      return "a header line has no valid name";
    }
    const std::string_view value = Trim(line.substr(colon + 1));
    if (!std::all_of(value.begin(), value.end(), IsValueChar)) {
      return "a header value contains control characters";
    }
    headers->Add(std::string(line.substr(0, colon)), std::string(value));
  }
  return std::nullopt;
}

/// Parses a status line with POCO.
std::optional<std::string> ReadStatusLine(std::string_view line, HTTPResponse* response)
{
  const std::string head = std::string(line) + "\r\n\r\n";
  Poco::MemoryInputStream stream(head.data(), static_cast<std::streamsize>(head.size()));
  try {
    response->read(stream);
  } catch (const Poco::Exception& e) {
    return "the head is malformed or exceeds a limit: " + e.message();
  }
  return std::nullopt;
}

std::optional<std::string> CheckSingletonFields(const HttpHeaders& headers)
{
  for (const auto& single : kSingletonFields) {
    int count = 0;
    for (const auto& field : headers.Fields()) {
      count += EqualsIgnoreCase(field.first, single) ? 1 : 0;
    }
    if (count > 1) {
      return "the field " + std::string(single) + " is given more than once";
    }
  }
  return std::nullopt;
}

std::optional<std::int64_t> ParseLength(std::string_view text, int base)
{
  std::int64_t length = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, length, base);
  const bool isValid = error == std::errc() && rest == end && !text.starts_with('-');
  return isValid && text.size() <= kMaxLengthDigits ? std::optional(length) : std::nullopt;
}

bool HasConnectionOption(const HttpHeaders& headers, std::string_view option)
{
  for (const auto& [name, value] : headers.Fields()) {
    if (EqualsIgnoreCase(name, HTTPMessage::CONNECTION)) {
      std::vector<std::string> elements;
      HTTPMessage::splitElements(value, elements);
      for (const auto& element : elements) {
        if (EqualsIgnoreCase(element, option)) {
          return true;
        }
      }
    }
  }
  return false;
}

/// Parses a request line. POCO would skip extra spaces and anything after the version, and refuse
/// targets of more than 16 KiB.
std::optional<std::string> ReadRequestLine(std::string_view line, HttpRequestHead* head)
{
  const std::size_t methodEnd = line.find(' ');
  head->method = line.substr(0, methodEnd);
  if (methodEnd == std::string_view::npos || !IsToken(head->method)) {
    return "the request line has no valid method";
  }
  const std::string_view rest = line.substr(methodEnd + 1);
  const std::size_t targetEnd = rest.find(' ');
  const std::string_view target = rest.substr(0, targetEnd);
  if (!target.starts_with('/') || !std::all_of(target.begin(), target.end(), IsVisible)) {
    return "the request line has no path";
  }
  head->target = target;
  // A response of unknown length could not be delimited for a caller that uses HTTP/1.0.
  if (targetEnd == std::string_view::npos || rest.substr(targetEnd + 1) != HTTPMessage::HTTP_1_1) {
    return "the protocol is not HTTP/1.1";
  }
  return std::nullopt;
}

/// Parses the fields that determine the framing of the message.
std::optional<std::string> ParseFraming(const HttpHeaders& headers,
                                        bool isVersion10,
                                        std::int64_t defaultLength,
                                        MessageFraming* framing)
{
  if (auto parseError = CheckSingletonFields(headers)) {
    return parseError;
  }
  const auto length = headers.Find("Content-Length");
  const auto encoding = headers.Find("Transfer-Encoding");
  if (length && encoding) {
    return "Content-Length and Transfer-Encoding are both given";
  }
  if (encoding && (isVersion10 || !EqualsIgnoreCase(*encoding, "chunked"))) {
    return "only the transfer encoding 'chunked' of HTTP/1.1 is supported";
  }
  framing->bodyLength = encoding ? kChunked : defaultLength;
  if (length) {
    const auto number = ParseLength(*length, 10);
    if (!number) {
      return "Content-Length is not a whole number";
    }
    framing->bodyLength = *number;
  }
  framing->keepAlive = isVersion10 ? HasConnectionOption(headers, "keep-alive")
                                   : !HasConnectionOption(headers, "close");
  return std::nullopt;
}

bool IsSetByFraming(std::string_view name)
{
  return EqualsIgnoreCase(name, "Content-Length") || EqualsIgnoreCase(name, "Transfer-Encoding") ||
         EqualsIgnoreCase(name, "Connection") || EqualsIgnoreCase(name, "Host") ||
         EqualsIgnoreCase(name, "Expect");
}

/// Appends all fields but those that the framing sets.
void AppendFields(const HttpHeaders& headers, std::string* text)
{
  for (const auto& [name, value] : headers.Fields()) {
    if (IsSetByFraming(name)) {
      continue;
    }
    *text += name;
    *text += ": ";
    // A line break would start another field.
    std::transform(value.begin(), value.end(), std::back_inserter(*text), [](char c) {
      return IsValueChar(c) ? c : ' ';
    });
    *text += "\r\n";
  }
}

void SetLength(std::int64_t bodyLength, HTTPMessage* message)
{
  if (bodyLength == kChunked) {
    message->setChunkedTransferEncoding(true);
  } else {
    message->setContentLength64(bodyLength);
  }
}

/// Writes the start line and the framing fields of @p message, then those of @p headers.
template<typename Message>
std::string WriteHead(const Message& message, const HttpHeaders& headers = {})
{
  constexpr std::size_t kEndBytes = 2; // of the empty line
  std::ostringstream stream;
  message.write(stream);
  std::string text = std::move(stream).str();
  text.resize(text.size() - kEndBytes);
  AppendFields(headers, &text);
  text += "\r\n";
  return text;
}

} // namespace

std::optional<std::string> ParseRequestHead(std::string_view text,
                                            HttpRequestHead* head,
                                            MessageFraming* framing)
{
  std::string_view fields = text;
  const std::string_view line = ConsumeLine(&fields);
  head->headers = {};
  if (auto parseError = ReadFields(fields, &head->headers)) {
    return parseError;
  }
  if (auto parseError = ReadRequestLine(line, head)) {
    return parseError;
  }
  if (auto parseError = ParseFraming(head->headers, false, 0, framing)) {
    return parseError;
  }
  const auto expectation = head->headers.Find(HTTPRequest::EXPECT);
  if (expectation && !EqualsIgnoreCase(*expectation, "100-continue")) {
    return "the expectation is not 100-continue";
  }
  framing->expectsContinue = expectation.has_value();
  return std::nullopt;
}

std::optional<std::string> ParseResponseHead(std::string_view text,
                                             std::string_view method,
                                             HttpResponseHead* head,
                                             MessageFraming* framing)
{
  std::string_view fields = text;
  const std::string_view line = ConsumeLine(&fields);
  // POCO ends the status line at a bare line feed and parses the rest as fields.
  if (!std::all_of(line.begin(), line.end(), IsValueChar)) {
    return "the status line contains control characters";
  }
  head->headers = {};
  if (auto parseError = ReadFields(fields, &head->headers)) {
    return parseError;
  }
  HTTPResponse response;
  if (auto parseError = ReadStatusLine(line, &response)) {
    return parseError;
  }
  const std::string& version = response.getVersion();
  if (version != HTTPMessage::HTTP_1_1 && version != HTTPMessage::HTTP_1_0) {
    return "the response does not start with an HTTP/1.0 or HTTP/1.1 status line";
  }
  head->status = response.getStatus();
  // POCO skips extra spaces and accepts status codes with fewer digits.
  const std::string start = version + ' ' + std::to_string(head->status);
  const bool isStatusDelimited =
    line.size() == start.size() || line.substr(start.size()).starts_with(' ');
  const bool isInRange = head->status >= kMinStatus && head->status <= kMaxStatus;
  if (!isInRange || !line.starts_with(start) || !isStatusDelimited) {
    return "the response has no valid status code";
  }
  const bool isVersion10 = version == HTTPMessage::HTTP_1_0;
  if (auto parseError = ParseFraming(head->headers, isVersion10, kCloseDelimited, framing)) {
    return parseError;
  }
  const bool isInterim = head->status < 200;
  if (method == HTTPRequest::HTTP_HEAD || isInterim || head->status == 204 || head->status == 304) {
    framing->bodyLength = 0;
  }
  framing->keepAlive = framing->keepAlive && framing->bodyLength != kCloseDelimited;
  return std::nullopt;
}

std::string FormatRequestHead(const HttpRequestHead& head,
                              const std::string& host,
                              std::int64_t bodyLength)
{
  HTTPRequest request(head.method, head.target, HTTPMessage::HTTP_1_1);
  request.setHost(head.headers.Find(HTTPRequest::HOST).value_or(host));
  const bool usuallyHasBody =
    head.method == HTTPRequest::HTTP_POST || head.method == HTTPRequest::HTTP_PUT;
  if (bodyLength != 0 || usuallyHasBody) {
    SetLength(bodyLength, &request);
  }
  return WriteHead(request, head.headers);
}

std::string FormatResponseHead(const HttpResponseHead& head,
                               std::int64_t bodyLength,
                               bool keepAlive)
{
  HTTPResponse response(HTTPMessage::HTTP_1_1, static_cast<HTTPResponse::HTTPStatus>(head.status));
  if (head.status != 204 && head.status != 304) {
    SetLength(bodyLength, &response);
  }
  if (!keepAlive) {
    response.set(HTTPMessage::CONNECTION, "close");
  }
  return WriteHead(response, head.headers);
}

std::string FormatContinue()
{
  return WriteHead(HTTPResponse(HTTPMessage::HTTP_1_1, HTTPResponse::HTTP_CONTINUE));
}

std::string FormatChunkStart(std::size_t size)
{
  std::array<char, 16> digits{};
  const auto [end, error] = std::to_chars(digits.begin(), digits.end(), size, 16);
  std::string line(digits.begin(), error == std::errc() ? end : digits.begin());
  return line + "\r\n";
}

std::optional<std::int64_t> ParseChunkLength(std::string_view line)
{
  return ParseLength(Trim(line.substr(0, line.find(';'))), 16);
}

} // namespace acp::detail
