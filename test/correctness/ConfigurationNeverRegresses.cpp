#include "../support/FleetHelpers.h"
#include "../support/Properties.h"
#include "DocumentAccounts.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;
using namespace vanillascale::fake;

namespace {

ObjectChange
MakeRouteObjectChange(const std::string& aName,
                      LogOffset aBase,
                      unsigned aDeadlineMs)
{
  Route route;
  route.mName = RouteName(aName);
  route.mService = ServiceName("ledger");
  route.mMethod = "GET";
  route.mPath = "/" + aName;
  route.mDeadline = milliseconds(aDeadlineMs);
  return { "route", aName, aBase, FormatRoute(route) };
}

Change
MakeRouteChange(const std::string& aId,
                const std::string& aName,
                LogOffset aBase,
                unsigned aDeadlineMs)
{
  return { aId,
           "operator-" + aId,
           "test",
           { MakeRouteObjectChange(aName, aBase, aDeadlineMs) } };
}

LogRecord
MakeRecord(LogOffset aOffset, std::string aPayload)
{
  return { aOffset, kStartWallMs, std::move(aPayload) };
}

ConfigState
MakeSmallState()
{
  ConfigState state;
  FoldRecord(state,
             MakeRecord(1, FormatChange(MakeChange(kSmallDocument, "first"))));
  return state;
}

std::string
SerializeState(const ConfigState& aState)
{
  return FormatCheckpoint(aState);
}

constexpr const char* kKey = "key-of-mado";
constexpr const char* kOtherKey = "key-of-sumi";

constexpr const char* kAccountDocument = R"({
  "environment": "test",
  "services": [ { "name": "ledger", "vmGroup": "ledger", "floorPercent": 60 } ],
  "routes": [ { "name": "r", "service": "ledger", "path": "/", "priority": 1,
                "deadlineMs": 2000 } ],
  "accounts": [ { "name": "mado", "keys": [ "key-of-mado" ] },
                { "name": "sumi", "keys": [ "key-of-sumi" ] } ] })";

std::string
Holder(const ConfigState& aState, const std::string& aKey)
{
  const ClientAccount* account = FindAccount(aState, aKey);
  return account ? account->mName.mValue : "";
}

ObjectChange
MakeAccountChange(const std::string& aName,
                  LogOffset aBase,
                  const std::vector<std::string>& aKeys)
{
  ClientAccount account;
  account.mName = AccountName(aName);
  for (const std::string& it : aKeys) {
    account.mKeys.push_back(DigestKey("test", it));
  }
  return { "account", aName, aBase, FormatAccount(account) };
}

RecordVerdict
Fold(ConfigState& aState, LogOffset aOffset, std::vector<ObjectChange> aObjects)
{
  Change change{
    "change-" + std::to_string(aOffset), "test", "test", std::move(aObjects)
  };
  return FoldRecord(aState, { aOffset, kStartWallMs, FormatChange(change) });
}

ConfigState
MakeFoldedState()
{
  ConfigState state;
  FoldRecord(
    state,
    { 1, kStartWallMs, FormatChange(MakeChange(kAccountDocument, "first")) });
  return state;
}

} // namespace

TEST_GROUP(Configuration){};

TEST(Configuration, AConflictingChangeReportsTheEarlierAuthor)
{
  ConfigState state = MakeSmallState();
  auto first = FoldRecord(
    state,
    MakeRecord(2, FormatChange(MakeRouteChange("a", "balance", 1, 500))));
  auto second = FoldRecord(
    state,
    MakeRecord(3, FormatChange(MakeRouteChange("b", "balance", 1, 900))));
  CHECK(std::holds_alternative<ChangeAccepted>(first));
  auto* conflict = std::get_if<ChangeConflict>(&second);
  CHECK(conflict != nullptr);
  STRCMP_EQUAL("operator-a", conflict->mLastModification.mWho.c_str());
  LONGS_EQUAL(2, conflict->mLastModification.mOffset);
}

