#pragma once

/// @file
/// Includes all public headers of acaciapulley. Programs should include only the headers that they
/// use; this one is for first experiments and for code that embeds the whole library.

// core
#include "acaciapulley/core/change_signal.hpp"
#include "acaciapulley/core/clock.hpp"
#include "acaciapulley/core/error.hpp"
#include "acaciapulley/core/event_loop.hpp"
#include "acaciapulley/core/json_check.hpp"
#include "acaciapulley/core/json_reader.hpp"
#include "acaciapulley/core/log.hpp"
#include "acaciapulley/core/names.hpp"
#include "acaciapulley/core/outcome.hpp"
#include "acaciapulley/core/process_epoch.hpp"
#include "acaciapulley/core/random.hpp"
#include "acaciapulley/core/wait_point.hpp"

// config
#include "acaciapulley/config/config_error.hpp"
#include "acaciapulley/config/fleet_check.hpp"
#include "acaciapulley/config/fleet_document.hpp"
#include "acaciapulley/config/service_document.hpp"

// accounts
#include "acaciapulley/accounts/accounts_error.hpp"
#include "acaciapulley/accounts/key_table.hpp"

// limits
#include "acaciapulley/limits/limits_error.hpp"
#include "acaciapulley/limits/rate_authority.hpp"
#include "acaciapulley/limits/token_bucket.hpp"
#include "acaciapulley/limits/token_lease_table.hpp"
#include "acaciapulley/limits/token_messages.hpp"

// admission
#include "acaciapulley/admission/admission_error.hpp"
#include "acaciapulley/admission/concurrency_knee.hpp"
#include "acaciapulley/admission/concurrency_limit.hpp"
#include "acaciapulley/admission/delay_limit.hpp"
#include "acaciapulley/admission/fair_queue.hpp"
#include "acaciapulley/admission/gate.hpp"
#include "acaciapulley/admission/load_report.hpp"
#include "acaciapulley/admission/run_time_table.hpp"
#include "acaciapulley/admission/threshold_controller.hpp"
#include "acaciapulley/admission/threshold_table.hpp"
#include "acaciapulley/admission/warmup_limit.hpp"

// retries
#include "acaciapulley/retries/hop_budget_table.hpp"
#include "acaciapulley/retries/request_context.hpp"
#include "acaciapulley/retries/retries_error.hpp"
#include "acaciapulley/retries/retry_policy.hpp"

// claims
#include "acaciapulley/claims/claim_registry.hpp"
#include "acaciapulley/claims/claims_error.hpp"

// routing
#include "acaciapulley/routing/balancer.hpp"
#include "acaciapulley/routing/expected_time.hpp"
#include "acaciapulley/routing/member_table.hpp"
#include "acaciapulley/routing/outlier_detector.hpp"
#include "acaciapulley/routing/slow_start.hpp"
#include "acaciapulley/routing/warmup_share.hpp"

// record
#include "acaciapulley/record/latency_histogram.hpp"
#include "acaciapulley/record/record_collector.hpp"
#include "acaciapulley/record/record_counters.hpp"
#include "acaciapulley/record/record_error.hpp"
#include "acaciapulley/record/record_row.hpp"
#include "acaciapulley/record/report.hpp"
#include "acaciapulley/record/surge_detector.hpp"

// transport
#include "acaciapulley/transport/address.hpp"
#include "acaciapulley/transport/connection_counts.hpp"
#include "acaciapulley/transport/control_channel.hpp"
#include "acaciapulley/transport/http_client.hpp"
#include "acaciapulley/transport/http_message.hpp"
#include "acaciapulley/transport/http_server.hpp"
#include "acaciapulley/transport/metrics.hpp"
#include "acaciapulley/transport/process.hpp"
#include "acaciapulley/transport/request_end.hpp"
#include "acaciapulley/transport/settings.hpp"
#include "acaciapulley/transport/transport_error.hpp"

// replication
#include "acaciapulley/replication/disk.hpp"
#include "acaciapulley/replication/raft_core.hpp"
#include "acaciapulley/replication/raft_types.hpp"
#include "acaciapulley/replication/replica.hpp"
#include "acaciapulley/replication/replicated_log.hpp"
#include "acaciapulley/replication/replication_error.hpp"
#include "acaciapulley/replication/storage.hpp"

// control
#include "acaciapulley/control/audit_trail.hpp"
#include "acaciapulley/control/change_feed.hpp"
#include "acaciapulley/control/control_error.hpp"
#include "acaciapulley/control/control_hooks.hpp"
#include "acaciapulley/control/control_process.hpp"
#include "acaciapulley/control/control_state.hpp"
#include "acaciapulley/control/document_store.hpp"
#include "acaciapulley/control/evacuation_store.hpp"
#include "acaciapulley/control/fleet_store.hpp"
#include "acaciapulley/control/key_store.hpp"
#include "acaciapulley/control/live_nodes.hpp"
#include "acaciapulley/control/operator_directory.hpp"
#include "acaciapulley/control/operator_request_store.hpp"
#include "acaciapulley/control/poll_relay.hpp"
#include "acaciapulley/control/rate_service.hpp"
#include "acaciapulley/control/record_service.hpp"
#include "acaciapulley/control/token_relay.hpp"

// node
#include "acaciapulley/node/blocking_gate.hpp"
#include "acaciapulley/node/local_upstream.hpp"
#include "acaciapulley/node/node_error.hpp"
#include "acaciapulley/node/node_process.hpp"
#include "acaciapulley/node/pipeline_guards.hpp"
#include "acaciapulley/node/refusal.hpp"
#include "acaciapulley/node/region_map.hpp"
#include "acaciapulley/node/request_pipeline.hpp"
#include "acaciapulley/node/state_cache.hpp"
#include "acaciapulley/node/sync_loop.hpp"
#include "acaciapulley/node/upstream_finder.hpp"
#include "acaciapulley/node/upstream_heartbeat.hpp"
#include "acaciapulley/node/upstream_registry.hpp"
