#include "daemon/OperatorApi.h"

#include "auth/Credentials.h"
#include "auth/KeyDigest.h"
#include "operator_language/RecordQueries.h"
#include "transport/Frame.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <future>
#include <memory>

namespace briarspar::daemon {

namespace {

using core::Json;
using operator_language::Answer;

/// Time limit for the outcome of a command. Covers an election and the commit after it.
constexpr core::Duration CommandTimeout{10'000};

constexpr size_t MaxEventsPerResponse = 8192;

/// Maximum number of client blocks in an answer. The configuration may hold millions of blocks; an
/// answer of this length fits the scrollback of a terminal.
constexpr size_t MaxListedBlocks = 1000;

constexpr int Unauthorized = 401;
constexpr int NotFound = 404;
constexpr int BadRequest = 400;

void write(httplib::Response &res, const Json &body, int status = 200) {
  res.status = status;
  res.set_content(body.dump(-1, ' ', false, Json::error_handler_t::replace), "application/json");
}

Json invalid(const std::string &reason) { return {{"kind", "invalid"}, {"reason", reason}}; }

/// Derives a customer's API key from the command that creates it, so that a retry through any VM
/// after a lost answer returns the same key. Computing it requires the shared secret.
std::string deriveKey(const std::string &secret, const config::Command &command) {
  std::string input = "customer key\n" + command.Operator + "\n" + command.Id;
  std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
  unsigned int n = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       reinterpret_cast<const unsigned char *>(input.data()), input.size(), buf.data(), &n);
  config::KeyDigest bytes{};
  std::copy_n(buf.begin(), bytes.size(), bytes.begin());
  return "bsk_" + auth::toHex(bytes);
}

} // namespace

OperatorApi::OperatorApi(const Settings &settings, ControlThread &control, ControlNode &node,
                         const core::Clock &clock, observability::EventLog &log,
                         observability::Metrics &metrics, TimelineCollector &events)
    : Options(settings), Control(control), Node(node), Clock(clock), Log(log), Metrics(metrics),
      Events(events) {}

std::optional<std::string> OperatorApi::operatorOf(const httplib::Request &req) const {
  std::string header = req.get_header_value("Authorization");
  std::string_view key = auth::keyFromHeader("Authorization", header);
  if (key.empty())
    return std::nullopt;
  std::string digest = auth::toHex(auth::digestOfKey(key));
  std::optional<std::string> found;
  for (const OperatorSettings &it : Options.Operators)
    if (CRYPTO_memcmp(it.KeySha256.data(), digest.data(), digest.size()) == 0)
      found = it.Name;
  return found;
}

void OperatorApi::handle(const httplib::Request &req, httplib::Response &res) {
  if (req.path == "/metrics") {
    res.set_content(Metrics.render(), "text/plain; version=0.0.4");
    return;
  }
  std::optional<std::string> name = operatorOf(req);
  if (!name)
    write(res, invalid("the request carries no valid operator key"), Unauthorized);
  else if (req.path == "/v1/operator" && req.method == "POST")
    onStatement(*name, req, res);
  else if (req.path == "/v1/events")
    onEvents(req, res);
  else if (req.path == "/v1/status")
    onStatus(res);
  else if (req.path == "/v1/platform/vms" && req.method == "PUT")
    onPlatformList(req, res);
  else
    write(res, invalid("unknown path"), NotFound);
}

void OperatorApi::onStatement(const std::string &name, const httplib::Request &req,
                              httplib::Response &res) {
  absl::StatusOr<operator_language::OperatorRequest> request =
      operator_language::decodeOperatorRequest(req.body);
  if (!request.ok()) {
    write(res, invalid(std::string(request.status().message())), BadRequest);
    return;
  }
  res.set_content(operator_language::encode(runStatement(name, *request)), "application/json");
}

Answer OperatorApi::runStatement(const std::string &name,
                                 const operator_language::OperatorRequest &request) {
  absl::StatusOr<operator_language::Statement> parsed = operator_language::parse(request.Statement);
  if (!parsed.ok())
    return operator_language::answerForParseError(parsed.status());
  if (const auto *query = std::get_if<operator_language::Query>(&*parsed))
    return runQuery(*query);
  const auto &command = std::get<operator_language::CommandStatement>(*parsed);
  config::Command out;
  out.Id = !command.Id.empty() ? command.Id : request.Id;
  if (out.Id.empty())
    out.Id = transport::randomHex(16);
  out.Operator = name;
  out.ExpectedVersion = command.ExpectedVersion;
  out.RequestedChange = command.RequestedChange;
  return runCommand(std::move(out));
}

Answer OperatorApi::runCommand(config::Command command) {
  std::string key;
  if (auto *create = std::get_if<config::CreateKey>(&command.RequestedChange)) {
    if (create->Digest == config::KeyDigest{}) {
      key = deriveKey(Options.Secret, command);
      create->Digest = auth::digestOfKey(key);
    }
  }
  using Result = absl::StatusOr<config::Outcome>;
  auto promise = std::make_shared<std::promise<Result>>();
  std::future<Result> future = promise->get_future();
  Control.post([this, command, promise] {
    core::Time now = Clock.now();
    Node.vm().submit(command, now + CommandTimeout, now,
                     [promise](const Result &result) { promise->set_value(result); });
  });
  Result outcome = future.get();
  if (!outcome.ok()) {
    Answer answer;
    answer.Reason = std::string(outcome.status().message());
    return answer;
  }
  Answer answer = operator_language::answerFor(*outcome);
  if (outcome->Status == config::Outcome::Accepted)
    answer.Key = key;
  if (outcome->Status == config::Outcome::Conflict)
    Log.emit({core::EventId::CommandConflict,
              {{"command", command.Id}, {"winner", outcome->WinningCommand}}});
  return answer;
}

Answer OperatorApi::runQuery(const operator_language::Query &query) {
  std::shared_ptr<const ServingState> state = Node.vm().state();
  Answer answer;
  answer.Status = Answer::Result;
  answer.Version = state->Version;
  const auto *show = std::get_if<operator_language::ShowQuery>(&query.Body);
  if (const auto *timeline = std::get_if<operator_language::TimelineQuery>(&query.Body))
    answer.ResultTable = timelineTable(Events.collect(timeline->Request));
  else if (show != nullptr && show->ListedCollection == operator_language::Collection::Version)
    answer.ResultTable = operator_language::versionTable(state->Version, state->Digest);
  else if (show != nullptr && show->ListedCollection == operator_language::Collection::Blocks)
    answer.ResultTable = operator_language::queryRecords(query, listedBlocks());
  else
    answer.ResultTable = operator_language::queryRecords(query, state->Records);
  return answer;
}

config::Records OperatorApi::listedBlocks() {
  config::Records records;
  for (const config::BlockRecord &it :
       Control.call([this] { return Node.vm().blocks(MaxListedBlocks); }))
    records.Blocks[it.Id] = it;
  return records;
}

void OperatorApi::onEvents(const httplib::Request &req, httplib::Response &res) const {
  uint64_t since = std::strtoull(req.get_param_value("since").c_str(), nullptr, 10);
  uint64_t limit = std::strtoull(req.get_param_value("limit").c_str(), nullptr, 10);
  limit = limit == 0 ? 1000 : std::min<uint64_t>(limit, MaxEventsPerResponse);
  Json body = {{"events", Log.since(since, limit)}};
  write(res, body);
}

void OperatorApi::onStatus(httplib::Response &res) {
  Json body = Control.call([this] {
    core::Time now = Clock.now();
    core::ConfigVersion version = Node.vm().state()->Version;
    Json j = {{"vm", Options.Vm},
              {"lease_valid", Node.vm().mayServe(now)},
              {"version", version.Value},
              {"leads", Node.isLeader()},
              {"leader", Node.vm().leader().value_or(core::VmId()).Value},
              {"requests_in_flight", Node.vm().requestsInFlight().load()}};
    if (Node.voter() != nullptr) {
      const agreement::Replica &replica = Node.voter()->replica();
      j["voter"] = replica.configuration().isVoter(replica.self());
      j["term"] = replica.term().Value;
      j["committed"] = replica.commitIndex().Value;
      j["health"] = replica.health().ok() ? "ok" : replica.health().ToString();
    }
    if (Node.isLeader() && Node.leader()->inForceEverywhere(version, now))
      j["in_force"] = version.Value;
    return j;
  });
  write(res, body);
}

void OperatorApi::onPlatformList(const httplib::Request &req, httplib::Response &res) {
  Json body = Json::parse(req.body, nullptr, /*allow_exceptions=*/false);
  std::vector<membership::PlatformEntry> list;
  if (!body.is_array()) {
    write(res, invalid("expected a JSON array"), BadRequest);
    return;
  }
  for (const Json &it : body) {
    if (!it.is_object() || !it.contains("vm") || !it["vm"].is_string()) {
      write(res, invalid("expected objects with a text member 'vm'"), BadRequest);
      return;
    }
    bool leaving = it.contains("leaving") && it["leaving"].is_boolean() && it["leaving"];
    list.push_back({core::VmId(it["vm"].get<std::string>()), leaving});
  }
  bool accepted = Control.call([&] {
    if (Node.leader() == nullptr)
      return false;
    Node.leader()->updatePlatformList(list, Clock.now());
    return true;
  });
  write(res, {{"kind", accepted ? "accepted" : "unavailable"}}, accepted ? 200 : 503);
}

} // namespace briarspar::daemon