TEST(Configuration, DisjointChangesDoNotConflict)
{
  ConfigState state = MakeSmallState();
  FoldRecord(state,
             MakeRecord(2, FormatChange(MakeRouteChange("a", "x", 0, 500))));
  auto other = FoldRecord(
    state, MakeRecord(3, FormatChange(MakeRouteChange("b", "y", 0, 500))));
  CHECK(std::holds_alternative<ChangeAccepted>(other));
  LONGS_EQUAL(4, state.mDocument.mRoutes.size());
}

TEST(Configuration, ARepeatedChangeIsAppliedOnce)
{
  ConfigState state = MakeSmallState();
  Change change = MakeRouteChange("a", "balance", 1, 500);
  FoldRecord(state, MakeRecord(2, FormatChange(change)));
  FoldRecord(
    state,
    MakeRecord(3, FormatChange(MakeRouteChange("b", "balance", 2, 700))));
  auto repeated = FoldRecord(state, MakeRecord(4, FormatChange(change)));
  CHECK(std::holds_alternative<ChangeDuplicate>(repeated));
  const Route& route = state.mDocument.mRoutes.at(RouteName("balance"));
  CHECK(route.mDeadline == milliseconds(700));
}

TEST(Configuration, AChangeWithABrokenReferenceIsRejectedWhole)
{
  ConfigState state = MakeSmallState();
  std::string before =
    FormatRoute(state.mDocument.mRoutes.at(RouteName("balance")));
  Change change = MakeRouteChange("a", "balance", 1, 500);
  change.mObjects.push_back({ "service", "ledger", 1, "" });
  auto verdict = FoldRecord(state, MakeRecord(2, FormatChange(change)));
  CHECK(std::holds_alternative<ChangeInvalid>(verdict));
  STRCMP_EQUAL(
    before.c_str(),
    FormatRoute(state.mDocument.mRoutes.at(RouteName("balance"))).c_str());
}

TEST(Configuration, ARejectedChangeLeavesTheStateUnchanged)
{
  ConfigState state = MakeSmallState();
  FoldRecord(state,
             MakeRecord(2, FormatChange(MakeRouteChange("a", "x", 0, 500))));
  std::string before = SerializeState(state);
  // Adds a route with the path of "x" under another name, and removes
  // "balance". The conflict of paths must undo the removal as well.
  Change change = MakeRouteChange("b", "x", 0, 900);
  Route conflicting = *FindRoute(state, "GET", "/x");
  conflicting.mName = RouteName("conflicting");
  change.mObjects = { { "route", "conflicting", 0, FormatRoute(conflicting) },
                      { "route", "balance", 1, "" } };
  auto verdict = FoldRecord(state, MakeRecord(3, FormatChange(change)));
  CHECK(std::holds_alternative<ChangeInvalid>(verdict));
  state.mOffset = 2;
  STRCMP_EQUAL(before.c_str(), SerializeState(state).c_str());
  STRCMP_EQUAL("x", FindRoute(state, "GET", "/x")->mName.mValue.c_str());
  CHECK(FindRoute(state, "GET", "/balance") != nullptr);
}

TEST(Configuration, TwoRoutesMaySwapTheirPaths)
{
  ConfigState state = MakeSmallState();
  FoldRecord(state,
             MakeRecord(2, FormatChange(MakeRouteChange("a", "x", 0, 500))));
  FoldRecord(state,
             MakeRecord(3, FormatChange(MakeRouteChange("b", "y", 0, 500))));
  Route x = *FindRoute(state, "GET", "/x");
  Route y = *FindRoute(state, "GET", "/y");
  std::swap(x.mPath, y.mPath);
  Change change = MakeRouteChange("c", "x", 0, 1);
  change.mObjects = { { "route", "x", 2, FormatRoute(x) },
                      { "route", "y", 3, FormatRoute(y) } };
  auto verdict = FoldRecord(state, MakeRecord(4, FormatChange(change)));
  CHECK(std::holds_alternative<ChangeAccepted>(verdict));
  STRCMP_EQUAL("y", FindRoute(state, "GET", "/x")->mName.mValue.c_str());
  STRCMP_EQUAL("x", FindRoute(state, "GET", "/y")->mName.mValue.c_str());
}

