#include "../support/FleetHelpers.h"
#include "Dialects.h"
#include "DocumentAccounts.h"
#include "DocumentEntries.h"
#include "HttpParser.h"
#include "LeaseQueue.h"
#include "NodeReport.h"

#include <CppUTest/TestHarness.h>

/** Guards against requests that are served without a known API key, against
 * keys that leave the node, and against accounts that a caller chooses itself.
 * Such faults arise where a header is read or copied under another spelling or
 * number than it is checked, and where the index of keys and the accounts of a
 * document differ after a change. */

using namespace vanillascale;
using namespace vanillascale::fake;

namespace {

constexpr unsigned kUnauthorized = 401;
/** The longest value of a field that the parser can store is a little under 64
 * KiB. */
constexpr std::size_t kOversizedKeyBytes = 65000;
constexpr const char* kKey = "key-of-mado-7f3a91c2";
constexpr const char* kOtherKey = "key-of-sumi-0b44e6d1";

constexpr const char* kAccountDocument = R"({
  "environment": "test",
  "services": [ { "name": "ledger", "vmGroup": "ledger", "floorPercent": 60 } ],
  "routes": [
    { "name": "urgent", "service": "ledger", "method": "GET",
      "path": "/urgent", "priority": 1, "deadlineMs": 2000 },
    { "name": "late", "service": "ledger", "method": "GET",
      "path": "/late", "priority": 9, "deadlineMs": 2000 },
    { "name": "health", "service": "ledger", "method": "GET",
      "path": "/health", "priority": 2, "deadlineMs": 2000, "open": true } ],
  "accounts": [
    { "name": "mado", "keys": [ "key-of-mado-7f3a91c2" ], "priority": 1,
      "rate": 50, "burst": 20 },
    { "name": "sumi", "keys": [ "key-of-sumi-0b44e6d1" ], "priority": 2 } ] })";

HttpRequest
ParseBytes(const std::string& aBytes)
{
  auto parser = RequestParser::Make({ 4 * kOversizedKeyBytes, 1024 });
  std::size_t used = 0;
  while (used < aBytes.size() &&
         parser->Progress() == HttpProgress::Incomplete) {
    used += parser->Feed(std::string_view(aBytes).substr(used));
  }
  CHECK(parser->Progress() == HttpProgress::Complete);
  return parser->Take();
}

/** Returns a whole request as a caller sends it. */
HttpRequest
ParseRequest(const std::string& aPath, const std::string& aFields)
{
  return ParseBytes("GET " + aPath + " HTTP/1.1\r\nHost: a\r\n" + aFields +
                    "\r\n");
}

std::string
Authorize(const std::string& aKey)
{
  return "Authorization: Bearer " + aKey + "\r\n";
}

template<typename Wanted>
const Wanted*
FindEffect(const Effects& aEffects)
{
  for (const Effect& it : aEffects) {
    if (const auto* wanted = std::get_if<Wanted>(&it)) {
      return wanted;
    }
  }
  return nullptr;
}

const LeaseRequest*
FindLeaseRequest(const Effects& aEffects)
{
  for (const Effect& it : aEffects) {
    const auto* send = std::get_if<SendToPeer>(&it);
    const auto* lease =
      send ? std::get_if<LeaseRequest>(&send->mMessage) : nullptr;
    if (lease) {
      return lease;
    }
  }
  return nullptr;
}

/** Two nodes with the document above. */
struct TwoNodes
{
  explicit TwoNodes(const char* aDocument = kAccountDocument)
  {
    mFleet.AddTargets("ledger", 2);
    if (aDocument) {
      PublishDocument(mFleet, aDocument);
    }
    mFleet.RunFor(seconds(5));
  }

  NodeState& State() { return mFleet.mNodes[0]->mState; }

  Effects Receive(const std::string& aPath, const std::string& aFields)
  {
    CallerRequest request = DescribeRequest(
      mCallers, ++mId, ParseRequest(aPath, aFields), mFleet.WallNow());
    return Step(State(), mFleet.Now(), request);
  }

  /** Returns the status of an immediate refusal, 0 where there is none. */
  unsigned RefusalOf(const std::string& aPath, const std::string& aFields)
  {
    Effects effects = Receive(aPath, aFields);
    const auto* answer = FindEffect<AnswerCaller>(effects);
    return answer ? answer->mVerdict.mStatus : 0;
  }

