#include "DocumentChecks.h"
#include "DocumentEntries.h"
#include "StoreConfig.h"
#include "StoreFormat.h"

#include <fstream>

#include <CppUTest/TestHarness.h>

using namespace vanillascale;
using std::chrono::milliseconds;

namespace {

constexpr const char* kConfig =
  R"({"version":"0000000c","resources":[
  {"type":"routes","metadata":{"name":"r-1"},"spec":{"host":"ficu.example",
   "path_prefix":"/pufi/","kind":"unsafe","timeout_s":1.2,
   "latency_goal_s":0.8,"priority":1,"service":"a","attempts":2}},
  {"type":"routes","metadata":{"name":"r-2"},"spec":{"host":"ficu.example",
   "path_prefix":"/lohu/","kind":"safe","timeout_s":1.5,"priority":0,
   "backends":[{"service":"a","weight":90},{"service":"b","weight":10}]}},
  {"type":"services","metadata":{"name":"a"},"spec":{"max_conns":390}},
  {"type":"services","metadata":{"name":"b"},"spec":{}},
  {"type":"limits","metadata":{},"spec":{"max_header_bytes":16384,
   "max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}]})";

constexpr const char* kWorker =
  R"({"service":"a","address":"10.128.0.9:8080","zone":"z","version":"v1",
  "capacity":3,"state":"ready","warmup_left_s":0.5,"sequence":4})";

std::string
ReplaceFirst(std::string aText,
             const std::string& aOld,
             const std::string& aNew)
{
  return aText.replace(aText.find(aOld), aOld.size(), aNew);
}

/** Returns the document of a configuration. */
std::optional<Document>
Translate(const std::string& aText, const PlatformSettings& aSettings = {})
{
  auto translated = TranslateConfig(aText, "production", aSettings);
  return translated ? std::make_optional(std::move(translated->mDocument))
                    : std::nullopt;
}

/** Returns a record in the format of /-/log-read. The key and the value
 * together must be shorter than 255 bytes. */
std::string
EncodeRecord(const std::string& aKey, const std::string& aValue)
{
  std::string content(1, static_cast<char>(aKey.size()));
  content += aKey + aValue;
  std::string bytes(3, '\0');
  bytes += static_cast<char>(content.size());
  return bytes + content;
}

/** Puts a whole document in force, as a node without a copy does. */
bool
PutInForce(ConfigState& aState, const Document& aDocument, LogOffset aOffset)
{
  std::map<std::string, FeedEntry> entries;
  std::vector<std::string> keys;
  for (FeedEntry& it : MakeDocumentEntries(aDocument, { 0, aOffset })) {
    keys.push_back(it.mKey);
    entries[it.mKey] = std::move(it);
  }
  return UpdateDocument(aState, entries, keys) == DocumentUpdate::InForce;
}

} // namespace

TEST_GROUP(Store){};

TEST(Store, ConfigurationsAreTranslatedToDocuments)
{
  auto document = Translate(kConfig);
  CHECK(document.has_value());
  LONGS_EQUAL(12, document->mRevision);
  const Route& unsafe = document->mRoutes.at(RouteName("r-1"));
  CHECK(!unsafe.mIdempotent);
  CHECK(unsafe.mAtMostOnceScope == AtMostOnceScope::PerRequest);
  CHECK(unsafe.mDeadline == milliseconds(1200));
  CHECK(unsafe.mGoal == milliseconds(800));
  LONGS_EQUAL(2, unsafe.mPriority);
  LONGS_EQUAL(2, unsafe.mAttempts);
  const Route& safe = document->mRoutes.at(RouteName("r-2"));
  CHECK(safe.mIdempotent);
  LONGS_EQUAL(10, safe.mShares.at(1).mWeight);
  CHECK(document->mLimits->mIdleTime == std::chrono::seconds(15));
}

TEST(Store, DocumentsKeepTheirTextWhenParsedAgain)
{
  auto document = Translate(kConfig);
  std::string text = FormatDocument(*document);
  auto parsed = ParseDocument(text);
  CHECK(parsed.has_value());
  STRCMP_EQUAL(text.c_str(), FormatDocument(*parsed).c_str());
}

