#include "Codec.h"
#include "Hash.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;

namespace {

constexpr const char* kCluster = "c";
constexpr std::size_t kBodyField = 4;

/** The messages as builds without eras define them. */
namespace before_eras {

struct FeedEntry
{
  std::string mKey;
  LogOffset mOffset = 0;
  std::string mValue;
  EntryOrder mOrder{};
  MSGPACK_DEFINE(mKey, mOffset, mValue, mOrder)
};

struct FeedPush
{
  std::string mTopic;
  LogOffset mAfter = 0;
  LogOffset mEnd = 0;
  bool mIsSnapshot = false;
  Duration mAge{ 0 };
  std::vector<FeedEntry> mEntries;
  std::uint64_t mRevision = 0;
  std::string mPageAfter{};
  bool mHasMore = false;
  NodeId mTreeRoot{};
  std::uint64_t mTreeSeed = 0;
  std::uint64_t mDigest = 0;
  MSGPACK_DEFINE(mTopic,
                 mAfter,
                 mEnd,
                 mIsSnapshot,
                 mAge,
                 mEntries,
                 mRevision,
                 mPageAfter,
                 mHasMore,
                 mTreeRoot,
                 mTreeSeed,
                 mDigest)
};

struct FeedPull
{
  std::string mTopic;
  LogOffset mEnd = 0;
  bool mAcceptsPages = false;
  std::string mPageAfter{};
  MSGPACK_DEFINE(mTopic, mEnd, mAcceptsPages, mPageAfter)
};

struct LeaseGrant
{
  RequestId mRequest = 0;
  LeaseId mLease = 0;
  TargetId mTarget;
  Duration mSendWithin{ 0 };
  LogOffset mTargetListEnd = 0;
  MSGPACK_DEFINE(mRequest, mLease, mTarget, mSendWithin, mTargetListEnd)
};

struct LeaseReport
{
  ServiceName mService;
  LeaseId mLease = 0;
  TargetOutcome mOutcome = TargetOutcome::Answered;
  Duration mLatency{ 0 };
  std::optional<TargetStatements> mStatements;
  std::optional<LogOffset> mDeclinedAtListEnd;
  MSGPACK_DEFINE(mService,
                 mLease,
                 mOutcome,
                 mLatency,
                 mStatements,
                 mDeclinedAtListEnd)
};

struct HedgeOffer
{
  RequestId mRequest = 0;
  LeaseId mFirstLease = 0;
  LeaseId mLease = 0;
  TargetId mTarget;
  LogOffset mTargetListEnd = 0;
  MSGPACK_DEFINE(mRequest, mFirstLease, mLease, mTarget, mTargetListEnd)
};

} // namespace before_eras

/** Decodes, as this build's T, what a build without eras sends. */
template<typename T, typename Earlier>
T
ReadByThisBuild(const Earlier& aBody)
{
  msgpack::sbuffer bytes;
  msgpack::packer<msgpack::sbuffer> packer(bytes);
  packer.pack_array(kBodyField + 1);
  packer.pack(kProtocolVersion);
  packer.pack(static_cast<std::uint32_t>(Hash64(kCluster)));
  packer.pack(NodeId("n"));
  packer.pack(Message(T{}).index());
  packer.pack(aBody);
  auto decoded = Decode(kCluster, { bytes.data(), bytes.size() });
  CHECK(decoded.has_value());
  return std::get<T>(decoded->mMessage);
}

/** Decodes what this build sends as a build without eras does. */
template<typename Earlier, typename T>
Earlier
ReadByEarlierBuild(const T& aMessage)
{
  std::string bytes = Encode(kCluster, { NodeId("n"), aMessage });
  msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
  std::optional<Earlier> read;
  try {
    read = handle.get().via.array.ptr[kBodyField].as<Earlier>();
  } catch (const msgpack::type_error&) {
    FAIL("an earlier build drops the message");
  }
  return *read;
}

void
CheckPosition(const StorePosition& aExpected, const StorePosition& aPosition)
{
  STRCMP_EQUAL(FormatPosition(aExpected).c_str(),
               FormatPosition(aPosition).c_str());
}

} // namespace

/** Guards against a field that is not appended at the end: nodes of both builds
 * run side by side during a roll-out, and would drop each other's messages or
 * take one field for another. */
TEST_GROUP(MessagesWithoutEras){};