  /** Returns the lease request for a request that was sent to a node other than
   * the scheduler; that node is told of it in a message. */
  LeaseRequest RequestLease(const std::string& aPath,
                            const std::string& aFields)
  {
    CallerRequest request = DescribeRequest(
      mCallers, ++mId, ParseRequest(aPath, aFields), mFleet.WallNow());
    for (const auto& it : mFleet.mNodes) {
      Effects effects = Step(it->mState, mFleet.Now(), request);
      if (const LeaseRequest* lease = FindLeaseRequest(effects)) {
        return *lease;
      }
    }
    FAIL("no lease request");
    return {};
  }

  FakeFleet mFleet{ 2, 1, 1 };
  CallerDialect mCallers;
  RequestId mId = 0;
};

/** Puts a document in force on a state as a copy of the topic does: with the
 * keys of the entries that differ from those before. */
DocumentUpdate
Update(ConfigState& aState,
       std::map<std::string, FeedEntry>& aEntries,
       const std::string& aText,
       std::uint64_t aRevision,
       LogOffset aOffset)
{
  Document document = *ParseDocument(aText);
  document.mRevision = aRevision;
  std::map<std::string, FeedEntry> entries;
  std::vector<std::string> changed;
  for (FeedEntry& it : MakeDocumentEntries(document, { 0, aOffset })) {
    auto old = aEntries.find(it.mKey);
    if (old == aEntries.end() || old->second.mValue != it.mValue) {
      changed.push_back(it.mKey);
    }
    entries[it.mKey] = std::move(it);
  }
  for (const auto& [key, entry] : aEntries) {
    if (entries.count(key) == 0) {
      changed.push_back(key);
    }
  }
  DocumentUpdate update = UpdateDocument(aState, entries, changed);
  if (update == DocumentUpdate::InForce) {
    aEntries = std::move(entries);
  }
  return update;
}

/** Returns a document with the given accounts, as JSON text. */
std::string
WithAccounts(const std::string& aAccounts)
{
  return R"({ "environment": "test",
    "services": [ { "name": "s", "vmGroup": "s", "floorPercent": 50 } ],
    "routes": [ { "name": "r", "service": "s", "path": "/", "priority": 1,
                  "deadlineMs": 100 } ],
    "accounts": [ )" +
         aAccounts + " ] }";
}

std::string
HolderOf(const ConfigState& aState, const std::string& aKey)
{
  const ClientAccount* account = FindAccount(aState, aKey);
  return account ? account->mName.mValue : "";
}

} // namespace

TEST_GROUP(ApiKeys){};

TEST(ApiKeys, OnlyRequestsWithOneKnownKeyAreAccepted)
{
  TwoNodes node;
  LONGS_EQUAL(0, node.RefusalOf("/urgent", Authorize(kKey)));
  for (const char* it : { "bearer", "BEARER", "bEaReR" }) {
    std::string field =
      "authorization: " + std::string(it) + " " + kKey + "\r\n";
    LONGS_EQUAL_TEXT(0, node.RefusalOf("/urgent", field), it);
  }
  const std::string known = kKey;
  const std::vector<std::string> refused{
    "",
    "Authorization:\r\n",
    "Authorization: Bearer\r\n",
    "Authorization: Bearer \r\n",
    "Authorization: Basic " + known + "\r\n",
    "Authorization: " + known + "\r\n",
    "Authorization: Bearer" + known + "\r\n",
    "Proxy-Authorization: Bearer " + known + "\r\n",
    "X-Authorization: Bearer " + known + "\r\n",
    "Vanillascale-Account: mado\r\n",
    Authorize("unknown"),
    Authorize(known + "x"),
    Authorize(known.substr(1)),
    Authorize(known.substr(0, known.size() - 1)),
    Authorize("KEY-OF-MADO-7F3A91C2"),
    Authorize(known + ", Bearer " + known),
    Authorize(known) + Authorize(known),
    Authorize(known) + Authorize("unknown"),
    Authorize("unknown") + Authorize(known),
    Authorize(known) + "AUTHORIZATION: Basic a\r\n",
    Authorize(std::string(kOversizedKeyBytes, 'k')),
    Authorize(known + std::string(kOversizedKeyBytes, 'k')),
  };
  for (const std::string& it : refused) {
    LONGS_EQUAL_TEXT(
      kUnauthorized, node.RefusalOf("/urgent", it), it.substr(0, 200).c_str());
  }
}

