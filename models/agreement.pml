/* Model of the agreement protocol: a voter loses its data and is replaced.
 *
 * Three voters (identities 0 to 2) elect leaders and replicate a log. One voter loses its data and restarts
 * with a new identity (3) and no configuration. The leader removes the old identity, replicates the log to
 * the new one and then makes it a voter. At any time after this repair, a second voter may lose its data.
 * Its replacement is not modelled, because it would repeat the steps of the first one.
 *
 * Each step is a request together with its response. Lost, delayed and reordered messages, pauses and
 * partitions are modelled as steps that do not happen. An entry holds a term and the set of voters in force
 * from that entry on. Timers, the leader lease and snapshots are not modelled.
 *
 * Properties: each term has at most one leader, and a committed entry is never replaced.
 *
 * With -DMUTANT, a voter that lost its data returns under its old identity and votes again.
 */
#define N 4
#define FIRST_VOTERS 7
#define MAX_TERM 3
#define MAX_LOG 5
#define MAX_LOSSES 2
#define NONE 15

#define ENTRY(t, v) (((t) << 4) | (v))
#define TERM_OF(e) ((e) >> 4)
#define VOTERS_OF(e) ((e) & 15)
#define LOG(i, k) log[(i) * MAX_LOG + (k)]
#define MATCH(t, i) match[(t) * N + (i)]
/* Unused positions of a log are 0. With an empty log, an initial voter knows the initial configuration and
 * a replacement knows none. */
#define LAST(i) LOG(i, entries[i] - (entries[i] > 0))
#define LAST_TERM(i) TERM_OF(LAST(i))
#define VOTERS(i) (VOTERS_OF(LAST(i)) | ((entries[i] == 0 && (i) < 3) * FIRST_VOTERS))
#define HAS(set, i) (((set) >> (i)) & 1)
#define SIZE(set) (HAS(set, 0) + HAS(set, 1) + HAS(set, 2) + HAS(set, 3))
#define IS_QUORUM(part, set) (2 * SIZE((part) & (set)) > SIZE(set))

/* Durable state of each identity. */
byte term[N];
byte vote[N] = NONE;
byte entries[N];
byte log[N * MAX_LOG];

/* Volatile state. */
bool leading[N];
byte votes[N];                    /* Set of voters that voted for this candidate. */
byte match[(MAX_TERM + 1) * N];   /* Log length that the leader of a term knows of each voter. */

bool present[N]; /* The identity has its data. */
byte losses;

/* History for the assertions: the leader of each term and all entries ever committed. */
byte leaderOf[MAX_TERM + 1] = NONE;
byte committed[MAX_LOG];
byte committedLen;

byte i, j, k, m;
byte ackedBy;

/* Ends the candidacy or leadership of x. Clears the match indexes of a former leader, which reduces the
 * number of states. */
inline stopLeading(x) {
  leading[x] = false;
  votes[x] = 0;
  m = 0;
  do
  :: m < N && leaderOf[term[x]] == x -> MATCH(term[x], m) = 0; m++
  :: else -> break
  od;
  m = 0
}

inline adoptTerm(x, t) {
  if
  :: term[x] < t ->
     stopLeading(x);
     term[x] = t;
     vote[x] = NONE
  :: else
  fi
}

/* Sets k to the number of entries that leader x may regard as committed. */
inline countCommitted(x) {
  k = entries[x];
  do
  :: k == 0 || TERM_OF(LOG(x, k - 1)) != term[x] -> k = 0; break
  :: else ->
     ackedBy = 0;
     m = 0;
     do
     :: m < N -> ackedBy = ackedBy | ((MATCH(term[x], m) >= k) << m); m++
     :: else -> break
     od;
     if
     :: IS_QUORUM(ackedBy, VOTERS(x)) -> break
     :: else -> k--
     fi
  od;
  ackedBy = 0;
  m = 0
}

inline commit(x) {
  countCommitted(x);
  m = 0;
  do
  :: m < k ->
     assert(m >= committedLen || committed[m] == LOG(x, m));
     committed[m] = LOG(x, m);
     m++
  :: else -> break
  od;
  if
  :: k > committedLen -> committedLen = k
  :: else
  fi;
  m = 0;
  k = 0
}

inline appendInCurrentTerm(x, voters) {
  LOG(x, entries[x]) = ENTRY(term[x], voters);
  entries[x]++;
  MATCH(term[x], x) = entries[x]
}

/* Copies the first entry at which the logs differ; repeated appends copy the rest. */
inline replicate(x, y) {
  k = 0;
  do
  :: k < entries[x] && k < entries[y] && LOG(x, k) == LOG(y, k) -> k++
  :: else -> break
  od;
  if
  :: k < entries[x] ->
     LOG(y, k) = LOG(x, k);
     m = k + 1;
     do
     :: m < entries[y] -> LOG(y, m) = 0; m++
     :: else -> break
     od;
     entries[y] = k + 1;
     k++
  :: else
  fi;
  if
  :: k > MATCH(term[x], y) -> MATCH(term[x], y) = k
  :: else
  fi;
  k = 0;
  m = 0
}

