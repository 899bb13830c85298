#include "host.h"

#include <unordered_map>

#include "policy.h"
#include "profile/profile.h"

namespace cressrill::simhost {

using profile::decode_settings;
using profile::DeploymentSettings;
using profile::millis;
using profile::nanos;

namespace {

constexpr std::size_t kEventSize = 64;
constexpr std::size_t kEntrySize = 22;
constexpr std::size_t kHeadSize = 16;

// Small indices for the ids of the wire. A freed index is handed out again, the lowest first to go last.
template <class Id>
class IdMap {
 public:
  int index(Id id) {
    const auto [it, fresh] = index_.try_emplace(id, 0);
    if (!fresh) return it->second;
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

WorkerStatus standing_of(std::uint64_t code) {
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

// One instance: translates its events into calls and its decisions into records.
class RouterInstance final : public Actions {
 public:
  RouterInstance(int number, Reply& reply, const DeploymentSettings& profile, std::uint64_t seed, Nanos now)
      : number_(number),
        reply_(reply),
        profile_(profile),
        policy_(make_policy(profile.settings, seed, now, *this)) {}

  int number() const { return number_; }

  void list(Nanos now, bool complete, const ByteView& entries) {
    policy_->list_begins(now, complete);
    for (std::size_t at = 0; at < entries.size(); at += kEntrySize) {
      const ByteView entry = entries.slice(at, kEntrySize, "list entry");
      const auto kind = entry.unsigned_at(17, 1);
      if (kind >= profile_.settings.kinds.size())
        throw WireError("list entry: machine kind " + std::to_string(kind) + " is not in the settings");
      policy_->worker_listed(
          workers_.index(static_cast<std::uint32_t>(entry.unsigned_at(4, 4))), entry.unsigned_at(4, 4),
          standing_of(entry.unsigned_at(8, 1)), nanos(entry.f64_at(9)), static_cast<int>(kind),
          static_cast<int>(entry.unsigned_at(18, 2)), static_cast<int>(entry.unsigned_at(20, 2)));
    }
    policy_->list_ends();
  }

  void list_failed(Nanos now) { policy_->list_failed(now); }

  void ask(Nanos now, const ByteView& event) {
    const auto type = event.unsigned_at(10, 2);
    if (type >= profile_.settings.types.size())
      throw WireError("ask: class " + std::to_string(type) + " is not in the settings");
    policy_->request_arrived(now, sequences_.index(event.unsigned_at(2, 8)), static_cast<int>(type),
                             static_cast<int>(event.unsigned_at(12, 2)), event.unsigned_at(14, 8),
                             event.unsigned_at(38, 8), event.f32_at(46), event.f32_at(50), event.f32_at(54),
                             nanos(event.f64_at(22)));
  }

  void client_gone(Nanos now, const ByteView& event) {
    const int seq = sequences_.find(event.unsigned_at(2, 8));
    if (seq >= 0) policy_->client_left(now, seq);
  }

  void head_received(Nanos now, const ByteView& event) {
    const int seq = sequences_.find(event.unsigned_at(2, 8));
    if (seq >= 0)
      policy_->stream_started(now, seq, static_cast<int>(event.unsigned_at(14, 1)), nanos(event.f64_at(15)));
  }

  void ended(Nanos now, const ByteView& event) {
    const int seq = sequences_.find(event.unsigned_at(2, 8));
    const Outcome outcome = outcome_of(event.unsigned_at(15, 2), event.unsigned_at(26, 4));
    if (seq >= 0)
      policy_->attempt_ended(now, seq, static_cast<int>(event.unsigned_at(10, 1)), outcome,
                             nanos(event.f64_at(17)), event.unsigned_at(25, 1) != 0,
                             static_cast<double>(event.unsigned_at(26, 4)), report(event, 30));
  }

  void elapsed(Nanos now) { policy_->on_wakeup(now); }

  // The simulator's sends take effect at once: nothing can pass a time to begin by.
  void send(int seq, int worker, AttemptLimits limits) override {
    record(16)
        .put_unsigned(sequences_.id(seq), 8)
        .put_f64(millis(limits.timeout))
        .put_unsigned(workers_.id(worker), 4);
  }
  void release(int seq) override { record(9).put_unsigned(sequences_.id(seq), 8); }
  void cancel(int seq, int attempt) override {
    record(1).put_unsigned(sequences_.id(seq), 8).put_unsigned(static_cast<std::uint64_t>(attempt), 1);
  }
  void reject(int seq, Nanos retry_after) override {
    record(2).put_unsigned(sequences_.id(seq), 8).put_f64(millis(retry_after));
  }
  void abort(int seq) override { record(3).put_unsigned(sequences_.id(seq), 8); }
  void subscribe() override { record(10).put_unsigned(1, 1); }
  void request_wakeup(Nanos after) override { record(15).put_unsigned(0, 4).put_f64(millis(after)); }
  void forget_request(int seq) override { sequences_.forget(seq); }
  void forget_worker(int worker) override { workers_.forget(worker); }

  // The next record needs a context first: another instance may have spoken since.
  void heard_elsewhere() { in_context_ = false; }

 private:
  Reply& record(int code) {
    if (!in_context_) reply_.begin_record(4).put_unsigned(static_cast<std::uint64_t>(number_), 2);
    in_context_ = true;
    return reply_.begin_record(code);
  }

  LoadReport report(const ByteView& event, std::size_t at) const {
    const auto count = static_cast<int>(event.unsigned_at(at, 1));
    LoadReport out;
    out.received = count > 0;
    const auto column = [&](int i) { return event.f32_at(at + 1 + 4 * static_cast<std::size_t>(i)); };
    if (profile_.requests_column >= 0 && profile_.requests_column < count)
      out.requests = column(profile_.requests_column);
    if (profile_.memory_column >= 0 && profile_.memory_column < count)
      out.memory_share = column(profile_.memory_column);
    return out;
  }

  int number_;
  Reply& reply_;
  DeploymentSettings profile_;
  IdMap<std::uint64_t> sequences_;
  IdMap<std::uint32_t> workers_;
  bool in_context_ = false;
  std::unique_ptr<Policy> policy_;
};

BatchHandler::BatchHandler() = default;
BatchHandler::~BatchHandler() = default;

std::uint32_t BatchHandler::handle(const std::vector<unsigned char>& frame, Reply& reply) {
  const ByteView all(frame.data(), frame.size(), "batch");
  const std::uint64_t count = all.unsigned_at(0, 4);
  const Nanos now = nanos(all.f64_at(4));
  const auto batch = static_cast<std::uint32_t>(all.unsigned_at(12, 4));
  const ByteView records = all.slice(kHeadSize, count * kEventSize, "records of the batch");
  const ByteView tail =
      all.slice(kHeadSize + records.size(), all.size() - kHeadSize - records.size(), "tail");
  int at = -1;
  for (std::uint64_t i = 0; i < count; ++i) {
    const ByteView event = records.slice(i * kEventSize, kEventSize, "record " + std::to_string(i));
    const auto code = event.unsigned_at(0, 2);
    const auto it = routers_.find(at);
    RouterInstance* router = it == routers_.end() ? nullptr : it->second.get();
    const auto instance = [&]() -> RouterInstance& {
      if (router == nullptr)
        throw WireError("record " + std::to_string(i) + ": event " + std::to_string(code) + " for instance " +
                        std::to_string(at) + ", which is not running");
      return *router;
    };
    switch (code) {
      case 11:
        at = static_cast<int>(event.unsigned_at(2, 2));
        for (auto& [number, other] : routers_) other->heard_elsewhere();
        break;
      case 4: {
        const ByteView list =
            tail.slice(event.unsigned_at(3, 4), event.unsigned_at(7, 4) * kEntrySize, "manifest");
        const std::string_view text = list.text();
        lists_[static_cast<int>(event.unsigned_at(2, 1))].assign(text.begin(), text.end());
        break;
      }
      case 6: {
        if (at < 0) throw WireError("record " + std::to_string(i) + ": power_on before any at");
        const ByteView text = tail.slice(event.unsigned_at(10, 4), event.unsigned_at(14, 4), "settings");
        routers_[at] = std::make_unique<RouterInstance>(at, reply, decode_settings(text.text()),
                                                        event.unsigned_at(2, 8), now);
        break;
      }
      case 7: {
        const auto scope = event.unsigned_at(2, 1);
        if (scope > 3) throw WireError("fleet: scope " + std::to_string(scope) + " is not known");
        if (scope == 3) {
          instance().list_failed(now);
          break;
        }
        const auto list = lists_.find(static_cast<int>(event.unsigned_at(11, 1)));
        if (list == lists_.end()) throw WireError("fleet: its list has not been sent");
        instance().list(now, scope != 0, ByteView(list->second.data(), list->second.size(), "manifest"));
        break;
      }
      case 8:
        instance().ask(now, event);
        break;
      case 9:
        instance().client_gone(now, event);
        break;
      case 10:
        instance().elapsed(now);
        break;
      case 5:
        instance().head_received(now, event);
        break;
      case 2:
        routers_.erase(at);
        break;
      case 3:
        instance().ended(now, event);
        break;
      case 1:  // answers to probes and to places held ahead, messages of other routers: none is asked for
      case 12:
      case 13:
        break;
      default:
        throw WireError("record " + std::to_string(i) + ": event code " + std::to_string(code) +
                        " is not known");
    }
  }
  return batch;
}

}  // namespace cressrill::simhost
