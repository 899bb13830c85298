#include "host.h"

#include <unordered_map>

#include "policy.h"
#include "profile/profile.h"

namespace cressrill::simhost {

using profile::decode_settings;
using profile::DeploymentSettings;
using profile::ms_from_nanos;
using profile::nanos_from_ms;

namespace {

// Sizes on the wire, in bytes.
constexpr std::size_t kEventSize = 64;
constexpr std::size_t kListEntrySize = 22;
constexpr std::size_t kBatchHeaderSize = 16;

// Assigns small indices to ids on the wire. Freed indices are reused, the most recently freed one first.
template <class Id>
class IdMap {
 public:
  int index(Id id) {
    const auto [it, inserted] = index_.try_emplace(id, 0);
    if (!inserted) return it->second;
    if (free_.empty()) {
      it->second = static_cast<int>(ids_.size());
      ids_.push_back(id);
    } else {
      it->second = free_.back();
      free_.pop_back();
      ids_[static_cast<std::size_t>(it->second)] = id;
    }
    return it->second;
  }
  int find(Id id) const {
    const auto it = index_.find(id);
    return it == index_.end() ? -1 : it->second;
  }
  Id id(int index) const { return ids_[static_cast<std::size_t>(index)]; }
  void forget(int index) {
    if (index_.erase(id(index)) > 0) free_.push_back(index);
  }

 private:
  std::unordered_map<Id, int> index_;
  std::vector<Id> ids_;
  std::vector<int> free_;
};

Outcome outcome_of(std::uint64_t code, std::uint64_t info) {
  switch (code) {
    case 100:
      return Outcome::generated;
    case 210:
      return Outcome::prefill_done;
    case 301:
      return Outcome::error;
    case 302:
      return info == 1 ? Outcome::kv_missing : Outcome::full;
    case 303:
      return Outcome::timed_out;
    case 304:
      return Outcome::connect_failed;
    case 305:
      return Outcome::connection_lost;
    case 306:
      return Outcome::cancelled;
    case 307:
      return Outcome::not_sent;
    default:
      throw WireError("outcome: code " + std::to_string(code) + " is not known");
  }
}

WorkerStatus worker_status_of(std::uint64_t code) {
  switch (code) {
    case 0:
      return WorkerStatus::gone;
    case 1:
      return WorkerStatus::ready;
    case 2:
      return WorkerStatus::draining;
    default:
      throw WireError("list entry: state " + std::to_string(code) + " is not known");
  }
}

}  // namespace

// A router instance: translates event records into calls of its policy, and the policy's decisions into reply
// records.
class RouterInstance final : public Actions {
 public:
  RouterInstance(int number, Reply& reply, const DeploymentSettings& deployment, std::uint64_t seed,
                 Nanos now)
      : number_(number),
        reply_(reply),
        deployment_(deployment),
        policy_(make_policy(deployment.settings, seed, now, *this)) {}

  int number() const { return number_; }

  void worker_list(Nanos now, bool complete, const ByteView& entries) {
    policy_->list_begins(now, complete);
    for (std::size_t offset = 0; offset < entries.size(); offset += kListEntrySize) {
      const ByteView entry = entries.slice(offset, kListEntrySize, "list entry");
      const auto kind = entry.unsigned_at(17, 1);
      if (kind >= deployment_.settings.kinds.size())
        throw WireError("list entry: machine kind " + std::to_string(kind) + " is not in the settings");
      policy_->worker_listed(
          workers_.index(static_cast<std::uint32_t>(entry.unsigned_at(4, 4))), entry.unsigned_at(4, 4),
          worker_status_of(entry.unsigned_at(8, 1)), nanos_from_ms(entry.f64_at(9)), static_cast<int>(kind),
          static_cast<int>(entry.unsigned_at(18, 2)), static_cast<int>(entry.unsigned_at(20, 2)));
    }
    policy_->list_ends();
  }

  void discovery_unreachable(Nanos now) { policy_->discovery_unreachable(now); }

