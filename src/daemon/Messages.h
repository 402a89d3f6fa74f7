#pragma once

#include "core/Ids.h"

#include <array>
#include <functional>
#include <string>
#include <string_view>

namespace briarspar::daemon {

/// Kinds of messages between processes. The bodies are encoded as CBOR by the modules that define
/// the types named here.
namespace kind {
constexpr std::string_view Raft = "raft";       ///< agreement::Envelope, voter to voter.
constexpr std::string_view Renewal = "renewal"; ///< lease::Renewal, VM to leader.
constexpr std::string_view RenewalResponse = "renewal-answer"; ///< Leader to VM.
constexpr std::string_view Grant = "grant";                  ///< quota::GrantRequest, VM to leader.
constexpr std::string_view GrantResponse = "grant-answer";   ///< Leader to VM.
constexpr std::string_view Slots = "slots";                  ///< balance::SlotReport, VM to leader.
constexpr std::string_view SlotsResponse = "slots-answer";   ///< Leader to VM.
constexpr std::string_view Claim = "claim";                  ///< ClaimCommand, VM to leader.
constexpr std::string_view ClaimResult = "claim-result";     ///< Leader to VM.
constexpr std::string_view Crash = "crash";                  ///< CrashReport, VM to leader.
constexpr std::string_view CrashAck = "crash-ack";           ///< Merged CrashReport, leader to VM.
constexpr std::string_view CrashNotice = "crash-notice";     ///< New crashes, leader to all VMs.
constexpr std::string_view Command = "command";              ///< config::Command, VM to leader.
constexpr std::string_view CommandResult = "command-result"; ///< config::Outcome, leader to VM.
constexpr std::string_view Join = "join";                    ///< New voter identity, VM to leader.
constexpr std::string_view Events = "events";                ///< Requests the events of a VM.
constexpr std::string_view EventsResponse = "events-answer"; ///< The events of a VM.
constexpr std::string_view Batch = "batch";                  ///< Several messages in one frame.
constexpr std::string_view CrashNoticeAck = "crash-notice-ack"; ///< VM to leader.

/// All kinds. The index of a kind is its number on the wire, so new kinds must be appended.
inline constexpr std::array All{
    Raft,  Renewal,     RenewalResponse, Grant,    GrantResponse, Slots,   SlotsResponse,
    Claim, ClaimResult, Crash,           CrashAck, CrashNotice,   Command, CommandResult,
    Join,  Events,      EventsResponse,  Batch,    CrashNoticeAck};
} // namespace kind

/// Sends a message to another process or to this one. Delivery is not guaranteed.
using Sender = std::function<void(const core::VmId &to, std::string_view kind, std::string bytes)>;

} // namespace briarspar::daemon
