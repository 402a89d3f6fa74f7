/*
 * Model of the at-most-once dispatch of one request id. Two VMs, each with one restart, claim the id for
 * two transmissions per run. The owner of the claim table proposes a claim, commits it and only then
 * grants it. A change of owner discards a claim that is proposed but not committed.
 *
 * The network keeps every message: a claim that was sent may be proposed, and a grant that was issued may
 * be delivered, at any later time, any number of times and in any order, or never. This covers loss,
 * delay, duplication and reordering.
 *
 * Properties: the id is dispatched at most once; an attempt that sent bytes to a target is never released,
 * so it is never reported as "not run"; a stored answer exists only after a run; a dispatched id never
 * becomes free again; a claimant that records a completion still owns the record.
 *
 * -DMUTANT removes one guard: a VM accepts a grant of its current attempt in every phase, so that it
 * dispatches again on a duplicated or delayed grant.
 */

#define VMS 2
#define RUNS 2     /* Runs of the process of each VM, that is, one restart. */
#define ATTEMPTS 2 /* Attempts per run: a transmission and a resent one. */
#define COUNT 8    /* VMS * RUNS * ATTEMPTS */
#define NONE 8

/* Identifies an attempt. */
#define ID(v, r, a) ((v) * 4 + (r) * 2 + (a))
#define VM_OF(id) ((id) / 4)
#define RUN_OF(id) (((id) / 2) % 2)

mtype = { Free, InProgress, Completed, Unknown };            /* States of the record. */
mtype = { Idle, Claiming, Dispatched, Completing, Releasing }; /* Phases of an attempt. */

mtype record = Free;
bool final = false;      /* The claimant has recorded the end of the request. */
byte holder = NONE;      /* Attempt that holds the record. */
byte proposed = NONE;    /* Claim in the log of the owner that is not committed. */
bool sent[COUNT];        /* Claims in the network. */
bool granted[COUNT];     /* Grants in the network. */
bool released[COUNT];    /* Committed releases. They block delayed claims. */
byte dispatches = 0;

/* Commits the proposed claim. */
inline commit() {
  if
  :: record == Free && !released[proposed] ->
     record = InProgress; holder = proposed; final = false; granted[proposed] = true
  :: record == Free && released[proposed] -> skip
  :: record == InProgress && holder == proposed -> granted[proposed] = true
  :: record == InProgress && VM_OF(holder) == VM_OF(proposed) && RUN_OF(holder) < RUN_OF(proposed) ->
     record = Unknown
  :: else -> skip
  fi;
  proposed = NONE
}

active proctype owner() {
  byte id = 0;
end:
  do
  :: atomic { proposed == NONE ->
       id = 0;
       do
       :: id < COUNT - 1 -> id++
       :: true -> break
       od;
       if
       :: sent[id] -> proposed = id
       :: !sent[id] -> skip
       fi;
       id = 0 }
  :: atomic { proposed != NONE -> commit() }
  /* Change of owner. */
  :: atomic { proposed != NONE -> proposed = NONE }
  /* The deadline has passed, or the VM was declared dead. */
  :: atomic { record == InProgress -> record = Unknown }
  od
}

/* Commits a release of attempt `id`. */
inline release(id) {
  if
  :: record == Free -> released[id] = true
  :: record != Free && holder == id && !final -> record = Free; holder = NONE; released[id] = true
  :: else -> skip
  fi
}

proctype vm(byte self) {
  byte currentRun = 0;
  byte attempt = 0;
  bool sentBytes = false; /* The current attempt has sent bytes to a target. */
  mtype phase = Idle;
end:
  do
  /* A transmission arrives, and the VM claims the id. */
  :: atomic { phase == Idle && attempt < ATTEMPTS ->
       phase = Claiming; sent[ID(self, currentRun, attempt)] = true }

  /* The grant arrives while the lease is valid. */
#ifdef MUTANT
  :: atomic { phase != Idle && granted[ID(self, currentRun, attempt)] ->
#else
  :: atomic { phase == Claiming && granted[ID(self, currentRun, attempt)] ->
#endif
       dispatches++; sentBytes = true; phase = Dispatched;
       assert(dispatches <= 1) }
  /* The grant arrives after the lease has expired, or the deadline of the caller passes first. */
  :: atomic { phase == Claiming -> phase = Releasing }
  /* The stored answer arrives instead of a grant. */
  :: atomic { phase == Claiming && record == Completed ->
       assert(dispatches == 1); phase = Idle; attempt++; sentBytes = false }

  /* A delayed grant of an earlier attempt of this run is released. */
  :: atomic { attempt > 0 && granted[ID(self, currentRun, 0)] -> release(ID(self, currentRun, 0)) }
  :: atomic { attempt > 1 && granted[ID(self, currentRun, 1)] -> release(ID(self, currentRun, 1)) }

  /* The target answers, or its answer is lost, and the VM records the end. */
  :: atomic { phase == Dispatched -> phase = Completing }
  :: atomic { phase == Completing ->
       assert(holder == ID(self, currentRun, attempt) && record != Free);
       final = true;
       if
       :: record = Completed
       :: record = Unknown
       fi;
       phase = Idle; attempt++; sentBytes = false }

  /* The release is committed. */
  :: atomic { phase == Releasing ->
       assert(!sentBytes);
       release(ID(self, currentRun, attempt));
       phase = Idle; attempt++; sentBytes = false }

  /* The process may crash and restart at any time. */
  :: atomic { currentRun < RUNS - 1 ->
       currentRun++; attempt = 0; sentBytes = false; phase = Idle }
  od
}

/* A dispatched id never becomes free again. */
active proctype monitor() {
end:
  atomic { dispatches > 0 && record == Free -> assert(false) }
}

init {
  atomic { run vm(0); run vm(1) }
}
