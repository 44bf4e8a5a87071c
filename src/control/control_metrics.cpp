#include "acaciapulley/control/detail/control_metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace acp::detail {

class ControlMetrics::Impl
{
public:
  Impl()
    : calls_(Counters("acp_control_calls_total", "Calls of nodes by result"))
    , proposalFailures_(
        Counters("acp_control_proposal_failures_total", "Proposals without a result"))
    , operatorRequests_(
        Counters("acp_control_operator_requests_total", "Operators' requests by status"))
  {
  }

  prometheus::Family<prometheus::Counter>& Calls() { return calls_; }
  prometheus::Family<prometheus::Counter>& ProposalFailures() { return proposalFailures_; }
  prometheus::Family<prometheus::Counter>& OperatorRequests() { return operatorRequests_; }

  void Set(const std::string& name, const std::string& help, double value)
  {
    prometheus::BuildGauge().Name(name).Help(help).Register(registry_).Add({}).Set(value);
  }

  std::string Serialize() { return prometheus::TextSerializer().Serialize(registry_.Collect()); }

private:
  prometheus::Family<prometheus::Counter>& Counters(const std::string& name,
                                                    const std::string& help)
  {
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry_);
  }

  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>& calls_;
  prometheus::Family<prometheus::Counter>& proposalFailures_;
  prometheus::Family<prometheus::Counter>& operatorRequests_;
};

ControlMetrics::ControlMetrics()
  : impl_(std::make_unique<Impl>())
{
}

ControlMetrics::~ControlMetrics() = default;

void ControlMetrics::CountCall(std::string_view call, std::string_view result)
{
  impl_->Calls()
    .Add({ { "call", std::string(call) }, { "result", std::string(result) } })
    .Increment();
}

void ControlMetrics::CountProposalFailure(std::string_view error)
{
  impl_->ProposalFailures().Add({ { "error", std::string(error) } }).Increment();
}

void ControlMetrics::CountOperatorRequest(int status)
{
  impl_->OperatorRequests().Add({ { "status", std::to_string(status) } }).Increment();
}

std::string ControlMetrics::Render(const ControlGauges& gauges)
{
  impl_->Set("acp_control_leader", "1 when this replica leads", gauges.isLeader ? 1 : 0);
  impl_->Set("acp_control_term", "Term of the replicated log", gauges.term);
  impl_->Set("acp_control_commit_index", "Last committed entry", gauges.commitIndex);
  impl_->Set("acp_control_log_bytes", "Memory of the entries that are kept", gauges.logBytes);
  impl_->Set("acp_control_applied_index", "Last applied entry", gauges.appliedIndex);
  impl_->Set("acp_control_state_version", "Version of documents and keys", gauges.stateVersion);
  impl_->Set("acp_control_confirmed_version",
             "Smallest version confirmed by a live node, on the leader",
             gauges.smallestConfirmed);
  impl_->Set("acp_control_nodes", "Nodes that poll this leader", gauges.nodes);
  impl_->Set("acp_control_members", "Upstreams with a lease", gauges.members);
  impl_->Set("acp_control_claims", "Claims of the last 24 h", gauges.claims);
  impl_->Set("acp_evacuated_data_centres",
             "Data centres whose upstreams get no requests",
             gauges.evacuatedDataCentres);
  impl_->Set("acp_control_audit_entries", "Entries of the audit trail", gauges.auditEntries);
  return impl_->Serialize();
}

} // namespace acp::detail