TEST(Store, RoutesAreFoundByHostAndPrefix)
{
  ConfigState state;
  CHECK(PutInForce(state, *Translate(kConfig), 0));
  const Route* route = FindRoute(state, "PUT", "/pufi/2f?x=/a", "FICU.example");
  CHECK(route != nullptr);
  STRCMP_EQUAL("r-1", route->mName.mValue.c_str());
  CHECK(!FindRoute(state, "PUT", "/pufi", "ficu.example"));
  CHECK(!FindRoute(state, "PUT", "/pufi/2f", "other.example"));
}

TEST(Store, OlderConfigurationsAreRejected)
{
  ConfigState state;
  auto document = Translate(kConfig);
  CHECK(PutInForce(state, *document, 5));
  document->mRevision = 11;
  CHECK(!PutInForce(state, *document, 6));
  document->mRevision = 13;
  CHECK(!PutInForce(state, *document, 4));
  CHECK(PutInForce(state, *document, 7));
}

TEST(Store, UnreadableConfigurationsAreRejected)
{
  std::string text = kConfig;
  for (const auto& it : { ReplaceFirst(text, "\"version\":\"0000000c\",", ""),
                          ReplaceFirst(text, "0000000c", "twelve"),
                          ReplaceFirst(text, "\"resources\"", "\"others\""),
                          text.substr(0, text.size() / 2),
                          std::string("\xff\xfe"),
                          std::string() }) {
    CHECK_TEXT(!Translate(it), it.c_str());
  }
}

/** Guards against one route without a usable path or time that keeps all others
 * from being in force, or is served by a guess. */
TEST(Store, UnreadableRoutesAreLeftOutAlone)
{
  std::string text = kConfig;
  for (const auto& it :
       { ReplaceFirst(text, "\"timeout_s\":1.2", "\"timeout_s\":\"soon\""),
         ReplaceFirst(text, "\"timeout_s\":1.2", "\"timeout_s\":-1"),
         ReplaceFirst(text, "\"path_prefix\":\"/pufi/\",", "") }) {
    auto translated = TranslateConfig(it, "production", {});
    CHECK_TEXT(translated.has_value(), it.c_str());
    const auto& routes = translated->mDocument.mRoutes;
    LONGS_EQUAL(0, routes.count(RouteName("r-1")));
    LONGS_EQUAL(1, routes.count(RouteName("r-2")));
    LONGS_EQUAL(1, translated->mAdjustments.size());
    STRCMP_EQUAL("/routes/r-1", translated->mAdjustments[0].mPointer.c_str());
  }
}

TEST(Store, WorkersAreTranslatedToVms)
{
  auto worker = TranslateWorker("i-7f", kWorker);
  CHECK(worker.has_value());
  const Vm& vm = worker->mVm;
  STRCMP_EQUAL("i-7f@10.128.0.9:8080", vm.mAddress.c_str());
  LONGS_EQUAL(3, vm.mSlots);
  CHECK(!vm.mIsLeaving);
  CHECK(vm.mWarmupLeft == milliseconds(500));
  auto leaving =
    TranslateWorker("i-7f", ReplaceFirst(kWorker, "ready", "draining"));
  CHECK(leaving->mVm.mIsLeaving);
}

/** Guards against a worker that is not used because a value of its entry is
 * beyond a bound of ours. */
TEST(Store, LargeValuesOfWorkersAreHeld)
{
  std::string text = kWorker;
  auto slots = [&](const char* aCapacity) {
    auto worker =
      TranslateWorker("i-7f", ReplaceFirst(text, "\"capacity\":3", aCapacity));
    return worker ? worker->mVm.mSlots : 0;
  };
  LONGS_EQUAL(10000, slots("\"capacity\":10000"));
  LONGS_EQUAL(10000, slots("\"capacity\":20000"));
  LONGS_EQUAL(3, slots("\"capacity\":3.0"));
  auto worker = TranslateWorker(
    "i-7f",
    ReplaceFirst(text, "\"warmup_left_s\":0.5", "\"warmup_left_s\":100000"));
  CHECK(worker && worker->mVm.mWarmupLeft == std::chrono::seconds(100000));
}

