/* Who may order an engine to change its role.
 *
 * Three entries read settings. At the first start of the whole deployment all
 * name the same entry first; later lists may be stale, and processes are killed
 * and started again at any time. An entry gives at most one order in a run.
 *
 * Property: no two runs of processes give orders, so that holders never take
 * turns and no fencing number is used twice.
 *
 * Guards: ANY_START lets a process that was started again give orders;
 * ANY_SEED lets every entry that is named give them.
 */

#define ENTRIES 3

byte holders = 0;
byte restarts = 3;

proctype Entry(byte me) {
  bool first_start = true;
  byte first_seed = 0;      /* the same for all at the first start */
  bool given = false;
  do
  :: atomic { !given &&
#ifndef ANY_START
       first_start &&
#endif
#ifdef ANY_SEED
       true ->
#else
       first_seed == me ->
#endif
       given = true;
       holders++;
       assert(holders <= 1) }
  :: atomic { restarts > 0 ->
       restarts--;
       first_start = false;
       given = false;
       /* A stale list may name anyone first. */
       if
       :: first_seed = 0
       :: first_seed = 1
       :: first_seed = 2
       fi }
  :: atomic { restarts == 0 -> break }
  od
}

init { atomic { run Entry(0); run Entry(1); run Entry(2) } }
