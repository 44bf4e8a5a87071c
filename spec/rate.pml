/*
 * Rate leases across a change of leader: one bucket of BURST tokens, refilled by one per tick. The
 * old leader leases tokens to a node; the new leader grants leases after the old ones expired.
 *
 * Property: each admission finds a token in an ideal bucket that sees all admissions, so a window
 * of w ticks has at most w + BURST admissions.
 *
 * Macros that disable one guard each: NO_WAIT (the new leader grants without waiting),
 * REFILL_WHILE_WAITING (its bucket is refilled while old leases last), LEASE_FROM_ANSWER (the
 * node's lease starts when the answer arrives, not when it asked), STALE_GRANT (the old leader
 * grants without confirming its leadership after the ask).
 */
#define BURST 2
#define LEASE 2
#define END 10
#define NEVER 99

byte now;
byte ideal = BURST;

bool deposed;
byte deposedAt = NEVER;
byte level = BURST;       /* bucket of the leader that grants */
byte outstanding;         /* granted by that leader, lease not expired */
byte outstandingUntil;

bool asked;
byte askedAt;
bool answered;
byte grant;
bool grantIsOld;          /* granted by the old leader */

byte held;                /* the node's tokens */
byte heldUntil;
byte oldHeld;             /* the node's tokens granted by the old leader */
byte oldHeldUntil;

#ifdef NO_WAIT
#define MAY_GRANT_NEW (deposed)
#else
#define MAY_GRANT_NEW (deposed && now > deposedAt + LEASE)
#endif
#if defined(REFILL_WHILE_WAITING) || defined(NO_WAIT)
#define MAY_REFILL (true)
#else
#define MAY_REFILL (!deposed || now > deposedAt + LEASE)
#endif
#ifdef STALE_GRANT
#define MAY_GRANT_OLD (!deposed || now <= deposedAt + 1)
#else
#define MAY_GRANT_OLD (!deposed)
#endif

byte oldLevel; /* bucket of the old leader when it is isolated */

active proctype System()
{
  do
  /* Time advances: tokens are added, and leases expire. */
  :: now < END -> atomic {
       now++;
       ideal = (ideal < BURST -> ideal + 1 : BURST);
       if
       :: outstanding > 0 && now > outstandingUntil -> outstanding = 0
       :: else
       fi;
       if
       :: MAY_REFILL && level + outstanding < BURST -> level++
       :: else
       fi;
       held = (now > heldUntil -> 0 : held);
       oldHeld = (now > oldHeldUntil -> 0 : oldHeld)
     }
  /* A new leader starts with an empty bucket. */
  :: !deposed -> atomic {
       deposed = true;
       deposedAt = now;
       oldLevel = level;
       level = 0;
       outstanding = 0
     }
  /* The node asks for tokens. */
  :: !asked -> atomic { asked = true; answered = false; askedAt = now }
  :: asked && !answered && !deposed && level > 0 -> atomic {
       answered = true;
       grantIsOld = true;
       grant = level;
       outstanding = outstanding + level;
       outstandingUntil = now + LEASE;
       level = 0
     }
#ifdef STALE_GRANT
  :: asked && !answered && deposed && MAY_GRANT_OLD && oldLevel > 0 -> atomic {
       answered = true;
       grantIsOld = true;
       grant = oldLevel;
       oldLevel = 0
     }
#endif
  :: asked && !answered && MAY_GRANT_NEW && level > 0 -> atomic {
       answered = true;
       grantIsOld = false;
       grant = level;
       outstanding = outstanding + level;
       outstandingUntil = now + LEASE;
       level = 0
     }
  /* The answer arrives after any delay. */
  :: asked && answered -> atomic {
       asked = false;
#ifdef LEASE_FROM_ANSWER
       askedAt = now;
#endif
       if
       :: now > askedAt + LEASE
       :: now <= askedAt + LEASE && grantIsOld ->
          oldHeld = oldHeld + grant;
          oldHeldUntil = askedAt + LEASE
       :: now <= askedAt + LEASE && !grantIsOld ->
          held = held + grant;
          heldUntil = askedAt + LEASE
       fi;
       grant = 0
     }
  /* A request is admitted. */
  :: held > 0 -> atomic { held--; assert(ideal > 0); ideal-- }
  :: oldHeld > 0 -> atomic { oldHeld--; assert(ideal > 0); ideal-- }
  od
}
