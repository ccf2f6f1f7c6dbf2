// Guards against a contact record that the store or another node cannot read,
// and against records of other writers that are taken for a node.

#include "StoreFormat.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;

TEST_GROUP(ContactRecord){};

TEST(ContactRecord, IsReadAsWritten)
{
  NodeId node("10.1.0.35:8146");
  STRCMP_EQUAL(node.mValue.c_str(),
               ParseContact(FormatContact(node)).mValue.c_str());
}

TEST(ContactRecord, IsAppendedInTheFormatOfTheStore)
{
  std::string end(16, '\0');
  end[7] = 6;
  std::string value = FormatContact(NodeId("10.1.0.35:8146"));
  auto batch = ParseStoreRecords(end + FormatStoreRecord("test", value), 5);
  CHECK(batch.has_value());
  LONGS_EQUAL(1, batch->mRecords.size());
  STRCMP_EQUAL("test", batch->mRecords[0].mKey.c_str());
  STRCMP_EQUAL(value.c_str(), batch->mRecords[0].mValue.c_str());
}

TEST(ContactRecord, OfAnotherWriterNamesNoNode)
{
  for (const char* it : { "",
                          "node",
                          "{}",
                          "[]",
                          "7",
                          R"({"node":7})",
                          R"({"node":""})",
                          R"({"node":"10.1.0.35"})",
                          R"({"node":"10.1.0.35:0"})",
                          R"({"node":"example:80"})" }) {
    CHECK_TEXT(ParseContact(it).mValue.empty(), it);
  }
}
