#include "WeightedRoundRobin.h"

#include <CppUTest/TestHarness.h>
#include <map>

using namespace vanillascale;

TEST_GROUP(RouteShares){};

/** Guards against shares that depend on chance when each proxy receives few
 * requests: 48 proxies with four requests of a route each, as under the users'
 * load. */
TEST(RouteShares, AreNearTheWeightsWithFewRequestsPerProxy)
{
  std::vector<RouteShare> shares{ { ServiceName("a"), 90 },
                                  { ServiceName("b"), 10 } };
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    Random random;
    random.seed(seed);
    std::map<ServiceName, int> counts;
    for (int node = 0; node < 48; ++node) {
      WeightedRoundRobin roundRobin;
      for (int i = 0; i < 4; ++i) {
        ++counts[PickService(roundRobin, shares, random)];
      }
    }
    double share = counts[ServiceName("b")] / (48.0 * 4);
    CHECK(share > 0.03 && share < 0.17);
  }
}

TEST(RouteShares, OfOneProxyMatchTheWeightsOverManyRequests)
{
  std::vector<RouteShare> shares{ { ServiceName("a"), 3 },
                                  { ServiceName("b"), 1 },
                                  { ServiceName("off"), 0 } };
  Random random;
  random.seed(1);
  WeightedRoundRobin roundRobin;
  std::map<ServiceName, int> counts;
  for (int i = 0; i < 400; ++i) {
    ++counts[PickService(roundRobin, shares, random)];
  }
  CHECK(counts[ServiceName("a")] >= 299 && counts[ServiceName("a")] <= 301);
  LONGS_EQUAL(0, counts[ServiceName("off")]);
}

TEST(RouteShares, FollowNewWeightsImmediately)
{
  Random random;
  random.seed(1);
  WeightedRoundRobin roundRobin;
  PickService(roundRobin, { { ServiceName("a"), 1 } }, random);
  const std::vector<RouteShare> next{ { ServiceName("b"), 1 } };
  STRCMP_EQUAL("b", PickService(roundRobin, next, random).mValue.c_str());
}
