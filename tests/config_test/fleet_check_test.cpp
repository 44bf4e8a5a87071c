#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include <fmt/format.h>

#include "acaciapulley/config/fleet_check.hpp"

namespace {

const std::string kFleet =
  R"({"max_body_bytes":1000,"head_timeout_ms":3000,"idle_timeout_ms":9000,"services":[)"
  R"({"name":"orders","health_path":"/h","max_connections":9},)"
  R"({"name":"stock","health_path":"/h","max_connections":9}],"routes":[)"
  R"({"name":"r1","host":"h","path_prefix":"/a/","idempotent":true,"open":false,"priority":2,)"
  R"("timeout_ms":1000,"target_ms":500,"max_attempts":2,"allowed_regions":["jawa"],)"
  R"("destinations":[{"service":"orders","weight":1},{"service":"stock","weight":3}]}],)"
  R"("accounts":[{"name":"toko","key_hashes":["1111111111111111111111111111111111111111111111111)"
  R"(111111111111111"],"rate":5,"burst":9,"allowed_regions":["jawa"]}]})";

std::string With(const std::string& from, const std::string& to)
{
  std::string text = kFleet;
  const auto at = text.find(from);
  BOOST_REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

std::vector<std::string> FindingsOf(const std::string& text)
{
  std::vector<std::string> lines;
  for (const auto& finding : acp::CheckFleet(text)) {
    lines.push_back(
      fmt::format("{} {}: {}", acp::NameOf(finding.severity), finding.path, finding.text));
  }
  return lines;
}

/// Returns the only finding.
std::string FindingOf(const std::string& text)
{
  const auto lines = FindingsOf(text);
  return lines.size() == 1 ? lines.front() : fmt::format("{}", fmt::join(lines, "; "));
}

std::vector<std::string> DifferencesOf(const std::string& before, const std::string& after)
{
  std::vector<std::string> lines;
  const auto differences = acp::CompareFleets(before, after);
  for (const auto& difference : differences.value()) {
    lines.push_back(fmt::format("{} {} {}",
                                acp::NameOf(difference.kind),
                                difference.entry,
                                fmt::join(difference.fields, ",")));
  }
  return lines;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_check)

// Guards against findings for a document without faults.
BOOST_AUTO_TEST_CASE(document_without_faults_has_no_findings)
{
  BOOST_TEST(FindingsOf(kFleet).empty());
}

// Guards against a document that control refuses and the check accepts, and against a finding
// without its place.
BOOST_AUTO_TEST_CASE(invalid_document_is_an_error_with_its_path)
{
  BOOST_TEST(FindingOf(With(R"("weight":3)", R"("weight":-1)"))
               .starts_with("error routes[0].destinations[1].weight: is -1"));
  BOOST_TEST(FindingOf("{").starts_with("error "));
  const std::string route =
    kFleet.substr(kFleet.find(R"({"name":"r1")"),
                  kFleet.find(R"(],"accounts")") - kFleet.find(R"({"name":"r1")"));
  std::string second = route;
  second.replace(second.find("r1"), 2, "r2");
  BOOST_TEST(FindingOf(With(route, route + "," + second)) ==
             "error routes[1].path_prefix: another route has the same host and prefix");
}

// Guards against entries that never match a request and are not reported.
BOOST_AUTO_TEST_CASE(entries_that_never_match_are_reported)
{
  BOOST_TEST(FindingOf(With(R"("weight":3)", R"("weight":0)")) ==
             "warning routes[0].destinations[1].weight: is 0: 'stock' gets no requests");
  BOOST_TEST(FindingOf(With(R"(,{"service":"stock","weight":3})", "")) ==
             "warning services[1]: no route leads to 'stock'");
  BOOST_TEST(FindingOf(With("\"" + std::string(64, '1') + "\"", "")) ==
             "warning accounts[0].key_hashes: is empty: no request has this account");
  BOOST_TEST(FindingOf(With(R"("burst":9,"allowed_regions":["jawa"])",
                            R"("burst":9,"allowed_regions":["bali"])")) ==
             "warning accounts[0].allowed_regions: has no region in common with route 'r1'");
}

// Guards against limits that contradict each other and are not reported.
BOOST_AUTO_TEST_CASE(contradicting_limits_are_reported)
{
  BOOST_TEST(FindingOf(With(R"("target_ms":500)", R"("target_ms":1001)")) ==
             "warning routes[0].target_ms: is above timeout_ms");
  BOOST_TEST(FindingOf(With(R"("target_ms":500)", R"("target_ms":1000)")).empty());
  BOOST_TEST(FindingOf(With(R"("burst":9)", R"("burst":0)")) ==
             "warning accounts[0].burst: is 0 with a rate; 1 is used");
  BOOST_TEST(FindingOf(With(R"("burst":9)", R"("burst":0.5)")) ==
             "error accounts[0].burst: is below one request: every request is refused");
  BOOST_TEST(FindingOf(With(R"("rate":5)", R"("rate":0)")) ==
             "warning accounts[0].burst: has no effect without a rate");
  // An error where the parser does not know the field.
  BOOST_TEST(FindingOf(With(R"("max_connections":9)", R"("max_connections":9,"warmup_rate":11)"))
               .find(" services[0].warmup_rate: ") != std::string::npos);
}

// Guards against a difference that is not shown, or shown with key hashes.
BOOST_AUTO_TEST_CASE(differences_are_listed_by_entry)
{
  using Lines = std::vector<std::string>;
  BOOST_TEST(DifferencesOf(kFleet, kFleet).empty());
  BOOST_TEST((DifferencesOf(kFleet, With(R"("timeout_ms":1000)", R"("timeout_ms":900)")) ==
              Lines{ "changed routes 'r1' timeout_ms" }));
  BOOST_TEST(
    (DifferencesOf(kFleet, With("1111", "2222")) == Lines{ "changed accounts 'toko' key_hashes" }));
  BOOST_TEST((DifferencesOf(kFleet, With(R"("name":"toko")", R"("name":"kios")")) ==
              Lines{ "removed accounts 'toko' ", "added accounts 'kios' " }));
  BOOST_TEST((DifferencesOf(kFleet, With(R"("max_body_bytes":1000)", R"("max_body_bytes":1)")) ==
              Lines{ "changed max_body_bytes " }));
  BOOST_TEST((DifferencesOf(With(R"(,"allowed_regions":["jawa"]}])", "}]"), kFleet) ==
              Lines{ "changed accounts 'toko' allowed_regions" }));
  BOOST_TEST(!acp::CompareFleets("{", kFleet).has_value());
  BOOST_TEST(!acp::CompareFleets(kFleet, "{").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
