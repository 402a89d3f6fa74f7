/* Model of reserves, in discrete ticks. A reserve is a fraction of a rate that a VM may use without contact
 * to an owner.
 *
 * Two VMs share a rate of two tokens per tick, one each. A reserve starts DELAY ticks after its issue and
 * ends at END. The response that carries it may be lost, so the owner charges the VM from the oldest issue
 * that it may hold. A new owner has no record of reserves: until those of its predecessors have expired, it
 * grants only what VMs return. A VM stops using a reserve before it returns it, and returns it to one owner
 * only; that message may be lost. The bucket `boundTokens` admits exactly what the bound allows and must
 * never become negative.
 *
 * With -DMUTANT, a new owner waits only until earlier grants have expired.
 */
#define BURST  3
#define LENGTH 1 /* Ticks during which a granted token may be used. */
#define DELAY  1
#define END    3
#define SLOTS  1
#define OWNERS 3
#define VMS    2

int boundTokens = BURST;
int level = BURST;   /* Bucket of the owner. */
byte granted = 0;
byte owner = 1;
byte wait = 0;       /* Ticks until the reserves of earlier owners have expired. */
bool returned[VMS];  /* Returned to the current owner. */

byte held[VMS];      /* Owner that issued the reserve of the VM; 0: none. */
byte heldAge[VMS];
byte tokens[VMS];    /* Tokens of the reserve at the VM, at most one. */
byte sentTo[VMS];    /* Owner to which a return was sent; 0: none. */
byte sentTokens[VMS];
bool counted[VMS];   /* The owner has issued a reserve that may be in force. */
byte age[VMS];       /* Age of the oldest such reserve, at most DELAY + 1. */
byte newest[VMS];    /* Age of the newest such reserve. */
bool unused[VMS];    /* The reserve has a token that may still be used. */

bool live[SLOTS];    /* Grants of one token. */
bool recorded[SLOTS];
byte grantAge[SLOTS];

#define partial (wait > 0)
#define reservedDepth (counted[0] + counted[1])
#define availableTokens (level - granted - unused[0] - unused[1])

inline charge(v) {
  if
  :: counted[v] ->
     age[v] = (age[v] > DELAY -> age[v] : age[v] + 1);
     newest[v]++;
     if
     :: newest[v] > END ->
        level = level - unused[v];
        counted[v] = false; unused[v] = false; age[v] = 0; newest[v] = 0
     :: newest[v] <= END && age[v] > DELAY ->
        if
        :: unused[v] -> level--
        :: else -> unused[v] = true
        fi
     :: else
     fi
  :: else
  fi
}

inline age_reserve(v) {
  if
  :: held[v] != 0 ->
     heldAge[v]++;
     if
     :: heldAge[v] > END -> held[v] = 0; heldAge[v] = 0; tokens[v] = 0
     :: heldAge[v] <= END && heldAge[v] > DELAY -> tokens[v] = 1
     :: else
     fi
  :: else
  fi
}

inline age_grant(s) {
  if
  :: live[s] || recorded[s] ->
     grantAge[s]++;
     if
     :: grantAge[s] > LENGTH ->
        if
        :: recorded[s] -> level--; granted--
        :: else
        fi;
        live[s] = false; recorded[s] = false; grantAge[s] = 0
     :: else
     fi
  :: else
  fi
}

inline tick() {
  boundTokens = (boundTokens + 2 > BURST -> BURST : boundTokens + 2);
  if
  :: partial ->
     level = level + returned[0] + returned[1];
     level = (level > returned[0] + returned[1] -> returned[0] + returned[1] : level);
     wait--
  :: else -> level = (level + 2 > BURST -> BURST : level + 2)
  fi;
  charge(0); charge(1);
  age_grant(0);
  age_reserve(0); age_reserve(1);
  if
  :: !partial -> returned[0] = false; returned[1] = false
  :: else
  fi
}

inline change_owner() {
  owner++;
  level = 0; granted = 0;
#ifdef MUTANT
  wait = LENGTH + 1;
#else
  wait = END + 1;
#endif
  recorded[0] = false;
  returned[0] = false; returned[1] = false;
  counted[0] = false; counted[1] = false;
  age[0] = 0; age[1] = 0;
  newest[0] = 0; newest[1] = 0;
  unused[0] = false; unused[1] = false
}

active proctype system() {
  byte v;
  do
  :: atomic { tick() }
  :: atomic { owner < OWNERS -> change_owner() }
  /* A grant, its use, and the report of the use. */
  :: atomic {
       !live[0] && !recorded[0] && availableTokens >= 1 && granted + reservedDepth < BURST ->
       live[0] = true; recorded[0] = true; granted++; grantAge[0] = 0
     }
  :: atomic { live[0] -> live[0] = false; boundTokens--; assert(boundTokens >= 0) }
  :: atomic { !live[0] && recorded[0] -> recorded[0] = false; level--; granted--; grantAge[0] = 0 }
  :: atomic {
       if
       :: v = 0
       :: v = 1
       fi;
       if
       /* The owner issues a reserve. The response arrives or is lost. */
       :: (!partial || returned[v]) && held[v] != 0 && held[v] != owner
       :: (!partial || returned[v]) && (held[v] == 0 || held[v] == owner) && sentTo[v] == 0 &&
          (counted[v] || granted + reservedDepth < BURST) ->
          if
          :: !counted[v] -> counted[v] = true; age[v] = 0
          :: else
          fi;
          newest[v] = 0;
          if
          :: held[v] = owner; heldAge[v] = 0; tokens[v] = 0
          :: skip
          fi
       /* The acknowledgement of the VM arrives: earlier reserves count as used. */
       :: held[v] == owner && counted[v] && heldAge[v] < age[v] && heldAge[v] >= newest[v] ->
          level = level - unused[v] - (heldAge[v] > DELAY + 1);
          unused[v] = (heldAge[v] > DELAY);
          age[v] = (heldAge[v] > DELAY -> DELAY + 1 : heldAge[v])
       :: tokens[v] > 0 -> tokens[v]--; boundTokens--; assert(boundTokens >= 0)
       /* The VM returns the reserve of an earlier owner. */
       :: held[v] != 0 && held[v] < owner && heldAge[v] > DELAY ->
          sentTo[v] = owner; sentTokens[v] = tokens[v];
          held[v] = 0; heldAge[v] = 0; tokens[v] = 0
       :: sentTo[v] != 0 ->
          if
          :: sentTo[v] == owner && partial && !returned[v] ->
             returned[v] = true; level = level + sentTokens[v]
          :: skip
          fi;
          sentTo[v] = 0; sentTokens[v] = 0
       :: else
       fi;
       v = 0
     }
  od
}
