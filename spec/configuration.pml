/* Relay of the configuration: revisions that only rise.
 *
 * Three processes; the service publishes rising revisions but may answer with
 * an older one; processes restart knowing nothing and ask their peers first. A
 * revision is here the number that the operators give a configuration, which a
 * restored store does not change; those that the store gives are in store.pml.
 *
 * Property: the revision in force in a process never falls, and one that was
 * restarted never puts an older one in force than any peer that it can reach
 * has in force.
 *
 * Guards, each removable: NO_COMPARE takes whatever comes; NO_PEERS trusts the
 * service at start without asking.
 */

#define NODES 3
#define TOP 3

byte published = 1;
byte in_force[NODES];
byte highest_of_peers;
byte scan;
byte restarts = 1;

inline take(i, revision) {
#ifndef NO_COMPARE
  if
  :: revision > in_force[i] -> in_force[i] = revision
  :: else -> skip
  fi
#else
  assert(revision >= in_force[i]);
  in_force[i] = revision
#endif
}

inline peers_of(i) {
  highest_of_peers = 0;
  scan = 0;
  do
  :: scan < NODES ->
     if
     :: scan != i && in_force[scan] > highest_of_peers ->
        highest_of_peers = in_force[scan]
     :: else -> skip
     fi;
     scan++
  :: else -> break
  od;
  scan = 0
}

proctype Node(byte i) {
  byte seen;
  byte peer;
  do
  :: atomic { in_force[i] > 0 ->          /* the service, perhaps stale */
       select (seen : 1 .. TOP);
       if :: seen <= published -> take(i, seen) :: else -> skip fi;
       seen = 0 }
  :: atomic { in_force[i] > 0 ->          /* a peer's word */
       select (peer : 0 .. 2);
       if
       :: in_force[peer] > 0 -> take(i, in_force[peer])
       :: else -> skip
       fi;
       peer = 0 }
  :: atomic { in_force[i] == 0 ->         /* a fresh process */
       select (seen : 1 .. TOP);
       if :: seen > published -> seen = published :: else -> skip fi;
       peers_of(i);
#ifndef NO_PEERS
       if :: highest_of_peers > seen -> seen = highest_of_peers :: else -> skip fi;
#endif
       in_force[i] = seen;
       assert(in_force[i] >= highest_of_peers);
       seen = 0; highest_of_peers = 0 }
  :: atomic { restarts > 0 && in_force[i] > 0 -> restarts--; in_force[i] = 0 }
  :: atomic { published < TOP -> published++ }
  :: break
  od
}

init { atomic { run Node(0); run Node(1); run Node(2) } }
