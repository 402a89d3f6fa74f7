/* Model of prepaid quota grants with a change of owner, in discrete ticks.
 *
 * The bucket `boundTokens` admits exactly what the bound allows: burst + rate * length in every interval.
 * Every use of a token is charged to it, and it must never become negative. The bucket of the owner keeps
 * granted tokens until their use is reported or they expire. Reports may be delayed or lost; a grant may
 * be used, closed unused, or expire. An owner may be replaced at any time, and grants of earlier owners
 * stay usable until they expire.
 *
 * With -DMUTANT, a new owner does not wait for the expiry of earlier grants.
 *
 * The search reaches a depth of about 25,000 steps, so the verifier needs -m100000.
 */
#define BURST  3 /* Depth of the bucket; the rate is one token per tick. */
#define LENGTH 2 /* Ticks after the grant during which a token may be used. */
#define SLOTS  5 /* Grants that can exist at the same time. */
#define OWNERS 3 /* Number of successive owners. */

mtype = { Free, Live, Used, Closed };

mtype grantState[SLOTS]; /* State of the grant at the VM. */
byte age[SLOTS];     /* Ticks since the grant. */
bool recorded[SLOTS]; /* The current owner has a record of the grant. */

int boundTokens = BURST;
int level = BURST;   /* Bucket of the owner, including granted tokens. */
byte granted = 0;    /* Tokens that are granted and not settled. */
byte owner = 1;
byte wait = 0;       /* Ticks until tokens accrue at a new owner. */

inline settle(slot, used) {
  level = level - used;
  granted--;
  recorded[slot] = false
}

inline tick() {
  byte n;
  boundTokens = (boundTokens < BURST -> boundTokens + 1 : BURST);
  if
  :: wait > 0 -> wait--
  :: else -> level = (level < BURST -> level + 1 : BURST)
  fi;
  for (n : 0 .. SLOTS - 1) {
    if
    :: grantState[n] != Free ->
       age[n]++;
       if
       :: age[n] > LENGTH ->
          if
          :: recorded[n] -> settle(n, 1)
          :: else
          fi;
          grantState[n] = Free;
          age[n] = 0
       :: else
       fi
    :: else
    fi
  }
  n = 0
}

inline change_owner() {
  byte m;
  owner++;
  level = 0;
  granted = 0;
#ifdef MUTANT
  wait = 0;
#else
  wait = LENGTH + 1;
#endif
  for (m : 0 .. SLOTS - 1) {
    recorded[m] = false
  }
  m = 0
}

init {
  byte s;
  atomic {
    for (s : 0 .. SLOTS - 1) {
      grantState[s] = Free
    }
    s = 0
  }
  do
  :: atomic { tick() }
  :: atomic { owner < OWNERS -> change_owner() }
  :: atomic {
       select (s : 0 .. SLOTS - 1);
       if
       /* The owner grants one token that is not granted yet. */
       :: grantState[s] == Free && level - granted >= 1 ->
          grantState[s] = Live;
          recorded[s] = true;
          granted++
       /* The VM admits a request. */
       :: grantState[s] == Live ->
          grantState[s] = Used;
          boundTokens--;
          assert(boundTokens >= 0)
       /* The VM closes the grant before it returns the token. */
       :: grantState[s] == Live -> grantState[s] = Closed
       /* A report arrives. A new owner without a record of the grant ignores it. */
       :: grantState[s] == Used ->
          if
          :: recorded[s] -> settle(s, 1)
          :: else
          fi;
          grantState[s] = Free;
          age[s] = 0
       :: grantState[s] == Closed ->
          if
          :: recorded[s] -> settle(s, 0)
          :: else
          fi;
          grantState[s] = Free;
          age[s] = 0
       :: else
       fi;
       s = 0;
       assert(level >= granted)
     }
  od
}
