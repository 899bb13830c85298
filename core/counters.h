// What a router counts, in Prometheus' text form. Free of sockets.
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

class Counters {
  template <class Metric>
  prometheus::Family<Metric>& family(prometheus::detail::Builder<Metric> builder, const char* name,
                                     const char* help) {
    return builder.Name(name).Help(help).Register(registry_);
  }

  // Metrics by their labels' values: few, and looked up for every sequence.
  template <class Metric>
  struct Found {
    std::string_view a, b;
    Metric* metric;
  };
  template <class Metric, class Make>
  static Metric& found(std::vector<Found<Metric>>& among, std::string_view a, std::string_view b, Make make) {
    for (const Found<Metric>& f : among)
      if (f.a == a && f.b == b) return *f.metric;
    return *among.emplace_back(Found<Metric>{a, b, &make()}).metric;
  }

 public:
  // Texts must outlive this.
  void count_answer(std::string_view type, std::string_view answer) {
    found(answered_, type, answer, [&]() -> prometheus::Counter& {
      return answers_.Add({{"type", std::string(type)}, {"answer", std::string(answer)}});
    }).Increment();
  }
  void count_attempt(std::string_view stage, std::string_view outcome) {
    found(attempted_, stage, outcome, [&]() -> prometheus::Counter& {
      return attempts_.Add({{"stage", std::string(stage)}, {"outcome", std::string(outcome)}});
    }).Increment();
  }
  void count_refusal(int status) { refused_.Add({{"status", std::to_string(status)}}).Increment(); }
  void observe_first_token(std::string_view type, double seconds) {
    found(first_, type, {}, [&]() -> prometheus::Histogram& {
      return first_token_.Add({{"type", std::string(type)}}, prometheus::Histogram::BucketBoundaries{
                                                                 0.05, 0.1, 0.2, 0.5, 1, 1.5, 2, 3, 5, 10});
    }).Observe(seconds);
  }
  void count_invariant_violation(std::string_view invariant) {
    found(violated_, invariant, {}, [&]() -> prometheus::Counter& {
      return violations_.Add({{"invariant", std::string(invariant)}});
    }).Increment();
  }
  // Failures that were survived and are no peer's. call: of the kernel; error: its errno.
  void count_call_failure(std::string_view call, int error) {
    call_failures_.Add({{"call", std::string(call)}, {"errno", std::to_string(error)}}).Increment();
  }
  void count_task_failure() { task_failures_.Add({}).Increment(); }
  // An attempt that was not begun as its first byte was about to leave.
  void count_attempt_not_started(std::string_view reason) {
    found(not_begun_, reason, {}, [&]() -> prometheus::Counter& {
      return begin_refusals_.Add({{"reason", std::string(reason)}});
    }).Increment();
  }
  // A client's connection that this side ended.
  void count_connection_end(std::string_view reason) {
    found(ended_, reason, {}, [&]() -> prometheus::Counter& {
      return connection_ends_.Add({{"reason", std::string(reason)}});
    }).Increment();
  }
  void set_active_requests(std::size_t sequences) { live_now_.Set(static_cast<double>(sequences)); }
  void count_release_requested() { releases_asked_.Increment(); }
  void count_release_confirmed() { releases_confirmed_.Increment(); }
  void count_release_abandoned() { releases_given_up_.Increment(); }
  std::string serialize() const { return prometheus::TextSerializer().Serialize(registry_.Collect()); }

 private:
  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>& answers_ =
      family(prometheus::BuildCounter(), "cressrill_answers_total", "final answers by traffic type");
  prometheus::Family<prometheus::Counter>& attempts_ = family(
      prometheus::BuildCounter(), "cressrill_attempts_total", "schedule attempts by stage and outcome");
  prometheus::Family<prometheus::Counter>& refused_ = family(
      prometheus::BuildCounter(), "cressrill_refused_total", "requests that could not be read or taken");
  prometheus::Family<prometheus::Histogram>& first_token_ = family(
      prometheus::BuildHistogram(), "cressrill_first_token_seconds", "from the request to the first token");
  prometheus::Family<prometheus::Gauge>& live_ =
      family(prometheus::BuildGauge(), "cressrill_sequences", "sequences in hand");
  prometheus::Gauge& live_now_ = live_.Add({});
  prometheus::Family<prometheus::Counter>& releases_ =
      family(prometheus::BuildCounter(), "cressrill_kv_releases_total",
             "releases of KV cache that is held at workers: asked, confirmed by a worker, given up");
  prometheus::Counter& releases_asked_ = releases_.Add({{"result", "asked"}});
  prometheus::Counter& releases_confirmed_ = releases_.Add({{"result", "confirmed"}});
  prometheus::Counter& releases_given_up_ = releases_.Add({{"result", "given_up"}});
  prometheus::Family<prometheus::Counter>& violations_ = family(
      prometheus::BuildCounter(), "cressrill_invariant_violations_total", "rules found broken at run time");
  prometheus::Family<prometheus::Counter>& call_failures_ =
      family(prometheus::BuildCounter(), "cressrill_call_failures_total",
             "calls of the kernel that failed for no peer's fault, and were survived");
  prometheus::Family<prometheus::Counter>& task_failures_ =
      family(prometheus::BuildCounter(), "cressrill_task_failures_total", "tasks that an exception ended");
  prometheus::Family<prometheus::Counter>& begin_refusals_ =
      family(prometheus::BuildCounter(), "cressrill_attempts_not_begun_total",
             "attempts that were not begun as their first byte was about to leave");
  prometheus::Family<prometheus::Counter>& connection_ends_ =
      family(prometheus::BuildCounter(), "cressrill_connections_ended_total",
             "clients' connections that were ended");
  std::vector<Found<prometheus::Counter>> answered_, attempted_, violated_, not_begun_, ended_;
  std::vector<Found<prometheus::Histogram>> first_;
};

}  // namespace cressrill::core
