#pragma once

// Number, name and description of every logged event. docs/EVENTS.md lists the same rows, and
// .ci/check-docs compares the two. Each component has a range of 100 numbers. A number is never
// reused.
#define BRIARSPAR_EVENTS(X)                                                                        \
  /* daemon */                                                                                     \
  X(100, ProcessStarted, "process started")                                                        \
  X(101, ProcessStopping, "process received a stop signal and is draining")                        \
  X(102, ProcessStopped, "process stopped")                                                        \
  X(103, SettingsInvalid, "settings were rejected")                                                \
  /* agreement */                                                                                  \
  X(200, BecameLeader, "replica became leader")                                                    \
  X(201, LostLeadership, "replica stopped being leader")                                           \
  X(202, StorageFailed, "log storage failed; the voter stopped acknowledging")                     \
  X(203, StorageReopened, "log storage was reopened after an error; the voter takes part again")   \
  X(204, IdentityRenewed, "voter was removed from the group and rejoins under a new identity")     \
  /* config */                                                                                     \
  X(300, ConfigApplied, "configuration version applied")                                           \
  X(301, CommandConflict, "command conflicted with another command")                               \
  /* lease */                                                                                      \
  X(400, LeaseLost, "serving lease expired")                                                       \
  X(401, LeaseGained, "serving lease granted")                                                     \
  /* membership */                                                                                 \
  X(500, VmStateChanged, "state of a VM changed")                                                  \
  /* auth */                                                                                       \
  X(600, KeyRejected, "request has no valid API key")                                              \
  /* quota */                                                                                      \
  X(700, QuotaRefused, "customer exceeded its rate limit")                                         \
  /* idempotency */                                                                                \
  X(800, ClaimCommitted, "request id claimed")                                                     \
  X(801, ClaimUnknown, "outcome of a claimed request is unknown")                                  \
  /* balance */                                                                                    \
  X(900, TargetUnhealthy, "target marked unhealthy")                                               \
  X(901, RequestQuarantined, "request refused because it crashed target processes")                \
  X(902, TargetEnded, "target process ended during a request")                                     \
  /* moves */                                                                                      \
  X(1000, MoveStarted, "move started")                                                             \
  X(1001, MoveStep, "move advanced one step")                                                      \
  X(1002, MoveDone, "move completed")                                                              \
  X(1003, MoveTakenBack, "move was rolled back")                                                   \
  X(1004, RegionFailed, "region failed; its callers are routed to other regions")                  \
  X(1005, RegionReturned, "region recovered; its callers return in steps")                         \
  X(1006, ForcedSharesProposed, "leader proposed the forced shares of a region")                   \
  /* transport */                                                                                  \
  X(1100, PeerConnected, "connection to a peer opened")                                            \
  X(1101, PeerDisconnected, "connection to a peer closed")                                         \
  X(1102, PeerMessageRejected, "message from a peer was rejected")                                 \
  /* forwarding */                                                                                 \
  X(1200, RequestFinished, "request finished")                                                     \
  X(1201, RequestRefused, "request answered with a locally generated error")                       \
  /* entry */                                                                                      \
  X(1300, TargetChosen, "target chosen for a request")                                             \
  X(1301, RequestRetried, "request is retried on another target")                                  \
  X(1302, TargetClosing, "target closes its connection after a response")                          \
  X(1303, TargetReturned, "ejected target passed a probe")                                         \
  X(1304, CallerProtocolError, "caller did not send a valid HTTP request")                         \
  X(1305, EntryServing, "entry VM is ready to serve requests")                                     \
  X(1306, LeaderChanged, "leader changed or responds again")                                       \
  X(1307, ControlLost, "no response from the leader for 1 s")                                      \
  X(1308, LogLinesDropped, "log lines were dropped")                                               \
  X(1309, TargetListApplied, "changes to the target list applied")                                 \
  X(1310, RateHolderSilent, "rate holder did not grant a permit in time")                          \
  X(1311, ConnectionNotAccepted, "connection could not be accepted")                               \
  X(1312, NoTargetChosen, "target selection found no target for a request")                        \
  X(1313, UnexpectedResponse, "target sent a response that belongs to no request in progress")     \
  X(1314, TargetLeaving, "target said that it is leaving")                                         \
  X(1315, TargetPaused, "target asked for no requests for some time")                              \
  X(1316, TargetHeaderIgnored, "value of a target's header could not be read")                     \
  X(1317, TargetConnectionEnded, "connection to a target ended unannounced")                       \
  X(1318, TargetCold, "target is cold, or is taken for cold")                                      \
  X(1319, ProcessNoticesReceived, "other entry VMs found out about processes of targets")          \
  /* control */                                                                                    \
  X(1400, ItemsChanged, "operator command applied")                                                \
  X(1401, OrderRefused, "operator command refused")                                                \
  X(1402, ListRead, "platform's list of targets changed")                                          \
  X(1403, ListFailed, "platform's list of targets could not be read")                              \
  X(1404, EntryJoined, "entry VM reported for the first time")                                     \
  X(1405, EntryLost, "entry VM is stopping or its reports timed out")                              \
  X(1406, VoterAdmitted, "control VM is added to the group")                                       \
  X(1407, VoterRemoved, "unresponsive control VM is removed from the group")                       \
  X(1408, RolloutJudged, "rollout of a service version was evaluated")                             \
  X(1409, SettingsReloaded, "settings were reloaded")                                              \
  X(1410, UnexpectedError, "an event handler failed with an exception")
