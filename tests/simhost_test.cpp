// The simulator's wire protocol: malformed input is rejected with a message that names the fault, and unusual
// valid input is accepted.
#include <doctest/doctest.h>

#include <bit>
#include <sstream>

#include "host.h"
#include "profile/profile.h"

namespace cressrill::simhost {

using profile::decode_settings;

using Frame = std::vector<unsigned char>;

static void put(Frame& out, std::uint64_t value, int width) {
  for (int shift = (width - 1) * 8; shift >= 0; shift -= 8)
    out.push_back(static_cast<unsigned char>(value >> shift));
}

static Frame batch(const std::vector<Frame>& records, const std::string& tail = "", double clock = 1000) {
  Frame out;
  put(out, records.size(), 4);
  put(out, std::bit_cast<std::uint64_t>(clock), 8);
  put(out, 9, 4);
  for (Frame record : records) {
    record.resize(64);
    out.insert(out.end(), record.begin(), record.end());
  }
  out.insert(out.end(), tail.begin(), tail.end());
  return out;
}

static Frame record(int code, const std::vector<std::pair<std::uint64_t, int>>& fields) {
  Frame out;
  put(out, static_cast<std::uint64_t>(code), 2);
  for (const auto& [value, width] : fields) put(out, value, width);
  return out;
}

static const std::string kSettings =
    "instances=2\ngranularityMs=2.0\ncaps.attemptsCap=6\nservices.count=1\nservices.0.effect=retryable\n"
    "services.0.goalTimeMs=1500.0\nservices.0.worth=1.0\nfamilyInfo.dutyByKind=read,write\nnew.key=1\n"
    "familyInfo.pinLimitMs=1000.0\nobligations.coldFrom=0.25\nobligations.rampTimeMs=12000.0\n"
    "obligations.fallMultiple=4.0\nobligations.fallMs=3000.0\n";

static std::string error_of(const Frame& frame) {
  BatchHandler handler;
  Reply reply;
  try {
    handler.handle(frame, reply);
  } catch (const WireError& error) {
    return error.what();
  }
  return "taken";
}

static Frame power_on(std::size_t size) { return record(6, {{1, 8}, {0, 4}, {size, 4}}); }

TEST_CASE("malformed input is rejected with a message that names it") {
  CHECK(error_of({0, 0}) == "batch: ends before byte 4");
  CHECK(error_of(batch({record(99, {})})) == "record 0: event code 99 is not known");
  CHECK(error_of(batch({record(11, {{0, 2}}), record(10, {})})) ==
        "record 1: event 10 for instance 0, which is not running");
  CHECK(error_of(batch({record(11, {{0, 2}}), power_on(5000)}, kSettings))
            .starts_with("settings: bytes 0 to 5000 lie outside tail"));
  Frame truncated_batch = batch({record(11, {{0, 2}})});
  truncated_batch.resize(40);
  CHECK(error_of(truncated_batch) == "records of the batch: bytes 16 to 80 lie outside batch of 40 bytes");
  std::istringstream truncated_input(std::string("\0\0\0\x20zz", 6));
  CHECK_THROWS_WITH(read_frame(truncated_input, truncated_batch), "batch: input ends after 2 of 32 bytes");
}

TEST_CASE("a missing or malformed setting is rejected with a message that names it") {
  std::string text = kSettings;
  CHECK_NOTHROW(decode_settings(text));
  text.erase(text.find("instances=2\n"), 12);
  CHECK_THROWS_WITH(decode_settings(text), "settings: 'instances' is missing");
  CHECK_THROWS_WITH(decode_settings(text + "instances=two\n"),
                    "settings: 'instances' is 'two', not a number");
}

TEST_CASE("unusual valid records are accepted, and a request without workers is rejected") {
  BatchHandler handler;
  Reply reply;
  std::ostringstream out;
  CHECK(handler.handle(batch({}), reply) == 9);
  const std::string entries;
  const Frame select = record(11, {{3, 2}});
  const Frame arrive =
      record(8, {{77, 8}, {0, 2}, {0, 2}, {5, 8}, {std::bit_cast<std::uint64_t>(1005.0), 8}});
  handler.handle(batch({select, power_on(kSettings.size()), record(4, {{0, 1}, {0, 4}, {0, 4}}),
                        record(7, {{2, 1}, {1, 8}, {0, 1}}), arrive, record(9, {{123, 8}}),
                        record(10, {{4, 4}}), record(3, {{123, 8}, {0, 1}, {1, 4}, {306, 2}})},
                       kSettings),
                 reply);
  reply.write(out, 9);
  const std::string bytes = out.str();
  REQUIRE(bytes.size() >= 12 + 2 * 24);
  CHECK(bytes[13] == 4);  // the context record of instance 3, then the rejection of request 77
  CHECK(bytes[15] == 3);
  CHECK(bytes[12 + 24 + 1] == 2);
  CHECK(bytes[12 + 24 + 9] == 77);
}

}  // namespace cressrill::simhost
