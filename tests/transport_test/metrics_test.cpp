#include <boost/test/unit_test.hpp>

#include <string>

#include "acaciapulley/transport/metrics.hpp"

BOOST_AUTO_TEST_SUITE(metrics)

// Guards against a label that exposes the key of a client account, and against duplicate series.
BOOST_AUTO_TEST_CASE(series_are_shared_and_keys_are_redacted)
{
  acp::MetricsRegistry metrics;
  const std::string key = "acp_" + std::string(64, 'a');
  for (int i = 0; i < 2; ++i) {
    metrics.Counter("acp_refused_total", "Refused.", { { "reason", "rate" } }).Add();
    metrics.Counter("acp_refused_total", "Refused.", { { "reason", key } }).Add();
    metrics.Gauge("acp_open", "Open.").Set(7);
    metrics.Histogram("acp_seconds", "Seconds.").Observe(0.0003);
  }
  const std::string text = metrics.Serialize();
  BOOST_TEST(text.find("acp_refused_total{reason=\"rate\"} 2\n") != std::string::npos, text);
  BOOST_TEST(text.find("acp_refused_total{reason=\"redacted\"} 2\n") != std::string::npos);
  BOOST_TEST(text.find("acp_open 7\n") != std::string::npos);
  BOOST_TEST(text.find("acp_seconds_bucket{le=\"0.0005\"} 2\n") != std::string::npos);
  BOOST_TEST(text.find(key) == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
