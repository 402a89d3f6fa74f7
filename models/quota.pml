/* Prepaid quota grants with a change of owner, in whole ticks.
 *
 * The bucket `exact` admits what the bound allows: burst + rate * length for every interval. Every use
 * of a token is taken from it, and it must never run short. The owner's bucket holds granted tokens
 * until their reported use or their expiry. Reports may be delayed or lost; a grant may be used,
 * closed unused, or lapse. An owner may be replaced at any moment, and grants of old owners stay
 * usable until they expire.
 *
 * With -DMUTANT a new owner does not wait for the old owner's grants to expire.
 *
 * The search is about 25,000 steps deep; run the verifier with -m100000.
 */
#define BURST  3 /* Depth of the bucket; the rate is one token per tick. */
#define LENGTH 2 /* Ticks after the grant during which a token may be used. */
#define SLOTS  5 /* Grants that can be in some state at the same time. */
#define OWNERS 3 /* Owners one after the other. */

mtype = { Free, Live, Used, Closed };

mtype holder[SLOTS]; /* What the VM did with the grant. */
byte age[SLOTS];     /* Ticks since the grant. */
bool recorded[SLOTS]; /* The present owner has a record of the grant. */

int exact = BURST;
int level = BURST;   /* The owner's bucket, granted tokens included. */
byte granted = 0;    /* Tokens granted and not yet settled. */
byte owner = 1;
byte wait = 0;       /* Ticks until tokens accrue at a new owner. */

inline settle(slot, used) {
  level = level - used;
  granted--;
  recorded[slot] = false
}

inline tick() {
  byte n;
  exact = (exact < BURST -> exact + 1 : BURST);
  if
  :: wait > 0 -> wait--
  :: else -> level = (level < BURST -> level + 1 : BURST)
  fi;
  for (n : 0 .. SLOTS - 1) {
    if
    :: holder[n] != Free ->
       age[n]++;
       if
       :: age[n] > LENGTH ->
          if
          :: recorded[n] -> settle(n, 1)
          :: else
          fi;
          holder[n] = Free;
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
      holder[s] = Free
    }
    s = 0
  }
  do
  :: atomic { tick() }
  :: atomic { owner < OWNERS -> change_owner() }
  :: atomic {
       select (s : 0 .. SLOTS - 1);
       if
       /* The owner grants one token from what it has not granted yet. */
       :: holder[s] == Free && level - granted >= 1 ->
          holder[s] = Live;
          recorded[s] = true;
          granted++
       /* The VM admits a request. */
       :: holder[s] == Live ->
          holder[s] = Used;
          exact--;
          assert(exact >= 0)
       /* The VM closes the grant before it returns the token. */
       :: holder[s] == Live -> holder[s] = Closed
       /* A report arrives; without a record, at a new owner, it changes nothing. */
       :: holder[s] == Used ->
          if
          :: recorded[s] -> settle(s, 1)
          :: else
          fi;
          holder[s] = Free;
          age[s] = 0
       :: holder[s] == Closed ->
          if
          :: recorded[s] -> settle(s, 0)
          :: else
          fi;
          holder[s] = Free;
          age[s] = 0
       :: else
       fi;
       s = 0;
       assert(level >= granted)
     }
  od
}
