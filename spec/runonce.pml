/*
 * Run-once dispatch of one idempotency key.
 *
 * Two entries ask for grants, two schedulers take turns to own the journal
 * of the pool, and the platform applies conditional updates to the slots of
 * the journal. Every process may pause at any point, also for good, and may
 * crash and start again. A message stays in the network once it was sent, so
 * that it may arrive late, more than once, or never.
 *
 * Properties (assertions):
 *   - the key is dispatched at most once;
 *   - an attempt for which a caller was told "not run" is never dispatched;
 *   - after a durable finish no reservation is added and nothing dispatched;
 *   - all records after a takeover record, up to the next one, are its owner's.
 *
 * Each #ifdef takes one guard away. spec/check expects an assertion violation
 * for each of them. The REACH_ assertions fail on purpose, to show that the
 * search gets that far.
 */

#ifndef ATTEMPTS
#define ATTEMPTS 3      /* attempts in all, each with an id of its own */
#endif
#ifndef TERMS
#define TERMS    2      /* starts of a scheduler, each with a term of its own */
#endif
#define SLOTS    2      /* objects of the journal */
#define CAPACITY 4      /* the largest slot limit */

/* Kinds of record. */
#define NONE     0
#define TAKEOVER 1
#define RESERVE  2
#define RELEASE  3
#define FINISH   4

/* What a scheduler knows of the key. */
#define FRESH    0
#define RESERVED 1
#define FINISHED 2

/* Modes of a scheduler. */
#define DOWN     0
#define READING  1
#define TAKING   2
#define SERVING  3

/* States of an entry. */
#define IDLE     0
#define ASKING   1
#define SENT     2

typedef Slot {
	byte count;             /* records in the slot, which is also its version */
	byte limit;             /* set by the writer of the first record */
	byte first;             /* sequence number of the first record */
	byte kind[CAPACITY];
	byte attempt[CAPACITY];
	byte term[CAPACITY];
};

/* Write is a conditional update under way, one at a time by a scheduler. */
typedef Write {
	byte kind;              /* NONE: no write under way */
	byte attempt;
	byte term;
	byte slot;
	byte version;           /* the version that the slot must have */
	byte sequence;
	byte limit;
};

typedef Scheduler {
	byte mode;
	byte term;
	byte key;
	byte holder;            /* attempt that reserved or finished the key */
	bool spent[ATTEMPTS + 1];  /* released attempts, which are not reserved again */
	byte sequence;          /* records known */
	byte slot;              /* next position */
	byte version;
	byte kind;              /* the record being written */
	byte attempt;
};

Slot journal[SLOTS];
Write flight[2];
Scheduler scheduler[2];

byte lastAttempt;
byte lastTerm;

/* Messages in the network, by attempt. A request for a grant is there for
 * every attempt up to lastAttempt. */
bool granted[ATTEMPTS + 1];
bool released[ATTEMPTS + 1];
bool finished[ATTEMPTS + 1];

/* Observations for the assertions only. */
byte dispatches;
bool toldNotRun[ATTEMPTS + 1];
byte finisher;                  /* attempt of the durable finish record */
byte ownerTerm;                 /* term of the last takeover record */

/* ---- platform ---- */

#ifdef UNCONDITIONAL_WRITE
#define CONDITION(w) true
#else
#define CONDITION(w) (journal[flight[w].slot].count == flight[w].version)
#endif

inline dropWrite(w) {
	flight[w].kind = NONE; flight[w].attempt = 0; flight[w].term = 0;
	flight[w].slot = 0; flight[w].version = 0; flight[w].sequence = 0;
	flight[w].limit = 0
}

inline append(w) {
	s = flight[w].slot;
	v = flight[w].version;
	journal[s].kind[v] = flight[w].kind;
	journal[s].attempt[v] = flight[w].attempt;
	journal[s].term[v] = flight[w].term;
	journal[s].count = v + 1;
	if
	:: v == 0 -> journal[s].limit = flight[w].limit; journal[s].first = flight[w].sequence
	:: else
	fi;
	if
	:: flight[w].kind == FINISH -> finisher = flight[w].attempt;
#ifdef REACH_FINISH
		assert(flight[w].term == 1 || flight[w].slot == 0)
#endif
	:: flight[w].kind == TAKEOVER -> ownerTerm = flight[w].term
	:: flight[w].kind == RESERVE -> assert(finisher == 0)
	:: else
	fi;
#ifndef NO_OWNER_PROPERTY
	assert(flight[w].term == ownerTerm);
#endif
	s = 0; v = 0;
	dropWrite(w)
}

