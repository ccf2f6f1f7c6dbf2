#ifndef VANILLASCALE_TEST_PROPERTIES_H
#define VANILLASCALE_TEST_PROPERTIES_H

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <rapidcheck.h>
#include <string>

/** Runs a RapidCheck property under a fixed seed, so that CI's verdict is the
 * same in every run. VANILLASCALE_TEST_SEED and VANILLASCALE_TEST_CASES choose
 * others by hand. Returns whether the property held. */
template<typename Property>
bool
PropertyHolds(const char* aName, int aCases, Property aProperty)
{
  const char* seed = std::getenv("VANILLASCALE_TEST_SEED");
  const char* cases = std::getenv("VANILLASCALE_TEST_CASES");
  int n = cases ? std::min(std::atoi(cases), aCases) : aCases;
  std::string parameters = "seed=" + std::string(seed ? seed : "1") +
                           " max_success=" + std::to_string(n) + " noshrink=1";
  ::setenv("RC_PARAMS", parameters.c_str(), 1);
  rc::detail::TestMetadata metadata;
  metadata.id = aName;
  metadata.description = aName;
  rc::detail::TestParams params = rc::detail::configuration().testParams;
  params.seed = std::strtoull(seed ? seed : "1", nullptr, 10);
  params.maxSuccess = n;
  params.disableShrinking = true;
  auto result =
    rc::detail::checkTestable(std::move(aProperty), metadata, params);
  rc::detail::printResultMessage(result, std::cerr);
  std::cerr << "\n";
  return result.template is<rc::detail::SuccessResult>();
}

#endif
