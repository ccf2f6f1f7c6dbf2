#include "DocumentEntries.h"
#include "ReviewReport.h"
#include "StoreSnapshot.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include <CppUTest/TestHarness.h>

/** Guards against mistakes in a document that the check before sending misses,
 * against findings for documents that are in order, and against a report that
 * shows a key. Each kind of finding has a document that differs from one
 * without findings in a single place. */

using namespace vanillascale;
using Json = nlohmann::json;

namespace {

constexpr const char* kCleanDocument = R"({
  "environment": "test",
  "services": [
    { "name": "ledger", "vmGroup": "ledger", "floorPercent": 60 },
    { "name": "billing", "vmGroup": "billing", "floorPercent": 50,
      "retryPercent": 5, "retryBurst": 2 } ],
  "routes": [
    { "name": "fees", "service": "ledger", "method": "POST", "path": "/fees",
      "priority": 1, "deadlineMs": 2000, "goalMs": 2000 },
    { "name": "fees-any", "service": "ledger", "path": "/fees",
      "priority": 2, "deadlineMs": 2000 },
    { "name": "fee", "service": "ledger", "path": "/fees/", "priority": 2,
      "deadlineMs": 3000 },
    { "name": "fee-list", "service": "ledger", "path": "/fees/list",
      "priority": 3, "deadlineMs": 2000, "open": true },
    { "name": "split", "shares": [ { "service": "ledger", "weight": 9 },
      { "service": "billing", "weight": 1 } ], "path": "/split",
      "priority": 2, "deadlineMs": 2000, "attempts": 3 },
    { "name": "host", "service": "billing", "host": "A.example",
      "path": "/fees", "priority": 2, "deadlineMs": 2000 } ],
  "accounts": [
    { "name": "mado", "keys": [ "key-mado-1", "key-mado-2" ], "rate": 10,
      "burst": 50 },
    { "name": "sumi", "keys": [ "key-sumi" ], "priority": 2, "rate": 0.2,
      "burst": 1 },
    { "name": "kura", "keys": [ "key-kura" ] } ],
  "limits": { "headBytes": 16384, "bodyBytes": 1000, "requestMs": 3000,
              "idleMs": 3000 } })";

Json
CleanJson()
{
  return Json::parse(kCleanDocument);
}

Document
Parse(const Json& aJson)
{
  auto document = ParseDocument(aJson.dump());
  if (!document) {
    FAIL((document.error()[0].mPointer + " " + document.error()[0].mProblem)
           .c_str());
  }
  return *document;
}

std::vector<Vm>
MakeVms(std::size_t aLedgers, std::size_t aBillings)
{
  std::vector<Vm> vms;
  for (std::size_t i = 0; i < aLedgers + aBillings; ++i) {
    Vm vm;
    vm.mGroup = i < aLedgers ? "ledger" : "billing";
    vm.mAddress = "10.0.0." + std::to_string(i) + ":80";
    vm.mSlots = 3;
    vms.push_back(vm);
  }
  return vms;
}

/** Returns the findings as lines of kind and place. */
std::string
Describe(const std::vector<Finding>& aFindings)
{
  std::string text;
  for (const Finding& it : aFindings) {
    text += std::string(SeverityName(it.mSeverity)) + " " +
            FindingKindName(it.mKind) + " " + it.mPlace + "\n";
    CHECK_TEXT(!it.mText.empty(), text.c_str());
  }
  return text;
}

std::string
Review(const Json& aJson, const ReviewContext& aContext = {})
{
  return Describe(ReviewDocument(Parse(aJson), aContext));
}

/** Sets the member of the object with a name in a list of the document. */
Json
With(const char* aList,
     const std::string& aName,
     const char* aMember,
     const Json& aValue)
{
  Json json = CleanJson();
  for (Json& it : json[aList]) {
    if (it["name"] == aName) {
      it[aMember] = aValue;
    }
  }
  return json;
}

std::string
ReadExample(const std::string& aName)
{
  std::ifstream in(std::string(SOURCE_DIR) + "/examples/" + aName);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

} // namespace