/** A key that is longer than a known one must not be looked up by a part of it.
 */
TEST(ApiKeys, KeysOfTheMaximumLengthAreKnownAndLongerOnesAreNot)
{
  const std::string longest(4096, 'k');
  ConfigState state;
  std::map<std::string, FeedEntry> entries;
  CHECK(
    Update(state,
           entries,
           WithAccounts(R"({ "name": "a", "keys": [ ")" + longest + R"(" ] })"),
           1,
           1) == DocumentUpdate::InForce);
  auto keyOf = [](const std::string& aKey) {
    return DescribeRequest({}, 1, ParseRequest("/", Authorize(aKey)), {})
      .mApiKey;
  };
  STRCMP_EQUAL("a", HolderOf(state, keyOf(longest)).c_str());
  STRCMP_EQUAL((longest + "k").c_str(), keyOf(longest + "k").c_str());
  STRCMP_EQUAL("", HolderOf(state, keyOf(longest + "k")).c_str());
}

TEST(ApiKeys, OpenRoutesNeedNoKey)
{
  TwoNodes node;
  node.State().mProxy.mChoosesLocally = true;
  for (const std::string& it : { std::string(), Authorize("unknown") }) {
    Effects effects =
      node.Receive("/health", it + "Vanillascale-Account: mado\r\n");
    CHECK(!FindEffect<AnswerCaller>(effects));
    const auto* send = FindEffect<SendToTarget>(effects);
    CHECK(send && send->mAccount);
    STRCMP_EQUAL("", send->mAccount->mValue.c_str());
  }
  Effects effects = node.Receive("/health", Authorize(kKey));
  const auto* send = FindEffect<SendToTarget>(effects);
  CHECK(send && send->mAccount);
  STRCMP_EQUAL("mado", send->mAccount->mValue.c_str());
}

/** A document without accounts serves its callers as before. */
TEST(ApiKeys, DocumentsWithoutAccountsNeedNoKey)
{
  TwoNodes node(kSmallDocument);
  node.State().mProxy.mChoosesLocally = true;
  Effects effects = node.Receive("/balance", Authorize("anything"));
  const auto* send = FindEffect<SendToTarget>(effects);
  CHECK(send && !send->mAccount);
  HttpRequest request =
    ParseRequest("/balance", Authorize("x") + "Vanillascale-Account: own\r\n");
  HttpRequest sent = ForwardRequest({}, {}, request, { TargetId("t:1"), "n" });
  CHECK(FindHeader(sent.mHeaders, "Authorization") != nullptr);
  STRCMP_EQUAL("own",
               FindHeader(sent.mHeaders, "Vanillascale-Account")->c_str());
}

TEST(ApiKeys, ANodeWithoutADocumentIsUnavailable)
{
  TwoNodes node(nullptr);
  for (const std::string& it :
       { std::string(), Authorize(kKey), Authorize("unknown") }) {
    Effects effects = node.Receive("/urgent", it);
    const auto* answer = FindEffect<AnswerCaller>(effects);
    CHECK(answer != nullptr);
    LONGS_EQUAL(503, answer->mVerdict.mStatus);
    STRCMP_EQUAL("starting", answer->mVerdict.mReason);
  }
}

TEST(ApiKeys, RefusalsNameTheSchemeAndNotTheKey)
{
  TwoNodes node;
  Effects effects = node.Receive("/urgent", Authorize("unknown-5d0c"));
  const auto* answer = FindEffect<AnswerCaller>(effects);
  CHECK(answer != nullptr);
  HttpResponse response = ComposeAnswer(node.mCallers, *answer, "");
  LONGS_EQUAL(kUnauthorized, response.mStatus);
  STRCMP_EQUAL("Bearer",
               FindHeader(response.mHeaders, "WWW-Authenticate")->c_str());
  CHECK(Serialize(response, false).find("5d0c") == std::string::npos);
}

/** Checks that targets are told the account in the header aName, whatever a
 * caller states in it. aOtherCase is the same name in another case. */