/* A write takes effect at any time after it was sent, also long after its
 * sender gave up on it. One that fails its condition has no effect. */
active proctype platform() {
	byte s, v;
end:
	do
	:: d_step { flight[0].kind != NONE && CONDITION(0) ->
		append(0);
		if
		:: flight[1].kind != NONE && !CONDITION(1) -> dropWrite(1)
		:: else
		fi }
	:: d_step { flight[1].kind != NONE && CONDITION(1) ->
		append(1);
		if
		:: flight[0].kind != NONE && !CONDITION(0) -> dropWrite(0)
		:: else
		fi }
	od
}

/* ---- schedulers ---- */

/* Slot limits may differ between schedulers, as between two releases. */
#define OWN_LIMIT(o) (o + 3)

#ifdef OWN_SLOT_LIMIT
#define LIMIT(o) OWN_LIMIT(o)
#else
#define LIMIT(o) journal[scheduler[o].slot].limit
#endif

#define SLOT_FULL(o) (scheduler[o].version > 0 && scheduler[o].version >= LIMIT(o))
#define JOURNAL_FULL(o) (SLOT_FULL(o) && scheduler[o].slot + 1 == SLOTS)
#define CAN_WRITE(o) (flight[o].kind == NONE && !JOURNAL_FULL(o))

inline forget(o) {
	scheduler[o].key = FRESH; scheduler[o].holder = 0; scheduler[o].sequence = 0;
	scheduler[o].slot = 0; scheduler[o].version = 0;
	scheduler[o].kind = NONE; scheduler[o].attempt = 0;
	for (i : 0 .. ATTEMPTS) { scheduler[o].spent[i] = false }
	i = 0
}

/* learn applies one record to what the scheduler knows. */
inline learn(o, what, who) {
	if
	:: what == RESERVE -> scheduler[o].key = RESERVED; scheduler[o].holder = who
	:: what == RELEASE -> scheduler[o].key = FRESH; scheduler[o].spent[who] = true;
		scheduler[o].holder = 0
#ifdef FINISH_FORGOTTEN
	:: what == FINISH -> scheduler[o].key = FRESH; scheduler[o].holder = 0
#else
	:: what == FINISH -> scheduler[o].key = FINISHED; scheduler[o].holder = who
#endif
	:: else
	fi
}

/* replay goes through the slots as they were seen. An early one may lack
 * records that were written before a later one was read: the sequence numbers
 * then have a gap, and the slots are read again. */
inline replay(o) {
	for (i : 0 .. SLOTS - 1) {
		if
		:: seen[i] > 0 ->
#if !defined(NO_GAP_CHECK) && !defined(READ_AGAIN)
			gap = gap || (journal[i].first != scheduler[o].sequence + 1);
#endif
			for (j : 0 .. seen[i] - 1) {
				learn(o, journal[i].kind[j], journal[i].attempt[j])
			}
			scheduler[o].sequence = journal[i].first + seen[i] - 1;
			scheduler[o].slot = i;
			scheduler[o].version = seen[i]
		:: else
		fi;
		seen[i] = 0
	}
	i = 0; j = 0
}

/* startWrite sends one record to the next position: to the head slot while
 * that has room, else to the slot after it. */
inline startWrite(o, what, who) {
	if
	:: SLOT_FULL(o) -> scheduler[o].slot = scheduler[o].slot + 1; scheduler[o].version = 0
	:: else
	fi;
	scheduler[o].kind = what; scheduler[o].attempt = who;
	flight[o].kind = what; flight[o].attempt = who; flight[o].term = scheduler[o].term;
	flight[o].slot = scheduler[o].slot; flight[o].version = scheduler[o].version;
	flight[o].sequence = scheduler[o].sequence + 1; flight[o].limit = OWN_LIMIT(o)
}