TEST_GROUP(Review){};

TEST(Review, DocumentsInOrderHaveNoFindings)
{
  std::vector<Vm> vms = MakeVms(3, 2);
  STRCMP_EQUAL("", Review(CleanJson(), { &vms, true }).c_str());
  for (const char* it : { "kitakaze.json", "akwaaba.json", "accounts.json" }) {
    auto document = ParseDocument(ReadExample(it));
    CHECK(document.has_value());
    STRCMP_EQUAL("", Describe(ReviewDocument(*document, {})).c_str());
  }
}

TEST(Review, FaultsAreErrorsWithTheirPlaces)
{
  Json json = With("routes", "fee", "priority", 0);
  json["services"][1]["floorPercent"] = 101;
  auto document = ParseDocument(json.dump());
  CHECK(!document);
  STRCMP_EQUAL("error invalid /services/1/floorPercent\n"
               "error invalid /routes/2/priority\n",
               Describe(FindingsOf(document.error())).c_str());
}

/** Routes that the table of the nodes never returns. */
TEST(Review, RoutesThatNeverMatchAreFound)
{
  Json json = CleanJson();
  Json second = json["routes"][5];
  second["name"] = "host-2";
  for (const char* it : { "a.EXAMPLE", "a.example:8080" }) {
    second["host"] = it;
    json = CleanJson();
    json["routes"].push_back(second);
    STRCMP_EQUAL("warning shadowed-route /routes/host-2\n",
                 Review(json).c_str());
  }
  second["host"] = "b.example";
  json = CleanJson();
  json["routes"].push_back(second);
  STRCMP_EQUAL("", Review(json).c_str());
  // Its host is empty without the port, so that it stands for any host.
  second["host"] = ":80";
  json = CleanJson();
  json["routes"].push_back(second);
  STRCMP_EQUAL("warning shadowed-route /routes/host-2\n", Review(json).c_str());
  for (const char* it : { "/a?b=1", "/a b", "/a#b", "/a\nb", "/fees?" }) {
    STRCMP_EQUAL("warning unmatchable-path /routes/split/path\n",
                 Review(With("routes", "split", "path", it)).c_str());
  }
  STRCMP_EQUAL("warning host-not-compared /routes/host/host\n",
               Review(CleanJson(), { nullptr, false }).c_str());
}

TEST(Review, ServicesWithoutUseOrTargetsAreFound)
{
  Json json = CleanJson();
  json["services"].push_back(Json{
    { "name", "spare" }, { "vmGroup", "billing" }, { "floorPercent", 50 } });
  STRCMP_EQUAL("warning unused-service /services/spare\n",
               Review(json).c_str());
  std::vector<Vm> vms = MakeVms(3, 0);
  STRCMP_EQUAL("warning empty-vm-group /services/billing/vmGroup\n",
               Review(CleanJson(), { &vms, true }).c_str());
  // VMs that are leaving are no targets for long.
  vms = MakeVms(3, 2);
  vms[3].mIsLeaving = true;
  vms[4].mIsLeaving = true;
  STRCMP_EQUAL("warning empty-vm-group /services/billing/vmGroup\n",
               Review(CleanJson(), { &vms, true }).c_str());
}

TEST(Review, FloorsThatForbidEjectionAreFound)
{
  STRCMP_EQUAL("warning floor-forbids-ejection /services/ledger/floorPercent\n",
               Review(With("services", "ledger", "floorPercent", 100)).c_str());
  // Two of three targets are 66% of the slots.
  std::vector<Vm> vms = MakeVms(3, 2);
  STRCMP_EQUAL(
    "",
    Review(With("services", "ledger", "floorPercent", 66), { &vms, true })
      .c_str());
  STRCMP_EQUAL(
    "warning floor-forbids-ejection /services/ledger/floorPercent\n",
    Review(With("services", "ledger", "floorPercent", 67), { &vms, true })
      .c_str());
  vms = MakeVms(3, 1);
  STRCMP_EQUAL(
    "warning floor-forbids-ejection /services/billing/floorPercent\n",
    Review(CleanJson(), { &vms, true }).c_str());
}

