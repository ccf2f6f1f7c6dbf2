#include <fstream>
#include <map>
#include <regex>
#include <sstream>
#include <string>

#include <CppUTest/TestHarness.h>

namespace {

/** Returns the names of all events in a source file, by number. The pattern's
 * capture groups aNumberGroup and aNameGroup hold the number and the name. */
std::map<int, std::string>
ParseEvents(const std::string& aFile,
            const char* aPattern,
            int aNumberGroup,
            int aNameGroup)
{
  std::ifstream in(std::string(SOURCE_DIR) + "/" + aFile);
  std::ostringstream stream;
  stream << in.rdbuf();
  std::string text = stream.str();
  std::regex pattern(aPattern);
  std::map<int, std::string> events;
  for (std::sregex_iterator it(text.begin(), text.end(), pattern), end;
       it != end;
       ++it) {
    events[std::stoi((*it)[static_cast<std::size_t>(aNumberGroup)])] =
      (*it)[static_cast<std::size_t>(aNameGroup)];
  }
  return events;
}

} // namespace

/** Guards against an event that is added, renumbered or renamed in the source
 * but not in docs/EVENTS.md, where operators look it up. */
TEST_GROUP(Events){};

TEST(Events, InSourceMatchTheCatalogue)
{
  auto inCode =
    ParseEvents("src/EventNumbers.h", R"(kEvent(\w+) = (\d+);)", 2, 1);
  auto inDocs =
    ParseEvents("docs/EVENTS.md", R"(\n\| (\d+) \| (\w+) \|)", 1, 2);
  CHECK(!inCode.empty());
  CHECK(inCode == inDocs);
}