/** Guards against entries of a worker that cannot be put in order, and against
 * an order of entries of different starts by their sequence alone. */
TEST(Store, WorkerEntriesAreOrderedWithinAStart)
{
  std::string text =
    ReplaceFirst(kWorker, "\"capacity\":3", "\"capacity\":3,\"born\":90");
  auto worker = TranslateWorker("i-7f", text);
  LONGS_EQUAL(90, worker->mOrder.mEpoch);
  LONGS_EQUAL(4, worker->mOrder.mSequence);
  text = ReplaceFirst(text, "\"born\":90", "\"born\":\"90\"");
  LONGS_EQUAL(0, TranslateWorker("i-7f", text)->mOrder.mEpoch);
}

TEST(Store, InvalidWorkerEntriesAreRejected)
{
  std::string text = kWorker;
  for (const auto& it :
       { ReplaceFirst(text, "\"ready\"", "\"odd\""),
         ReplaceFirst(text, "\"ready\"", "7"),
         ReplaceFirst(text, "\"capacity\":3", "\"capacity\":\"3\""),
         ReplaceFirst(text, "\"capacity\":3", "\"capacity\":0"),
         ReplaceFirst(text, "\"address\":\"10.128.0.9:8080\",", ""),
         ReplaceFirst(text, "10.128.0.9:8080", "nowhere"),
         std::string("\x01\x02") }) {
    CHECK_TEXT(!TranslateWorker("i-7f", it), it.c_str());
  }
}

/** Guards against one odd entry of another writer that ends the nodes that read
 * it, or makes them use a target that does not exist. */
TEST(Store, OddWorkerEntriesNameNoWorker)
{
  std::string text = kWorker;
  std::string deep(200000, '[');
  for (const auto& it :
       { ReplaceFirst(text, "\"v1\"", deep + std::string(200000, ']')),
         ReplaceFirst(text, "\"v1\"", deep),
         deep,
         ReplaceFirst(text, "\"capacity\":3", "\"capacity\":1e999"),
         ReplaceFirst(text, "\"capacity\":3", "\"capacity\":1e30"),
         ReplaceFirst(text, "\"capacity\":3", "\"capacity\":-3"),
         ReplaceFirst(text, "\"capacity\":3", "\"capacity\":2.5"),
         ReplaceFirst(text, "\"capacity\":3", "\"capacity\":4294967299"),
         ReplaceFirst(
           text, "\"capacity\":3", "\"capacity\":99999999999999999999999"),
         ReplaceFirst(text, "\"warmup_left_s\":0.5", "\"warmup_left_s\":1e99"),
         ReplaceFirst(text, "9:8080", "9:70000"),
         ReplaceFirst(text, "9:8080", "9:0"),
         ReplaceFirst(text, "9:8080", "9:-1"),
         ReplaceFirst(text, "9:8080", "9:99999999999999999999"),
         ReplaceFirst(text, "10.128.0.9:8080", "10.128.0.999:8080") }) {
    CHECK_TEXT(!TranslateWorker("i-7f", it), it.substr(0, 300).c_str());
  }
}

/** Guards against a key of another writer that makes the request for the page
 * after it invalid, so that no node can read the list. */
TEST(Store, OddKeysAreEncodedInQueries)
{
  STRCMP_EQUAL("i-7f3a91c2", EncodeQueryValue("i-7f3a91c2").c_str());
  STRCMP_EQUAL("a%20b%26c%0D%0A%C3%A9%2F",
               EncodeQueryValue("a b&c\r\n\xc3\xa9/").c_str());
}