TEST(Review, TimesThatContradictEachOtherAreFound)
{
  STRCMP_EQUAL("warning goal-over-deadline /routes/fees/goalMs\n",
               Review(With("routes", "fees", "goalMs", 2001)).c_str());
  STRCMP_EQUAL("note deadline-over-request-time /routes/fee/deadlineMs\n",
               Review(With("routes", "fee", "deadlineMs", 3001)).c_str());
  // Over the longest deadline that is allowed.
  auto document =
    ParseDocument(With("routes", "fee", "deadlineMs", 600001).dump());
  CHECK(!document);
  STRCMP_EQUAL("error invalid /routes/2/deadlineMs\n",
               Describe(FindingsOf(document.error())).c_str());
}

TEST(Review, AttemptsThatCanNotBePaidForAreFound)
{
  const char* expected =
    "warning attempts-over-budget /routes/split/attempts\n";
  STRCMP_EQUAL(expected,
               Review(With("routes", "split", "attempts", 4)).c_str());
  // The default of three attempts of the other route of the service.
  const std::string both =
    std::string("warning attempts-over-budget /routes/host/attempts\n") +
    expected;
  STRCMP_EQUAL(both.c_str(),
               Review(With("services", "billing", "retryBurst", 1)).c_str());
  Json json = With("services", "billing", "retryPercent", 0);
  STRCMP_EQUAL(both.c_str(), Review(json).c_str());
  json["routes"][5]["attempts"] = 1;
  STRCMP_EQUAL(expected, Review(json).c_str());
  json["routes"][4]["attempts"] = 1;
  STRCMP_EQUAL("", Review(json).c_str());
}

TEST(Review, WeightsOfZeroAreFound)
{
  Json json = CleanJson();
  json["routes"][4]["shares"][1]["weight"] = 0;
  STRCMP_EQUAL("warning zero-weight /routes/split/shares\n",
               Review(json).c_str());
  json["routes"][4]["shares"][0]["weight"] = 0;
  STRCMP_EQUAL("warning zero-weight /routes/split/shares\n",
               Review(json).c_str());
}

TEST(Review, QuotasThatContradictThemselvesAreFound)
{
  const std::string place = " /accounts/mado/burst\n";
  STRCMP_EQUAL(("warning burst-over-refill" + place).c_str(),
               Review(With("accounts", "mado", "burst", 50.5)).c_str());
  for (double it : { 0.0, 0.5 }) {
    STRCMP_EQUAL(("warning burst-below-one" + place).c_str(),
                 Review(With("accounts", "mado", "burst", it)).c_str());
  }
  STRCMP_EQUAL(("warning burst-without-rate" + place).c_str(),
               Review(With("accounts", "mado", "rate", 0)).c_str());
}

TEST(Review, KeysThatNobodyCanUseAreFound)
{
  STRCMP_EQUAL("warning account-without-keys /accounts/mado/keys\n",
               Review(With("accounts", "mado", "keys", Json::array())).c_str());
  Json json = CleanJson();
  for (Json& it : json["routes"]) {
    it["open"] = true;
  }
  STRCMP_EQUAL("warning unneeded-keys /accounts\n", Review(json).c_str());
  for (Json& it : json["accounts"]) {
    it.erase("keys");
  }
  STRCMP_EQUAL("warning account-without-keys /accounts/kura/keys\n"
               "warning account-without-keys /accounts/mado/keys\n"
               "warning account-without-keys /accounts/sumi/keys\n",
               Review(json).c_str());
}

/** Each pair of an account's and a route's priority is a level of its own. */
TEST(Review, GuaranteesOverTheCapacityAreFound)
{
  // Three priorities of routes and two of accounts: six levels.
  STRCMP_EQUAL(
    "", Review(With("services", "ledger", "guaranteedPercent", 20)).c_str());
  STRCMP_EQUAL(
    "warning guarantees-over-capacity /services/ledger/guaranteedPercent\n",
    Review(With("services", "ledger", "guaranteedPercent", 21)).c_str());
}

