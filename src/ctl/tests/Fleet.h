#pragma once

#include "auth/KeyDigest.h"
#include "config/ConfigStore.h"
#include "core/testing/Property.h"
#include "ctl/Transport.h"
#include "operator_language/Answer.h"
#include "operator_language/Parser.h"
#include "operator_language/RecordQueries.h"

#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace briarspar::ctl::testing {

/// Handles one operator request like a VM.
inline operator_language::Answer decide(config::ConfigStore &store, const std::string &body) {
  auto request = operator_language::decodeOperatorRequest(body);
  cr_assert(request.ok());
  auto statement = operator_language::parse(request->Statement);
  if (!statement.ok())
    return operator_language::answerForParseError(statement.status());
  if (auto *command = std::get_if<operator_language::CommandStatement>(&*statement))
    return operator_language::answerFor(
        store.apply({request->Id, "ops", command->ExpectedVersion, command->RequestedChange, {}}));
  operator_language::Answer answer;
  answer.Status = operator_language::Answer::Result;
  answer.ResultTable = operator_language::queryRecords(
      std::get<operator_language::Query>(*statement), store.records());
  return answer;
}

/// An in-memory fleet with one store. Each attempt consumes the next fault; without a fault it
/// succeeds.
class Fleet final : public Transport {
public:
  enum Fault {
    None,
    NotConnected,
    RequestLost,     ///< The connection closes before the VM has decided.
    AnswerLost,      ///< The connection closes after the VM has decided.
    Unavailable,     ///< The VM has no leader and does not know the outcome.
    NotRun,          ///< The VM refuses the statement before it has any effect.
    MalformedAnswer, ///< The response does not decode.
    KeyRefused,      ///< The operator key is refused with HTTP status 403.
  };

  HttpReply post(const Server &server, const std::string &body) override {
    Fault fault = None;
    if (!Faults.empty()) {
      fault = Faults.front();
      Faults.pop_front();
    }
    if (OnPost)
      OnPost();
    Ports.push_back(server.Port);
    if (fault == NotConnected)
      return {HttpReply::NotConnected, 0, "", "refused"};
    Bodies.push_back(body);
    if (fault == RequestLost)
      return {HttpReply::Lost, 0, "", "closed"};
    if (fault == MalformedAnswer)
      return {HttpReply::Answered, 502, "<html>", ""};
    if (fault == KeyRefused)
      return {HttpReply::Answered, 403, "", ""};
    operator_language::Answer answer;
    answer.Reason = "no leader";
    answer.NotRun = fault == NotRun;
    if (fault != Unavailable && fault != NotRun)
      answer = decide(Store, body);
    if (fault == AnswerLost)
      return {HttpReply::Lost, 0, "", "closed"};
    return {HttpReply::Answered, 200, encode(answer), ""};
  }

  config::ConfigStore Store;
  std::deque<Fault> Faults;
  std::vector<int> Ports;          ///< Port of each attempt.
  std::vector<std::string> Bodies; ///< Body of each request that was sent.
  std::function<void()> OnPost;    ///< Called at each attempt.
};

} // namespace briarspar::ctl::testing
