#include <fstream>
#include <map>
#include <regex>
#include <sstream>
#include <string>

#include <CppUTest/TestHarness.h>

namespace {

std::map<int, std::string>
ParseEvents(const std::string& aFile,
            const char* aPattern,
            int aNumber,
            int aName)
{
  std::ifstream in(std::string(SOURCE_DIR) + "/" + aFile);
  std::ostringstream text;
  text << in.rdbuf();
  std::string all = text.str();
  std::regex pattern(aPattern);
  std::map<int, std::string> found;
  for (std::sregex_iterator it(all.begin(), all.end(), pattern), end; it != end;
       ++it) {
    found[std::stoi((*it)[static_cast<std::size_t>(aNumber)])] =
      (*it)[static_cast<std::size_t>(aName)];
  }
  return found;
}

} // namespace

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