TEST(Review, DifferencesNameObjectsAndMembers)
{
  Document from = Parse(CleanJson());
  CHECK(CompareDocuments(from, from).empty());
  // Keys, versions and the order of members are no differences.
  Document same = *ParseDocument(FormatDocument(from));
  same.mRoutes.begin()->second.mVersion = 7;
  CHECK(CompareDocuments(from, same).empty());
  Json json = With("accounts", "mado", "keys", { "key-mado-2", "k3", "k4" });
  json["accounts"][0]["rate"] = 11;
  json["accounts"][2]["name"] = "tane";
  json["routes"][2]["deadlineMs"] = 2500;
  json["routes"][2]["goalMs"] = 500;
  json["routes"].erase(3);
  json["services"][0]["retryBurst"] = 40;
  json["limits"]["idleMs"] = 4000;
  ReviewReport report;
  report.mFile = "f";
  report.mDocument = Parse(json);
  report.mComparedWith = "g";
  report.mDifferences = CompareDocuments(from, *report.mDocument);
  std::string text = FormatReport(report);
  const std::string expected =
    "compared with g: 1 added, 2 removed, 4 changed\n"
    "  changed limits: idleMs 3000 -> 4000\n"
    "  changed service ledger: retryBurst not set -> 40\n"
    "  changed route fee: deadlineMs 3000 -> 2500, goalMs not set -> 500\n"
    "  removed route fee-list\n"
    "  changed account mado: rate 10.0 -> 11.0, 2 keys added, 1 key removed\n"
    "  added account tane: 1 key added\n"
    "  removed account kura: 1 key removed\n";
  CHECK_TEXT(text.find(expected) != std::string::npos, text.c_str());
  Json parsed = Json::parse(FormatReportAsJson(report));
  LONGS_EQUAL(7, parsed["differences"].size());
  STRCMP_EQUAL("mado",
               parsed["differences"][4]["name"].get<std::string>().c_str());
  LONGS_EQUAL(2, parsed["differences"][4]["addedKeys"].get<int>());
  LONGS_EQUAL(2500, parsed["differences"][2]["members"][0]["to"].get<int>());
  CHECK(parsed["differences"][2]["members"][1]["from"].is_null());
  std::string digest = FormatDigest(DigestKey("test", "key-mado-2"));
  for (const std::string& it :
       { std::string("key-mado"), std::string("keyDigest"), digest }) {
    CHECK_TEXT(text.find(it) == std::string::npos, it.c_str());
    CHECK(FormatReportAsJson(report).find(it) == std::string::npos);
  }
}

TEST(Review, StepsThatNodesRejectAreErrors)
{
  Document from = Parse(CleanJson());
  STRCMP_EQUAL("", Describe(ReviewTransition(from, from)).c_str());
  Json json = CleanJson();
  json["environment"] = "other";
  STRCMP_EQUAL("error other-environment /environment\n",
               Describe(ReviewTransition(from, Parse(json))).c_str());
  Document next = Parse(With("routes", "fee", "deadlineMs", 2500));
  from.mRevision = 8;
  next.mRevision = 8;
  STRCMP_EQUAL("error revision-not-newer /revision\n",
               Describe(ReviewTransition(from, next)).c_str());
  next.mRevision = 9;
  STRCMP_EQUAL("", Describe(ReviewTransition(from, next)).c_str());
  next.mAccounts.clear();
  STRCMP_EQUAL("warning keys-no-longer-needed /accounts\n",
               Describe(ReviewTransition(from, next)).c_str());
  next.mRevision = 0;
  STRCMP_EQUAL("warning keys-now-needed /accounts\n",
               Describe(ReviewTransition(next, Parse(CleanJson()))).c_str());
  STRCMP_EQUAL("", Describe(ReviewTransition({}, Parse(CleanJson()))).c_str());
}

