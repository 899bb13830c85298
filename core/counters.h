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
  void answered(std::string_view type, std::string_view answer) {
    found(answered_, type, answer, [&]() -> prometheus::Counter& {
      return answers_.Add({{"type", std::string(type)}, {"answer", std::string(answer)}});
    }).Increment();
  }
  void attempt(std::string_view stage, std::string_view outcome) {
    found(attempted_, stage, outcome, [&]() -> prometheus::Counter& {
      return attempts_.Add({{"stage", std::string(stage)}, {"outcome", std::string(outcome)}});
    }).Increment();
  }
  void refused(int status) { refused_.Add({{"status", std::to_string(status)}}).Increment(); }
  void first_token(std::string_view type, double seconds) {
    found(first_, type, {}, [&]() -> prometheus::Histogram& {
      return first_token_.Add({{"type", std::string(type)}}, prometheus::Histogram::BucketBoundaries{
                                                                 0.05, 0.1, 0.2, 0.5, 1, 1.5, 2, 3, 5, 10});
    }).Observe(seconds);
  }
  void live(std::size_t sequences) { live_now_.Set(static_cast<double>(sequences)); }
  void let_go() { let_go_.Add({}).Increment(); }
  std::string text() const { return prometheus::TextSerializer().Serialize(registry_.Collect()); }

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
  prometheus::Family<prometheus::Counter>& let_go_ = family(
      prometheus::BuildCounter(), "cressrill_let_go_total", "states that readers were told to let go of");
  std::vector<Found<prometheus::Counter>> answered_, attempted_;
  std::vector<Found<prometheus::Histogram>> first_;
};

}  // namespace cressrill::core
