/*
 * Replicated log with three hosts: election, replication, crashes that lose unsynced entries, and
 * the replacement of a host that lost its disk by the host's own new identity.
 *
 * Each step is one atomic exchange of messages. Delayed messages are covered by stored replies
 * (matched) and by the arbitrary order of the steps. Each leader appends one entry when it is
 * elected, so the term identifies the entry.
 *
 * Macros that disable one guard each: VOTE_FOR_ANY_LOG (voters do not compare logs),
 * ANSWER_BEFORE_SYNC (replicas confirm unsynced entries), LEARNER_VOTES (learners count for
 * quorums), COMMIT_OLD_TERMS (a leader commits entries of earlier terms directly).
 * Bounds of the model: TERMS, ENTRIES, LOSSES.
 */
#ifndef TERMS
#define TERMS 3
#endif
#ifndef ENTRIES
#define ENTRIES 3
#endif
#ifndef LOSSES
#define LOSSES 0
#endif

#define HOSTS 3
#define AT(h, i) log[(h) * ENTRIES + (i)]
#define JOINT 16 /* first entry of a replacement: needs majorities of both voter sets */
#define FINAL 32 /* second entry: the new voter set alone decides */
#define TERM_OF(entry) ((entry) & 15)
#define NOBODY 9

byte log[HOSTS * ENTRIES]; /* term, with JOINT or FINAL for replacements */
byte length[HOSTS];
byte synced[HOSTS]; /* length of the synced part */
byte term[HOSTS];
bool leads[HOSTS];
byte matched[HOSTS * HOSTS]; /* per leader: log length that each host confirmed */
byte losses[HOSTS];          /* lost disks; each loss gives the host a new identity */
byte target = NOBODY;        /* host whose first identity is replaced */
byte lossCount;
byte done[ENTRIES]; /* acknowledged entries */
byte doneLength;

/* Scratch variables; hidden from the state, since each step writes them before it reads them. */
hidden byte i, k, count, oldCount, last;
hidden byte joint, settled, admitted, ok;

/* Derives joint, settled and admitted from the log of host h. */
inline ReadSet(h)
{
  joint = false;
  settled = false;
  i = 0;
  do
  :: i < length[h] ->
     if
     :: AT(h, i) & JOINT -> joint = true
     :: AT(h, i) & FINAL -> settled = true
     :: else
     fi;
     i++
  :: else -> break
  od;
  admitted = joint || settled;
  if
  :: settled -> joint = false
  :: else
  fi
}

/* Whether host x is a voter; valid after ReadSet. */
#define IS_VOTER(x) (losses[x] == 0 || (x == target && losses[x] == 1 && admitted))

/* Counts the positive reply of host x for the quorum. */
inline Count(x)
{
  if
  :: IS_VOTER(x) -> count++
  :: else
#ifdef LEARNER_VOTES
     -> count++
#endif
  fi;
  if
  :: losses[x] == 0 -> oldCount++
  :: else
  fi
}

#define HAS_QUORUM (count >= 2 && (!joint || oldCount >= 2))

/* Ends the leadership of h and clears the state that only a leader needs. */
inline StopLeading(h)
{
  leads[h] = false;
  matched[h * HOSTS] = 0;
  matched[h * HOSTS + 1] = 0;
  matched[h * HOSTS + 2] = 0
}

/* Sets ok if v grants c its vote for the term after c's current term. The candidate decides whether
 * v is a voter, since v may lack the entry that made it one. */
inline AskVote(c, v)
{
  ok = term[v] <= term[c];
#ifndef VOTE_FOR_ANY_LOG
  k = (length[c] == 0 -> 0 : TERM_OF(AT(c, length[c] - 1)));
  last = (length[v] == 0 -> 0 : TERM_OF(AT(v, length[v] - 1)));
  ok = ok && (k > last || (k == last && length[c] >= length[v]));
#endif
}

inline Elect(c, v)
{
  AskVote(c, v);
  if
  :: ok ->
     ReadSet(c);
     count = 0;
     oldCount = 0;
     Count(c);
     Count(v);
     term[c]++;
     term[v] = term[c];
     StopLeading(v);
     leads[c] = HAS_QUORUM;
     if
     :: leads[c] ->
        /* Leader completeness: each leader has all acknowledged entries. */
        i = 0;
        do
        :: i < doneLength -> assert(i < length[c] && AT(c, i) == done[i]); i++
        :: else -> break
        od;
        AT(c, length[c]) = term[c];
        length[c]++
     :: else
     fi
  :: !ok && term[v] > term[c] -> term[c] = term[v]
  :: else
  fi
}