static void
CheckForwarding(const std::string& aName, const std::string& aOtherCase)
{
  TargetDialect targets;
  targets.mAccount = aName;
  const std::vector<std::string> stated{
    "",
    aName + ": other\r\n",
    aName + ": other\r\n" + aName + ": third\r\n",
    aOtherCase + ": other\r\n" + aName + ": \r\n",
    aName + ": other\r\nConnection: " + aName + "\r\n",
    "Connection: Authorization, " + aOtherCase + "\r\n",
  };
  for (const std::string& it : stated) {
    HttpRequest request = ParseRequest("/urgent", it + Authorize(kKey));
    Forwarding forwarding{ TargetId("t:1"), "n", seconds(1) };
    forwarding.mAccount = AccountName("mado");
    HttpRequest sent = ForwardRequest({}, targets, request, forwarding);
    int count = 0;
    for (const Header& header : sent.mHeaders) {
      count += IsSameName(header.mName, aName) ? 1 : 0;
    }
    LONGS_EQUAL_TEXT(1, count, it.c_str());
    STRCMP_EQUAL("mado", FindHeader(sent.mHeaders, aName)->c_str());
    std::string bytes = Serialize(sent);
    CHECK_TEXT(bytes.find(kKey) == std::string::npos, it.c_str());
    CHECK_TEXT(bytes.find("other") == std::string::npos, it.c_str());
    // Open routes: no account is told, not even the one that a caller states.
    forwarding.mAccount = AccountName();
    bytes = Serialize(ForwardRequest({}, targets, request, forwarding));
    CHECK_TEXT(bytes.find(aName + ":") == std::string::npos, bytes.c_str());
    CHECK_TEXT(bytes.find(aOtherCase + ":") == std::string::npos,
               bytes.c_str());
    CHECK_TEXT(bytes.find(kKey) == std::string::npos, it.c_str());
  }
}

/** Both names under which platforms know the account. */
TEST(ApiKeys, TargetsAreToldTheAccountAndNeverTheKey)
{
  CheckForwarding("Vanillascale-Account", "vanillascale-ACCOUNT");
  CheckForwarding("Vanillascale-Tenant", "vanillascale-TENANT");
}

TEST(ApiKeys, TrailersStateNoAccountAndNoKey)
{
  HttpRequest request =
    ParseBytes("GET /urgent HTTP/1.1\r\nHost: a\r\n"
               "Transfer-Encoding: chunked\r\n"
               "Trailer: Authorization, Vanillascale-Account\r\n\r\n"
               "1\r\nx\r\n0\r\nAuthorization: Bearer " +
               std::string(kKey) + "\r\nVanillascale-Account: other\r\n\r\n");
  STRCMP_EQUAL("", DescribeRequest({}, 1, request, {}).mApiKey.c_str());
  Forwarding forwarding{ TargetId("t:1"), "n", seconds(1) };
  forwarding.mAccount = AccountName("mado");
  std::string sent = Serialize(ForwardRequest({}, {}, request, forwarding));
  CHECK(sent.find(kKey) == std::string::npos);
  CHECK(sent.find("other") == std::string::npos);
}

/** Guards against an order by the route's priority alone, in which an urgent
 * route of an unimportant account goes before all of an important one. */
TEST(ApiKeys, ThePriorityOfTheAccountGoesBeforeThatOfTheRoute)
{
  TwoNodes node;
  LeaseQueue queue;
  RequestId id = 0;
  auto enqueue = [&](const char* aPath, const char* aKey) {
    LeaseRequest lease = node.RequestLease(aPath, Authorize(aKey));
    QueuedRequest queued;
    queued.mProxy = NodeId("p");
    queued.mRequest = lease;
    queued.mRequest.mRequest = ++id;
    queued.mDeadlineAt = TimePoint(seconds(10) - seconds(id));
    CHECK(Enqueue(queue, queued));
    return lease;
  };
  LeaseRequest fourth = enqueue("/late", kOtherKey);
  LeaseRequest third = enqueue("/urgent", kOtherKey);
  LeaseRequest second = enqueue("/late", kKey);
  LeaseRequest first = enqueue("/urgent", kKey);
  CHECK(first.mPriority < second.mPriority);
  CHECK(second.mPriority < third.mPriority);
  CHECK(third.mPriority < fourth.mPriority);
  LONGS_EQUAL(AccountIdOf(AccountName("mado")), first.mAccount);
  LONGS_EQUAL(AccountIdOf(AccountName("sumi")), third.mAccount);
  RequestId expected = 4;
  for (const auto& [key, entry] : queue.mEntries) {
    LONGS_EQUAL(expected, entry.mRequest.mRequest);
    --expected;
  }
}