inline loseData(x) {
  stopLeading(x);
  term[x] = 0;
  vote[x] = NONE;
  entries[x] = 0;
  m = 0;
  do
  :: m < MAX_LOG -> LOG(x, m) = 0; m++
  :: else -> break
  od;
  m = 0
}

inline chooseVoter(x) {
  if
  :: x = 0
  :: x = 1
  :: x = 2
  :: losses > 0 -> x = 3
  fi
}

#define COMMITTED_VOTERS \
  (VOTERS_OF(committed[committedLen - (committedLen > 0)]) | ((committedLen == 0) * FIRST_VOTERS))
#define HAS_DATA_IF_VOTER(x, set) (!HAS(set, x) || present[x])
#define REPAIRED(set) (SIZE(set) == 3 && HAS_DATA_IF_VOTER(0, set) && HAS_DATA_IF_VOTER(1, set) && \
                       HAS_DATA_IF_VOTER(2, set) && HAS_DATA_IF_VOTER(3, set))
#define LOG_IS_CURRENT(x, y) (LAST_TERM(x) > LAST_TERM(y) || \
                              (LAST_TERM(x) == LAST_TERM(y) && entries[x] >= entries[y]))

active proctype group() {
  d_step {
    i = 0;
    do
    :: i < 3 -> present[i] = true; i++
    :: else -> break
    od;
    i = 0
  }
end:
  do
  :: atomic {
       chooseVoter(i);
       chooseVoter(j);
       if
       /* Start an election. The initial voters are symmetric, so the first candidate is always 0. */
       :: i == j && present[i] && !leading[i] && term[i] < MAX_TERM && HAS(VOTERS(i), i) &&
          (i == 0 || term[0] > 0 || losses > 0) ->
          d_step { stopLeading(i); term[i]++; vote[i] = i; votes[i] = 1 << i }
       /* Vote of j for i. */
       :: i != j && present[i] && present[j] && votes[i] != 0 && !leading[i] &&
          VOTERS(j) != 0 && LOG_IS_CURRENT(i, j) &&
          (term[j] < term[i] || (term[j] == term[i] && vote[j] == NONE)) ->
          d_step { adoptTerm(j, term[i]); vote[j] = i; votes[i] = votes[i] | (1 << j) }
       /* Win the election. */
       :: i == j && present[i] && !leading[i] && entries[i] < MAX_LOG && votes[i] != 0 &&
          IS_QUORUM(votes[i], VOTERS(i)) ->
          d_step {
            assert(leaderOf[term[i]] == NONE || leaderOf[term[i]] == i);
            leaderOf[term[i]] = i;
            leading[i] = true;
            votes[i] = 0;
            appendInCurrentTerm(i, VOTERS(i));
            commit(i)
          }
       /* Append from i to j. */
       :: i != j && present[i] && present[j] && leading[i] && term[j] <= term[i] &&
          MATCH(term[i], j) < entries[i] ->
          d_step { adoptTerm(j, term[i]); votes[j] = 0; replicate(i, j); commit(i) }
       /* Restart. */
       :: i == j && present[i] && (leading[i] || votes[i] != 0) ->
          d_step { stopLeading(i) }
       /* Loss of the data of i, allowed once the previous loss is repaired. */
       :: i == j && losses < MAX_LOSSES && present[i] && HAS(COMMITTED_VOTERS, i) &&
          REPAIRED(COMMITTED_VOTERS) ->
          d_step {
            loseData(i);
            losses++;
#ifdef MUTANT
            skip
#else
            present[i] = false;
            present[3] = (losses == 1 || present[3])
#endif
          }
       /* Leader i removes identity j, which lost its data. */
       :: present[i] && leading[i] && entries[i] < MAX_LOG && !present[j] && HAS(VOTERS(i), j) ->
          d_step {
            countCommitted(i);
            if
            :: k == entries[i] -> appendInCurrentTerm(i, VOTERS(i) & (15 - (1 << j)))
            :: else
            fi;
            k = 0
          }
       /* Leader i makes identity j, which has caught up, a voter. */
       :: present[i] && leading[i] && entries[i] < MAX_LOG && present[j] && !HAS(VOTERS(i), j) &&
          SIZE(VOTERS(i)) == 2 ->
          d_step {
            countCommitted(i);
            if
            :: k == entries[i] && MATCH(term[i], j) >= k -> appendInCurrentTerm(i, VOTERS(i) | (1 << j))
            :: else
            fi;
            k = 0
          }
       :: else
       fi;
       i = 0;
       j = 0
     }
  od
}
