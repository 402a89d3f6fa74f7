#pragma once

// Syntax, meaning and example of every statement. A CI check compares the rows with
// docs/LANGUAGE.md and the syntax with docs/design.md.
#define BRIARSPAR_STATEMENTS(X)                                                                    \
  X("show (customers|keys|routes|targets|vms|moves|drains|caps|blocks|version) [as json]",         \
    "list records", "show targets as json")                                                        \
  X("watch move ID", "follow a version move or a traffic shift until it ends", "watch move m42")   \
  X("timeline [request ID] [as json]", "list recent events, of one request or of all",             \
    "timeline request 7f3a")                                                                       \
  X("create customer NAME rate N burst N weight N",                                                \
    "add a customer with its requests per second, burst and weight",                               \
    "create customer utjel rate 500 burst 200 weight 2")                                           \
  X("update customer NAME [rate N] [burst N] [weight N]", "change limits of a customer",           \
    "update customer utjel rate 800 expect 12")                                                    \
  X("create key for CUSTOMER [digest HEX]",                                                        \
    "add a key; its text is shown once, or only its SHA-256 digest is sent",                       \
    "create key for utjel")                                                                        \
  X("withdraw key ID", "make a key stop working", "withdraw key k17")                              \
  X("create route NAME path PREFIX (open|keyed) (idempotent|once) deadline DURATION",              \
    "add a route", "create route booking path /booking keyed once deadline 2s")                    \
  X("delete route NAME", "remove a route that has no targets", "delete route booking")             \
  X("add target NAME address IP:PORT route NAME version V slots N region R domain D",              \
    "add a target; the first one sets the version of its route",                                   \
    "add target b1 address 10.0.0.7:8080 route booking version v1 slots 5 region eu domain eu-1")  \
  X("delete target NAME", "remove a target that is draining", "delete target b1")                  \
  X("set cap NAME PERCENT per DURATION",                                                           \
    "limit traffic shifts from or to a region or domain, or every shift by the name all",          \
    "set cap all 10% per 10m")                                                                     \
  X("set block PREFIX[,PREFIX...] region R", "let callers of these addresses belong to a region",  \
    "set block 10.1.0.0/16 region eu")                                                             \
  X("delete block PREFIX[,PREFIX...]", "remove client blocks", "delete block 10.1.0.0/16")         \
  X("drain (target|vm|domain|region) NAME [by DURATION]", "give no new work",                      \
    "drain domain eu-1 by 15m")                                                                    \
  X("undrain (target|vm|domain|region) NAME", "end a drain, done or not", "undrain domain eu-1")   \
  X("shift FROM to TO PERCENT by DURATION",                                                        \
    "move a part of the traffic of a region or domain to another", "shift eu to us 20% by 1h")     \
  X("move route NAME to version V by DURATION", "move a route to a new version",                   \
    "move route booking to version v2 by 2h")                                                      \
  X("cancel move ID", "take back a version move or a traffic shift", "cancel move m42")