/** The account that a caller states counts only without accounts. */
TEST(ApiKeys, CallersDoNotChooseTheirAccounts)
{
  TwoNodes node;
  const std::string stated = "Vanillascale-Account: sumi\r\n";
  LONGS_EQUAL(AccountIdOf(AccountName("mado")),
              node.RequestLease("/urgent", Authorize(kKey) + stated).mAccount);
  LONGS_EQUAL(0, node.RequestLease("/health", stated).mAccount);
}

/** Guards against an index that keeps keys of replaced or removed accounts, or
 * loses keys that moved, also if the removal is applied after the addition. */
TEST(ApiKeys, KeysFollowLaterDocuments)
{
  ConfigState state;
  std::map<std::string, FeedEntry> entries;
  auto update = [&](const std::string& aAccounts,
                    std::uint64_t aRevision,
                    LogOffset aOffset) {
    return Update(state, entries, WithAccounts(aAccounts), aRevision, aOffset);
  };
  const std::string first = R"({ "name": "a", "keys": [ "k1", "k2" ] },
                               { "name": "b", "keys": [ "k3" ] })";
  CHECK(update(first, 1, 10) == DocumentUpdate::InForce);
  STRCMP_EQUAL("a", HolderOf(state, "k1").c_str());
  STRCMP_EQUAL("a", HolderOf(state, "k2").c_str());
  STRCMP_EQUAL("b", HolderOf(state, "k3").c_str());
  // k1 is revoked, k2 moves to an account later in the order, k3 to one before
  // it, and k4 is new.
  CHECK(update(R"({ "name": "a", "keys": [ "k3", "k4" ] },
                  { "name": "b", "keys": [ "k2" ] })",
               2,
               20) == DocumentUpdate::InForce);
  STRCMP_EQUAL("", HolderOf(state, "k1").c_str());
  STRCMP_EQUAL("b", HolderOf(state, "k2").c_str());
  STRCMP_EQUAL("a", HolderOf(state, "k3").c_str());
  STRCMP_EQUAL("a", HolderOf(state, "k4").c_str());
  // Copies that arrive late: an earlier offset, and an earlier revision.
  CHECK(update(first, 1, 10) == DocumentUpdate::NotNewer);
  CHECK(update(first, 3, 15) == DocumentUpdate::NotNewer);
  CHECK(update(first, 1, 30) == DocumentUpdate::NotNewer);
  STRCMP_EQUAL("", HolderOf(state, "k1").c_str());
  STRCMP_EQUAL("b", HolderOf(state, "k2").c_str());
  // The removed account's key moves to a new account.
  CHECK(update(R"({ "name": "a", "keys": [ "k3" ] },
                  { "name": "c", "keys": [ "k2" ] })",
               3,
               40) == DocumentUpdate::InForce);
  STRCMP_EQUAL("c", HolderOf(state, "k2").c_str());
  STRCMP_EQUAL("", HolderOf(state, "k4").c_str());
  CHECK(!FindAccountById(state, AccountIdOf(AccountName("b"))));
  CHECK(FindAccountById(state, AccountIdOf(AccountName("c"))) != nullptr);
}

/** Searches all that leaves a node for the keys that callers sent and for those
 * of the document. */