/* Whether a write took effect is seen from its answer or, where the answer
 * was lost or names another version, by reading the slot back. Undecided, it
 * is sent again, which is the same as the first one arriving late. */
#define HEAD(o)     journal[scheduler[o].slot]
#define WRITING(o)  (scheduler[o].kind != NONE)
#define DECIDED(o)  (WRITING(o) && HEAD(o).count > scheduler[o].version)
#define IS_MINE(o)  (HEAD(o).kind[scheduler[o].version] == scheduler[o].kind && \
                     HEAD(o).attempt[scheduler[o].version] == scheduler[o].attempt && \
                     HEAD(o).term[scheduler[o].version] == scheduler[o].term)

#ifdef ASSUME_WRITTEN
#define WRITTEN(o) WRITING(o)
#else
#define WRITTEN(o) (DECIDED(o) && IS_MINE(o))
#endif

/* A scheduler that was paused may learn late that its reservation is durable,
 * and grant an attempt that was released meanwhile. That is the same as a
 * grant that arrives late: the entry has forgotten the attempt. */
inline grant(a) { granted[a] = true }

inline commit(o) {
	learn(o, scheduler[o].kind, scheduler[o].attempt);
	scheduler[o].sequence = scheduler[o].sequence + 1;
	scheduler[o].version = scheduler[o].version + 1;
	j = scheduler[o].attempt;
	if
	:: scheduler[o].kind == RESERVE -> grant(j)
	:: else
	fi;
	j = 0;
	scheduler[o].kind = NONE; scheduler[o].attempt = 0
}

#define READY(o)    (scheduler[o].mode == SERVING && !WRITING(o) && CAN_WRITE(o))
#define HOLDS(o, a) (scheduler[o].mode == SERVING && scheduler[o].key == RESERVED && \
                     scheduler[o].holder == a)

#ifdef ANY_ATTEMPT_GRANTED
#define MAY_GRANT_AGAIN(o, a) (scheduler[o].mode == SERVING && scheduler[o].key == RESERVED)
#else
#define MAY_GRANT_AGAIN(o, a) HOLDS(o, a)
#endif

#ifdef RELEASE_UNCHECKED
#define MAY_RELEASE(o, a) (READY(o) && scheduler[o].key == RESERVED)
#else
#define MAY_RELEASE(o, a) (READY(o) && HOLDS(o, a))
#endif

#ifdef GRANT_BEFORE_DURABLE
#define EARLY_GRANT(a) grant(a)
#else
#define EARLY_GRANT(a) skip
#endif

#ifdef RESERVED_AGAIN
#define MAY_RESERVE(o, a) (READY(o) && scheduler[o].key == FRESH)
#else
#define MAY_RESERVE(o, a) (READY(o) && scheduler[o].key == FRESH && !scheduler[o].spent[a])
#endif

/* The steps that answer the messages of an attempt. Any other request is
 * answered "in progress" or "already run", which changes nothing here. */
#define ANSWER(a) \
	:: d_step { a <= lastAttempt && MAY_RESERVE(o, a) -> startWrite(o, RESERVE, a); EARLY_GRANT(a) } \
	:: d_step { a <= lastAttempt && !granted[a] && MAY_GRANT_AGAIN(o, a) -> grant(a) } \
	:: d_step { released[a] && MAY_RELEASE(o, a) -> startWrite(o, RELEASE, scheduler[o].holder) } \
	:: d_step { finished[a] && READY(o) && HOLDS(o, a) -> startWrite(o, FINISH, a) }