TEST(MessagesWithoutEras, PushesAreOfEraZero)
{
  before_eras::FeedPush earlier;
  earlier.mTopic = "t";
  earlier.mAfter = 5;
  earlier.mEnd = 7;
  earlier.mIsSnapshot = true;
  earlier.mAge = Duration(9);
  earlier.mEntries = { { "k", 6, "v", { 11, 12 } }, { "gone", 5, "", {} } };
  earlier.mRevision = 13;
  earlier.mPageAfter = "j";
  earlier.mHasMore = true;
  earlier.mTreeRoot = NodeId("root");
  earlier.mTreeSeed = 14;
  earlier.mDigest = 15;
  auto push = ReadByThisBuild<FeedPush>(earlier);
  STRCMP_EQUAL("t", push.mTopic.c_str());
  CheckPosition({ 0, 5 }, push.mAfter);
  CheckPosition({ 0, 7 }, push.mEnd);
  CHECK(push.mIsSnapshot);
  CHECK(push.mAge == Duration(9));
  LONGS_EQUAL(2, push.mEntries.size());
  STRCMP_EQUAL("k", push.mEntries[0].mKey.c_str());
  CheckPosition({ 0, 6 }, push.mEntries[0].mPosition);
  STRCMP_EQUAL("v", push.mEntries[0].mValue.c_str());
  LONGS_EQUAL(11, push.mEntries[0].mOrder.mEpoch);
  LONGS_EQUAL(12, push.mEntries[0].mOrder.mSequence);
  STRCMP_EQUAL("gone", push.mEntries[1].mKey.c_str());
  CheckPosition({ 0, 5 }, push.mEntries[1].mPosition);
  LONGS_EQUAL(13, push.mRevision);
  STRCMP_EQUAL("j", push.mPageAfter.c_str());
  CHECK(push.mHasMore);
  STRCMP_EQUAL("root", push.mTreeRoot.mValue.c_str());
  LONGS_EQUAL(14, push.mTreeSeed);
  LONGS_EQUAL(15, push.mDigest);
}

TEST(MessagesWithoutEras, PushesAreReadByEarlierBuilds)
{
  FeedPush push;
  push.mTopic = "t";
  push.mAfter = { 21, 5 };
  push.mEnd = { 22, 7 };
  push.mIsSnapshot = true;
  push.mAge = Duration(9);
  push.mEntries = { { "k", { 22, 6 }, "v", { 11, 12 } },
                    { "gone", { 22, 5 }, "", {} } };
  push.mRevision = 13;
  push.mPageAfter = "j";
  push.mHasMore = true;
  push.mTreeRoot = NodeId("root");
  push.mTreeSeed = 14;
  push.mDigest = 15;
  auto earlier = ReadByEarlierBuild<before_eras::FeedPush>(push);
  STRCMP_EQUAL("t", earlier.mTopic.c_str());
  LONGS_EQUAL(5, earlier.mAfter);
  LONGS_EQUAL(7, earlier.mEnd);
  CHECK(earlier.mIsSnapshot);
  CHECK(earlier.mAge == Duration(9));
  LONGS_EQUAL(2, earlier.mEntries.size());
  STRCMP_EQUAL("k", earlier.mEntries[0].mKey.c_str());
  LONGS_EQUAL(6, earlier.mEntries[0].mOffset);
  STRCMP_EQUAL("v", earlier.mEntries[0].mValue.c_str());
  LONGS_EQUAL(11, earlier.mEntries[0].mOrder.mEpoch);
  LONGS_EQUAL(12, earlier.mEntries[0].mOrder.mSequence);
  STRCMP_EQUAL("gone", earlier.mEntries[1].mKey.c_str());
  LONGS_EQUAL(5, earlier.mEntries[1].mOffset);
  LONGS_EQUAL(13, earlier.mRevision);
  STRCMP_EQUAL("j", earlier.mPageAfter.c_str());
  CHECK(earlier.mHasMore);
  STRCMP_EQUAL("root", earlier.mTreeRoot.mValue.c_str());
  LONGS_EQUAL(14, earlier.mTreeSeed);
  LONGS_EQUAL(15, earlier.mDigest);
}

TEST(MessagesWithoutEras, PullsAreReadByBothBuilds)
{
  auto pull =
    ReadByThisBuild<FeedPull>(before_eras::FeedPull{ "t", 7, true, "j" });
  STRCMP_EQUAL("t", pull.mTopic.c_str());
  CheckPosition({ 0, 7 }, pull.mEnd);
  CHECK(pull.mAcceptsPages);
  STRCMP_EQUAL("j", pull.mPageAfter.c_str());
  auto earlier = ReadByEarlierBuild<before_eras::FeedPull>(
    FeedPull{ "t", { 22, 7 }, true, "j" });
  STRCMP_EQUAL("t", earlier.mTopic.c_str());
  LONGS_EQUAL(7, earlier.mEnd);
  CHECK(earlier.mAcceptsPages);
  STRCMP_EQUAL("j", earlier.mPageAfter.c_str());
}

