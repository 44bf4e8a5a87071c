#pragma once

#include <map>
#include <string>

namespace acp::test {

inline constexpr int kLimitedRate = 5000;

/// A service document with the classes `order`, `read` and `open`.
std::string ServiceDocumentText(const std::string& service);

/// The fleet document. Its routes lead to the service `front`, but for /stock/, which leads to
/// `back`.
std::string FleetDocumentText(bool hasAccounts = true);

/// The fleet document with other accounts. @p keysByAccount is null for a document that does not
/// define accounts.
std::string FleetDocumentTextWith(const std::map<std::string, const char*>* keysByAccount);

} // namespace acp::test
