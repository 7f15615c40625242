/* The store, its eras, and what entries keep of it.
 *
 * Operators publish configurations of rising versions, servers write the server
 * list. The store gives each write a revision. It is restored to an older copy
 * at most twice: revisions go back and are given out again, the era rises, and
 * what was lost is written again later, with new writes possibly before it. An
 * entry lists in two pages, the configuration and then the servers, and watches
 * from its last revision. It may stop at any time (it is cut off) and go on
 * later; one of the two may find its history gone, and may be restarted once.
 * Entries tell each other their configuration and list; what was told last may
 * arrive late, twice, at any of them.
 *
 * Properties: a configuration in force never falls within one life of a
 * process. An entry whose watch was answered has the newest configuration and
 * list if the store has them. A list is taken from a peer only if its position
 * is after that of the list in use, so that no two entries exchange lists for
 * ever.
 *
 * Guards, each removable to give a counter-example:
 *   NO_ERA             entries know revisions only
 *   NO_LISTING         an entry watches on in a new era
 *   TAKE_COPY          the first listing of a new era puts its configuration in
 *                      force
 *   PEERS_BY_REVISION  entries compare the revisions of their lists only
 */

#define ENTRIES 2
#define TOP 2        /* Versions of the configuration, and of the list. */
#define RESTORES 2

/* The newest that was written, lost or not. */
byte published = 1;
byte said = 1;

/* The store; `*_at` is the revision of an item. */
byte era = 1;
byte revision = 2;
byte configuration = 1;
byte configuration_at = 1;
byte servers = 1;
byte servers_at = 2;

/* The copy to which the store is restored next. */
byte copy_revision = 2;
byte copy_configuration = 1;
byte copy_configuration_at = 1;
byte copy_servers = 1;
byte copy_servers_at = 2;

/* An entry's reader of the store. */
mtype = { FIRST_PAGE, SECOND_PAGE, WATCHING };
mtype next_call[ENTRIES] = FIRST_PAGE;
byte known_era[ENTRIES];
byte synced[ENTRIES];        /* All changes up to this revision are known. */
byte listed_as_of[ENTRIES];  /* Revision of the first page. */
#ifdef TAKE_COPY
bool lists_copy[ENTRIES];    /* The listing is the first of a later era. */
#define SET_LISTS_COPY(i, value) lists_copy[i] = value
#else
#define SET_LISTS_COPY(i, value) skip
#endif

/* What an entry uses. */
byte in_force[ENTRIES];
byte list[ENTRIES];
byte list_era[ENTRIES];
byte list_revision[ENTRIES];

/* What an entry told last. */
byte told_configuration;
byte told_list;
byte told_era;
byte told_revision;

byte restores = RESTORES;
byte restarts = 1;

#ifdef NO_ERA
#define ANSWER_ERA 1
#else
#define ANSWER_ERA era
#endif

#define IS_AFTER(era_a, revision_a, era_b, revision_b) \
  (era_a > era_b || (era_a == era_b && revision_a > revision_b))
#ifdef PEERS_BY_REVISION
#define PEER_IS_NEWER(i) (told_revision > list_revision[i])
#else
#define PEER_IS_NEWER(i) \
  IS_AFTER(told_era, told_revision, list_era[i], list_revision[i])
#endif

inline PutInForce(i, version) {
  assert(version >= in_force[i]);
  in_force[i] = version
}

inline OfferConfiguration(i, version) {
  if
#ifdef TAKE_COPY
  :: lists_copy[i] || version > in_force[i] -> PutInForce(i, version)
#else
  :: version > in_force[i] -> PutInForce(i, version)
#endif
  :: else
  fi
}

/* Offers the store's list as of `as_of`. */
inline OfferList(i, as_of) {
  if
  :: !IS_AFTER(list_era[i], list_revision[i], known_era[i], as_of) ->
     list[i] = servers;
     list_era[i] = known_era[i];
     list_revision[i] = as_of
  :: else
  fi
}

inline BeginEra(i) {
  SET_LISTS_COPY(i, (known_era[i] != 0));
  known_era[i] = ANSWER_ERA;
  synced[i] = 0;
  listed_as_of[i] = 0;
  next_call[i] = FIRST_PAGE
}

inline ReadFirstPage(i) {
  if
  :: known_era[i] != ANSWER_ERA -> BeginEra(i)
  :: else
  fi;
  OfferConfiguration(i, configuration);
  listed_as_of[i] = revision;
  next_call[i] = SECOND_PAGE
}

