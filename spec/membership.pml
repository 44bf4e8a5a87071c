/*
 * Membership of the control replicas: four hosts, three of them with a voter. A host that loses its
 * disk returns with a new identity at its old address; Join messages of its earlier identities may
 * still arrive. Hosts fall silent (cut off, frozen or without room on the disk) and come back, and
 * the leader changes. No more than one host is lost at a time, as the settings tolerate.
 *
 * A record is what the leader knows of an identity: that it asked to join, and whether it has
 * answered since. `later` holds which identities of a host answered after which others were known.
 *
 * Macros that disable one guard each: ANY_RECORD (any record at the address of a voter replaces the
 * voter, as if its disk were lost), JOIN_IS_ANSWER (a learner that only asked to join counts as
 * reachable). Bounds of the model: LOSSES, SILENCES, ELECTIONS.
 */
#ifndef LOSSES
#define LOSSES 3
#endif
#ifndef SILENCES
#define SILENCES 2
#endif
#ifndef ELECTIONS
#define ELECTIONS 2
#endif

#define HOSTS 4
#define VOTERS 3
#define LIVES 4 /* identities of one host */
#define IDS 16
#define HOST(id) ((id) / LIVES)
#define IS_LIVE(id) ((id) % LIVES == life[HOST(id)])
#define ANSWERS(id) (IS_LIVE(id) && !silent[HOST(id)])
#define IS_VOTER(id) (voter[0] == (id) || voter[1] == (id) || voter[2] == (id))
#define NOBODY 255

/* What the leader knows of an identity. */
#define UNKNOWN 0
#define ASKED 1
#define ANSWERED 2

byte life[HOSTS];   /* number of the identity on the disk */
bool silent[HOSTS];
bool lost[HOSTS];   /* counts as lost, until it is back and is made good */
byte voter[VOTERS];
bool retired[IDS];
byte record[IDS];   /* of learners */
bool later[IDS * LIVES]; /* identity answered after the life of its host was known */
byte leader;        /* index into voter */
byte losses, silences, elections;

hidden byte h, n, v, x, y, dead, missing;

#define LATER(a, b) (later[(a) * LIVES + (b) % LIVES] && !later[(b) * LIVES + (a) % LIVES])
#define NONE_LOST (!lost[0] && !lost[1] && !lost[2] && !lost[3])

#ifdef JOIN_IS_ANSWER
#define REACHABLE(id) (record[id] >= ASKED)
#else
#define REACHABLE(id) (record[id] == ANSWERED)
#endif

inline Forget(id)
{
  record[id] = UNKNOWN;
  n = 0;
  do
  :: n < LIVES ->
     later[id * LIVES + n] = false;
     later[(HOST(id) * LIVES + n) * LIVES + id % LIVES] = false;
     n++
  :: else -> break
  od;
  n = 0
}

/* Hosts that are back and whose earlier identities are no voters are no longer lost. */
inline Recover()
{
  h = 0;
  do
  :: h < HOSTS ->
     if
     :: lost[h] && !silent[h] &&
        !(HOST(voter[0]) == h && !IS_LIVE(voter[0])) &&
        !(HOST(voter[1]) == h && !IS_LIVE(voter[1])) &&
        !(HOST(voter[2]) == h && !IS_LIVE(voter[2])) -> lost[h] = false
     :: else
     fi;
     h++
  :: else -> break
  od;
  h = 0
}

/* At most the voters of lost hosts cannot answer, so that the others are a quorum with every
 * acknowledged entry, and no live identity is retired. */
inline Check()
{
  Recover();
  dead = 0;
  missing = 0;
  v = 0;
  do
  :: v < VOTERS ->
     if
     :: !ANSWERS(voter[v]) -> dead++
     :: else
     fi;
     v++
  :: else -> break
  od;
  h = 0;
  do
  :: h < HOSTS ->
     if
     :: lost[h] -> missing++
     :: else
     fi;
     assert(!retired[h * LIVES + life[h]]);
     h++
  :: else -> break
  od;
  assert(dead <= missing);
  v = 0;
  h = 0;
  dead = 0;
  missing = 0
}

