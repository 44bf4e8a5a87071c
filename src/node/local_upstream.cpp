#include "acaciapulley/node/local_upstream.hpp"

#include "acaciapulley/core/json_reader.hpp"           // JsonReader
#include "acaciapulley/node/detail/response_relay.hpp" // AttemptEchoTranslation

namespace acp {

namespace {

constexpr std::int64_t kMaxSlots = 100'000;
constexpr std::int64_t kMaxColdStartMs = 3'600'000;

} // namespace

NodeResult<Announcement> Announcement::Parse(std::string_view text)
{
  try {
    JsonReader reader = JsonReader::FromText(text);
    Announcement announcement;
    announcement.service = reader.String("service");
    const auto address = Address::Parse(reader.String("address"));
    if (!address) {
      return Fail(NodeErrorCode::InvalidAnnouncement, "address: " + address.error().message);
    }
    announcement.address = address.value();
    announcement.slots = static_cast<int>(reader.Integer("slots", 1, kMaxSlots));
    announcement.maxConnections = static_cast<int>(reader.Integer("max_connections", 1, kMaxSlots));
    announcement.coldStartMs =
      reader.Has("cold_start_ms") ? reader.Integer("cold_start_ms", 0, kMaxColdStartMs) : 0;
    announcement.draining = reader.Has("draining") && reader.Boolean("draining");
    reader.RejectUnknownFields();
    return announcement;
  } catch (const JsonFieldError& e) {
    return Fail(NodeErrorCode::InvalidAnnouncement, e.what());
  }
}

bool LocalUpstream::Announce(const Announcement& announcement)
{
  const std::lock_guard lock(mutex_);
  if (announced_ == announcement) {
    return false;
  }
  announced_ = announcement;
  const bool keepsPool = current_ && current_->address == announcement.address &&
                         current_->instanceId == announcement.instanceId &&
                         current_->maxConnections == announcement.maxConnections;
  if (!keepsPool) {
    pool_ = std::make_shared<HttpPool>(
      HttpPoolOptions{ .address = announcement.address,
                       .maxConnections = announcement.maxConnections,
                       .translation = makeTranslation_ ? makeTranslation_(announcement)
                                                       : detail::AttemptEchoTranslation(),
                       .counts = connections_ });
  }
  current_ = announcement;
  current_->draining = current_->draining || stopping_;
  current_->coldStartMs = coldStartMs_.value_or(announcement.coldStartMs);
  return true;
}

bool LocalUpstream::ReplaceColdStart(std::optional<std::int64_t> coldStartMs)
{
  const std::lock_guard lock(mutex_);
  coldStartMs_ = coldStartMs;
  if (!current_) {
    return false;
  }
  const std::int64_t before = current_->coldStartMs;
  current_->coldStartMs = coldStartMs_.value_or(announced_->coldStartMs);
  return current_->coldStartMs != before;
}

void LocalUpstream::BeginStop()
{
  const std::lock_guard lock(mutex_);
  stopping_ = true;
  if (current_) {
    current_->draining = true;
  }
}

std::optional<Announcement> LocalUpstream::Current() const
{
  const std::lock_guard lock(mutex_);
  return current_;
}

std::shared_ptr<HttpPool> LocalUpstream::Pool() const
{
  const std::lock_guard lock(mutex_);
  return pool_;
}

} // namespace acp
