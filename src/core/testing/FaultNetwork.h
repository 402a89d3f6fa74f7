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
  Duration MinDelay{1};      ///< Minimum one-way delay.
  Duration MaxDelay{20};     ///< Maximum one-way delay. Delays vary, so messages are reordered.
  uint32_t LossPermille = 0; ///< Probability of loss.
  uint32_t DuplicatePermille = 0; ///< Probability of a second delivery.
};

/// An in-memory network on simulated time that delays, loses, duplicates and reorders messages and
/// cuts links in one direction. Deterministic: the same seed and calls give the same deliveries.
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

  /// Queues a message sent at `now`. Drops it if the link is cut or the sender is down.
  void send(Node from, Node to, const Message &body, Time now) {
    if (isCut(from, to) || Down.count(from) != 0)
      return;
    if (chance(Settings.LossPermille))
      return;
    enqueue(from, to, body, now);
    if (chance(Settings.DuplicatePermille))
      enqueue(from, to, body, now);
  }

  /// Returns the next message due at or before `now`, if any. Drops messages to a node that is down
  /// or over a link that was cut after they were sent. Messages to a paused node stay queued.
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

  /// Cuts the link in one direction only.
  void cut(Node from, Node to) { Cut.insert({from, to}); }
  void heal(Node from, Node to) { Cut.erase({from, to}); }
  void healAll() { Cut.clear(); }
  void isolate(Node node, Node nodeCount) {
    for (Node n = 0; n < nodeCount; ++n) {
      cut(node, n);
      cut(n, node);
    }
  }

  /// Messages to and from a node that is down are lost.
  void setDown(Node node, bool down) { setMember(Down, node, down); }
  /// Messages to a paused node stay queued until it resumes, as in socket buffers.
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
