#include "quota_codec.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <stdexcept>

namespace limpetbridge {

namespace {

using namespace serving;

/// Entries of one list. A datagram has room for about 3,000.
constexpr std::size_t MaxEntries = 4096;
/// Largest amount: doubles are exact up to here.
constexpr double MaxAmount = 9007199254740992;

/// \p Value in four bytes. It is not rounded up, which would lend more than the
/// sender counts.
auto shorten(double Value) -> double {
  const auto Short = static_cast<float>(Value);
  return Short > Value ? std::nextafterf(Short, 0) : Short;
}

auto readAmount(message_pack_reader &Reader) -> double {
  const auto Amount = Reader.readNumber();
  if (!(Amount >= 0 && Amount <= MaxAmount))
    throw std::invalid_argument("an amount is out of range");
  return Amount;
}

auto readWorkspace(message_pack_reader &Reader) -> workspace_name {
  return workspace_name(std::string(Reader.readText()));
}

/// Calls \p ReadEntry with the number of values of each entry of a list.
template <typename read_entry>
auto readList(const message_pack_fields &Fields, const char *Key,
              std::size_t MinValues, const read_entry &ReadEntry) -> void {
  auto Reader = Fields.at(Key);
  auto Entries = Reader.readArray();
  if (Entries > MaxEntries)
    throw std::invalid_argument("a list is too long");
  for (; Entries > 0; --Entries) {
    auto Values = Reader.readArray();
    if (Values < MinValues)
      throw std::invalid_argument("an entry is too short");
    for (Values -= ReadEntry(Reader, Values); Values > 0; --Values)
      Reader.skip();
  }
}

} // namespace

auto writeQuotaReport(message_pack_writer &Writer, const quota_report &Report)
    -> void {
  const auto &Message = Report.Message;
  Writer.beginMap(Message.Settled != 0 ? 11 : 10);
  Writer.write("d");
  Writer.beginArray(Message.Demands.size());
  for (const auto &Demand : Message.Demands) {
    const bool HasRate = Demand.Rate > 0;
    const bool HasMissing = HasRate || Demand.Missing > 0;
    Writer.beginArray(2 + (HasMissing ? 1 : 0) + (HasRate ? 1 : 0));
    Writer.write(Demand.Workspace.Text);
    Writer.write(shorten(Demand.PerSecond));
    if (HasMissing)
      Writer.write(shorten(Demand.Missing));
    if (HasRate)
      Writer.write(shorten(Demand.Rate));
  }
  Writer.writeField("f", Report.From.Text);
  Writer.writeField("hi", Message.HeardIncarnation);
  Writer.writeField("hn", Message.HeardNumber);
  Writer.writeField("i", Message.Incarnation);
  Writer.writeField("k", "quota");
  Writer.write("l");
  Writer.beginArray(Message.Loans.size());
  for (const auto &Loan : Message.Loans) {
    Writer.beginArray(5);
    Writer.write(Loan.Workspace.Text);
    Writer.write(shorten(Loan.Share));
    // Totals grow for as long as the process lives, so they need all digits.
    Writer.write(Loan.Tokens);
    Writer.write(shorten(Loan.Receivable));
    Writer.write(std::uint64_t{Loan.IsGift ? 1U : 0U});
  }
  Writer.writeField("m", Message.Members);
  Writer.writeField("n", Message.Number);
  if (Message.Settled != 0)
    Writer.writeField("s", Message.Settled);
  Writer.writeField("t", Report.To.Text);
}

auto readQuotaReport(const message_pack_fields &Fields) -> quota_report {
  constexpr std::size_t DemandValues = 2;
  constexpr std::size_t LoanValues = 5;
  quota_report Report;
  Report.From = instance_name(Fields.text("f"));
  Report.To = instance_name(Fields.text("t"));
  auto &Message = Report.Message;
  Message.Incarnation = Fields.at("i").readUnsigned();
  Message.Number = Fields.at("n").readUnsigned();
  Message.HeardIncarnation = Fields.at("hi").readUnsigned();
  Message.HeardNumber = Fields.at("hn").readUnsigned();
  Message.Members = static_cast<std::uint32_t>(
      std::min<std::uint64_t>(Fields.at("m").readUnsigned(), UINT32_MAX));
  if (Fields.contains("s"))
    Message.Settled = Fields.at("s").readUnsigned();
  readList(Fields, "d", DemandValues,
           [&](message_pack_reader &Reader, std::size_t Values) {
             auto &Demand = Message.Demands.emplace_back();
             Demand.Workspace = readWorkspace(Reader);
             Demand.PerSecond = readAmount(Reader);
             if (Values > DemandValues)
               Demand.Missing = readAmount(Reader);
             if (Values > DemandValues + 1)
               Demand.Rate = readAmount(Reader);
             return std::min(Values, DemandValues + 2);
           });
  readList(Fields, "l", LoanValues,
           [&](message_pack_reader &Reader, std::size_t /*Values*/) {
             auto &Loan = Message.Loans.emplace_back();
             Loan.Workspace = readWorkspace(Reader);
             Loan.Share = readAmount(Reader);
             Loan.Tokens = readAmount(Reader);
             Loan.Receivable = readAmount(Reader);
             Loan.IsGift = Reader.readUnsigned() != 0;
             return LoanValues;
           });
  return Report;
}

} // namespace limpetbridge
