// TextTable: formats rows of text in aligned columns.
#ifndef MULBERRYVALVE_ADAPTERS_CLI_TEXT_TABLE_H_
#define MULBERRYVALVE_ADAPTERS_CLI_TEXT_TABLE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace mulberryvalve {

// TextTable collects and formats rows. Not thread-safe.
class TextTable
{
public:
  explicit TextTable(std::vector<std::string> aHeadings);

  // Add appends a row; it must have as many cells as there are headings.
  void Add(std::vector<std::string> aCells);

  // Print returns the headings and the rows, one per line.
  std::string Print() const;

private:
  std::vector<std::vector<std::string>> mRows;
};

// PrintWallTime formats milliseconds since the Unix epoch in UTC. Thread-safe.
std::string PrintWallTime(int64_t aMilliseconds);

// PrintElapsed formats a duration as "+1.234 s". Thread-safe.
std::string PrintElapsed(int64_t aMilliseconds);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_CLI_TEXT_TABLE_H_
