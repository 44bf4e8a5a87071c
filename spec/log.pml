/*
 * The replicated log with three hosts: election, replication, crashes that lose what is not synced,
 * and the replacement of a host that lost its disk by its own new identity.
 *
 * A step is one exchange, taken at once; what a message in flight may find later is covered by
 * answers that are kept (matched) and by steps that come in any order. Each leader adds one entry
 * when it is elected, so an entry is told by its term.
 *
 * Guards, switched off by: VOTE_FOR_ANY_LOG, ANSWER_BEFORE_SYNC, LEARNER_VOTES, COMMIT_OLD_TERMS.
 * Bounds: TERMS, ENTRIES, LOSSES.
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
#define JOINT 16 /* the first entry of a replacement: majorities of both sets */
#define FINAL 32 /* the second: the new set alone */
#define TERM_OF(entry) ((entry) & 15)
#define NOBODY 9

byte log[HOSTS * ENTRIES]; /* term, and for replacements JOINT or FINAL */
byte length[HOSTS];
byte synced[HOSTS]; /* length of the synced part */
byte term[HOSTS];
bool leads[HOSTS];
byte matched[HOSTS * HOSTS]; /* for a leader: length that each host confirmed */
byte losses[HOSTS];          /* lost disks: each gives the host a new identity */
byte target = NOBODY;        /* host whose first loss is repaired */
byte lossCount;
byte done[ENTRIES]; /* what was acknowledged */
byte doneLength;

/* Scratch variables; hidden, since each step sets them before it reads them. */
hidden byte i, k, count, oldCount, last;
hidden byte joint, settled, admitted, ok;

/* Sets joint, settled and admitted from the log of host h. */
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

/* Whether host x counts as a voter, after ReadSet. */
#define IS_VOTER(x) (losses[x] == 0 || (x == target && losses[x] == 1 && admitted))

/* Counts host x, whose answer is good, for the quorum. */
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

/* Ends the leadership of h, and forgets what only a leader needs. */
inline StopLeading(h)
{
  leads[h] = false;
  matched[h * HOSTS] = 0;
  matched[h * HOSTS + 1] = 0;
  matched[h * HOSTS + 2] = 0
}

/* Whether v grants a vote to c for the term after c's. Whether v is a voter is for c to say, since v
 * may lack the entry that makes it one. */
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
        /* Every leader has all that was acknowledged. */
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

/* Sets k to the length of the common start of both logs. */
inline CommonStart(l, f, limit)
{
  k = 0;
  do
  :: k < length[l] && k < limit && AT(l, k) == AT(f, k) -> k++
  :: else -> break
  od
}

/* The leader l brings the follower f one entry. */
inline Replicate(l, f)
{
  term[f] = term[l];
  StopLeading(f);
  CommonStart(l, f, length[f]);
  if
  :: k < length[l] ->
     /* What contradicts the leader is removed. */
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
  /* k: the longest part that a quorum confirmed. */
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
  /* The joint entry is acknowledged: the new set alone decides from here on. */
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

/* One disk may be lost, and a second one as soon as the replacement is acknowledged. */
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
  /* Answers count for the identity that gave them. */
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
