#ifndef VANILLASCALE_CONFIGFOLD_H
#define VANILLASCALE_CONFIGFOLD_H

#include "Document.h"
#include "Messages.h"
#include "RouteTable.h"
#include "StorePosition.h"

#include <deque>
#include <variant>

namespace vanillascale {

/** The author and the offset of the latest accepted change to an object. */
struct ObjectModification
{
  std::string mWho;
  LogOffset mOffset = 0;
};

/** The configuration at one offset of its stream. Nodes at the same offset have
 * the same state, since the fold depends on nothing but the records. */
struct ConfigState
{
  Document mDocument;
  /** Index of the document's routes, updated together with the document. */
  RouteTable mRoutes;
  /** Index of the document's accounts, updated together with the document. */
  AccountIndex mAccounts;
  /** The offset in the configuration stream; 0 with documents of a keyed topic.
   */
  LogOffset mOffset = 0;
  /** The position of the document in its keyed topic; the first one with a
   * configuration stream. */
  StorePosition mPosition{};
  /** Keyed by ObjectKey(). Entries of removed objects are kept. */
  std::map<std::string, ObjectModification> mLastModifications;
  /** Ids of the latest accepted changes, oldest first, to detect repeats. */
  std::deque<std::string> mAcceptedIds;
};

/** Returns the position of a configuration, which is that of another one only
 * if both are the same. Those of a configuration stream have no era. Pure. */
inline StorePosition
ConfigPosition(const ConfigState& aState)
{
  return aState.mOffset > 0 ? StorePosition(0, aState.mOffset)
                            : aState.mPosition;
}

/** The change was accepted and is applied. */
struct ChangeAccepted
{};
/** A change with the same id was accepted earlier, or the record is not newer
 * than the state; the record changes nothing. */
struct ChangeDuplicate
{};
/** The change is rejected because one of its objects is no longer at the
 * version that the change is based on. */
struct ChangeConflict
{
  std::string mObject;
  ObjectModification mLastModification;
};
/** The change is rejected because it, or the document that results from it, is
 * invalid. */
struct ChangeInvalid
{
  std::vector<DocumentFault> mFaults;
};
/** The record is a checkpoint of an earlier state; it changes nothing. */
struct CheckpointSkipped
{};
/** The record is neither a change nor a checkpoint that this version can parse;
 * every node skips it. */
struct RecordUnrecognized
{};

/** The result of folding one record. It is the same on every node. */
using RecordVerdict = std::variant<ChangeAccepted,
                                   ChangeDuplicate,
                                   ChangeConflict,
                                   ChangeInvalid,
                                   CheckpointSkipped,
                                   RecordUnrecognized>;

/** The replacement, creation or removal of one object. */
struct ObjectChange
{
  /** "service", "route" or "account". */
  std::string mType;
  std::string mName;
  /** The version of the object that the change is based on; 0 if the object did
   * not exist. */
  LogOffset mBaseVersion = 0;
  /** The new value as JSON in the form of FormatService(), FormatRoute() or
   * FormatAccount(); empty if the object is removed. */
  std::string mValue;
};

/** A set of object changes that an operator promotes. It is applied as a whole
 * or not at all. */
struct Change
{
  /** Set by the operator's tool. A change is accepted once per id, so that it
   * can be appended again safely. */
  std::string mId;
  std::string mWho;
  std::string mEnvironment;
  std::vector<ObjectChange> mObjects;
};

/** Returns the key of an object in ConfigState::mLastModifications:
 * "service/NAME", "route/NAME" or "account/NAME". Pure; any thread. */
std::string
ObjectKey(const std::string& aType, const std::string& aName);

/** Folds one record into the state and returns the verdict on it.
 *
 * Precondition: aRecord.mOffset is above aState.mOffset. A record at or below
 * it changes nothing and is reported as ChangeDuplicate, so that the state
 * never reverts to an older configuration. Has no side effects except on
 * aState; not thread safe. */
RecordVerdict
FoldRecord(ConfigState& aState, const LogRecord& aRecord);

/** Returns the route that a request matches, or null. Pure. */
const Route*
FindRoute(const ConfigState& aState,
          std::string_view aMethod,
          std::string_view aPath,
          std::string_view aHost = {});

/** Returns the account that holds an API key, or null. Pure. */
const ClientAccount*
FindAccount(const ConfigState& aState, std::string_view aApiKey);

/** Returns the account with an id of AccountIdOf(), or null. Pure. */
const ClientAccount*
FindAccountById(const ConfigState& aState, std::uint64_t aAccount);

/** Returns a change as the payload of a log record. Pure; any thread. */
std::string
FormatChange(const Change& aChange);

/** Parses a change. Returns an error if the payload is not a change. Pure; any
 * thread. */
tl::expected<Change, std::string>
ParseChange(const std::string& aPayload);

/** Returns the state as the payload of a checkpoint. Pure; any thread. */
std::string
FormatCheckpoint(const ConfigState& aState);

/** Parses a checkpoint. Returns an error if the payload is not a checkpoint or
 * its content does not match the hash that it contains. Pure; any thread. */
tl::expected<ConfigState, std::string>
ParseCheckpoint(const std::string& aPayload);

/** Returns the object changes that turn the document of aFrom into aTo, each
 * with its base version, in a fixed order. Pure; any thread. */
std::vector<ObjectChange>
DiffDocument(const ConfigState& aFrom, const Document& aTo);

/** Returns a verdict as one line of text for operators. Pure; any thread. */
std::string
DescribeVerdict(const RecordVerdict& aVerdict);

} // namespace vanillascale

#endif