/* Sets k to the length of the common prefix of both logs, at most limit. */
inline CommonStart(l, f, limit)
{
  k = 0;
  do
  :: k < length[l] && k < limit && AT(l, k) == AT(f, k) -> k++
  :: else -> break
  od
}

/* The leader l sends one entry to the follower f. */
inline Replicate(l, f)
{
  term[f] = term[l];
  StopLeading(f);
  CommonStart(l, f, length[f]);
  if
  :: k < length[l] ->
     /* Conflicting entries of the follower are truncated. */
     i = k;
     do
     :: i < length[f] -> AT(f, i) = 0; i++
     :: else -> break
     od;
     synced[f] = (synced[f] < k -> synced[f] : k);
     AT(f, k) = AT(l, k);
     length[f] = k + 1
  :: else
  fi
}

inline Answer(l, f)
{
#ifdef ANSWER_BEFORE_SYNC
  CommonStart(l, f, length[f]);
#else
  CommonStart(l, f, synced[f]);
#endif
  matched[l * HOSTS + f] = (matched[l * HOSTS + f] > k -> matched[l * HOSTS + f] : k)
}

inline Commit(l)
{
  /* k: length of the longest prefix that a quorum confirmed. */
  ReadSet(l);
  k = length[l];
  do
  :: k > 0 ->
     count = 0;
     oldCount = 0;
     if
#ifdef ANSWER_BEFORE_SYNC
     :: length[l] >= k -> Count(l)
#else
     :: synced[l] >= k -> Count(l)
#endif
     :: else
     fi;
     i = 0;
     do
     :: i < HOSTS ->
        if
        :: i != l && matched[l * HOSTS + i] >= k -> Count(i)
        :: else
        fi;
        i++
     :: else -> break
     od;
     if
     :: HAS_QUORUM -> break
     :: else -> k--
     fi
  :: else -> break
  od;
#ifndef COMMIT_OLD_TERMS
  if
  :: k > 0 && TERM_OF(AT(l, k - 1)) != term[l] -> k = 0
  :: else
  fi;
#endif
  i = 0;
  do
  :: i < k ->
     if
     :: i < doneLength -> assert(AT(l, i) == done[i])
     :: else -> done[i] = AT(l, i)
     fi;
     i++
  :: else -> break
  od;
  doneLength = (k > doneLength -> k : doneLength);
  /* The joint entry is acknowledged: from now on the new voter set alone decides. */
  if
  :: joint && k > 0 && (AT(l, k - 1) & JOINT) && length[l] < ENTRIES ->
     AT(l, length[l]) = term[l] | FINAL;
     length[l]++
  :: else
  fi
}

inline Replace(l)
{
  ReadSet(l);
  if
  :: target != NOBODY && losses[target] == 1 && !admitted && length[l] < ENTRIES &&
     doneLength > 0 && TERM_OF(done[doneLength - 1]) == term[l] &&
     matched[l * HOSTS + target] >= doneLength ->
     AT(l, length[l]) = term[l] | JOINT;
     length[l]++
  :: else
  fi
}

inline Crash(h)
{
  i = synced[h];
  do
  :: i < length[h] -> AT(h, i) = 0; i++
  :: else -> break
  od;
  length[h] = synced[h];
  StopLeading(h)
}

/* One disk may be lost, and a second one once the replacement is acknowledged. */
#define REPAIRED (doneLength > 0 && (done[doneLength - 1] & FINAL))

inline LoseDisk(h)
{
  synced[h] = 0;
  Crash(h);
  term[h] = 0;
  losses[h]++;
  lossCount++;
  if
  :: target == NOBODY -> target = h
  :: else
  fi;
#ifndef LEARNER_VOTES
  /* Replies count only for the identity that sent them. */
  matched[h] = 0;
  matched[HOSTS + h] = 0;
  matched[2 * HOSTS + h] = 0;
#endif
}

active proctype Cluster()
{
  byte a, b;
  do
  :: atomic {
       select(a : 0..2);
       select(b : 0..2);
       if
       :: a != b && term[a] < TERMS && length[a] < ENTRIES && !leads[a] -> Elect(a, b)
       :: a != b && leads[a] && term[b] <= term[a] -> Replicate(a, b)
       :: a != b && leads[a] && term[b] == term[a] -> Answer(a, b)
       :: a == b && leads[a] -> Commit(a)
       :: a == b && synced[a] < length[a] -> synced[a] = length[a]
       :: a == b && (synced[a] < length[a] || leads[a]) -> Crash(a)
#if LOSSES > 0
       :: a == b && leads[a] -> Replace(a)
       :: a == b && (lossCount == 0 || (lossCount < LOSSES && REPAIRED)) -> LoseDisk(a)
#endif
       :: else
       fi;
       a = 0;
       b = 0
     }
  od
}
