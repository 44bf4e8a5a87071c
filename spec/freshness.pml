/*
 * The key freshness lease: a node serves a key only while its state is fresh. The old leader may be
 * cut off without knowing; the revocation is committed by the old leader or by the new one.
 *
 * Property: a revoked key is not served later than LEASE ticks after the revocation.
 *
 * Guards, switched off by: NO_LEASE (the node never looks at the age), LEASE_FROM_ANSWER (the node
 * counts from the answer, not from its question), AGE_WITHOUT_QUORUM (the leader states age 0),
 * AGE_FROM_ANSWER (the leader counts from the answers to its round, not from sending it).
 */
#define LEASE 2
#define END 7

byte now;
bool deposed;      /* a new leader exists; the old one does not know */
bool revokedAtOld; /* what each leader's state says */
bool revokedAtNew;
byte revokedAt;
bool revoked;

byte roundSent;    /* the old leader's heartbeat round */
bool roundOpen;
bool roundAnswered;
byte confirmedAt;

bool asked;        /* the node's question */
byte askedAt;
bool answered;
bool answerRevoked;
byte answerAge;

bool nodeRevoked;  /* the node's state, and as of when it is fresh */
byte freshAt;

active proctype System()
{
  do
  /* Time. */
  :: now < END -> now++
  /* The old leader is cut off; the new one has what was committed. */
  :: !deposed -> atomic { deposed = true; revokedAtNew = revokedAtOld }
  /* The revocation is committed. */
  :: !revoked && !deposed -> atomic { revoked = true; revokedAt = now; revokedAtOld = true }
  :: !revoked && deposed -> atomic { revoked = true; revokedAt = now; revokedAtNew = true }
  /* A heartbeat round of the old leader: sent, answered by a quorum, answers received. */
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
  /* The node asks; one of the leaders answers; the answer arrives any time later. */
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
       answerAge = 0 /* the new leader's round is answered at once */
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
