#pragma once

/// @file
/// Result tables of the simulated graph of services.

#include <string> // string

namespace bench {

/// @brief Prints one table per surge, with a row for each policy.
/// @param only name of the only policy to run; empty: all policies
void PrintGraphTables(const std::string& only);

/// @brief Prints the counts of each second of each surge.
/// @param only name of the only policy to run; empty: all policies
void PrintGraphTimelines(const std::string& only);

} // namespace bench
