#include "acaciapulley/control/key_store.hpp"

#include <fmt/format.h> // format

namespace acp {

ControlResult<void> KeyStore::Issue(const KeyRecord& record)
{
  if (revoked_.contains(record.id)) {
    return Fail(ControlErrorCode::KeyRefused, "key " + record.id + " was withdrawn");
  }
  const auto count = countByAccount_.find(record.account);
  const bool accountIsFull = count != countByAccount_.end() && count->second >= kMaxKeysPerAccount;
  if (accountIsFull || count_ >= kMaxKeys) {
    return Fail(ControlErrorCode::TooManyKeys,
                fmt::format("allowed are {} keys for an account and {} for all; withdraw keys that "
                            "are not used",
                            kMaxKeysPerAccount,
                            kMaxKeys));
  }
  const auto issued = table_.Issue(record);
  if (!issued) {
    return Fail(ControlErrorCode::KeyRefused, issued.error().Describe());
  }
  ++countByAccount_[record.account];
  ++count_;
  return boost::outcome_v2::success();
}

ControlResult<KeyRecord> KeyStore::Revoke(const std::string& account, const std::string& id)
{
  if (revoked_.contains(id)) {
    return Fail(ControlErrorCode::KeyRefused, "key '" + id + "' was withdrawn before");
  }
  bool belongsToAccount = false;
  for (const auto& record : table_.List(account)) {
    belongsToAccount = belongsToAccount || record.id == id;
  }
  if (!belongsToAccount || account.empty()) {
    return Fail(ControlErrorCode::KeyRefused,
                fmt::format("account '{}' has no key '{}' in force; see key list", account, id));
  }
  const auto removed = table_.Revoke(id);
  if (!removed) {
    return Fail(ControlErrorCode::KeyRefused, removed.error().Describe());
  }
  revoked_.insert(id);
  --count_;
  if (--countByAccount_[account] == 0) {
    countByAccount_.erase(account);
  }
  return removed.value();
}

std::vector<KeyRecord> KeyStore::List(const std::string& account) const
{
  return table_.List(account);
}

void KeyStore::Restore(const std::vector<KeyRecord>& keys,
                       const std::vector<std::string>& revokedIds)
{
  table_.Clear();
  countByAccount_.clear();
  count_ = 0;
  revoked_ = std::set<std::string>(revokedIds.begin(), revokedIds.end());
  for (const auto& record : keys) {
    (void)Issue(record);
  }
}

} // namespace acp
