// The metrics of a router, exported in the Prometheus text format. Does no I/O.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cressrill::core {

// Holds every metric of one router. Not thread-safe.
class Counters {
  template <class Metric>
  prometheus::Family<Metric>& family(prometheus::detail::Builder<Metric> builder, const char* name,
                                     const char* help) {
    return builder.Name(name).Help(help).Register(registry_);
  }

  // A metric and the values of its labels. There are so few of them that each request can look them up by
  // linear search.
  template <class Metric>
  struct LabeledMetric {
    std::string_view first_label;
    std::string_view second_label;
    Metric* metric;
  };
  template <class Metric, class AddMetric>
  static Metric& find_or_add(std::vector<LabeledMetric<Metric>>& metrics, std::string_view first_label,
                             std::string_view second_label, AddMetric add) {
    for (const LabeledMetric<Metric>& entry : metrics)
      if (entry.first_label == first_label && entry.second_label == second_label) return *entry.metric;
    return *metrics.emplace_back(LabeledMetric<Metric>{first_label, second_label, &add()}).metric;
  }

 public:
  // The strings passed to the methods that take a std::string_view must outlive this object; it keeps views
  // of them as lookup keys.
  void count_request_outcome(std::string_view type, std::string_view answer) {
    find_or_add(answer_counters_, type, answer, [&]() -> prometheus::Counter& {
      return answers_.Add({{"type", std::string(type)}, {"answer", std::string(answer)}});
    }).Increment();
  }
  void count_attempt(std::string_view stage, std::string_view outcome) {
    find_or_add(attempt_counters_, stage, outcome, [&]() -> prometheus::Counter& {
      return attempts_.Add({{"stage", std::string(stage)}, {"outcome", std::string(outcome)}});
    }).Increment();
  }
  // A request that could not be read, or that was rejected before it reached the policy.
  void count_refusal(int status) { refusals_.Add({{"status", std::to_string(status)}}).Increment(); }
  void observe_first_token(std::string_view type, double seconds) {
    find_or_add(first_token_histograms_, type, {}, [&]() -> prometheus::Histogram& {
      return first_token_.Add({{"type", std::string(type)}}, prometheus::Histogram::BucketBoundaries{
                                                                 0.05, 0.1, 0.2, 0.5, 1, 1.5, 2, 3, 5, 10});
    }).Observe(seconds);
  }
  void count_invariant_violation(std::string_view invariant) {
    find_or_add(violation_counters_, invariant, {}, [&]() -> prometheus::Counter& {
      return violations_.Add({{"invariant", std::string(invariant)}});
    }).Increment();
  }
  // A system call that failed, not because of the peer, and from which the process recovered. error: its
  // errno.
  void count_call_failure(std::string_view call, int error) {
    call_failures_.Add({{"call", std::string(call)}, {"errno", std::to_string(error)}}).Increment();
  }
  void count_task_failure() { task_failures_.Add({}).Increment(); }
  // An attempt that was cancelled just before its first byte was written.
  void count_attempt_not_started(std::string_view reason) {
    find_or_add(not_started_counters_, reason, {}, [&]() -> prometheus::Counter& {
      return attempts_not_started_.Add({{"reason", std::string(reason)}});
    }).Increment();
  }
  // The end of a client connection. reason: as returned by to_string(http::ConnectionEnd).
  void count_connection_end(std::string_view reason) {
    find_or_add(connection_end_counters_, reason, {}, [&]() -> prometheus::Counter& {
      return connection_ends_.Add({{"reason", std::string(reason)}});
    }).Increment();
  }
  // A peer whose memory was needed for others. kind: as returned by to_string(memory::PeerKind).
  void count_shed(std::string_view kind) { shed_.Add({{"kind", std::string(kind)}}).Increment(); }
  void set_memory_held(std::string_view kind, std::size_t bytes) {
    find_or_add(memory_gauges_, kind, {}, [&]() -> prometheus::Gauge& {
      return memory_held_.Add({{"kind", std::string(kind)}});
    }).Set(static_cast<double>(bytes));
  }
  void set_active_requests(std::size_t requests) { active_requests_.Set(static_cast<double>(requests)); }
  void count_release_requested() { releases_requested_.Increment(); }
  void count_release_confirmed() { releases_confirmed_.Increment(); }
  void count_release_abandoned() { releases_abandoned_.Increment(); }
  std::string serialize() const { return prometheus::TextSerializer().Serialize(registry_.Collect()); }