TEST(Configuration, AnOlderRecordChangesNothing)
{
  ConfigState state = MakeSmallState();
  FoldRecord(
    state,
    MakeRecord(5, FormatChange(MakeRouteChange("a", "balance", 1, 500))));
  std::string before = SerializeState(state);
  FoldRecord(state,
             MakeRecord(4, FormatChange(MakeRouteChange("b", "x", 0, 500))));
  FoldRecord(state,
             MakeRecord(5, FormatChange(MakeRouteChange("c", "y", 0, 500))));
  STRCMP_EQUAL(before.c_str(), SerializeState(state).c_str());
}

/** Folds a random stream of valid, conflicting, repeated and truncated changes
 * and of checkpoints. A reader that starts from a checkpoint must reach the
 * same verdicts and the same state as one that reads the whole stream. */
TEST(Configuration, EveryReaderReachesTheSameState)
{
  CHECK(PropertyHolds("equal folds", 2000, [] {
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    ConfigState whole = MakeSmallState();
    ConfigState restored;
    bool isRestored = false;
    for (LogOffset offset = 2; offset < 60; ++offset) {
      std::string name = "r" + std::to_string(RandomBelow(random, 5));
      auto current = whole.mDocument.mRoutes.find(RouteName(name));
      LogOffset base =
        current == whole.mDocument.mRoutes.end() ? 0 : current->second.mVersion;
      bool isStale = RandomBelow(random, 3) == 0;
      std::string id = std::to_string(RandomBelow(random, 80));
      std::string payload = FormatChange(MakeRouteChange(
        id, name, isStale ? 1 : base, 100 + RandomBelow(random, 900)));
      switch (RandomBelow(random, 12)) {
        case 0:
          payload = payload.substr(0, RandomBelow(random, payload.size()));
          break;
        case 1:
          payload = FormatCheckpoint(whole);
          break;
        default:
          break;
      }
      if (!isRestored && RandomBelow(random, 10) == 0) {
        auto checkpoint = ParseCheckpoint(FormatCheckpoint(whole));
        RC_ASSERT(checkpoint.has_value());
        restored = std::move(*checkpoint);
        isRestored = true;
      }
      auto verdict = FoldRecord(whole, MakeRecord(offset, payload));
      if (isRestored) {
        auto other = FoldRecord(restored, MakeRecord(offset, payload));
        RC_ASSERT(DescribeVerdict(verdict) == DescribeVerdict(other));
        RC_ASSERT(SerializeState(whole) == SerializeState(restored));
        // The fold checks only the references that a change can break; here all
        // references of the document are checked.
        RC_ASSERT(CheckReferences(whole.mDocument).empty());
      }
    }
  }));
}

TEST(Configuration, ADamagedCheckpointIsRejected)
{
  std::string checkpoint = FormatCheckpoint(MakeSmallState());
  for (std::size_t i = 0; i < checkpoint.size(); ++i) {
    std::string damaged = checkpoint;
    damaged[i] = static_cast<char>(damaged[i] ^ 1);
    auto state = ParseCheckpoint(damaged);
    bool isSame = state && SerializeState(*state) == checkpoint;
    CHECK(!state || isSame);
  }
}

