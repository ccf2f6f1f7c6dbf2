#ifndef VANILLASCALE_DOCUMENTDIFFERENCES_H
#define VANILLASCALE_DOCUMENTDIFFERENCES_H

#include "DocumentReview.h"

#include <string>
#include <vector>

namespace vanillascale {

/** What happened to an object from one document to the next. */
enum class DifferenceKind
{
  Added,
  Removed,
  Changed
};

/** A member of an object that has another value. */
struct MemberDifference
{
  std::string mName;
  /** The values as JSON text; empty where the member has its default and is not
   * set. */
  std::string mFrom;
  std::string mTo;
};

/** An object that differs between two documents. */
struct ObjectDifference
{
  DifferenceKind mKind = DifferenceKind::Changed;
  /** "limits", "service", "route" or "account". */
  std::string mType;
  /** Empty for the limits. */
  std::string mName;
  /** Empty unless the object was changed. */
  std::vector<MemberDifference> mMembers;
  /** Numbers of an account's keys; neither keys nor their digests are part of a
   * difference. */
  std::size_t mAddedKeys = 0;
  std::size_t mRemovedKeys = 0;
};

/** Returns the differences from a document to the next, in a fixed order. Pure;
 * any thread. */
std::vector<ObjectDifference>
CompareDocuments(const Document& aFrom, const Document& aTo);

/** Returns what is remarkable in the step from the document in force to the
 * next. A document without an environment stands for none in force. Pure; any
 * thread. */
std::vector<Finding>
ReviewTransition(const Document& aFrom, const Document& aTo);

/** Returns "added", "removed" or "changed". Pure. */
const char*
DifferenceKindName(DifferenceKind aKind);

} // namespace vanillascale

#endif
