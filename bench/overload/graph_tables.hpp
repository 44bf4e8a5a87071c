#pragma once

/// @file
/// Tables of the graph of services.

#include <string> // string

namespace bench {

/// @brief Prints a row for each policy, or for the one called @p only, in each surge.
void PrintGraphTables(const std::string& only);

/// @brief Prints the surge by second for today's policy and the one before nested calls were
/// linked.
void PrintGraphTimelines(const std::string& only);

} // namespace bench
