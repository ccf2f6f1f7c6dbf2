#ifndef VANILLASCALE_OBJECTREADER_H
#define VANILLASCALE_OBJECTREADER_H

#include "Document.h"
#include "DocumentLimits.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <set>

namespace vanillascale {

/** Reads the members of a JSON object and records every fault.
 *
 * A member with a fault is read as an empty, minimum or default value, so that
 * reading continues and all faults of a document are reported together. The
 * object and the list of faults must outlive the reader. Not thread safe. */
class ObjectReader
{
public:
  ObjectReader(const nlohmann::json& aObject,
               std::string aPointer,
               std::vector<DocumentFault>& aFaults)
    : mObject(aObject)
    , mPointer(std::move(aPointer))
    , mFaults(aFaults)
  {
    if (!mObject.is_object()) {
      AddFault("", "must be an object");
    }
  }

  /** Returns a required member that is a string of 1 to aMaxLength bytes. */
  std::string ReadString(const char* aMember,
                         std::size_t aMaxLength = kMaxNameLength)
  {
    const nlohmann::json* value = FindMember(aMember, true);
    if (!value) {
      return {};
    }
    if (!value->is_string() || value->get_ref<const std::string&>().empty() ||
        value->get_ref<const std::string&>().size() > aMaxLength) {
      AddFault(aMember,
               "must be a string of 1 to " + std::to_string(aMaxLength) +
                 " characters");
      return {};
    }
    return value->get<std::string>();
  }

  /** Returns an optional string member; an empty string if it is missing. */
  std::string ReadOptionalString(const char* aMember,
                                 std::size_t aMaxLength = kMaxNameLength)
  {
    return FindMember(aMember, false) ? ReadString(aMember, aMaxLength)
                                      : std::string();
  }

  /** Returns an optional array member; null if it is missing or not an array.
   */
  const nlohmann::json* ReadOptionalArray(const char* aMember)
  {
    const nlohmann::json* value = FindMember(aMember, false);
    if (value && !value->is_array()) {
      AddFault(aMember, "must be an array");
      return nullptr;
    }
    return value;
  }

  /** Returns an integer member from aMin to aMax; required if there is no
   * default. */
  unsigned ReadUnsigned(const char* aMember,
                        unsigned aMin,
                        unsigned aMax,
                        std::optional<unsigned> aDefault)
  {
    const nlohmann::json* value = FindMember(aMember, !aDefault);
    if (!value) {
      return aDefault.value_or(aMin);
    }
    bool isInRange = value->is_number_unsigned() &&
                     value->get<std::uint64_t>() >= aMin &&
                     value->get<std::uint64_t>() <= aMax;
    if (!isInRange) {
      AddFault(aMember,
               "must be an integer from " + std::to_string(aMin) + " to " +
                 std::to_string(aMax) + ", is " + value->dump());
      return aMin;
    }
    return value->get<unsigned>();
  }

  /** Returns an optional number from 0 to aMax; 0 if it is missing. Records
   * aProblem if it is anything else. */
  double ReadNumber(const char* aMember, double aMax, const char* aProblem)
  {
    const nlohmann::json* value = FindMember(aMember, false);
    if (!value) {
      return 0;
    }
    double number = value->is_number() ? value->get<double>() : -1;
    // NaN fails the comparison as well.
    bool isAllowed = number >= 0 && number <= aMax;
    if (!isAllowed) {
      AddFault(aMember, aProblem);
      return 0;
    }
    return number;
  }

  /** Returns an optional boolean member; aDefault if it is missing. */
  bool ReadBool(const char* aMember, bool aDefault)
  {
    const nlohmann::json* value = FindMember(aMember, false);
    if (!value) {
      return aDefault;
    }
    if (!value->is_boolean()) {
      AddFault(aMember, "must be true or false, is " + value->dump());
      return aDefault;
    }
    return value->get<bool>();
  }

  /** Records a fault of a member, or of the object itself if aMember is empty.
   */
  void AddFault(const std::string& aMember, std::string aProblem)
  {
    std::string pointer = aMember.empty() ? mPointer : mPointer + "/" + aMember;
    mFaults.push_back({ std::move(pointer), std::move(aProblem) });
  }

  /** Records a fault for each member that no call has read. */
  void RejectUnknownMembers()
  {
    if (!mObject.is_object()) {
      return;
    }
    for (const auto& it : mObject.items()) {
      if (mKnownMembers.count(it.key()) == 0) {
        AddFault(it.key(), "is not a known member");
      }
    }
  }

private:
  /** Returns a member and marks its name as known; null if it is missing, which
   * is a fault if aRequired is set. */
  const nlohmann::json* FindMember(const char* aMember, bool aRequired)
  {
    mKnownMembers.insert(aMember);
    if (!mObject.is_object()) {
      return nullptr;
    }
    auto it = mObject.find(aMember);
    if (it != mObject.end()) {
      return &*it;
    }
    if (aRequired) {
      AddFault(aMember, "is missing");
    }
    return nullptr;
  }

  const nlohmann::json& mObject;
  std::string mPointer;
  std::vector<DocumentFault>& mFaults;
  std::set<std::string> mKnownMembers;
};

} // namespace vanillascale

#endif