proctype serve(byte o) {
	byte i, j, x, y;
	byte seen[SLOTS];
	bool gap;
end:
	do
	/* Start, or crash and start again. */
	:: d_step { lastTerm < TERMS ->
		forget(o);
		lastTerm++; scheduler[o].term = lastTerm; scheduler[o].mode = READING }

	/* A write of an earlier term is lost. */
	:: d_step { flight[o].kind != NONE && flight[o].term != scheduler[o].term -> dropWrite(o) }

	/* The slots are read in any order, at different times, and a read may be
	 * stale: each slot is seen as it was at some time up to now. */
	:: atomic { scheduler[o].mode == READING && flight[o].kind == NONE ->
		select(x : 0 .. journal[0].count);
		select(y : 0 .. journal[1].count);
		d_step {
#ifdef READ_AGAIN
			/* With the head known, the slots before it are read again; a
			 * fresh read then finds the last state of each. */
			if
			:: y > 0 -> x = journal[0].count
			:: else
			fi;
#endif
			seen[0] = x; seen[1] = y; x = 0; y = 0;
			replay(o);
			if
			:: gap -> forget(o)
			:: !gap && JOURNAL_FULL(o) -> forget(o); scheduler[o].mode = DOWN
#ifdef NO_TAKEOVER
			:: else -> scheduler[o].mode = SERVING; ownerTerm = scheduler[o].term
#else
			:: else -> startWrite(o, TAKEOVER, 0); scheduler[o].mode = TAKING
#endif
			fi;
			gap = false
		} }
	:: d_step { scheduler[o].mode == TAKING && WRITTEN(o) -> commit(o); scheduler[o].mode = SERVING }
	:: d_step { scheduler[o].mode == TAKING && DECIDED(o) && !IS_MINE(o) ->
		forget(o); scheduler[o].mode = READING }

	ANSWER(1)
	ANSWER(2)
#if ATTEMPTS > 2
	ANSWER(3)
#endif
	:: d_step { scheduler[o].mode == SERVING && WRITTEN(o) -> commit(o) }
	/* Another scheduler wrote at this position, so this one is deposed. */
	:: d_step { scheduler[o].mode == SERVING && DECIDED(o) && !IS_MINE(o) ->
#ifdef STATE_KEPT_WHEN_DEPOSED
		scheduler[o].version = HEAD(o).count; scheduler[o].kind = NONE; scheduler[o].attempt = 0 }
#else
		forget(o); scheduler[o].mode = DOWN; scheduler[o].term = 0 }
#endif
	od
}

/* ---- entries ---- */

inline dispatch(a) {
#ifdef REACH_DISPATCH
	assert(!(a > 1 && released[1] && ownerTerm > 1));
#endif
	dispatches++;
	assert(dispatches <= 1);
	assert(finisher == 0);
	assert(!toldNotRun[a])
}

proctype entry() {
	byte state, attempt;
end:
	do
	/* A caller sends the key, for the first time or again. From a state other
	 * than IDLE the entry crashed, got the answer "in progress" or "already
	 * run", or left the outcome unknown; in each case it forgets its attempt. */
	:: d_step { lastAttempt < ATTEMPTS ->
		lastAttempt++; attempt = lastAttempt; state = ASKING }
	:: d_step { state == ASKING && granted[attempt] -> dispatch(attempt); state = SENT }
	/* The deadline passed, the caller left, or the endpoint refused the
	 * connection: the entry will never dispatch this attempt. */
	:: d_step { state == ASKING ->
		toldNotRun[attempt] = true; released[attempt] = true;
#ifndef LATE_GRANT_TAKEN
		state = IDLE; attempt = 0
#endif
		}
	:: d_step { state == SENT -> finished[attempt] = true; state = IDLE; attempt = 0 }
#ifdef DISPATCHED_AGAIN
	:: d_step { state == SENT && granted[attempt] -> dispatch(attempt) }
#endif
#ifdef RELEASED_AFTER_DISPATCH
	:: d_step { state == SENT -> released[attempt] = true; state = IDLE; attempt = 0 }
#endif
#ifdef NOT_RUN_AFTER_DISPATCH
	:: d_step { state == SENT -> toldNotRun[attempt] = true; state = IDLE;
		assert(dispatches == 0); attempt = 0 }
#endif
#ifdef ATTEMPT_SURVIVES_RESTART
	:: d_step { state == SENT -> state = ASKING }
#endif
	od
}

init {
	byte i;
	d_step {
		forget(0); forget(1)
	};
	atomic { run serve(0); run serve(1); run entry(); run entry() }
}
