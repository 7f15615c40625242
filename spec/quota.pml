/* Shares of a quota that entries lend to each other.
 *
 * A lender and a borrower own one share each of a quota. Messages may be lost
 * (a partition), delivered late or twice. Each of the two may be restarted once
 * and forgets everything. The limit is lowered once; each entry learns of it at
 * its own time. A paused entry takes no steps while the clock goes on.
 *
 * Property: the shares in use never exceed the whole and, once both know the
 * limit, neither do the amounts.
 *
 * Guards, each removable: NO_WAIT lets a restarted lender own its share at
 * once; FROM_LOAN counts the borrower's term from the arrival of the loan;
 * NO_NUMBER takes a loan that arrives twice; NO_INCARNATION takes a loan that
 * answers an ask of the earlier process; GIVE_LATE lets the lender keep the
 * share that it sends; ABSOLUTE lends an amount in place of a fraction;
 * KEEP_EARLIER keeps the loans of a restarted lender when it is told that there
 * are none; TAKE_EARLIER takes one that arrives after that.
 */

#define TERM 2
#define END 6
#define ASKS 2                 /* of one process */

byte now;
bool asked[4];                 /* by incarnation * ASKS + number */
bool lent[4];
byte lent_amount[4];

/* Lender. */
byte owns_at;
byte given_until;
bool lender_restarted;
bool released;                 /* The borrower holds no earlier loan. */
bool earlier[4];               /* Lent before the restart. */
byte lender_limit = 2;

/* Borrower. */
byte incarnation;
byte next;
bool pending[ASKS];
byte sent_at[ASKS];
byte taken_until[ASKS];
byte taken_shares[ASKS];
byte taken_amount[ASKS];
bool taken_earlier[ASKS];
byte borrower_limit = 2;

#ifdef NO_INCARNATION
#define MEANT_FOR_THIS(i) true
#else
#define MEANT_FOR_THIS(i) (i / ASKS == incarnation)
#endif
#ifdef TAKE_EARLIER
#define IS_CURRENT(i) true
#else
#define IS_CURRENT(i) !(released && earlier[i])
#endif
#define LENDER_USES ((now >= owns_at && now >= given_until) -> 1 : 0)
#define TAKEN(n) ((now < taken_until[n]) -> taken_shares[n] : 0)
#define AMOUNT(n) ((now < taken_until[n]) -> taken_amount[n] : 0)

inline check() {
  assert(LENDER_USES + 1 + TAKEN(0) + TAKEN(1) <= 2);
#ifdef ABSOLUTE
  assert(lender_limit != borrower_limit ||
         LENDER_USES * lender_limit + borrower_limit + AMOUNT(0) + AMOUNT(1)
             <= 2 * lender_limit);
#else
  assert(lender_limit != borrower_limit ||
         LENDER_USES * lender_limit +
             (1 + TAKEN(0) + TAKEN(1)) * borrower_limit <= 2 * lender_limit);
#endif
}

active proctype Fleet() {
  byte i;
  byte n;
  do
  :: d_step { now < END -> now++; check() }
  /* The borrower asks. */
  :: d_step { next < ASKS ->
       pending[next] = true;
       sent_at[next] = now;
       asked[incarnation * ASKS + next] = true;
       next++ }
  /* The lender lends, if it has its share; the ask may come again. */
  :: atomic { LENDER_USES == 1 ->
       select (i : 0 .. 3);
       if
       :: asked[i] && !lent[i] ->
            if :: asked[i] = false :: skip fi;
#ifndef GIVE_LATE
            given_until = now + TERM;
#endif
            lent[i] = true;
            lent_amount[i] = lender_limit
       :: else -> skip
       fi;
       check(); i = 0 }
  /* A loan arrives, for the first or for the second time. */
  :: atomic { select (i : 0 .. 3);
       n = i % ASKS;
       if
       :: (lent[i] && pending[n] && MEANT_FOR_THIS(i) && IS_CURRENT(i)) ->
            taken_earlier[n] = earlier[i];
#ifdef FROM_LOAN
            taken_until[n] = now + TERM;
#else
            taken_until[n] = sent_at[n] + TERM;
#endif
            taken_shares[n]++;
            taken_amount[n] = taken_amount[n] + lent_amount[i];
#ifdef NO_NUMBER
            pending[n] = (taken_shares[n] < 2)
#else
            pending[n] = false
#endif
       :: else -> skip
       fi;
       check(); i = 0; n = 0 }
  :: d_step { !lender_restarted ->
       lender_restarted = true;
       given_until = 0;
       for (i : 0 .. 3) { earlier[i] = lent[i] }
       taken_earlier[0] = true; taken_earlier[1] = true;
       i = 0;
#ifdef NO_WAIT
       owns_at = now;
#else
       owns_at = now + TERM;
#endif
       check() }
  /* The borrower tells a restarted lender that it holds no earlier loan. */
  :: d_step { lender_restarted && !released ->
       released = true;
#ifndef KEEP_EARLIER
       taken_until[0] = (taken_earlier[0] -> 0 : taken_until[0]);
       taken_until[1] = (taken_earlier[1] -> 0 : taken_until[1]);
#endif
       owns_at = (owns_at > now -> now : owns_at);
       check() }
  :: d_step { incarnation == 0 ->
       incarnation = 1;
       next = 0;
       pending[0] = false; pending[1] = false;
       taken_until[0] = 0; taken_until[1] = 0;
       taken_shares[0] = 0; taken_shares[1] = 0;
       taken_amount[0] = 0; taken_amount[1] = 0 }
  :: d_step { lender_limit == 2 -> lender_limit = 1; check() }
  :: d_step { borrower_limit == 2 -> borrower_limit = 1; check() }
  :: now == END -> break
  od
}
