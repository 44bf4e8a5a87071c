#include "acaciapulley/control/evacuation_store.hpp"

#include <algorithm> // none_of

#include <fmt/format.h> // format

namespace acp {

namespace {

constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7f;

bool IsControlCharacter(char c)
{
  const auto byte = static_cast<unsigned char>(c);
  return byte < kFirstPrintable || byte == kDelete;
}

} // namespace

bool IsDataCentreName(const std::string& name)
{
  return !name.empty() && name.size() <= kMaxDataCentreBytes &&
         std::none_of(name.begin(), name.end(), IsControlCharacter);
}

ControlResult<bool> EvacuationStore::Set(const std::string& dataCentre, bool evacuated)
{
  if (!IsDataCentreName(dataCentre)) {
    return Fail(ControlErrorCode::InvalidRequest,
                fmt::format("the name of a data centre must have 1 to {} bytes and no control "
                            "characters",
                            kMaxDataCentreBytes));
  }
  if (!evacuated) {
    return names_.erase(dataCentre) > 0;
  }
  if (names_.contains(dataCentre)) {
    return false;
  }
  if (names_.size() >= kMaxEvacuations) {
    return Fail(ControlErrorCode::TooManyEvacuations,
                fmt::format("{} data centres are evacuated already", kMaxEvacuations));
  }
  names_.insert(dataCentre);
  return true;
}

} // namespace acp
