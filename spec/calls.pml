/* Calls that may not be repeated: the protocol of seats, keys and floors.
 *
 * One seat is held by one incarnation after another; an old incarnation may be
 * paused and wake while its successor serves. Two entries send the same key,
 * each up to twice. The network loses, delays and doubles asks. Time is a small
 * clock; a key is born at BIRTH.
 *
 * Property: the backend runs the key at most once, and a key told "unused"
 * never ran.
 *
 * Guards, each removable to give a counter-example:
 *   NO_FLOOR     an incarnation vouches for keys born before its start
 *   NO_LEDGER    an incarnation does not remember what it sent
 *   NO_REPLACED  a woken incarnation decides although it was replaced
 *   RETRY        a call that may have run is sent again
 * NO_AGE leaves out the check of a decision's age before the write: the property
 * holds without it; the check only bounds how late a call may run.
 */

#define INCARNATIONS 2
#define ASKS 3
#define HORIZON 6
#define MAX_AGE 1

byte clock = 0;
byte birth;             /* of the key */
bool born = false;
byte runs = 0;          /* at the backend */
byte current = 0;       /* incarnation that the address reaches */

byte started[INCARNATIONS];
bool alive[INCARNATIONS];
bool paused[INCARNATIONS];
/* What an incarnation knows of the key: 0 nothing, 1 deciding, 2 ran, 3 unknown */
byte record[INCARNATIONS];
byte decided_at[INCARNATIONS];
bool pending[INCARNATIONS];   /* decided, not written yet */

chan asks = [ASKS] of { byte };   /* addressee: an incarnation, or current */

inline decide(i) {
  if
  :: record[i] == 0 ->
     if
#ifndef NO_FLOOR
     :: birth <= started[i] -> skip       /* may have run: never sent */
     :: else ->
#else
     :: true ->
#endif
#ifndef NO_LEDGER
        record[i] = 1;
#endif
        decided_at[i] = clock;
        pending[i] = true
     fi
  :: record[i] == 3 ->
#ifdef RETRY
     decided_at[i] = clock;
     pending[i] = true
#else
     skip
#endif
  :: else -> skip
  fi
}

/* The write to the backend: the age is checked right before it. The answer may
 * be lost, which leaves the outcome unknown. */
inline write(i) {
  pending[i] = false;
  if
#ifndef NO_AGE
  :: clock - decided_at[i] > MAX_AGE -> record[i] = 0   /* proved not sent */
  :: else ->
#else
  :: true ->
#endif
     runs++;
     assert(runs <= 1);
#ifndef NO_LEDGER
     if
     :: record[i] = 2
     :: record[i] = 3
     fi
#endif
  fi
}

proctype Caller() {
  byte left = ASKS;
  do
  :: atomic { left > 0 && !born -> birth = clock; born = true }
  :: atomic { left > 0 && born && nfull(asks) -> left--; asks ! current }
  /* A connection that was kept open leads to the old process. */
  :: atomic { left > 0 && born && nfull(asks) -> left--; asks ! 0 }
  :: left == 0 -> break
  :: atomic { clock == HORIZON -> break }
  od
}

proctype Entry(byte i) {
  do
  :: atomic { alive[i] && !paused[i] && asks ?? [eval(i)] -> asks ?? eval(i);
#ifndef NO_REPLACED
       /* A woken process asks its peers who holds its address. */
       if :: current != i -> skip :: else -> decide(i) fi
#else
       decide(i)
#endif
     }
  :: atomic { alive[i] && !paused[i] && pending[i] -> write(i) }
  :: atomic { clock == HORIZON -> break }
  od
}

/* Pauses, wakings, a replacement, and time. A replacement starts after its
 * predecessor was killed or paused, at a later time. */
proctype World() {
  do
  :: atomic { clock < HORIZON -> clock++ }
  :: atomic { alive[0] && !paused[0] -> paused[0] = true }
  :: atomic { paused[0] -> paused[0] = false }
  :: atomic { current == 0 && (paused[0] || !alive[0]) && clock > 0 ->
       current = 1; started[1] = clock; alive[1] = true }
  :: atomic { alive[0] -> alive[0] = false; pending[0] = false }
  :: atomic { clock == HORIZON -> break }
  od
}

init {
  atomic {
    alive[0] = true;
    run Caller(); run Entry(0); run Entry(1); run World()
  }
}