/** Guards against a report of a large document that nobody can read. */
TEST(Review, TextsAreShortAndJsonIsComplete)
{
  Document document = Parse(CleanJson());
  for (int i = 0; i < 1000; ++i) {
    ClientAccount account;
    account.mName = AccountName("a" + std::to_string(i));
    document.mAccounts[account.mName] = account;
  }
  ReviewReport report;
  report.mFile = "f";
  report.mDocument = document;
  report.mFindings = ReviewDocument(document, {});
  report.mComparedWith = "g";
  report.mDifferences = CompareDocuments(Parse(CleanJson()), document);
  LONGS_EQUAL(1000, CountFindings(report, FindingSeverity::Warning));
  std::string text = FormatReport(report);
  CHECK(std::count(text.begin(), text.end(), '\n') < 250);
  CHECK(text.find("account-without-keys: 980 more") != std::string::npos);
  CHECK(text.find("and 800 more") != std::string::npos);
  Json json = Json::parse(FormatReportAsJson(report));
  LONGS_EQUAL(1000, json["findings"].size());
  LONGS_EQUAL(1000, json["differences"].size());
  LONGS_EQUAL(1000, json["warnings"].get<int>());
}

/** Scripts look for these lines. */
TEST(Review, ErrorsStandInLinesOfFileAndPlace)
{
  ReviewReport report;
  report.mFile = "next.json";
  report.mFindings = FindingsOf({ { "/routes/2/path", "is missing" } });
  STRCMP_EQUAL("next.json: /routes/2/path is missing\n",
               FormatErrors(report).c_str());
  STRCMP_EQUAL("1 error, 0 warnings, 0 notes\n", FormatReport(report).c_str());
  report.mFindings.clear();
  report.mDocument = *ParseDocument(ReadExample("kitakaze.json"));
  STRCMP_EQUAL("environment kitakaze: 2 services, 5 routes, no faults\n"
               "0 errors, 0 warnings, 0 notes\n",
               FormatReport(report).c_str());
}

/** A store that is read at once: the answer of each topic, without a network.
 */
TEST(Review, StoresAreReadAsNodesReadThem)
{
  Document document = Parse(CleanJson());
  std::map<std::string, FeedReadResult> topics;
  FeedReadResult& documents = topics[kDocumentTopic];
  documents.mIsSuccessful = true;
  documents.mEntries = MakeDocumentEntries(document, { 1, 17 });
  FeedReadResult& targets = topics[kTargetTopic];
  targets.mIsSuccessful = true;
  for (const Vm& it : MakeVms(2, 1)) {
    targets.mEntries.push_back({ it.mAddress, { 1, 1 }, FormatVm(it) });
  }
  targets.mEntries.push_back({ "gone", { 0, 2 }, "" });
  PlatformAdapter adapter;
  adapter.mOpen = [&](boost::asio::io_context&,
                      const Endpoint&,
                      const std::function<void(Event)>& aPost) {
    return PlatformPort{ [&topics, aPost](const PlatformCall& aCall) {
      const auto& read = std::get<ReadFeed>(aCall);
      CHECK(read.mIsSnapshot);
      FeedReadResult result = topics[read.mTopic];
      result.mTopic = read.mTopic;
      aPost(result);
    } };
  };
  auto snapshot = ReadStore(adapter, {}, std::chrono::seconds(1));
  CHECK(snapshot.has_value());
  CHECK(snapshot->mPosition == StorePosition(1, 17));
  LONGS_EQUAL(3, snapshot->mVms.size());
  CHECK(CompareDocuments(document, snapshot->mDocument).empty());
  documents.mEntries.clear();
  snapshot = ReadStore(adapter, {}, std::chrono::seconds(1));
  CHECK(snapshot.has_value());
  CHECK(snapshot->mDocument.mEnvironment.empty());
  documents.mFault = "outcome=unreadable";
  CHECK(!ReadStore(adapter, {}, std::chrono::seconds(1)).has_value());
  documents.mFault.clear();
  targets.mIsSuccessful = false;
  CHECK(!ReadStore(adapter, {}, std::chrono::seconds(1)).has_value());
}