 private:
  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>& answers_ =
      family(prometheus::BuildCounter(), "cressrill_answers_total", "final answers by traffic type");
  prometheus::Family<prometheus::Counter>& attempts_ = family(
      prometheus::BuildCounter(), "cressrill_attempts_total", "schedule attempts by stage and outcome");
  prometheus::Family<prometheus::Counter>& refusals_ = family(
      prometheus::BuildCounter(), "cressrill_refused_total", "requests that could not be read or taken");
  prometheus::Family<prometheus::Histogram>& first_token_ = family(
      prometheus::BuildHistogram(), "cressrill_first_token_seconds", "from the request to the first token");
  prometheus::Family<prometheus::Gauge>& active_requests_family_ =
      family(prometheus::BuildGauge(), "cressrill_sequences", "sequences in hand");
  prometheus::Gauge& active_requests_ = active_requests_family_.Add({});
  prometheus::Family<prometheus::Counter>& releases_ =
      family(prometheus::BuildCounter(), "cressrill_kv_releases_total",
             "releases of KV cache that is held at workers: asked, confirmed by a worker, given up");
  prometheus::Counter& releases_requested_ = releases_.Add({{"result", "asked"}});
  prometheus::Counter& releases_confirmed_ = releases_.Add({{"result", "confirmed"}});
  prometheus::Counter& releases_abandoned_ = releases_.Add({{"result", "given_up"}});
  prometheus::Family<prometheus::Counter>& violations_ = family(
      prometheus::BuildCounter(), "cressrill_invariant_violations_total", "rules found broken at run time");
  prometheus::Family<prometheus::Counter>& call_failures_ =
      family(prometheus::BuildCounter(), "cressrill_call_failures_total",
             "calls of the kernel that failed for no peer's fault, and were survived");
  prometheus::Family<prometheus::Counter>& task_failures_ =
      family(prometheus::BuildCounter(), "cressrill_task_failures_total", "tasks that an exception ended");
  prometheus::Family<prometheus::Counter>& attempts_not_started_ =
      family(prometheus::BuildCounter(), "cressrill_attempts_not_begun_total",
             "attempts that were not begun as their first byte was about to leave");
  prometheus::Family<prometheus::Counter>& connection_ends_ =
      family(prometheus::BuildCounter(), "cressrill_connections_ended_total",
             "clients' connections that were ended");
  prometheus::Family<prometheus::Counter>& shed_ =
      family(prometheus::BuildCounter(), "cressrill_peers_shed_total", "peers ended to free their memory");
  prometheus::Family<prometheus::Gauge>& memory_held_ =
      family(prometheus::BuildGauge(), "cressrill_memory_held_bytes", "memory that peers hold");
  std::vector<LabeledMetric<prometheus::Counter>> answer_counters_;
  std::vector<LabeledMetric<prometheus::Counter>> attempt_counters_;
  std::vector<LabeledMetric<prometheus::Counter>> violation_counters_;
  std::vector<LabeledMetric<prometheus::Counter>> not_started_counters_;
  std::vector<LabeledMetric<prometheus::Counter>> connection_end_counters_;
  std::vector<LabeledMetric<prometheus::Histogram>> first_token_histograms_;
  std::vector<LabeledMetric<prometheus::Gauge>> memory_gauges_;
};

}  // namespace cressrill::core
