#include "acaciapulley/control/document_store.hpp"

#include <utility> // move

#include <fmt/format.h> // format

namespace acp {

ControlResult<StoredDocument> DocumentStore::Put(StoredDocument document, std::int64_t ifVersion)
{
  const StoredDocument* current = Current(document.service);
  const std::int64_t version = current == nullptr ? 0 : current->version;
  if (version != ifVersion) {
    const std::string currentSource =
      current == nullptr ? "it has no document" : "version by " + current->operatorName;
    return Fail(ControlErrorCode::VersionConflict,
                fmt::format("service '{}' is at version {} ({}), the change was made from {}; get "
                            "the current document, repeat the change there and put it again",
                            document.service,
                            version,
                            currentSource,
                            ifVersion));
  }
  if (current == nullptr && byService_.size() >= kMaxServices) {
    return Fail(ControlErrorCode::TooManyServices,
                fmt::format("{} services have a document, the most that are kept", kMaxServices));
  }
  auto& versions = byService_[document.service];
  document.version = version + 1;
  versions.push_back(std::move(document));
  if (versions.size() > kMaxDocumentHistory) {
    versions.erase(versions.begin());
  }
  return versions.back();
}

const StoredDocument* DocumentStore::Current(const std::string& service) const
{
  const auto found = byService_.find(service);
  return found == byService_.end() ? nullptr : &found->second.back();
}

std::vector<StoredDocument> DocumentStore::History(const std::string& service) const
{
  const auto found = byService_.find(service);
  return found == byService_.end() ? std::vector<StoredDocument>{} : found->second;
}

std::vector<StoredDocument> DocumentStore::AllCurrent() const
{
  std::vector<StoredDocument> documents;
  for (const auto& [service, versions] : byService_) {
    documents.push_back(versions.back());
  }
  return documents;
}

void DocumentStore::Restore(const std::vector<StoredDocument>& versions)
{
  byService_.clear();
  for (const auto& document : versions) {
    byService_[document.service].push_back(document);
  }
}

} // namespace acp
