#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "acaciapulley/config/service_document.hpp"

namespace {

std::string WithClass(const std::string& fields)
{
  return R"({"service":"orders","accounts":[{"name":"a","rate":1,"burst":1}],"classes":[)"
         R"({"name":"read","methods":["GET"],"path":"/orders/*","priority":5,"idempotent":true,)"
         R"("deadline_ms":100},{)" +
         fields + "}]}";
}

std::string ErrorOf(const std::string& text)
{
  const auto parsed = acp::ServiceDocument::Parse(text);
  return parsed ? "" : parsed.error().Describe();
}

} // namespace

BOOST_AUTO_TEST_SUITE(service_document)

// Guards against an invalid document that is accepted and interpreted differently from what its
// author intended.
BOOST_AUTO_TEST_CASE(invalid_fields_are_rejected_with_their_path)
{
  const std::string base = R"("methods":["GET"],"idempotent":true,"deadline_ms":100,)";
  BOOST_TEST(ErrorOf("{").starts_with("[100 malformed_document]"));
  BOOST_TEST(ErrorOf("[]") == "[100 malformed_document] document: is not a JSON object");
  BOOST_TEST(ErrorOf(WithClass(base + R"("name":"b","path":"/b","priority":-1)")) ==
             "[100 malformed_document] classes[1].priority: is -1, allowed is 0 to 9");
  BOOST_TEST(ErrorOf(WithClass(base + R"("name":"b","path":"/b","prority":1,"priority":1)")) ==
             "[100 malformed_document] classes[1].prority: is not a known field");
  BOOST_TEST(ErrorOf(WithClass(base + R"("name":"read","path":"/b","priority":1)")) ==
             "[102 duplicate_name] classes[1].name: 'read' is a duplicate");
  BOOST_TEST(ErrorOf(WithClass(base + R"("name":"b","path":"/orders/new","priority":1)")) ==
             "[104 overlapping_pattern] classes[1].path: '/orders/new' overlaps '/orders/*' of "
             "class 'read'");
  BOOST_TEST(ErrorOf(WithClass(base + R"("name":"b","path":"/**/x","priority":1)")) ==
             "[103 invalid_pattern] classes[1].path: has ** before the last segment");
  BOOST_TEST(ErrorOf(WithClass(base + R"("name":"B c","path":"/b","priority":1)"))
               .starts_with("[101 invalid_name] classes[1].name"));
}

// Guards against requests that are assigned to the wrong class or to none.
BOOST_AUTO_TEST_CASE(class_is_matched_by_method_and_path_pattern)
{
  const auto parsed = acp::ServiceDocument::Parse(
    WithClass(R"("name":"files","methods":["GET","HEAD"],"path":"/files/**","priority":1,)"
              R"("idempotent":true,"deadline_ms":100)"));
  BOOST_REQUIRE(parsed);
  const auto& document = parsed.value();
  BOOST_TEST(document.Match("GET", "/orders/7")->name == "read");
  BOOST_TEST(document.Match("GET", "/files/a/b")->name == "files");
  BOOST_TEST((document.Match("POST", "/orders/7") == nullptr));
  BOOST_TEST((document.Match("GET", "/orders/7/lines") == nullptr));
  BOOST_TEST((document.Match("GET", "/orders/") == nullptr));
  BOOST_TEST((document.FindLimit("b") == nullptr));
}

// Guards against example documents that are no longer valid.
BOOST_AUTO_TEST_CASE(all_examples_are_valid)
{
  int count = 0;
  const std::filesystem::path root = std::filesystem::path(ACP_SOURCE_DIR) / "examples";
  for (const auto& entry : std::filesystem::recursive_directory_iterator(root)) {
    if (entry.path().extension() != ".json") {
      continue;
    }
    std::ostringstream text;
    text << std::ifstream(entry.path()).rdbuf();
    BOOST_TEST(ErrorOf(text.str()) == "", entry.path().string());
    ++count;
  }
  BOOST_TEST(count == 8);
}

BOOST_AUTO_TEST_SUITE_END()
