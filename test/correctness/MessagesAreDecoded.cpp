#include "../support/Properties.h"

#include "Codec.h"
#include "ConfigFold.h"
#include "Document.h"
#include "IntentFold.h"
#include "PlatformClient.h"
#include "Random.h"
#include "RequestKeys.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;

namespace {

std::vector<Message>
MakeOneOfEachMessage()
{
  LeaseRequest request;
  request.mService = ServiceName("ledger");
  request.mDeadline = Duration(2000000);
  LeaseSync sync{ ServiceName("ledger"),
                  { { 7, TargetId("t:1"), true, Duration(5) } },
                  { { TargetId("t:2"), { 1.5, true, Duration(7) } } } };
  LeaseReport report;
  report.mStatements = TargetStatements{ 2.5, false, Duration(9) };
  ConfigPush push{ 1, 2, "", { { 2, 3, "payload" } } };
  CachedAnswerReply reply{
    4,
    CachedAnswerState::Cached,
    { 200, { { "X-Mark", "a" } }, std::string(300, 'x') }
  };
  return {
    Ping{ 1, 2, { { NodeId("n"), ZoneName("z"), 3, {} } } },
    PingAck{},
    PingRequest{ 4, NodeId("m") },
    request,
    LeaseQueued{ 5 },
    LeaseGrant{ 6, 7, TargetId("t:1"), Duration(8) },
    LeaseRefusal{ 9, RefusalReason::NoTarget },
    LeaseWithdrawal{ ServiceName("ledger"), 10 },
    report,
    sync,
    TargetView{ ServiceName("ledger"), { TargetId("t:1") } },
    ConfigPull{ 11 },
    push,
    IntentRequest{ RequestKey("k"), { NodeId("n"), 1, 2 }, 3, true },
    IntentDecision{},
    CachedAnswerQuery{ 12, RequestKey("k") },
    reply,
    LeaseQuery{ ServiceName("ledger"), { 1, 2, 3 } },
    FeedPush{
      "t", { 1, 1 }, { 2, 2 }, true, Duration(3), { { "k", { 2, 4 }, "v" } } },
    FeedPull{ "t", { 2, 5 } },
    MemberPull{ 13, NodeId("n") },
    MemberPage{ { { NodeId("n"), ZoneName("z"), 3, {} } }, true },
    QuotaReport{ 14, 15, { { 16, 17, 18, 19, 20, -1.5F, true } } },
    QuotaLevels{ 21, { { 22, 23, 24, 25, -2.5F, 0.5F, 0.25F, 1.25F } } },
    HedgeOffer{ 14, 15, 16, TargetId("t:3"), { 2, 17 } }
  };
}

} // namespace

TEST_GROUP(MessageCodec){};

TEST(MessageCodec, RoundTripsEveryMessageType)
{
  auto messages = MakeOneOfEachMessage();
  LONGS_EQUAL(std::variant_size_v<Message>, messages.size());
  for (std::size_t i = 0; i < messages.size(); ++i) {
    LONGS_EQUAL(i, messages[i].index());
    std::string bytes = Encode("c", { NodeId("n"), messages[i] });
    auto decoded = Decode("c", bytes);
    CHECK(decoded.has_value());
    LONGS_EQUAL(i, decoded->mMessage.index());
    CHECK(Encode("c", *decoded) == bytes);
  }
}

TEST(MessageCodec, RejectsMessagesOfAnotherCluster)
{
  auto decoded =
    Decode("mine", Encode("other", { NodeId("n"), LeaseQueued{ 1 } }));
  CHECK(decoded.error() == DecodeError::ClusterMismatch);
}

TEST(MessageCodec, RejectsMessagesOfAnotherVersion)
{
  std::string bytes = Encode("c", { NodeId("n"), LeaseQueued{ 1 } });
  bytes[1] = static_cast<char>(kProtocolVersion + 1);
  auto decoded = Decode("c", bytes);
  CHECK(decoded.error() == DecodeError::VersionMismatch);
}

/** Guards against crashes and exceptions in the decoder: encoded messages with
 * up to five bytes replaced, some of them truncated, are decoded or rejected.
 */
TEST(MessageCodec, DoesNotCrashOnCorruptedMessages)
{
  auto messages = MakeOneOfEachMessage();
  CHECK(PropertyHolds("decoding accepts or rejects any bytes", 20000, [&] {
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    std::string bytes = Encode(
      "c", { NodeId("n"), messages[RandomBelow(random, messages.size())] });
    std::size_t changes = RandomBelow(random, 6);
    for (std::size_t i = 0; i < changes; ++i) {
      bytes[RandomBelow(random, bytes.size())] =
        static_cast<char>(RandomBelow(random, 256));
    }
    if (RandomBelow(random, 3) == 0) {
      bytes.resize(RandomBelow(random, bytes.size() + 1));
    }
    auto decoded = Decode("c", bytes);
    if (decoded) {
      Encode("c", *decoded);
    }
  }));
}

/** Guards against crashes and uncaught exceptions in the parsers of log reads,
 * VM lists, changes, checkpoints, intents, documents and request keys, on texts
 * with up to four characters replaced. */
TEST(MessageCodec, ParsersDoNotCrashOnCorruptedTexts)
{
  const std::string corpus[] = {
    R"({"first":1,"end":2,"records":[{"offset":1,"appendedAtMs":2,"data":"x"}]})",
    R"({"vms":[{"group":"g","address":"a","zone":"z","slots":3}]})",
    R"({"kind":"change","id":"i","who":"w","environment":"e",
        "objects":[{"type":"route","name":"n","base":0,"value":"{}"}]})",
    R"([["01a3185c-54b0-7687-b21a-49198d312362","p",1,2,3,false]])",
    R"({"environment":"e","services":[],"routes":[]})",
    "01a3185c-54b0-7687-b21a-49198d312362"
  };
  CHECK(PropertyHolds("parsing accepts or rejects any text", 20000, [&] {
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    std::string text = corpus[RandomBelow(random, std::size(corpus))];
    std::size_t changes = RandomBelow(random, 5);
    for (std::size_t i = 0; i < changes; ++i) {
      static const char sChars[] = "{}[]\",:0123456789-eE.truefalsn\\u\xff\x80";
      text[RandomBelow(random, text.size())] =
        sChars[RandomBelow(random, sizeof(sChars) - 1)];
    }
    ParseLogRead("s", text);
    ParseVmList(text);
    ParseChange(text);
    ParseCheckpoint(text);
    ParseIntents(text);
    ParseDocument(text);
    KeyCreationTime(RequestKey(text));
    ConfigState state;
    FoldRecord(state, { 1, 0, text });
    IntentFoldState intents;
    FoldIntents(intents, { 1, 0, text });
  }));
}
