#include "ctl/Client.h"

#include "config/Text.h"

namespace briarspar::ctl {

using operator_language::Answer;

namespace {

constexpr int HttpUnauthorized = 401;
constexpr int HttpForbidden = 403;

} // namespace

Client::Client(Transport &transport, std::vector<Server> servers)
    : HttpClient(transport), Servers(std::move(servers)) {}

Reply Client::send(const operator_language::OperatorRequest &request) {
  Reply reply;
  reply.Reason = "no server is configured";
  std::string body = encode(request);
  for (size_t n = 0; n < Servers.size(); ++n) {
    size_t index = (PreferredIndex + n) % Servers.size();
    if (tryServer(Servers[index], body, reply)) {
      PreferredIndex = index;
      return reply;
    }
  }
  return reply;
}

bool Client::tryServer(const Server &server, const std::string &body, Reply &reply) {
  HttpReply http = HttpClient.post(server, body);
  auto failed = [&](bool mayHaveRun, const std::string &reason) {
    if (mayHaveRun)
      reply.Status = Reply::Unknown;
    reply.Reason = config::concat(server.Host, ":", server.Port, ": ", reason);
    return false;
  };
  if (http.Result != HttpReply::Answered)
    return failed(http.Result == HttpReply::Lost, http.Reason);
  absl::StatusOr<Answer> answer = operator_language::decodeAnswer(http.Body);
  if (!answer.ok() && (http.Status == HttpUnauthorized || http.Status == HttpForbidden)) {
    answer = Answer();
    answer->Status = Answer::Invalid;
    answer->Reason = "the server refused the operator key";
  }
  if (!answer.ok())
    return failed(true, config::concat("HTTP status ", http.Status, " without a valid answer"));
  if (answer->Status == Answer::Unavailable)
    return failed(!answer->NotRun, answer->Reason);
  reply.Status = Reply::Decided;
  reply.Answer = *std::move(answer);
  return true;
}

} // namespace briarspar::ctl