TEST(Configuration, KeysFollowTheChangeStream)
{
  ConfigState state = MakeFoldedState();
  STRCMP_EQUAL("mado", Holder(state, kKey).c_str());
  // A key is added, and one moves between two accounts that already exist.
  auto verdict = Fold(state,
                      2,
                      { MakeAccountChange("mado", 1, { kKey, kOtherKey }),
                        MakeAccountChange("sumi", 1, { "new" }) });
  CHECK(std::holds_alternative<ChangeAccepted>(verdict));
  STRCMP_EQUAL("mado", Holder(state, kOtherKey).c_str());
  STRCMP_EQUAL("sumi", Holder(state, "new").c_str());
  verdict = Fold(
    state,
    3,
    { { "account", "sumi", 2, "" }, MakeAccountChange("kura", 0, { "new" }) });
  CHECK(std::holds_alternative<ChangeAccepted>(verdict));
  STRCMP_EQUAL("kura", Holder(state, "new").c_str());
  // A record that arrives late changes nothing.
  Fold(state, 2, { MakeAccountChange("mado", 1, { "late" }) });
  STRCMP_EQUAL("", Holder(state, "late").c_str());
  auto restored = ParseCheckpoint(FormatCheckpoint(state));
  CHECK(restored.has_value());
  for (const char* it : { kKey, kOtherKey, "new", "late" }) {
    STRCMP_EQUAL(Holder(state, it).c_str(), Holder(*restored, it).c_str());
  }
}

/** Guards against an index that a refused change leaves half applied. */
TEST(Configuration, AChangeThatSharesAKeyIsRolledBack)
{
  ConfigState state = MakeFoldedState();
  const std::vector<std::vector<ObjectChange>> refused{
    // A key of an account that the change does not touch.
    { MakeAccountChange("mado", 1, { "next", kOtherKey }) },
    { MakeAccountChange("sumi", 1, { kKey }) },
    // Two accounts of the change have the same key.
    { MakeAccountChange("mado", 1, { "both" }),
      MakeAccountChange("sumi", 1, { "both" }) },
    { MakeAccountChange("kura", 0, { "new", kKey }),
      { "account", "sumi", 1, "" } },
    // The fault is in another object of the change.
    { MakeAccountChange("mado", 1, { "next" }),
      { "account", "sumi", 1, "" },
      { "service", "ledger", 1, "" } },
  };
  LogOffset offset = 1;
  for (const auto& it : refused) {
    std::string before = FormatDocument(state.mDocument);
    std::string text = std::to_string(++offset);
    auto verdict = Fold(state, offset, it);
    CHECK_TEXT(std::holds_alternative<ChangeInvalid>(verdict), text.c_str());
    STRCMP_EQUAL(before.c_str(), FormatDocument(state.mDocument).c_str());
    STRCMP_EQUAL("mado", Holder(state, kKey).c_str());
    STRCMP_EQUAL("sumi", Holder(state, kOtherKey).c_str());
    for (const char* key : { "next", "both", "new" }) {
      STRCMP_EQUAL_TEXT("", Holder(state, key).c_str(), text.c_str());
    }
    CHECK(!FindAccountById(state, AccountIdOf(AccountName("kura"))));
    CHECK(FindAccountById(state, AccountIdOf(AccountName("sumi"))) != nullptr);
  }
}

/** A change of another tool that holds keys in plain text is refused, and its
 * verdict does not repeat them. */
TEST(Configuration, AChangeWithKeysInPlainTextIsRejected)
{
  ConfigState state = MakeFoldedState();
  const std::string key = "k-of-fault-37";
  auto verdict =
    Fold(state,
         2,
         { { "account",
             "a",
             0,
             R"({ "name": "a", "keys": [ ")" + key + R"(" ] })" } });
  CHECK(std::holds_alternative<ChangeInvalid>(verdict));
  CHECK(DescribeVerdict(verdict).find(key) == std::string::npos);
  STRCMP_EQUAL("", Holder(state, key).c_str());
}

/** Guards against a check of changes that knows routes with one service only
 * and refuses those with shares. */
TEST(Configuration, RoutesWithSharesAreAccepted)
{
  ConfigState state = MakeSmallState();
  Route route = *FindRoute(state, "GET", "/balance");
  route.mShares = { { ServiceName("ledger"), 3 } };
  route.mService = ServiceName();
  auto verdict =
    Fold(state, 2, { { "route", "balance", 1, FormatRoute(route) } });
  CHECK(std::holds_alternative<ChangeAccepted>(verdict));
  route.mShares[0].mService = ServiceName("unknown");
  verdict = Fold(state, 3, { { "route", "balance", 2, FormatRoute(route) } });
  CHECK(std::holds_alternative<ChangeInvalid>(verdict));
}
