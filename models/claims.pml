/*
 * At-most-once dispatch of one request id. Two VMs, each with one restart, claim the id for two
 * transmissions per run. The owner of the table proposes a claim, commits it and only then grants
 * it; a change of owner drops what is proposed and not committed.
 *
 * The network keeps every message: a claim that was sent may be proposed, and a grant that was issued
 * may be delivered, at any later time, any number of times and in any order, or never. That covers
 * loss, delay, duplicates and reordering.
 *
 * Checked: the id is dispatched at most once; an attempt that sent bytes is never released, so "not
 * run" is never said of it; a stored answer exists only after a run; a dispatched id never becomes
 * free; a claimant that records a completion still owns the record.
 *
 * -DMUTANT removes one guard: a VM acts on a grant of its current attempt in every phase, so that a
 * duplicated or delayed grant is acted on again.
 */

#define VMS 2
#define RUNS 2     /* Runs of the process of each VM: one restart. */
#define ATTEMPTS 2 /* Attempts of a run: a transmission and its resend. */
#define COUNT 8    /* VMS * RUNS * ATTEMPTS */
#define NONE 8

/* Identifies an attempt. */
#define ID(v, r, a) ((v) * 4 + (r) * 2 + (a))
#define VM_OF(id) ((id) / 4)
#define RUN_OF(id) (((id) / 2) % 2)

mtype = { Free, InProgress, Completed, Unknown };            /* States of the record. */
mtype = { Idle, Claiming, Dispatched, Completing, Releasing }; /* Phases of an attempt. */

mtype record = Free;
bool final = false;      /* The claimant recorded the end. */
byte holder = NONE;      /* Attempt that holds the record. */
byte proposed = NONE;    /* Claim in the owner's log, not committed. */
bool sent[COUNT];        /* Claims that are in the network. */
bool granted[COUNT];     /* Grants that are in the network. */
bool released[COUNT];    /* Releases that were committed; they block delayed claims. */
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
  /* The deadline has passed, or the VM is declared dead. */
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
  byte life = 0;
  byte attempt = 0;
  bool wrote = false; /* This attempt has sent bytes to a target. */
  mtype phase = Idle;
end:
  do
  /* A transmission arrives and is claimed. */
  :: atomic { phase == Idle && attempt < ATTEMPTS ->
       phase = Claiming; sent[ID(self, life, attempt)] = true }

  /* The grant arrives while the lease is valid, */
#ifdef MUTANT
  :: atomic { phase != Idle && granted[ID(self, life, attempt)] ->
#else
  :: atomic { phase == Claiming && granted[ID(self, life, attempt)] ->
#endif
       dispatches++; wrote = true; phase = Dispatched;
       assert(dispatches <= 1) }
  /* or when the lease has ended; or the caller's deadline passes first. */
  :: atomic { phase == Claiming -> phase = Releasing }
  /* The stored answer arrives instead. */
  :: atomic { phase == Claiming && record == Completed ->
       assert(dispatches == 1); phase = Idle; attempt++; wrote = false }

  /* A delayed grant of an ended attempt of this run is given back. */
  :: atomic { attempt > 0 && granted[ID(self, life, 0)] -> release(ID(self, life, 0)) }
  :: atomic { attempt > 1 && granted[ID(self, life, 1)] -> release(ID(self, life, 1)) }

  /* The target answers, or the answer is lost, and the end is recorded. */
  :: atomic { phase == Dispatched -> phase = Completing }
  :: atomic { phase == Completing ->
       assert(holder == ID(self, life, attempt) && record != Free);
       final = true;
       if
       :: record = Completed
       :: record = Unknown
       fi;
       phase = Idle; attempt++; wrote = false }

  /* The release is committed. */
  :: atomic { phase == Releasing ->
       assert(!wrote);
       release(ID(self, life, attempt));
       phase = Idle; attempt++; wrote = false }

  /* The process dies at any moment and restarts. */
  :: atomic { life < RUNS - 1 ->
       life++; attempt = 0; wrote = false; phase = Idle }
  od
}

/* A dispatched id never becomes free again. */
active proctype watcher() {
end:
  atomic { dispatches > 0 && record == Free -> assert(false) }
}

init {
  atomic { run vm(0); run vm(1) }
}