  void request_arrived(Nanos now, const ByteView& event) {
    const auto type = event.unsigned_at(10, 2);
    if (type >= deployment_.settings.types.size())
      throw WireError("ask: class " + std::to_string(type) + " is not in the settings");
    policy_->request_arrived(now, requests_.index(event.unsigned_at(2, 8)), static_cast<int>(type),
                             static_cast<int>(event.unsigned_at(12, 2)), event.unsigned_at(14, 8),
                             event.unsigned_at(38, 8), event.f32_at(46), event.f32_at(50), event.f32_at(54),
                             nanos_from_ms(event.f64_at(22)));
  }

  void client_left(Nanos now, const ByteView& event) {
    const int request = requests_.find(event.unsigned_at(2, 8));
    if (request >= 0) policy_->client_left(now, request);
  }

  void stream_started(Nanos now, const ByteView& event) {
    const int request = requests_.find(event.unsigned_at(2, 8));
    if (request >= 0)
      policy_->stream_started(now, request, static_cast<int>(event.unsigned_at(14, 1)),
                              nanos_from_ms(event.f64_at(15)));
  }

  void attempt_ended(Nanos now, const ByteView& event) {
    const int request = requests_.find(event.unsigned_at(2, 8));
    const Outcome outcome = outcome_of(event.unsigned_at(15, 2), event.unsigned_at(26, 4));
    if (request >= 0)
      policy_->attempt_ended(now, request, static_cast<int>(event.unsigned_at(10, 1)), outcome,
                             nanos_from_ms(event.f64_at(17)), event.unsigned_at(25, 1) != 0,
                             static_cast<double>(event.unsigned_at(26, 4)), read_report(event, 30));
  }

  void on_wakeup(Nanos now) { policy_->on_wakeup(now); }

  // Sends take effect at once in the simulator, so no write deadline can pass.
  void send(int request, int worker, AttemptLimits limits) override {
    begin_record(16)
        .put_unsigned(requests_.id(request), 8)
        .put_f64(ms_from_nanos(limits.timeout))
        .put_unsigned(workers_.id(worker), 4);
  }
  void release(int request) override { begin_record(9).put_unsigned(requests_.id(request), 8); }
  void cancel(int request, int attempt) override {
    begin_record(1)
        .put_unsigned(requests_.id(request), 8)
        .put_unsigned(static_cast<std::uint64_t>(attempt), 1);
  }
  void reject(int request, Nanos retry_after) override {
    begin_record(2).put_unsigned(requests_.id(request), 8).put_f64(ms_from_nanos(retry_after));
  }
  void abort(int request) override { begin_record(3).put_unsigned(requests_.id(request), 8); }
  void subscribe() override { begin_record(10).put_unsigned(1, 1); }
  void request_wakeup(Nanos after) override {
    begin_record(15).put_unsigned(0, 4).put_f64(ms_from_nanos(after));
  }
  void forget_request(int request) override { requests_.forget(request); }
  void forget_worker(int worker) override { workers_.forget(worker); }

  // Adds a context record, which names this instance, before the next record of its reply, as other instances
  // may add records in between.
  void require_context() { has_context_ = false; }

 private:
  Reply& begin_record(int code) {
    if (!has_context_) reply_.begin_record(4).put_unsigned(static_cast<std::uint64_t>(number_), 2);
    has_context_ = true;
    return reply_.begin_record(code);
  }

  // offset: where the event holds the number of columns; the columns follow it.
  LoadReport read_report(const ByteView& event, std::size_t offset) const {
    const auto count = static_cast<int>(event.unsigned_at(offset, 1));
    LoadReport report;
    report.received = count > 0;
    const auto column = [&](int index) {
      return event.f32_at(offset + 1 + 4 * static_cast<std::size_t>(index));
    };
    if (deployment_.requests_column >= 0 && deployment_.requests_column < count)
      report.requests = column(deployment_.requests_column);
    if (deployment_.memory_column >= 0 && deployment_.memory_column < count)
      report.memory_share = column(deployment_.memory_column);
    return report;
  }