active proctype Cluster()
{
  atomic {
    voter[0] = 0;
    voter[1] = LIVES;
    voter[2] = 2 * LIVES
  };
  do
  :: atomic { /* a disk is lost */
       losses < LOSSES && NONE_LOST ->
       select(h : 0 .. 3);
       if
       :: life[h] < LIVES - 1 && h != HOST(voter[leader]) ->
          if
          :: record[h * LIVES + life[h]] == ANSWERED -> record[h * LIVES + life[h]] = ASKED
          :: else
          fi;
          life[h]++;
          lost[h] = true;
          losses++;
          h = 0;
          Check()
       :: else -> h = 0
       fi
     }
  :: atomic { /* a host falls silent */
       silences < SILENCES && NONE_LOST ->
       select(h : 0 .. 3);
       silent[h] = true;
       lost[h] = true;
       silences++;
       if
       :: record[h * LIVES + life[h]] == ANSWERED -> record[h * LIVES + life[h]] = ASKED
       :: else
       fi;
       h = 0;
       Check()
     }
  :: atomic { /* it is back */
       silent[0] || silent[1] || silent[2] || silent[3] ->
       silent[0] = false;
       silent[1] = false;
       silent[2] = false;
       silent[3] = false;
       Check()
     }
  :: atomic { /* another voter leads; what the leader knew of learners is gone */
       elections < ELECTIONS || !ANSWERS(voter[leader]) ->
       select(v : 0 .. 2);
       if
       :: v != leader && ANSWERS(voter[v]) ->
          elections = (elections < ELECTIONS -> elections + 1 : elections);
          leader = v;
          x = 0;
          do
          :: x < IDS -> Forget(x); x++
          :: else -> break
          od
       :: else
       fi;
       x = 0;
       v = 0
     }
  :: atomic { /* a Join arrives, perhaps late */
       ANSWERS(voter[leader]) ->
       select(x : 0 .. 15);
       if
       :: x % LIVES <= life[HOST(x)] && !retired[x] && !IS_VOTER(x) && record[x] == UNKNOWN ->
          Forget(x);
          record[x] = ASKED
       :: else
       fi;
       x = 0
     }
  :: atomic { /* a learner or voter answers a round of the leader */
       ANSWERS(voter[leader]) ->
       select(x : 0 .. 15);
       if
       :: ANSWERS(x) && !retired[x] && (record[x] != UNKNOWN || IS_VOTER(x)) ->
          if
          :: !IS_VOTER(x) -> record[x] = ANSWERED
          :: else
          fi;
          n = 0;
          do
          :: n < LIVES ->
             y = HOST(x) * LIVES + n;
             if
             :: y != x && (record[y] != UNKNOWN || IS_VOTER(y)) -> later[x * LIVES + n] = true
             :: else
             fi;
             n++
          :: else -> break
          od
       :: else
       fi;
       n = 0;
       y = 0;
       x = 0
     }
  :: atomic { /* the leader retires a learner that a later identity has replaced */
       ANSWERS(voter[leader]) ->
       select(x : 0 .. 15);
       select(n : 0 .. 3);
       y = HOST(x) * LIVES + n;
       if
       :: y != x && record[y] != UNKNOWN && (record[x] != UNKNOWN || IS_VOTER(x)) && LATER(x, y) ->
          retired[y] = true;
          Forget(y);
          Check()
       :: else
       fi;
       n = 0;
       y = 0;
       x = 0
     }
  :: atomic { /* a learner replaces the voter of its host, whose disk is lost */
       ANSWERS(voter[leader]) ->
       select(x : 0 .. 15);
       select(v : 0 .. 2);
       if
       :: v != leader && record[x] != UNKNOWN && HOST(x) == HOST(voter[v]) &&
#ifndef ANY_RECORD
          REACHABLE(x) && LATER(x, voter[v]) &&
#endif
          !IS_VOTER(x) ->
          y = voter[v];
          voter[v] = x;
          retired[y] = true;
          record[x] = UNKNOWN;
          Check()
       :: else
       fi;
       x = 0;
       y = 0;
       v = 0
     }
  :: atomic { /* a learner replaces a silent voter */
       ANSWERS(voter[leader]) ->
       select(x : 0 .. 15);
       select(v : 0 .. 2);
       if
       :: v != leader && !ANSWERS(voter[v]) && REACHABLE(x) && !IS_VOTER(x) ->
          voter[v] = x;
          record[x] = UNKNOWN;
          Check()
       :: else
       fi;
       x = 0;
       v = 0
     }
  od
}