TEST(Store, RecordsGetConsecutiveOffsets)
{
  std::string body(16, '\0');
  body +=
    EncodeRecord("a", "A") + EncodeRecord("b", "") + EncodeRecord("c", "C");
  auto records = ParseStoreRecords(body, 40);
  CHECK(records.has_value());
  LONGS_EQUAL(43, records->mNextOffset);
  LONGS_EQUAL(3, records->mRecords.size());
  LONGS_EQUAL(41, records->mRecords[1].mOffset);
  CHECK(records->mRecords[1].mValue.empty());
  CHECK(!ParseStoreRecords(body.substr(0, body.size() - 1), 40));
  CHECK(!ParseStoreRecords("short", 40));
}

TEST(Store, PageValuesAreDecodedFromBase64)
{
  auto page = ParseStorePage(
    R"({"items":[{"key":"config","value":"aGVsbG8=","offset":4}],
        "more":false,"end":6})");
  CHECK(page.has_value());
  STRCMP_EQUAL("hello", page->mRecords.at(0).mValue.c_str());
  LONGS_EQUAL(6, page->mEnd);
  CHECK(!ParseStorePage("{}"));
  CHECK(!ParseStorePage("junk"));
}

TEST(Store, PlatformSettingsApplyToEachService)
{
  PlatformSettings settings = ParsePlatformSettings(
    "seed_lag_s=3,grace_s=4.5,retry_budget_ratio=0.1,budget_slack=40,"
    "min_share=0.65");
  CHECK(settings.mStopWithin == std::chrono::milliseconds(4500));
  auto document = Translate(kConfig, settings);
  CHECK(document.has_value());
  CHECK(!document->mServices.empty());
  for (const auto& [name, service] : document->mServices) {
    LONGS_EQUAL(65, service.mFloorPercent);
    LONGS_EQUAL(9, service.mRetryPercent);
    LONGS_EQUAL(20, service.mRetryBurst);
  }
}

TEST(Store, PlatformSettingsMayHaveAnIndex)
{
  PlatformSettings settings =
    ParsePlatformSettings("0=seed_lag_s=3,1=grace_s=4.5,2=min_share=0.65");
  CHECK(settings.mStopWithin == std::chrono::milliseconds(4500));
  LONGS_EQUAL(65, settings.mFloorPercent);
}

/** Guards against a template that renders the platform's terms in a form that
 * ParsePlatformSettings ignores, so that all of them keep their defaults. */
TEST(Store, PlatformSettingsAreRenderedAsNamesAndValues)
{
  std::ifstream in(std::string(SOURCE_DIR) + "/deploy/settings.conf");
  std::string line;
  std::string terms;
  while (std::getline(in, line)) {
    if (line.rfind("platform-terms", 0) == 0) {
      terms = line;
    }
  }
  STRCMP_EQUAL("platform-terms = "
               "{{#policy_params}}{{@}}={{.}}{{,}}{{/policy_params}}",
               terms.c_str());
}

TEST(Store, InvalidPlatformSettingsKeepTheDefaults)
{
  const PlatformSettings defaults;
  for (const char* it : { "",
                          "grace_s",
                          "grace_s=",
                          "grace_s=-1",
                          "grace_s=six",
                          "grace_s=6,,min_share=2",
                          "retry_budget_ratio=nan" }) {
    PlatformSettings settings = ParsePlatformSettings(it);
    CHECK_TEXT(settings.mStopWithin == defaults.mStopWithin, it);
    LONGS_EQUAL(defaults.mFloorPercent, settings.mFloorPercent);
    LONGS_EQUAL(defaults.mRetryPercent, settings.mRetryPercent);
    LONGS_EQUAL(defaults.mRetryBurst, settings.mRetryBurst);
  }
}

TEST(Store, LargePlatformSettingsAreHeldAtTheirBounds)
{
  PlatformSettings settings =
    ParsePlatformSettings("grace_s=1000,budget_slack=1e9");
  CHECK(settings.mStopWithin == std::chrono::seconds(600));
  LONGS_EQUAL(5000, settings.mRetryBurst);
}

namespace {

/** Returns a configuration with one more resource, a tenant. */
std::string
WithTenant(const std::string& aName, const std::string& aSpec)
{
  return ReplaceFirst(kConfig,
                      R"({"type":"limits")",
                      R"({"type":"tenants","metadata":{"name":")" + aName +
                        R"("},"spec":)" + aSpec + R"(},{"type":"limits")");
}

} // namespace

