/* Closing statements of a seat.
 *
 * Incarnation 0 may send the key, then closes its seat and tells what it sent.
 * Incarnations 1 and 2 follow one after the other; each may or may not hear the
 * statement, and the key was born before the closing, so below their floors.
 *
 * Property: the key runs at most once, and once it was told "unused" it never
 * ran and never runs.
 *
 * Guards: SENDS lets a successor send a key that the statement does not list;
 * OPEN_LISTED_UNUSED leaves a call whose outcome is open out of the statement.
 */

#define INCARNATIONS 3

byte runs = 0;
bool told_unused = false;
byte current = 0;
bool closed = false;
bool listed = false;          /* in the statement */
bool heard[INCARNATIONS];     /* the statement */
bool sending = false;         /* incarnation 0 has decided to send */
byte asks = 4;

inline run_it() {
  runs++;
  assert(runs <= 1);
  assert(!told_unused)
}

proctype Callers() {
  do
  :: atomic { asks > 0 ->
       asks--;
       if
       :: current == 0 && !closed && !sending && runs == 0 -> sending = true
       :: current == 0 -> skip            /* repeats wait or are answered */
       :: current > 0 && heard[current] && !listed ->
#ifdef SENDS
            run_it()
#else
            told_unused = true;
            assert(runs == 0)
#endif
       :: current > 0 && (!heard[current] || listed) -> skip  /* may have run */
       fi }
  :: asks == 0 -> break
  od
}

proctype Backend() {
  do
  :: atomic { sending -> sending = false; run_it() }   /* late, too */
  :: atomic { asks == 0 && !sending -> break }
  od
}

proctype World() {
  do
  :: atomic { !closed ->
       closed = true;
#ifdef OPEN_LISTED_UNUSED
       listed = runs > 0
#else
       listed = runs > 0 || sending
#endif
     }
  :: atomic { closed && current < INCARNATIONS - 1 -> current++ }
  :: atomic { closed && current > 0 && !heard[current] -> heard[current] = true }
  :: atomic { current == INCARNATIONS - 1 && heard[current] -> break }
  od
}

init { atomic { run Callers(); run Backend(); run World() } }
