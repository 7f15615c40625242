/* One streamed request from an entry to decode engines.
 *
 * The entry holds a prefill result, sends the request to engine 0 and, where
 * the rule lets it resume, goes on at engine 1 behind the last event that the
 * caller has. An engine may run a request long after it was sent; its events
 * may be read late, after the entry has turned to the other engine. The entry
 * may be paused between its decision and the write, beyond the deadline.
 *
 * Properties: a stream that may not resume runs at most once; a caller that was
 * told "not run" has no run, then or later; the caller gets every event once
 * and in order; a prefill result is taken once; nothing is written after the
 * deadline.
 *
 * Guards: NO_PROOF takes a lost connection for a proof that nothing ran;
 * RESUME_ALWAYS goes on where the rule forbids it; NO_ATTEMPT reads events of
 * an engine that was given up; NO_PLACE starts the second engine at the first
 * event; HANDLE_AGAIN sends a result again that may have been taken; NO_AGE
 * writes a decision however old it is.
 */

#define EVENTS 3

bool may_resume;
bool sent[2];          /* bytes have left for that engine */
bool refused[2];       /* it said that it did not run */
bool running[2];
byte place[2];         /* next event that the engine makes */
byte attempt = 0;      /* engine that the entry reads */
byte runs = 0;
byte handle_taken = 0;
bool with_handle[2];
byte next_event = 1;   /* that the caller waits for */
bool told_not_run = false;
bool ended = false;
bool late = false;     /* the deadline has passed */

inline write_to(engine, from, handle) {
#ifndef NO_AGE
  if
  :: late -> ended = true
  :: else ->
#endif
    assert(!late);
    sent[engine] = true;
    place[engine] = from;
    with_handle[engine] = handle
#ifndef NO_AGE
  fi
#endif
}

proctype Engine(byte me) {
  byte event = 0;
  do
  :: atomic { sent[me] && !running[me] && !refused[me] ->
       if
       :: refused[me] = true
       :: running[me] = true;
          runs++;
          assert(runs <= 1 || may_resume);
          assert(!told_not_run);
          if
          :: with_handle[me] -> handle_taken++; assert(handle_taken <= 1)
          :: else
          fi
       fi }
  :: atomic { running[me] && place[me] <= EVENTS ->
       event = place[me];
       place[me]++;
       /* The entry reads it now, if it still reads this engine at all. */
#ifdef NO_ATTEMPT
       if
       :: !ended ->
#else
       if
       :: !ended && attempt == me ->
#endif
            assert(event == next_event);
            next_event = event + 1
       :: else
       fi }
  :: atomic { ended && (refused[me] || !sent[me] || place[me] > EVENTS) ->
       break }
  od
}

proctype Entry() {
  /* Paused or not before the first write. */
  if
  :: late = true
  :: skip
  fi;
  atomic { write_to(0, 1, true) };
  do
  :: atomic { !ended && next_event > EVENTS -> ended = true }
  :: atomic { !ended && refused[attempt] ->
       /* A proof: nothing ran at this engine. */
       if
       :: attempt == 0 && may_resume ->
            attempt = 1;
            write_to(1, next_event, false)
       :: else ->
            if
            :: runs == 0 && attempt == 0 -> told_not_run = true
            :: else
            fi;
            ended = true
       fi }
  :: atomic { !ended && sent[attempt] && !refused[attempt] ->
       /* The connection is lost, or the engine is silent for too long. */
       if
#ifdef RESUME_ALWAYS
       :: attempt == 0 ->
#else
       :: attempt == 0 && may_resume ->
#endif
            attempt = 1;
#ifdef NO_PLACE
            write_to(1, 1, false)
#else
#ifdef HANDLE_AGAIN
            write_to(1, next_event, true)
#else
            write_to(1, next_event, false)
#endif
#endif
       :: else ->
#ifdef NO_PROOF
            told_not_run = true;
            assert(runs == 0);
#endif
            ended = true
       fi }
  :: ended -> break
  od
}

init {
  if
  :: may_resume = true
  :: may_resume = false
  fi;
  atomic { run Engine(0); run Engine(1); run Entry() }
}
