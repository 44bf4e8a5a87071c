#include "acaciapulley/accounts/key_table.hpp"

#include "acaciapulley/core/random.hpp" // RandomHex, Sha256

namespace acp {

namespace {

constexpr std::size_t kKeyBytes = 32;
constexpr std::size_t kKeyIdBytes = 8;
// The prefix lets secret scanners recognise a leaked key.
constexpr const char* kKeyPrefix = "acp_";

} // namespace

NewKey GenerateKey(const std::string& account, UnixMillis now)
{
  NewKey key;
  key.text = kKeyPrefix + RandomHex(kKeyBytes);
  key.record.id = RandomHex(kKeyIdBytes);
  key.record.hash = HashKey(key.text);
  key.record.account = account;
  key.record.issuedAt = now;
  return key;
}

std::string HashKey(const std::string& keyText)
{
  return Sha256(keyText);
}

AccountsResult<void> KeyTable::Issue(const KeyRecord& record)
{
  if (byId_.contains(record.id) || idByHash_.contains(record.hash)) {
    return Fail(AccountsErrorCode::DuplicateKey, "key " + record.id + " is in force already");
  }
  byId_.emplace(record.id, record);
  idByHash_.emplace(record.hash, record.id);
  return boost::outcome_v2::success();
}

AccountsResult<KeyRecord> KeyTable::Revoke(const std::string& id)
{
  const auto found = byId_.find(id);
  if (found == byId_.end()) {
    return Fail(AccountsErrorCode::UnknownKey, "no key in force has the id '" + id + "'");
  }
  KeyRecord record = found->second;
  idByHash_.erase(record.hash);
  byId_.erase(found);
  return record;
}

std::optional<std::string> KeyTable::FindAccount(const std::string& keyText) const
{
  const auto found = idByHash_.find(HashKey(keyText));
  if (found == idByHash_.end()) {
    return std::nullopt;
  }
  return byId_.at(found->second).account;
}

std::vector<KeyRecord> KeyTable::List(const std::string& account) const
{
  std::vector<KeyRecord> records;
  for (const auto& [id, record] : byId_) {
    if (account.empty() || record.account == account) {
      records.push_back(record);
    }
  }
  return records;
}

void KeyTable::Clear()
{
  byId_.clear();
  idByHash_.clear();
}

} // namespace acp
