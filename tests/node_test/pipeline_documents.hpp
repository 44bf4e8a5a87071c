#pragma once

#include <string>

namespace acp::test {

inline constexpr int kLimitedRate = 5000;

/// A service document with the classes `order`, `read` and `open`.
std::string ServiceDocumentText(const std::string& service);

/// The fleet document. Its routes lead to the service `front`, but for /stock/, which leads to
/// `back`.
std::string FleetDocumentText(bool hasAccounts = true);

} // namespace acp::test
