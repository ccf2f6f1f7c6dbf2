#ifndef VANILLASCALE_TEST_PROPERTIES_H
#define VANILLASCALE_TEST_PROPERTIES_H

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <rapidcheck.h>
#include <string>

/** Checks a RapidCheck property with up to aCases cases and returns whether it
 * held. The seed is fixed, so that every CI run has the same result.
 * VANILLASCALE_TEST_SEED overrides the seed; VANILLASCALE_TEST_CASES lowers the
 * number of cases. */
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