  int number_;
  Reply& reply_;
  DeploymentSettings deployment_;
  IdMap<std::uint64_t> requests_;
  IdMap<std::uint32_t> workers_;
  bool has_context_ = false;
  std::unique_ptr<Policy> policy_;
};

BatchHandler::BatchHandler() = default;
BatchHandler::~BatchHandler() = default;

std::uint32_t BatchHandler::handle(const std::vector<unsigned char>& frame, Reply& reply) {
  const ByteView bytes(frame.data(), frame.size(), "batch");
  const std::uint64_t record_count = bytes.unsigned_at(0, 4);
  const Nanos now = nanos_from_ms(bytes.f64_at(4));
  const auto batch_number = static_cast<std::uint32_t>(bytes.unsigned_at(12, 4));
  const ByteView records = bytes.slice(kBatchHeaderSize, record_count * kEventSize, "records of the batch");
  const ByteView tail = bytes.slice(kBatchHeaderSize + records.size(),
                                    bytes.size() - kBatchHeaderSize - records.size(), "tail");
  int instance_number = -1;  // of the instance that the following records are for
  for (std::uint64_t i = 0; i < record_count; ++i) {
    const ByteView event = records.slice(i * kEventSize, kEventSize, "record " + std::to_string(i));
    const auto code = event.unsigned_at(0, 2);
    const auto it = instances_.find(instance_number);
    RouterInstance* selected = it == instances_.end() ? nullptr : it->second.get();
    const auto instance = [&]() -> RouterInstance& {
      if (selected == nullptr)
        throw WireError("record " + std::to_string(i) + ": event " + std::to_string(code) + " for instance " +
                        std::to_string(instance_number) + ", which is not running");
      return *selected;
    };
    switch (code) {
      case 11:  // selects the instance for the records that follow
        instance_number = static_cast<int>(event.unsigned_at(2, 2));
        for (auto& [other_number, other] : instances_) other->require_context();
        break;
      case 4: {  // a worker list, which instances receive later
        const ByteView list =
            tail.slice(event.unsigned_at(3, 4), event.unsigned_at(7, 4) * kListEntrySize, "manifest");
        const std::string_view text = list.text();
        worker_lists_[static_cast<int>(event.unsigned_at(2, 1))].assign(text.begin(), text.end());
        break;
      }
      case 6: {  // an instance starts
        if (instance_number < 0)
          throw WireError("record " + std::to_string(i) + ": power_on before the first at record");
        const ByteView text = tail.slice(event.unsigned_at(10, 4), event.unsigned_at(14, 4), "settings");
        instances_[instance_number] = std::make_unique<RouterInstance>(
            instance_number, reply, decode_settings(text.text()), event.unsigned_at(2, 8), now);
        break;
      }
      case 7: {  // the instance receives a worker list, or fails to
        // 0: changes only; 3: the list cannot be fetched; otherwise a full list.
        const auto list_scope = event.unsigned_at(2, 1);
        if (list_scope > 3) throw WireError("fleet: scope " + std::to_string(list_scope) + " is not known");
        if (list_scope == 3) {
          instance().discovery_unreachable(now);
          break;
        }
        const auto list = worker_lists_.find(static_cast<int>(event.unsigned_at(11, 1)));
        if (list == worker_lists_.end()) throw WireError("fleet: its list has not been sent");
        instance().worker_list(now, list_scope != 0,
                               ByteView(list->second.data(), list->second.size(), "manifest"));
        break;
      }
      case 8:  // a request arrives
        instance().request_arrived(now, event);
        break;
      case 9:  // a client leaves
        instance().client_left(now, event);
        break;
      case 10:  // time passes
        instance().on_wakeup(now);
        break;
      case 5:  // the response stream of an attempt starts
        instance().stream_started(now, event);
        break;
      case 2:  // the instance stops
        instances_.erase(instance_number);
        break;
      case 3:  // an attempt ends
        instance().attempt_ended(now, event);
        break;
      // Responses to probes and reservations, and messages from other routers: these policies request none.
      case 1:
      case 12:
      case 13:
        break;
      default:
        throw WireError("record " + std::to_string(i) + ": event code " + std::to_string(code) +
                        " is not known");
    }
  }
  return batch_number;
}

}  // namespace cressrill::simhost
