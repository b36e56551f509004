#include "serving/configuration.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace limpetbridge::serving;

class route_table_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(route_table_test);
  CPPUNIT_TEST(find_nestedPrefixes_returnsLongest);
  CPPUNIT_TEST(find_unknownHostOrPath_returnsNull);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    configuration Configuration;
    for (const auto *Prefix : {"/a/", "/a/b/"}) {
      route Route;
      Route.Host = "one.example";
      Route.Name = Prefix;
      Route.Prefix = Prefix;
      Configuration.Routes.push_back(Route);
    }
    Table = route_table(Configuration);
  }

  auto find_nestedPrefixes_returnsLongest() -> void {
    CPPUNIT_ASSERT_EQUAL(std::string("/a/b/"),
                         Table.find("one.example", "/a/b/c")->Name);
    CPPUNIT_ASSERT_EQUAL(std::string("/a/"),
                         Table.find("one.example", "/a/bc")->Name);
  }

  auto find_unknownHostOrPath_returnsNull() -> void {
    CPPUNIT_ASSERT(Table.find("two.example", "/a/") == nullptr);
    CPPUNIT_ASSERT(Table.find("one.example", "/b/") == nullptr);
  }

private:
  route_table Table;
};

CPPUNIT_TEST_SUITE_REGISTRATION(route_table_test);

} // namespace
