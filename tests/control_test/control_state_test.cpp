#include <boost/test/unit_test.hpp>

#include <map>    // map
#include <random> // mt19937
#include <string> // string
#include <vector> // vector

#include "acaciapulley/control/control_state.hpp"
#include "acaciapulley/control/detail/control_wire.hpp"
#include "acaciapulley/control/detail/wire_codec.hpp"

namespace {

constexpr std::int64_t kStart = 1'700'000'000'000;

/// A state with a log whose entries can be applied to another state.
class Fixture
{
public:
  acp::wire::CommandReply Apply(acp::wire::ControlCommand command)
  {
    command.formatVersion = acp::kControlFormat;
    log.push_back(
      { { 1, log.size() + 1 }, acp::ToUnixMillis(now), acp::detail::EncodeWire(command) });
    acp::wire::CommandReply reply;
    BOOST_REQUIRE(acp::detail::DecodeWire(state->Apply(log.back()), &reply));
    return reply;
  }

  acp::wire::CommandReply Put(const std::string& requestId,
                              const std::string& service,
                              const std::string& body,
                              std::int64_t ifVersion)
  {
    acp::wire::ControlCommand command;
    command.__isset.putDocument = true;
    command.putDocument.origin = acp::detail::ToWire(acp::RequestOrigin{ "sari", requestId });
    command.putDocument.serviceName = service;
    command.putDocument.body = body;
    command.putDocument.ifVersion = ifVersion;
    return Apply(command);
  }

  acp::wire::CommandReply Issue(const std::string& requestId, const std::string& account)
  {
    acp::wire::ControlCommand command;
    command.__isset.issueKey = true;
    command.issueKey.origin = acp::detail::ToWire(acp::RequestOrigin{ "sari", requestId });
    command.issueKey.record =
      acp::detail::ToWire(acp::GenerateKey(account, acp::ToUnixMillis(now)).record);
    return Apply(command);
  }

  acp::wire::CommandReply Revoke(const std::string& requestId,
                                 const std::string& account,
                                 const std::string& keyId)
  {
    acp::wire::ControlCommand command;
    command.__isset.revokeKey = true;
    command.revokeKey.origin = acp::detail::ToWire(acp::RequestOrigin{ "sari", requestId });
    command.revokeKey.account = account;
    command.revokeKey.keyId = keyId;
    return Apply(command);
  }

  acp::wire::CommandReply Begin(const std::string& key, const std::string& attempt)
  {
    acp::wire::ControlCommand command;
    command.__isset.beginClaim = true;
    command.beginClaim.key.account = "workshop";
    command.beginClaim.key.serviceName = "orders";
    command.beginClaim.key.idempotencyKey = std::to_string(now / 1000) + "-" + key;
    command.beginClaim.attemptId = attempt;
    command.beginClaim.fingerprint = "f";
    command.beginClaim.deadlineMs = now + 1000;
    return Apply(command);
  }

  void Restart()
  {
    auto restored = std::make_unique<acp::ControlState>();
    BOOST_REQUIRE(restored->Restore(state->TakeSnapshot()));
    state = std::move(restored);
  }

  std::int64_t now = kStart;
  std::vector<acp::CommittedEntry> log;
  std::unique_ptr<acp::ControlState> state = std::make_unique<acp::ControlState>();
};

/// Documents and keys of a node that applies changes like StateCache.
struct NodeCopy
{
  std::int64_t version = 0;
  std::map<std::string, std::string> documents;
  std::map<std::string, std::string> keys;

