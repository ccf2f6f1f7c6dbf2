#include "Settings.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;

namespace {

/** Returns valid values of all required settings, and a variable without the
 * prefix, which must be ignored. */
std::map<std::string, std::string>
ValidVariables()
{
  return { { "PATH", "/bin" },
           { "VANILLASCALE_LISTEN", "127.0.0.1:8080" },
           { "VANILLASCALE_PEER", "127.0.0.1:8081" },
           { "VANILLASCALE_ADMIN", "127.0.0.1:8082" },
           { "VANILLASCALE_PLATFORM", "127.0.0.1:8083" },
           { "VANILLASCALE_ZONE", "zone-a" },
           { "VANILLASCALE_ENVIRONMENT", "test" },
           { "VANILLASCALE_VM_GROUP", "proxies" } };
}

} // namespace

TEST_GROUP(SettingsParsing){};

TEST(SettingsParsing, EnvironmentVariablesAreRead)
{
  auto line = ParseSettings({}, ValidVariables());
  CHECK(line.has_value());
  LONGS_EQUAL(8080, line->mSettings.mListen.mPort);
  STRCMP_EQUAL("zone-a", line->mSettings.mZone.mValue.c_str());
  LONGS_EQUAL(1048576, line->mSettings.mMaxBodyBytes);
}

TEST(SettingsParsing, FlagsOverrideEnvironmentVariables)
{
  auto line = ParseSettings({ "--listen=127.0.0.1:9" }, ValidVariables());
  LONGS_EQUAL(9, line->mSettings.mListen.mPort);
}

/** Expects one fault each for an invalid address, zone and number, an unknown
 * variable, a missing setting and an unknown flag. */
TEST(SettingsParsing, AllFaultsAreReportedAtOnce)
{
  auto variables = ValidVariables();
  variables["VANILLASCALE_LISTEN"] = "localhost";
  variables["VANILLASCALE_ZONE"] = "a zone";
  variables["VANILLASCALE_MAX_CALLERS"] = "many";
  variables["VANILLASCALE_ZOEN"] = "a";
  variables.erase("VANILLASCALE_PEER");
  auto line = ParseSettings({ "--colour=red" }, variables);
  CHECK(!line.has_value());
  LONGS_EQUAL(6, line.error().size());
  for (const SettingFault& it : line.error()) {
    CHECK(!it.mAllowed.empty());
  }
}

/** Guards against limits that callers within the limits would reach. */
TEST(SettingsParsing, LimitsOnCallersAreChecked)
{
  auto line = ParseSettings({}, ValidVariables());
  LONGS_EQUAL(0, line->mSettings.mMemoryMb);
  CHECK(line->mSettings.mStallTime == std::chrono::seconds(20));
  CHECK(ParseSettings({ "--memory-mb=160", "--max-fds=4100" }, ValidVariables())
          .has_value());
  for (const char* it : { "--memory-mb=63",
                          "--max-fds=10",
                          "--min-receive-rate=125000",
                          "--min-send-rate=125000",
                          "--stall-ms=2000",
                          "--memory-wait-ms=-1" }) {
    auto bad = ParseSettings({ it }, ValidVariables());
    CHECK_TEXT(!bad && bad.error().size() == 1, it);
  }
}

TEST(SettingsParsing, HelpListsRequiredVariables)
{
  std::string help = SettingsHelp();
  for (const auto& [name, value] : ValidVariables()) {
    bool isListed = name == "PATH" || help.find(name) != std::string::npos;
    CHECK_TEXT(isListed, name.c_str());
  }
}
