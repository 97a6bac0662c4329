#include "mulberryvalve/adapters/cli/view_report.h"

#include "mulberryvalve/adapters/cli/text_table.h"

namespace mulberryvalve {
namespace {

using nlohmann::json;

std::string YesNo(const json& aObject, const char* aName)
{
  return aObject.value(aName, false) ? "yes" : "no";
}

std::string NumberText(const json& aObject, const char* aName)
{
  return aObject.value(aName, json(0)).dump();
}

std::string ShardsText(const json& aStatus)
{
  TextTable table(
    { "SHARD", "OWNER", "EPOCH", "ACTS HERE", "FOLDED", "WAITING", "PLACED" });
  for (const json& shard : aStatus.value("shards", json::array())) {
    const std::string owner =
      shard.value("owner", json::object()).value("instance", "");
    table.Add({ shard.value("shard", ""),
                owner.empty() ? "none" : owner,
                NumberText(shard, "epoch"),
                YesNo(shard, "acting_here"),
                NumberText(shard, "folded"),
                NumberText(shard, "waiting"),
                NumberText(shard, "held") });
  }
  return table.Print();
}

std::string AuditLine(const json& aRow)
{
  std::string line = PrintWallTime(aRow.value("at_ms", int64_t{ 0 })) + "  ";
  line += aRow.value("who", "") + "  " + aRow.value("kind", "") + " " +
          aRow.value("subject", "");
  const std::string verdict = aRow.value("verdict", "");
  if (verdict == "not_kept") {
    line += "  (whether it took effect is not kept)";
  } else if (verdict != "applied") {
    line += "  REFUSED (" + verdict + ")";
    const auto winner = aRow.value("winner", int64_t{ 0 });
    line += winner == 0 ? "" : ", won by offset " + std::to_string(winner);
  }
  line +=
    "\n    " + aRow.value("before", "") + " -> " + aRow.value("after", "");
  const std::string reason = aRow.value("why", "");
  line += reason.empty() ? "" : "; why: " + reason;
  line +=
    "  [" + aRow.value("stream", "") + " " + NumberText(aRow, "offset") + "]";
  return line + "\n";
}

} // namespace

std::string StatusText(const json& aStatus)
{
  const json bundle = aStatus.value("bundle", json::object());
  std::string text = "instance " + aStatus.value("instance", "") +
                     " of failure domain " + aStatus.value("domain", "") + "\n";
  text += "  ready: " + YesNo(aStatus, "ready") +
          "   stopping: " + YesNo(aStatus, "stopping") +
          "   platform's log reachable: " + YesNo(aStatus, "log_reachable") +
          "\n";
  text += "  bundle in force: version " + NumberText(bundle, "version") +
          ", digest " + bundle.value("digest", "") +
          "   newest published: " + NumberText(aStatus, "newest_bundle") + "\n";
  text += "  peers alive:";
  for (const json& peer : aStatus.value("peers_alive", json::array())) {
    text += " " + peer.value("instance", "");
  }
  return text + "\n" + ShardsText(aStatus);
}

std::string WorkersText(const json& aWorkers)
{
  TextTable table({ "WORKER",
                    "DOMAIN",
                    "RACK",
                    "STATE",
                    "CPU MILLIS",
                    "MEMORY MB",
                    "ACCELERATORS",
                    "SLOTS" });
  for (const json& worker : aWorkers.value("workers", json::array())) {
    table.Add({ worker.value("id", ""),
                worker.value("domain", ""),
                worker.value("rack", ""),
                worker.value("state", ""),
                NumberText(worker, "cpu_millis"),
                NumberText(worker, "memory_mb"),
                NumberText(worker, "accelerators"),
                NumberText(worker, "slots") });
  }
  return table.Print();
}

std::string AuditText(const json& aAudit)
{
  std::string text;
  for (const json& row : aAudit.value("audit", json::array())) {
    text += AuditLine(row);
  }
  if (aAudit.value("truncated", false)) {
    text += "older changes are left out; see --limit\n";
  }
  return text;
}

} // namespace mulberryvalve
