#pragma once

#include <string>

namespace acp::test {

inline constexpr int kLimitedRate = 5000;

/// A service's document with the classes `order`, `read` and `open`.
std::string ServiceDocumentText(const std::string& service);

/// The fleet document, all of whose routes lead to the service `front`.
std::string FleetDocumentText();

} // namespace acp::test
