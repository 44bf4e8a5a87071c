/*
 * Freshness lease of keys: a node accepts a key only while its state is fresh. The old leader may
 * be isolated without knowing it; the old leader or the new one commits the revocation.
 *
 * Property: no request with a revoked key is served later than LEASE ticks after the revocation.
 *
 * Macros that disable one guard each: NO_LEASE (the node does not check the age of its state),
 * LEASE_FROM_ANSWER (the node's lease starts when the answer arrives, not when it asked),
 * AGE_WITHOUT_QUORUM (the leader always reports age 0), AGE_FROM_ANSWER (the leader's age starts
 * when the replies to its heartbeat round arrive, not when it sent the round).
 */
#define LEASE 2
#define END 7

byte now;
bool deposed;      /* a new leader exists; the old one does not know it */
bool revokedAtOld; /* the key's state at each leader */
bool revokedAtNew;
byte revokedAt;
bool revoked;

byte roundSent;    /* heartbeat round of the old leader */
bool roundOpen;
bool roundAnswered;
byte confirmedAt;

bool asked;        /* the node's poll */
byte askedAt;
bool answered;
bool answerRevoked;
byte answerAge;

bool nodeRevoked;  /* the node's state, and the time at which it was confirmed */
byte freshAt;

active proctype System()
{
  do
  /* Time advances. */
  :: now < END -> now++
  /* The old leader is isolated; the new leader has all committed entries. */
  :: !deposed -> atomic { deposed = true; revokedAtNew = revokedAtOld }
  /* The revocation is committed. */
  :: !revoked && !deposed -> atomic { revoked = true; revokedAt = now; revokedAtOld = true }
  :: !revoked && deposed -> atomic { revoked = true; revokedAt = now; revokedAtNew = true }
  /* Heartbeat round of the old leader: sent, answered by a quorum, replies received. */
  :: !roundOpen -> atomic { roundOpen = true; roundAnswered = false; roundSent = now }
  :: roundOpen && !roundAnswered && !deposed -> roundAnswered = true
  :: roundOpen && !roundAnswered && deposed -> roundOpen = false
  :: roundOpen && roundAnswered -> atomic {
       roundOpen = false;
#ifdef AGE_FROM_ANSWER
       confirmedAt = now
#else
       confirmedAt = roundSent
#endif
     }
  /* The node asks; one of the leaders answers; the answer arrives after any delay. */
  :: !asked -> atomic { asked = true; answered = false; askedAt = now }
  :: asked && !answered -> atomic {
       answered = true;
       answerRevoked = revokedAtOld;
#ifdef AGE_WITHOUT_QUORUM
       answerAge = 0
#else
       answerAge = now - confirmedAt
#endif
     }
  :: asked && !answered && deposed -> atomic {
       answered = true;
       answerRevoked = revokedAtNew;
       answerAge = 0 /* the new leader's round is answered without delay */
     }
  :: asked && answered -> atomic {
       asked = false;
#ifdef LEASE_FROM_ANSWER
       askedAt = now;
#endif
       if
       :: askedAt >= answerAge && askedAt - answerAge >= freshAt ->
          freshAt = askedAt - answerAge;
          nodeRevoked = answerRevoked
       :: else
       fi
     }
  /* The node serves a request with the key. */
#ifdef NO_LEASE
  :: !nodeRevoked ->
#else
  :: !nodeRevoked && now - freshAt <= LEASE ->
#endif
     assert(!revoked || now <= revokedAt + LEASE)
  od
}
