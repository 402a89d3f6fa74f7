#pragma once

#include "core/Clock.h"

#include <pcg_random.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <utility>

namespace briarspar::core::testing {

/// Fault rates of a FaultNetwork.
struct FaultSettings {
  Duration MinDelay{1};           ///< Shortest one-way delay.
  Duration MaxDelay{20};          ///< Longest one-way delay. Reordering follows from the spread.
  uint32_t LossPermille = 0;      ///< Messages lost, in thousandths.
  uint32_t DuplicatePermille = 0; ///< Messages delivered twice, in thousandths.
};

/// An in-memory transport on injected time. It delays, loses, duplicates and reorders messages and
/// cuts links in one direction. Nodes are small integers. The same seed and calls give the same
/// deliveries.
template <class Message> class FaultNetwork {
public:
  using Node = uint32_t;

  struct Delivery {
    Node From = 0;
    Node To = 0;
    Message Body;
  };

  FaultNetwork(uint64_t seed, const FaultSettings &settings) : Rng(seed), Settings(settings) {}

  FaultSettings &settings() { return Settings; }
  pcg32 &rng() { return Rng; }

  /// Queues a message sent at `now`. Cut links and down nodes drop it.
  void send(Node from, Node to, const Message &body, Time now) {
    if (isCut(from, to) || Down.count(from) != 0)
      return;
    if (chance(Settings.LossPermille))
      return;
    enqueue(from, to, body, now);
    if (chance(Settings.DuplicatePermille))
      enqueue(from, to, body, now);
  }

  /// Returns the next message due at or before `now`, or nothing. Messages to a down node, or over
  /// a link cut since they were sent, are dropped. Messages to a paused node wait until it resumes.
  std::optional<Delivery> receive(Time now) {
    for (auto it = Queue.begin(); it != Queue.end() && it->first.first <= now.Ms;) {
      Node to = it->second.To;
      if (Paused.count(to) != 0) {
        ++it;
        continue;
      }
      Delivery delivery = std::move(it->second);
      it = Queue.erase(it);
      if (Down.count(to) != 0 || isCut(delivery.From, to))
        continue;
      return delivery;
    }
    return std::nullopt;
  }

  /// Cuts the link in one direction; call it twice for a full partition.
  void cut(Node from, Node to) { Cut.insert({from, to}); }
  void heal(Node from, Node to) { Cut.erase({from, to}); }
  void healAll() { Cut.clear(); }
  void isolate(Node node, Node nodeCount) {
    for (Node n = 0; n < nodeCount; ++n) {
      cut(node, n);
      cut(n, node);
    }
  }

  /// A down node loses all messages to and from it.
  void setDown(Node node, bool down) { setMember(Down, node, down); }
  /// A paused node receives nothing until it resumes; its messages wait, as in socket buffers.
  void setPaused(Node node, bool paused) { setMember(Paused, node, paused); }
  bool isDown(Node node) const { return Down.count(node) != 0; }
  bool isPaused(Node node) const { return Paused.count(node) != 0; }
  bool isCut(Node from, Node to) const { return Cut.count({from, to}) != 0; }

private:
  static void setMember(std::set<Node> &set, Node node, bool member) {
    if (member)
      set.insert(node);
    else
      set.erase(node);
  }

  bool chance(uint32_t permille) {
    return std::uniform_int_distribution<uint32_t>(0, 999)(Rng) < permille;
  }

  void enqueue(Node from, Node to, const Message &body, Time now) {
    std::uniform_int_distribution<int64_t> delay(Settings.MinDelay.Ms, Settings.MaxDelay.Ms);
    Queue.emplace(std::make_pair(now.Ms + delay(Rng), Sequence++), Delivery{from, to, body});
  }

  pcg32 Rng;
  FaultSettings Settings;
  uint64_t Sequence = 0;
  std::map<std::pair<int64_t, uint64_t>, Delivery> Queue;
  std::set<std::pair<Node, Node>> Cut;
  std::set<Node> Down;
  std::set<Node> Paused;
};

} // namespace briarspar::core::testing
