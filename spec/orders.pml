/* Who may order an engine to change its role.
 *
 * Four entries start for the first time. The settings of each name two seeds,
 * itself and any other. A candidate asks its seeds, and the seeds that voters
 * report, for their votes; it gives orders once all have voted for it. An entry
 * votes once. Requests are lost (not taken) and entries are killed and started
 * again at any time.
 *
 * Property: no two runs of processes give orders, so that holders never take
 * turns and no fencing number is used twice, if each two entries have a common
 * one that they learn of.
 *
 * Guards: OWN_LIST lets the lowest of its own seeds give orders unasked;
 * VOTE_AGAIN lets an entry vote for several; ANY_START lets a process that was
 * started again vote; NO_REPORT leaves out the seeds that voters report.
 */

#define ENTRIES 4
#define BIT(entry) (1 << (entry))
#define NOBODY ENTRIES
#define LOWER(entry) (BIT(entry) - 1)   /* Bit set of the lower addresses. */

byte seeds[ENTRIES];      /* Bit set of what the settings name. */
byte known[ENTRIES];      /* Bit set of the entries whose votes are needed. */
byte granted[ENTRIES];    /* Bit set of the votes that a candidate has. */
byte voted_for[ENTRIES];
bool first_start[ENTRIES];
byte holders = 0;
byte restarts = 2;

#ifdef ANY_START
#define MAY_VOTE(entry) true
#else
#define MAY_VOTE(entry) first_start[entry]
#endif

#ifdef VOTE_AGAIN
#define HAS_VOTE(entry, candidate) true
#else
#define HAS_VOTE(entry, candidate) \
  (voted_for[entry] == NOBODY || voted_for[entry] == candidate)
#endif

#ifdef NO_REPORT
#define REPORTED(entry) 0
#else
#define REPORTED(entry) seeds[entry]
#endif

#ifdef OWN_LIST
#define IS_ELECTED(entry) true
#else
#define IS_ELECTED(entry) (granted[entry] == known[entry])
#endif

/* A request and its reply; a candidate also asks itself. */
inline Ask(me, voter) {
  atomic {
    (known[me] & BIT(voter)) && !(granted[me] & BIT(voter)) &&
    MAY_VOTE(voter) && HAS_VOTE(voter, me) && !(seeds[voter] & LOWER(me)) ->
    voted_for[voter] = me;
    granted[me] = granted[me] | BIT(voter);
    known[me] = known[me] | REPORTED(voter)
  }
}

proctype Entry(byte me) {
  do
  :: Ask(me, 0)
  :: Ask(me, 1)
  :: Ask(me, 2)
  :: Ask(me, 3)
  :: atomic { MAY_VOTE(me) && !(seeds[me] & LOWER(me)) && IS_ELECTED(me) ->
       holders++;
       assert(holders <= 1) } ->
     break
  :: !MAY_VOTE(me) -> break
  :: true -> break   /* It gives up. */
  od
}

/* Kills any process and starts it again; what it knew is lost. */
inline Restart(entry) {
  first_start[entry] = false;
  voted_for[entry] = NOBODY;
  granted[entry] = 0
}

proctype Kills() {
  do
  :: atomic { restarts > 0 ->
       restarts--;
       if
       :: Restart(0)
       :: Restart(1)
       :: Restart(2)
       :: Restart(3)
       fi }
  :: break
  od
}

inline SetSeeds(entry, a, b, c) {
  if
  :: seeds[entry] = BIT(entry) | BIT(a)
  :: seeds[entry] = BIT(entry) | BIT(b)
  :: seeds[entry] = BIT(entry) | BIT(c)
  fi;
  known[entry] = seeds[entry];
  voted_for[entry] = NOBODY;
  first_start[entry] = true
}

/* Adds to the set the seeds of its members and of theirs. */
inline Close(set) {
  i = 0;
  do
  :: i < ENTRIES * ENTRIES ->
     if
     :: set & BIT(i % ENTRIES) -> set = set | seeds[i % ENTRIES]
     :: else
     fi;
     i++
  :: else -> break
  od
}

init {
  byte i;
  byte all[ENTRIES];
  atomic {
    SetSeeds(0, 1, 2, 3);
    SetSeeds(1, 0, 2, 3);
    SetSeeds(2, 0, 1, 3);
    SetSeeds(3, 0, 1, 2);
    all[0] = seeds[0];
    all[1] = seeds[1];
    all[2] = seeds[2];
    all[3] = seeds[3];
    Close(all[0]);
    Close(all[1]);
    Close(all[2]);
    Close(all[3]);
    i = 0;
    /* Groups that never learn of each other are left out. */
    if
    :: (all[0] & all[1]) && (all[0] & all[2]) && (all[0] & all[3]) &&
       (all[1] & all[2]) && (all[1] & all[3]) && (all[2] & all[3]) ->
       run Entry(0);
       run Entry(1);
       run Entry(2);
       run Entry(3);
       run Kills()
    :: else
    fi
  }
}
