#include "mulberryvalve/adapters/cli/text_table.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <utility>

namespace mulberryvalve {
namespace {

constexpr int64_t kMillisecondsPerSecond = 1000;
constexpr size_t kColumnGap = 2;

// CharacterCount returns the number of UTF-8 code points in aText.
size_t CharacterCount(const std::string& aText)
{
  return std::count_if(aText.begin(), aText.end(), [](char aByte) {
    return (static_cast<unsigned char>(aByte) & 0xC0U) != 0x80U;
  });
}

} // namespace

TextTable::TextTable(std::vector<std::string> aHeadings)
{
  mRows.push_back(std::move(aHeadings));
}

void TextTable::Add(std::vector<std::string> aCells)
{
  mRows.push_back(std::move(aCells));
}

std::string TextTable::Print() const
{
  std::vector<size_t> widths(mRows.front().size(), 0);
  for (const auto& row : mRows) {
    for (size_t column = 0; column < row.size(); column++) {
      widths[column] = std::max(widths[column], CharacterCount(row[column]));
    }
  }
  std::string text;
  for (const auto& row : mRows) {
    std::string line;
    for (size_t column = 0; column < row.size(); column++) {
      line += row[column];
      line.append(widths[column] - CharacterCount(row[column]) + kColumnGap,
                  ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

std::string PrintWallTime(int64_t aMilliseconds)
{
  const std::time_t seconds = aMilliseconds / kMillisecondsPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char date[32];
  std::strftime(date, sizeof date, "%Y-%m-%d %H:%M:%S", &parts);
  char text[48];
  std::snprintf(text,
                sizeof text,
                "%s.%03dZ",
                date,
                static_cast<int>(aMilliseconds % kMillisecondsPerSecond));
  return text;
}

std::string PrintElapsed(int64_t aMilliseconds)
{
  char text[40];
  std::snprintf(text,
                sizeof text,
                "%+.3f s",
                static_cast<double>(aMilliseconds) / kMillisecondsPerSecond);
  return text;
}

} // namespace mulberryvalve