TEST(MessagesWithoutEras, GrantsAreReadByBothBuilds)
{
  auto grant = ReadByThisBuild<LeaseGrant>(
    before_eras::LeaseGrant{ 1, 2, TargetId("t:1"), Duration(3), 7 });
  LONGS_EQUAL(1, grant.mRequest);
  LONGS_EQUAL(2, grant.mLease);
  STRCMP_EQUAL("t:1", grant.mTarget.mValue.c_str());
  CHECK(grant.mSendWithin == Duration(3));
  CheckPosition({ 0, 7 }, grant.mTargetListEnd);
  auto earlier = ReadByEarlierBuild<before_eras::LeaseGrant>(
    LeaseGrant{ 1, 2, TargetId("t:1"), Duration(3), { 22, 7 } });
  LONGS_EQUAL(1, earlier.mRequest);
  LONGS_EQUAL(2, earlier.mLease);
  STRCMP_EQUAL("t:1", earlier.mTarget.mValue.c_str());
  CHECK(earlier.mSendWithin == Duration(3));
  LONGS_EQUAL(7, earlier.mTargetListEnd);
}

TEST(MessagesWithoutEras, ReportsAreReadByBothBuilds)
{
  auto report = ReadByThisBuild<LeaseReport>(
    before_eras::LeaseReport{ ServiceName("s"),
                              2,
                              TargetOutcome::Unused,
                              Duration(3),
                              TargetStatements{ 2.5, true, Duration(9) },
                              7 });
  STRCMP_EQUAL("s", report.mService.mValue.c_str());
  LONGS_EQUAL(2, report.mLease);
  CHECK(report.mOutcome == TargetOutcome::Unused);
  CHECK(report.mLatency == Duration(3));
  CHECK(report.mStatements->mIsLeaving);
  CHECK(static_cast<bool>(report.mDeclinedAtListEnd));
  CheckPosition({ 0, 7 }, *report.mDeclinedAtListEnd);
  report.mDeclinedAtListEnd = StorePosition(22, 7);
  auto earlier = ReadByEarlierBuild<before_eras::LeaseReport>(report);
  STRCMP_EQUAL("s", earlier.mService.mValue.c_str());
  LONGS_EQUAL(2, earlier.mLease);
  CHECK(earlier.mOutcome == TargetOutcome::Unused);
  CHECK(earlier.mLatency == Duration(3));
  CHECK(earlier.mStatements->mIsLeaving);
  LONGS_EQUAL(7, *earlier.mDeclinedAtListEnd);
}

/** Guards against a report without a position that is read as a lease that was
 * declined at the first one. */
TEST(MessagesWithoutEras, ReportsOfUsedLeasesHaveNoPosition)
{
  auto report = ReadByThisBuild<LeaseReport>(before_eras::LeaseReport{
    ServiceName("s"), 2, TargetOutcome::Answered, Duration(3), {}, {} });
  CHECK(!report.mDeclinedAtListEnd);
  auto earlier = ReadByEarlierBuild<before_eras::LeaseReport>(report);
  CHECK(!earlier.mDeclinedAtListEnd);
}

TEST(MessagesWithoutEras, HedgeOffersAreReadByBothBuilds)
{
  auto offer = ReadByThisBuild<HedgeOffer>(
    before_eras::HedgeOffer{ 1, 2, 3, TargetId("t:1"), 7 });
  LONGS_EQUAL(1, offer.mRequest);
  LONGS_EQUAL(2, offer.mFirstLease);
  LONGS_EQUAL(3, offer.mLease);
  STRCMP_EQUAL("t:1", offer.mTarget.mValue.c_str());
  CheckPosition({ 0, 7 }, offer.mTargetListEnd);
  auto earlier = ReadByEarlierBuild<before_eras::HedgeOffer>(
    HedgeOffer{ 1, 2, 3, TargetId("t:1"), { 22, 7 } });
  LONGS_EQUAL(1, earlier.mRequest);
  LONGS_EQUAL(2, earlier.mFirstLease);
  LONGS_EQUAL(3, earlier.mLease);
  STRCMP_EQUAL("t:1", earlier.mTarget.mValue.c_str());
  LONGS_EQUAL(7, earlier.mTargetListEnd);
}

/** Guards against eras that are lost between builds that have them. */
TEST(MessagesWithoutEras, ErasAreKeptBetweenBuildsThatHaveThem)
{
  FeedPush push;
  push.mAfter = { 21, 5 };
  push.mEnd = { 22, 7 };
  push.mEntries = { { "k", { 23, 6 }, "v", {} } };
  auto decoded = Decode(kCluster, Encode(kCluster, { NodeId("n"), push }));
  CHECK(decoded.has_value());
  const auto& decodedPush = std::get<FeedPush>(decoded->mMessage);
  CheckPosition({ 21, 5 }, decodedPush.mAfter);
  CheckPosition({ 22, 7 }, decodedPush.mEnd);
  CheckPosition({ 23, 6 }, decodedPush.mEntries.front().mPosition);
  LeaseReport report;
  report.mDeclinedAtListEnd = StorePosition(24, 8);
  decoded = Decode(kCluster, Encode(kCluster, { NodeId("n"), report }));
  CHECK(decoded.has_value());
  CheckPosition({ 24, 8 },
                *std::get<LeaseReport>(decoded->mMessage).mDeclinedAtListEnd);
}