TEST(ApiKeys, NoKeyIsPartOfWhatANodeWrites)
{
  TwoNodes node;
  std::string written;
  node.mFleet.mOnEvent = [&](std::size_t, const WriteEvent& aEvent) {
    written += aEvent.mText + "\n";
  };
  node.mFleet.mOnAnswer =
    [&](std::size_t, RequestId, const AnswerCaller& aAnswer) {
      HttpResponse response = ComposeAnswer(node.mCallers, aAnswer, "");
      written += Serialize(response, false);
    };
  node.mFleet.mIsLost = [&](std::size_t, std::size_t, const Message& aMessage) {
    written += Encode("test", { NodeId("a:1"), aMessage });
    return false;
  };
  auto submit = [&](const std::string& aPath, const std::string& aKey) {
    CallerRequest request =
      DescribeRequest(node.mCallers,
                      ++node.mId,
                      ParseRequest(aPath, Authorize(aKey)),
                      node.mFleet.WallNow());
    node.mFleet.Submit(0, request, { milliseconds(20) });
  };
  for (int i = 0; i < 60; ++i) {
    bool isFailing = i >= 20;
    for (auto& [id, target] : node.mFleet.mTargets) {
      target->mErrorShare = isFailing ? 0.6 : 0;
      target->mShedShare = isFailing ? 0.3 : 0;
    }
    submit("/urgent", kKey);
    submit("/late", kOtherKey);
    submit("/late", "unknown-5d0c8e");
    submit("/nowhere", kKey);
    node.mFleet.RunFor(milliseconds(100));
  }
  node.mFleet.RunFor(seconds(3));
  CHECK(written.find("account=mado") != std::string::npos);
  CHECK(written.find("unknown-api-key") != std::string::npos);
  written += ReportStatus(node.State(), node.mFleet.Now());
  written += ReportMetrics(node.State(), {}, {}, node.mFleet.Now());
  const ConfigState& config = node.State().mConfig.mConfig;
  written += FormatDocument(config.mDocument);
  written += FormatCheckpoint(config);
  written += FormatChange(MakeChange(kAccountDocument, "x"));
  written += FormatChange(
    { "x",
      "test",
      "test",
      DiffDocument(config,
                   *ParseDocument(WithAccounts(
                     R"({ "name": "mado", "keys": [ "k-91d2" ] })"))) });
  for (const FeedEntry& it : MakeDocumentEntries(config.mDocument, { 0, 1 })) {
    written += it.mValue;
  }
  for (const char* it : { kKey, kOtherKey, "unknown-5d0c8e", "k-91d2" }) {
    CHECK_TEXT(written.find(it) == std::string::npos, it);
  }
}

TEST(ApiKeys, NoKeyIsPartOfAFault)
{
  const std::string key = "k-of-fault-37";
  const std::string longKey = key + std::string(4096, 'k');
  const std::vector<std::string> invalid{
    R"({ "name": "a", "keys": [ ")" + key + R"(", "" ] })",
    R"({ "name": "a", "keys": [ ")" + longKey + R"(" ] })",
    R"({ "name": "a", "keys": ")" + key + R"(" })",
    R"({ "name": "a", "keys": { "k": ")" + key + R"(" } })",
    R"({ "name": "a", "keyDigests": [ ")" + key + R"(" ] })",
    R"({ "name": "a", "rate": ")" + key + R"(" })",
    R"({ "name": "a", "keys": [ ")" + key +
      R"(" ] }, { "name": "b", "keys": [ ")" + key + R"(" ] })",
    R"({ "name": "a", "keys": [ ")" + key + R"(" ] }, 7)",
    R"({ "name": "a", "keys": [ ")" + key
  };
  for (const std::string& it : invalid) {
    auto document = ParseDocument(WithAccounts(it));
    CHECK_TEXT(!document, it.substr(0, 100).c_str());
    std::string faults;
    for (const DocumentFault& fault : document.error()) {
      faults.append(fault.mPointer).append(" ").append(fault.mProblem);
    }
    CHECK_TEXT(faults.find(key) == std::string::npos, faults.c_str());
  }
}

/** Bounds the size of the index, and with it that a load does not keep more
 * than one entry per key and account. */
TEST(ApiKeys, NineHundredThousandAccountsLoad)
{
  constexpr std::size_t kAccounts = 900000;
  Document document = *ParseDocument(WithAccounts(""));
  for (std::size_t i = 0; i < kAccounts; ++i) {
    ClientAccount account;
    account.mName = AccountName("account-" + std::to_string(i));
    account.mKeys.push_back(DigestKey("test", "key-" + std::to_string(i)));
    document.mAccounts.emplace_hint(
      document.mAccounts.end(), account.mName, account);
  }
  LONGS_EQUAL(kAccounts, document.mAccounts.size());
  ConfigState state;
  std::map<std::string, FeedEntry> entries;
  std::vector<std::string> keys;
  for (FeedEntry& it : MakeDocumentEntries(document, { 0, 1 })) {
    keys.push_back(it.mKey);
    entries.emplace(it.mKey, std::move(it));
  }
  CHECK(UpdateDocument(state, entries, keys) == DocumentUpdate::InForce);
  LONGS_EQUAL(kAccounts, state.mDocument.mAccounts.size());
  for (std::size_t i = 0; i < kAccounts; i += 997) {
    std::string number = std::to_string(i);
    STRCMP_EQUAL(("account-" + number).c_str(),
                 HolderOf(state, "key-" + number).c_str());
  }
  STRCMP_EQUAL("", HolderOf(state, "key-900000").c_str());
}