inline ReadSecondPage(i) {
  if
  :: known_era[i] != ANSWER_ERA -> BeginEra(i)
  :: else ->
     synced[i] = (listed_as_of[i] > synced[i] -> listed_as_of[i] : synced[i]);
     OfferList(i, synced[i]);
     listed_as_of[i] = 0;
     SET_LISTS_COPY(i, false);
     next_call[i] = WATCHING
  fi
}

inline ReadChanges(i) {
  if
  :: configuration_at > synced[i] -> OfferConfiguration(i, configuration)
  :: else
  fi;
  if
  :: servers_at > synced[i] -> OfferList(i, revision)
  :: else
  fi;
  synced[i] = revision;
  assert(configuration != published || in_force[i] == published);
  assert(servers != said || list[i] == said)
}

inline Watch(i) {
#ifdef NO_LISTING
  known_era[i] = ANSWER_ERA;
#endif
  if
  :: known_era[i] != ANSWER_ERA -> BeginEra(i)
  :: known_era[i] == ANSWER_ERA && synced[i] > revision ->
     next_call[i] = FIRST_PAGE   /* 410: the store does not have it. */
  :: else -> ReadChanges(i)
  fi
}

inline TakeFromPeer(i) {
  OfferConfiguration(i, told_configuration);
  if
  :: PEER_IS_NEWER(i) ->
     assert(IS_AFTER(told_era, told_revision, list_era[i], list_revision[i]));
     list[i] = told_list;
     list_era[i] = told_era;
     list_revision[i] = told_revision
  :: else
  fi
}

inline Restart(i) {
  next_call[i] = FIRST_PAGE;
  known_era[i] = 0;
  synced[i] = 0;
  listed_as_of[i] = 0;
  SET_LISTS_COPY(i, false);
  in_force[i] = 0;
  list[i] = 0;
  list_era[i] = 0;
  list_revision[i] = 0
}

proctype Entry(byte i) {
  do
  :: d_step { next_call[i] == FIRST_PAGE -> ReadFirstPage(i) }
  :: d_step { next_call[i] == SECOND_PAGE -> ReadSecondPage(i) }
  :: d_step { next_call[i] == WATCHING -> Watch(i) }
  /* Its history is gone (410), or it is restarted. */
  :: d_step { i == 0 && next_call[i] == WATCHING ->
       next_call[i] = FIRST_PAGE }
  :: d_step { list_era[i] > 0 ->
       told_configuration = in_force[i];
       told_list = list[i];
       told_era = list_era[i];
       told_revision = list_revision[i] }
  :: d_step { told_era > 0 -> TakeFromPeer(i) }
  :: d_step { i == 0 && restarts > 0 && next_call[i] == WATCHING ->
       restarts--;
       Restart(i) }
  od
}

inline WriteConfiguration(version) {
  revision++;
  configuration = version;
  configuration_at = revision
}

inline WriteServers(version) {
  revision++;
  servers = version;
  servers_at = revision
}

proctype World() {
  do
  :: d_step { published < TOP -> published++; WriteConfiguration(published) }
  :: d_step { said < TOP -> said++; WriteServers(said) }
  /* What was lost is written again. */
  :: d_step { configuration < published -> WriteConfiguration(configuration + 1) }
  :: d_step { servers < said -> WriteServers(servers + 1) }
  :: d_step { restores > 0 ->
       copy_revision = revision;
       copy_configuration = configuration;
       copy_configuration_at = configuration_at;
       copy_servers = servers;
       copy_servers_at = servers_at }
  :: d_step { restores > 0 ->
       restores--;
       era++;
       revision = copy_revision;
       configuration = copy_configuration;
       configuration_at = copy_configuration_at;
       servers = copy_servers;
       servers_at = copy_servers_at;
       /* After the last restore no copy is kept, for fewer states. */
       copy_revision = (restores > 0 -> copy_revision : 0);
       copy_configuration = (restores > 0 -> copy_configuration : 0);
       copy_configuration_at = (restores > 0 -> copy_configuration_at : 0);
       copy_servers = (restores > 0 -> copy_servers : 0);
       copy_servers_at = (restores > 0 -> copy_servers_at : 0) }
  od
}

init { atomic { run World(); run Entry(0); run Entry(1) } }
