#include "pipeline_documents.hpp"

#include "acaciapulley/accounts/key_table.hpp"
#include "acaciapulley/core/random.hpp"
#include "pipeline_fixture.hpp"

namespace acp::test {

namespace {

struct FleetRouteSpec
{
  std::string prefix;
  bool isIdempotent = true;
  bool isOpen = false;
  int targetMs = 100'000;
  std::string service = "front";
};

std::string FleetRouteJson(const std::string& name, const FleetRouteSpec& route)
{
  const auto text = [](bool value) { return value ? "true" : "false"; };
  return R"({"name":")" + name + R"(","host":"h","path_prefix":")" + route.prefix +
         R"(","idempotent":)" + text(route.isIdempotent) + R"(,"open":)" + text(route.isOpen) +
         R"(,"priority":4,"timeout_ms":100000,"target_ms":)" + std::to_string(route.targetMs) +
         R"(,"max_attempts":2,"destinations":[{"service":")" + route.service + R"(","weight":1}]})";
}

std::string FleetAccountJson(const std::string& name, const char* key, int rate)
{
  return R"({"name":")" + name + R"(","key_hashes":[")" + ToHex(HashKey(key)) +
         R"("],"priority":1,"rate":)" + std::to_string(rate) + R"(,"burst":)" +
         std::to_string(rate) + "}";
}

} // namespace

std::string ServiceDocumentText(const std::string& service)
{
  return R"({"service":")" + service +
         R"(","accounts":[{"name":"a","rate":5000,"burst":5000},{"name":"b","rate":5000,)"
         R"("burst":5000},{"name":"poor","rate":1,"burst":1}],"classes":[)"
         R"({"name":"order","methods":["POST"],"path":"/orders","priority":0,"idempotent":false,)"
         R"("deadline_ms":20000,"max_body_bytes":1000},)"
         R"({"name":"read","methods":["GET"],"path":"/items/*","priority":5,"idempotent":true,)"
         R"("deadline_ms":20000},{"name":"open","methods":["GET"],"path":"/open","priority":5,)"
         R"("idempotent":true,"open":true,"deadline_ms":20000}]})";
}

namespace {

std::string FleetDocumentTextWithAccounts(const std::string& accounts)
{
  return R"({"max_body_bytes":1000,"head_timeout_ms":3000,"idle_timeout_ms":9000,"services":[)"
         R"({"name":"front","health_path":"","max_connections":100},)"
         R"({"name":"back","health_path":"","max_connections":100}],"routes":[)" +
         FleetRouteJson("order", { .prefix = "/orders/", .isIdempotent = false }) + "," +
         FleetRouteJson("read", { .prefix = "/items/" }) + "," +
         FleetRouteJson("quick-order",
                        { .prefix = "/quick/orders/", .isIdempotent = false, .targetMs = 1000 }) +
         "," + FleetRouteJson("quick-read", { .prefix = "/quick/items/", .targetMs = 1000 }) + "," +
         FleetRouteJson("nested", { .prefix = "/nested/", .isOpen = true }) + "," +
         FleetRouteJson("stock", { .prefix = "/stock/", .isOpen = true, .service = "back" }) +
         R"(],"accounts":[)" + accounts + "]}";
}

} // namespace

std::string FleetDocumentText(bool hasAccounts)
{
  return FleetDocumentTextWithAccounts(hasAccounts
                                         ? FleetAccountJson("unlimited", kUnlimitedKey, 0) + "," +
                                             FleetAccountJson("limited", kLimitedKey, kLimitedRate)
                                         : "");
}

std::string FleetDocumentTextWith(const std::map<std::string, const char*>* keysByAccount)
{
  if (keysByAccount == nullptr) {
    return FleetDocumentTextWithAccounts("");
  }
  std::string accounts;
  for (const auto& [account, key] : *keysByAccount) {
    accounts += (accounts.empty() ? "" : ",") + FleetAccountJson(account, key, 0);
  }
  std::string text = FleetDocumentTextWithAccounts(accounts);
  text.insert(text.size() - 1, R"(,"keys_required":true)");
  return text;
}

} // namespace acp::test