  void ApplyChanges(const acp::StateChanges& changes)
  {
    BOOST_REQUIRE(changes.toVersion >= version);
    BOOST_REQUIRE((changes.isSnapshot || changes.fromVersion == version));
    if (changes.isSnapshot) {
      documents.clear();
      keys.clear();
    }
    for (const auto& document : changes.documents) {
      documents[document.service] = document.body;
    }
    for (const auto& key : changes.issuedKeys) {
      keys[key.id] = key.account;
    }
    for (const auto& id : changes.revokedKeyIds) {
      keys.erase(id);
    }
    version = changes.toVersion;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(control_state)

// P12. Guards against changes that are lost, reverted or only partly delivered to nodes. Random
// changes, stale versions, resends and restarts are compared with a simple model; after each poll,
// a node must hold exactly the documents and keys of the model.
BOOST_AUTO_TEST_CASE(random_changes_agree_with_a_model_across_restarts)
{
  for (unsigned int seed = 1; seed <= 10; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      std::mt19937 random(seed);
      Fixture fixture;
      std::map<std::string, std::int64_t> versions;
      NodeCopy model;
      std::vector<NodeCopy> nodes(3);
      for (int step = 0; step < 600; ++step) {
        fixture.now += static_cast<std::int64_t>(random() % 50);
        const std::string id = "request-" + std::to_string(step);
        const std::string service = "service-" + std::to_string(random() % 4);
        const auto before = fixture.state->Version();
        switch (random() % 8) {
          case 0:
          case 1:
          case 2: {
            const auto ifVersion = versions[service] - static_cast<std::int64_t>(random() % 2);
            const bool isCurrent = ifVersion == versions[service];
            const auto reply = fixture.Put(id, service, "body " + id, ifVersion);
            BOOST_TEST((reply.errorCode == 0) == isCurrent);
            if (isCurrent) {
              BOOST_TEST(reply.version == ++versions[service]);
              model.documents[service] = "body " + id;
            }
            const auto again = fixture.Put(id, service, "body " + id, ifVersion);
            BOOST_TEST(again.isResend);
            BOOST_TEST(again.version == reply.version);
            BOOST_TEST(again.errorCode == reply.errorCode);
            break;
          }
          case 3: {
            const auto reply = fixture.Issue(id, service);
            BOOST_TEST(reply.errorCode == 0);
            model.keys[reply.subject] = service;
            BOOST_TEST(fixture.Issue(id, service).subject == reply.subject);
            break;
          }
          case 4:
            if (!model.keys.empty()) {
              const auto [keyId, account] = *model.keys.begin();
              BOOST_TEST(fixture.Revoke(id, "other", keyId).errorCode != 0);
              BOOST_TEST(fixture.Revoke(id + "-b", account, keyId).errorCode == 0);
              model.keys.erase(keyId);
            }
            break;
          case 5:
            fixture.Restart();
            break;
          default: {
            NodeCopy& node = nodes[random() % nodes.size()];
            node.ApplyChanges(fixture.state->ChangesSince(node.version));
            BOOST_TEST((node.documents == model.documents));
            BOOST_TEST((node.keys == model.keys));
          }
        }
        BOOST_REQUIRE(fixture.state->Version() >= before);
      }
      // Replicas that applied the same entries must be byte-identical, also after a restore.
      acp::ControlState replica;
      for (const auto& entry : fixture.log) {
        replica.Apply(entry);
      }
      BOOST_TEST((replica.TakeSnapshot() == fixture.state->TakeSnapshot()));
    }
  }
}

// P12. Guards against accepting two changes that are based on the same version, and against
// applying a different change under a used request id.
BOOST_AUTO_TEST_CASE(only_one_of_two_changes_from_the_same_version_is_accepted)
{
  Fixture fixture;
  BOOST_TEST(fixture.Put("request-1", "orders", "a", 0).version == 1);
  BOOST_TEST(fixture.Put("request-2", "orders", "b", 1).version == 2);
  const auto refused = fixture.Put("request-3", "orders", "c", 1);
  BOOST_TEST(refused.errorCode == static_cast<int>(acp::ControlErrorCode::VersionConflict));
  BOOST_TEST(refused.message.find("sari") != std::string::npos);
  BOOST_TEST(fixture.state->DocumentOf("orders")->body == "b");
  const auto reused = fixture.Put("request-2", "orders", "c", 2);
  BOOST_TEST(reused.errorCode == static_cast<int>(acp::ControlErrorCode::RequestIdReused));
  BOOST_TEST(fixture.state->DocumentOf("orders")->version == 2);
  const auto audit = fixture.state->AuditEntriesFrom(1, 10);
  BOOST_REQUIRE(audit.size() == 2U);
  BOOST_TEST(audit[1].number == 2);
  BOOST_TEST(audit[1].fromVersion == 1);
  BOOST_TEST(audit[1].toVersion == 2);
  BOOST_TEST(audit[1].operatorName == "sari");
  BOOST_TEST(audit[1].requestId == "request-2");
}

// P12. Guards against an older version after a restart that follows hundreds of changes, and
// against nodes that miss changes because they are further behind than the retained changes.
BOOST_AUTO_TEST_CASE(nodes_far_behind_get_a_snapshot)
{
  Fixture fixture;
  for (int i = 0; i < 1005; ++i) {
    fixture.Put("request-" + std::to_string(i), "orders", "body " + std::to_string(i), i);
  }
  BOOST_TEST(fixture.state->ChangesSince(4).isSnapshot);
  const auto delta = fixture.state->ChangesSince(5);
  BOOST_TEST(!delta.isSnapshot);
  BOOST_TEST(delta.documents.size() == 1U);
  BOOST_TEST(fixture.state->ChangesSince(0).isSnapshot);
  BOOST_TEST(fixture.state->ChangesSince(1006).isSnapshot);
  fixture.Restart();
  BOOST_TEST(fixture.state->Version() == 1005);
  BOOST_TEST(fixture.state->DocumentOf("orders")->body == "body 1004");
  BOOST_TEST(fixture.state->History("orders").size() == acp::kMaxDocumentHistory);
  BOOST_TEST(!fixture.state->ChangesSince(1005).isSnapshot);
  BOOST_TEST(fixture.state->ChangesSince(1004).isSnapshot);
}

// P9. Guards against claims that are lost on a restart, and against request ids that are never
// removed from memory.
BOOST_AUTO_TEST_CASE(claims_and_request_ids_survive_a_restart_until_they_expire)
{
  Fixture fixture;
  const auto granted = acp::wire::ClaimState::GRANTED;
  const auto inProgress = acp::wire::ClaimState::IN_PROGRESS;
  BOOST_TEST((fixture.Begin("order-0001", "a1").claim.state == granted));
  fixture.Issue("request-1", "workshop");
  fixture.Restart();
  BOOST_TEST((fixture.Begin("order-0001", "a2").claim.state == inProgress));
  BOOST_TEST((fixture.Begin("order-0001", "a1").claim.state == granted));
  BOOST_TEST(fixture.Issue("request-1", "workshop").isResend);
  fixture.now += acp::kRequestRetention.count();
  BOOST_TEST(!fixture.Issue("request-1", "workshop").isResend);
  fixture.Begin("order-0002", "a1");
  BOOST_TEST(fixture.state->ClaimCount() == 1U);
}

// Guards against an undecodable entry that stops all replicas, and against replicas that diverge on
// entries of a newer program.
BOOST_AUTO_TEST_CASE(an_unreadable_entry_is_refused_and_a_newer_format_stops_the_replica)
{
  Fixture fixture;
  acp::wire::CommandReply reply;
  const auto bytes = fixture.state->Apply({ { 1, 1 }, acp::ToUnixMillis(kStart), "\xff\x01" });
  BOOST_REQUIRE(acp::detail::DecodeWire(bytes, &reply));
  BOOST_TEST(reply.errorCode == static_cast<int>(acp::ControlErrorCode::InvalidCommand));
  acp::wire::ControlCommand newer;
  newer.formatVersion = acp::kControlFormat + 1;
  const std::string encoded = acp::detail::EncodeWire(newer);
  BOOST_CHECK_THROW(fixture.state->Apply({ { 1, 2 }, acp::ToUnixMillis(kStart), encoded }),
                    std::runtime_error);
  BOOST_TEST(!fixture.state->Restore("no snapshot"));
}

BOOST_AUTO_TEST_SUITE_END()