TEST(Store, TenantsAreTranslatedToAccounts)
{
  std::string text = WithTenant(
    "t-1",
    R"({"api_keys":["k-1","k-2"],"priority":2,"rate_per_s":7.5,"burst":4})");
  text = ReplaceFirst(text, R"("kind":"safe")", R"("kind":"download")");
  text = ReplaceFirst(
    text, R"("kind":"unsafe")", R"("kind":"unsafe","no_auth":true)");
  auto document = Translate(text);
  CHECK(document.has_value());
  const ClientAccount& account = document->mAccounts.at(AccountName("t-1"));
  LONGS_EQUAL(2, account.mKeys.size());
  CHECK(account.mKeys[0] == DigestKey("production", "k-1"));
  LONGS_EQUAL(3, account.mPriority);
  DOUBLES_EQUAL(7.5, account.mRate, 0);
  DOUBLES_EQUAL(4, account.mBurst, 0);
  CHECK(document->mRoutes.at(RouteName("r-1")).mIsOpen);
  CHECK(!document->mRoutes.at(RouteName("r-2")).mIsOpen);
  CHECK(document->mRoutes.at(RouteName("r-2")).mIdempotent);
  CHECK(CheckDocument(*document).empty());
}

/** Guards against an odd value of one tenant that keeps the configuration from
 * being in force, that locks its callers out or that ends the nodes. */
TEST(Store, OddValuesOfTenantsAreReplacedAlone)
{
  for (const std::string& it :
       { std::string(R"({"api_keys":["k",""]})"),
         std::string(R"({"api_keys":["k",7]})"),
         std::string(R"({"api_keys":["k"],"rate_per_s":-1})"),
         std::string(R"({"api_keys":["k"],"rate_per_s":"many"})"),
         std::string(R"({"api_keys":["k"],"burst":-1})"),
         std::string(R"({"api_keys":["k"],"burst":1e10})"),
         std::string(R"({"api_keys":["k"],"priority":-1})"),
         std::string(R"({"api_keys":["k"],"priority":"1"})") }) {
    auto translated = TranslateConfig(WithTenant("t-1", it), "production", {});
    CHECK_TEXT(translated.has_value(), it.c_str());
    LONGS_EQUAL(1, translated->mAdjustments.size());
    const ClientAccount& account =
      translated->mDocument.mAccounts.at(AccountName("t-1"));
    LONGS_EQUAL(1, account.mKeys.size());
    CHECK(CheckDocument(translated->mDocument).empty());
  }
  // No JSON.
  CHECK(!Translate(WithTenant("t-1", R"({"rate_per_s":NaN})")));
}

/** Guards against a configuration whose tenants are all left out, so that
 * callers would need no key. */
TEST(Store, ConfigurationsWithoutAReadableTenantAreRejected)
{
  CHECK(!Translate(WithTenant("", R"({"api_keys":["k"]})")));
  CHECK(!Translate(WithTenant(R"(a\r\nb)", R"({"api_keys":["k"]})")));
  CHECK(!Translate(WithTenant("t-1", "7")));
}

TEST(Store, AKeyBelongsToTheFirstTenantThatHasIt)
{
  std::string shared = WithTenant("t-1", R"({"api_keys":["k"]})");
  for (const char* name : { "t-2", "t-1" }) {
    std::string text = ReplaceFirst(
      shared,
      R"({"type":"limits")",
      R"({"type":"tenants","metadata":{"name":")" + std::string(name) +
        R"("},"spec":{"api_keys":["j","k"]}},{"type":"limits")");
    auto translated = TranslateConfig(text, "production", {});
    LONGS_EQUAL(1, translated->mAdjustments.size());
    const ClientAccount& account =
      translated->mDocument.mAccounts.at(AccountName("t-1"));
    LONGS_EQUAL(1, account.mKeys.size());
    CHECK(account.mKeys[0] == DigestKey("production", "k"));
    CHECK(CheckDocument(translated->mDocument).empty());
  }
}
