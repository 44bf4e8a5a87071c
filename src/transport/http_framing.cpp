#include "acaciapulley/transport/detail/http_framing.hpp"

#include <algorithm> // all_of, min
#include <array>     // array
#include <charconv>  // from_chars, to_chars
#include <utility>   // move

#include <Poco/Net/HTTPResponse.h> // getReasonForStatus

namespace acp::detail {

namespace {

constexpr std::size_t kMaxFields = 100;
constexpr std::size_t kMaxMethodBytes = 32;
constexpr std::size_t kMaxChunkLineBytes = 256;
constexpr std::size_t kMaxTrailerBytes = 8'192;
// 15 digits of either base stay far below the range of 64 bits.
constexpr std::size_t kMaxLengthDigits = 15;

// A second value of one of these would let two parties read the same request differently.
constexpr std::array<std::string_view, 8> kSingleFields = {
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

/// Cuts the next line off @p text, which ends with CRLF.
std::string_view TakeLine(std::string_view* text)
{
  const std::size_t end = text->find("\r\n");
  const std::string_view line = text->substr(0, end);
  text->remove_prefix(end + 2);
  return line;
}

std::optional<std::string> ParseFields(std::string_view text, HttpHeaders* headers)
{
  while (text != "\r\n") {
    const std::string_view line = TakeLine(&text);
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || !IsToken(line.substr(0, colon))) {
      return "a header line has no valid name";
    }
    const std::string_view value = Trim(line.substr(colon + 1));
    if (!std::all_of(value.begin(), value.end(), IsValueChar)) {
      return "a header value contains control characters";
    }
    if (headers->Fields().size() >= kMaxFields) {
      return "the head has more than 100 fields";
    }
    headers->Add(std::string(line.substr(0, colon)), std::string(value));
  }
  return std::nullopt;
}

std::optional<std::string> CheckSingleFields(const HttpHeaders& headers)
{
  for (const auto& single : kSingleFields) {
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
    std::string_view rest = value;
    while (EqualsIgnoreCase(name, "Connection") && !rest.empty()) {
      const std::size_t comma = std::min(rest.find(','), rest.size());
      if (EqualsIgnoreCase(Trim(rest.substr(0, comma)), option)) {
        return true;
      }
      rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
  }
  return false;
}

/// Reads the fields that tell how the message goes on.
std::optional<std::string> ParseFraming(const HttpHeaders& headers,
                                        bool isVersion10,
                                        std::int64_t lengthIfAbsent,
                                        MessageFraming* framing)
{
  if (auto wrong = CheckSingleFields(headers)) {
    return wrong;
  }
  const auto length = headers.Find("Content-Length");
  const auto encoding = headers.Find("Transfer-Encoding");
  if (length && encoding) {
    return "Content-Length and Transfer-Encoding are both given";
  }
  if (encoding && (isVersion10 || !EqualsIgnoreCase(*encoding, "chunked"))) {
    return "only the transfer encoding 'chunked' of HTTP/1.1 is understood";
  }
  framing->bodyLength = encoding ? kChunked : lengthIfAbsent;
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

void AppendField(std::string* text, std::string_view name, std::string_view value)
{
  *text += name;
  *text += ": ";
  for (const char c : value) {
    *text += IsValueChar(c) ? c : ' ';
  }
  *text += "\r\n";
}

void AppendFields(std::string* text, const HttpHeaders& headers)
{
  for (const auto& [name, value] : headers.Fields()) {
    if (!IsSetByFraming(name)) {
      AppendField(text, name, value);
    }
  }
}

void AppendLength(std::string* text, std::int64_t bodyLength)
{
  if (bodyLength == kChunked) {
    *text += "Transfer-Encoding: chunked\r\n";
  } else {
    AppendField(text, "Content-Length", std::to_string(bodyLength));
  }
}

} // namespace

std::optional<std::string> ParseRequestHead(std::string_view text,
                                            HttpRequestHead* head,
                                            MessageFraming* framing)
{
  const std::string_view line = TakeLine(&text);
  const std::size_t methodEnd = std::min(line.find(' '), line.size());
  const std::string_view method = line.substr(0, methodEnd);
  const std::string_view rest = line.substr(std::min(methodEnd + 1, line.size()));
  const std::size_t targetEnd = std::min(rest.find(' '), rest.size());
  const std::string_view target = rest.substr(0, targetEnd);
  const std::string_view version = rest.substr(std::min(targetEnd + 1, rest.size()));
  if (!IsToken(method) || method.size() > kMaxMethodBytes) {
    return "the request line has no valid method";
  }
  if (!target.starts_with('/') || !std::all_of(target.begin(), target.end(), IsVisible)) {
    return "the request line has no path";
  }
  // A caller of HTTP/1.0 could not be told where an answer of unknown length ends.
  if (version != "HTTP/1.1") {
    return "the protocol is not HTTP/1.1";
  }
  head->method = method;
  head->target = target;
  if (auto wrong = ParseFields(text, &head->headers)) {
    return wrong;
  }
  if (auto wrong = ParseFraming(head->headers, false, 0, framing)) {
    return wrong;
  }
  const auto expectation = head->headers.Find("Expect");
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
  constexpr std::size_t kVersionBytes = 8;
  constexpr std::size_t kStatusEnd = 12;
  const std::string_view line = TakeLine(&text);
  const std::string_view version = line.substr(0, kVersionBytes);
  if ((version != "HTTP/1.1" && version != "HTTP/1.0") || line.size() < kStatusEnd) {
    return "the answer does not start with an HTTP/1.1 status line";
  }
  const auto status = ParseLength(line.substr(kVersionBytes + 1, 3), 10);
  const bool endsThere = line.size() == kStatusEnd || line[kStatusEnd] == ' ';
  if (!status || *status < 100 || line[kVersionBytes] != ' ' || !endsThere) {
    return "the answer has no valid status";
  }
  head->status = static_cast<int>(*status);
  if (auto wrong = ParseFields(text, &head->headers)) {
    return wrong;
  }
  if (auto wrong = ParseFraming(head->headers, version == "HTTP/1.0", kUnframed, framing)) {
    return wrong;
  }
  const bool isInterim = head->status < 200;
  if (method == "HEAD" || isInterim || head->status == 204 || head->status == 304) {
    framing->bodyLength = 0;
  }
  return std::nullopt;
}

std::string FormatRequestHead(const HttpRequestHead& head,
                              const std::string& host,
                              std::int64_t bodyLength)
{
  std::string text;
  text.reserve(1024);
  text += head.method;
  text += ' ';
  text += head.target;
  text += " HTTP/1.1\r\n";
  AppendField(&text, "Host", host);
  AppendFields(&text, head.headers);
  if (bodyLength != 0 || head.method == "POST" || head.method == "PUT") {
    AppendLength(&text, bodyLength);
  }
  text += "\r\n";
  return text;
}

std::string FormatResponseHead(const HttpResponseHead& head,
                               std::int64_t bodyLength,
                               bool keepAlive)
{
  using Poco::Net::HTTPResponse;
  std::string text;
  text.reserve(1024);
  text += "HTTP/1.1 ";
  text += std::to_string(head.status);
  text += ' ';
  text += HTTPResponse::getReasonForStatus(static_cast<HTTPResponse::HTTPStatus>(head.status));
  text += "\r\n";
  AppendFields(&text, head.headers);
  if (head.status != 204 && head.status != 304) {
    AppendLength(&text, bodyLength);
  }
  if (!keepAlive) {
    text += "Connection: close\r\n";
  }
  text += "\r\n";
  return text;
}

std::string FormatChunkStart(std::size_t size)
{
  std::array<char, 16> digits{};
  const auto [end, error] = std::to_chars(digits.begin(), digits.end(), size, 16);
  std::string line(digits.begin(), error == std::errc() ? end : digits.begin());
  return line + "\r\n";
}

FramedBody::FramedBody(HttpConnection& connection, std::int64_t length, Duration silence)
  : connection_(connection)
  , remaining_(std::max<std::int64_t>(length, 0))
  , isChunked_(length == kChunked)
  , isUnframed_(length == kUnframed)
  , ended_(length == 0)
  , silence_(silence)
{
}

std::string FramedBody::Line(std::size_t limit)
{
  std::string line;
  if (connection_.ReadLine(limit, SteadyNow() + silence_, &line) != IoStatus::Ok) {
    throw BodyTruncated{};
  }
  return line;
}

void FramedBody::SkipTrailers()
{
  std::size_t total = 0;
  while (true) {
    const std::string line = Line(kMaxTrailerBytes);
    total += line.size();
    if (line.empty()) {
      return;
    }
    if (total > kMaxTrailerBytes) {
      throw BodyTruncated{};
    }
  }
}

void FramedBody::StartChunk()
{
  const std::string line = Line(kMaxChunkLineBytes);
  const std::string_view digits = Trim(std::string_view(line).substr(0, line.find(';')));
  const auto length = ParseLength(digits, 16);
  if (!length) {
    throw BodyTruncated{};
  }
  remaining_ = *length;
  inChunk_ = remaining_ > 0;
  if (!inChunk_) {
    SkipTrailers();
    ended_ = true;
  }
}

std::size_t FramedBody::ReadPart(char* buffer, std::size_t size)
{
  std::size_t count = 0;
  const std::size_t wanted = std::min(size, static_cast<std::size_t>(remaining_));
  if (connection_.Read(buffer, wanted, SteadyNow() + silence_, &count) != IoStatus::Ok) {
    throw BodyTruncated{};
  }
  remaining_ -= static_cast<std::int64_t>(count);
  return count;
}

std::size_t FramedBody::Read(char* buffer, std::size_t size)
{
  if (ended_) {
    return 0;
  }
  if (onFirstRead_) {
    std::exchange(onFirstRead_, nullptr)();
  }
  if (isUnframed_) {
    throw BodyTruncated{};
  }
  if (isChunked_ && !inChunk_) {
    StartChunk();
    if (ended_) {
      return 0;
    }
  }
  std::size_t count = 0;
  while (count < size && remaining_ > 0) {
    // Only the first part may wait: what has arrived is passed on without delay.
    if (count > 0 && !connection_.HasInput()) {
      break;
    }
    count += ReadPart(buffer + count, size - count);
  }
  if (remaining_ == 0 && isChunked_) {
    if (!Line(0).empty()) {
      throw BodyTruncated{};
    }
    inChunk_ = false;
  }
  ended_ = remaining_ == 0 && !isChunked_;
  return count;
}

} // namespace acp::detail
